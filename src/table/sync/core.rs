//! The decisions of one process about its tables, live list and peers.

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
use crate::table::sync::peers::OpenExchange;
use crate::table::sync::peers::PeerSources;
use crate::table::sync::peers::Peers;
use crate::table::sync::stale::Stale;
use crate::table::sync::start::EMPTY_INTERVAL;
use crate::table::sync::start::Start;
use crate::table::sync::watch::KeyWatch;
use crate::time::Millis;

/// State machine of one process: takes events and ticks, returns actions.
pub struct Core {
    pub(super) settings: Settings,
    pub(super) rng: fastrand::Rng,
    /// Number of the next action that has an answer.
    pub(super) next_call: u64,
    /// Table set in force.
    pub(super) active: ActiveSet,
    /// Live list in use.
    pub(super) live: ActiveLive,
    /// Queries at the platform, by `ConfigKey`.
    pub(super) watches: [KeyWatch; 3],
    /// Texts of routes and pools as last read from the platform.
    pub(super) texts: [Option<Arc<str>>; 2],
    /// Digest of the pair of texts that was last parsed.
    pub(super) last_digest: Option<String>,
    /// Why the pair at the platform is incomplete, if only one table of a set has
    /// been published.
    pub(super) incomplete: Option<String>,
    /// Last stamp that was reported for its lower revision.
    pub(super) last_lower: Option<Stamp>,
    pub(super) detector: FailureDetector,
    pub(super) election: Election,
    pub(super) peers: Peers,
    /// Fetches from peers, by `FetchKind`.
    pub(super) fetches: [Fetches; 2],
    pub(super) start: Start,
    pub(super) stale: Option<Stale>,
    pub(super) last_tick: Option<Millis>,
    /// When a peer last called or answered.
    pub(super) last_heard: Millis,
    /// When the platform is read next if no peer calls or answers.
    pub(super) next_isolated_read: Millis,
    pub(super) counters: Counters,
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core")
            .field("addr", &self.settings.addr)
            .field("in_force", &self.active.stamp())
            .finish_non_exhaustive()
    }
}

impl Core {
    /// Creates the core of a process that starts without tables.
    pub fn new(settings: Settings, rng: fastrand::Rng) -> Core {
        Core {
            settings,
            rng,
            next_call: 1,
            active: ActiveSet::default(),
            live: ActiveLive::default(),
            watches: ConfigKey::ALL.map(KeyWatch::new),
            texts: [None, None],
            last_digest: None,
            incomplete: None,
            last_lower: None,
            detector: FailureDetector::default(),
            election: Election::default(),
            peers: Peers::default(),
            fetches: [Fetches::default(), Fetches::default()],
            start: Start::default(),
            stale: None,
            last_tick: None,
            last_heard: Millis(0),
            next_isolated_read: Millis(0),
            counters: Counters::default(),
        }
    }

    /// Handles an event and appends the actions that follow to `out`.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.check_pause(now, out);
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

    /// Handles timeouts and everything that is due. To be called every
    /// [`super::TICK`].
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.check_pause(now, out);
        self.last_tick = Some(now);
        if self.start.began_at.is_none() {
            self.begin_start(now, out);
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
        self.start_due_reads(now, out);
    }

    /// Chooses peers, starts rounds of anti-entropy and probes of readers, and
    /// reads the platform when no peer answers.
    fn peer_tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.peers.is_choice_due(now) {
            self.choose_peers(now);
        }
        let interval = if self.active.set().is_some() {
            ANTI_ENTROPY
        } else {
            EMPTY_INTERVAL
        };
        if let Some(to) = self.peers.round_peer(now, interval, &mut self.rng) {
            self.exchange(now, to, out);
        }
        let probe = self.election.probe(now, &self.detector, &mut self.rng);
        if let Some(to) = probe {
            self.exchange(now, to, out);
        }
        self.isolated_tick(now);
    }

    /// Returns the notice that this process sends to peers: the stamps of what it
    /// holds.
    pub fn notice(&self) -> Notice {
        let stamp = self.active.stamp();
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

    /// Returns the reply to a fetch by a peer that holds `base`.
    pub fn reply(&mut self, kind: FetchKind, base: &Stamp) -> Arc<FetchReply> {
        match kind {
            FetchKind::Tables => self.active.reply(base),
            FetchKind::Live => self.live.reply(base),
        }
    }

    /// Returns the set in force; `None` before the first.
    pub fn set(&self) -> Option<&Arc<TableSet>> {
        self.active.set()
    }

    /// Returns the stamp of the set in force; the default when there is none.
    pub fn stamp(&self) -> Stamp {
        self.active.stamp()
    }

    /// Returns the live list in use; empty before the first.
    pub fn live(&self) -> &Arc<Live> {
        self.live.live()
    }

    /// Returns true once the process may serve: it has tables, and the peers asked
    /// at the start have answered or timed out.
    pub fn is_ready(&self) -> bool {
        self.start.ready
    }

    /// Returns the set in force with the refused sets and conflicts.
    pub fn active(&self) -> &ActiveSet {
        &self.active
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Iterates over the peers that may be called.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.all()
    }

    /// Starts an exchange with a process that has a greater revision, as a request
    /// from it showed.
    pub fn ask(&mut self, now: Millis, to: SocketAddr, out: &mut Vec<Action>) {
        self.exchange(now, to, out);
    }

    /// Allocates the number of a call.
    pub(super) fn new_call(&mut self) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        call
    }

    /// Starts an exchange and returns the number of its call. Returns `None` when
    /// one with this peer is open or too many are.
    pub(super) fn exchange(
        &mut self,
        now: Millis,
        to: SocketAddr,
        out: &mut Vec<Action>,
    ) -> Option<u64> {
        let call = self.next_call;
        let open = OpenExchange {
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

    /// Handles an exchange that failed or timed out.
    fn exchange_failed(&mut self, now: Millis, open: OpenExchange) {
        self.start.open_calls.retain(|call| *call != open.call);
        self.detector.on_failure(now, open.to);
        if self.detector.failures(open.to) >= 3 {
            self.peers.mark_changed();
        }
    }

    /// Records that a peer has called or answered.
    pub(super) fn record_progress(&mut self, now: Millis, from: SocketAddr) {
        self.last_heard = now;
        self.detector.on_progress(now, from);
    }

    /// Handles a call of a peer.
    fn on_notice(&mut self, now: Millis, notice: Notice, out: &mut Vec<Action>) {
        let Ok(from) = notice.from.parse() else {
            let detail = format!("sender of a notice is no address: {:?}", notice.from);
            self.report(Code::ProtocolInvalid, detail, out);
            return;
        };
        self.peers.record_caller(from);
        self.record_progress(now, from);
        self.apply_notice(now, from, notice, out);
    }

    /// Handles the end of an exchange that this process began.
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
        self.record_progress(now, from);
        self.start.open_calls.retain(|asked| *asked != call);
        let stamp = notice_stamp(&notice);
        self.apply_notice(now, from, notice, out);
        if let Some(open) = open {
            self.on_refresh(open.sent, stamp);
        }
    }

    /// Fetches what the notice of a peer shows to be greater, and reports a conflict.
    fn apply_notice(
        &mut self,
        now: Millis,
        from: SocketAddr,
        notice: Notice,
        out: &mut Vec<Action>,
    ) {
        let stamp = notice_stamp(&notice);
        if self.active.record_conflict(&stamp) {
            let detail = format!("revision {}: {from} holds {}", stamp.revision, stamp.digest);
            self.report(Code::RevisionConflict, detail, out);
        }
        self.on_peer_stamp(now, FetchKind::Tables, from, stamp, out);
        let live = Stamp {
            revision: notice.live_index,
            digest: notice.live_digest,
        };
        self.on_peer_stamp(now, FetchKind::Live, from, live, out);
    }

    /// Puts a valid set in force if its stamp is greater than that in force.
    pub(super) fn offer(
        &mut self,
        now: Millis,
        set: Arc<TableSet>,
        source: Source,
        out: &mut Vec<Action>,
    ) {
        let stamp = set.stamp.clone();
        let before = self.active.conflict().cloned();
        let outcome = self.active.offer(set.clone());
        let conflict = self.active.conflict().cloned();
        if let Some(conflict) = conflict.filter(|c| Some(c) != before.as_ref()) {
            let detail = format!(
                "revision {}: {} is in force, {} was published too",
                conflict.revision, conflict.in_force, conflict.other
            );
            self.report(Code::RevisionConflict, detail, out);
        }
        match outcome {
            Outcome::Activated => self.on_activated(now, set, source, out),
            Outcome::LowerRevision => self.report_lower(&stamp, "platform", out),
            Outcome::Unchanged | Outcome::SmallerDigest => {}
        }
    }

    /// Handles that a set has come into force: notifies the process and its peers.
    fn on_activated(
        &mut self,
        now: Millis,
        set: Arc<TableSet>,
        source: Source,
        out: &mut Vec<Action>,
    ) {
        assert_eq!(Some(&set.stamp), self.active.set().map(|held| &held.stamp));
        self.start.source.get_or_insert(source);
        self.counters.moves += 1;
        self.peers.mark_changed();
        out.push(Action::InForce(set));
        self.check_stale();
        let from = match source {
            Source::Peer(addr) => Some(addr),
            Source::Platform => None,
        };
        self.notify_peers(now, from, out);
    }

    /// Handles that the live list in use has changed: ranks the processes of the
    /// zone again, and notifies the process and its peers.
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
            self.notify_peers(now, from, out);
        }
    }

    /// Starts exchanges with a few peers after a change that came from `from`.
    fn notify_peers(&mut self, now: Millis, from: Option<SocketAddr>, out: &mut Vec<Action>) {
        if self.settings.sync_mode == SyncMode::Poll {
            return;
        }
        let chosen = self.peers.to_notify(from, &self.detector, &mut self.rng);
        for to in chosen {
            self.exchange(now, to, out);
        }
    }

    /// Chooses peers from the lists that this process has.
    pub(super) fn choose_peers(&mut self, now: Millis) {
        if self.settings.sync_mode == SyncMode::Poll {
            return;
        }
        let sources = PeerSources {
            live: self.live.live(),
            set: self.active.set().map(|set| &**set),
            seeds: &self.settings.seeds,
            zone: &self.settings.zone,
            own: self.settings.addr,
        };
        self.peers
            .choose(now, sources, &self.detector, &mut self.rng);
    }

    /// Records that a set is refused, and reports it the first time.
    pub(super) fn refuse(&mut self, digest: &str, error: Error, out: &mut Vec<Action>) {
        if self.active.refuse(digest, &error) {
            self.report(error.code, error.detail, out);
        }
    }

    /// Adds a fault for the operator to the actions.
    pub(super) fn report(&mut self, code: Code, detail: String, out: &mut Vec<Action>) {
        out.push(Action::Report { code, detail });
    }
}

/// Returns the stamp of the sender's tables.
fn notice_stamp(notice: &Notice) -> Stamp {
    Stamp {
        revision: notice.revision,
        digest: notice.digest.clone(),
    }
}
