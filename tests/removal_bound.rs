//! Removals reach every process soon, whatever fails besides the store; entries
//! that lapsed with the store are kept.

use bytes::Bytes;
use chervilquay::direct::cluster::ClusterView;
use chervilquay::direct::wire::DeltaDoc;
use chervilquay::member::peers::Peer;
use chervilquay::member::peers::Peers;
use chervilquay::member::peers::Role;
use chervilquay::member::store_watch;
use chervilquay::member::store_watch::Call;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::table::replica::Replica;
use chervilquay::time::Millis;
use std::net::IpAddr;

/// Step of the virtual clock.
const STEP: u64 = 20;

/// Length of a run.
const LENGTH: u64 = 20_000;

/// Runs; more are tried by hand.
const SEEDS: u64 = 200;

const ENTRIES: usize = 9;
const ZONES: usize = 3;
const RUNNERS: usize = 8;

/// Interval at which runners write to the store.
const BEAT: u64 = 1_200;

/// Time without disruption after which bounds hold.
const CONTACT: u64 = 3_000;

/// Time after the acknowledgement by which a removal is known everywhere; the
/// shortest drain time of a deployment is 2 s.
const BOUND: u64 = 1_500;

/// Time after the store's return until which an entry that lapsed may be kept:
/// two seconds after a call is answered, of which the longest takes 1,500 ms and
/// the pause before it 400 ms.
const KEPT: u64 = 3_900;

/// Time for a small answer between processes.
const ROUND_TRIP: u64 = 6;

const PEER_TIMEOUT: u64 = 600;

/// One disruption.
#[derive(Clone, Debug)]
struct Fault {
    kind: Kind,
    from: u64,
    to: u64,
    /// Process that is struck, or the first of them.
    who: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// The store gives no answer to anyone.
    Silent,
    /// The store rejects all calls.
    Busy,
    /// The store rejects the calls of every third process.
    TurnedAway,
    /// The store's answers to one process are lost.
    Lost,
    /// Watches hear nothing for a second, then the history is dropped.
    Compaction,
    /// One process is cut off from the others.
    Cut,
    /// One process hears the others, and does not get through to them.
    Deaf,
    /// One process hears and reaches nothing.
    Alone,
    /// One process ends and starts again.
    Restart,
}

const KINDS: [Kind; 9] = [
    Kind::Silent,
    Kind::Busy,
    Kind::TurnedAway,
    Kind::Lost,
    Kind::Compaction,
    Kind::Cut,
    Kind::Deaf,
    Kind::Alone,
    Kind::Restart,
];

impl Fault {
    fn at(&self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }

    /// True for what makes the store unstable for all.
    fn is_outage(&self) -> bool {
        matches!(self.kind, Kind::Silent | Kind::Busy)
    }

    /// True when a process is out of touch through this until some time after it.
    fn strikes(&self, own: usize) -> bool {
        match self.kind {
            Kind::Silent | Kind::Busy => true,
            Kind::TurnedAway => own % 3 == self.who % 3,
            Kind::Lost | Kind::Alone | Kind::Restart => own == self.who,
            Kind::Compaction | Kind::Cut | Kind::Deaf => false,
        }
    }
}

#[derive(Clone, Debug)]
enum Reading {
    Rest(u64),
    Call { began: u64, call: Call, at: u64 },
}

#[derive(Clone, Debug)]
enum Following {
    Idle,
    Lead(u64),
    Ask {
        peers: Vec<usize>,
        began: u64,
        at: u64,
    },
}

struct Process {
    world: ClusterView,
    peers: Peers,
    reading: Reading,
    following: Following,
    /// True when a peer is ahead.
    behind: bool,
    /// A listing on its way, and when it arrives.
    listing: Option<(u64, Delta)>,
    /// Revision that was last told.
    told: u64,
    /// When each process was last told something.
    sent: [u64; ENTRIES],
    started: u64,
}

struct Datagram {
    due: u64,
    from: usize,
    to: usize,
    peer: Peer,
    served_for: Millis,
}

struct Removal {
    id: String,
    at: u64,
    /// When it registers again; a removal that was planned is final.
    back: Option<u64>,
    lapsed: bool,
}

struct Run {
    rng: fastrand::Rng,
    now: u64,
    faults: Vec<Fault>,
    store: Replica,
    /// Revision before which the store has no history.
    floor: u64,
    processes: Vec<Process>,
    flying: Vec<Datagram>,
    removals: Vec<Removal>,
    failures: Vec<String>,
}

fn zone(own: usize) -> String {
    format!("z{}", own % ZONES)
}

fn name(own: usize) -> String {
    format!("e{own:02}")
}

fn text(id: usize, seq: u64) -> Bytes {
    format!(
        r#"{{"service":"p","address":"10.0.0.{id}:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":{seq},"born":7}}"#
    )
    .into()
}

impl Process {
    fn new(now: u64) -> Process {
        Process {
            world: ClusterView::default(),
            peers: Peers::default(),
            reading: Reading::Rest(now),
            following: Following::Idle,
            behind: false,
            listing: None,
            told: 0,
            sent: [0; ENTRIES],
            started: now + 1,
        }
    }
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(1..=3);
        let faults = (0..count).map(|_| {
            let kind = KINDS[rng.usize(0..KINDS.len())];
            let from = rng.u64(4_000..12_000);
            let length = match kind {
                Kind::Compaction => 1_000,
                _ => rng.u64(100..6_000),
            };
            Fault {
                kind,
                from,
                to: from + length,
                who: rng.usize(0..ENTRIES),
            }
        });
        let faults: Vec<Fault> = faults.collect();
        let mut run = Run {
            rng,
            now: 0,
            faults,
            store: Replica::default(),
            floor: 0,
            processes: (0..ENTRIES).map(|_| Process::new(0)).collect(),
            flying: Vec::new(),
            removals: Vec::new(),
            failures: Vec::new(),
        };
        for id in 0..RUNNERS {
            run.write(id, Some(text(id, 1)));
        }
        run
    }

    fn write(&mut self, id: usize, value: Option<Bytes>) {
        let revision = self.store.revision() + 1;
        let key = format!("servers/r{id}").into();
        let docs = vec![Doc {
            key,
            revision,
            value,
        }];
        self.store.apply(Delta {
            full: false,
            upto: revision,
            docs,
        });
    }

    fn any(&self, test: impl Fn(&Fault) -> bool) -> bool {
        self.faults.iter().any(|f| f.at(self.now) && test(f))
    }

    /// True when packets of one process do not reach another.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.any(|f| match f.kind {
            Kind::Cut | Kind::Alone | Kind::Restart => f.who == from || f.who == to,
            Kind::Deaf => f.who == from,
            _ => false,
        })
    }

    fn is_down(&self, own: usize) -> bool {
        self.any(|f| f.kind == Kind::Restart && f.who == own)
    }

    /// True while what a process asks the store, or is told, is lost.
    fn is_silent(&self, own: usize) -> bool {
        self.any(|f| match f.kind {
            Kind::Silent => true,
            Kind::Lost | Kind::Alone => f.who == own,
            _ => false,
        })
    }

    fn is_rejected(&self, own: usize) -> bool {
        self.any(|f| match f.kind {
            Kind::Busy => true,
            Kind::TurnedAway => own % 3 == f.who % 3,
            _ => false,
        })
    }

    /// Writes of runners: changes, planned removals, lapses and returns.
    fn runners(&mut self) {
        let is_out = self.any(Fault::is_outage);
        for index in 0..self.removals.len() {
            let removal = &mut self.removals[index];
            if !is_out && removal.back.is_some_and(|back| back <= self.now) {
                removal.back = None;
                removal.at = u64::MAX;
                let id: usize = removal.id[1..].parse().expect("a number");
                self.write(id, Some(text(id, self.now)));
            }
        }
        // Leases run out three intervals after the last write that was done.
        let ended = self
            .faults
            .iter()
            .find(|f| f.is_outage() && f.to.div_ceil(STEP) * STEP == self.now);
        let is_long = ended.is_some_and(|f| f.to - f.from > 3 * BEAT);
        let is_stable = !self.faults.iter().any(|f| {
            f.is_outage() && (f.at(self.now) || f.to <= self.now && f.to + CONTACT > self.now)
        });
        for id in 0..RUNNERS {
            let key = format!("r{id}");
            if self
                .removals
                .iter()
                .any(|r| r.id == key && r.at != u64::MAX)
            {
                continue;
            }
            if is_long && self.rng.f64() < 0.6 {
                let back = self.now + self.rng.u64(200..1_500);
                let is_back = self.rng.f64() < 0.7;
                self.write(id, None);
                self.removals.push(Removal {
                    id: key,
                    at: self.now,
                    back: is_back.then_some(back),
                    lapsed: true,
                });
            } else if is_stable && self.now > 3_500 && self.rng.f64() < 0.001_6 {
                self.write(id, None);
                self.removals.push(Removal {
                    id: key,
                    at: self.now,
                    back: None,
                    lapsed: false,
                });
            } else if !is_out && self.rng.f64() < 0.004 {
                self.write(id, Some(text(id, self.now)));
            }
        }
        // A removal that nobody hears of, as the watches are silent.
        let is_begun = |f: &Fault| {
            f.kind == Kind::Compaction
                && self.now.saturating_sub(f.from + 50) < STEP
                && self.now > f.from
        };
        if is_stable && self.faults.iter().any(is_begun) {
            let free =
                (0..RUNNERS).find(|id| self.removals.iter().all(|r| r.id != format!("r{id}")));
            if let Some(id) = free {
                self.write(id, None);
                self.removals.push(Removal {
                    id: format!("r{id}"),
                    at: self.now,
                    back: None,
                    lapsed: false,
                });
            }
        }
    }

    fn read(&mut self, own: usize) {
        let now = Millis(self.now);
        match self.processes[own].reading.clone() {
            Reading::Rest(until) if self.now < until => {}
            Reading::Rest(_) => {
                let p = &mut self.processes[own];
                let is_needed = !p.world.replica.is_synced()
                    || p.world.watch.is_stuck(now)
                    || store_watch::should_read(now, &name(own), &zone(own), &p.peers);
                if !is_needed {
                    p.world.watch.on_idle();
                    p.reading = Reading::Rest(self.now + 100);
                    return;
                }
                p.reading = Reading::Call {
                    began: self.now,
                    call: p.world.watch.next_call(),
                    at: p.world.replica.revision(),
                };
            }
            Reading::Call { began, call, at } => self.reading(own, began, call, at),
        }
    }

    fn reading(&mut self, own: usize, began: u64, call: Call, at: u64) {
        let now = Millis(self.now);
        let is_lost = began == u64::MAX || self.is_silent(own);
        if is_lost {
            // Nothing comes on this connection any more.
            let p = &mut self.processes[own];
            if let Reading::Call { at, .. } = &mut p.reading {
                *at = u64::MAX;
            }
        }
        let is_lost = is_lost || at == u64::MAX;
        let is_compacted = self
            .faults
            .iter()
            .any(|f| f.kind == Kind::Compaction && f.to.div_ceil(STEP) * STEP == self.now);
        let is_failed = !is_lost && (self.is_rejected(own) || is_compacted && at != 0)
            || self.now >= began + call.timeout.0;
        if is_failed {
            let p = &mut self.processes[own];
            p.listing = None;
            p.world.store_failed();
            let most = p.world.watch.backoff().0;
            let wait = self.rng.u64(most / 2..=most);
            p.reading = Reading::Rest(self.now + wait);
            return;
        }
        let is_mute = self.any(|f| f.kind == Kind::Compaction) && at != 0;
        let is_due = self.now >= began + call.wait.0
            || self.store.revision() > at && !is_mute
            || at < self.floor;
        if is_lost || self.now < began + STEP || !is_due {
            return;
        }
        let delta = if at < self.floor || at == 0 {
            let due = self.now + self.rng.u64(0..400);
            let (due, listing) = self.processes[own].listing.take().unwrap_or_else(|| {
                let listing = Delta {
                    full: true,
                    upto: self.store.revision(),
                    docs: self.store.docs().cloned().collect(),
                };
                (due, listing)
            });
            if self.now < due {
                self.processes[own].listing = Some((due, listing));
                return;
            }
            listing
        } else if is_mute {
            Delta {
                full: false,
                upto: at,
                docs: Vec::new(),
            }
        } else {
            self.store.since(at)
        };
        let p = &mut self.processes[own];
        p.world.store_answered(now, Millis(2 * BEAT));
        let left = p.world.grace_left(now);
        p.world.apply(now, Millis(8_000), delta, left);
        p.reading = Reading::Rest(self.now + p.world.watch.next_call_in(now).0);
    }

    fn follow(&mut self, own: usize) {
        let now = Millis(self.now);
        match self.processes[own].following.clone() {
            Following::Idle => {
                let p = &mut self.processes[own];
                if std::mem::take(&mut p.behind) {
                    let lead = if p.world.watch.is_reliable(now) {
                        30
                    } else {
                        0
                    };
                    p.following = Following::Lead(self.now + lead);
                }
            }
            Following::Lead(until) if self.now < until => {}
            Following::Lead(_) => {
                let p = &mut self.processes[own];
                let at = p.world.replica.revision();
                let ahead = p.peers.ahead(&zone(own), at).into_iter().take(3);
                let peers: Vec<usize> = ahead
                    .map(|peer| peer.name[1..].parse().expect("a number"))
                    .collect();
                p.following = if peers.is_empty() {
                    Following::Idle
                } else {
                    Following::Ask {
                        peers,
                        began: self.now,
                        at,
                    }
                };
            }
            Following::Ask {
                mut peers,
                began,
                at,
            } => {
                let peer = peers[0];
                let is_cut = self.is_cut(own, peer) || self.is_cut(peer, own);
                if !is_cut && self.now >= began + ROUND_TRIP && self.now < began + 100 {
                    let world = &self.processes[peer].world;
                    if world.replica.is_synced() {
                        let left = world.grace_left(now);
                        let doc = DeltaDoc::new(world.replica.since(at), left);
                        let peers = &self.processes[own].peers;
                        let reads = peers.iter().any(|p| p.name == name(peer) && p.is_reader);
                        self.told(own, doc, began, reads);
                        return;
                    }
                }
                if self.now < began + PEER_TIMEOUT {
                    return;
                }
                peers.remove(0);
                self.processes[own].following = if peers.is_empty() {
                    Following::Idle
                } else {
                    Following::Ask {
                        peers,
                        began: self.now,
                        at,
                    }
                };
            }
        }
    }

    fn told(&mut self, own: usize, doc: DeltaDoc, began: u64, reads: bool) {
        let now = Millis(self.now);
        let p = &mut self.processes[own];
        let left = doc.grace_left(now.since(Millis(began)));
        if !doc.docs.is_empty() {
            p.world.watch.on_peer_news(now);
        }
        if left == Millis(0) && reads && !doc.whole && !doc.docs.is_empty() {
            p.world.peer_had_changes(now, Millis(2 * BEAT));
        }
        p.world.apply(now, Millis(8_000), doc.into_delta(), left);
        p.following = Following::Idle;
    }

    fn tell(&mut self, own: usize) {
        let now = Millis(self.now);
        let p = &mut self.processes[own];
        let revision = p.world.replica.revision();
        let is_reader = p.world.watch.is_reliable(now);
        let served_for = p.world.store_uptime(now);
        let is_moved = p.told != revision && is_reader;
        p.told = revision;
        let peer = Peer {
            name: name(own),
            role: Role::Entry,
            ip: IpAddr::from([10, 0, 0, own as u8]),
            zone: zone(own),
            started: p.started,
            revision,
            is_reader,
            last_heard: now,
        };
        for to in (0..ENTRIES).filter(|to| *to != own) {
            let is_near = zone(to) == zone(own);
            let interval = if is_near { 250 } else { 900 };
            let p = &mut self.processes[own];
            if !(is_near && is_moved) && self.now < p.sent[to] + interval {
                continue;
            }
            p.sent[to] = self.now;
            if !self.is_cut(own, to) {
                self.flying.push(Datagram {
                    due: self.now + STEP,
                    from: own,
                    to,
                    peer: peer.clone(),
                    served_for,
                });
            }
        }
    }

    fn hear(&mut self) {
        let (due, later) = std::mem::take(&mut self.flying)
            .into_iter()
            .partition(|d| d.due <= self.now);
        self.flying = later;
        let due: Vec<Datagram> = due;
        for datagram in due {
            if self.is_cut(datagram.from, datagram.to) {
                continue;
            }
            let p = &mut self.processes[datagram.to];
            let mut peer = datagram.peer;
            peer.last_heard = Millis(self.now);
            let revision = peer.revision;
            p.world
                .peer_store_uptime(Millis(self.now), datagram.served_for);
            if p.peers.update(peer) && revision > p.world.replica.revision() {
                p.behind = true;
                p.world.watch.on_behind(Millis(self.now));
            }
        }
    }

    /// True when bounds hold for a process.
    fn is_in_touch(&self, own: usize) -> bool {
        self.now > 2 * CONTACT
            && self
                .faults
                .iter()
                .all(|f| !f.strikes(own) || self.now < f.from || self.now >= f.to + CONTACT)
    }

    /// When the store tells of a change, also to those that cannot hear of it
    /// from others: not while watches hear nothing. What is removed just before
    /// an outage cannot be told from what lapses in it.
    fn told_from(&self, at: u64) -> u64 {
        let gaps = self.faults.iter().filter_map(|f| match f.kind {
            Kind::Compaction => Some((f, f.to)),
            Kind::Silent | Kind::Busy => Some((f, f.to + KEPT - BOUND)),
            _ => None,
        });
        let gaps = gaps.filter(|(f, _)| f.from < at + BOUND && at < f.to);
        gaps.map(|(_, end)| end).fold(at, u64::max)
    }

    fn check(&mut self) {
        let mut failures = Vec::new();
        for own in 0..ENTRIES {
            if self.is_down(own) {
                continue;
            }
            let world = &self.processes[own].world;
            let is_in_touch = self.is_in_touch(own);
            for removal in self.removals.iter().filter(|r| r.at != u64::MAX) {
                let is_held = world.members.contains_key(&removal.id);
                let age = self.now.saturating_sub(removal.at);
                if is_in_touch && is_held && removal.at < self.now {
                    let since_told = self.now.saturating_sub(self.told_from(removal.at));
                    if since_told > BOUND && !removal.lapsed {
                        failures.push(format!("{} held by {own} after {age} ms", removal.id));
                    }
                    if removal.lapsed && removal.back.is_none() && age > KEPT {
                        failures.push(format!(
                            "{} lapsed, held by {own} after {age} ms",
                            removal.id
                        ));
                    }
                }
                let is_struck = self
                    .faults
                    .iter()
                    .any(|f| f.kind == Kind::Restart && f.who == own);
                if removal.lapsed && age < 1_900 && !is_held && !is_struck {
                    failures.push(format!(
                        "{} lapsed, dropped by {own} after {age} ms",
                        removal.id
                    ));
                }
            }
        }
        if self.failures.is_empty() {
            for failure in failures {
                self.failures.push(format!("{} ms: {failure}", self.now));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.runners();
        let is_compacted = self
            .faults
            .iter()
            .any(|f| f.kind == Kind::Compaction && f.to.div_ceil(STEP) * STEP == self.now);
        if is_compacted {
            self.floor = self.store.revision() + 1;
        }
        self.hear();
        for own in 0..ENTRIES {
            if self.is_down(own) {
                self.processes[own] = Process::new(self.now);
                continue;
            }
            self.read(own);
            self.follow(own);
            let now = Millis(self.now);
            let p = &mut self.processes[own];
            p.peers.tick(now);
            p.world.drop_missing(now);
            self.tell(own);
        }
        if is_compacted {
            self.floor = self.store.revision();
        }
        self.check();
    }
}

/// Guards against runners that left being sent to beyond their drain time, and
/// against ones that live being dropped when their entries lapsed with the store.
#[test]
fn removals_reach_all_in_time() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut run = Run::new(seed);
        while run.now < LENGTH && run.failures.is_empty() {
            run.step();
        }
        if let Some(failure) = run.failures.first() {
            failures.push(format!("seed {seed}: {failure}; {:?}", run.faults));
        }
    }
    assert!(
        failures.is_empty(),
        "{} seeds:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
