//! Measures how often the large requests of a route are admitted, compared with all.
//!
//! Under sustained overload, the queue of a runner grows as long as the admitted
//! requests tolerate the wait, and requests with short prompts tolerate the longest
//! wait. Preferring them has the highest value for the engine time, but then hardly
//! any of the largest requests are admitted. The measured share tells how strongly
//! large requests have to be preferred instead.

use crate::prelude::*;

/// Share of the requests that are smaller than the estimated bound of large
/// requests. The users watch the largest tenth.
const LARGE_QUANTILE: f64 = 0.9;

/// Relative change of the estimate by one request. One request in ten raises it
/// by about a tenth, so ten seconds of a route with few requests are enough.
const ESTIMATE_STEP: f64 = 0.1;

/// Estimate before the first request, relative to the weight of the usual request.
const INITIAL_ESTIMATE: f64 = 2.0;

/// Half-life of the counts, in milliseconds. It is long enough for a dozen large
/// requests on a busy route.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Admitted share of the large requests relative to that of all requests, at which
/// the preference is 0 and at which it reaches 1. The users' bound is 0.5.
const PREFERENCE_RANGE: (f64, f64) = (1.0, 0.80);

/// Admitted requests that each count starts with, so that the first few requests
/// do not decide the share.
const PRIOR_REQUESTS: f64 = 1.0;

/// Counts of one route at one entry, from which the preference is derived.
#[derive(Clone, Copy, Debug, Default)]
pub struct SizeFairness {
    /// Estimated weight above which a request is large; 0 before the first request.
    large_bound: f64,
    updated_at: Millis,
    all: Counts,
    large: Counts,
}

/// Requests and admitted requests, decayed over time.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: f64,
    admitted: f64,
}

impl SizeFairness {
    /// Counts a request by its weight; `usual` is the weight of the usual request.
    pub fn on_request(&mut self, now: Millis, weight: f64, usual: f64) {
        if self.large_bound <= 0.0 {
            self.large_bound = INITIAL_ESTIMATE * usual;
        }
        let decay = 0.5_f64.powf(now.since(self.updated_at).0 as f64 / HALF_LIFE_MS);
        self.updated_at = now;
        for count in [&mut self.all, &mut self.large] {
            count.requests *= decay;
            count.admitted *= decay;
        }
        self.all.requests += 1.0;
        if self.is_large(weight) {
            self.large.requests += 1.0;
            self.large_bound *= (ESTIMATE_STEP * LARGE_QUANTILE).exp();
        } else {
            self.large_bound *= (ESTIMATE_STEP * (LARGE_QUANTILE - 1.0)).exp();
        }
    }

    /// Counts a request that was admitted, by its weight.
    pub fn on_admitted(&mut self, weight: f64) {
        self.all.admitted += 1.0;
        if self.is_large(weight) {
            self.large.admitted += 1.0;
        }
    }

    /// Returns the smallest weight that counts as large; at least 1.
    pub fn large_weight(&self) -> f64 {
        self.large_bound.max(1.0)
    }

    /// Returns how strongly large requests should be preferred, from 0 to 1.
    pub fn large_preference(&self) -> f64 {
        let share =
            |count: Counts| (count.admitted + PRIOR_REQUESTS) / (count.requests + PRIOR_REQUESTS);
        let relative = share(self.large) / share(self.all);
        ((PREFERENCE_RANGE.0 - relative) / (PREFERENCE_RANGE.0 - PREFERENCE_RANGE.1))
            .clamp(0.0, 1.0)
    }

    fn is_large(&self, weight: f64) -> bool {
        weight > self.large_bound
    }
}
