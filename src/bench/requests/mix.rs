//! Random schedule of short, long and booking requests.
//!
//! A few of the short and long requests are stragglers: they take much longer than the others of
//! their kind, and nothing in the request tells so.

use std::time::Duration;

use crate::common;

/// Share of each organisation in the requests, in percent: a few send much more than the others.
const ORG_PERCENT: [u32; 10] = [28, 20, 17, 5, 5, 5, 5, 5, 5, 5];

/// Long requests among 1,000.
const LONG_PER_1000: u32 = 200;
/// Bookings among 1,000 requests.
const BOOKING_PER_1000: u32 = 100;

/// Stragglers among 1,000 short requests and among 1,000 long ones.
const STRAGGLERS_PER_1000: u32 = 5;

/// Factor by which the answer of a straggler is longer than it would otherwise be.
const STRAGGLER_FACTOR: u64 = 30;

/// Mean number of tokens of an answer, from the shares above and the lengths in [`schedule`].
pub const MEAN_TOKENS: f64 = {
    let short = 0.7 * 4.0;
    let long = 0.2 * 20.0;
    let factor = 1.0 + 0.005 * 29.0;
    (short + long) * factor + 0.1 * 2.0
};

common! { key
/// Kind of a request; each has a route of its own.
pub enum RequestKind {
    /// Short and safe to repeat.
    Short,
    /// Long and safe to repeat.
    Long,
    /// Short and never repeated.
    Booking,
}
}

impl RequestKind {
    /// Returns the value of the `X-Work` header, by which the routes match.
    pub const fn header_value(self) -> &'static str {
        match self {
            RequestKind::Short => "short",
            RequestKind::Long => "long",
            RequestKind::Booking => "booking",
        }
    }
}

common! { value
/// One request of the schedule.
pub struct PlannedRequest {
    /// Position in the schedule, from 0.
    pub index: usize,
    /// Time of the send, from the start of the run.
    pub at: Duration,
    /// Index of its organisation, less than [`org_count`].
    pub org: usize,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Tokens that the engine generates for it.
    pub tokens: u64,
    /// True when the answer is `STRAGGLER_FACTOR` times longer than usual.
    pub straggler: bool,
}
}

/// Number of organisations that send requests.
pub const fn org_count() -> usize {
    ORG_PERCENT.len()
}

/// Draws requests with exponentially distributed gaps, `rate` a second on average, that start
/// within `length`; the same seed gives the same schedule.
pub fn schedule(seed: u64, rate: f64, length: Duration) -> Vec<PlannedRequest> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut schedule = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.f64()).ln() / rate;
        if at >= length.as_secs_f64() {
            return schedule;
        }
        let kind = draw_kind(&mut rng);
        let straggler = kind != RequestKind::Booking && rng.u32(0..1_000) < STRAGGLERS_PER_1000;
        let tokens = match kind {
            RequestKind::Short => rng.u64(2..=6),
            RequestKind::Long => rng.u64(15..=25),
            RequestKind::Booking => 2,
        };
        schedule.push(PlannedRequest {
            index: schedule.len(),
            at: Duration::from_secs_f64(at),
            org: draw_org(&mut rng),
            kind,
            tokens: if straggler {
                tokens * STRAGGLER_FACTOR
            } else {
                tokens
            },
            straggler,
        });
    }
}

/// Draws the kind of a request.
fn draw_kind(rng: &mut fastrand::Rng) -> RequestKind {
    match rng.u32(0..1_000) {
        n if n < LONG_PER_1000 => RequestKind::Long,
        n if n < LONG_PER_1000 + BOOKING_PER_1000 => RequestKind::Booking,
        _ => RequestKind::Short,
    }
}

/// Draws the index of an organisation by the shares in [`ORG_PERCENT`].
fn draw_org(rng: &mut fastrand::Rng) -> usize {
    let mut drawn = rng.u32(0..100);
    for (org, share) in ORG_PERCENT.iter().enumerate() {
        if drawn < *share {
            return org;
        }
        drawn -= share;
    }
    unreachable!("shares add up to 100")
}
