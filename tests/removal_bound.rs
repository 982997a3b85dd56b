//! Removals of upstreams reach every entry process in time, whatever fails besides
//! the store. Upstreams whose registration expired in an outage of the store are
//! kept for a while.
//!
//! The test simulates the store, the datagrams and the fetches between entry
//! processes on a virtual clock. All times are in milliseconds.

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

/// Length of a run on the virtual clock.
const LENGTH: u64 = 20_000;

/// Number of runs, one for each seed. More are run by hand.
const SEEDS: u64 = 200;

const ENTRIES: usize = 9;
const ZONES: usize = 3;
const RUNNERS: usize = 8;

/// Interval at which runners write to the store.
const HEARTBEAT: u64 = 1_200;

/// Time without a fault after which the bounds hold.
const SETTLE_TIME: u64 = 3_000;

/// Time after its acknowledgement within which a removal is known everywhere. The
/// shortest drain time of a deployment is 2 s.
const REMOVAL_BOUND: u64 = 1_500;

/// Time after the end of an outage for which an upstream with an expired
/// registration may be kept: two seconds after a call is answered, and at most
/// 400 ms for the pause before this call and 1,500 ms for the call.
const MAX_KEPT: u64 = 3_900;

/// Time for a small request and its answer between processes.
const ROUND_TRIP: u64 = 6;

/// Time after which a fetch from a peer is given up.
const PEER_TIMEOUT: u64 = 600;

/// One fault, active from `from` until `to`.
#[derive(Clone, Debug)]
struct Fault {
    kind: Kind,
    from: u64,
    to: u64,
    /// Process that the fault affects; for some kinds one of several.
    process: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// The store answers no process.
    StoreSilent,
    /// The store rejects all calls.
    StoreRejects,
    /// The store rejects the calls of every third process.
    StoreRejectsSome,
    /// The store's answers to one process are lost.
    AnswersLost,
    /// Calls that wait for changes get none for a second, then the store drops its
    /// history.
    Compaction,
    /// One process and the others do not reach each other.
    CutFromPeers,
    /// One process does not reach the others, and they reach it.
    SendsLost,
    /// One process reaches neither the store nor the others.
    Isolated,
    /// One process is stopped and starts again at the end.
    Restart,
}

const KINDS: [Kind; 9] = [
    Kind::StoreSilent,
    Kind::StoreRejects,
    Kind::StoreRejectsSome,
    Kind::AnswersLost,
    Kind::Compaction,
    Kind::CutFromPeers,
    Kind::SendsLost,
    Kind::Isolated,
    Kind::Restart,
];

impl Fault {
    fn is_active(&self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }

    /// Returns true when no process can use the store.
    fn is_outage(&self) -> bool {
        matches!(self.kind, Kind::StoreSilent | Kind::StoreRejects)
    }

    /// Returns true when the bounds do not hold for a process during the fault and
    /// for some time after it.
    fn affects(&self, own: usize) -> bool {
        match self.kind {
            Kind::StoreSilent | Kind::StoreRejects => true,
            Kind::StoreRejectsSome => own % 3 == self.process % 3,
            Kind::AnswersLost | Kind::Isolated | Kind::Restart => own == self.process,
            Kind::Compaction | Kind::CutFromPeers | Kind::SendsLost => false,
        }
    }
}

/// State of a process's reading of the store: paused until a time, or calling. The
/// revision is `u64::MAX` once the answer to the call is lost.
#[derive(Clone, Debug)]
enum ReadState {
    Paused(u64),
    Calling {
        began: u64,
        call: Call,
        revision: u64,
    },
}

/// State of a process's fetches from peers: none, waiting until a time for its own
/// reading, or fetching from the first of `peers`.
#[derive(Clone, Debug)]
enum FollowState {
    Idle,
    Waiting(u64),
    Fetching {
        peers: Vec<usize>,
        began: u64,
        revision: u64,
    },
}

/// One entry process.
struct Process {
    view: ClusterView,
    peers: Peers,
    read_state: ReadState,
    follow_state: FollowState,
    /// True when a peer was ahead since the last fetch.
    is_behind: bool,
    /// A listing of the store that is being read, and when it is complete.
    pending_listing: Option<(u64, Delta)>,
    /// Revision in the last datagrams.
    sent_revision: u64,
    /// When a datagram was last sent to each process.
    last_sent: [u64; ENTRIES],
    started: u64,
}

/// A datagram in flight.
struct Datagram {
    arrives: u64,
    from: usize,
    to: usize,
    peer: Peer,
    served_for: Millis,
}

/// A removal of a registration from the store.
struct Removal {
    id: String,
    /// When it was removed; `u64::MAX` once the upstream is registered again.
    removed_at: u64,
    /// When the upstream registers again; `None` if it does not.
    back: Option<u64>,
    /// True when the registration expired in an outage; false for a planned
    /// removal, which is final.
    is_expired: bool,
}

/// One run.
struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    faults: Vec<Fault>,
    store: Replica,
    /// Revision before which the store has no history.
    history_floor: u64,
    processes: Vec<Process>,
    in_flight: Vec<Datagram>,
    removals: Vec<Removal>,
    failures: Vec<String>,
}

fn zone(own: usize) -> String {
    format!("z{}", own % ZONES)
}

fn name(own: usize) -> String {
    format!("e{own:02}")
}

/// Value of a registration in the store.
fn text(id: usize, seq: u64) -> Bytes {
    format!(
        r#"{{"service":"p","address":"10.0.0.{id}:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":{seq},"born":7}}"#
    )
    .into()
}

impl Process {
    fn new(now: u64) -> Process {
        Process {
            view: ClusterView::default(),
            peers: Peers::default(),
            read_state: ReadState::Paused(now),
            follow_state: FollowState::Idle,
            is_behind: false,
            pending_listing: None,
            sent_revision: 0,
            last_sent: [0; ENTRIES],
            started: now + 1,
        }
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
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
                process: rng.usize(0..ENTRIES),
            }
        });
        let faults: Vec<Fault> = faults.collect();
        let mut run = Simulation {
            rng,
            now: 0,
            faults,
            store: Replica::default(),
            history_floor: 0,
            processes: (0..ENTRIES).map(|_| Process::new(0)).collect(),
            in_flight: Vec::new(),
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
            era: 0,
            full: false,
            upto: revision,
            docs,
        });
    }

    fn has_fault(&self, matches: impl Fn(&Fault) -> bool) -> bool {
        self.faults
            .iter()
            .any(|f| f.is_active(self.now) && matches(f))
    }

    /// Returns true when packets of one process do not reach another.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.has_fault(|f| match f.kind {
            Kind::CutFromPeers | Kind::Isolated | Kind::Restart => {
                f.process == from || f.process == to
            }
            Kind::SendsLost => f.process == from,
            _ => false,
        })
    }

    fn is_down(&self, own: usize) -> bool {
        self.has_fault(|f| f.kind == Kind::Restart && f.process == own)
    }

    /// Returns true while calls of a process to the store or their answers are lost.
    fn is_silent(&self, own: usize) -> bool {
        self.has_fault(|f| match f.kind {
            Kind::StoreSilent => true,
            Kind::AnswersLost | Kind::Isolated => f.process == own,
            _ => false,
        })
    }

    fn is_rejected(&self, own: usize) -> bool {
        self.has_fault(|f| match f.kind {
            Kind::StoreRejects => true,
            Kind::StoreRejectsSome => own % 3 == f.process % 3,
            _ => false,
        })
    }

    /// Writes the registrations of runners: changes, planned removals, expired
    /// registrations and new ones after them.
    fn step_runners(&mut self) {
        let is_out = self.has_fault(Fault::is_outage);
        for index in 0..self.removals.len() {
            let removal = &mut self.removals[index];
            if !is_out && removal.back.is_some_and(|back| back <= self.now) {
                removal.back = None;
                removal.removed_at = u64::MAX;
                let id: usize = removal.id[1..].parse().expect("a number");
                self.write(id, Some(text(id, self.now)));
            }
        }
        // Registrations expire three heartbeat intervals after the last write.
        let ended = self
            .faults
            .iter()
            .find(|f| f.is_outage() && f.to.div_ceil(STEP) * STEP == self.now);
        let is_long = ended.is_some_and(|f| f.to - f.from > 3 * HEARTBEAT);
        let is_stable = !self.faults.iter().any(|f| {
            f.is_outage()
                && (f.is_active(self.now) || f.to <= self.now && f.to + SETTLE_TIME > self.now)
        });
        for id in 0..RUNNERS {
            let key = format!("r{id}");
            if self
                .removals
                .iter()
                .any(|r| r.id == key && r.removed_at != u64::MAX)
            {
                continue;
            }
            if is_long && self.rng.f64() < 0.6 {
                let back = self.now + self.rng.u64(200..1_500);
                let is_back = self.rng.f64() < 0.7;
                self.write(id, None);
                self.removals.push(Removal {
                    id: key,
                    removed_at: self.now,
                    back: is_back.then_some(back),
                    is_expired: true,
                });
            } else if is_stable && self.now > 3_500 && self.rng.f64() < 0.001_6 {
                self.write(id, None);
                self.removals.push(Removal {
                    id: key,
                    removed_at: self.now,
                    back: None,
                    is_expired: false,
                });
            } else if !is_out && self.rng.f64() < 0.004 {
                self.write(id, Some(text(id, self.now)));
            }
        }
        // A planned removal while calls that wait for changes get none.
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
                    removed_at: self.now,
                    back: None,
                    is_expired: false,
                });
            }
        }
    }

    fn step_reader(&mut self, own: usize) {
        let now = Millis(self.now);
        match self.processes[own].read_state.clone() {
            ReadState::Paused(until) if self.now < until => {}
            ReadState::Paused(_) => {
                let p = &mut self.processes[own];
                let is_short = store_watch::should_read(now, &name(own), &zone(own), &p.peers);
                p.view.watch.note_readers(now, is_short);
                let position = p.view.replica.position();
                let reason = store_watch::read_reason(
                    now,
                    &name(own),
                    &zone(own),
                    &p.view.watch,
                    position,
                    &p.peers,
                );
                if reason.is_none() {
                    p.view.watch.on_idle();
                    p.read_state = ReadState::Paused(self.now + 100);
                    return;
                }
                p.read_state = ReadState::Calling {
                    began: self.now,
                    call: p.view.watch.next_call(),
                    revision: p.view.replica.revision(),
                };
            }
            ReadState::Calling {
                began,
                call,
                revision,
            } => self.step_call(own, began, call, revision),
        }
    }

    fn step_call(&mut self, own: usize, began: u64, call: Call, revision: u64) {
        let now = Millis(self.now);
        let is_lost = began == u64::MAX || self.is_silent(own);
        if is_lost {
            // This connection brings no answer any more.
            let p = &mut self.processes[own];
            if let ReadState::Calling { revision, .. } = &mut p.read_state {
                *revision = u64::MAX;
            }
        }
        let is_lost = is_lost || revision == u64::MAX;
        let is_compacted = self
            .faults
            .iter()
            .any(|f| f.kind == Kind::Compaction && f.to.div_ceil(STEP) * STEP == self.now);
        let is_failed = !is_lost && (self.is_rejected(own) || is_compacted && revision != 0)
            || self.now >= began + call.timeout.0;
        if is_failed {
            let p = &mut self.processes[own];
            p.pending_listing = None;
            p.view.store_failed(Millis(self.now), Millis(began));
            let most = p.view.watch.backoff().0;
            let wait = self.rng.u64(most / 2..=most);
            p.read_state = ReadState::Paused(self.now + wait);
            return;
        }
        let is_watch_silent = self.has_fault(|f| f.kind == Kind::Compaction) && revision != 0;
        let is_due = self.now >= began + call.wait.0
            || self.store.revision() > revision && !is_watch_silent
            || revision < self.history_floor;
        if is_lost || self.now < began + STEP || !is_due {
            return;
        }
        let delta = if revision < self.history_floor || revision == 0 {
            let due = self.now + self.rng.u64(0..400);
            let (due, listing) = self.processes[own]
                .pending_listing
                .take()
                .unwrap_or_else(|| {
                    let listing = Delta {
                        era: 0,
                        full: true,
                        upto: self.store.revision(),
                        docs: self.store.docs().cloned().collect(),
                    };
                    (due, listing)
                });
            if self.now < due {
                self.processes[own].pending_listing = Some((due, listing));
                return;
            }
            listing
        } else if is_watch_silent {
            Delta {
                era: 0,
                full: false,
                upto: revision,
                docs: Vec::new(),
            }
        } else {
            self.store.since(revision)
        };
        let p = &mut self.processes[own];
        p.view.store_answered(now, Millis(2 * HEARTBEAT));
        let left = p.view.grace_left(now);
        p.view.apply(now, Millis(8_000), delta, left);
        p.read_state = ReadState::Paused(self.now + p.view.watch.next_call_in(now).0);
    }

    fn step_follower(&mut self, own: usize) {
        let now = Millis(self.now);
        match self.processes[own].follow_state.clone() {
            FollowState::Idle => {
                let p = &mut self.processes[own];
                if std::mem::take(&mut p.is_behind) {
                    let lead = if p.view.watch.is_reliable(now) { 30 } else { 0 };
                    p.follow_state = FollowState::Waiting(self.now + lead);
                }
            }
            FollowState::Waiting(until) if self.now < until => {}
            FollowState::Waiting(_) => {
                let p = &mut self.processes[own];
                let revision = p.view.replica.revision();
                let ahead = p
                    .peers
                    .ahead(&zone(own), p.view.replica.position())
                    .into_iter()
                    .take(3);
                let peers: Vec<usize> = ahead
                    .map(|peer| peer.name[1..].parse().expect("a number"))
                    .collect();
                p.follow_state = if peers.is_empty() {
                    FollowState::Idle
                } else {
                    FollowState::Fetching {
                        peers,
                        began: self.now,
                        revision,
                    }
                };
            }
            FollowState::Fetching {
                mut peers,
                began,
                revision,
            } => {
                let peer = peers[0];
                let is_cut = self.is_cut(own, peer) || self.is_cut(peer, own);
                if !is_cut && self.now >= began + ROUND_TRIP && self.now < began + 100 {
                    let view = &self.processes[peer].view;
                    if view.replica.is_synced() {
                        let left = view.grace_left(now);
                        let doc = DeltaDoc::new(view.replica.since(revision), left);
                        let peers = &self.processes[own].peers;
                        let is_reader = peers.iter().any(|p| p.name == name(peer) && p.is_reader);
                        self.apply_peer_changes(own, doc, began, is_reader);
                        return;
                    }
                }
                if self.now < began + PEER_TIMEOUT {
                    return;
                }
                peers.remove(0);
                self.processes[own].follow_state = if peers.is_empty() {
                    FollowState::Idle
                } else {
                    FollowState::Fetching {
                        peers,
                        began: self.now,
                        revision,
                    }
                };
            }
        }
    }

    fn apply_peer_changes(&mut self, own: usize, doc: DeltaDoc, began: u64, is_reader: bool) {
        let now = Millis(self.now);
        let p = &mut self.processes[own];
        let left = doc.grace_left(now.since(Millis(began)));
        if !doc.docs.is_empty() {
            p.view.watch.on_peer_news(now);
        }
        if left == Millis(0) && is_reader && !doc.whole && !doc.docs.is_empty() {
            p.view.peer_had_changes(now, Millis(2 * HEARTBEAT));
        }
        p.view.apply(now, Millis(8_000), doc.into_delta(), left);
        p.follow_state = FollowState::Idle;
    }

    fn send_datagrams(&mut self, own: usize) {
        let now = Millis(self.now);
        let p = &mut self.processes[own];
        let revision = p.view.replica.revision();
        let is_reader = p.view.watch.is_reliable(now);
        let served_for = p.view.store_uptime(now);
        let is_changed = p.sent_revision != revision && is_reader;
        p.sent_revision = revision;
        let peer = Peer {
            name: name(own),
            role: Role::Entry,
            ip: IpAddr::from([10, 0, 0, own as u8]),
            zone: zone(own),
            started: p.started,
            position: p.view.replica.position(),
            is_reader,
            last_heard: now,
            interval: Millis(900),
        };
        for to in (0..ENTRIES).filter(|to| *to != own) {
            let is_near = zone(to) == zone(own);
            let interval = if is_near { 250 } else { 900 };
            let p = &mut self.processes[own];
            if !(is_near && is_changed) && self.now < p.last_sent[to] + interval {
                continue;
            }
            p.last_sent[to] = self.now;
            if !self.is_cut(own, to) {
                self.in_flight.push(Datagram {
                    arrives: self.now + STEP,
                    from: own,
                    to,
                    peer: peer.clone(),
                    served_for,
                });
            }
        }
    }

    fn receive_datagrams(&mut self) {
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|d| d.arrives <= self.now);
        self.in_flight = later;
        let due: Vec<Datagram> = due;
        for datagram in due {
            if self.is_cut(datagram.from, datagram.to) {
                continue;
            }
            let p = &mut self.processes[datagram.to];
            let mut peer = datagram.peer;
            peer.last_heard = Millis(self.now);
            let position = peer.position;
            p.view
                .peer_store_uptime(Millis(self.now), datagram.served_for);
            if p.peers.update(peer) && position > p.view.replica.position() {
                p.is_behind = true;
                p.view.watch.on_behind(Millis(self.now));
            }
        }
    }

    /// Returns true when the bounds hold for a process.
    fn is_settled(&self, own: usize) -> bool {
        self.now > 2 * SETTLE_TIME
            && self
                .faults
                .iter()
                .all(|f| !f.affects(own) || self.now < f.from || self.now >= f.to + SETTLE_TIME)
    }

    /// Returns the time from which the bound of a removal counts, also for a process
    /// that cannot get it from others. While calls that wait for changes get none,
    /// that is the end of this fault. A removal just before an outage cannot be
    /// distinguished from a registration that expires in it, and may be kept as long.
    fn bound_start(&self, removed_at: u64) -> u64 {
        let gaps = self.faults.iter().filter_map(|f| match f.kind {
            Kind::Compaction => Some((f, f.to)),
            Kind::StoreSilent | Kind::StoreRejects => Some((f, f.to + MAX_KEPT - REMOVAL_BOUND)),
            _ => None,
        });
        let gaps = gaps.filter(|(f, _)| f.from < removed_at + REMOVAL_BOUND && removed_at < f.to);
        gaps.map(|(_, end)| end).fold(removed_at, u64::max)
    }

    fn check_bounds(&mut self) {
        let mut failures = Vec::new();
        for own in 0..ENTRIES {
            if self.is_down(own) {
                continue;
            }
            let view = &self.processes[own].view;
            let is_settled = self.is_settled(own);
            for removal in self.removals.iter().filter(|r| r.removed_at != u64::MAX) {
                let is_held = view.members.contains_key(&removal.id);
                let age = self.now.saturating_sub(removal.removed_at);
                if is_settled && is_held && removal.removed_at < self.now {
                    let since_start = self
                        .now
                        .saturating_sub(self.bound_start(removal.removed_at));
                    if since_start > REMOVAL_BOUND && !removal.is_expired {
                        failures.push(format!("{} held by {own} after {age} ms", removal.id));
                    }
                    if removal.is_expired && removal.back.is_none() && age > MAX_KEPT {
                        failures.push(format!(
                            "{} expired, held by {own} after {age} ms",
                            removal.id
                        ));
                    }
                }
                let is_restarted = self
                    .faults
                    .iter()
                    .any(|f| f.kind == Kind::Restart && f.process == own);
                if removal.is_expired && age < 1_900 && !is_held && !is_restarted {
                    failures.push(format!(
                        "{} expired, dropped by {own} after {age} ms",
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
        self.step_runners();
        let is_compacted = self
            .faults
            .iter()
            .any(|f| f.kind == Kind::Compaction && f.to.div_ceil(STEP) * STEP == self.now);
        if is_compacted {
            self.history_floor = self.store.revision() + 1;
        }
        self.receive_datagrams();
        for own in 0..ENTRIES {
            if self.is_down(own) {
                self.processes[own] = Process::new(self.now);
                continue;
            }
            self.step_reader(own);
            self.step_follower(own);
            let now = Millis(self.now);
            let p = &mut self.processes[own];
            p.peers.tick(now);
            p.view.drop_missing(now);
            self.send_datagrams(own);
        }
        if is_compacted {
            self.history_floor = self.store.revision();
        }
        self.check_bounds();
    }
}

/// Guards against requests to runners that have left, beyond their drain time, and
/// against dropping live runners whose registration expired in an outage.
#[test]
fn removals_reach_all_in_time() {
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut run = Simulation::new(seed);
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
