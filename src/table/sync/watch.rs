//! Blocking queries at the platform: when each key is queried, and how failures
//! are retried.

use crate::common;
use crate::table::sync::ConfigKey;
use crate::table::sync::WATCH_WAIT;
use crate::time::Millis;

/// Time beyond its wait after which a query has failed.
const ANSWER_GRACE: Millis = Millis(5_000);

/// Shortest time between two queries of one key.
///
/// It limits the calls when a key changes all the time or the platform does not
/// wait, to 5 calls/s for each key and reader.
const MIN_INTERVAL: Millis = Millis(200);

/// Longest pause after the first failure; it doubles with each further one.
const BACKOFF_START: Millis = Millis(500);

/// Longest pause after many failures.
///
/// It limits how late a change is read after an outage of the platform. During
/// the outage five zones, with two readers each and three keys, make fewer than 6
/// calls/s.
const BACKOFF_MAX: Millis = Millis(10_000);

/// A query to send now: `index` is 0 to read at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct Query {
    pub key: ConfigKey,
    pub index: u64,
    pub wait: Millis,
}

common! { key
/// Whether a query is open.
enum State {
    Idle,
    Open { call: u64, sent: Millis, wait: Millis },
}
}

/// Queries of one key.
#[derive(Clone, Debug)]
pub(super) struct KeyWatch {
    key: ConfigKey,
    /// Index of the last answer; 0 before the first.
    index: u64,
    state: State,
    /// Failed queries since the last answer.
    failures: u32,
    /// Earliest time of the next query.
    not_before: Millis,
    /// True when one query has to be made even if this process is no reader.
    single_read: bool,
    /// When the query that was answered last was sent.
    last_answered: Option<Millis>,
}

impl KeyWatch {
    pub fn new(key: ConfigKey) -> KeyWatch {
        KeyWatch {
            key,
            index: 0,
            state: State::Idle,
            failures: 0,
            not_before: Millis(0),
            single_read: false,
            last_answered: None,
        }
    }

    /// Requests one query, not before `at`.
    pub fn read_once(&mut self, at: Millis) {
        if !self.single_read {
            self.single_read = true;
            self.not_before = self.not_before.max(at);
        }
    }

    /// Drops the open query, whose answer may be from before a pause, and makes the
    /// next query one that does not wait.
    pub fn reset(&mut self) {
        self.state = State::Idle;
        self.index = 0;
    }

    /// Returns when the query that was answered last was sent.
    pub fn last_answered(&self) -> Option<Millis> {
        self.last_answered
    }

    /// Returns the query to send now as `call`, if one is due.
    pub fn next_query(
        &mut self,
        now: Millis,
        is_reader: bool,
        call: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<Query> {
        if let State::Open { sent, wait, .. } = self.state {
            if now.since(sent) <= wait.plus(ANSWER_GRACE) {
                return None;
            }
            self.back_off(now, rng);
        }
        if !(is_reader || self.single_read) || now < self.not_before {
            return None;
        }
        let wait = if is_reader && self.index > 0 {
            WATCH_WAIT
        } else {
            Millis(0)
        };
        self.single_read = false;
        self.state = State::Open {
            call,
            sent: now,
            wait,
        };
        self.not_before = now.plus(MIN_INTERVAL);
        let index = if wait.0 == 0 { 0 } else { self.index };
        Some(Query {
            key: self.key,
            index,
            wait,
        })
    }

    /// Handles the end of the query `call`: `index` is `None` if it failed.
    pub fn on_end(&mut self, now: Millis, call: u64, index: Option<u64>, rng: &mut fastrand::Rng) {
        let State::Open {
            call: open_call,
            sent,
            ..
        } = self.state
        else {
            return;
        };
        if open_call != call {
            return;
        }
        let Some(index) = index else {
            self.back_off(now, rng);
            return;
        };
        // An index lower than before means that the service restarted or another
        // replica answered. The next query waits for a change from this index on.
        self.index = index.max(1);
        self.failures = 0;
        self.state = State::Idle;
        self.last_answered = Some(sent);
    }

    /// Schedules the next query after a random pause, so that readers do not query
    /// at the same time after an outage.
    ///
    /// It reads at once: a service that has restarted, or come back from an older copy, gives
    /// out indexes again, and one that equals the last says nothing of the value.
    fn back_off(&mut self, now: Millis, rng: &mut fastrand::Rng) {
        self.state = State::Idle;
        self.index = 0;
        let limit = BACKOFF_START.0 << self.failures.min(8);
        let limit = limit.min(BACKOFF_MAX.0);
        self.failures = self.failures.saturating_add(1);
        let pause = rng.u64(limit / 4..=limit);
        self.not_before = now.plus(Millis(pause));
    }
}
