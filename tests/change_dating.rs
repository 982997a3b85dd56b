//! Dating of changes: the time at which the store acknowledged a change, as far
//! as its reader can know it.

use chervilquay::direct::wire::DeltaDoc;
use chervilquay::member::StoreWatch;
use chervilquay::rollout::versions::Dating;
use chervilquay::rollout::versions::Versions;
use chervilquay::table::replica::Delta;
use chervilquay::time::Millis;

/// Returns when a change that is read now was made, and how that is known.
fn time(watch: &StoreWatch, now: u64) -> (Millis, Dating) {
    let naming = watch.change_time(Millis(now)).expect("a time");
    (naming.at, naming.dating)
}

/// Guards against the naming of a version being dated by its arrival when the
/// entry took over from readers that had been silent for a second.
#[test]
fn takeover_dates_from_last_complete_replica() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    let (at, _) = time(&watch, 101_000);
    assert!(at <= Millis(100_000), "{at:?}");
    // A slow first call did not wait for a change, which may be as old as the
    // silence of the readers.
    watch.note_wait(Millis(101_040), Millis(101_000));
    let (at, _) = time(&watch, 101_040);
    assert!(at <= Millis(100_000), "{at:?}");
}

/// Guards against the naming of a version being dated too early, which shortens
/// the time for which the previous version may serve.
#[test]
fn change_that_ends_a_wait_is_new() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    watch.note_wait(Millis(101_000), Millis(100_100));
    let (at, _) = time(&watch, 101_000);
    assert!(at >= Millis(100_900) && at < Millis(101_000), "{at:?}");
    watch.on_complete(Millis(101_000));
    let (at, _) = time(&watch, 101_100);
    assert!(at <= Millis(101_000), "made while the entry paused: {at:?}");
    assert!(at >= Millis(100_800), "{at:?}");
}

/// Guards against dating a change to before an outage of the store, which would end the time
/// of the previous version when the store is back.
#[test]
fn change_after_outage_is_dated_by_it() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    for now in (100_000..=108_000).step_by(100) {
        watch.on_tick(Millis(now));
        if now >= 101_000 && now % 500 == 0 {
            watch.on_failure(Millis(now), Millis(now - 400));
        }
    }
    let (at, dating) = time(&watch, 108_100);
    assert!(at >= Millis(107_500), "{at:?}");
    assert_eq!(dating, Dating::Exact);
}

/// Guards against a change that is dated by its arrival, as all readers were lost when it was
/// made: nothing shows that the store was away.
#[test]
fn change_after_loss_of_readers_is_dated_before_it() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    for now in (100_000..=104_000).step_by(100) {
        watch.on_tick(Millis(now));
    }
    let (at, dating) = time(&watch, 104_000);
    assert!(at <= Millis(100_000) && at >= Millis(99_500), "{at:?}");
    assert_eq!(dating, Dating::Earliest);
    // A single lost connection is no outage of the store.
    watch.on_failure(Millis(104_000), Millis(103_900));
    assert_eq!(time(&watch, 104_100).1, Dating::Earliest);
}

/// Guards against a change that is dated by when its reader went on after a standstill, though
/// the answer had waited in the socket, and against a timeout that counts as an outage then.
#[test]
fn change_read_after_a_standstill_is_dated_before_it() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(100_000));
    for now in (100_000..=100_500).step_by(100) {
        watch.on_tick(Millis(now));
    }
    let mut answered = watch;
    answered.note_wait(Millis(104_000), Millis(100_100));
    let (at, dating) = time(&answered, 104_000);
    assert!(at <= Millis(100_500) && at >= Millis(100_000), "{at:?}");
    assert_eq!(dating, Dating::Earliest);
    // The tick comes first, and both calls that were open or waited then have timed out.
    watch.on_tick(Millis(104_000));
    watch.on_failure(Millis(104_001), Millis(100_100));
    watch.on_failure(Millis(104_002), Millis(103_999));
    let (at, dating) = time(&watch, 104_100);
    assert!(at <= Millis(100_500), "{at:?}");
    assert_eq!(dating, Dating::Earliest);
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
