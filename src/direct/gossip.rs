//! Datagrams between own processes: who is there, what each holds and does.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::time::Duration;

use prost::Message;
use smol::Async;
use smol::Task;
use smol::channel::Sender;

use crate::direct::node::Node;
use crate::direct::replication;
use crate::direct::wire::Datagram;
use crate::direct::wire::NamedDoc;
use crate::direct::wire::PeerDoc;
use crate::member::peers::Peer;
use crate::member::peers::Role;
use crate::net::rt;
use crate::prelude::*;
use crate::util::lock;

/// Interval at which the state is looked at for news.
const TICK: Duration = Duration::from_millis(20);

/// Datagrams a second at most with news to the entries of the zone: what a
/// third of a core sends and receives for a few hooks in a hundred of its time.
const NEWS_RATE: u64 = 200;

/// Longest interval to entries of the zone, which place requests by what is told.
const NEAR_INTERVAL: Millis = Millis(250);

/// Longest interval from agents to entries of other zones: bytes between zones
/// are dear, and few requests go there.
const REMOTE_INTERVAL: Millis = Millis(500);

/// Interval at which datagrams name other processes.
const NAMING_INTERVAL: Millis = Millis(1_000);

/// Longest interval to processes that only need to know that this one lives;
/// they forget it after three seconds.
const FAR_INTERVAL: Millis = Millis(900);

/// Known processes named in one datagram.
const MAX_NAMED: usize = 6;

/// Known processes named in the answer to one that is new.
const MAX_NAMED_NEW: usize = 64;

/// Largest datagram read.
const MAX_DATAGRAM: usize = 60 << 10;

/// Adds a daemon's part to a datagram; more of it to entries of the zone.
type AddState = Box<dyn Fn(Millis, &mut Datagram, bool) + Send + Sync>;

/// Takes a datagram of another process.
type Receive = Box<dyn Fn(Millis, &Datagram) + Send + Sync>;

/// What a daemon adds to its datagrams and takes from those of others.
pub struct Hooks {
    /// Adds the sender's loads, status and suspects.
    pub add: AddState,
    /// Takes a datagram of another process.
    pub receive: Receive,
}

#[derive(Default)]
struct Sent {
    /// When each process was last told something.
    at: IndexMap<IpAddr, Millis>,
}

/// Sends and receives datagrams.
pub struct Gossip {
    node: Node,
    socket: Async<UdpSocket>,
    hooks: Hooks,
    behind: Sender<()>,
    sent: Mutex<Sent>,
}

impl Gossip {
    fn bind(node: Node, hooks: Hooks, behind: Sender<()>) -> Result<Gossip> {
        let addr = node.internal_addr(node.settings().ip);
        let socket = Async::<UdpSocket>::bind(addr)
            .map_err(|e| Error::new(Code::ListenFailed, format!("{addr}: {e}")))?;
        Ok(Gossip {
            node,
            socket,
            hooks,
            behind,
            sent: Mutex::default(),
        })
    }

    /// Binds the internal port and starts both directions; `behind` is told when
    /// a peer's replica is ahead.
    pub fn start(node: Node, hooks: Hooks, behind: Sender<()>) -> Result<Vec<Task<()>>> {
        let gossip = Arc::new(Gossip::bind(node, hooks, behind)?);
        let (sender, receiver) = (gossip.clone(), gossip);
        Ok(vec![
            rt::spawn(async move { sender.send().await }),
            rt::spawn(async move { receiver.receive().await }),
        ])
    }

    /// Receives until the task is dropped.
    async fn receive(&self) {
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
            started: datagram.born,
            revision: datagram.revision,
            is_reader: datagram.reads,
            last_heard: now,
        };
        {
            let mut peers = self.node.peers();
            if !peers.update(peer) {
                return;
            }
            for named in &datagram.peers {
                let Ok(ip) = named.ip.parse() else {
                    continue;
                };
                if named.name != own.name {
                    peers.add_named(Peer {
                        name: named.name.clone(),
                        role: role(named.entry),
                        ip,
                        zone: named.zone.clone(),
                        started: 0,
                        revision: 0,
                        is_reader: false,
                        last_heard: now,
                    });
                }
            }
        }
        self.compare(now, datagram);
        if !datagram.named.is_empty() {
            let named = datagram.named.iter().map(|doc| doc.to_named(now));
            self.node.merge_versions(&named.collect::<Vec<_>>());
        }
        (self.hooks.receive)(now, datagram);
        if datagram.hello {
            let bytes = self
                .datagram(now, MAX_NAMED_NEW, false, true)
                .encode_to_vec();
            let _ = self
                .socket
                .send_to(&bytes, SocketAddr::new(from, own.ports.0))
                .await;
        }
    }

    /// Notes from a peer's revision whether the own replica is complete.
    fn compare(&self, now: Millis, datagram: &Datagram) {
        let mut cluster = self.node.cluster();
        cluster.peer_store_uptime(now, Millis(datagram.served_for));
        if datagram.revision > cluster.replica.revision() {
            cluster.watch.on_behind(now);
            // One token is enough: the receiver looks at all peers.
            let _ = self.behind.try_send(());
        } else if datagram.reads && datagram.revision == cluster.replica.revision() {
            cluster.watch.on_complete(now);
        }
    }

    /// Sends until the task is dropped.
    async fn send(&self) {
        let mut last = Datagram::default();
        let mut told = Datagram::default();
        let mut named = Millis(0);
        loop {
            smol::Timer::after(TICK).await;
            let now = self.node.now();
            let names = now.since(named) >= NAMING_INTERVAL;
            if names {
                named = now;
            }
            let count = if names { MAX_NAMED } else { 0 };
            let current = self.datagram(now, count, false, true);
            let state = News {
                figures: figures(&told, &current),
                moved: last.revision != current.revision && current.reads,
                changed: changed(&last, &current),
            };
            let targets = self.targets(now, state);
            let near = current.encode_to_vec();
            let far = if targets.iter().any(|t| t.reach == Reach::Far) {
                self.datagram(now, count, false, false).encode_to_vec()
            } else {
                Vec::new()
            };
            let is_told = targets.iter().any(|t| t.reach == Reach::Near);
            for target in targets {
                let addr = SocketAddr::new(target.ip, self.node.settings().ports.0);
                let sent = match target.reach {
                    Reach::Near => self.socket.send_to(&near, addr).await,
                    Reach::Far => self.socket.send_to(&far, addr).await,
                    Reach::Unknown => {
                        let hello = self.datagram(now, MAX_NAMED, true, false);
                        self.socket.send_to(&hello.encode_to_vec(), addr).await
                    }
                };
                // A datagram that cannot be sent counts as lost on the way.
                let _ = sent;
            }
            if is_told {
                told = current.clone();
            }
            last = current;
        }
    }

    /// Who gets a datagram now.
    fn targets(&self, now: Millis, news: News) -> Vec<Receiver> {
        let own = self.node.settings();
        let is_entry = self.node.role() == Role::Entry;
        let peers = self.node.peers();
        let mut sent = lock(&self.sent);
        let news_interval = Millis(1_000 * peers.entries_in(&own.zone) as u64 / NEWS_RATE);
        let mut targets = Vec::new();
        let mut known: Vec<IpAddr> = vec![own.ip];
        for peer in peers.iter() {
            known.push(peer.ip);
            let in_zone = peer.zone == own.zone;
            let near = in_zone && peer.role == Role::Entry;
            let interval = match (near, is_entry, peer.role) {
                (true, _, _) if news.figures => news_interval,
                (true, _, _) => NEAR_INTERVAL,
                (false, false, Role::Entry) => REMOTE_INTERVAL,
                _ => FAR_INTERVAL,
            };
            let at_once = news.changed || news.moved && in_zone;
            let age = sent.at.get(&peer.ip).map(|at| now.since(*at));
            if at_once || age.is_none_or(|age| age >= interval) {
                let reach = if near { Reach::Near } else { Reach::Far };
                targets.push(Receiver { ip: peer.ip, reach });
            }
        }
        for seed in &own.seeds {
            let age = sent.at.get(&seed.ip()).map(|at| now.since(*at));
            if !known.contains(&seed.ip()) && age.is_none_or(|age| age >= NEAR_INTERVAL) {
                targets.push(Receiver {
                    ip: seed.ip(),
                    reach: Reach::Unknown,
                });
            }
        }
        for target in &targets {
            sent.at.insert(target.ip, now);
        }
        targets
    }

    fn datagram(&self, now: Millis, named: usize, hello: bool, near: bool) -> Datagram {
        let own = self.node.settings();
        let (revision, versions, served_for) = {
            let cluster = self.node.cluster();
            // Until the bound passes: a process that heard late, or stood still,
            // is told when the version was named.
            let versions = cluster.versions.named_since(now.since(own.rollout));
            let versions = versions.map(|n| NamedDoc::new(now, &n)).collect();
            (
                cluster.replica.revision(),
                versions,
                cluster.store_uptime(now).0,
            )
        };
        let reads = self.node.role() == Role::Entry && replication::is_reader(&self.node);
        let mut datagram = Datagram {
            name: own.name.clone(),
            entry: self.node.role() == Role::Entry,
            zone: own.zone.clone(),
            ip: own.ip.to_string(),
            born: self.node.born(),
            revision,
            reads,
            served_for,
            hello,
            named: versions,
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
        (self.hooks.add)(now, &mut datagram, near);
        datagram
    }
}

fn role(entry: bool) -> Role {
    if entry { Role::Entry } else { Role::Agent }
}

/// What is new in a datagram.
#[derive(Clone, Copy, Debug)]
struct News {
    /// Loads or figures, for the entries of the zone.
    figures: bool,
    /// The store's revision, for all of the zone: other zones have readers too.
    moved: bool,
    /// What everyone should hear at once.
    changed: bool,
}

/// What a receiver needs to hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// Everything.
    Near,
    /// That the sender lives, and what a runner holds.
    Far,
    /// An answer is asked for; it has not been heard of.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Receiver {
    ip: IpAddr,
    reach: Reach,
}

/// True when entries of the zone should hear of the change soon.
fn figures(last: &Datagram, current: &Datagram) -> bool {
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
