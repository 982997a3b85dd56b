//! Bookkeeping of blocking queries at the platform.

use crate::common;
use crate::table::sync::ConfigKey;
use crate::table::sync::WATCH_WAIT;
use crate::time::Millis;

/// Time beyond its wait after which a query counts as lost.
const GRACE: Millis = Millis(5_000);

/// Least time between two queries of one key.
///
/// Bounds what a key that changes all the time, or a platform that answers
/// at once, can cost: 5 calls/s a key and reader.
const MIN_GAP: Millis = Millis(200);

/// Longest pause after the first failure.
const BACKOFF_MIN: Millis = Millis(500);

/// Longest pause after many failures.
///
/// Bounds how late a change is seen after an outage of the platform; with two
/// readers a zone and three keys, the calls during one stay below 6/s for
/// five zones.
const BACKOFF_MAX: Millis = Millis(10_000);

/// A query to be made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Query {
    pub key: ConfigKey,
    pub index: u64,
    pub wait: Millis,
}

common! { key
enum State {
    Idle,
    Open { call: u64, sent: Millis, wait: Millis },
}
}

/// The watch of one key.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    key: ConfigKey,
    index: u64,
    state: State,
    failures: u32,
    /// No query before this time.
    not_before: Millis,
    /// A single read is to be made even when this process is no reader.
    once: bool,
    /// When the query began whose answer came last.
    answered: Option<Millis>,
}

impl Watch {
    pub fn new(key: ConfigKey) -> Watch {
        Watch {
            key,
            index: 0,
            state: State::Idle,
            failures: 0,
            not_before: Millis(0),
            once: false,
            answered: None,
        }
    }

    /// Asks for one read from `at` on.
    pub fn read_once(&mut self, at: Millis) {
        if !self.once {
            self.once = true;
            self.not_before = self.not_before.max(at);
        }
    }

    /// Drops the query in progress, whose answer may be from before a pause.
    pub fn restart(&mut self) {
        self.state = State::Idle;
        self.index = 0;
    }

    /// When the query began that was answered last.
    pub fn answered(&self) -> Option<Millis> {
        self.answered
    }

    /// The query to make now, if one is due.
    pub fn due(
        &mut self,
        now: Millis,
        reader: bool,
        call: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<Query> {
        if let State::Open { sent, wait, .. } = self.state {
            if now.since(sent) <= wait.plus(GRACE) {
                return None;
            }
            self.fail(now, rng);
        }
        if !(reader || self.once) || now < self.not_before {
            return None;
        }
        let wait = if reader && self.index > 0 {
            WATCH_WAIT
        } else {
            Millis(0)
        };
        self.once = false;
        self.state = State::Open {
            call,
            sent: now,
            wait,
        };
        self.not_before = now.plus(MIN_GAP);
        let index = if wait.0 == 0 { 0 } else { self.index };
        Some(Query {
            key: self.key,
            index,
            wait,
        })
    }

    /// Takes the end of a query: the index that came, or none for a failure.
    pub fn ended(&mut self, now: Millis, call: u64, index: Option<u64>, rng: &mut fastrand::Rng) {
        let State::Open {
            call: open, sent, ..
        } = self.state
        else {
            return;
        };
        if open != call {
            return;
        }
        let Some(index) = index else {
            self.fail(now, rng);
            return;
        };
        // An index that went back means that the service restarted or another
        // replica answered; the next query waits for a change from there.
        self.index = index.max(1);
        self.failures = 0;
        self.state = State::Idle;
        self.answered = Some(sent);
    }

    /// Pauses with full jitter, so that readers do not return together.
    fn fail(&mut self, now: Millis, rng: &mut fastrand::Rng) {
        self.state = State::Idle;
        let limit = BACKOFF_MIN.0 << self.failures.min(8);
        let limit = limit.min(BACKOFF_MAX.0);
        self.failures = self.failures.saturating_add(1);
        let pause = rng.u64(limit / 4..=limit);
        self.not_before = now.plus(Millis(pause));
    }
}
