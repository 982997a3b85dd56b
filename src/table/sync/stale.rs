//! Views after a pause: stale until a peer or the platform has answered since.

use crate::table::Stamp;
use crate::table::sync::Action;
use crate::table::sync::ConfigKey;
use crate::table::sync::Core;
use crate::table::sync::PAUSE_THRESHOLD;
use crate::time::Millis;

/// Peers asked at once after a pause.
const ASKED: usize = 3;

/// Since when views are stale, and what ends it.
#[derive(Clone, Debug)]
pub(super) struct Stale {
    pub since: Millis,
    /// Greatest stamp heard since; views are fresh once it is reached.
    pub goal: Option<Stamp>,
}

impl Core {
    /// Notes the time; a jump makes all views stale.
    ///
    /// The first event or tick after a pause gets here before anything is
    /// decided from old views.
    pub(super) fn note_time(&mut self, now: Millis, out: &mut Vec<Action>) {
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
        self.start.asked.clear();
        for fetch in &mut self.fetches {
            fetch.clear();
        }
        let reader = self.is_reader();
        for watch in &mut self.watches {
            watch.restart();
        }
        if reader || self.peers.len() == 0 {
            self.read_all(now);
        }
        for to in self.peers.some(ASKED, &mut self.rng) {
            self.exchange(now, to, out);
        }
    }

    /// Asks peers for what they hold; false when there are none.
    ///
    /// Views count as stale until one has answered.
    pub fn refresh_now(&mut self, now: Millis, out: &mut Vec<Action>) -> bool {
        self.note_time(now, out);
        let asked = self.peers.some(ASKED, &mut self.rng);
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

    /// A peer answered an exchange that began at `sent` with `stamp`.
    pub(super) fn refresh(&mut self, sent: Millis, stamp: Stamp) {
        let Some(stale) = &mut self.stale else {
            return;
        };
        if sent >= stale.since {
            let goal = stale.goal.get_or_insert_default();
            if stamp > *goal {
                *goal = stamp;
            }
        }
        self.check_fresh();
    }

    /// Ends staleness when what was heard since is in force.
    pub(super) fn check_fresh(&mut self) {
        let Some(stale) = &self.stale else {
            return;
        };
        let since = stale.since;
        let after = |key: ConfigKey| {
            let answered = self.watches[key as usize].answered();
            answered.is_some_and(|sent| sent >= since)
        };
        let read = after(ConfigKey::Routes) && after(ConfigKey::Pools);
        let reached = match &stale.goal {
            Some(goal) => !self.hold.wants(goal),
            None => read,
        };
        if reached {
            self.stale = None;
        }
    }

    /// True when views may be old: the process was paused and nothing has
    /// refreshed them since.
    pub fn is_stale(&self, now: Millis) -> bool {
        let late = self
            .last_tick
            .is_some_and(|last| now.since(last) > PAUSE_THRESHOLD);
        late || self.stale.is_some()
    }
}
