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
    processes: IndexMap<SocketAddr, Tracked>,
}

impl FailureDetector {
    /// Records that a call was sent to `addr`, which has to answer from now on.
    pub fn on_sent(&mut self, now: Millis, addr: SocketAddr) {
        if !self.processes.contains_key(&addr) && self.processes.len() >= MAX_TRACKED {
            self.evict();
        }
        let process = self.processes.entry(addr).or_default();
        process.unanswered_since.get_or_insert(now);
    }

    /// Records progress of `addr`: an answer, a part of one, or a call that it
    /// made itself. Ends any suspicion.
    pub fn on_progress(&mut self, now: Millis, addr: SocketAddr) {
        if let Some(process) = self.processes.get_mut(&addr) {
            *process = Tracked {
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
        let Some(process) = self.processes.get_mut(&addr) else {
            return;
        };
        process.failures += 1;
        let since = process.unanswered_since.unwrap_or(now);
        let is_late = now.since(since) >= SUSPECT_AFTER;
        process.is_suspected |= is_late && process.failures >= 2;
    }

    /// Clears all suspicion, failures and open calls. Called after a pause of
    /// this process, in which the others seemed to make no progress.
    pub fn clear_suspicion(&mut self) {
        for process in self.processes.values_mut() {
            process.unanswered_since = None;
            process.failures = 0;
            process.is_suspected = false;
        }
    }

    /// Returns true while `addr` is suspected to be dead or cut off.
    pub fn is_suspected(&self, addr: SocketAddr) -> bool {
        self.processes
            .get(&addr)
            .is_some_and(|process| process.is_suspected)
    }

    /// Returns the number of failed calls since `addr` last made progress.
    pub fn failures(&self, addr: SocketAddr) -> u32 {
        self.processes
            .get(&addr)
            .map_or(0, |process| process.failures)
    }

    /// Returns the number of processes tracked, at most 128.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns true when no process is tracked.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Removes one process to make room for another.
    fn evict(&mut self) {
        let oldest = self
            .processes
            .iter()
            .min_by_key(|(_, process)| (process.is_suspected, process.last_progress))
            .map(|(addr, _)| *addr);
        if let Some(addr) = oldest {
            self.processes.swap_remove(&addr);
        }
    }
}
