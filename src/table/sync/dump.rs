//! State of the tables of a process, as shown to operators.

use std::net::SocketAddr;

use crate::common;
use crate::member::Incarnation;
use crate::table::Stamp;
use crate::table::sync::Conflict;
use crate::table::sync::Core;
use crate::table::sync::Refusal;
use crate::table::sync::Source;
use crate::time::Millis;

common! { value
/// Counters since the start of the process.
#[derive(Default, serde::Serialize)]
pub struct Counters {
    /// Sets that have come into force.
    pub moves: u64,
    /// Reads of the platform begun.
    pub reads: u64,
    /// Exchanges with peers begun.
    pub exchanges: u64,
    /// Fetches from peers begun.
    pub fetches: u64,
    /// Sets fetched as deltas.
    pub deltas: u64,
    /// Sets fetched as whole texts.
    pub wholes: u64,
    /// Sets ignored for a revision lower than that in force.
    pub lower: u64,
    /// Pauses of the process detected.
    pub jumps: u64,
}
}

common! { value
/// State of the tables, live list and peers of one process.
#[derive(serde::Serialize)]
pub struct Dump {
    /// Stamp of the set in force; the default when there is none.
    pub in_force: Stamp,
    /// True once the process may serve.
    pub ready: bool,
    /// True when tables and live list may be out of date after a pause.
    pub stale: bool,
    /// Where the first set came from; `None` before it.
    pub source: Option<Source>,
    /// True when this process reads the platform.
    pub reader: bool,
    /// Other readers of the zone, as this process ranks them.
    pub readers: Vec<SocketAddr>,
    /// Index and digest of the live list.
    pub live: Stamp,
    /// VMs on the live list.
    pub live_vms: usize,
    /// Number of peers chosen.
    pub peers: usize,
    /// Why the tables at the platform are not a set yet, when only one of them has
    /// been published.
    pub waiting: Option<String>,
    /// Sets that were refused, latest last; at most 16.
    pub refused: Vec<Refusal>,
    /// Conflict between two sets with the revision in force.
    pub conflict: Option<Conflict>,
    /// Last stamp that was ignored for its lower revision.
    pub lower: Option<Stamp>,
    /// Number of earlier sets from which peers can be given a delta.
    pub history: usize,
    /// Counters since the start.
    pub counters: Counters,
    /// Incarnation of the process, which the daemon fills in.
    pub incarnation: Option<Incarnation>,
}
}

impl Core {
    /// Returns the state for operators at `now`.
    pub fn dump(&self, now: Millis) -> Dump {
        Dump {
            in_force: self.active.stamp(),
            ready: self.start.ready,
            stale: self.is_stale(now),
            source: self.start.source,
            reader: self.is_reader(),
            readers: self.election.readers(&self.detector),
            live: self.live.stamp().clone(),
            live_vms: self.live.live().vms.len(),
            peers: self.peers.len(),
            waiting: self.incomplete.clone(),
            refused: self.active.refused().cloned().collect(),
            conflict: self.active.conflict().cloned(),
            lower: self.last_lower.clone().or(self.active.lower().cloned()),
            history: self.active.history(),
            counters: self.counters.clone(),
            incarnation: None,
        }
    }
}
