//! Share of a route's large requests among those that get a place.
//!
//! Answers sustained overload: the queue of a runner stands as long as the
//! requests that are admitted tolerate it, and short prompts tolerate the most.
//! Preferring them earns the most for the engine time until the largest get
//! hardly any place; this measures how far it went.

use crate::prelude::*;

/// Part of the requests that are smaller than the estimated bound of the large
/// ones: the users watch the largest tenth.
const QUANTILE: f64 = 0.9;

/// Change of the estimate by one request. One in ten raises it by a tenth; ten
/// seconds of a route with few requests are enough.
const STEP: f64 = 0.1;

/// Estimate before the first request, relative to the usual request.
const FIRST: f64 = 2.0;

/// Time in which the counts are half forgotten, in milliseconds: long enough
/// for a dozen large requests on a busy route.
const HALF: f64 = 10_000.0;

/// Share of the large requests served, relative to all, from which they need
/// no help, and at which they get all of it. The users' bound is 0.5.
const SHARES: (f64, f64) = (1.0, 0.80);

/// Requests counted as if served alike before any were seen.
const PRIOR: f64 = 1.0;

/// Counts of one route at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct SizeFairness {
    estimate: f64,
    at: Millis,
    all: Count,
    large: Count,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: f64,
    placed: f64,
}

impl SizeFairness {
    /// Counts a request with its weight; `usual` is that of the usual request.
    pub fn on_request(&mut self, now: Millis, weight: f64, usual: f64) {
        if self.estimate <= 0.0 {
            self.estimate = FIRST * usual;
        }
        let part = 0.5_f64.powf(now.since(self.at).0 as f64 / HALF);
        self.at = now;
        for count in [&mut self.all, &mut self.large] {
            count.offered *= part;
            count.placed *= part;
        }
        self.all.offered += 1.0;
        if self.is_large(weight) {
            self.large.offered += 1.0;
            self.estimate *= (STEP * QUANTILE).exp();
        } else {
            self.estimate *= (STEP * (QUANTILE - 1.0)).exp();
        }
    }

    /// Counts a request that got a place.
    pub fn on_admitted(&mut self, weight: f64) {
        self.all.placed += 1.0;
        if self.is_large(weight) {
            self.large.placed += 1.0;
        }
    }

    /// Least weight of a large request.
    pub fn large_weight(&self) -> f64 {
        self.estimate.max(1.0)
    }

    /// How much large requests are to be preferred, from 0 to 1.
    pub fn large_preference(&self) -> f64 {
        let share = |count: Count| (count.placed + PRIOR) / (count.offered + PRIOR);
        let relative = share(self.large) / share(self.all);
        ((SHARES.0 - relative) / (SHARES.0 - SHARES.1)).clamp(0.0, 1.0)
    }

    fn is_large(&self, weight: f64) -> bool {
        weight > self.estimate
    }
}
