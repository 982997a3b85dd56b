//! Membership: precedence of sources, incarnations, suspicion.

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

// Guards against a weaker source that overrules a stronger one.
#[test]
fn precedence_holds() {
    let mut members = AgentReports::default();
    let first = Incarnation(1 << 20);
    let name = "vm-1";
    let plain = set(None);
    let drained = set(Some(name));
    let standing = |members: &AgentReports, set, live: &Live| members.state(name, set, live);
    assert_eq!(
        standing(&members, None, &Live::default()),
        UpstreamState::Unknown
    );
    assert_eq!(
        standing(&members, None, &live(None)),
        UpstreamState::LiveOnly
    );
    assert_eq!(
        standing(&members, Some(&plain), &Live::default()),
        UpstreamState::Listed
    );
    let leaving = live(Some(name));
    assert_eq!(
        standing(&members, Some(&plain), &leaving),
        UpstreamState::LiveLeaving
    );
    assert_eq!(
        standing(&members, Some(&drained), &leaving),
        UpstreamState::TableDrain
    );
    assert!(members.report(name, first, true));
    assert_eq!(
        standing(&members, Some(&plain), &live(None)),
        UpstreamState::OwnLeaving
    );
}

// Guards against an old process's word that is taken for its successor's.
#[test]
fn incarnation_replaces() {
    let mut rng = fastrand::Rng::with_seed(1);
    let old = Incarnation::new(Millis(1_000), &mut rng);
    let new = Incarnation::new(Millis(1_001), &mut rng);
    assert!(new.replaces(old) && !old.replaces(new));
    assert_eq!(new.started(), Millis(1_001));
    let mut members = AgentReports::default();
    let listed = set(None);
    assert!(members.report("vm-1", old, true));
    assert!(members.report("vm-1", old, false), "sent before it left");
    let at = |m: &AgentReports| m.state("vm-1", Some(&listed), &Live::default());
    assert_eq!(at(&members), UpstreamState::OwnLeaving);
    assert!(members.report("vm-1", new, false));
    assert_eq!(at(&members), UpstreamState::Listed);
    assert!(!members.report("vm-1", old, true), "older incarnation");
    assert_eq!(at(&members), UpstreamState::Listed);
}

// Guards against suspicion from one slow answer, and against none for a dead process.
#[test]
fn progress_counts() {
    let mut detector = FailureDetector::default();
    let addr = texts::addr(1);
    let at = |s: u64| Millis(s * 1_000);
    detector.on_sent(at(0), addr);
    detector.on_failure(at(9), addr);
    assert!(!detector.is_suspected(addr), "one miss");
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

// Guards against state that grows with the fleet.
#[test]
fn progress_is_bounded() {
    let mut detector = FailureDetector::default();
    for node in 0..10_000 {
        detector.on_sent(Millis(node), texts::addr(node as usize));
    }
    assert!(detector.len() <= 128);
}

// Guards against links that overrule a list, which would let a slow process look dead.
#[test]
fn links_are_weakest() {
    let mut detector = FailureDetector::default();
    let addr = texts::addr(1);
    detector.on_sent(Millis(0), addr);
    detector.on_failure(Millis(6_000), addr);
    detector.on_failure(Millis(7_000), addr);
    let join = |standing| AgentReports::with_suspicion(standing, addr, &detector);
    assert_eq!(join(UpstreamState::Listed), UpstreamState::Listed);
    assert_eq!(join(UpstreamState::Unknown), UpstreamState::Suspect);
}
