//! Cooldown of an upstream after failures, and its return to service.
//!
//! Some upstreams crash, hang, flap or fail a part of their requests while their
//! health check passes, and some health checks fail although the upstream works.
//! So only the outcomes of requests are used here.

use crate::prelude::*;

/// First cooldown after failures.
const COOLDOWN: Millis = Millis(400);

/// Longest cooldown; each one in a row is twice as long as the one before.
const MAX_COOLDOWN: Millis = Millis(4_000);

/// Sum of recent failures at which a cooldown starts.
const FAILURE_LIMIT: f64 = 1.7;

/// Factor by which a whole answer reduces the sum of recent failures.
const SUCCESS_DECAY: f64 = 0.6;

/// Failures that a refused connection counts as. It is a clear sign, since no
/// process listens there.
const REFUSED_WEIGHT: f64 = 2.0;

common! { key
/// How a call ended.
pub enum Outcome {
    /// The whole answer arrived.
    Done,
    /// The upstream refused the call because it had no free slot.
    Busy,
    /// The upstream failed or did not answer.
    Failed,
    /// The connection was refused.
    Refused,
    /// The process at this address is another upstream, or it does not hold the
    /// version that the request needs.
    Misdirected,
    /// The caller left, or the call was abandoned for another reason.
    Dropped,
}
}

/// Recent failures and cooldowns of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    failures: f64,
    /// Cooldowns since the last whole answer.
    cooldowns: u32,
    cooldown_end: Millis,
    /// True from the start of a cooldown until the next whole answer.
    probing: bool,
}

impl Recovery {
    /// Returns true when a request may be sent, given the `calls` in progress.
    /// After a cooldown, requests are sent one at a time until one is answered.
    pub fn admits(&self, now: Millis, calls: u32) -> bool {
        now >= self.cooldown_end && (!self.probing || calls == 0)
    }

    /// Returns the end of the latest cooldown.
    pub fn cooldown_end(&self) -> Millis {
        self.cooldown_end
    }

    /// Counts the outcome of a call that ended.
    pub fn on_ended(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                self.failures *= SUCCESS_DECAY;
                self.probing = false;
                self.cooldowns = 0;
            }
            Outcome::Busy | Outcome::Dropped | Outcome::Misdirected => {}
            Outcome::Failed => self.on_failure(now, 1.0),
            Outcome::Refused => self.on_failure(now, REFUSED_WEIGHT),
        }
    }

    fn on_failure(&mut self, now: Millis, weight: f64) {
        // Calls that were sent before the cooldown may end during it. They show
        // nothing new.
        if now < self.cooldown_end {
            return;
        }
        self.failures += weight;
        if self.failures < FAILURE_LIMIT && !self.probing {
            return;
        }
        let span = (COOLDOWN.0 << self.cooldowns.min(6)).min(MAX_COOLDOWN.0);
        self.cooldown_end = now.plus(Millis(span));
        self.cooldowns += 1;
        self.probing = true;
        self.failures = 0.0;
    }
}
