//! A token bucket that limits rollout traffic on a link and gives way to live requests.

use crate::time::Millis;

/// Share of a link's rate that rollout traffic keeps, however much live traffic there is.
///
/// Without it a saturated link would stop a rollout for as long as the load lasts.
const MIN_ROLLOUT_SHARE: f64 = 0.1;

/// A token bucket for one link; one token is one byte.
///
/// Rollout traffic may use what live traffic leaves. Live traffic is never
/// delayed: it takes its tokens even when that drives the bucket below zero.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` bytes that refills with `rate` bytes a second.
    ///
    /// # Panics
    ///
    /// When `rate` or `burst` is not positive.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        assert!(
            rate > 0.0 && burst > 0.0,
            "a token bucket needs a positive rate and burst"
        );
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: Millis(0),
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

    /// Takes tokens for `bytes` of live traffic that passed the link.
    ///
    /// A tenth of them is not charged, so that rollout traffic never stops altogether.
    pub fn charge_live(&mut self, now: Millis, bytes: u64) {
        self.refill(now);
        let charged = (1.0 - MIN_ROLLOUT_SHARE) * bytes as f64;
        self.tokens -= charged;
    }

    /// Bytes that may be sent at once; negative while senders wait.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Millis) {
        let seconds = now.since(self.refilled_at).0 as f64 / 1_000.0;
        self.tokens = (self.tokens + seconds * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
