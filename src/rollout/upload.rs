//! The source side: which waiting pull is answered next, and with which chunk.

use indexmap::IndexMap;

use crate::rollout::manifest::Digest;
use crate::rollout::store::ChunkStore;
use crate::time::Millis;

/// Time beyond its wait that a pull may spend in the queue for its turn.
///
/// Receivers give up a source after a longer silence than this.
const QUEUE_TIME: Millis = Millis(1_000);

/// A pull that waits at this source.
#[derive(Clone, Debug)]
struct Ask {
    wanted: Vec<u64>,
    deadline: Millis,
}

/// What is to be done with a pull.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send this chunk; [`Uploads::sent`] must follow.
    Send(u64, Digest),
    /// Nothing useful within the wait, or no room.
    Unavailable(u64),
}

/// Pulls of other agents at this source.
///
/// Chunks are sent a few at a time in the order of the pulls: a chunk that is
/// whole at its receiver can be passed on, many half-sent ones cannot.
#[derive(Debug)]
pub struct Uploads {
    slots: usize,
    most: usize,
    active: usize,
    next: u64,
    waiting: IndexMap<u64, Ask>,
    counts: IndexMap<Digest, u32>,
}

impl Uploads {
    /// A source that sends `slots` chunks at once and lets `most` pulls wait.
    pub fn new(slots: usize, most: usize) -> Uploads {
        assert!(slots > 0, "a source needs a slot");
        Uploads {
            slots,
            most,
            active: 0,
            next: 0,
            waiting: IndexMap::new(),
            counts: IndexMap::new(),
        }
    }

    /// Takes in a pull and returns its number here.
    pub fn ask(
        &mut self,
        now: Millis,
        wanted: Vec<u64>,
        wait: Millis,
        store: &ChunkStore,
        out: &mut Vec<Answer>,
    ) -> u64 {
        let id = self.next;
        self.next += 1;
        let useful = wanted.iter().any(|p| store.find(*p).is_some());
        if self.waiting.len() >= self.most || (wait == Millis(0) && !useful) {
            out.push(Answer::Unavailable(id));
            return id;
        }
        let deadline = now.plus(wait);
        self.waiting.insert(id, Ask { wanted, deadline });
        self.pump(store, out);
        id
    }

    /// A chunk has been sent, or its receiver is gone.
    pub fn sent(&mut self, store: &ChunkStore, out: &mut Vec<Answer>) {
        assert!(self.active > 0, "slot given back twice");
        self.active -= 1;
        self.pump(store, out);
    }

    /// The receiver of a waiting pull is gone.
    pub fn forget(&mut self, id: u64) {
        self.waiting.shift_remove(&id);
    }

    /// Answers what the chunks now held allow.
    pub fn pump(&mut self, store: &ChunkStore, out: &mut Vec<Answer>) {
        while self.active < self.slots {
            let found = self
                .waiting
                .iter()
                .find_map(|(id, ask)| Some((*id, self.choose(ask, store)?)));
            let Some((id, digest)) = found else {
                return;
            };
            self.waiting.shift_remove(&id);
            self.active += 1;
            *self.counts.entry(digest).or_default() += 1;
            out.push(Answer::Send(id, digest));
        }
    }

    /// The wanted chunk that was sent least, so that rare chunks spread first.
    fn choose(&self, ask: &Ask, store: &ChunkStore) -> Option<Digest> {
        let held = ask.wanted.iter().filter_map(|p| store.find(*p));
        held.min_by_key(|digest| self.counts.get(digest).copied().unwrap_or(0))
    }

    /// Ends waits that are over.
    ///
    /// A pull that only waits for its turn stays a little longer, because its
    /// sender would come back with the same request.
    pub fn tick(&mut self, now: Millis, store: &ChunkStore, out: &mut Vec<Answer>) {
        let over = self.waiting.iter().filter(|(_, ask)| {
            let useful = ask.wanted.iter().any(|p| store.find(*p).is_some());
            let grace = if useful { QUEUE_TIME } else { Millis(0) };
            ask.deadline.plus(grace) <= now
        });
        for id in over.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.waiting.shift_remove(&id);
            out.push(Answer::Unavailable(id));
        }
    }

    /// Forgets how often chunks outside the store were sent.
    pub fn trim(&mut self, store: &ChunkStore) {
        self.counts.retain(|digest, _| store.get(*digest).is_some());
    }

    /// Pulls waiting and chunks being sent.
    pub fn load(&self) -> (usize, usize) {
        (self.waiting.len(), self.active)
    }
}
