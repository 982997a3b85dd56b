//! Suspicion by lack of progress on outstanding exchanges.
//!
//! Connection state plays no part: a paused process keeps its connections,
//! and a lost connection alone does not make a process dead.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::time::Millis;

/// Processes tracked at once; the one heard longest ago is forgotten first.
const MAX_TRACKED: usize = 128;

/// Time without progress on outstanding work after which a process is suspected.
///
/// Three rounds of anti-entropy, so that one lost message causes no suspicion.
pub const SUSPECT_AFTER: Millis = Millis(5_000);

/// What is known of one process.
#[derive(Clone, Copy, Debug, Default)]
struct Track {
    /// When the oldest work without an answer began.
    waiting: Option<Millis>,
    /// When it last made progress.
    heard: Option<Millis>,
    /// Answers missed since.
    missed: u32,
    suspect: bool,
}

/// Progress of the processes that this one works with.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    tracks: IndexMap<SocketAddr, Track>,
}

impl FailureDetector {
    /// Work was given to `addr`; it owes an answer from now on.
    pub fn on_sent(&mut self, now: Millis, addr: SocketAddr) {
        if !self.tracks.contains_key(&addr) && self.tracks.len() >= MAX_TRACKED {
            self.evict();
        }
        let track = self.tracks.entry(addr).or_default();
        track.waiting.get_or_insert(now);
    }

    /// `addr` made progress: an answer, a part of one, or a call of its own.
    pub fn on_progress(&mut self, now: Millis, addr: SocketAddr) {
        if let Some(track) = self.tracks.get_mut(&addr) {
            *track = Track {
                heard: Some(now),
                ..Track::default()
            };
        }
    }

    /// Work given to `addr` failed or timed out.
    ///
    /// It takes two misses and [`SUSPECT_AFTER`] without progress: one slow
    /// answer is not enough.
    pub fn on_failure(&mut self, now: Millis, addr: SocketAddr) {
        let Some(track) = self.tracks.get_mut(&addr) else {
            return;
        };
        track.missed += 1;
        let since = track.waiting.unwrap_or(now);
        let late = now.since(since) >= SUSPECT_AFTER;
        track.suspect |= late && track.missed >= 2;
    }

    /// Forgets what a pause of this process made look like missing progress.
    pub fn clear_suspicion(&mut self) {
        for track in self.tracks.values_mut() {
            track.waiting = None;
            track.missed = 0;
            track.suspect = false;
        }
    }

    /// True when `addr` owes progress for too long.
    pub fn is_suspected(&self, addr: SocketAddr) -> bool {
        self.tracks.get(&addr).is_some_and(|track| track.suspect)
    }

    /// Misses since `addr` last made progress.
    pub fn failures(&self, addr: SocketAddr) -> u32 {
        self.tracks.get(&addr).map_or(0, |track| track.missed)
    }

    /// Number of processes tracked.
    pub fn len(&self) -> usize {
        self.tracks.len()
    }

    /// True when none is tracked.
    pub fn is_empty(&self) -> bool {
        self.tracks.is_empty()
    }

    fn evict(&mut self) {
        let oldest = self
            .tracks
            .iter()
            .min_by_key(|(_, track)| (track.suspect, track.heard))
            .map(|(addr, _)| *addr);
        if let Some(addr) = oldest {
            self.tracks.swap_remove(&addr);
        }
    }
}
