//! What upstreams say of themselves in their answers.
//!
//! Answers planned departures and overload. An upstream that leaves says so in
//! its answers before or without a word in the registry, and ends soon after; its
//! word holds whatever the registry says later of the same incarnation. One that
//! turns requests away may name a time without any; each request sent in it is
//! refused as well, and uses up the budget of repeated sends.

use crate::prelude::*;

/// Incarnations whose word is remembered, the latest ones. An entry that is
/// removed and comes back does so within seconds, in which far fewer say anything.
const MAX_INCARNATIONS: usize = 512;

common! { key
/// One start of an upstream.
pub struct StartId {
    /// Hash of its id.
    pub id_hash: u64,
    /// When it started, by its own wall clock; 0 when it did not say.
    pub started: u64,
}
}

common! { key
/// The word of one incarnation.
#[derive(Default)]
pub struct Notice {
    /// True once it has said that it is leaving; it is never taken back.
    pub leaving: bool,
    /// End of the time for which it wants no requests.
    pub back_off_until: Millis,
}
}

impl Notice {
    /// Notes that no requests are wanted for `span`; a time that ends later stands.
    pub fn back_off(&mut self, now: Millis, span: Millis) {
        self.back_off_until = self.back_off_until.max(now.plus(span));
    }

    /// Time that is left without requests.
    pub fn back_off_left(self, now: Millis) -> Millis {
        self.back_off_until.since(now)
    }
}

/// The words of many incarnations, some of them no longer registered.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    held: IndexMap<StartId, Notice>,
}

impl Notices {
    /// The word of an incarnation; the default when nothing is known.
    pub fn get(&self, start: StartId) -> Notice {
        self.held.get(&start).copied().unwrap_or_default()
    }

    /// Remembers the word of an incarnation; beyond the bound, the one that was
    /// updated first is forgotten.
    pub fn set(&mut self, start: StartId, notice: Notice) {
        self.held.shift_remove(&start);
        if self.held.len() >= MAX_INCARNATIONS {
            self.held.shift_remove_index(0);
        }
        self.held.insert(start, notice);
    }
}
