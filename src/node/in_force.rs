//! The table set in force, with a wake-up on change.

use std::sync::Mutex;

use event_listener::Event;
use event_listener::EventListener;

use crate::prelude::*;
use crate::table::Stamp;
use crate::table::TableSet;

/// What became of an offered set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Taken,
    /// It was in force already.
    Held,
    /// It is lower than the set in force and was ignored.
    Lower,
}

#[derive(Debug, Default)]
struct State {
    set: Option<Arc<TableSet>>,
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
    /// The set in force.
    pub fn get(&self) -> Option<Arc<TableSet>> {
        self.lock().set.clone()
    }

    /// Stamp of the set in force; the lowest stamp when there is none.
    pub fn stamp(&self) -> Stamp {
        self.get().map(|s| s.stamp.clone()).unwrap_or_default()
    }

    /// Weight of an organisation's fair share; 1 where the tables name none.
    pub fn weight(&self, org: &str) -> u32 {
        let set = self.get();
        let share = set.and_then(|set| Some(set.routes.organisations.get(org)?.share));
        share.unwrap_or(1)
    }

    /// Puts a set in force if it is greater than the one held.
    pub fn offer(&self, set: Arc<TableSet>) -> Offer {
        let mut state = self.lock();
        let held = state.set.as_ref().map(|s| s.stamp.clone());
        if held.as_ref() == Some(&set.stamp) {
            return Offer::Held;
        }
        if held.is_some_and(|stamp| set.stamp < stamp) {
            return Offer::Lower;
        }
        state.set = Some(set);
        state.refused = None;
        drop(state);
        self.changed.notify(usize::MAX);
        Offer::Taken
    }

    /// Records why the newest documents are not in force.
    pub fn refuse(&self, error: Error) {
        self.lock().refused = Some(error);
    }

    /// Why the newest documents are not in force, if they are not.
    pub fn refused(&self) -> Option<Error> {
        self.lock().refused.clone()
    }

    /// Completes at the next change; call before reading the view.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
