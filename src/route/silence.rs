//! Decides when to look for another upstream for a stream whose upstream is silent.
//!
//! Under high load, the passes of full upstreams take longer than usual while no
//! other upstream has a free slot. Silence alone does not mean that the upstream is
//! lost, so the stream stays there until another upstream has been found.

use crate::prelude::*;

/// Silence after which another upstream is searched for. A pass that reads the
/// longest prompts of several requests takes less than this.
const STALL_TIMEOUT: Millis = Millis(900);

/// Time between two searches. Entries exchange their loads at least four times a
/// second.
const SEARCH_INTERVAL: Millis = Millis(250);

common! { key
/// A stream whose upstream has sent nothing for some time.
pub struct Silence {
    /// When bytes of it were last read.
    pub last_read: Millis,
    /// When another upstream was last searched for.
    pub last_search: Option<Millis>,
    /// When the stream is aborted.
    pub deadline: Millis,
}
}

common! { key
/// What to do next with a stream whose upstream is silent.
pub enum Step {
    /// Keep reading for this long.
    Read(Millis),
    /// Search for another upstream.
    Search,
    /// Abort the stream: its deadline has passed.
    Abort,
}
}

impl Silence {
    /// Returns what to do now. `can_move` is true when the stream may be resumed at
    /// another upstream.
    pub fn step(&self, now: Millis, can_move: bool) -> Step {
        if now >= self.deadline {
            return Step::Abort;
        }
        let next_search = match self.last_search {
            _ if !can_move => self.deadline,
            Some(at) => at.plus(SEARCH_INTERVAL),
            None => self.last_read.plus(STALL_TIMEOUT),
        };
        if now >= next_search {
            return Step::Search;
        }
        Step::Read(next_search.min(self.deadline).since(now))
    }
}
