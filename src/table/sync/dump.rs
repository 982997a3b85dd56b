//! What a process shows an operator about its tables.

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
/// Counts since the start of the process.
#[derive(Default, serde::Serialize)]
pub struct Counters {
    /// Sets that came into force.
    pub moves: u64,
    /// Reads of the platform.
    pub reads: u64,
    /// Exchanges with peers.
    pub exchanges: u64,
    /// Fetches from peers.
    pub fetches: u64,
    /// Sets that came as deltas.
    pub deltas: u64,
    /// Sets that came whole.
    pub wholes: u64,
    /// Lower revisions ignored.
    pub lower: u64,
    /// Pauses of the process noticed.
    pub jumps: u64,
}
}

common! { value
/// State of the spread at one process.
#[derive(serde::Serialize)]
pub struct Dump {
    /// Stamp of the set in force.
    pub in_force: Stamp,
    /// True once the process may serve.
    pub ready: bool,
    /// True when views may be old after a pause.
    pub stale: bool,
    /// Where the first set came from.
    pub source: Option<Source>,
    /// True when this process watches the platform.
    pub reader: bool,
    /// Readers of the zone as this process sees them, itself left out.
    pub readers: Vec<SocketAddr>,
    /// Index and digest of the live list.
    pub live: Stamp,
    /// VMs on the live list.
    pub live_vms: usize,
    /// Number of chosen peers.
    pub peers: usize,
    /// Why the pair at the platform is not a set yet.
    pub waiting: Option<String>,
    /// Sets that were refused, latest last.
    pub refused: Vec<Refusal>,
    /// Two contents of the revision in force.
    pub conflict: Option<Conflict>,
    /// Last lower revision that was ignored.
    pub lower: Option<Stamp>,
    /// Former sets from which peers can be given a delta.
    pub history: usize,
    /// Counts since the start.
    pub counters: Counters,
    /// Incarnation of the process, filled in by its daemon.
    pub incarnation: Option<Incarnation>,
}
}

impl Core {
    /// State for the operator.
    pub fn dump(&self, now: Millis) -> Dump {
        Dump {
            in_force: self.hold.stamp(),
            ready: self.start.ready,
            stale: self.is_stale(now),
            source: self.start.source,
            reader: self.is_reader(),
            readers: self.election.readers(&self.detector),
            live: self.live.stamp().clone(),
            live_vms: self.live.live().vms.len(),
            peers: self.peers.len(),
            waiting: self.waiting.clone(),
            refused: self.hold.refused().cloned().collect(),
            conflict: self.hold.conflict().cloned(),
            lower: self.last_lower.clone().or(self.hold.lower().cloned()),
            history: self.hold.history(),
            counters: self.counters.clone(),
            incarnation: None,
        }
    }
}
