//! Incarnations: which of two starts of a process is the later one.

use crate::common;
use crate::time::Millis;

/// Random bits below the start time, which tell two starts in one millisecond apart.
const RANDOM_BITS: u32 = 20;

common! { key
/// One start of a process: start time in ms, then random bits.
#[derive(Default, serde::Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
}

impl Incarnation {
    /// The incarnation of a process that started at `started`.
    pub fn new(started: Millis, rng: &mut fastrand::Rng) -> Incarnation {
        let random = rng.u64(0..1 << RANDOM_BITS);
        Incarnation(started.0 << RANDOM_BITS | random)
    }

    /// Start time of the process.
    pub fn started(self) -> Millis {
        Millis(self.0 >> RANDOM_BITS)
    }

    /// True when `self` is the later start and takes the place of `other`.
    pub fn replaces(self, other: Incarnation) -> bool {
        self > other
    }
}
