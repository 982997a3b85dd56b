//! Budget of repeated sends over a sliding window, shared by all entries.
//!
//! Answers the load pattern in which a fault makes every request worth
//! repeating: the bound on arrivals beyond the first is on the whole fleet, so
//! each entry keeps to its own requests and to its part of the fixed slack.

use std::collections::VecDeque;

use crate::prelude::*;

/// Length of one bucket.
const BUCKET: Millis = Millis(500);

/// Part of the budget that is used; counts of other entries are not known.
const USED: f64 = 0.55;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    requests: u32,
    extras: u32,
}

/// Requests and repeated sends to one pool in the last window.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    span: Millis,
    ratio: f64,
    slack: f64,
    buckets: VecDeque<Bucket>,
}

impl WindowBudget {
    /// A window of length `span` that allows `ratio` repeated sends for each
    /// request, and `slack` more over all entries.
    pub fn new(span: Millis, ratio: f64, slack: f64) -> WindowBudget {
        WindowBudget {
            span,
            ratio,
            slack,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Counts a repeated send if the budget allows it; `entries` share the slack.
    pub fn spend(&mut self, now: Millis, entries: usize) -> bool {
        let allowed = self.allows(now, entries);
        if allowed {
            self.bucket(now).extras += 1;
        }
        allowed
    }

    /// True when the budget allows a repeated send now.
    pub fn allows(&mut self, now: Millis, entries: usize) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let extras: u32 = self.buckets.iter().map(|b| b.extras).sum();
        let part = self.slack / entries.max(1) as f64;
        let bound = USED * (self.ratio * f64::from(requests) + part);
        f64::from(extras) + 1.0 <= bound
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let span = self.span;
        self.buckets.retain(|b| now.since(b.start) < span);
        let is_new = |b: &Bucket| now.since(b.start) >= BUCKET;
        if self.buckets.back().is_none_or(is_new) {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                extras: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
