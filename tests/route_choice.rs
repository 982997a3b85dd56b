//! Choice of an upstream: load, zones, affinity, subsets.

use chervilquay::prelude::*;
use chervilquay::route::Chooser;
use chervilquay::route::Member;
use chervilquay::route::RequestTraits;
use chervilquay::route::affinity::CacheChange;
use chervilquay::route::affinity::CacheEvent;
use chervilquay::route::subset;
use chervilquay::route::upstream::LoadReport;
use chervilquay::route::upstream::Outcome;

const NOW: Millis = Millis(1_000);

fn members(zone: &str, count: usize) -> Vec<Member> {
    let member = |i| Member {
        name: format!("{zone}-{i}"),
        zone: zone.to_string(),
        ready: true,
    };
    (0..count).map(member).collect()
}

fn traits(prefix: Option<u64>) -> RequestTraits {
    RequestTraits {
        cost: 50.0,
        short: true,
        repeatable: true,
        prefix,
    }
}

fn send_calls(chooser: &mut Chooser, count: usize) -> Vec<u32> {
    for _ in 0..count {
        let key = chooser.pick(NOW, &traits(None), &[]).expect("one is open");
        chooser.on_sent(NOW, key, &traits(None));
    }
    chooser.iter().map(|(_, u)| u.calls).collect()
}

// Guards against uneven load from equal upstreams.
#[test]
fn load_spread_evenly() {
    let mut chooser = Chooser::new(1);
    chooser.set_members("a", &members("a", 5));
    let calls = send_calls(&mut chooser, 100);
    assert!(calls.iter().all(|n| (18..=22).contains(n)), "{calls:?}");
}

// Guards against use of other zones while the own zone has free capacity, and against an
// overloaded own zone while others are idle.
#[test]
fn zones_spill_by_load() {
    let mut chooser = Chooser::new(1);
    let mut all = members("a", 2);
    all.extend(members("b", 2));
    chooser.set_members("a", &all);
    let calls = send_calls(&mut chooser, 2);
    assert_eq!(calls[2..], [0, 0]);
    let calls = send_calls(&mut chooser, 40);
    assert!(calls[2..].iter().all(|n| *n > 0), "{calls:?}");
    assert!(calls[0] > calls[2], "{calls:?}");
}

// Guards against old load reports that outweigh the entry's own observations.
#[test]
fn old_reports_are_ignored() {
    let mut chooser = Chooser::new(1);
    chooser.set_members("a", &members("a", 2));
    let loaded = chooser.find("a-0").expect("member");
    let report = |measured_at| LoadReport {
        running: 8,
        queued: 8,
        measured_at,
    };
    chooser.on_report(loaded, report(NOW));
    let calls = send_calls(&mut chooser, 4);
    assert_eq!(calls, [0, 4]);
    chooser.on_report(loaded, report(Millis(0)));
    let later = NOW.plus(Millis(60_000));
    assert_eq!(chooser.pick(later, &traits(None), &[]), Some(loaded));
}

// Guards against calls to an upstream that refuses requests or leaves.
#[test]
fn closed_upstreams_get_no_calls() {
    let mut chooser = Chooser::new(1);
    chooser.set_members("a", &members("a", 2));
    let first = chooser.find("a-0").expect("member");
    let call = chooser.on_sent(NOW, first, &traits(None)).expect("held");
    chooser.on_ended(NOW, call, Outcome::Refused(NOW.plus(Millis(500))));
    assert_eq!(send_calls(&mut chooser, 3), [0, 3]);
    let mut left = members("a", 2);
    left[1].ready = false;
    chooser.set_members("a", &left);
    assert_eq!(chooser.pick(NOW, &traits(None), &[]), None);
    let later = NOW.plus(Millis(500));
    assert_eq!(chooser.pick(later, &traits(None), &[]), Some(first));
}

// Guards against a request that fails without an attempt at the only upstream left, when
// that one could not be reached a moment ago but is back.
#[test]
fn avoided_upstream_is_last_resort() {
    let mut chooser = Chooser::new(1);
    chooser.set_members("a", &members("a", 2));
    let first = chooser.find("a-0").expect("member");
    let second = chooser.find("a-1").expect("member");
    let call = chooser.on_sent(NOW, first, &traits(None)).expect("held");
    chooser.on_ended(NOW, call, Outcome::Avoided(NOW.plus(Millis(250))));
    assert_eq!(send_calls(&mut chooser, 3), [0, 3]);
    assert_eq!(chooser.pick(NOW, &traits(None), &[second]), Some(first));
}

// Guards against affinity that overloads the holder of a popular prefix.
#[test]
fn affinity_bounded() {
    let mut chooser = Chooser::new(1);
    chooser.set_members("a", &members("a", 3));
    let holder = chooser.find("a-2").expect("member");
    chooser.affinity.on_served(NOW, 7, holder);
    assert_eq!(chooser.pick(NOW, &traits(Some(7)), &[]), Some(holder));
    for _ in 0..60 {
        let key = chooser.pick(NOW, &traits(Some(7)), &[]).expect("open");
        chooser.on_sent(NOW, key, &traits(Some(7)));
    }
    let calls: Vec<_> = chooser.iter().map(|(_, u)| u.calls).collect();
    assert!(calls[2] > calls[0] && calls[2] < 30, "{calls:?}");
}

// Guards against full likelihood of holders from before a gap in the events, and against
// events that are applied after later ones.
#[test]
fn gaps_lower_likelihood() {
    let mut chooser = Chooser::new(1);
    chooser.set_members("a", &members("a", 1));
    let key = chooser.find("a-0").expect("member");
    let event = |seq, prefix, change| CacheEvent {
        seq,
        prefix,
        change,
    };
    let affinity = &mut chooser.affinity;
    affinity.on_event(NOW, key, event(0, 1, CacheChange::Stored));
    let before = affinity.likelihood(NOW, 1, key);
    let later = NOW.plus(Millis(1));
    affinity.on_event(later, key, event(5, 2, CacheChange::Stored));
    assert!(affinity.likelihood(later, 1, key) < 0.6 * before);
    affinity.on_event(later, key, event(3, 2, CacheChange::Evicted));
    assert!(affinity.likelihood(later, 2, key) > 0.9);
    (0..10_000).for_each(|p| affinity.on_served(later, p, key));
    assert!(affinity.len() <= 4_096);
}

// Guards against a member change that moves the whole subset.
#[test]
fn subset_is_stable() {
    let mut all = members("a", 60);
    all.extend(members("b", 60));
    let before = subset::subset("entry-1", "a", &all);
    assert_eq!(before.len(), subset::MAX_LOCAL + subset::MAX_REMOTE);
    let gone = before[0].name.clone();
    all.retain(|m| m.name != gone);
    let after = subset::subset("entry-1", "a", &all);
    let kept = after.iter().filter(|m| before.contains(m)).count();
    assert_eq!(kept, before.len() - 1);
    assert_ne!(before, subset::subset("entry-2", "a", &all));
}
