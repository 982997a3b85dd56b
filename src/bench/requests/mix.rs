//! The mix of requests: short, long, bookings, and stragglers among them.

use std::time::Duration;

use crate::common;

/// Organisations and their shares of the requests, in percent: a few are large.
const SHARES: [u32; 10] = [28, 20, 17, 5, 5, 5, 5, 5, 5, 5];

/// Of 1,000 requests, how many are long and how many are bookings.
const LONG: u32 = 200;
const BOOKING: u32 = 100;

/// Of 1,000 short and of 1,000 long requests, how many run
/// [`STRAGGLER`] times longer than the rest; nothing tells in advance.
const STRAGGLERS: u32 = 5;

/// Length of stragglers relative to their class.
const STRAGGLER: u64 = 30;

/// Mean number of tokens, by the figures above.
pub const MEAN_TOKENS: f64 = {
    let short = 0.7 * 4.0;
    let long = 0.2 * 20.0;
    let factor = 1.0 + 0.005 * 29.0;
    (short + long) * factor + 0.1 * 2.0
};

common! { key
/// Kind of a request, as its route sees it.
pub enum Work {
    /// Short and repeatable.
    Short,
    /// Long and repeatable.
    Long,
    /// Short; may not be repeated.
    Booking,
}
}

impl Work {
    /// The word in the `X-Work` header.
    pub const fn name(self) -> &'static str {
        match self {
            Work::Short => "short",
            Work::Long => "long",
            Work::Booking => "booking",
        }
    }
}

common! { value
/// One request of the schedule.
pub struct Shot {
    /// Number in the schedule.
    pub index: usize,
    /// Intended send time from the start of the run.
    pub at: Duration,
    /// Index of its organisation.
    pub org: usize,
    /// Kind.
    pub work: Work,
    /// Tokens of its answer.
    pub tokens: u64,
    /// True for a straggler.
    pub straggler: bool,
}
}

/// Number of organisations.
pub const fn orgs() -> usize {
    SHARES.len()
}

/// Requests with exponential gaps at `rate` a second.
pub fn schedule(seed: u64, rate: f64, length: Duration) -> Vec<Shot> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut shots = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.f64()).ln() / rate;
        if at >= length.as_secs_f64() {
            return shots;
        }
        let work = draw_work(&mut rng);
        let straggler = work != Work::Booking && rng.u32(0..1_000) < STRAGGLERS;
        let tokens = match work {
            Work::Short => rng.u64(2..=6),
            Work::Long => rng.u64(15..=25),
            Work::Booking => 2,
        };
        shots.push(Shot {
            index: shots.len(),
            at: Duration::from_secs_f64(at),
            org: draw_org(&mut rng),
            work,
            tokens: if straggler {
                tokens * STRAGGLER
            } else {
                tokens
            },
            straggler,
        });
    }
}

fn draw_work(rng: &mut fastrand::Rng) -> Work {
    match rng.u32(0..1_000) {
        n if n < LONG => Work::Long,
        n if n < LONG + BOOKING => Work::Booking,
        _ => Work::Short,
    }
}

fn draw_org(rng: &mut fastrand::Rng) -> usize {
    let mut drawn = rng.u32(0..100);
    for (org, share) in SHARES.iter().enumerate() {
        if drawn < *share {
            return org;
        }
        drawn -= share;
    }
    unreachable!("shares add up to 100")
}
