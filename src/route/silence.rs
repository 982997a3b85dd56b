//! When to look for another upstream for a stream whose own is silent.
//!
//! Answers the load pattern in which the passes of full upstreams last longer
//! than usual and no other upstream has a place: silence alone is no loss, so
//! the stream stays where it is until another place is found.

use crate::prelude::*;

/// Silence after which another place is sought. A pass that reads the longest
/// prompts of several requests stays below it.
const STALL: Millis = Millis(900);

/// Time between two searches: entries tell each other their loads at least
/// four times a second.
const SEARCH_INTERVAL: Millis = Millis(250);

common! { key
/// A stream whose upstream has sent nothing for some time.
pub struct Silence {
    /// When something was last read of it.
    pub last_read: Millis,
    /// When another place was last sought.
    pub last_search: Option<Millis>,
    /// When the stream is cut.
    pub deadline: Millis,
}
}

common! { key
/// What to do about a silent upstream.
pub enum Step {
    /// Read on for this long.
    Read(Millis),
    /// Look for another upstream.
    Search,
    /// Cut the stream.
    Abort,
}
}

impl Silence {
    /// What is due now; `movable` tells that the stream may run at another upstream.
    pub fn step(&self, now: Millis, movable: bool) -> Step {
        if now >= self.deadline {
            return Step::Abort;
        }
        let due = match self.last_search {
            _ if !movable => self.deadline,
            Some(at) => at.plus(SEARCH_INTERVAL),
            None => self.last_read.plus(STALL),
        };
        if now >= due {
            return Step::Search;
        }
        Step::Read(due.min(self.deadline).since(now))
    }
}
