//! State of upstreams: precedence of sources, incarnations and suspicion.

use chervilquay::bench::tables::texts;
use chervilquay::bench::tables::texts::Shape;
use chervilquay::member::AgentReports;
use chervilquay::member::FailureDetector;
use chervilquay::member::Incarnation;
use chervilquay::member::Live;
use chervilquay::member::UpstreamState;
use chervilquay::prelude::*;
use chervilquay::table::TableSet;

const SHAPE: Shape = Shape {
    nodes: 4,
    zones: 2,
    routes: 2,
    pools: 2,
};

fn set(drain: Option<&str>) -> TableSet {
    let mut pools = texts::pools(SHAPE, 1, 0, texts::addr);
    if let Some(name) = drain {
        let plain = format!("{name}: {{");
        pools = pools.replace(&plain, &format!("{plain}drain: true, "));
    }
    TableSet::parse(&texts::routes(SHAPE, 1, 0), &pools).expect("valid")
}

fn live(leaving: Option<&str>) -> Live {
    let mut text = texts::live(SHAPE, |_| false, texts::addr);
    if let Some(name) = leaving {
        let plain = format!("{name}: {{");
        text = text.replace(&plain, &format!("{plain}leaving: true, "));
    }
    Live::parse(&text).expect("valid")
}

// Guards against a weaker source that overrides a stronger one.
#[test]
fn stronger_source_takes_precedence() {
    let mut reports = AgentReports::default();
    let first = Incarnation(1 << 20);
    let name = "vm-1";
    let plain = set(None);
    let drained = set(Some(name));
    let state = |reports: &AgentReports, set, live: &Live| reports.state(name, set, live);
    assert_eq!(
        state(&reports, None, &Live::default()),
        UpstreamState::Unknown
    );
    assert_eq!(state(&reports, None, &live(None)), UpstreamState::LiveOnly);
    assert_eq!(
        state(&reports, Some(&plain), &Live::default()),
        UpstreamState::Listed
    );
    let leaving = live(Some(name));
    assert_eq!(
        state(&reports, Some(&plain), &leaving),
        UpstreamState::LiveLeaving
    );
    assert_eq!(
        state(&reports, Some(&drained), &leaving),
        UpstreamState::TableDrain
    );
    assert!(reports.record(name, first, true));
    assert_eq!(
        state(&reports, Some(&plain), &live(None)),
        UpstreamState::OwnLeaving
    );
}

// Guards against the report of an earlier incarnation being taken for that of
// the later one.
#[test]
fn later_incarnation_replaces_earlier() {
    let mut rng = fastrand::Rng::with_seed(1);
    let old = Incarnation::new(Millis(1_000), &mut rng);
    let new = Incarnation::new(Millis(1_001), &mut rng);
    assert!(new.replaces(old) && !old.replaces(new));
    assert_eq!(new.started(), Millis(1_001));
    let mut reports = AgentReports::default();
    let listed = set(None);
    assert!(reports.record("vm-1", old, true));
    assert!(reports.record("vm-1", old, false), "sent before the leave");
    let state = |r: &AgentReports| r.state("vm-1", Some(&listed), &Live::default());
    assert_eq!(state(&reports), UpstreamState::OwnLeaving);
    assert!(reports.record("vm-1", new, false));
    assert_eq!(state(&reports), UpstreamState::Listed);
    assert!(!reports.record("vm-1", old, true), "older incarnation");
    assert_eq!(state(&reports), UpstreamState::Listed);
}

// Guards against suspicion after a single slow answer, and against a dead
// process that is never suspected.
#[test]
fn two_failures_without_progress_raise_suspicion() {
    let mut detector = FailureDetector::default();
    let addr = texts::addr(1);
    let at = |s: u64| Millis(s * 1_000);
    detector.on_sent(at(0), addr);
    detector.on_failure(at(9), addr);
    assert!(!detector.is_suspected(addr), "one failure");
    detector.on_progress(at(10), addr);
    detector.on_sent(at(11), addr);
    detector.on_failure(at(12), addr);
    detector.on_failure(at(13), addr);
    assert!(!detector.is_suspected(addr), "too soon");
    detector.on_failure(at(17), addr);
    assert!(detector.is_suspected(addr));
    detector.on_progress(at(18), addr);
    assert!(!detector.is_suspected(addr));
}

// Guards against state that grows with the number of processes.
#[test]
fn failure_detector_is_bounded() {
    let mut detector = FailureDetector::default();
    for node in 0..10_000 {
        detector.on_sent(Millis(node), texts::addr(node as usize));
    }
    assert!(detector.len() <= 128);
}

// Guards against a suspicion that overrides a list, so that a slow process
// would count as dead.
#[test]
fn suspicion_is_weakest_source() {
    let mut detector = FailureDetector::default();
    let addr = texts::addr(1);
    detector.on_sent(Millis(0), addr);
    detector.on_failure(Millis(6_000), addr);
    detector.on_failure(Millis(7_000), addr);
    let suspected = |state| AgentReports::with_suspicion(state, addr, &detector);
    assert_eq!(suspected(UpstreamState::Listed), UpstreamState::Listed);
    assert_eq!(suspected(UpstreamState::Unknown), UpstreamState::Suspect);
}
