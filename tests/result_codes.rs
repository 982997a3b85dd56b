//! Result codes: numbers stay unique and can be mapped back.

use chervilquay::prelude::*;

// Guards against a code that is renumbered onto another or cannot be read from the wire.
#[test]
fn numbers_round_trip() {
    let mut last = 0;
    for code in Code::ALL {
        assert!(code.number() > last, "{code} is out of order");
        assert_eq!(Code::from_number(code.number()), Some(*code));
        last = code.number();
    }
}
