//! When a second attempt beside the first is worth its cost.

use crate::time::Millis;

/// Response times kept.
const KEPT: usize = 256;

/// Response times needed before the delay is trusted.
const MIN_KEPT: usize = 32;

/// Quantile of the time to the first frame after which a request is hedged.
///
/// At 0.97 about 3% of the requests ask for a hedge, which leaves room in the
/// budget of 5% for bursts.
const QUANTILE: f64 = 0.97;

/// Delay while too few responses are known.
const DEFAULT: Millis = Millis(1_000);

/// Shortest delay; below it timer noise triggers hedges.
const FLOOR: Millis = Millis(5);

/// Learned delay before a hedge for one class of work.
#[derive(Clone, Debug, Default)]
pub struct Delay {
    kept: Vec<u64>,
    at: usize,
    value: Option<Millis>,
}

impl Delay {
    /// Adds the time to the first frame of an answer.
    pub fn add(&mut self, first: Millis) {
        if self.kept.len() < KEPT {
            self.kept.push(first.0);
        } else {
            self.kept[self.at] = first.0;
        }
        self.at = (self.at + 1) % KEPT;
    }

    /// Recomputes the delay.
    pub fn tick(&mut self) {
        if self.kept.len() < MIN_KEPT {
            return;
        }
        let mut sorted = self.kept.clone();
        let index = (sorted.len() as f64 * QUANTILE) as usize;
        let (_, value, _) = sorted.select_nth_unstable(index);
        self.value = Some(Millis(*value).max(FLOOR));
    }

    /// Time to wait for the first frame before hedging.
    pub fn value(&self) -> Millis {
        self.value.unwrap_or(DEFAULT)
    }
}
