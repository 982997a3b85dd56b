//! The tables that requests are served by, with a wake-up for tasks when they change.

use std::sync::Mutex;

use event_listener::Event;
use event_listener::EventListener;

use crate::prelude::*;
use crate::table::Stamp;
use crate::table::TableSet;

/// Result of [`TablesInForce::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The set is in force now.
    Accepted,
    /// The set was in force already.
    Unchanged,
    /// The set's stamp is lower than that of the set in force; it was ignored.
    Older,
}

#[derive(Debug, Default)]
struct State {
    set: Option<Arc<TableSet>>,
    /// Why newer tables are not in force.
    refused: Option<Error>,
}

/// The tables in force; clones share them.
///
/// # Invariants
///
/// The stamp of the set in force never goes down.
#[derive(Clone, Debug, Default)]
pub struct TablesInForce {
    state: Arc<Mutex<State>>,
    changed: Arc<Event>,
}

impl TablesInForce {
    /// Returns the set in force; none before the first one has arrived.
    pub fn get(&self) -> Option<Arc<TableSet>> {
        self.lock().set.clone()
    }

    /// Revision and digest of the set in force; the lowest stamp when there is none.
    pub fn stamp(&self) -> Stamp {
        self.get().map(|s| s.stamp.clone()).unwrap_or_default()
    }

    /// Weight of an organisation in fair sharing; 1 when the tables do not list it.
    pub fn weight(&self, org: &str) -> u32 {
        let set = self.get();
        let share = set.and_then(|set| Some(set.routes.organisations.get(org)?.share));
        share.unwrap_or(1)
    }

    /// Puts a set in force if its stamp is greater than that of the current set.
    pub fn offer(&self, set: Arc<TableSet>) -> Offer {
        let mut state = self.lock();
        let current = state.set.as_ref().map(|s| s.stamp.clone());
        if current.as_ref() == Some(&set.stamp) {
            return Offer::Unchanged;
        }
        if current.is_some_and(|stamp| set.stamp < stamp) {
            return Offer::Older;
        }
        state.set = Some(set);
        state.refused = None;
        drop(state);
        self.changed.notify(usize::MAX);
        Offer::Accepted
    }

    /// Records why the newest tables were refused.
    pub fn refuse(&self, error: Error) {
        self.lock().refused = Some(error);
    }

    /// Why the newest tables were refused; none when they are in force.
    pub fn refused(&self) -> Option<Error> {
        self.lock().refused.clone()
    }

    /// Returns a listener for the next change.
    ///
    /// Create it before reading the tables, or a change in between is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
