//! Failure detector: suspects processes that make no progress on outstanding
//! calls.
//!
//! The state of connections is not used: a paused process keeps its connections
//! open, and the loss of a connection alone does not show that a process died.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::time::Millis;

/// Maximum number of processes tracked. Processes that are not suspected are
/// evicted first, and among them the one whose last progress is the oldest.
const MAX_TRACKED: usize = 128;

/// Time without progress on outstanding calls after which a process is suspected.
///
/// It covers three rounds of anti-entropy, so one lost message causes no suspicion.
pub const SUSPECT_AFTER: Millis = Millis(5_000);

/// State of one process.
#[derive(Clone, Copy, Debug, Default)]
struct Tracked {
    /// When the oldest call without an answer was sent.
    unanswered_since: Option<Millis>,
    /// When the process last made progress; `None` before the first time.
    last_progress: Option<Millis>,
    /// Calls that failed since the last progress.
    failures: u32,
    is_suspected: bool,
}

/// Tracks the answers of the processes that this one calls.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    tracks: IndexMap<SocketAddr, Tracked>,
}

impl FailureDetector {
    /// Records that a call was sent to `addr`, which has to answer from now on.
    pub fn on_sent(&mut self, now: Millis, addr: SocketAddr) {
        if !self.tracks.contains_key(&addr) && self.tracks.len() >= MAX_TRACKED {
            self.evict();
        }
        let track = self.tracks.entry(addr).or_default();
        track.unanswered_since.get_or_insert(now);
    }

    /// Records progress of `addr`: an answer, a part of one, or a call that it
    /// made itself. Ends any suspicion.
    pub fn on_progress(&mut self, now: Millis, addr: SocketAddr) {
        if let Some(track) = self.tracks.get_mut(&addr) {
            *track = Tracked {
                last_progress: Some(now),
                ..Tracked::default()
            };
        }
    }

    /// Records that a call to `addr` failed or timed out.
    ///
    /// The process is suspected after two failures and [`SUSPECT_AFTER`] without
    /// progress, so that a single slow answer is not enough.
    pub fn on_failure(&mut self, now: Millis, addr: SocketAddr) {
        let Some(track) = self.tracks.get_mut(&addr) else {
            return;
        };
        track.failures += 1;
        let since = track.unanswered_since.unwrap_or(now);
        let late = now.since(since) >= SUSPECT_AFTER;
        track.is_suspected |= late && track.failures >= 2;
    }

    /// Clears all suspicion, failures and open calls. Called after a pause of
    /// this process, in which the others seemed to make no progress.
    pub fn clear_suspicion(&mut self) {
        for track in self.tracks.values_mut() {
            track.unanswered_since = None;
            track.failures = 0;
            track.is_suspected = false;
        }
    }

    /// Returns true while `addr` is suspected to be dead or cut off.
    pub fn is_suspected(&self, addr: SocketAddr) -> bool {
        self.tracks
            .get(&addr)
            .is_some_and(|track| track.is_suspected)
    }

    /// Returns the number of failed calls since `addr` last made progress.
    pub fn failures(&self, addr: SocketAddr) -> u32 {
        self.tracks.get(&addr).map_or(0, |track| track.failures)
    }

    /// Returns the number of processes tracked, at most 128.
    pub fn len(&self) -> usize {
        self.tracks.len()
    }

    /// Returns true when no process is tracked.
    pub fn is_empty(&self) -> bool {
        self.tracks.is_empty()
    }

    fn evict(&mut self) {
        let oldest = self
            .tracks
            .iter()
            .min_by_key(|(_, track)| (track.is_suspected, track.last_progress))
            .map(|(addr, _)| *addr);
        if let Some(addr) = oldest {
            self.tracks.swap_remove(&addr);
        }
    }
}
