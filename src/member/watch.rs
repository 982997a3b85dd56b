//! Which entries read the store, and whether such a reading can be relied on.
//!
//! Answers a fleet of many entries: if each kept its own waiting read, every
//! change would be answered once for each of them. A few entries of each zone
//! read; the others follow them, and take over when they fall silent or lose
//! the store.

use crate::member::peers::Peers;
use crate::member::peers::Role;
use crate::prelude::*;

/// Entries of a zone that read the store: one may be lost.
const READERS: usize = 2;

/// Silence of a reader after which another entry takes over. Entries of a zone
/// tell each other of themselves four times a second.
const SILENCE: Millis = Millis(900);

/// Time by which peers may have news before the own reading has it.
const OVERTAKEN: Millis = Millis(600);

/// Time between an answer and the next call: changes come in bursts, and each
/// answer is priced. Within it, what is read is in force late by as much.
const GAP: Millis = Millis(100);

/// State of the own reading.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    answered: Option<Millis>,
    overtaken: Option<Millis>,
}

impl Watch {
    /// Notes an answer of the store.
    pub fn answered(&mut self, now: Millis) {
        self.answered = Some(now);
        self.overtaken = None;
    }

    /// Time until the next call, after an answer.
    pub fn rest(&self, now: Millis) -> Millis {
        let next = self.answered.map_or(now, |at| at.plus(GAP));
        next.since(now)
    }

    /// Notes a call that failed.
    pub fn failed(&mut self) {
        self.answered = None;
    }

    /// Notes news of the store that came from a peer.
    pub fn told(&mut self, now: Millis) {
        self.overtaken.get_or_insert(now);
    }

    /// True while others may rely on it; `wait` is the longest time between
    /// two answers.
    pub fn is_sound(&self, now: Millis, wait: Millis) -> bool {
        let overtaken = self.overtaken.map_or(Millis(0), |at| now.since(at));
        self.answered.is_some_and(|at| now.since(at) <= wait) && overtaken < OVERTAKEN
    }
}

/// True when the entry `own` should read the store itself.
pub fn is_needed(now: Millis, own: &str, zone: &str, peers: &Peers) -> bool {
    let before = peers.with_role(Role::Entry).filter(|peer| {
        peer.zone == zone
            && peer.reads
            && peer.name.as_str() < own
            && now.since(peer.seen) < SILENCE
    });
    before.count() < READERS
}
