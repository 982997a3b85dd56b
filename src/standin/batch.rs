//! Batch slots of the stand-in engine, given out token by token.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use smol::channel;
use smol::channel::Sender;

/// Order of requests: priority, then arrival.
pub type Rank = (i64, u64);

#[derive(Debug)]
struct State {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<Rank, Sender<()>>,
}

/// A fixed number of slots; clones share them.
///
/// A request gives its slot back after each token and waits for the next one
/// in order of rank. It so keeps its slot until it ends, unless a request of
/// better priority comes: that is how engines with priorities preempt.
#[derive(Clone, Debug)]
pub struct Slots {
    state: Arc<Mutex<State>>,
}

/// A slot; dropping it gives it to the waiting request of the lowest rank.
#[derive(Debug)]
pub struct Slot {
    slots: Slots,
}

impl Slots {
    /// `count` free slots.
    pub fn new(count: usize) -> Slots {
        let state = State {
            free: count,
            arrivals: 0,
            waiting: BTreeMap::new(),
        };
        Slots {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Rank of a new request of this priority.
    pub fn rank(&self, priority: i64) -> Rank {
        let mut state = self.lock();
        state.arrivals += 1;
        (priority, state.arrivals)
    }

    /// Waits for a slot.
    pub async fn acquire(&self, rank: Rank) -> Slot {
        let (sender, receiver) = channel::bounded(1);
        {
            let mut state = self.lock();
            state.waiting.insert(rank, sender);
            state.hand_out();
        }
        let mut place = Place {
            slots: self,
            rank,
            receiver,
            taken: false,
        };
        // The sender stays in the table until a slot is handed out.
        let _ = place.receiver.recv().await;
        place.taken = true;
        Slot {
            slots: self.clone(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A request that waits for a slot and may be cancelled meanwhile.
struct Place<'a> {
    slots: &'a Slots,
    rank: Rank,
    receiver: channel::Receiver<()>,
    taken: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let mut state = self.slots.lock();
        state.waiting.remove(&self.rank);
        if self.receiver.try_recv().is_ok() {
            state.free += 1;
            state.hand_out();
        }
    }
}

impl State {
    fn hand_out(&mut self) {
        while self.free > 0 {
            let Some((_, sender)) = self.waiting.pop_first() else {
                return;
            };
            // A request that was cancelled while it waited takes no slot.
            if sender.try_send(()).is_ok() {
                self.free -= 1;
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        state.free += 1;
        state.hand_out();
    }
}
