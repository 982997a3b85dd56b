//! Budget of repeated sends over a sliding window, summed over all entries.

use chervilquay::retry::WindowBudget;
use chervilquay::time::Millis;

const SPAN: Millis = Millis(10_000);

/// Guards against seven entries that together exceed the bound in any window, whatever share
/// of the requests each of them has.
#[test]
fn all_entries_together_keep_the_bound() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budgets = vec![WindowBudget::new(SPAN, 0.2, 102.0); 7];
        let mut events: Vec<(u64, bool)> = Vec::new();
        for at in (0..40_000_u64).step_by(10) {
            let entry = rng.usize(0..7).min(rng.usize(0..7));
            budgets[entry].on_request(Millis(at));
            events.push((at, false));
            while budgets[entry].spend(Millis(at), 7) {
                events.push((at, true));
            }
        }
        for start in (0..30_000_u64).step_by(100) {
            let inside = events
                .iter()
                .filter(|(at, _)| (start..start + SPAN.0).contains(at));
            let (mut requests, mut extras) = (0.0, 0.0);
            for (_, is_extra) in inside {
                if *is_extra {
                    extras += 1.0;
                } else {
                    requests += 1.0;
                }
            }
            let bound = 0.2 * requests + 102.0;
            assert!(
                extras <= bound,
                "seed {seed} at {start}: {extras} over {bound}"
            );
        }
    }
}

/// Guards against a budget that never allows a repeat at low traffic.
#[test]
fn slack_allows_the_first_repeats() {
    let mut budget = WindowBudget::new(SPAN, 0.2, 102.0);
    budget.on_request(Millis(0));
    assert!(budget.spend(Millis(0), 7));
}
