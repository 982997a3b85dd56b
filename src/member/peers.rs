//! Other processes of the system, as their datagrams show them.

use std::net::IpAddr;

use crate::prelude::*;

/// Silence after which a process is forgotten.
const EXPIRY: Millis = Millis(3_000);

/// Processes remembered.
const MAX_PEERS: usize = 4_096;

common! { key
/// What a process does.
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Fills the runner on its VM.
    Agent,
}
}

common! { value
/// One process.
pub struct Peer {
    /// Name of its VM.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Address of its VM; the port is the same on all VMs.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: String,
    /// When it started, by its own wall clock.
    pub started: u64,
    /// Revision up to which its replica is complete.
    pub revision: u64,
    /// True when it reads the store and can be relied on.
    pub is_reader: bool,
    /// When it was last heard of, by the own clock.
    pub last_heard: Millis,
}
}

/// Table of the processes that are known.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    table: IndexMap<String, Peer>,
}

impl Peers {
    /// Takes what a process says of itself; false for an earlier incarnation.
    pub fn update(&mut self, peer: Peer) -> bool {
        if let Some(held) = self.table.get(&peer.name) {
            // The wall clocks of VMs may step back, so an old start is
            // believed once the newer one has been silent.
            let silent = peer.last_heard.since(held.last_heard) >= EXPIRY;
            if peer.started < held.started && !silent {
                return false;
            }
        } else if self.table.len() >= MAX_PEERS {
            return false;
        }
        self.table.insert(peer.name.clone(), peer);
        true
    }

    /// Takes a process that another one named; its own word goes before this.
    pub fn add_named(&mut self, peer: Peer) {
        if !self.table.contains_key(&peer.name) && self.table.len() < MAX_PEERS {
            self.table.insert(peer.name.clone(), peer);
        }
    }

    /// Forgets processes that have been silent.
    pub fn tick(&mut self, now: Millis) {
        self.table
            .retain(|_, peer| now.since(peer.last_heard) < EXPIRY);
    }

    /// Entries of a zone.
    pub fn entries_in(&self, zone: &str) -> usize {
        let near = self.with_role(Role::Entry);
        near.filter(|peer| peer.zone == zone).count()
    }

    /// All processes.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.table.values()
    }

    /// Processes with this role.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Peer> {
        self.table.values().filter(move |peer| peer.role == role)
    }

    /// Number of processes.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// True when none is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// The processes whose replica is ahead of `revision`, those of `zone` first.
    pub fn ahead(&self, zone: &str, revision: u64) -> Vec<&Peer> {
        let ahead = self.table.values().filter(|p| p.revision > revision);
        let mut ahead: Vec<&Peer> = ahead.collect();
        ahead.sort_by_key(|p| (p.zone != zone, std::cmp::Reverse(p.last_heard)));
        ahead
    }
}
