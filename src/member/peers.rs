//! Other processes of the system, as known from their datagrams.

use std::net::IpAddr;

use indexmap::IndexSet;

use crate::prelude::*;
use crate::table::replica::Position;
use crate::util;

/// Shortest time without a datagram after which a process is removed.
const MIN_EXPIRY: Millis = Millis(3_000);

/// Intervals between datagrams after which a silent process is removed: three of its
/// datagrams in a row were lost.
const SILENT_INTERVALS: f64 = 10.0 / 3.0;

/// Entries of each other zone to which an agent reports the state of its runner.
const REMOTE_REPORTS: usize = 4;

/// Maximum number of processes kept; further ones are ignored until others expire.
const MAX_PEERS: usize = 4_096;

common! { key
/// Kind of process.
pub enum Role {
    /// Takes callers' requests and forwards them to upstreams.
    Entry,
    /// Loads weights into the runner on its VM.
    Agent,
}
}

common! { value
/// Another process, as last described by itself or by a third process.
pub struct Peer {
    /// Name of its VM.
    pub name: String,
    /// Kind of process.
    pub role: Role,
    /// Address of its VM. The port is the same on all VMs.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: String,
    /// When it started, in milliseconds by its own wall clock; 0 until it has
    /// described itself.
    pub started: u64,
    /// How far its replica of the store is complete.
    pub position: Position,
    /// True when it reads the store and other processes may rely on it.
    pub is_reader: bool,
    /// When it was last heard of, by the clock of this process.
    pub last_heard: Millis,
    /// Longest time between two of its datagrams, as it says; 0 when it does not.
    pub interval: Millis,
}
}

impl Peer {
    /// Returns the time without a datagram after which it is removed.
    fn expiry(&self) -> Millis {
        let expiry = Millis((SILENT_INTERVALS * self.interval.0 as f64) as u64);
        expiry.max(MIN_EXPIRY)
    }
}

/// The known processes by name.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    table: IndexMap<String, Peer>,
}

impl Peers {
    /// Records what a process says of itself. Returns false when it is ignored:
    /// it comes from an earlier start of the process, or the table is full.
    pub fn update(&mut self, peer: Peer) -> bool {
        if let Some(held) = self.table.get(&peer.name) {
            // The wall clock of a VM may step back between two starts, so an
            // earlier start time is accepted once the known start is silent.
            let silent = peer.last_heard.since(held.last_heard) >= held.expiry();
            if peer.started < held.started && !silent {
                return false;
            }
        } else if self.table.len() >= MAX_PEERS {
            return false;
        }
        self.table.insert(peer.name.clone(), peer);
        true
    }

    /// Returns when the process with this name started, as it said; none when it is not
    /// known.
    pub fn started(&self, name: &str) -> Option<u64> {
        self.table.get(name).map(|peer| peer.started)
    }

    /// Adds a process that another one named, unless it is known already: what
    /// a process says of itself takes precedence.
    pub fn add_named(&mut self, peer: Peer) {
        if !self.table.contains_key(&peer.name) && self.table.len() < MAX_PEERS {
            self.table.insert(peer.name.clone(), peer);
        }
    }

    /// Removes the processes that have been silent for 3 s, or for three of their
    /// intervals if that is longer.
    pub fn tick(&mut self, now: Millis) {
        self.table
            .retain(|_, peer| now.since(peer.last_heard) < peer.expiry());
    }

    /// Returns the number of known entry processes in `zone`.
    pub fn entries_in(&self, zone: &str) -> usize {
        let near = self.with_role(Role::Entry);
        near.filter(|peer| peer.zone == zone).count()
    }

    /// Returns the number of known processes outside `zone`.
    pub fn outside(&self, zone: &str) -> usize {
        self.table.values().filter(|peer| peer.zone != zone).count()
    }

    /// Returns the addresses of the entries outside `zone` to which `agent` reports the
    /// state of its runner: up to four of each zone, chosen by rendezvous hashing.
    pub fn remote_readers(&self, agent: &str, zone: &str) -> IndexSet<IpAddr> {
        let mut zones: IndexMap<&str, Vec<(u64, IpAddr)>> = IndexMap::new();
        for peer in self.with_role(Role::Entry).filter(|p| p.zone != zone) {
            let rank = util::stable_hash([agent, peer.name.as_str()]);
            zones.entry(&peer.zone).or_default().push((rank, peer.ip));
        }
        let first = zones.into_values().flat_map(|mut ranked| {
            ranked.sort_unstable();
            ranked.into_iter().take(REMOTE_REPORTS).map(|(_, ip)| ip)
        });
        first.collect()
    }

    /// Iterates over all known processes.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.table.values()
    }

    /// Iterates over the known processes with `role`.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Peer> {
        self.table.values().filter(move |peer| peer.role == role)
    }

    /// Returns the number of known processes, at most 4,096.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns true when no process is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the processes whose replica is ahead of `position`: those of
    /// `zone` first, then by the time at which they were last heard of.
    pub fn ahead(&self, zone: &str, position: Position) -> Vec<&Peer> {
        let ahead = self.table.values().filter(|p| p.position > position);
        let mut ahead: Vec<&Peer> = ahead.collect();
        ahead.sort_by_key(|p| (p.zone != zone, std::cmp::Reverse(p.last_heard)));
        ahead
    }
}
