//! Exponential backoff with full jitter.

use fastrand::Rng;

use crate::time::Millis;

/// Upper bound of the first wait.
const FIRST_BOUND: Millis = Millis(10);

/// Upper bound of every wait.
const MAX_BOUND: Millis = Millis(1_000);

/// Waits between the attempts of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    /// Waits returned so far.
    count: u32,
}

impl Backoff {
    /// Returns the next wait, drawn uniformly from zero to a bound that doubles each time.
    ///
    /// Full jitter spreads the retries of requests that failed together.
    pub fn next(&mut self, rng: &mut Rng) -> Millis {
        let bound = (FIRST_BOUND.0 << self.count.min(10)).min(MAX_BOUND.0);
        self.count += 1;
        Millis(rng.u64(0..=bound))
    }
}
