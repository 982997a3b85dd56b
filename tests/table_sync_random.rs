//! Randomised runs of table sync with many processes.

use std::panic;
use std::thread;

use chervilquay::bench::tables::random;
use chervilquay::bench::tables::random::Options;
use chervilquay::bench::tables::random::Sabotage;

const SEEDS: u64 = 200;
const THREADS: u64 = 4;

// Guards against any mix of faults that lowers the stamp of a process, gives one
// stamp two contents, or keeps an accepted set from a process after the faults end.
#[test]
fn seeds_hold_invariants() {
    let only = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    let workers: Vec<_> = (0..THREADS)
        .map(|first| {
            thread::spawn(move || {
                let seeds = (first..SEEDS).step_by(THREADS as usize);
                for seed in seeds.filter(|seed| only.is_none_or(|s: u64| s == *seed)) {
                    println!("seed {seed}");
                    let summary = random::run(Options::new(seed));
                    println!("seed {seed}: {summary:?}");
                    assert!(summary.steps >= 10_000);
                }
            })
        })
        .collect();
    for worker in workers {
        worker.join().expect("all seeds pass");
    }
}

fn failure(sabotage: Sabotage) -> String {
    let mut options = Options::new(7);
    options.sabotage = Some(sabotage);
    let result = panic::catch_unwind(|| random::run(options));
    let error = result.expect_err("the checks find it");
    error
        .downcast_ref::<String>()
        .cloned()
        .expect("panic with a message")
}

// Guards against checks that cannot fail: each run breaks one rule on purpose.
#[test]
fn checks_find_faults() {
    let lower = failure(Sabotage::AcceptLower);
    assert!(lower.contains("lowered its stamp"), "{lower}");
    let digest = failure(Sabotage::SkipDigest);
    assert!(digest.contains("other content"), "{digest}");
    let deaf = failure(Sabotage::Deaf);
    assert!(deaf.contains("does not hold"), "{deaf}");
}
