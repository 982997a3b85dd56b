//! Limits per organisation over several entries.

use chervilquay::limit::Limiter;
use chervilquay::limit::org::COUNT_EXPIRY;
use chervilquay::limit::org::GROWTH;
use chervilquay::limit::org::ROUND;
use chervilquay::prelude::*;

const LIMIT: f64 = 140.0;
const ENTRIES: usize = 7;

struct Fleet {
    limiters: Vec<Limiter>,
    now: Millis,
}

impl Fleet {
    fn new() -> Fleet {
        let mut limiters = Vec::new();
        for _ in 0..ENTRIES {
            let mut limiter = Limiter::new(Millis(0), ENTRIES);
            limiter.set_limit(Millis(0), "a", Some(LIMIT));
            limiters.push(limiter);
        }
        Fleet {
            limiters,
            now: Millis(0),
        }
    }

    /// Offers `rates` requests per second for one round; returns the rate admitted.
    fn round(&mut self, rates: [f64; ENTRIES], exchange: bool) -> f64 {
        let steps = 200;
        let mut admitted = 0;
        let mut backlog = [0.0; ENTRIES];
        for _ in 0..steps {
            self.now = self.now.plus(Millis(ROUND.0 / steps));
            for (limiter, (rate, backlog)) in
                self.limiters.iter_mut().zip(rates.iter().zip(&mut backlog))
            {
                *backlog += rate * ROUND.0 as f64 / steps as f64 / 1_000.0;
                while *backlog >= 1.0 {
                    *backlog -= 1.0;
                    admitted += u32::from(limiter.admit(self.now, "a").is_ok());
                }
                limiter.tick(self.now);
            }
        }
        if exchange {
            self.exchange();
        }
        f64::from(admitted) * 1_000.0 / ROUND.0 as f64
    }

    fn exchange(&mut self) {
        for from in 0..ENTRIES {
            let counts = self.limiters[from].counts();
            for (to, limiter) in self.limiters.iter_mut().enumerate() {
                if to != from {
                    limiter.on_counts(self.now, &format!("e{from}"), &counts);
                }
            }
        }
    }
}

// Guards against entries that together exceed the limit when no counts arrive.
#[test]
fn entries_without_counts_stay_safe() {
    let mut fleet = Fleet::new();
    fleet.round([1_000.0; ENTRIES], false);
    for _ in 0..10 {
        let admitted = fleet.round([1_000.0; ENTRIES], false);
        assert!(admitted <= LIMIT * 1.01, "{admitted}");
    }
}

// Guards against an organisation that uses one entry only and gets no more than the safe
// share there.
#[test]
fn unused_shares_are_admitted() {
    let mut fleet = Fleet::new();
    let mut rates = [0.0; ENTRIES];
    rates[0] = 1_000.0;
    let mut admitted = 0.0;
    for _ in 0..40 {
        admitted = fleet.round(rates, true);
    }
    assert!(
        admitted > 0.9 * LIMIT && admitted <= 1.01 * LIMIT,
        "{admitted}"
    );
}

// Guards against an excess beyond the documented bound when all entries become busy at
// once, also when counts then no longer arrive.
#[test]
fn excess_bounded() {
    let rounds = (COUNT_EXPIRY.0 / ROUND.0) as usize;
    for no_counts in [false, true] {
        let mut fleet = Fleet::new();
        (0..20).for_each(|_| {
            fleet.round([0.0; ENTRIES], true);
        });
        let mut rates = Vec::new();
        for _ in 0..20 {
            rates.push(fleet.round([1_000.0; ENTRIES], !no_counts));
        }
        let bound = LIMIT * (1.0 + GROWTH * rounds as f64);
        assert!(rates.iter().all(|rate| *rate <= bound), "{rates:?}");
        let late = &rates[rounds + 2..];
        assert!(late.iter().all(|rate| *rate <= LIMIT * 1.01), "{rates:?}");
    }
}

// Guards against a refusal without the time after which to come back.
#[test]
fn refusals_have_a_retry_time() {
    let mut limiter = Limiter::new(Millis(0), 1);
    limiter.set_limit(Millis(0), "a", Some(1.0));
    assert!(limiter.admit(Millis(0), "a").is_ok());
    let error = limiter.admit(Millis(0), "a").expect_err("over the limit");
    assert_eq!(error.code, Code::LimitExceeded);
    let after = error.retry.expect("a time");
    assert!(limiter.admit(after, "a").is_ok());
    assert!(limiter.admit(Millis(0), "other").is_ok());
}
