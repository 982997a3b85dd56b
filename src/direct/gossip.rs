//! Datagrams between entries and agents: which processes there are, and the
//! state of each.
//!
//! Entries of the zone get everything, as soon as it changes: they place requests
//! by it. A few entries of each other zone get the state of a runner. All others get
//! a short datagram less often, so that what a process sends is bounded however many
//! there are. What is urgent goes to all at once.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::time::Duration;

use prost::Message;
use smol::Async;
use smol::Task;
use smol::channel;

use crate::direct::node::Node;
use crate::direct::replication;
use crate::direct::wire::Datagram;
use crate::direct::wire::DeltaDoc;
use crate::direct::wire::LoadDoc;
use crate::direct::wire::NamedDoc;
use crate::direct::wire::PeerDoc;
use crate::member::peers::Peer;
use crate::member::peers::Role;
use crate::member::schedule;
use crate::member::schedule::Changes;
use crate::member::schedule::Kind;
use crate::member::schedule::Schedule;
use crate::member::schedule::Sender;
use crate::member::schedule::Target;
use crate::member::schedule::ZONE_INTERVAL;
use crate::metric::Metric;
use crate::net::rt;
use crate::prelude::*;
use crate::table::replica::Position;
use crate::util::lock;

/// Interval at which the own state is checked for changes to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between datagrams that list other known processes.
const LIST_INTERVAL: Millis = Millis(1_000);

/// Most processes listed in one datagram.
const MAX_LISTED: usize = 6;

/// Most processes listed in the reply to a process that asks for one.
const MAX_LISTED_IN_REPLY: usize = 64;

/// Most bytes of changes in a datagram, so that it fits in one packet. Larger changes are
/// fetched.
const MAX_CHANGES: usize = 1_000;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 60 << 10;

/// Adds the daemon's own state to a datagram; all of it when the flag is set, for
/// entries of the zone.
type AddState = Box<dyn Fn(Millis, &mut Datagram, bool) + Send + Sync>;

/// Applies a datagram of another process.
type Receive = Box<dyn Fn(Millis, &Datagram) + Send + Sync>;

/// Functions by which a daemon adds to its datagrams and reads those of others.
pub struct Hooks {
    /// Adds the loads, status and suspects of this process to a datagram.
    pub add: AddState,
    /// Applies a datagram of another process.
    pub receive: Receive,
}

/// Sends and receives the datagrams of one process.
pub struct Gossip {
    node: Node,
    socket: Async<UdpSocket>,
    hooks: Hooks,
    /// Gets a message when a peer's replica is newer than the own.
    behind: channel::Sender<()>,
    schedule: Mutex<Schedule>,
}

impl Gossip {
    fn bind(node: Node, hooks: Hooks, behind: channel::Sender<()>) -> Result<Gossip> {
        let addr = node.internal_addr(node.settings().ip);
        let socket = Async::<UdpSocket>::bind(addr)
            .map_err(|e| Error::new(Code::ListenFailed, format!("{addr}: {e}")))?;
        Ok(Gossip {
            node,
            socket,
            hooks,
            behind,
            schedule: Mutex::default(),
        })
    }

    /// Binds the internal port and starts the tasks that send and receive. A
    /// message goes to `behind` when a peer's replica is newer than the own.
    pub fn start(node: Node, hooks: Hooks, behind: channel::Sender<()>) -> Result<Vec<Task<()>>> {
        let gossip = Arc::new(Gossip::bind(node, hooks, behind)?);
        let (sender, receiver) = (gossip.clone(), gossip);
        Ok(vec![
            rt::spawn(async move { sender.send().await }),
            rt::spawn(async move { receiver.receive().await }),
        ])
    }

    /// Receives until the task is dropped.
    ///
    /// All datagrams that have arrived are read at once, and those of the next few
    /// milliseconds are left to arrive together: waking up costs more than a datagram.
    async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let mut received = self.socket.recv_from(&mut buffer).await;
            if received.is_err() {
                // An ICMP error from a peer whose port is closed; the socket still works.
                smol::Timer::after(Duration::from_millis(5)).await;
            }
            while let Ok((length, from)) = received {
                if let Ok(datagram) = Datagram::decode(&buffer[..length]) {
                    self.receive_one(from.ip(), &datagram).await;
                }
                // The socket does not block; an error is an empty socket as a rule.
                received = self.socket.get_ref().recv_from(&mut buffer);
            }
            let pause = schedule::receive_pause(self.node.peers().len());
            if let Some(pause) = pause {
                smol::Timer::after(pause.duration()).await;
            }
        }
    }

    /// Applies one datagram, and replies when it asks for one.
    async fn receive_one(&self, from: IpAddr, datagram: &Datagram) {
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
            position: datagram.position(),
            is_reader: datagram.reads,
            last_heard: now,
            interval: Millis(u64::from(datagram.interval)),
        };
        {
            let mut peers = self.node.peers();
            let is_new_start = peers.started(&peer.name) != Some(peer.started);
            if !peers.update(peer) {
                return;
            }
            if is_new_start {
                lock(&self.schedule).forget(from);
            }
            let interval = if datagram.peers.is_empty() {
                Millis(0)
            } else {
                let interval = schedule::far_interval(&peers, &own.zone);
                interval.max(Millis(u64::from(datagram.interval)))
            };
            for listed in &datagram.peers {
                let Ok(ip) = listed.ip.parse() else {
                    continue;
                };
                if listed.name != own.name {
                    peers.add_named(Peer {
                        name: listed.name.clone(),
                        role: role(listed.entry),
                        ip,
                        zone: listed.zone.clone(),
                        started: 0,
                        position: Position::default(),
                        is_reader: false,
                        last_heard: now,
                        interval,
                    });
                }
            }
        }
        self.apply_changes(now, datagram);
        self.compare_revision(now, datagram);
        if !datagram.named.is_empty() {
            let named = datagram.named.iter().map(|doc| doc.to_named(now));
            self.node.merge_versions(&named.collect::<Vec<_>>());
        }
        (self.hooks.receive)(now, datagram);
        if datagram.hello {
            let bytes = self
                .datagram(now, MAX_LISTED_IN_REPLY, false, true)
                .encode_to_vec();
            let _ = self
                .socket
                .send_to(&bytes, SocketAddr::new(from, own.ports.0))
                .await;
        }
    }

    /// Applies the changes in a datagram if only these are missing here. A process that
    /// reads the store itself gets them from there.
    fn apply_changes(&self, now: Millis, datagram: &Datagram) {
        let Some(changes) = datagram.changes.as_ref().or(datagram.packed.as_ref()) else {
            return;
        };
        let own = self.node.cluster().replica.position();
        if !datagram.reads || changes.era != own.era || replication::is_reader(&self.node) {
            return;
        }
        if let Some(mut doc) = changes.clone().completes(datagram.since, own.revision) {
            if doc.unpack(&self.node.cluster().replica).is_err() {
                // The changes are fetched, as the datagram tells a newer revision.
                return;
            }
            self.node.metrics().count(Metric::PeerPushed, 1);
            self.node.cluster().watch.on_peer_news(now);
            let grace = doc.grace_left(Millis(0));
            self.node.apply(doc.into_delta(), grace, &datagram.name);
        }
    }

    /// Returns the changes of the own replica after `since`, if they fit in a datagram.
    fn changes_after(&self, now: Millis, since: Position) -> Option<DeltaDoc> {
        let doc = self.node.changes_after(now, since, true);
        (!doc.whole && doc.encoded_len() <= MAX_CHANGES).then_some(doc)
    }

    /// Records from a peer's revision whether the own replica lacks changes, and
    /// for how long the store has answered that peer.
    fn compare_revision(&self, now: Millis, datagram: &Datagram) {
        let mut cluster = self.node.cluster();
        let (own, position) = (cluster.replica.position(), datagram.position());
        if position.era == own.era {
            cluster.peer_store_uptime(now, Millis(datagram.served_for));
        }
        if position > own {
            cluster.watch.on_behind(now);
            // One pending message is enough: the receiver checks all peers.
            let _ = self.behind.try_send(());
        } else if datagram.reads && position == own {
            cluster.watch.on_complete(now);
        }
    }

    /// Sends until the task is dropped.
    async fn send(&self) {
        let mut last = Datagram::default();
        let mut last_near = Datagram::default();
        let mut listed_at = Millis(0);
        loop {
            smol::Timer::after(CHECK_INTERVAL).await;
            let now = self.node.now();
            let list_due = now.since(listed_at) >= LIST_INTERVAL;
            if list_due {
                listed_at = now;
            }
            let count = if list_due { MAX_LISTED } else { 0 };
            let current = self.datagram(now, count, false, true);
            let changes = Changes {
                figures: has_new_figures(&last_near, &current),
                revision: last.position() != current.position() && current.reads,
                urgent: has_urgent_change(&last, &current),
            };
            let targets = self.targets(now, changes);
            let pushed = if changes.revision && last.revision > 0 {
                self.changes_after(now, last.position())
            } else {
                None
            };
            let mut near = Vec::new();
            if targets.iter().any(|t| t.kind == Kind::Near) {
                let mut datagram = current.clone();
                datagram.set_changes(pushed.clone(), last.revision);
                near = datagram.encode_to_vec();
            }
            let (mut zone, mut far, mut brief) = (Vec::new(), Vec::new(), Vec::new());
            if targets.iter().any(|t| t.kind != Kind::Near) {
                let mut datagram = self.datagram(now, count, false, false);
                datagram.set_changes(pushed, last.revision);
                datagram.interval = ZONE_INTERVAL.0 as u32;
                zone = datagram.encode_to_vec();
                datagram.set_changes(None, 0);
                let zone_name = &self.node.settings().zone;
                let far_interval = schedule::far_interval(&self.node.peers(), zone_name);
                datagram.interval = far_interval.0 as u32;
                far = datagram.encode_to_vec();
                datagram.status = None;
                brief = datagram.encode_to_vec();
            }
            let has_near = targets.iter().any(|t| t.kind == Kind::Near);
            for target in targets {
                let addr = SocketAddr::new(target.ip, self.node.settings().ports.0);
                let sent = match target.kind {
                    Kind::Near => self.socket.send_to(&near, addr).await,
                    Kind::Zone => self.socket.send_to(&zone, addr).await,
                    Kind::Far => self.socket.send_to(&far, addr).await,
                    Kind::Brief => self.socket.send_to(&brief, addr).await,
                    Kind::Unknown => {
                        let hello = self.datagram(now, MAX_LISTED, true, false);
                        self.socket.send_to(&hello.encode_to_vec(), addr).await
                    }
                };
                // Datagrams may get lost anyway, so a failed send needs no handling.
                let _ = sent;
            }
            if has_near {
                last_near = current.clone();
            }
            last = current;
        }
    }

    /// Returns the processes that a datagram is due to now. Seeds that are not known yet
    /// are asked for a reply.
    fn targets(&self, now: Millis, changes: Changes) -> Vec<Target> {
        let own = self.node.settings();
        let sender = Sender {
            name: &own.name,
            zone: &own.zone,
            ip: own.ip,
            role: self.node.role(),
        };
        let seeds: Vec<IpAddr> = own.seeds.iter().map(|seed| seed.ip()).collect();
        let peers = self.node.peers();
        lock(&self.schedule).due(now, &sender, &peers, &seeds, changes)
    }

    /// Builds a datagram. It lists up to `listed` known processes, starting at a random
    /// one; `hello` asks for a reply, and `near` adds what only entries of the zone
    /// need.
    fn datagram(&self, now: Millis, listed: usize, hello: bool, near: bool) -> Datagram {
        let own = self.node.settings();
        let (position, versions, served_for) = {
            let cluster = self.node.cluster();
            // Sent until the bound has passed: a process that heard of a version
            // late, or was suspended, learns when it was named.
            let versions = cluster.versions.named_since(now.since(own.rollout_bound));
            let versions = versions.map(|n| NamedDoc::new(now, &n)).collect();
            (
                cluster.replica.position(),
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
            born: self.node.started(),
            era: position.era,
            revision: position.revision,
            reads,
            served_for,
            hello,
            named: versions,
            ..Datagram::default()
        };
        let peers = self.node.peers();
        let count = peers.len();
        let start = if count > listed {
            fastrand::usize(0..count)
        } else {
            0
        };
        let chosen = peers
            .iter()
            .skip(start)
            .chain(peers.iter())
            .take(listed.min(count));
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

/// Returns true when the loads, pace or calls have changed enough to be sent to
/// the entries of the zone.
fn has_new_figures(last: &Datagram, current: &Datagram) -> bool {
    let figures = |d: &Datagram| d.status.as_ref().map(|s| (s.pace / 25, s.calls / 4));
    let loads = |d: &Datagram| d.loads.iter().map(LoadDoc::key).collect::<Vec<_>>();
    loads(last) != loads(current) || figures(last) != figures(current)
}

/// Returns true when a change is to be sent to all receivers at once.
fn has_urgent_change(last: &Datagram, current: &Datagram) -> bool {
    let key = |d: &Datagram| {
        d.status
            .as_ref()
            .map(|s| (s.busy, s.holdings.clone(), s.complete))
    };
    // Ages grow all the time, so crashes are counted: those by which a signature gets near
    // its block, and answers that end one.
    let count = |d: &Datagram| {
        let suspects = d.suspects.iter();
        let seen = suspects.map(|s| {
            let ends = s.answered.is_some() && s.crashes.len() + s.heard.len() > 1;
            s.crashes.iter().filter(|c| c.is_begun()).count() + usize::from(ends)
        });
        seen.sum::<usize>() + usize::from(d.ended.is_some())
    };
    let limited = |d: &Datagram| {
        let limits = d.limits.iter();
        limits
            .map(|l| (l.upstream, l.rate.is_some()))
            .collect::<Vec<_>>()
    };
    count(last) != count(current) || limited(last) != limited(current) || key(last) != key(current)
}
