//! State that the requests to one pool share at one entry.

use fastrand::Rng;

use crate::arena::Key;
use crate::retry;
use crate::retry::Budget;
use crate::route::choose::Chooser;
use crate::route::choose::Policy;
use crate::route::hedge::Delay;
use crate::route::upstream::Call;
use crate::route::upstream::Outcome;
use crate::route::upstream::RequestTraits;
use crate::time::Millis;

/// Retries that the budget allows before any request was counted.
const RETRY_RESERVE: f64 = 5.0;

/// Interval at which the hedge delays are recomputed.
const DELAY_INTERVAL: Millis = Millis(100);

/// Shared state of the requests to one pool.
#[derive(Debug)]
pub struct Router {
    /// Upstreams and their observed state.
    pub chooser: Chooser,
    /// Budget of retries.
    pub retries: Budget,
    /// Budget of hedges.
    pub hedges: Budget,
    pub(crate) rng: Rng,
    short_delay: Delay,
    long_delay: Delay,
    delays_at: Millis,
}

impl Router {
    /// Creates a router without upstreams.
    pub fn new(seed: u64) -> Router {
        Router::with_policy(seed, Policy::Expected)
    }

    /// Creates a router that chooses by `policy`. Baseline policies neither retry nor
    /// hedge.
    pub fn with_policy(seed: u64, policy: Policy) -> Router {
        let (retry, hedge, reserve) = match policy {
            Policy::Expected => (retry::RETRY_RATIO, retry::HEDGE_RATIO, RETRY_RESERVE),
            _ => (0.0, 0.0, 0.0),
        };
        Router {
            chooser: Chooser::with_policy(seed, policy),
            retries: Budget::new(retry, reserve),
            hedges: Budget::new(hedge, 0.0),
            rng: Rng::with_seed(seed ^ 1),
            short_delay: Delay::default(),
            long_delay: Delay::default(),
            delays_at: Millis(0),
        }
    }

    /// Counts a new request for the budgets.
    pub fn on_request(&mut self) {
        self.retries.deposit();
        self.hedges.deposit();
    }

    /// Returns the time to wait for the first frame before a hedge is sent.
    pub fn hedge_delay(&self, traits: &RequestTraits) -> Millis {
        if traits.short {
            self.short_delay.value()
        } else {
            self.long_delay.value()
        }
    }

    /// Counts the first frame of an answer.
    pub fn on_begun(&mut self, now: Millis, call: Key<Call>, short: bool) {
        if let Some(first) = self.chooser.on_begun(now, call) {
            let delay = if short {
                &mut self.short_delay
            } else {
                &mut self.long_delay
            };
            delay.add(first);
        }
    }

    /// Counts the end of a call.
    pub fn on_ended(&mut self, now: Millis, call: Key<Call>, outcome: Outcome) {
        self.chooser.on_ended(now, call, outcome);
    }

    /// Ejects and readmits upstreams and updates the hedge delays. Must be called
    /// every 50 to 100 ms.
    pub fn tick(&mut self, now: Millis) {
        self.chooser.tick(now);
        if now.since(self.delays_at) >= DELAY_INTERVAL {
            self.delays_at = now;
            self.short_delay.tick();
            self.long_delay.tick();
        }
    }
}
