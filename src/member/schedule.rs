//! Schedule of the datagrams between entries and agents: which process gets what,
//! and when.
//!
//! It is made for fleets in which nearly every process changes its figures all the
//! time. What a process sends is bounded however many others there are. Entries of its
//! zone share one rate, and so do the processes of other zones. A runner reports to a
//! few entries of each other zone, and these together know all of its zone's runners.
//! What is urgent goes to all at once.

use std::net::IpAddr;

use indexmap::IndexSet;

use crate::member::peers::Peers;
use crate::member::peers::Role;
use crate::prelude::*;

/// Most datagrams a second with changed figures to all entries of the zone
/// together: sending and receiving them takes a few percent of a third of a
/// core.
const CHANGES_RATE: u64 = 200;

/// Longest interval between datagrams to an entry of the zone, which places
/// requests by them.
const NEAR_INTERVAL: Millis = Millis(250);

/// Longest interval between datagrams from an agent to the entries of other zones that
/// place requests at its runner: traffic between zones is expensive, and few requests
/// cross them.
const REMOTE_INTERVAL: Millis = Millis(500);

/// Longest interval between datagrams to processes of the zone that only need to know
/// that this one runs.
pub const ZONE_INTERVAL: Millis = Millis(900);

/// Most datagrams a second to such processes of other zones together. A process gets
/// as many from them, so news that all have reaches it at once even when each tells it
/// seldom.
const FAR_RATE: u64 = 40;

/// Longest interval between datagrams to a process of another zone.
const MAX_FAR_INTERVAL: Millis = Millis(10_000);

/// Time for which arrived datagrams wait to be read in a large fleet. The figures in them
/// are several times as old when they arrive.
const RECEIVE_PAUSE: Millis = Millis(20);

/// Known processes from which on datagrams wait: with fewer, seldom two would be read
/// together.
const PAUSE_PEERS: usize = 100;

/// Interval at which an agent chooses the entries that get the state of its runner.
const CHOICE_INTERVAL: Millis = Millis(1_000);

/// What has changed since earlier datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Changes {
    /// Loads, pace or number of calls: for the entries of the zone.
    pub figures: bool,
    /// The revision at a process that reads the store: for all processes of the
    /// zone, as other zones have readers of their own.
    pub revision: bool,
    /// What a runner holds, whether it loads, or the counts of suspects: for all
    /// processes, at once.
    pub urgent: bool,
}

/// Which datagram a receiver gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The whole state: an entry of the zone.
    Near,
    /// All but loads and refusals: an agent of the zone.
    Zone,
    /// The same: an agent of another zone, or an entry that places requests at this
    /// agent's runner.
    Far,
    /// All but the state of the runner too: other entries of other zones.
    Brief,
    /// One that asks for a reply: a seed from which nothing has been heard.
    Unknown,
}

/// A process that a datagram is due to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Address of its VM.
    pub ip: IpAddr,
    /// Which datagram it gets.
    pub kind: Kind,
}

/// The process that sends.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// Name of its VM.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Address of its VM.
    pub ip: IpAddr,
    /// Kind of process.
    pub role: Role,
}

/// Times of the last datagrams of one process, and who gets its runner's state.
#[derive(Debug, Default)]
pub struct Schedule {
    /// When each process was last sent a datagram.
    sent: IndexMap<IpAddr, Millis>,
    /// Entries of other zones that get the state of this agent's runner.
    readers: IndexSet<IpAddr>,
    /// When these were chosen.
    readers_at: Millis,
    /// When the seeds were last compared with the known processes.
    seeds_at: Millis,
}

impl Schedule {
    /// Returns the processes that a datagram is due to now, and records that it was
    /// sent. Seeds that are not known yet are asked for a reply.
    pub fn due(
        &mut self,
        now: Millis,
        own: &Sender<'_>,
        peers: &Peers,
        seeds: &[IpAddr],
        changes: Changes,
    ) -> Vec<Target> {
        if now.since(self.readers_at) >= CHOICE_INTERVAL {
            self.readers_at = now;
            if own.role == Role::Agent {
                self.readers = peers.remote_readers(own.name, own.zone);
            }
            let known = |ip: &IpAddr| peers.iter().any(|p| p.ip == *ip) || seeds.contains(ip);
            if self.sent.len() > peers.len() + seeds.len() {
                self.sent.retain(|ip, _| known(ip));
            }
        }
        let changes_interval = Millis(1_000 * peers.entries_in(own.zone) as u64 / CHANGES_RATE);
        let far_interval = far_interval(peers, own.zone);
        let mut targets = Vec::new();
        for peer in peers.iter() {
            let in_zone = peer.zone == own.zone;
            let (kind, interval) = match (in_zone, peer.role) {
                (true, Role::Entry) if changes.figures => (Kind::Near, changes_interval),
                (true, Role::Entry) => (Kind::Near, NEAR_INTERVAL),
                (true, Role::Agent) => (Kind::Zone, ZONE_INTERVAL),
                (false, Role::Agent) => (Kind::Far, far_interval),
                (false, Role::Entry) if self.readers.contains(&peer.ip) => {
                    (Kind::Far, REMOTE_INTERVAL)
                }
                (false, Role::Entry) if changes.urgent => (Kind::Far, far_interval),
                (false, Role::Entry) => (Kind::Brief, far_interval),
            };
            let at_once = changes.urgent || changes.revision && in_zone;
            if at_once || self.is_due(now, peer.ip, interval) {
                targets.push(Target { ip: peer.ip, kind });
            }
        }
        if now.since(self.seeds_at) >= NEAR_INTERVAL {
            self.seeds_at = now;
            let known: IndexSet<IpAddr> = peers.iter().map(|peer| peer.ip).collect();
            let is_unknown = |ip: &&IpAddr| **ip != own.ip && !known.contains(*ip);
            let unknown = seeds.iter().filter(is_unknown);
            targets.extend(unknown.map(|ip| Target {
                ip: *ip,
                kind: Kind::Unknown,
            }));
        }
        for target in &targets {
            self.sent.insert(target.ip, now);
        }
        targets
    }

    /// Makes a datagram to this address due at once: the process there has started
    /// again and knows nothing.
    pub fn forget(&mut self, ip: IpAddr) {
        self.sent.swap_remove(&ip);
    }

    /// Returns true when no datagram was sent to this address for an interval.
    fn is_due(&self, now: Millis, ip: IpAddr, interval: Millis) -> bool {
        let sent = self.sent.get(&ip);
        sent.is_none_or(|at| now.since(*at) >= interval)
    }
}

/// Returns the longest interval between datagrams to a process outside `zone`.
pub fn far_interval(peers: &Peers, zone: &str) -> Millis {
    let interval = Millis(1_000 * peers.outside(zone) as u64 / FAR_RATE);
    interval.clamp(ZONE_INTERVAL, MAX_FAR_INTERVAL)
}

/// Returns the time for which arrived datagrams wait to be read, so that many are read
/// together when there are many processes; none when there are few.
pub fn receive_pause(peers: usize) -> Option<Millis> {
    (peers >= PAUSE_PEERS).then_some(RECEIVE_PAUSE)
}
