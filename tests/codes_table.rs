//! The page docs/codes.md and the result codes of the source agree.

mod support;

use chervilquay::cmd::codes;
use chervilquay::error::Code;

// Guards against a code that the page lacks or describes in another way.
#[test]
fn page_is_current() {
    let page = support::text("docs/codes.md");
    assert_eq!(
        page,
        codes::markdown(),
        "write it with: chervilquay codes --format markdown > docs/codes.md"
    );
}

// Guards against a group of codes that the page leaves out.
#[test]
fn every_code_is_listed() {
    let page = codes::markdown();
    for code in Code::ALL {
        let row = format!("| {code} | {} |", code.name());
        assert_eq!(page.matches(&row).count(), 1, "{code}");
    }
}
