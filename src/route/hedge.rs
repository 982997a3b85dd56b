//! Delay after which a second attempt (a hedge) is sent beside a slow first one.

use crate::time::Millis;

/// Times to the first frame that are kept.
const MAX_SAMPLES: usize = 256;

/// Samples needed before the delay is computed from them.
const MIN_SAMPLES: usize = 32;

/// Quantile of the time to the first frame after which a request is hedged.
///
/// At 0.97 about 3% of the requests need a hedge, which leaves a part of the budget
/// of 5% for bursts.
const HEDGE_QUANTILE: f64 = 0.97;

/// Delay while there are too few samples.
const DEFAULT_DELAY: Millis = Millis(1_000);

/// Shortest delay; below it, inaccurate timers would trigger hedges.
const MIN_DELAY: Millis = Millis(5);

/// Learned hedge delay for short or for long requests.
#[derive(Clone, Debug, Default)]
pub struct Delay {
    /// Latest times to the first frame, in milliseconds; a ring buffer.
    samples: Vec<u64>,
    /// Index of the sample that is replaced next.
    next: usize,
    value: Option<Millis>,
}

impl Delay {
    /// Adds the time to the first frame of an answer.
    pub fn add(&mut self, first: Millis) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(first.0);
        } else {
            self.samples[self.next] = first.0;
        }
        self.next = (self.next + 1) % MAX_SAMPLES;
    }

    /// Recomputes the delay from the samples.
    pub fn tick(&mut self) {
        if self.samples.len() < MIN_SAMPLES {
            return;
        }
        let mut sorted = self.samples.clone();
        let index = (sorted.len() as f64 * HEDGE_QUANTILE) as usize;
        let (_, value, _) = sorted.select_nth_unstable(index);
        self.value = Some(Millis(*value).max(MIN_DELAY));
    }

    /// Returns the time to wait for the first frame before a hedge is sent.
    pub fn value(&self) -> Millis {
        self.value.unwrap_or(DEFAULT_DELAY)
    }
}
