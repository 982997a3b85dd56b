//! Rest of an upstream that fails, and its return.
//!
//! Answers upstreams that crash, hang, flap or fail a part of their requests
//! while their health check is good, and health checks that are false either
//! way: only what requests themselves show counts.

use crate::prelude::*;
use crate::route::placement::Outcome;

/// First rest after failures.
const REST: Millis = Millis(400);

/// Longest rest; each one in a row doubles.
const REST_MAX: Millis = Millis(4_000);

/// Sum of recent failures that starts a rest.
const LIMIT: f64 = 1.7;

/// Part of the sum that is left after a good answer.
const GOOD: f64 = 0.6;

/// Failures that a refused connection counts as: nothing listens there.
const REFUSED: f64 = 2.0;

/// Recent failures of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    failures: f64,
    rests: u32,
    until: Millis,
    trying: bool,
}

impl Recovery {
    /// True when a request may be sent; after a rest one at a time is tried.
    pub fn is_open(&self, now: Millis, calls: u32) -> bool {
        now >= self.until && (!self.trying || calls == 0)
    }

    /// End of the rest.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Counts the end of a call.
    pub fn on_ended(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                self.failures *= GOOD;
                self.trying = false;
                self.rests = 0;
            }
            Outcome::Busy | Outcome::Dropped | Outcome::Misdirected => {}
            Outcome::Failed => self.fail(now, 1.0),
            Outcome::Refused => self.fail(now, REFUSED),
        }
    }

    fn fail(&mut self, now: Millis, weight: f64) {
        // Calls that were sent before the rest end in it; they tell nothing new.
        if now < self.until {
            return;
        }
        self.failures += weight;
        if self.failures < LIMIT && !self.trying {
            return;
        }
        let span = (REST.0 << self.rests.min(6)).min(REST_MAX.0);
        self.until = now.plus(Millis(span));
        self.rests += 1;
        self.trying = true;
        self.failures = 0.0;
    }
}
