//! Membership: precedence of sources, incarnations, suspicion.

use chervilquay::bench::tables::texts;
use chervilquay::bench::tables::texts::Shape;
use chervilquay::member::Incarnation;
use chervilquay::member::Live;
use chervilquay::member::Members;
use chervilquay::member::Progress;
use chervilquay::member::Standing;
use chervilquay::prelude::*;
use chervilquay::table::Set;

const SHAPE: Shape = Shape {
    nodes: 4,
    zones: 2,
    routes: 2,
    pools: 2,
};

fn set(drain: Option<&str>) -> Set {
    let mut pools = texts::pools(SHAPE, 1, 0, texts::addr);
    if let Some(name) = drain {
        let plain = format!("{name}: {{");
        pools = pools.replace(&plain, &format!("{plain}drain: true, "));
    }
    Set::parse(&texts::routes(SHAPE, 1, 0), &pools).expect("valid")
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
    let mut members = Members::default();
    let first = Incarnation(1 << 20);
    let name = "vm-1";
    let plain = set(None);
    let drained = set(Some(name));
    let standing = |members: &Members, set, live: &Live| members.standing(name, set, live);
    assert_eq!(
        standing(&members, None, &Live::default()),
        Standing::Unknown
    );
    assert_eq!(standing(&members, None, &live(None)), Standing::LiveOnly);
    assert_eq!(
        standing(&members, Some(&plain), &Live::default()),
        Standing::Listed
    );
    let leaving = live(Some(name));
    assert_eq!(
        standing(&members, Some(&plain), &leaving),
        Standing::LiveLeaving
    );
    assert_eq!(
        standing(&members, Some(&drained), &leaving),
        Standing::TableDrain
    );
    assert!(members.report(name, first, true));
    assert_eq!(
        standing(&members, Some(&plain), &live(None)),
        Standing::OwnLeaving
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
    let mut members = Members::default();
    let listed = set(None);
    assert!(members.report("vm-1", old, true));
    assert!(members.report("vm-1", old, false), "sent before it left");
    let at = |m: &Members| m.standing("vm-1", Some(&listed), &Live::default());
    assert_eq!(at(&members), Standing::OwnLeaving);
    assert!(members.report("vm-1", new, false));
    assert_eq!(at(&members), Standing::Listed);
    assert!(!members.report("vm-1", old, true), "older incarnation");
    assert_eq!(at(&members), Standing::Listed);
}

// Guards against suspicion from one slow answer, and against none for a dead process.
#[test]
fn progress_counts() {
    let mut progress = Progress::default();
    let addr = texts::addr(1);
    let at = |s: u64| Millis(s * 1_000);
    progress.sent(at(0), addr);
    progress.missed(at(9), addr);
    assert!(!progress.is_suspect(addr), "one miss");
    progress.heard(at(10), addr);
    progress.sent(at(11), addr);
    progress.missed(at(12), addr);
    progress.missed(at(13), addr);
    assert!(!progress.is_suspect(addr), "too soon");
    progress.missed(at(17), addr);
    assert!(progress.is_suspect(addr));
    progress.heard(at(18), addr);
    assert!(!progress.is_suspect(addr));
}

// Guards against state that grows with the fleet.
#[test]
fn progress_is_bounded() {
    let mut progress = Progress::default();
    for node in 0..10_000 {
        progress.sent(Millis(node), texts::addr(node as usize));
    }
    assert!(progress.len() <= 128);
}

// Guards against links that overrule a list, which would let a slow process look dead.
#[test]
fn links_are_weakest() {
    let mut progress = Progress::default();
    let addr = texts::addr(1);
    progress.sent(Millis(0), addr);
    progress.missed(Millis(6_000), addr);
    progress.missed(Millis(7_000), addr);
    let join = |standing| Members::with_links(standing, addr, &progress);
    assert_eq!(join(Standing::Listed), Standing::Listed);
    assert_eq!(join(Standing::Unknown), Standing::Suspect);
}
