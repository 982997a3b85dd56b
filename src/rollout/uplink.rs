//! Pace of what an agent sends to others, on a narrow link.

use crate::prelude::*;

/// Share of the link's rate at which pieces are sent; the rest is for live traffic.
const RATE_SHARE: f64 = 0.88;

/// Uploads of one agent, one after another.
///
/// It is made for a new version in a large pool: an agent sends each piece to all others
/// of its zone, and a whole zone waits for the copy that goes to another zone. So that
/// copy goes first.
#[derive(Clone, Debug, Default)]
pub struct Uplink {
    /// When the link is free for a further upload.
    free_at: Millis,
}

impl Uplink {
    /// Returns when an upload of `length` bytes may start on a link of `rate` bytes a
    /// millisecond. One to another zone (`is_far`) does not wait for those before it.
    pub fn admit(&mut self, now: Millis, length: usize, rate: f64, is_far: bool) -> Millis {
        let span = Millis((length as f64 / (rate * RATE_SHARE).max(1.0)) as u64);
        let free_at = self.free_at.max(now);
        self.free_at = free_at.plus(span);
        if is_far { now } else { free_at }
    }
}
