//! Counts of checks of each invariant.

use std::sync::Mutex;

use crate::prelude::*;

common! { key
/// The invariants of docs/design.md, section 1.2.
pub enum Promise {
    /// No answer from partial or mixed weights.
    P1,
    /// Each caller gets the whole answer to its own request.
    P2,
    /// "Not run" means not run.
    P3,
    /// A call that may not be repeated runs at most once.
    P4,
    /// A leaving upstream gets no new work after 3 s.
    P5,
    /// A planned stop interrupts no request.
    P6,
    /// An accepted change is in force everywhere within 13 s and never reverts.
    P7,
}
}

impl Promise {
    /// All invariants in order.
    pub const ALL: [Promise; 7] = [
        Promise::P1,
        Promise::P2,
        Promise::P3,
        Promise::P4,
        Promise::P5,
        Promise::P6,
        Promise::P7,
    ];

    /// The invariant in one line.
    pub const fn text(self) -> &'static str {
        match self {
            Promise::P1 => "no answer from partial or mixed weights",
            Promise::P2 => "each caller gets the whole answer to its own request",
            Promise::P3 => "\"not run\" means not run",
            Promise::P4 => "a booking runs at most once",
            Promise::P5 => "a leaving upstream gets no new work after 3 s",
            Promise::P6 => "a planned stop interrupts no request",
            Promise::P7 => "a change is in force everywhere within 13 s and never reverts",
        }
    }
}

#[derive(Debug, Default)]
struct Tally {
    held: u64,
    broken: Vec<String>,
}

/// Results of all checks; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    tallies: Arc<Mutex<IndexMap<Promise, Tally>>>,
}

impl Checks {
    /// Records one check; `detail` is read only when it failed.
    pub fn check(&self, promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
        let mut tallies = self.tallies.lock().unwrap_or_else(|e| e.into_inner());
        let tally = tallies.entry(promise).or_default();
        if holds {
            tally.held += 1;
        } else {
            tally.broken.push(detail());
        }
    }

    /// Lines for a person: each invariant with its counts and first failures.
    pub fn report(&self) -> Vec<String> {
        let tallies = self.tallies.lock().unwrap_or_else(|e| e.into_inner());
        let mut lines = Vec::new();
        for promise in Promise::ALL {
            let (held, broken) = tallies
                .get(&promise)
                .map_or((0, &[][..]), |t| (t.held, &t.broken[..]));
            let count = broken.len();
            let text = promise.text();
            lines.push(format!(
                "{promise:?}  {held:>6} held {count:>4} broken  {text}"
            ));
            lines.extend(broken.iter().take(3).map(|b| format!("      broken: {b}")));
        }
        lines
    }

    /// True when each invariant was exercised and none was broken.
    pub fn is_whole(&self) -> bool {
        let tallies = self.tallies.lock().unwrap_or_else(|e| e.into_inner());
        Promise::ALL.iter().all(|promise| {
            tallies
                .get(promise)
                .is_some_and(|t| t.held > 0 && t.broken.is_empty())
        })
    }
}
