//! Expected service time of a request, learned from similar requests.

use indexmap::IndexMap;

use crate::common;
use crate::table::doc::Class;

/// Weight of the newest sample in the moving average.
const WEIGHT: f64 = 0.05;

/// Largest ratio of a sample to the estimate; longer samples are clipped to it.
/// Stragglers are rare and far longer, and must not make all similar requests
/// look long.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Kinds of requests remembered; the oldest is dropped first.
const MAX_KINDS: usize = 1_024;

/// Longest expected time at which a request of class `auto` counts as short, in
/// milliseconds.
const SHORT_BOUND: f64 = 100.0;

/// Returns the estimate before the first sample, in milliseconds.
const fn initial(class: Class) -> f64 {
    match class {
        Class::Short => 50.0,
        Class::Long => 500.0,
        Class::Auto => 200.0,
    }
}

common! { key
/// Key of requests that are expected to take about the same time.
pub struct Kind {
    /// Class given by the route.
    pub class: Class,
    /// Hash of the route's name.
    pub route: u64,
    /// Magnitude of the body: the number of binary digits of its length in bytes.
    pub size: u32,
}
}

impl Kind {
    /// Returns the kind of a request on `route` with a body of `bytes` bytes.
    pub fn new(class: Class, route: u64, bytes: usize) -> Kind {
        let size = usize::BITS - bytes.leading_zeros();
        Kind { class, route, size }
    }
}

/// Moving averages of the service time by kind of request, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    kinds: IndexMap<Kind, f64>,
}

impl Estimator {
    /// Returns the expected service time, in milliseconds.
    pub fn expect(&self, kind: Kind) -> f64 {
        let held = self.kinds.get(&kind).copied();
        held.unwrap_or(initial(kind.class))
    }

    /// Returns true when requests of this kind count as short.
    pub fn is_short(&self, kind: Kind) -> bool {
        match kind.class {
            Class::Short => true,
            Class::Long => false,
            Class::Auto => self.expect(kind) <= SHORT_BOUND,
        }
    }

    /// Updates the average with a request that ran for `took` milliseconds.
    pub fn learn(&mut self, kind: Kind, took: f64) {
        let old = self.expect(kind);
        let sample = took.clamp(0.5, MAX_SAMPLE_RATIO * old);
        if !self.kinds.contains_key(&kind) && self.kinds.len() >= MAX_KINDS {
            self.kinds.shift_remove_index(0);
        }
        self.kinds.insert(kind, old + WEIGHT * (sample - old));
    }
}
