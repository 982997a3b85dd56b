//! Scenario files: each holds with 20 seeds, and wrong expectations and invalid files fail.

mod support;

use chervilquay::error::Code;
use chervilquay::scenario;

/// Runs a scenario with a seed other than the one in its text.
fn run(text: &str, seed: u64) -> scenario::Report {
    let mut parsed = scenario::parse("test", text).unwrap_or_else(|e| panic!("{e}"));
    parsed.seed = seed;
    scenario::run(&parsed).unwrap_or_else(|e| panic!("{e}"))
}

// Guards against a change of routing, table synchronisation, admission or drain after which
// an expectation or an invariant of a scenario no longer holds.
#[test]
fn scenarios_hold() {
    let files = support::files("scenarios");
    assert!(files.len() >= 10, "{} scenarios", files.len());
    for file in files {
        let text = support::text(&format!("scenarios/{file}"));
        for seed in 1..=20 {
            let report = run(&text, seed);
            assert!(report.checked > 0, "{file} checks nothing");
            assert!(
                report.failures.is_empty(),
                "{file} seed {seed}: {report:#?}"
            );
        }
    }
}

// Guards against expectations that pass whatever state the processes are in.
#[test]
fn wrong_expectations_fail() {
    let text = support::text("scenarios/half-published.yaml");
    for (right, wrong) in [
        ("all: 2", "all: 1"),
        ("a: E2008, b: E2008", "a: E2008, b: none"),
        ("r1: done", "r1: E4006"),
    ] {
        assert!(text.contains(right), "{right}");
        let report = run(&text.replace(right, wrong), 1);
        assert!(!report.failures.is_empty(), "{wrong} passes");
    }
    let text = support::text("scenarios/crash-retry.yaml");
    for (right, wrong) in [
        ("[chat-2] }\n      run", "[chat-1] }\n      run"),
        ("booking: unknown", "booking: not_run"),
        ("dispatched: { booking: 1 }", "dispatched: { booking: 2 }"),
    ] {
        assert!(text.contains(right), "{right}");
        let report = run(&text.replace(right, wrong), 1);
        assert!(!report.failures.is_empty(), "{wrong} passes");
    }
}

// Guards against scenarios that check nothing because a name in them is misspelt.
#[test]
fn invalid_scenarios_are_rejected() {
    let text = support::text("scenarios/half-published.yaml");
    for (valid, invalid) in [
        ("publish: { routes: two }", "publish: { routes: tow }"),
        ("b: E2008", "z: E2008"),
        ("from: entry-1", "from: entry-9"),
        ("    expect: { all: 1 }", "    expects: { all: 1 }"),
        ("at: 29000", "at: 290"),
        ("name: Half", "nam: Half"),
    ] {
        assert!(text.contains(valid), "{valid}");
        let error = scenario::parse("test", &text.replace(valid, invalid)).expect_err(invalid);
        assert_eq!(error.code, Code::ScenarioFailed);
    }
}

// Guards against a source of randomness other than the seed.
#[test]
fn same_seed_gives_same_report() {
    let text = support::text("scenarios/revision-conflict.yaml");
    let reports = [run(&text, 3), run(&text, 3)].map(|r| format!("{r:?}"));
    assert_eq!(reports[0], reports[1]);
}
