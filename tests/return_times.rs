//! Plan of the times at which refused callers return.

use chervilquay::bench::place;
use chervilquay::bench::place::Policy;
use chervilquay::bench::place::load::Pattern;
use chervilquay::retry::Returns;
use chervilquay::retry::returns::PoolState;
use chervilquay::retry::returns::Refused;
use chervilquay::time::Millis;
use fastrand::Rng;

const NOW: Millis = Millis(10_000);

fn refused(overloaded: bool, timely: f64) -> Refused {
    Refused {
        after: Millis(200),
        patience: Some(6_000.0),
        timely,
        pool: PoolState {
            overloaded,
            return_rate: 2.0,
        },
    }
}

fn plan(count: usize, refused: &Refused) -> Vec<u64> {
    let mut returns = Returns::default();
    let mut rng = Rng::with_seed(1);
    let times = (0..count).map(|_| returns.plan(NOW, refused, &mut rng).0);
    times.collect()
}

/// Guards against callers that return during the burst that refused them, when none of them
/// can be served in time any more.
#[test]
fn late_callers_return_after_the_burst() {
    for after in plan(50, &refused(true, 0.0)) {
        assert!((1_700..=2_000).contains(&after), "{after}");
    }
}

/// Guards against telling more callers to return early than there is room for.
#[test]
fn early_returns_are_bounded_by_the_room() {
    let times = plan(50, &refused(true, 400.0));
    let early = times.iter().filter(|after| **after < 1_000).count();
    assert_eq!(early, 1, "{times:?}");
}

/// Guards against long waits when a few requests are refused below the capacity.
#[test]
fn a_free_slot_is_near_below_the_capacity() {
    for after in plan(50, &refused(false, 0.0)) {
        assert!((200..=400).contains(&after), "{after}");
    }
}

/// Guards against a time beyond the part of its patience for which a caller waits.
#[test]
fn times_stay_within_the_callers_patience() {
    for overloaded in [false, true] {
        let hasty = Refused {
            patience: Some(300.0),
            ..refused(overloaded, 400.0)
        };
        assert!(plan(50, &hasty).iter().all(|after| *after <= 100));
    }
}

/// Guards against callers that are refused again although the burst ends before they give up.
/// With return times within a quarter of a second, 0.61 of them are (0.90 before kinds were
/// held back by rank).
#[test]
fn few_callers_are_refused_again_after_a_burst() {
    let seeds = [1, 2, 3];
    let again = seeds.map(|seed| place::run(Pattern::RankBurst, Policy::Own, seed).refused_again);
    let mean = again.iter().sum::<f64>() / again.len() as f64;
    assert!(mean < 0.5, "{mean:.3}");
}
