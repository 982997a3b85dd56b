//! Dating of changes: the time at which the store acknowledged a change, as far
//! as its reader can know it.

use chervilquay::direct::wire::DeltaDoc;
use chervilquay::member::StoreWatch;
use chervilquay::rollout::versions::Versions;
use chervilquay::table::replica::Delta;
use chervilquay::time::Millis;

/// Guards against the naming of a version being dated by its arrival when the
/// entry took over from readers that had been silent for a second.
#[test]
fn takeover_dates_from_last_complete_replica() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    let at = watch.change_time(Millis(101_000));
    assert!(at <= Millis(100_000), "{at:?}");
    // A slow first call did not wait for a change, which may be as old as the
    // silence of the readers.
    watch.note_wait(Millis(101_040), Millis(101_000));
    let at = watch.change_time(Millis(101_040));
    assert!(at <= Millis(100_000), "{at:?}");
}

/// Guards against the naming of a version being dated too early, which shortens
/// the time for which the previous version may serve.
#[test]
fn change_that_ends_a_wait_is_new() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    watch.note_wait(Millis(101_000), Millis(100_100));
    let at = watch.change_time(Millis(101_000));
    assert!(at >= Millis(100_900) && at < Millis(101_000), "{at:?}");
    watch.on_complete(Millis(101_000));
    let at = watch.change_time(Millis(101_100));
    assert!(at <= Millis(101_000), "made while the entry paused: {at:?}");
    assert!(at >= Millis(100_800), "{at:?}");
}

/// Guards against dating a change to before an outage of the store.
#[test]
fn change_after_outage_is_dated_by_arrival() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    assert_eq!(watch.change_time(Millis(108_000)), Millis(108_000));
}

/// Guards against the naming of a version being dated earlier with each process
/// that passes it on.
#[test]
fn hops_do_not_date_earlier() {
    let bound = Millis(8_000);
    let mut first = Versions::default();
    first.record(Millis(100_000), bound, false, "m", 2);
    let mut told = first.clone();
    for hop in 1..=50_u64 {
        let now = Millis(100_000 + 40 * hop);
        let delta = Delta {
            era: 0,
            full: false,
            upto: 1,
            docs: Vec::new(),
        };
        let doc = DeltaDoc::new(delta, Millis(0)).with_named(now, told.named_since(Millis(0)));
        let mut next = Versions::default();
        next.record(now, bound, false, "m", 2);
        for named in doc.to_named(now.plus(Millis(20))) {
            next.merge(&named);
        }
        told = next;
    }
    let (_, at) = told.newest("m");
    assert!(at >= Millis(100_000), "{at:?}");
    assert!(at <= Millis(101_000), "{at:?}");
}
