//! Budgets of extra attempts and the waits between them.

use chervilquay::prelude::*;
use chervilquay::retry;
use chervilquay::retry::Backoff;
use chervilquay::retry::Budget;

// Guards against retries that multiply the load when everything fails.
#[test]
fn extra_attempts_bounded() {
    let mut budget = Budget::new(0.1, 5.0);
    let mut spent = 0;
    for _ in 0..10_000 {
        budget.deposit();
        while budget.spend() {
            spent += 1;
        }
    }
    assert!((900..=1_005).contains(&spent), "{spent}");
}

// Guards against tokens that accumulate in a long time without failures.
#[test]
fn tokens_bounded() {
    let mut budget = Budget::new(0.1, 0.0);
    (0..100_000).for_each(|_| budget.deposit());
    let burst = (0..1_000).filter(|_| budget.spend()).count();
    assert_eq!(burst, 20);
}

// Guards against repeated sends of non-repeatable calls that may have run, and against mixed
// answers.
#[test]
fn repeat_rules() {
    assert!(retry::may_repeat(Run::NotRun, false));
    assert!(retry::may_repeat(Run::Unknown, true));
    assert!(!retry::may_repeat(Run::Unknown, false));
    assert!(!retry::may_repeat(Run::Partial, true));
}

// Guards against waits that overflow or grow without bound.
#[test]
fn backoff_bounded() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut backoff = Backoff::default();
    let waits: Vec<_> = (0..100).map(|_| backoff.next(&mut rng)).collect();
    assert!(waits[0] <= Millis(10));
    assert!(waits.iter().all(|wait| *wait <= Millis(1_000)));
}
