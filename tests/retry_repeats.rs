//! Requests that come again after a refusal.

use chervilquay::retry::Refusal;
use chervilquay::retry::Refusals;
use chervilquay::time::Millis;

fn refused(fingerprint: u64, first_arrival: u64, deadline: u64) -> Refusal {
    Refusal {
        fingerprint,
        first_arrival: Millis(first_arrival),
        deadline: Millis(deadline),
    }
}

/// Guards against fresh requests that are placed as late: first attempts bring
/// deadlines from 4.6 s to 5.9 s on one route, and some have the same content.
#[test]
fn unlike_deadlines_are_no_repeat() {
    let mut repeats = Refusals::default();
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut now = 0;
        for fingerprint in 0..200 {
            now += rng.u64(1..40);
            let deadline = Millis(now + rng.u64(4_600..5_900));
            assert_eq!(repeats.first_arrival(fingerprint, deadline), None);
        }
    }
    repeats.record(Millis(100), refused(7, 100, 5_000));
    assert_eq!(repeats.first_arrival(7, Millis(5_900)), None);
}

/// Guards against an attempt that is placed as if its whole objective were
/// left, though its caller was refused before, here or at another entry.
#[test]
fn attempts_count_from_the_first() {
    let mut here = Refusals::default();
    let mut there = Refusals::default();
    here.record(Millis(100), refused(7, 100, 5_100));
    for told in here.recent(Millis(350)) {
        there.merge(Millis(350), told);
    }
    assert_eq!(there.first_arrival(7, Millis(5_110)), Some(Millis(100)));
    there.record(Millis(900), refused(7, 890, 5_110));
    for told in there.recent(Millis(950)) {
        here.merge(Millis(950), told);
    }
    assert_eq!(here.first_arrival(7, Millis(5_100)), Some(Millis(100)));
}

/// Guards against datagrams and tables that grow with the refusals.
#[test]
fn refusals_are_bounded() {
    let mut repeats = Refusals::default();
    for fingerprint in 0..20_000 {
        repeats.record(
            Millis(fingerprint / 10),
            refused(fingerprint, fingerprint / 10, 9_000),
        );
    }
    let news = repeats.recent(Millis(2_000));
    assert_eq!(news.len(), 24);
    assert_eq!(news[0].fingerprint, 19_999);
    assert!(repeats.recent(Millis(2_400)).is_empty());
}
