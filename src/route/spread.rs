//! Spreads requests over upstreams whose load is known late.
//!
//! It is made for many entries that share the upstreams of a zone. The more entries
//! there are, the less often each can report its calls, and the more requests are sent
//! between two reports. If each entry chose the upstream that was free in the last
//! reports, all would choose the same one. So an entry adds the requests that others are
//! expected to have sent meanwhile, as if each had gone to the best upstream at that
//! point, and then draws among the upstreams that these requests fill.

use fastrand::Rng;

use crate::prelude::*;

/// Predictions within this ratio of the best count as equal.
const TIE_RATIO: f64 = 1.06;

/// Predictions within this many milliseconds of the best also count as equal.
const TIE_MS: f64 = 6.0;

/// Most steps in which expected requests are added. Each step adds one request, or more
/// if there are more requests than steps.
const MAX_STEPS: f64 = 48.0;

/// An upstream that may get a request.
#[derive(Debug)]
pub struct Candidate<T> {
    /// The upstream.
    pub target: Key<T>,
    /// Predicted time to the first event of one more request, in milliseconds.
    pub first_ms: f64,
    /// Change of its number of calls since the last reports that is expected.
    pub unseen: f64,
    /// Requests of other entries that it is expected to have got since.
    pub added: f64,
}

/// Adds `count` requests to the candidates, each to the one with the shortest predicted
/// time at that point. `predict` returns the predicted time of a candidate.
pub fn add_unseen<T>(
    candidates: &mut [Candidate<T>],
    count: f64,
    predict: impl Fn(&Candidate<T>) -> f64,
) {
    let step = (count / MAX_STEPS).max(1.0);
    let mut left = count;
    while left > 0.0 {
        let best = candidates
            .iter_mut()
            .min_by(|a, b| a.first_ms.total_cmp(&b.first_ms));
        let Some(best) = best else {
            return;
        };
        let portion = step.min(left);
        best.unseen += portion;
        best.added += portion;
        best.first_ms = predict(best);
        left -= portion;
    }
}

/// Draws a candidate and returns its index; `None` when there is none.
///
/// One whose prediction is among the best has a weight of one, and any candidate a
/// weight of one for each request that other entries are expected to have sent there.
pub fn draw<T>(candidates: &[Candidate<T>], rng: &mut Rng) -> Option<usize> {
    let best = candidates.iter().map(|c| c.first_ms);
    let best = best.fold(f64::INFINITY, f64::min);
    let limit = (best * TIE_RATIO).max(best + TIE_MS);
    let weight = |c: &Candidate<T>| c.added + f64::from(u8::from(c.first_ms <= limit));
    let total: f64 = candidates.iter().map(weight).sum();
    let mut drawn = rng.f64() * total;
    let found = candidates.iter().position(|c| {
        drawn -= weight(c);
        drawn < 0.0
    });
    found.or(candidates.len().checked_sub(1))
}
