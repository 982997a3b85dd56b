//! Placement by many entries that learn late of each other's calls.

use chervilquay::bench::place;
use chervilquay::bench::place::Fleet;
use chervilquay::bench::place::Policy;
use chervilquay::bench::place::load::Pattern;

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Share of the credit of a small fleet that a large one has to earn.
const LARGE_SHARE: f64 = 0.9;

/// A zone of a large deployment. Entries report every 100 ms, each at another time.
const LARGE: Fleet = Fleet {
    entries: 20,
    runners: 18,
    exchange_ms: 100.0,
    phases: 5,
};

fn mean_credit(fleet: &Fleet, pattern: Pattern) -> f64 {
    let run = |seed| place::run_fleet(fleet.clone(), pattern, Policy::Own, seed).credit;
    SEEDS.map(run).iter().sum::<f64>() / SEEDS.len() as f64
}

/// Guards against entries that all send to the runner that was free in the last reports, and
/// refuse while other runners have free slots.
#[test]
fn many_entries_share_the_free_slots() {
    let steady = [80, 100, 150, 250].map(Pattern::Steady);
    let others = [Pattern::Burst, Pattern::Lost, Pattern::Reload];
    for pattern in steady.into_iter().chain(others) {
        let large = mean_credit(&LARGE, pattern);
        let small = mean_credit(&Fleet::default(), pattern);
        assert!(
            large >= LARGE_SHARE * small,
            "{pattern:?}: {large:.3} against {small:.3}"
        );
    }
}
