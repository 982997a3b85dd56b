//! Which of two versions is pulled and loaded first, when a newer one is named before the
//! one before has been loaded.
//!
//! It is made for versions that are named a few seconds apart while the origin is away. No
//! upstream may serve once the version that it holds has expired, so a complete version is
//! worth loading although a newer one is wanted.

use crate::prelude::*;
use crate::rollout::pieces::Pieces;

/// Time before the expiry of the held version from which the version before the newest is
/// loaded if only that is complete. The pieces of a version take about as long to arrive.
const EXPIRY_LEAD: Millis = Millis(3_000);

/// What an upstream holds, as far as the choice depends on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    /// Version that it holds; none when it is empty.
    pub version: Option<u64>,
    /// When that version expires; none while it is the newest.
    pub expiry: Option<Millis>,
}

impl Held {
    /// Returns true while the pieces of `previous` are pulled too: while the newest is
    /// stuck. Beside pieces that flow they would delay both versions.
    pub fn keeps_pulling(&self, now: Millis, previous: &Pieces, newest: &Pieces) -> bool {
        self.is_older_than(previous) && newest.is_stuck(now)
    }

    /// Returns true when `previous` is to be staged and loaded before `newest`: while the
    /// newest is stuck, or when the held version expires soon and only the previous is
    /// complete.
    pub fn prefers(&self, now: Millis, previous: &Pieces, newest: &Pieces) -> bool {
        let expires_soon = match (self.version, self.expiry) {
            (None, _) => true,
            (_, Some(at)) => at.since(now) < EXPIRY_LEAD,
            (_, None) => false,
        };
        let leads = previous.is_complete() && !newest.is_complete();
        self.is_older_than(previous) && (newest.is_stuck(now) || (expires_soon && leads))
    }

    fn is_older_than(&self, previous: &Pieces) -> bool {
        self.version.is_none_or(|v| v < previous.digests().version)
    }
}
