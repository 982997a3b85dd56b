//! Counts how often each invariant of the demonstration was checked and held.

use std::sync::Mutex;

use crate::prelude::*;

common! { key
/// The invariants of docs/design.md, section 1.2, under their numbers there.
pub enum Invariant {
    /// No answer from partial or mixed weights.
    P1,
    /// Each caller gets the whole answer to its own request.
    P2,
    /// A request that was answered "not run" has not been run and never will be.
    P3,
    /// A call that must not be repeated runs at most once.
    P4,
    /// A leaving upstream gets no new work after 3 s.
    P5,
    /// A planned stop interrupts no request.
    P6,
    /// An accepted change is in force everywhere within 13 s and never reverts.
    P7,
}
}

impl Invariant {
    /// All invariants in the order of their numbers.
    pub const ALL: [Invariant; 7] = [
        Invariant::P1,
        Invariant::P2,
        Invariant::P3,
        Invariant::P4,
        Invariant::P5,
        Invariant::P6,
        Invariant::P7,
    ];

    /// Returns the invariant as one line of the report.
    pub const fn text(self) -> &'static str {
        match self {
            Invariant::P1 => "no answer from partial or mixed weights",
            Invariant::P2 => "each caller gets the whole answer to its own request",
            Invariant::P3 => "\"not run\" means not run",
            Invariant::P4 => "a booking runs at most once",
            Invariant::P5 => "a leaving upstream gets no new work after 3 s",
            Invariant::P6 => "a planned stop interrupts no request",
            Invariant::P7 => "a change is in force everywhere within 13 s and never reverts",
        }
    }
}

/// Results of the checks of one invariant.
#[derive(Debug, Default)]
struct Counts {
    /// Number of checks that held.
    held: u64,
    /// Details of the checks that failed.
    broken: Vec<String>,
}

/// Results of all checks; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    counts: Arc<Mutex<IndexMap<Invariant, Counts>>>,
}

impl Checks {
    /// Records one check; `detail` is called only if it failed.
    pub fn check(&self, invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
        let mut counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        let entry = counts.entry(invariant).or_default();
        if holds {
            entry.held += 1;
        } else {
            entry.broken.push(detail());
        }
    }

    /// Returns the lines of the report: each invariant with its counts and its first
    /// three failures.
    pub fn report(&self) -> Vec<String> {
        let counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        let mut lines = Vec::new();
        for invariant in Invariant::ALL {
            let (held, broken) = counts
                .get(&invariant)
                .map_or((0, &[][..]), |t| (t.held, &t.broken[..]));
            let count = broken.len();
            let text = invariant.text();
            lines.push(format!(
                "{invariant:?}  {held:>6} held {count:>4} broken  {text}"
            ));
            lines.extend(broken.iter().take(3).map(|b| format!("      broken: {b}")));
        }
        lines
    }

    /// Returns whether each invariant was checked at least once and always held.
    pub fn all_held(&self) -> bool {
        let counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        Invariant::ALL.iter().all(|invariant| {
            counts
                .get(invariant)
                .is_some_and(|t| t.held > 0 && t.broken.is_empty())
        })
    }
}
