//! `chervilquay codes`: lists the result codes.

use std::process::ExitCode;

use crate::cmd::output;
use crate::cmd::output::Format;
use crate::error::Code;

/// List the result codes.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "codes",
    example = "chervilquay codes --format markdown"
)]
pub struct Args {
    /// text, markdown or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Titles of the groups of codes, by the first digit of the code.
const GROUPS: &[(u32, &str)] = &[
    (1, "Settings and command line"),
    (2, "Tables"),
    (3, "Weights"),
    (4, "Requests"),
    (5, "Processes"),
    (6, "Tools"),
];

/// Introduction of docs/codes.md.
const INTRODUCTION: &str = "# Result codes

Logs, findings and answers name a result by its code. A caller sees the code in the header
`X-Chervilquay-Code`, together with the HTTP status of the table. Numbers are never given to another
result. This page is written by `chervilquay codes --format markdown`.
";

#[derive(serde::Serialize)]
struct Row {
    code: u32,
    name: &'static str,
    status: u16,
    text: &'static str,
}

/// Prints the codes in the order of their numbers.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    let text = match args.format {
        Format::Markdown => markdown(),
        Format::Text => plain(),
        format => {
            output::check_format(format, &[Format::Json])?;
            output::render(&rows(), format)?
        }
    };
    output::print(&text)?;
    Ok(output::exit_code(true))
}

fn rows() -> Vec<Row> {
    let row = |code: &Code| Row {
        code: code.number(),
        name: code.name(),
        status: code.status(),
        text: code.text(),
    };
    Code::ALL.iter().map(row).collect()
}

fn plain() -> String {
    let mut text = String::new();
    for row in rows() {
        let Row {
            code, name, status, ..
        } = row;
        text.push_str(&format!("E{code}  {status}  {name:<20}  {}\n", row.text));
    }
    text
}

/// Returns the text of the page docs/codes.md.
pub fn markdown() -> String {
    let mut text = INTRODUCTION.to_string();
    for (digit, title) in GROUPS {
        text.push_str(&format!("\n## {title}\n\n"));
        text.push_str("| code | name | HTTP | meaning |\n|---|---|---|---|\n");
        for row in rows().iter().filter(|row| row.code / 1000 == *digit) {
            let Row {
                code, name, status, ..
            } = row;
            text.push_str(&format!("| E{code} | {name} | {status} | {} |\n", row.text));
        }
    }
    text
}
