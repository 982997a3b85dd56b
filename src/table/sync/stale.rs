//! Staleness after a pause of the process: its tables and live list count as
//! stale until a peer or the platform has answered.

use crate::table::Stamp;
use crate::table::sync::Action;
use crate::table::sync::ConfigKey;
use crate::table::sync::Core;
use crate::table::sync::PAUSE_THRESHOLD;
use crate::time::Millis;

/// Number of peers asked at once after a pause.
const PEERS_ASKED: usize = 3;

/// Since when tables and live list are stale, and what ends it.
#[derive(Clone, Debug)]
pub(super) struct Stale {
    pub since: Millis,
    /// Greatest stamp in the answers of peers since then; staleness ends once it is
    /// in force.
    pub goal: Option<Stamp>,
}

impl Core {
    /// Detects a pause of the process by the time since the last tick. After a
    /// pause all is stale, open calls are dropped, and peers are asked.
    ///
    /// This is called first for each event and tick, before any decision that uses
    /// the old state.
    pub(super) fn check_pause(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(last) = self.last_tick else {
            self.last_tick = Some(now);
            return;
        };
        if now.since(last) <= PAUSE_THRESHOLD {
            return;
        }
        self.last_tick = Some(now);
        self.counters.jumps += 1;
        self.stale = Some(Stale {
            since: now,
            goal: None,
        });
        self.detector.clear_suspicion();
        self.peers.clear_open();
        self.start.open_calls.clear();
        for fetch in &mut self.fetches {
            fetch.clear();
        }
        let is_reader = self.is_reader();
        for watch in &mut self.watches {
            watch.reset();
        }
        if is_reader || self.peers.len() == 0 {
            self.request_reads(now);
        }
        for to in self.peers.random_peers(PEERS_ASKED, &mut self.rng) {
            self.exchange(now, to, out);
        }
    }

    /// Asks peers for their stamps, and sets the state to stale until one has
    /// answered. Returns false when there are no peers.
    pub fn refresh_now(&mut self, now: Millis, out: &mut Vec<Action>) -> bool {
        self.check_pause(now, out);
        let asked = self.peers.random_peers(PEERS_ASKED, &mut self.rng);
        for to in &asked {
            self.exchange(now, *to, out);
        }
        if !asked.is_empty() {
            self.stale.get_or_insert(Stale {
                since: now,
                goal: None,
            });
        }
        !asked.is_empty()
    }

    /// Handles that a peer answered an exchange that began at `sent` with `stamp`.
    pub(super) fn on_refresh(&mut self, sent: Millis, stamp: Stamp) {
        let Some(stale) = &mut self.stale else {
            return;
        };
        if sent >= stale.since {
            let goal = stale.goal.get_or_insert_default();
            if stamp > *goal {
                *goal = stamp;
            }
        }
        self.check_stale();
    }

    /// Ends staleness when the greatest stamp of the peers is in force, or without
    /// answers of peers when the platform has answered for both tables.
    pub(super) fn check_stale(&mut self) {
        let Some(stale) = &self.stale else {
            return;
        };
        let since = stale.since;
        let answered_after = |key: ConfigKey| {
            let answered = self.watches[key as usize].last_answered();
            answered.is_some_and(|sent| sent >= since)
        };
        let is_read = answered_after(ConfigKey::Routes) && answered_after(ConfigKey::Pools);
        let is_reached = match &stale.goal {
            Some(goal) => !self.active.wants(goal),
            None => is_read,
        };
        if is_reached {
            self.stale = None;
        }
    }

    /// Returns true when tables and live list may be out of date: the process was
    /// paused, and neither peers nor the platform have confirmed them since.
    pub fn is_stale(&self, now: Millis) -> bool {
        let is_late = self
            .last_tick
            .is_some_and(|last| now.since(last) > PAUSE_THRESHOLD);
        is_late || self.stale.is_some()
    }
}
