//! Sending chunks to other agents: which waiting pull is answered next, with which chunk.

use indexmap::IndexMap;

use crate::rollout::manifest::Digest;
use crate::rollout::store::ChunkStore;
use crate::time::Millis;

/// Time beyond its deadline that a pull may wait for a free slot while a chunk that it
/// wants is held.
///
/// Receivers give up a source only after a longer time without progress.
const QUEUE_GRACE: Millis = Millis(1_000);

/// A pull of another agent that waits for an answer.
///
/// Chunks are named by the first eight bytes of their digests.
#[derive(Clone, Debug)]
struct WaitingPull {
    wanted: Vec<u64>,
    deadline: Millis,
}

/// Answer to the pull of this number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send this chunk, and call [`Uploads::finish_send`] afterwards.
    Send(u64, Digest),
    /// None of the wanted chunks was held in time, or too many pulls wait.
    Unavailable(u64),
}

/// Pulls of other agents at this agent.
///
/// Only a few chunks are sent at a time, in the order of the pulls: a receiver can
/// pass on a chunk only when it is complete, so many half-sent ones help nobody.
#[derive(Debug)]
pub struct Uploads {
    slots: usize,
    max_waiting: usize,
    sending: usize,
    next_id: u64,
    waiting: IndexMap<u64, WaitingPull>,
    send_counts: IndexMap<Digest, u32>,
}

impl Uploads {
    /// Creates a source that sends at most `slots` chunks at once and lets at most
    /// `max_waiting` pulls wait.
    ///
    /// # Panics
    ///
    /// When `slots` is 0.
    pub fn new(slots: usize, max_waiting: usize) -> Uploads {
        assert!(slots > 0, "a source needs a slot");
        Uploads {
            slots,
            max_waiting,
            sending: 0,
            next_id: 0,
            waiting: IndexMap::new(),
            send_counts: IndexMap::new(),
        }
    }

    /// Adds a pull that may wait for `wait` and returns the number of the pull.
    ///
    /// `wanted` holds the prefixes of the digests of chunks, of which one is sent.
    pub fn add_pull(
        &mut self,
        now: Millis,
        wanted: Vec<u64>,
        wait: Millis,
        store: &ChunkStore,
        out: &mut Vec<Answer>,
    ) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let has_wanted = wanted.iter().any(|p| store.find_prefix(*p).is_some());
        if self.waiting.len() >= self.max_waiting || (wait == Millis(0) && !has_wanted) {
            out.push(Answer::Unavailable(id));
            return id;
        }
        let deadline = now.plus(wait);
        self.waiting.insert(id, WaitingPull { wanted, deadline });
        self.dispatch(store, out);
        id
    }

    /// Frees the slot of a chunk that has been sent, or whose receiver is gone.
    pub fn finish_send(&mut self, store: &ChunkStore, out: &mut Vec<Answer>) {
        assert!(self.sending > 0, "slot given back twice");
        self.sending -= 1;
        self.dispatch(store, out);
    }

    /// Removes a waiting pull whose receiver is gone.
    pub fn remove_pull(&mut self, id: u64) {
        self.waiting.shift_remove(&id);
    }

    /// Answers waiting pulls with chunks that are held, while slots are free.
    pub fn dispatch(&mut self, store: &ChunkStore, out: &mut Vec<Answer>) {
        while self.sending < self.slots {
            let found = self
                .waiting
                .iter()
                .find_map(|(id, pull)| Some((*id, self.choose(pull, store)?)));
            let Some((id, digest)) = found else {
                return;
            };
            self.waiting.shift_remove(&id);
            self.sending += 1;
            *self.send_counts.entry(digest).or_default() += 1;
            out.push(Answer::Send(id, digest));
        }
    }

    /// Returns the wanted chunk that was sent least often, so that rare chunks spread first.
    fn choose(&self, pull: &WaitingPull, store: &ChunkStore) -> Option<Digest> {
        let held = pull.wanted.iter().filter_map(|p| store.find_prefix(*p));
        held.min_by_key(|digest| self.send_counts.get(digest).copied().unwrap_or(0))
    }

    /// Answers pulls whose wait is over.
    ///
    /// A pull that only waits for a free slot stays a little longer, because its
    /// sender would come back with the same request.
    pub fn tick(&mut self, now: Millis, store: &ChunkStore, out: &mut Vec<Answer>) {
        let over = self.waiting.iter().filter(|(_, pull)| {
            let has_wanted = pull.wanted.iter().any(|p| store.find_prefix(*p).is_some());
            let grace = if has_wanted { QUEUE_GRACE } else { Millis(0) };
            pull.deadline.plus(grace) <= now
        });
        for id in over.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.waiting.shift_remove(&id);
            out.push(Answer::Unavailable(id));
        }
    }

    /// Forgets how often chunks were sent that are no longer in the store.
    pub fn forget_evicted(&mut self, store: &ChunkStore) {
        self.send_counts
            .retain(|digest, _| store.get(*digest).is_some());
    }

    /// Number of pulls that wait and of chunks that are being sent.
    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.sending)
    }
}
