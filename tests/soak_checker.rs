//! Tests that the soak's checker reports each kind of violation.

use chervilquay::soak::checker::Checker;
use chervilquay::soak::checker::Execution;
use chervilquay::soak::checker::Outcome;
use chervilquay::soak::checker::STORE;
use chervilquay::time::Millis;

fn execution(id: &str, path: &str, pool: &'static str) -> Execution {
    Execution {
        id: id.to_string(),
        path: path.to_string(),
        pool,
        zone: "z",
        upstream: "u1".to_string(),
    }
}

fn checker_with_request(path: &str, at: u64) -> Checker {
    let mut checker = Checker::default();
    checker.on_sent(Millis(at), "e", "a", path);
    checker
}

/// Guards against a checker that misses an execution of a request that no caller
/// sent, or of one whose path changed on the way.
#[test]
fn unknown_and_changed_requests_are_reported() {
    let mut checker = checker_with_request("/safe/1", 100);
    checker.on_execution(Millis(110), execution("a", "/safe/1", "left"));
    assert!(checker.violations().is_empty());
    checker.on_execution(Millis(110), execution("a", "/safe/2", "left"));
    checker.on_execution(Millis(110), execution("b", "/safe/1", "left"));
    assert_eq!(checker.violations().len(), 2);
}

/// Guards against a checker that misses a second execution, or an answer "not
/// run" for a request that an upstream runs before or after that answer.
#[test]
fn runs_at_most_once() {
    let mut checker = checker_with_request("/once/1", 100);
    checker.on_execution(Millis(110), execution("a", "/once/1", "left"));
    checker.on_outcome(Millis(120), "a", &Outcome::Failure(502));
    assert!(checker.violations().is_empty());
    checker.on_outcome(Millis(120), "a", &Outcome::Failure(503));
    assert_eq!(checker.violations().len(), 1);
    checker.on_execution(Millis(130), execution("a", "/once/1", "left"));
    assert_eq!(
        checker.violations().len(),
        3,
        "ran twice, and ran after the answer 503"
    );
    let mut safe = checker_with_request("/safe/1", 100);
    for _ in 0..2 {
        safe.on_execution(Millis(110), execution("a", "/safe/1", "left"));
    }
    safe.on_outcome(Millis(120), "a", &Outcome::Failure(503));
    assert!(safe.violations().is_empty());
}

/// Guards against a checker that misses a request to an upstream that has left,
/// or reports one from a process that a fault kept from learning of it.
#[test]
fn drain_limit_applies_to_processes_without_faults() {
    let at = Millis(10_000);
    let mut checker = checker_with_request("/safe/1", 11_900);
    checker.on_drain(at, "u1");
    checker.on_execution(Millis(12_000), execution("a", "/safe/1", "left"));
    assert!(checker.violations().is_empty());
    checker.on_fault_start("e");
    checker.on_execution(Millis(12_100), execution("a", "/safe/1", "left"));
    checker.on_fault_end(Millis(12_200), "e");
    checker.on_execution(Millis(15_100), execution("a", "/safe/1", "left"));
    assert!(checker.violations().is_empty());
    checker.on_execution(Millis(15_300), execution("a", "/safe/1", "left"));
    assert_eq!(checker.violations().len(), 1);
    checker.on_brief_fault(Millis(15_400), STORE);
    checker.on_execution(Millis(15_500), execution("a", "/safe/1", "left"));
    assert_eq!(checker.violations().len(), 1);
}

/// Guards against a checker that misses a request to an evacuated zone, or reports one that
/// came in time, after the revocation or from a process that a fault kept from the store.
#[test]
fn evacuation_limit_applies_to_processes_without_faults() {
    let mut checker = checker_with_request("/safe/1", 14_000);
    let run = |checker: &mut Checker, at: u64| {
        checker.on_execution(Millis(at), execution("a", "/safe/1", "left"));
        checker.violations().len()
    };
    checker.on_evacuated(Millis(10_000), "z");
    checker.on_evacuated(Millis(9_000), "y");
    assert_eq!(run(&mut checker, 15_000), 0);
    checker.on_brief_fault(Millis(15_000), "e");
    assert_eq!(run(&mut checker, 17_900), 0);
    assert_eq!(run(&mut checker, 18_100), 1);
    checker.on_fault_start("e");
    assert_eq!(run(&mut checker, 18_200), 1);
    checker.set_entries(["e".to_string(), "other".to_string()]);
    assert_eq!(run(&mut checker, 18_300), 2, "another entry passes it on");
    checker.on_revoked("z");
    assert_eq!(run(&mut checker, 18_400), 2);
}

/// Guards against a checker that misses a request outside its regions, whatever faults
/// there are.
#[test]
fn requests_outside_their_regions_are_reported() {
    let mut checker = checker_with_request("/stream/1", 100);
    checker.on_fault_start("e");
    let inside = Execution {
        zone: "y",
        ..execution("a", "/stream/1", "left")
    };
    checker.on_execution(Millis(110), inside);
    assert!(checker.violations().is_empty());
    checker.on_execution(Millis(120), execution("a", "/stream/1", "left"));
    assert_eq!(checker.violations().len(), 1);
}

/// Guards against a checker that misses a configuration that is not in force in
/// time, or a process that reverts to an older one.
#[test]
fn late_and_reverted_configurations_are_reported() {
    let mut checker = Checker::default();
    checker.on_config(Millis(0), "left");
    checker.on_config(Millis(10_000), "right");
    checker.on_sent(Millis(11_900), "e", "a", "/moves/1");
    checker.on_execution(Millis(11_950), execution("a", "/moves/1", "left"));
    assert!(checker.violations().is_empty());
    checker.on_execution(Millis(12_000), execution("a", "/moves/1", "right"));
    checker.on_sent(Millis(12_400), "e", "b", "/moves/2");
    checker.on_execution(Millis(12_410), execution("b", "/moves/2", "left"));
    assert_eq!(
        checker.violations().len(),
        2,
        "an old configuration too late, and a reverted one"
    );
    checker.on_restart("e");
    checker.on_brief_fault(Millis(12_500), "e");
    checker.on_execution(Millis(12_600), execution("b", "/moves/2", "left"));
    assert_eq!(checker.violations().len(), 2);
}

/// Guards against a checker that misses a request interrupted by a planned stop,
/// one without any answer, or a wrong answer.
#[test]
fn interrupted_and_unanswered_requests_are_reported() {
    let mut checker = checker_with_request("/safe/1", 1_000);
    checker.on_sigterm(Millis(900), "e");
    checker.on_outcome(Millis(1_200), "a", &Outcome::Closed);
    assert!(checker.violations().is_empty(), "it reached no upstream");
    checker.on_execution(Millis(1_100), execution("a", "/safe/1", "left"));
    checker.on_outcome(Millis(1_200), "a", &Outcome::Closed);
    checker.on_outcome(Millis(9_000), "a", &Outcome::TimedOut);
    checker.on_outcome(Millis(9_000), "a", &Outcome::Wrong("text".to_string()));
    assert_eq!(checker.violations().len(), 3);
    let mut paused = checker_with_request("/safe/1", 1_000);
    paused.on_fault_start("e");
    paused.on_fault_end(Millis(2_000), "e");
    paused.on_outcome(Millis(6_500), "a", &Outcome::TimedOut);
    assert!(
        paused.violations().is_empty(),
        "a paused process did not read it before it resumed"
    );
}

/// Guards against a report on an entry that was kept from the store while one configuration
/// followed another, and back: the pool of the first is also that of the third.
#[test]
fn configuration_before_a_fault_is_not_the_next_one() {
    let mut checker = Checker::default();
    checker.on_config(Millis(1_000), "right");
    checker.on_fault_start(STORE);
    checker.on_config(Millis(2_000), "left");
    let request = |checker: &mut Checker, id: &str, at: u64, pool| {
        checker.on_sent(Millis(at), "e", id, "/moves/1");
        checker.on_execution(Millis(at + 20), execution(id, "/moves/1", pool));
    };
    request(&mut checker, "a", 4_000, "right");
    checker.on_config(Millis(5_000), "right");
    request(&mut checker, "b", 5_010, "right");
    request(&mut checker, "c", 5_500, "left");
    assert!(
        checker.violations().is_empty(),
        "{:?}",
        checker.violations()
    );
    request(&mut checker, "d", 6_000, "right");
    request(&mut checker, "e", 6_500, "left");
    assert_eq!(checker.violations().len(), 1, "a true reversal");
}

/// Guards against a checker that misses too many requests to a cold upstream, or counts
/// those of other seconds and upstreams.
#[test]
fn requests_to_cold_upstreams_are_counted() {
    let mut checker = Checker::default();
    for count in 0..70 {
        checker.on_cold_arrival(Millis(count * 30), "a", "u1");
        checker.on_cold_arrival(Millis(count * 30), "a", "u2");
    }
    assert!(checker.violations().is_empty());
    for count in 0..36 {
        checker.on_cold_arrival(Millis(9_000 + count), "a", "u1");
    }
    assert_eq!(checker.violations().len(), 1);
}
