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

/// Time behind a peer after which an entry reads the store itself: one fetch
/// that times out is followed by another peer's answer.
const BEHIND: Millis = Millis(700);

/// Wait of one read: the others of the zone rely on a reader that hears nothing
/// for as long, and each call is priced.
const WAIT: Millis = Millis(1_600);

/// Time beyond the wait after which a read is given up. A store that is fifty
/// times as slow as usual answers within 200 ms.
const GRACE: Millis = Millis(800);

/// Wait of a read after a failed one: only an answer is of interest.
const SHORT_WAIT: Millis = Millis(100);

/// Shortest and longest time for the answer to such a read. The first call that
/// the store gets after its return must not be one that waits for long.
const SHORT_LIMITS: (u64, u64) = (500, 1_500);

/// Bounds of the wait after a failed read; many processes fail together.
const BACKOFF: (u64, u64) = (80, 400);

/// Time between an answer and the next call: changes come in bursts, and each
/// answer is priced. Within it, what is read is in force late by as much.
const GAP: Millis = Millis(100);

/// Time between a change of the store and its arrival here while a read waits.
const LATENCY: Millis = Millis(50);

/// Time that an answer takes at least if the read waited for a change.
const WAITED: Millis = Millis(30);

/// Longest time without word of the store that dates a change; beyond it, the
/// store itself was away.
const MAX_UNHEARD: Millis = Millis(1_500);

common! { key
/// One call to the store.
pub struct Call {
    /// Time for which the store may wait for changes.
    pub wait: Millis,
    /// Time after which the call is given up.
    pub limit: Millis,
}
}

/// State of the own reading.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreWatch {
    answered: Option<Millis>,
    failures: u32,
    overtaken: Option<Millis>,
    /// When the replica was last known to be complete.
    complete: Option<Millis>,
    /// True while an answer is applied that ended a wait.
    waited: bool,
    behind: Option<Millis>,
}

impl StoreWatch {
    /// Notes that the replica holds all changes that the store had at `now`.
    pub fn on_complete(&mut self, now: Millis) {
        self.complete = Some(now);
        self.waited = false;
    }

    /// Notes when the call was made whose answer is applied next.
    ///
    /// Only a call that follows the answer before it at once shows by its wait
    /// that there was nothing new when it was made.
    pub fn note_wait(&mut self, now: Millis, asked: Millis) {
        let rest = self.complete.map(|at| asked.since(at));
        let follows = rest.is_some_and(|rest| rest <= GAP.plus(GAP));
        self.waited = follows && now.since(asked) >= WAITED;
    }

    /// Earliest time at which a change that is read now was acknowledged.
    ///
    /// A change that ends a wait has just been made. Any other was made since
    /// the replica was last complete: the entry rested, or it takes over from a
    /// reader that has fallen silent.
    pub fn change_time(&self, now: Millis) -> Millis {
        if self.waited {
            return now.since(LATENCY);
        }
        let complete = self.complete.filter(|at| now.since(*at) <= MAX_UNHEARD);
        complete.map_or(now, |at| at.since(GAP).since(LATENCY))
    }

    /// Notes an answer of the store.
    pub fn on_answer(&mut self, now: Millis) {
        self.answered = Some(now);
        self.failures = 0;
        self.overtaken = None;
    }

    /// Time until the next call, after an answer.
    pub fn next_call_in(&self, now: Millis) -> Millis {
        let next = self.answered.map_or(now, |at| at.plus(GAP));
        next.since(now)
    }

    /// Notes a call that failed.
    pub fn on_failure(&mut self) {
        self.answered = None;
        self.failures = self.failures.saturating_add(1);
    }

    /// Notes that others read.
    pub fn on_idle(&mut self) {
        self.answered = None;
    }

    /// The next call.
    pub fn next_call(&self) -> Call {
        if self.failures == 0 {
            return Call {
                wait: WAIT,
                limit: WAIT.plus(GRACE),
            };
        }
        let limit = SHORT_LIMITS.0 << self.failures.min(4);
        Call {
            wait: SHORT_WAIT,
            limit: Millis(limit.min(SHORT_LIMITS.1)),
        }
    }

    /// Longest pause after a failed call; a part of it is drawn.
    pub fn backoff(&self) -> Millis {
        Millis((BACKOFF.0 << self.failures.min(4)).min(BACKOFF.1))
    }

    /// Notes news of the store that came from a peer.
    pub fn on_peer_news(&mut self, now: Millis) {
        self.overtaken.get_or_insert(now);
    }

    /// Notes that a peer has news that this process lacks.
    pub fn on_behind(&mut self, now: Millis) {
        self.behind.get_or_insert(now);
    }

    /// Notes that news came, from whatever source.
    pub fn on_progress(&mut self) {
        self.behind = None;
    }

    /// True when peers have had news for a while and none gave it. A process
    /// that hears readers, and whose calls do not reach them, sees no silence.
    pub fn is_stuck(&self, now: Millis) -> bool {
        self.behind.is_some_and(|at| now.since(at) >= BEHIND)
    }

    /// True while others may rely on it.
    pub fn is_reliable(&self, now: Millis) -> bool {
        let most = GAP.plus(WAIT).plus(GRACE);
        let overtaken = self.overtaken.map_or(Millis(0), |at| now.since(at));
        self.answered.is_some_and(|at| now.since(at) <= most) && overtaken < OVERTAKEN
    }
}

/// True when the entry `own` should read the store itself.
pub fn should_read(now: Millis, own: &str, zone: &str, peers: &Peers) -> bool {
    let before = peers.with_role(Role::Entry).filter(|peer| {
        peer.zone == zone
            && peer.is_reader
            && peer.name.as_str() < own
            && now.since(peer.last_heard) < SILENCE
    });
    before.count() < READERS
}
