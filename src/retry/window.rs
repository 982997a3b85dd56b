//! Budget of repeated sends over a sliding window, shared by all entries.
//!
//! It is made for faults after which every request would be sent again. The bound on
//! repeated sends holds for all entries together. So each entry uses the ratio of its
//! own requests and an equal part of the fixed slack.

use std::collections::VecDeque;

use crate::prelude::*;

/// Length of one bucket of the window.
const BUCKET: Millis = Millis(500);

/// Share of the budget that is used. The rest is a margin, since the counts of the
/// other entries are not known.
const USED_SHARE: f64 = 0.55;

/// Counts of one interval of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    requests: u32,
    /// Repeated sends.
    extras: u32,
}

/// Budget of the repeated sends to one pool, from the counts of the last window.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    span: Millis,
    ratio: f64,
    slack: f64,
    buckets: VecDeque<Bucket>,
}

impl WindowBudget {
    /// Creates a budget over a window of length `span`. It allows `ratio` repeated
    /// sends per request, and `slack` more for all entries together.
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

    /// Counts a repeated send and returns true, if the budget allows it. The slack is
    /// divided by the number of `entries`.
    pub fn spend(&mut self, now: Millis, entries: usize) -> bool {
        let allowed = self.allows(now, entries);
        if allowed {
            self.bucket(now).extras += 1;
        }
        allowed
    }

    /// Returns true when the budget allows a repeated send now.
    pub fn allows(&mut self, now: Millis, entries: usize) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let extras: u32 = self.buckets.iter().map(|b| b.extras).sum();
        let part = self.slack / entries.max(1) as f64;
        let bound = USED_SHARE * (self.ratio * f64::from(requests) + part);
        f64::from(extras) + 1.0 <= bound
    }

    /// Drops buckets older than the window and returns the current one.
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
