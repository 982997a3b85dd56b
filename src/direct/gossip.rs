//! Datagrams between own processes: who is there, what each holds and does.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::time::Duration;

use prost::Message;
use smol::Async;
use smol::channel::Sender;

use crate::direct::node::Node;
use crate::direct::wire::Datagram;
use crate::direct::wire::PeerDoc;
use crate::member::peers::Peer;
use crate::member::peers::Role;
use crate::prelude::*;

/// Shortest interval between two datagrams to one process.
const TICK: Duration = Duration::from_millis(20);

/// Longest interval to entries, which place requests by what is told.
///
/// News goes at once within the zone; to other zones, where bytes are dear and
/// few requests go, it waits for this interval.
const NEAR_INTERVAL: Millis = Millis(250);

/// Interval at which datagrams name other processes.
const NAMING_INTERVAL: Millis = Millis(1_000);

/// Longest interval to processes that only need to know that this one lives.
const FAR_INTERVAL: Millis = Millis(500);

/// Known processes named in one datagram.
const MAX_NAMED: usize = 6;

/// Known processes named in the answer to one that is new.
const MAX_NAMED_NEW: usize = 64;

/// Largest datagram read.
const MAX_DATAGRAM: usize = 60 << 10;

/// Adds a daemon's part to a datagram.
type Fill = Box<dyn Fn(Millis, &mut Datagram) + Send + Sync>;

/// Takes a datagram of another process.
type Take = Box<dyn Fn(Millis, &Datagram) + Send + Sync>;

/// What a daemon adds to its datagrams and takes from those of others.
pub struct Parts {
    /// Adds the sender's loads, status and suspects.
    pub fill: Fill,
    /// Takes a datagram of another process.
    pub take: Take,
}

#[derive(Default)]
struct Sent {
    /// When each process was last told something.
    at: IndexMap<IpAddr, Millis>,
    seq: u64,
}

/// Sends and receives datagrams.
pub struct Gossip {
    node: Node,
    socket: Async<UdpSocket>,
    parts: Parts,
    behind: Sender<()>,
    sent: Mutex<Sent>,
}

impl Gossip {
    /// Binds the internal port; `behind` is told when a peer's replica is ahead.
    pub fn bind(node: Node, parts: Parts, behind: Sender<()>) -> Result<Gossip> {
        let addr = node.internal(node.settings().ip);
        let socket = Async::<UdpSocket>::bind(addr)
            .map_err(|e| Error::new(Code::ListenFailed, format!("{addr}: {e}")))?;
        Ok(Gossip {
            node,
            socket,
            parts,
            behind,
            sent: Mutex::default(),
        })
    }

    /// Receives until the task is dropped.
    pub async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // An error that a peer's closed port reports; the socket is still good.
                smol::Timer::after(Duration::from_millis(5)).await;
                continue;
            };
            let Ok(datagram) = Datagram::decode(&buffer[..length]) else {
                continue;
            };
            self.take(from.ip(), &datagram).await;
        }
    }

    async fn take(&self, from: IpAddr, datagram: &Datagram) {
        let now = self.node.now();
        let own = self.node.settings();
        if datagram.name == own.name {
            return;
        }
        let peer = Peer {
            name: datagram.name.clone(),
            role: role(datagram.entry),
            ip: from,
            zone: datagram.zone.clone(),
            born: datagram.born,
            revision: datagram.revision,
            seen: now,
        };
        {
            let mut peers = self.node.peers();
            if !peers.heard(peer) {
                return;
            }
            for named in &datagram.peers {
                let Ok(ip) = named.ip.parse() else {
                    continue;
                };
                if named.name != own.name {
                    peers.told(Peer {
                        name: named.name.clone(),
                        role: role(named.entry),
                        ip,
                        zone: named.zone.clone(),
                        born: 0,
                        revision: 0,
                        seen: now,
                    });
                }
            }
        }
        if datagram.revision > self.node.world().replica.at() {
            // One token is enough: the receiver looks at all peers.
            let _ = self.behind.try_send(());
        }
        (self.parts.take)(now, datagram);
        if datagram.hello {
            let bytes = self.datagram(now, MAX_NAMED_NEW, false).encode_to_vec();
            let _ = self
                .socket
                .send_to(&bytes, SocketAddr::new(from, own.ports.0))
                .await;
        }
    }

    /// Sends until the task is dropped.
    pub async fn send(&self) {
        let mut last = Datagram::default();
        let mut named = Millis(0);
        loop {
            smol::Timer::after(TICK).await;
            let now = self.node.now();
            let names = now.since(named) >= NAMING_INTERVAL;
            if names {
                named = now;
            }
            let current = self.datagram(now, if names { MAX_NAMED } else { 0 }, false);
            let is_news = news(&last, &current);
            let moved = last.revision != current.revision || changed(&last, &current);
            let bytes = current.encode_to_vec();
            for (ip, role) in self.targets(now, is_news, moved) {
                let addr = SocketAddr::new(ip, self.node.settings().ports.0);
                let sent = if role.is_some() {
                    self.socket.send_to(&bytes, addr).await
                } else {
                    let hello = self.datagram(now, MAX_NAMED, true).encode_to_vec();
                    self.socket.send_to(&hello, addr).await
                };
                // A datagram that cannot be sent counts as lost on the way.
                let _ = sent;
            }
            last = current;
        }
    }

    /// Who gets a datagram now; seeds that were not heard of have no role.
    fn targets(&self, now: Millis, is_news: bool, moved: bool) -> Vec<(IpAddr, Option<Role>)> {
        let own = self.node.settings();
        let peers = self.node.peers();
        let mut sent = self.sent.lock().unwrap_or_else(|e| e.into_inner());
        let mut targets = Vec::new();
        let mut known: Vec<IpAddr> = vec![own.ip];
        for peer in peers.iter() {
            known.push(peer.ip);
            let uses = peer.role == Role::Entry;
            let (interval, at_once) = if uses {
                (NEAR_INTERVAL, moved || is_news && peer.zone == own.zone)
            } else {
                (FAR_INTERVAL, moved)
            };
            let age = sent.at.get(&peer.ip).map(|at| now.since(*at));
            if at_once || age.is_none_or(|age| age >= interval) {
                targets.push((peer.ip, Some(peer.role)));
            }
        }
        for seed in &own.seeds {
            let age = sent.at.get(&seed.ip()).map(|at| now.since(*at));
            if !known.contains(&seed.ip()) && age.is_none_or(|age| age >= NEAR_INTERVAL) {
                targets.push((seed.ip(), None));
            }
        }
        for (ip, _) in &targets {
            sent.at.insert(*ip, now);
        }
        targets
    }

    fn datagram(&self, now: Millis, named: usize, hello: bool) -> Datagram {
        let own = self.node.settings();
        let seq = {
            let mut sent = self.sent.lock().unwrap_or_else(|e| e.into_inner());
            sent.seq += 1;
            sent.seq
        };
        let mut datagram = Datagram {
            name: own.name.clone(),
            entry: self.node.role() == Role::Entry,
            zone: own.zone.clone(),
            ip: own.ip.to_string(),
            born: self.node.born(),
            seq,
            revision: self.node.world().replica.at(),
            hello,
            ..Datagram::default()
        };
        let peers = self.node.peers();
        let count = peers.len();
        let start = if count > named {
            fastrand::usize(0..count)
        } else {
            0
        };
        let chosen = peers
            .iter()
            .skip(start)
            .chain(peers.iter())
            .take(named.min(count));
        datagram.peers = chosen
            .map(|peer| PeerDoc {
                name: peer.name.clone(),
                entry: peer.role == Role::Entry,
                zone: peer.zone.clone(),
                ip: peer.ip.to_string(),
            })
            .collect();
        drop(peers);
        (self.parts.fill)(now, &mut datagram);
        datagram
    }
}

fn role(entry: bool) -> Role {
    if entry { Role::Entry } else { Role::Agent }
}

/// True when receivers of the zone should hear of the change at once.
fn news(last: &Datagram, current: &Datagram) -> bool {
    let figures = |d: &Datagram| d.status.as_ref().map(|s| (s.pace / 25, s.calls / 4));
    last.loads != current.loads || figures(last) != figures(current)
}

/// True when all receivers should hear of the change at once.
fn changed(last: &Datagram, current: &Datagram) -> bool {
    let key = |d: &Datagram| {
        d.status
            .as_ref()
            .map(|s| (s.busy, s.holdings.clone(), s.complete))
    };
    let count = |d: &Datagram| d.suspects.iter().map(|s| s.crashes + s.clears).sum::<u32>();
    count(last) != count(current) || key(last) != key(current)
}
