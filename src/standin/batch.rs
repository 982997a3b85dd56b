//! Batch slots of the stand-in engine, assigned anew for each token.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use smol::channel;
use smol::channel::Sender;

/// Order in which requests get slots: by priority, then by arrival; the lowest first.
pub type Rank = (i64, u64);

#[derive(Debug)]
struct State {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<Rank, Sender<()>>,
}

/// A fixed number of slots; clones share them.
///
/// A request returns its slot after each token and waits for the next one in
/// order of rank. It thus keeps its slot until it ends, unless a request with a
/// lower priority number arrives: this models engines that preempt by priority.
#[derive(Clone, Debug)]
pub struct Slots {
    state: Arc<Mutex<State>>,
}

/// A slot in use; dropping it assigns it to the waiting request of the lowest rank.
#[derive(Debug)]
pub struct Slot {
    slots: Slots,
}

impl Slots {
    /// Creates `count` free slots.
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

    /// Returns the rank of a new request of this priority.
    pub fn rank(&self, priority: i64) -> Rank {
        let mut state = self.lock();
        state.arrivals += 1;
        (priority, state.arrivals)
    }

    /// Waits until a slot is assigned to the request of this rank.
    pub async fn acquire(&self, rank: Rank) -> Slot {
        let (sender, receiver) = channel::bounded(1);
        {
            let mut state = self.lock();
            state.waiting.insert(rank, sender);
            state.assign_free();
        }
        let mut waiter = Waiter {
            slots: self,
            rank,
            receiver,
            assigned: false,
        };
        // The sender stays in `waiting` until a slot is assigned, so this cannot fail.
        let _ = waiter.receiver.recv().await;
        waiter.assigned = true;
        Slot {
            slots: self.clone(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A request that waits for a slot and may be cancelled meanwhile.
struct Waiter<'a> {
    slots: &'a Slots,
    rank: Rank,
    receiver: channel::Receiver<()>,
    assigned: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.assigned {
            return;
        }
        let mut state = self.slots.lock();
        state.waiting.remove(&self.rank);
        if self.receiver.try_recv().is_ok() {
            state.free += 1;
            state.assign_free();
        }
    }
}

impl State {
    /// Assigns free slots to waiting requests in order of rank.
    fn assign_free(&mut self) {
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
        state.assign_free();
    }
}
