//! Token buckets that limit rollout traffic on a link and yield to live requests.

use crate::time::Millis;

/// Part of a link's rate that rollout traffic keeps however busy live traffic is.
///
/// Without it a saturated link would stop a rollout for as long as the load lasts.
const FLOOR: f64 = 0.1;

/// A token bucket over one link.
///
/// Rollout traffic may use what live traffic leaves. Live traffic is never
/// delayed: it takes its tokens even when that drives the bucket below zero.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Millis,
}

impl TokenBucket {
    /// A full bucket of `burst` bytes that refills with `rate` bytes a second.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        assert!(rate > 0.0 && burst > 0.0, "budget needs a rate and a burst");
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled: Millis(0),
        }
    }

    /// Takes tokens for `bytes` of rollout traffic and returns how long to wait before sending.
    ///
    /// The bucket may go into debt, so that concurrent senders queue in the order they ask.
    pub fn take(&mut self, now: Millis, bytes: u64) -> Millis {
        self.refill(now);
        self.tokens -= bytes as f64;
        if self.tokens >= 0.0 {
            return Millis(0);
        }
        Millis((-self.tokens / self.rate * 1_000.0).ceil() as u64)
    }

    /// Accounts for `bytes` of live traffic that passed the link.
    pub fn live(&mut self, now: Millis, bytes: u64) {
        self.refill(now);
        let kept = (1.0 - FLOOR) * bytes as f64;
        self.tokens -= kept;
    }

    /// Tokens left; negative while senders wait.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Millis) {
        let span = now.since(self.refilled).0 as f64 / 1_000.0;
        self.tokens = (self.tokens + span * self.rate).min(self.burst);
        self.refilled = self.refilled.max(now);
    }
}
