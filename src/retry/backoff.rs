//! Exponential backoff with full jitter.

use fastrand::Rng;

use crate::time::Millis;

/// Upper bound of the first wait.
const BASE: Millis = Millis(10);

/// Upper bound of every wait.
const CAP: Millis = Millis(1_000);

/// Waits between attempts of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    count: u32,
}

impl Backoff {
    /// The next wait, drawn evenly from zero to a bound that doubles each time.
    ///
    /// Full jitter spreads the retries of requests that failed together.
    pub fn next(&mut self, rng: &mut Rng) -> Millis {
        let bound = (BASE.0 << self.count.min(10)).min(CAP.0);
        self.count += 1;
        Millis(rng.u64(0..=bound))
    }
}
