//! Incarnations, which tell the later of two starts of a process.

use crate::common;
use crate::time::Millis;

/// Random low bits, which distinguish two starts within one millisecond.
const RANDOM_BITS: u32 = 20;

common! { key
/// Identifies one start of a process: the start time in milliseconds in the
/// high bits, random bits below it. Later starts have greater values.
#[derive(Default, serde::Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
}

impl Incarnation {
    /// Creates the incarnation of a process that started at `started`.
    pub fn new(started: Millis, rng: &mut fastrand::Rng) -> Incarnation {
        let random = rng.u64(0..1 << RANDOM_BITS);
        Incarnation(started.0 << RANDOM_BITS | random)
    }

    /// Returns the start time of the process, in milliseconds.
    pub fn started(self) -> Millis {
        Millis(self.0 >> RANDOM_BITS)
    }

    /// Returns true when `self` is a later start than `other`.
    pub fn replaces(self, other: Incarnation) -> bool {
        self > other
    }
}
