//! When a change of the store was acknowledged, as its reader can tell.

use chervilquay::direct::wire::DeltaDoc;
use chervilquay::member::StoreWatch;
use chervilquay::rollout::versions::Versions;
use chervilquay::table::replica::Delta;
use chervilquay::time::Millis;

/// Guards against a naming that is dated by its hearing: the entry took over
/// from readers that had been silent for a second.
#[test]
fn takeover_dates_from_the_last_word() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    let at = watch.change_time(Millis(101_000));
    assert!(at <= Millis(100_000), "{at:?}");
    // A slow first call is no wait: the change may be as old as the silence.
    watch.note_wait(Millis(101_040), Millis(101_000));
    let at = watch.change_time(Millis(101_040));
    assert!(at <= Millis(100_000), "{at:?}");
}

/// Guards against a naming that is dated too early, which takes time from the
/// version that still serves.
#[test]
fn change_that_ends_a_wait_is_new() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    watch.note_wait(Millis(101_000), Millis(100_100));
    let at = watch.change_time(Millis(101_000));
    assert!(at >= Millis(100_900) && at < Millis(101_000), "{at:?}");
    watch.on_complete(Millis(101_000));
    let at = watch.change_time(Millis(101_100));
    assert!(at <= Millis(101_000), "made while the entry rested: {at:?}");
    assert!(at >= Millis(100_800), "{at:?}");
}

/// Guards against dating a change to before an outage of the store.
#[test]
fn outage_dates_nothing() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    assert_eq!(watch.change_time(Millis(108_000)), Millis(108_000));
}

/// Guards against a naming that is dated earlier with each process that tells it on.
#[test]
fn hops_do_not_date_earlier() {
    let bound = Millis(8_000);
    let mut first = Versions::default();
    first.record(Millis(100_000), bound, false, "m", 2);
    let mut told = first.clone();
    for hop in 1..=50_u64 {
        let now = Millis(100_000 + 40 * hop);
        let delta = Delta {
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
