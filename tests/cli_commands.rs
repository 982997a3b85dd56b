//! The command line of `chervilquay`: help, output and exit codes.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod support;

use std::process::Command;
use std::process::Output;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervilquay"))
        .args(args)
        .current_dir(support::path(""))
        .output()
        .unwrap()
}

fn code(args: &[&str]) -> i32 {
    run(args).status.code().unwrap()
}

// Guards against exit codes other than those of docs/commands.md.
#[test]
fn exit_codes_are_documented() {
    let tables = [
        "--routes",
        "examples/routes.yaml",
        "--pools",
        "examples/pools.yaml",
    ];
    let explain = |path| [&["explain"], &tables[..], &["--method", "POST", path]].concat();
    assert_eq!(
        code(&["check", "examples/routes.yaml", "examples/pools.yaml"]),
        0
    );
    assert_eq!(code(&["check", "tests/bad/routes-many.yaml"]), 1);
    assert_eq!(code(&["check", "no-such-file.yaml"]), 1);
    assert_eq!(code(&["check"]), 3);
    assert_eq!(code(&["check", "--sort"]), 2);
    assert_eq!(code(&["nothing"]), 2);
    assert_eq!(code(&["codes"]), 0);
    assert_eq!(code(&["codes", "--format", "yaml"]), 3);
    assert_eq!(code(&explain("/v1/completions")), 0);
    assert_eq!(code(&explain("/other")), 1);
}

// Guards against findings in JSON without line, code or field.
#[test]
fn findings_are_json() {
    let output = run(&["check", "--format", "json", "tests/bad/routes-many.yaml"]);
    let found: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(found[0]["line"], 1);
    assert_eq!(found[0]["code"], 2004);
    assert_eq!(found[0]["field"], "revision");
}

// Guards against a documented command that has no help or no example.
#[test]
fn commands_have_help() {
    let page = support::text("docs/commands.md");
    let listed = page
        .lines()
        .filter_map(|line| line.strip_prefix("## `chervilquay "));
    let mut count = 0;
    for name in listed.map(|line| line.trim_end_matches('`')) {
        let mut words: Vec<&str> = name.split(' ').collect();
        words.push("--help");
        let output = run(&words);
        let help = String::from_utf8(output.stdout).unwrap();
        assert!(output.status.success(), "{name}");
        assert!(help.contains("Examples:"), "{name}: {help}");
        count += 1;
    }
    assert!(count >= 3, "{count} commands");
}
