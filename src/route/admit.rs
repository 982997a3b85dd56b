//! Decides whether a prediction is good enough for a request to use a slot.
//!
//! It is made for load above the capacity, where each request that is sent delays others.

use crate::route::profile::RequestProfile;

/// Share of the slots of comparable upstreams that must be free before a request
/// that will be late is sent.
pub const MIN_POOL_FREE_SHARE: f64 = 0.2;

/// Upstreams whose prediction is within this ratio of the best are comparable.
/// The others are slow, and their free slots do not show spare capacity.
pub const COMPARABLE_RATIO: f64 = 2.0;

/// Share of the time left until the objective that a prediction may take. The
/// rest is a margin, since the pace may change after the prediction.
const OBJECTIVE_SHARE: f64 = 0.92;

/// Share of the time left until the objective that a request may wait, not
/// counting the reading of its own prompt. At 1.5 times the capacity, `bench place`
/// serves the largest tenth of the requests 0.55 times as often as all requests
/// with this bound, and 0.34 times as often without it.
const WAIT_SHARE: f64 = 0.55;

/// The same share while large requests are preferred. It leaves time for prompts
/// of four times the usual length.
const FAIR_WAIT_SHARE: f64 = 0.40;

/// Range of the factor by which the value density of a request scales its
/// allowed wait.
const DENSITY_RANGE: (f64, f64) = (0.75, 1.05);

/// Factors that scale the allowed wait of the smallest and of the large requests
/// while large requests are preferred.
const SIZE_FACTOR_RANGE: (f64, f64) = (0.90, 1.20);

/// Returns why a request with this best prediction is refused, as metrics and logs name
/// it.
pub fn refusal_reason(profile: &RequestProfile, best: f64) -> &'static str {
    if profile.allowance.refuse > 0.0 && is_timely(profile, best) {
        "share"
    } else {
        "late"
    }
}

/// Returns true when a request with this prediction is expected to be in time, however
/// long it waits.
pub fn is_on_time(profile: &RequestProfile, first_ms: f64) -> bool {
    let slack = profile.slack_ms;
    slack.is_some_and(|slack| first_ms <= OBJECTIVE_SHARE * slack)
}

/// Returns true when the best prediction is good enough to use a slot.
///
/// A request that can be on time may wait for a slot. The wait allowed is shorter
/// the less the request is worth for the engine time that it takes. It does not
/// include the reading of the request's own prompt: if the whole time were
/// bounded, small requests would fill the queues up to a length at which no large
/// request can be on time. While too few large requests of a route are admitted,
/// the bound leaves time for the prompts of large requests, and is longest for
/// these. While more urgent requests are refused, the wait is bounded by what these can
/// bear.
pub fn is_timely(profile: &RequestProfile, best: f64) -> bool {
    let Some(slack) = profile.slack_ms else {
        return false;
    };
    let wait_slack = slack.min(profile.allowance.slack_cap);
    let density_bound = WAIT_SHARE
        * wait_slack
        * profile
            .value_density
            .clamp(DENSITY_RANGE.0, DENSITY_RANGE.1);
    let factor = SIZE_FACTOR_RANGE.0
        + (SIZE_FACTOR_RANGE.1 - SIZE_FACTOR_RANGE.0) * profile.relative_size.min(1.0);
    let fair_bound = FAIR_WAIT_SHARE * wait_slack * factor;
    let bound = density_bound + profile.large_preference * (fair_bound - density_bound);
    best <= OBJECTIVE_SHARE * slack && best - profile.read_ms <= bound
}
