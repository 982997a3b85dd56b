//! Expected cost of a request, learned from what like requests took.

use indexmap::IndexMap;

use crate::common;
use crate::table::doc::Class;

/// Weight of the newest sample.
const WEIGHT: f64 = 0.05;

/// A sample counts as at most this many times the estimate: stragglers are
/// rare and far longer, and must not make all like work look long.
const CLIP: f64 = 4.0;

/// Kinds of work remembered.
const MAX_KINDS: usize = 1_024;

/// Limit between short and long work of class `auto`, in milliseconds.
const SHORT_BOUND: f64 = 100.0;

/// Estimate before anything is known, in milliseconds.
const fn initial(class: Class) -> f64 {
    match class {
        Class::Short => 50.0,
        Class::Long => 500.0,
        Class::Auto => 200.0,
    }
}

common! { key
/// Requests that are expected to cost alike.
pub struct Kind {
    /// Class given by the route.
    pub class: Class,
    /// Hash of the route's name.
    pub route: u64,
    /// Magnitude of the body: its length in bits.
    pub size: u32,
}
}

impl Kind {
    /// The kind of a request on `route` with a body of `bytes`.
    pub fn new(class: Class, route: u64, bytes: usize) -> Kind {
        let size = usize::BITS - bytes.leading_zeros();
        Kind { class, route, size }
    }
}

/// Moving averages of the service time by kind, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    kinds: IndexMap<Kind, f64>,
}

impl Estimator {
    /// Expected service time.
    pub fn expect(&self, kind: Kind) -> f64 {
        let held = self.kinds.get(&kind).copied();
        held.unwrap_or(initial(kind.class))
    }

    /// True when the work counts as short.
    pub fn is_short(&self, kind: Kind) -> bool {
        match kind.class {
            Class::Short => true,
            Class::Long => false,
            Class::Auto => self.expect(kind) <= SHORT_BOUND,
        }
    }

    /// Learns from a request that ran for `took` milliseconds.
    pub fn learn(&mut self, kind: Kind, took: f64) {
        let old = self.expect(kind);
        let sample = took.clamp(0.5, CLIP * old);
        if !self.kinds.contains_key(&kind) && self.kinds.len() >= MAX_KINDS {
            self.kinds.shift_remove_index(0);
        }
        self.kinds.insert(kind, old + WEIGHT * (sample - old));
    }
}
