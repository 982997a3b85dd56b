//! The decision core of one process.

use std::fmt;
use std::net::SocketAddr;

use crate::error::Code;
use crate::error::Error;
use crate::member::FailureDetector;
use crate::member::Live;
use crate::prelude::Arc;
use crate::proto::FetchReply;
use crate::proto::Notice;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::sync::ANTI_ENTROPY;
use crate::table::sync::Action;
use crate::table::sync::ActiveLive;
use crate::table::sync::ActiveSet;
use crate::table::sync::ConfigKey;
use crate::table::sync::Counters;
use crate::table::sync::Event;
use crate::table::sync::FetchKind;
use crate::table::sync::Outcome;
use crate::table::sync::Settings;
use crate::table::sync::Source;
use crate::table::sync::SyncMode;
use crate::table::sync::elect::Election;
use crate::table::sync::fetch::Fetched;
use crate::table::sync::fetch::Fetches;
use crate::table::sync::peers::Lists;
use crate::table::sync::peers::Open;
use crate::table::sync::peers::Peers;
use crate::table::sync::stale::Stale;
use crate::table::sync::start::EMPTY_ROUND;
use crate::table::sync::start::Start;
use crate::table::sync::watch::Watch;
use crate::time::Millis;

/// Tables, live list and peers of one process.
pub struct Core {
    pub(super) settings: Settings,
    pub(super) rng: fastrand::Rng,
    pub(super) next_call: u64,
    pub(super) hold: ActiveSet,
    pub(super) live: ActiveLive,
    pub(super) watches: [Watch; 3],
    /// Texts of routes and pools last read from the platform.
    pub(super) texts: [Option<Arc<str>>; 2],
    /// Digest of the pair last considered.
    pub(super) last_pair: Option<String>,
    /// Why the pair at the platform is incomplete.
    pub(super) waiting: Option<String>,
    pub(super) last_lower: Option<Stamp>,
    pub(super) detector: FailureDetector,
    pub(super) election: Election,
    pub(super) peers: Peers,
    pub(super) fetches: [Fetches; 2],
    pub(super) start: Start,
    pub(super) stale: Option<Stale>,
    pub(super) last_tick: Option<Millis>,
    pub(super) last_heard: Millis,
    pub(super) next_solo: Millis,
    pub(super) counters: Counters,
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core")
            .field("addr", &self.settings.addr)
            .field("in_force", &self.hold.stamp())
            .finish_non_exhaustive()
    }
}

impl Core {
    /// The core of a process that starts empty.
    pub fn new(settings: Settings, rng: fastrand::Rng) -> Core {
        Core {
            settings,
            rng,
            next_call: 1,
            hold: ActiveSet::default(),
            live: ActiveLive::default(),
            watches: ConfigKey::ALL.map(Watch::new),
            texts: [None, None],
            last_pair: None,
            waiting: None,
            last_lower: None,
            detector: FailureDetector::default(),
            election: Election::default(),
            peers: Peers::default(),
            fetches: [Fetches::default(), Fetches::default()],
            start: Start::default(),
            stale: None,
            last_tick: None,
            last_heard: Millis(0),
            next_solo: Millis(0),
            counters: Counters::default(),
        }
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.note_time(now, out);
        match event {
            Event::Read { call, key, reading } => self.on_read(now, call, key, reading, out),
            Event::Notice(notice) => self.on_notice(now, notice, out),
            Event::Reply { call, from, notice } => self.on_reply(now, call, from, notice, out),
            Event::Fetched {
                call,
                from,
                kind,
                base,
                reply,
            } => {
                let fetched = Fetched {
                    call,
                    from,
                    kind,
                    base,
                    reply,
                };
                self.on_fetched(now, fetched, out);
            }
        }
        self.check_ready();
    }

    /// Does what is due; to be called every [`super::TICK`].
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.note_time(now, out);
        self.last_tick = Some(now);
        if self.start.began.is_none() {
            self.begin(now, out);
        }
        for open in self.peers.expire(now) {
            self.exchange_failed(now, open);
        }
        self.expire_fetch(now, FetchKind::Tables, out);
        self.expire_fetch(now, FetchKind::Live, out);
        self.start_tick(now);
        if self.settings.sync_mode == SyncMode::Peers {
            self.peer_tick(now, out);
        }
        self.read_due(now, out);
    }

    /// Anti-entropy, probes of the readers, reads without peers.
    fn peer_tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.peers.is_due(now) {
            self.choose_peers(now);
        }
        let interval = if self.hold.set().is_some() {
            ANTI_ENTROPY
        } else {
            EMPTY_ROUND
        };
        if let Some(to) = self.peers.round(now, interval, &mut self.rng) {
            self.exchange(now, to, out);
        }
        let probe = self.election.probe(now, &self.detector, &mut self.rng);
        if let Some(to) = probe {
            self.exchange(now, to, out);
        }
        self.solo_tick(now);
    }

    /// What this process tells its peers.
    pub fn notice(&self) -> Notice {
        let stamp = self.hold.stamp();
        Notice {
            from: self.settings.addr.to_string(),
            zone: self.settings.zone.clone(),
            revision: stamp.revision,
            digest: stamp.digest,
            live_index: self.live.stamp().revision,
            live_digest: self.live.stamp().digest.clone(),
            ..Notice::default()
        }
    }

    /// The reply to a peer that fetches and holds `base`.
    pub fn reply(&mut self, kind: FetchKind, base: &Stamp) -> Arc<FetchReply> {
        match kind {
            FetchKind::Tables => self.hold.reply(base),
            FetchKind::Live => self.live.reply(base),
        }
    }

    /// The set in force.
    pub fn set(&self) -> Option<&Arc<TableSet>> {
        self.hold.set()
    }

    /// Stamp of the set in force; the default when there is none.
    pub fn stamp(&self) -> Stamp {
        self.hold.stamp()
    }

    /// The live list in use.
    pub fn live(&self) -> &Arc<Live> {
        self.live.live()
    }

    /// True once the process holds tables and has asked before it serves.
    pub fn is_ready(&self) -> bool {
        self.start.ready
    }

    /// What was refused, and conflicts.
    pub fn hold(&self) -> &ActiveSet {
        &self.hold
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Peers that calls go to.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.all()
    }

    /// Asks a peer that has shown a greater revision, as a request did.
    pub fn ask(&mut self, now: Millis, to: SocketAddr, out: &mut Vec<Action>) {
        self.exchange(now, to, out);
    }

    pub(super) fn call(&mut self) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        call
    }

    /// Starts an exchange, unless one with this peer is in progress.
    pub(super) fn exchange(
        &mut self,
        now: Millis,
        to: SocketAddr,
        out: &mut Vec<Action>,
    ) -> Option<u64> {
        let call = self.next_call;
        let open = Open {
            call,
            to,
            sent: now,
        };
        if !self.peers.open(open) {
            return None;
        }
        self.next_call += 1;
        self.counters.exchanges += 1;
        self.detector.on_sent(now, to);
        out.push(Action::Exchange { call, to });
        Some(call)
    }

    fn exchange_failed(&mut self, now: Millis, open: Open) {
        self.start.asked.retain(|call| *call != open.call);
        self.detector.on_failure(now, open.to);
        if self.detector.failures(open.to) >= 3 {
            self.peers.mark();
        }
    }

    pub(super) fn heard(&mut self, now: Millis, from: SocketAddr) {
        self.last_heard = now;
        self.detector.on_progress(now, from);
    }

    fn on_notice(&mut self, now: Millis, notice: Notice, out: &mut Vec<Action>) {
        let Ok(from) = notice.from.parse() else {
            let detail = format!("notice from {:?}", notice.from);
            self.report(Code::ProtocolInvalid, detail, out);
            return;
        };
        self.peers.note_caller(from);
        self.heard(now, from);
        self.take_notice(now, from, notice, out);
    }

    fn on_reply(
        &mut self,
        now: Millis,
        call: u64,
        from: SocketAddr,
        notice: Option<Notice>,
        out: &mut Vec<Action>,
    ) {
        let open = self.peers.close(call);
        let Some(notice) = notice else {
            if let Some(open) = open {
                self.exchange_failed(now, open);
            }
            return;
        };
        self.heard(now, from);
        self.start.asked.retain(|asked| *asked != call);
        let stamp = stamp_of(&notice);
        self.take_notice(now, from, notice, out);
        if let Some(open) = open {
            self.refresh(open.sent, stamp);
        }
    }

    fn take_notice(
        &mut self,
        now: Millis,
        from: SocketAddr,
        notice: Notice,
        out: &mut Vec<Action>,
    ) {
        let stamp = stamp_of(&notice);
        if self.hold.note_conflict(&stamp) {
            let detail = format!("revision {}: {from} holds {}", stamp.revision, stamp.digest);
            self.report(Code::RevisionConflict, detail, out);
        }
        self.consider(now, FetchKind::Tables, from, stamp, out);
        let live = Stamp {
            revision: notice.live_index,
            digest: notice.live_digest,
        };
        self.consider(now, FetchKind::Live, from, live, out);
    }

    /// Offers a valid set to the one in force.
    pub(super) fn offer(
        &mut self,
        now: Millis,
        set: Arc<TableSet>,
        source: Source,
        out: &mut Vec<Action>,
    ) {
        let stamp = set.stamp.clone();
        let before = self.hold.conflict().cloned();
        let outcome = self.hold.offer(set.clone());
        let conflict = self.hold.conflict().cloned();
        if let Some(conflict) = conflict.filter(|c| Some(c) != before.as_ref()) {
            let detail = format!(
                "revision {}: {} in force, {} also published",
                conflict.revision, conflict.in_force, conflict.other
            );
            self.report(Code::RevisionConflict, detail, out);
        }
        match outcome {
            Outcome::Activated => self.moved(now, set, source, out),
            Outcome::LowerRevision => self.note_lower(&stamp, "platform", out),
            Outcome::Unchanged | Outcome::SmallerDigest => {}
        }
    }

    fn moved(&mut self, now: Millis, set: Arc<TableSet>, source: Source, out: &mut Vec<Action>) {
        assert_eq!(Some(&set.stamp), self.hold.set().map(|held| &held.stamp));
        self.start.source.get_or_insert(source);
        self.counters.moves += 1;
        self.peers.mark();
        out.push(Action::InForce(set));
        self.check_fresh();
        let from = match source {
            Source::Peer(addr) => Some(addr),
            Source::Platform => None,
        };
        self.notify(now, from, out);
    }

    pub(super) fn live_changed(
        &mut self,
        now: Millis,
        from: Option<SocketAddr>,
        out: &mut Vec<Action>,
    ) {
        let live = self.live.live().clone();
        self.election
            .rank(&live, &self.settings.zone, self.settings.addr);
        out.push(Action::Live(live));
        if self.settings.sync_mode == SyncMode::Peers {
            self.choose_peers(now);
            self.notify(now, from, out);
        }
    }

    fn notify(&mut self, now: Millis, from: Option<SocketAddr>, out: &mut Vec<Action>) {
        if self.settings.sync_mode == SyncMode::Poll {
            return;
        }
        let chosen = self.peers.to_notify(from, &self.detector, &mut self.rng);
        for to in chosen {
            self.exchange(now, to, out);
        }
    }

    pub(super) fn choose_peers(&mut self, now: Millis) {
        if self.settings.sync_mode == SyncMode::Poll {
            return;
        }
        let lists = Lists {
            live: self.live.live(),
            set: self.hold.set().map(|set| &**set),
            seeds: &self.settings.seeds,
            zone: &self.settings.zone,
            own: self.settings.addr,
        };
        self.peers.choose(now, lists, &self.detector, &mut self.rng);
    }

    pub(super) fn refuse(&mut self, digest: &str, error: Error, out: &mut Vec<Action>) {
        if self.hold.refuse(digest, &error) {
            self.report(error.code, error.detail, out);
        }
    }

    pub(super) fn report(&mut self, code: Code, detail: String, out: &mut Vec<Action>) {
        out.push(Action::Report { code, detail });
    }
}

fn stamp_of(notice: &Notice) -> Stamp {
    Stamp {
        revision: notice.revision,
        digest: notice.digest.clone(),
    }
}
