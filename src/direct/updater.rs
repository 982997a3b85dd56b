//! Keeps the runner of this VM at the wanted version of its weights.
//!
//! Pulls the pieces of a version from the origin or from other agents, writes them
//! to the runner's stage, and orders the runner to load when its turn has come.
//! Serves the pieces to other agents meanwhile.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use event_listener::Event;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use prost::Message;
use slog::info;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::direct::decision_log::Kind;
use crate::direct::entry::status_only;
use crate::direct::node::Node;
use crate::direct::wire::DigestsDoc;
use crate::member::peers::Role;
use crate::member::registry;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::net::client::Client;
use crate::net::rt;
use crate::platform::runner::OrderOutcome;
use crate::platform::runner::Report;
use crate::platform::runner::Runner;
use crate::platform::weights::Origin;
use crate::prelude::*;
use crate::rollout::pieces::Group;
use crate::rollout::pieces::Holder;
use crate::rollout::pieces::PieceDigests;
use crate::rollout::pieces::Pieces;
use crate::rollout::pieces::Pull;
use crate::rollout::pieces::Source;
use crate::rollout::precedence::Held;
use crate::rollout::reload::Reload;
use crate::rollout::reload::RunnerState;
use crate::rollout::uplink::Uplink;
use crate::util;
use crate::util::lock;

/// Path on the internal port where other agents pull pieces.
pub const PATH: &str = "/piece";

/// Path on the internal port where peers ask for the digests of a version.
pub const DIGESTS_PATH: &str = "/digests";

/// Longest time for which a pull by a peer waits here until the piece has arrived.
const MAX_WAIT_FOR_PIECE: Duration = Duration::from_millis(1_000);

/// Longest time for which a peer that asks for digests waits here until they are known.
const MAX_WAIT_FOR_DIGESTS: Duration = Duration::from_millis(400);

/// Timeout of such a call.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest answer with digests, in bytes.
const MAX_DIGESTS: usize = 4 << 20;

/// Timeout of a pull from a peer: its wait there and the transfer over a slow link.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval at which the runner's report is read: its pace changes many times a
/// second, and calls within the machine are not charged.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time that a check of the staged pieces may take before an order to
/// load: pieces that were read early may be corrupted meanwhile.
const MAX_CHECK_TIME: Millis = Millis(1_200);

/// Largest piece that is read when the configuration states no length, in bytes.
const MAX_PIECE: usize = 8 << 20;

/// Least time between two reads of digests.
const DIGESTS_INTERVAL: Millis = Millis(250);

/// Number of pieces with a wrong digest after which the digests are read again.
const MAX_WRONG_PIECES: u32 = 6;

/// Versions that are pulled, the stage, and the state of the runner.
#[derive(Default)]
struct Progress {
    /// Last report of the runner and its time; none while it does not answer.
    report: Option<(Millis, Report)>,
    /// When connections to the runner were last refused after it had answered, and its id.
    ended: Option<(Millis, String)>,
    /// True from the runner's last answer until connections to it are refused.
    is_up: bool,
    /// Pieces of the newest version whose digests have been read.
    newest: Option<Pieces>,
    /// Pieces of the version before; [`Held`] says when they are pulled too.
    previous: Option<Pieces>,
    /// What the runner holds.
    held: Held,
    /// Version that is being staged, and the pieces of it on the stage.
    staged: (u64, indexmap::IndexSet<u32>),
    /// When digests were last asked for.
    digests_at: Millis,
    /// Version whose digests were asked for last, and how many times.
    digest_tries: (u64, u32),
    /// Pieces with a wrong digest since the digests were read.
    wrong: u32,
    /// Decides when to order a load.
    reload: Reload,
    /// When the runner is to be ordered to load the newest version; none while it
    /// holds that or none at all.
    load_at: Option<Millis>,
    /// Version that the runner holds and of which the stage had every piece when
    /// this process or the runner started.
    found_version: Option<u64>,
    /// True once the stage has been checked for that.
    stage_checked: bool,
}

impl Progress {
    /// Returns the version that is staged now.
    fn target(&self, now: Millis) -> Option<&Pieces> {
        let newest = self.newest.as_ref()?;
        match &self.previous {
            Some(previous) if self.held.prefers(now, previous, newest) => Some(previous),
            _ => Some(newest),
        }
    }

    /// Returns the versions of which pieces may be pulled now.
    fn pulled(&self, now: Millis) -> Vec<u64> {
        let Some(newest) = &self.newest else {
            return Vec::new();
        };
        let previous = self.previous.as_ref();
        let previous = previous.filter(|p| self.held.keeps_pulling(now, p, newest));
        let pulled = previous.into_iter().chain([newest]);
        let pulled = pulled.filter(|p| p.can_pull());
        pulled.map(|p| p.digests().version).collect()
    }

    /// Returns the pieces of a version.
    fn pieces_of(&self, version: u64) -> Option<&Pieces> {
        let known = self.newest.iter().chain(self.previous.iter());
        let mut known = known.filter(|p| p.digests().version == version);
        known.next()
    }

    /// Returns the pieces of a version, to change them.
    fn pieces_of_mut(&mut self, version: u64) -> Option<&mut Pieces> {
        let known = self.newest.iter_mut().chain(self.previous.iter_mut());
        let mut known = known.filter(|p| p.digests().version == version);
        known.next()
    }

    /// Starts to stage `version`, unless it is being staged already.
    fn set_staged(&mut self, version: u64) {
        if self.staged.0 != version {
            self.staged = (version, indexmap::IndexSet::new());
        }
    }
}

/// Keeps one runner at the wanted version.
pub struct WeightUpdater {
    node: Node,
    runner: Runner,
    addr: SocketAddr,
    progress: Mutex<Progress>,
    /// Notified when a piece arrives.
    arrived: Event,
    /// Pace of the uploads to other agents.
    uplink: Mutex<Uplink>,
    /// Version that each other agent can serve whole, and when it said so.
    peer_versions: Mutex<IndexMap<String, (u64, Millis)>>,
}

/// Result of a pull.
struct Pulled {
    index: u32,
    source: Source,
    version: u64,
    bytes: Result<Bytes>,
}

impl WeightUpdater {
    /// Creates an updater of the runner at `addr`.
    pub fn new(node: Node, addr: SocketAddr) -> WeightUpdater {
        WeightUpdater {
            node,
            runner: Runner::new(addr),
            addr,
            progress: Mutex::default(),
            arrived: Event::new(),
            uplink: Mutex::default(),
            peer_versions: Mutex::default(),
        }
    }

    /// Returns the id of the runner's newest registration; none when it has none.
    pub fn runner_id(&self) -> Option<String> {
        let pool = self.node.settings().pool.clone();
        let cluster = self.node.cluster();
        let own = cluster
            .members
            .values()
            .filter(|m| m.addr == self.addr && (pool.is_empty() || m.pool == pool));
        own.max_by_key(|m| m.started).map(|m| m.id.clone())
    }

    /// Returns the last report of the runner and its time; none while it does not
    /// answer.
    pub fn report(&self) -> Option<(Millis, Report)> {
        lock(&self.progress).report.clone()
    }

    /// Returns when the runner last ended and its id, if that was shortly before.
    pub fn last_end(&self, now: Millis) -> Option<(Millis, String)> {
        /// Time for which other processes are told of the end.
        const SPAN: Millis = Millis(1_500);
        let ended = lock(&self.progress).ended.clone();
        ended.filter(|(at, _)| now.since(*at) < SPAN)
    }

    /// Returns the model that the runner is to hold and its number of layers.
    pub fn model(&self) -> Option<(String, u32)> {
        let settings = self.node.settings();
        let routing = self.node.cluster().routing().cloned()?;
        let pool = routing.pool(&settings.pool)?;
        let engine = pool.engine.as_ref()?;
        let held = lock(&self.progress)
            .report
            .as_ref()
            .and_then(|(_, r)| r.holdings.first().map(|h| h.model.clone()));
        let known = |name: &String| engine.models.iter().any(|m| m.name == *name);
        let name = held
            .filter(known)
            .or_else(|| engine.models.first().map(|m| m.name.clone()))?;
        Some((name, engine.layers))
    }

    /// Returns when the runner is to be ordered to load the newest version; none while
    /// it holds that or none at all.
    pub fn next_load(&self) -> Option<Millis> {
        lock(&self.progress).load_at
    }

    /// Returns the newest version of which every piece can be served; 0 for none.
    pub fn complete_version(&self) -> u64 {
        let progress = lock(&self.progress);
        let known = progress.newest.iter().chain(progress.previous.iter());
        let whole = known
            .filter(|p| p.is_complete())
            .map(|p| p.digests().version);
        whole.max().or(progress.found_version).unwrap_or(0)
    }

    /// Notes the version of which another agent can serve every piece.
    pub fn set_peer_version(&self, now: Millis, name: &str, complete: u64) {
        lock(&self.peer_versions).insert(name.to_string(), (complete, now));
    }

    /// Runs the update loop until the task is dropped.
    pub async fn run(self: Arc<WeightUpdater>) {
        let (sender, receiver) = channel::unbounded();
        loop {
            self.read_report().await;
            self.advance(&sender).await;
            self.take_results(&receiver).await;
        }
    }

    /// Reads the runner's report, and notices when the runner has been restarted.
    async fn read_report(&self) {
        let report = self.runner.report().await;
        let now = self.node.now();
        let id = self.runner_id().unwrap_or_default();
        let mut progress = lock(&self.progress);
        match report {
            Ok(report) => {
                let last_start = progress.report.as_ref().map(|(_, r)| r.started);
                if last_start.is_some_and(|started| started != report.started) {
                    info!(self.node.log().logger(), "load: runner was restarted"; "born" => report.started);
                    progress.reload = Reload::default();
                    progress.stage_checked = false;
                }
                progress.report = Some((now, report));
                progress.is_up = true;
            }
            Err(error) => {
                if error.code == Code::ConnectionRefused && progress.is_up {
                    progress.is_up = false;
                    progress.ended = Some((now, id));
                }
                if progress.report.take().is_some() {
                    info!(self.node.log().logger(), "load: runner does not answer"; &error);
                }
            }
        }
    }

    /// Waits for up to one interval and takes the results of pulls.
    async fn take_results(&self, receiver: &Receiver<Pulled>) {
        let late = async {
            smol::Timer::after(REPORT_INTERVAL).await;
            None
        };
        let first = async { receiver.recv().await.ok() }.or(late).await;
        let Some(first) = first else {
            return;
        };
        self.take_piece(first).await;
        while let Ok(next) = receiver.try_recv() {
            self.take_piece(next).await;
        }
    }

    /// Keeps and stages a piece whose digest is right; records a failed pull.
    async fn take_piece(&self, pulled: Pulled) {
        let now = self.node.now();
        let index = pulled.index;
        let accepted = {
            let mut progress = lock(&self.progress);
            let Some(pieces) = progress.pieces_of_mut(pulled.version) else {
                return;
            };
            match pulled.bytes {
                Ok(bytes) if pieces.matches(index, &bytes) => {
                    let metrics = self.node.metrics();
                    metrics.count(Metric::WeightsPulled, bytes.len() as u64);
                    pieces.insert(now, index, bytes.clone());
                    if pieces.is_complete() {
                        info!(self.node.log().logger(), "rollout: version complete";
                            "version" => pulled.version, "took_ms" => pieces.elapsed(now).0);
                    }
                    Ok(bytes)
                }
                Ok(_) => {
                    pieces.source_failed(now, index);
                    progress.wrong += 1;
                    Err(Error::new(
                        Code::ChunkCorrupt,
                        "digest of the piece is wrong",
                    ))
                }
                Err(error) if error.code == Code::ChunkMissing => {
                    pieces.source_lacks(now, index);
                    return;
                }
                Err(error) => {
                    pieces.source_failed(now, index);
                    Err(error)
                }
            }
        };
        match accepted {
            Ok(bytes) => {
                self.arrived.notify(usize::MAX);
                let is_target = {
                    let progress = lock(&self.progress);
                    let target = progress.target(now).map(|p| p.digests().version);
                    target == Some(pulled.version) && progress.staged.0 == pulled.version
                };
                if is_target {
                    self.stage_piece(index, bytes).await;
                }
            }
            Err(error) => {
                if self.node.log().admits(now, Kind::Weights) {
                    info!(self.node.log().logger(), "rollout: pull failed";
                        "piece" => index, "source" => format!("{:?}", pulled.source),
                        "version" => pulled.version, &error);
                }
            }
        }
    }

    /// Writes a piece to the runner's stage.
    async fn stage_piece(&self, index: u32, bytes: Bytes) {
        let Some((model, _)) = self.model() else {
            return;
        };
        match self.runner.stage(&model, index, bytes).await {
            Ok(()) => {
                lock(&self.progress).staged.1.insert(index);
            }
            Err(error) => {
                info!(self.node.log().logger(), "load: piece could not be staged"; "piece" => index, &error);
            }
        }
    }

    /// Does what is due for the wanted version: digests, pulls, staging, the order.
    async fn advance(&self, sender: &Sender<Pulled>) {
        let Some((model, layers)) = self.model() else {
            return;
        };
        let now = self.node.now();
        let Some((_, report)) = self.report() else {
            return;
        };
        let (wanted, named_at) = self.node.cluster().versions.newest(&model);
        let held = registry::complete_version(&report.holdings, &model, layers);
        let has_other_version = {
            let progress = lock(&self.progress);
            progress
                .newest
                .as_ref()
                .is_some_and(|p| p.digests().version != wanted)
        };
        {
            let load_at = (held.is_some() && held != Some(wanted))
                .then(|| self.turn_at(&model, wanted, named_at, held));
            let bound = self.node.settings().rollout_bound;
            let expires_at = |v| {
                let cluster = self.node.cluster();
                cluster.versions.expires_at(bound, &model, v)
            };
            let expiry = held.and_then(expires_at);
            let mut progress = lock(&self.progress);
            progress.load_at = load_at;
            progress.held = Held {
                version: held,
                expiry,
            };
        }
        if held == Some(wanted) && !has_other_version {
            self.check_found(&model, wanted).await;
            return;
        }
        // While the digests of the newest version cannot be read, the version before
        // is pulled and staged further.
        self.read_digests(now, &model, wanted).await;
        self.start_pulls(now, sender);
        let Some(target) = self.select_staged(now) else {
            return;
        };
        self.stage_missing().await;
        let state = RunnerState {
            held,
            busy: report.busy,
            requests: report.running + report.queued,
        };
        if held.is_none_or(|version| version < target) {
            self.order_load(&model, target, named_at, &state, &report)
                .await;
        }
    }

    /// Returns the version to stage and makes the stage ready for it; none before any
    /// digests are known.
    fn select_staged(&self, now: Millis) -> Option<u64> {
        let mut progress = lock(&self.progress);
        let target = progress.target(now)?.digests().version;
        progress.set_staged(target);
        Some(target)
    }

    /// Checks once whether the stage has all pieces of the version that the runner
    /// holds, so that other agents can pull them.
    async fn check_found(&self, model: &str, version: u64) {
        if std::mem::replace(&mut lock(&self.progress).stage_checked, true) {
            return;
        }
        let Some(count) = self.piece_count() else {
            return;
        };
        match self.runner.staged(model).await {
            Ok(held) if held.len() as u32 >= count => {
                lock(&self.progress).found_version = Some(version);
            }
            Ok(_) => {}
            Err(error) => {
                info!(self.node.log().logger(), "load: stage cannot be read"; &error);
                lock(&self.progress).stage_checked = false;
            }
        }
    }

    /// Returns the number of pieces of a version, from the configuration.
    fn piece_count(&self) -> Option<u32> {
        let settings = self.node.settings();
        let routing = self.node.cluster().routing().cloned()?;
        let pool = routing.pool(&settings.pool)?;
        pool.engine.as_ref().map(|e| e.pieces)
    }

    /// Returns the largest length of a piece, in bytes.
    fn piece_limit(&self) -> usize {
        let settings = self.node.settings();
        let routing = self.node.cluster().routing().cloned();
        let stated = routing.and_then(|routing| {
            let engine = routing.pool(&settings.pool)?.engine.as_ref()?;
            Some(engine.piece_bytes)
        });
        stated.filter(|bytes| *bytes > 0).unwrap_or(MAX_PIECE)
    }

    /// Returns the hash of the own zone, by which pulls name it: a name may not fit in a
    /// query.
    fn zone_hash(&self) -> u64 {
        util::stable_hash([self.node.settings().zone.as_str()])
    }

    /// Returns the rate of the VM's link, in bytes a millisecond.
    fn link_rate(&self) -> f64 {
        // 1 Mbit/s is 125 bytes a millisecond.
        self.node.settings().link_mbps * 125.0
    }

    /// Returns the origin of weights and its zone, from the configuration.
    fn origin(&self) -> Option<(Origin, String)> {
        let routing = self.node.cluster().routing().cloned()?;
        let found = routing.pools().find_map(|p| p.origin.clone())?;
        Some((Origin::new(found.addr), found.zone))
    }

    /// Reads the digests of the wanted version unless they are known and trusted.
    async fn read_digests(&self, now: Millis, model: &str, version: u64) {
        let (has_wrong, tries);
        {
            let mut progress = lock(&self.progress);
            let known = progress.newest.as_ref().map(|p| p.digests().version);
            has_wrong = progress.wrong >= MAX_WRONG_PIECES;
            let is_known = known == Some(version) && !has_wrong;
            let (tried, count) = progress.digest_tries;
            tries = if tried == version { count } else { 0 };
            let pause = if tries == 0 {
                Millis(0)
            } else {
                DIGESTS_INTERVAL
            };
            if is_known || now.since(progress.digests_at) < pause {
                return;
            }
            progress.digests_at = now;
            progress.digest_tries = (version, tries + 1);
        }
        // Digests that do not match the pieces may have been changed on their way.
        let source = if has_wrong {
            Source::Origin
        } else {
            self.group(now, version)
                .digest_source(model, version, tries)
        };
        let outcome = match (self.address(&source), self.origin()) {
            (Some(addr), _) => pull_digests(addr, model, version).await,
            (None, Some((origin, _))) if source == Source::Origin => {
                origin.digests(model, version).await
            }
            _ => Err(Error::new(Code::ChunkMissing, "source is gone")),
        };
        match outcome {
            Ok(digests) => {
                info!(self.node.log().logger(), "rollout: version wanted";
                    "model" => model, "version" => version, "pieces" => digests.pieces.len(),
                    "source" => format!("{source:?}"));
                self.start_version(digests).await;
                self.arrived.notify(usize::MAX);
            }
            Err(error) => {
                info!(self.node.log().logger(), "rollout: digests cannot be read";
                    "version" => version, "source" => format!("{source:?}"), &error);
            }
        }
    }

    /// Starts to pull a version; pieces on the stage with the right digest are kept.
    async fn start_version(&self, digests: PieceDigests) {
        let model = digests.model.clone();
        let now = self.node.now();
        let version = digests.version;
        let mut pieces = Pieces::new(digests, now);
        let mut staged = indexmap::IndexSet::new();
        let listed = self.runner.staged(&model).await.unwrap_or_default();
        let was_loaded = lock(&self.progress).found_version.is_some();
        // If the whole version before is on the stage, none of its pieces is of use.
        // Otherwise this process or the runner was restarted during a rollout, and
        // the stage may have pieces of this version.
        let listed = if was_loaded { Vec::new() } else { listed };
        let limit = self.piece_limit();
        for index in listed {
            if let Ok(Some(bytes)) = self.runner.read_staged(&model, index, limit).await
                && pieces.insert(now, index, bytes)
            {
                staged.insert(index);
            }
        }
        let mut progress = lock(&self.progress);
        let before = progress.newest.replace(pieces);
        progress.previous = before.filter(|p| p.digests().version != version);
        if !staged.is_empty() {
            progress.staged = (version, staged);
        } else if progress.previous.is_none() {
            progress.staged = (version, indexmap::IndexSet::new());
        }
        progress.wrong = 0;
        progress.found_version = None;
    }

    /// Returns the agents that pull from each other, and which of them can serve all
    /// of `version`.
    fn group(&self, now: Millis, version: u64) -> Group {
        /// Time for which the status of an agent still counts when its newer datagrams
        /// have none.
        const EXPIRY: Millis = Millis(2_500);
        let settings = self.node.settings();
        let origin = self.origin().map_or_else(String::new, |(_, zone)| zone);
        let peer_versions = lock(&self.peer_versions);
        let peers = self.node.peers();
        // An agent whose runner does not answer sends no status. It pulls nothing, so
        // others must not wait for pieces from it.
        let others = peers.with_role(Role::Agent).filter_map(|peer| {
            let (complete, at) = peer_versions.get(&peer.name)?;
            let is_newest = *at >= peer.last_heard;
            (is_newest || now.since(*at) < EXPIRY).then(|| Holder {
                name: peer.name.clone(),
                zone: peer.zone.clone(),
                complete: *complete == version,
            })
        });
        Group {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            origin_zone: origin,
            others: others.collect(),
        }
    }

    /// Starts the pulls that are due.
    fn start_pulls(&self, now: Millis, sender: &Sender<Pulled>) {
        let versions = lock(&self.progress).pulled(now);
        for version in versions {
            let group = self.group(now, version);
            let (pulls, model) = {
                let mut progress = lock(&self.progress);
                let Some(pieces) = progress.pieces_of_mut(version) else {
                    continue;
                };
                (
                    pieces.start_pulls(now, &group),
                    pieces.digests().model.clone(),
                )
            };
            for pull in pulls {
                self.start_pull(pull, &model, version, sender.clone());
            }
        }
    }

    /// Returns the address of a source that is a known agent.
    fn address(&self, source: &Source) -> Option<SocketAddr> {
        let Source::Agent(name) = source else {
            return None;
        };
        let peers = self.node.peers();
        let ip = peers.iter().find(|p| p.name == *name).map(|p| p.ip);
        ip.map(|ip| self.node.internal_addr(ip))
    }

    /// Starts one pull; its result goes to `sender`.
    fn start_pull(&self, pull: Pull, model: &str, version: u64, sender: Sender<Pulled>) {
        let (index, source) = (pull.index, pull.source);
        let model = model.to_string();
        let address = self.address(&source);
        let origin = self.origin();
        let zone = self.zone_hash();
        let limit = self.piece_limit();
        rt::spawn(async move {
            let bytes = match (&source, address, origin) {
                (Source::Origin, _, Some((origin, _))) => {
                    origin.piece(&model, version, index, limit).await
                }
                (Source::Agent(_), Some(addr), _) => {
                    pull_from_peer(addr, &model, version, index, limit, zone).await
                }
                _ => Err(Error::new(Code::ChunkMissing, "source is gone")),
            };
            // The receiver is dropped only when the process ends.
            let _ = sender
                .send(Pulled {
                    index,
                    source,
                    version,
                    bytes,
                })
                .await;
        })
        .detach();
    }

    /// Stages the pieces that have arrived but are not on the stage.
    async fn stage_missing(&self) {
        let missing: Vec<(u32, Bytes)> = {
            let progress = lock(&self.progress);
            let Some(pieces) = progress.pieces_of(progress.staged.0) else {
                return;
            };
            let count = pieces.digests().pieces.len() as u32;
            let unstaged = (0..count).filter(|i| !progress.staged.1.contains(i));
            unstaged
                .filter_map(|i| pieces.get(i).map(|b| (i, b.clone())))
                .collect()
        };
        for (index, bytes) in missing {
            self.stage_piece(index, bytes).await;
        }
    }

    /// Orders the runner to load `wanted`, when all of it is staged, the turn has come
    /// and every staged piece has been read back as right.
    async fn order_load(
        &self,
        model: &str,
        wanted: u64,
        named_at: Millis,
        state: &RunnerState,
        report: &Report,
    ) {
        let is_staged = {
            let progress = lock(&self.progress);
            let (version, staged) = &progress.staged;
            let pieces = progress.pieces_of(*version).filter(|_| *version == wanted);
            pieces.is_some_and(|p| p.is_complete() && staged.len() == p.digests().pieces.len())
        };
        if !is_staged {
            return;
        }
        let turn = self.turn_at(model, wanted, named_at, state.held);
        let now = self.node.now();
        if !lock(&self.progress).reload.is_due(now, turn, wanted, state) {
            return;
        }
        if !self.check_stage(model).await {
            return;
        }
        let checked = self.node.now();
        if checked.since(now) > MAX_CHECK_TIME {
            // The check took too long to rely on; it is made again.
            return;
        }
        lock(&self.progress).reload.record_order(checked, wanted);
        let order = self.runner.load(model, wanted, report.orders).await;
        let log = self.node.log().logger();
        match order {
            Ok(OrderOutcome::Refused(status)) => {
                info!(log, "load: order refused"; "version" => wanted, "status" => status, "orders" => report.orders);
            }
            Ok(order) => {
                info!(log, "load: runner ordered to load"; "model" => model, "version" => wanted,
                    "before" => state.held, "calls" => state.requests, "order" => format!("{order:?}"),
                    "turn_ms" => turn.since(named_at).0, "age_ms" => checked.since(named_at).0);
            }
            Err(error) => {
                info!(log, "load: order was not answered"; "version" => wanted, &error);
            }
        }
    }

    /// Returns the time of this runner's turn to load among the upstreams of its pool.
    fn turn_at(&self, model: &str, wanted: u64, named_at: Millis, held: Option<u64>) -> Millis {
        let settings = self.node.settings();
        let own = self.runner_id().unwrap_or_default();
        let cluster = self.node.cluster();
        let pool: Vec<&str> = cluster
            .members
            .values()
            .filter(|m| m.pool == settings.pool && !m.draining)
            .map(|m| m.id.as_str())
            .collect();
        let expiry = held.and_then(|v| {
            cluster
                .versions
                .expires_at(settings.rollout_bound, model, v)
        });
        let bound = expiry.map_or(settings.rollout_bound, |at| at.since(named_at));
        Reload::turn_at(named_at, bound, wanted, &own, &pool)
    }

    /// Reads every staged piece back and writes those again that are corrupted;
    /// returns true when all were right.
    async fn check_stage(&self, model: &str) -> bool {
        let (version, count) = {
            let progress = lock(&self.progress);
            match progress.pieces_of(progress.staged.0) {
                Some(pieces) => (progress.staged.0, pieces.digests().pieces.len() as u32),
                None => return false,
            }
        };
        let mut all_right = true;
        let limit = self.piece_limit();
        for index in 0..count {
            let bytes = match self.runner.read_staged(model, index, limit).await {
                Ok(bytes) => bytes.unwrap_or_default(),
                Err(error) => {
                    info!(self.node.log().logger(), "load: stage cannot be read"; &error);
                    return false;
                }
            };
            let replacement = {
                let progress = lock(&self.progress);
                let Some(pieces) = progress
                    .pieces_of(version)
                    .filter(|_| progress.staged.0 == version)
                else {
                    return false;
                };
                if pieces.matches(index, &bytes) {
                    None
                } else {
                    pieces.get(index).cloned()
                }
            };
            if let Some(bytes) = replacement {
                info!(self.node.log().logger(), "load: staged piece is corrupted and is staged again"; "piece" => index);
                lock(&self.progress).staged.1.swap_remove(&index);
                self.stage_piece(index, bytes).await;
                // The piece must be read back before the order.
                all_right = false;
            }
        }
        all_right
    }

    /// Answers a peer that pulls a piece: 404 when it has not arrived in time.
    pub async fn answer_piece(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        let Some((model, version, index)) = parse_query(request.uri().query().unwrap_or_default())
        else {
            return status_only(StatusCode::BAD_REQUEST);
        };
        let held = self.arrived_piece(version, index);
        let bytes = match held {
            Some(bytes) => Some(bytes),
            None if lock(&self.progress).found_version == Some(version) => {
                self.read_from_stage(&model, index).await
            }
            None => {
                let find = || self.arrived_piece(version, index);
                self.wait_for(MAX_WAIT_FOR_PIECE, find).await
            }
        };
        let Some(bytes) = bytes else {
            return status_only(StatusCode::NOT_FOUND);
        };
        let zone = parameter(request.uri().query().unwrap_or_default(), "zone");
        let zone = zone.and_then(|text| text.parse().ok());
        let is_far = zone.is_some_and(|zone: u64| zone != self.zone_hash());
        self.await_upload(bytes.len(), is_far).await;
        Response::new(body::full(bytes))
    }

    /// Answers a peer that asks for the digests of a version: 404 when they have not
    /// arrived in time.
    pub async fn answer_digests(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        let query = request.uri().query().unwrap_or_default();
        let version = parameter(query, "version").and_then(|text| text.parse().ok());
        let (Some(model), Some(version)) = (parameter(query, "model"), version) else {
            return status_only(StatusCode::BAD_REQUEST);
        };
        let known = || {
            let progress = lock(&self.progress);
            let digests = progress.pieces_of(version)?.digests();
            (digests.model == model).then(|| DigestsDoc::new(digests))
        };
        match self.wait_for(MAX_WAIT_FOR_DIGESTS, known).await {
            Some(doc) => Response::new(body::full(doc.encode_to_vec())),
            None => status_only(StatusCode::NOT_FOUND),
        }
    }

    /// Waits until the rate limit of uploads allows one of `length` bytes; `is_far` when
    /// it goes to another zone.
    async fn await_upload(&self, length: usize, is_far: bool) {
        let now = self.node.now();
        let start = lock(&self.uplink).admit(now, length, self.link_rate(), is_far);
        smol::Timer::after(start.since(now).duration()).await;
    }

    /// Returns a piece that has been pulled.
    fn arrived_piece(&self, version: u64, index: u32) -> Option<Bytes> {
        lock(&self.progress).pieces_of(version)?.get(index).cloned()
    }

    /// Reads a piece from the stage; the agent that pulls it checks its digest.
    async fn read_from_stage(&self, model: &str, index: u32) -> Option<Bytes> {
        let limit = self.piece_limit();
        match self.runner.read_staged(model, index, limit).await {
            Ok(bytes) => bytes,
            Err(error) => {
                info!(self.node.log().logger(), "load: stage cannot be read"; &error);
                None
            }
        }
    }

    /// Waits for at most `limit` until `find` finds what it looks for.
    async fn wait_for<T>(&self, limit: Duration, find: impl Fn() -> Option<T>) -> Option<T> {
        let late = async {
            smol::Timer::after(limit).await;
            None
        };
        let arrival = async {
            loop {
                let arrived = self.arrived.listen();
                if let Some(found) = find() {
                    return Some(found);
                }
                arrived.await;
            }
        };
        arrival.or(late).await
    }
}

/// Parses the query of a pull into model, version and index of the piece.
fn parse_query(text: &str) -> Option<(String, u64, u32)> {
    Some((
        parameter(text, "model")?.to_string(),
        parameter(text, "version")?.parse().ok()?,
        parameter(text, "index")?.parse().ok()?,
    ))
}

/// Returns the value of a parameter in the query of a pull.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Asks another agent for the digests of a version.
async fn pull_digests(addr: SocketAddr, model: &str, version: u64) -> Result<PieceDigests> {
    let path = format!("{DIGESTS_PATH}?model={model}&version={version}");
    let bytes = get_from_peer(addr, &path, MAX_DIGESTS, DIGESTS_TIMEOUT).await?;
    let doc =
        DigestsDoc::decode(bytes).map_err(|e| Error::new(Code::ManifestCorrupt, e.to_string()))?;
    doc.to_digests(model, version)
}

/// Pulls a piece from another agent; `zone` is the hash of the own zone.
async fn pull_from_peer(
    addr: SocketAddr,
    model: &str,
    version: u64,
    index: u32,
    limit: usize,
    zone: u64,
) -> Result<Bytes> {
    let path = format!("{PATH}?model={model}&version={version}&index={index}&zone={zone}");
    get_from_peer(addr, &path, limit, PULL_TIMEOUT).await
}

/// Reads an answer of at most `limit` bytes from another agent; fails with
/// [`Code::ChunkMissing`] for any status but 200.
async fn get_from_peer(
    addr: SocketAddr,
    path: &str,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes> {
    let peer = Client::new(addr);
    let request = Request::get(path)
        .header("host", addr.to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let call = client::exchange(&peer, request, limit);
    let (status, bytes) = client::timeout(timeout, Code::SourceStalled, call).await?;
    if status != StatusCode::OK {
        return Err(Error::new(Code::ChunkMissing, format!("status {status}")));
    }
    Ok(bytes)
}
