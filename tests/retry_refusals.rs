//! Requests that callers send again after a refusal.

use chervilquay::retry::Refusal;
use chervilquay::retry::Refusals;
use chervilquay::time::Millis;

fn refusal(fingerprint: u64, first_arrival: u64, deadline: u64) -> Refusal {
    Refusal {
        fingerprint,
        first_arrival: Millis(first_arrival),
        deadline: Millis(deadline),
    }
}

/// Guards against new requests that count as repeats and so as late. First attempts on one
/// route have deadlines from 4.6 s to 5.9 s, and some have the same content.
#[test]
fn other_deadlines_are_no_repeat() {
    let mut refusals = Refusals::default();
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut now = 0;
        for fingerprint in 0..200 {
            now += rng.u64(1..40);
            let deadline = Millis(now + rng.u64(4_600..5_900));
            assert_eq!(refusals.first_arrival(fingerprint, deadline), None);
        }
    }
    refusals.record(Millis(100), refusal(7, 100, 5_000));
    assert_eq!(refusals.first_arrival(7, Millis(5_900)), None);
}

/// Guards against an attempt that is placed as if its whole objective were left, although
/// its caller was refused before, by this entry or another one.
#[test]
fn attempts_count_from_the_first() {
    let mut here = Refusals::default();
    let mut there = Refusals::default();
    here.record(Millis(100), refusal(7, 100, 5_100));
    for shared in here.recent(Millis(350)) {
        there.merge(Millis(350), shared);
    }
    assert_eq!(there.first_arrival(7, Millis(5_110)), Some(Millis(100)));
    there.record(Millis(900), refusal(7, 890, 5_110));
    for shared in there.recent(Millis(950)) {
        here.merge(Millis(950), shared);
    }
    assert_eq!(here.first_arrival(7, Millis(5_100)), Some(Millis(100)));
}

/// Guards against datagrams and tables that grow with the refusals.
#[test]
fn refusals_are_bounded() {
    let mut refusals = Refusals::default();
    for fingerprint in 0..20_000 {
        refusals.record(
            Millis(fingerprint / 10),
            refusal(fingerprint, fingerprint / 10, 9_000),
        );
    }
    let recent = refusals.recent(Millis(2_000));
    assert_eq!(recent.len(), 24);
    assert_eq!(recent[0].fingerprint, 19_999);
    assert!(refusals.recent(Millis(2_400)).is_empty());
}
