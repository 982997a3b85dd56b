//! Brings the pieces of the wanted version to the runner of this VM.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use event_listener::Event;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use slog::info;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::direct::decision_log::Kind;
use crate::direct::entry::status_only;
use crate::direct::node::Node;
use crate::member::peers::Role;
use crate::member::registry;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::net::client::Client;
use crate::net::rt;
use crate::platform::runner::Order;
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
use crate::rollout::reload::Reload;
use crate::rollout::reload::RunnerState;
use crate::util::lock;

/// Path of the pieces on the internal port.
pub const PATH: &str = "/piece";

/// Time for which a peer may hold a pull open until it has the piece.
const HOLD: Duration = Duration::from_millis(1_000);

/// Time for a pull from a peer: the hold and a piece over a narrow link.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Part of the VM's link that pieces may take: the answers of its runner use
/// the same link, and must not queue behind pieces.
const UPLOAD_SHARE: f64 = 0.88;

/// Interval of the loop. The runner's report on its own machine is free, and
/// its pace changes many times a second.
const TICK: Duration = Duration::from_millis(20);

/// Longest age of a check of the staged pieces at an order: they may turn bad.
const CHECK_AGE: Millis = Millis(1_200);

/// Largest piece where the configuration does not state its length, in bytes.
const MAX_PIECE: usize = 8 << 20;

/// Wait after digests could not be read.
const DIGESTS_RETRY: Millis = Millis(250);

/// Wrong contents of pieces after which the digests are doubted.
const MAX_WRONG: u32 = 6;

#[derive(Default)]
struct Work {
    report: Option<(Millis, Report)>,
    /// Pieces of the newest version whose digests are known.
    pieces: Option<Pieces>,
    /// Pieces of the version before, which goes on while the newest is stuck.
    older: Option<Pieces>,
    /// Version that is being staged, and its pieces on the stage.
    staged: (u64, indexmap::IndexSet<u32>),
    digests_at: Millis,
    wrong: u32,
    reload: Reload,
    /// When the runner is to be ordered to load, while a version is on its way.
    turn: Option<Millis>,
    /// Version of which every piece lies on the stage, as found at the start.
    found: Option<u64>,
    looked: bool,
}

impl Work {
    /// The version that is brought to the runner now.
    fn target(&self, now: Millis) -> Option<&Pieces> {
        let newest = self.pieces.as_ref()?;
        match &self.older {
            Some(older) if newest.is_stuck(now) => Some(older),
            _ => Some(newest),
        }
    }

    fn of(&self, version: u64) -> Option<&Pieces> {
        let known = self.pieces.iter().chain(self.older.iter());
        let mut known = known.filter(|p| p.digests().version == version);
        known.next()
    }

    fn of_mut(&mut self, version: u64) -> Option<&mut Pieces> {
        let known = self.pieces.iter_mut().chain(self.older.iter_mut());
        let mut known = known.filter(|p| p.digests().version == version);
        known.next()
    }

    /// Begins to stage `version` unless that is under way.
    fn stage(&mut self, version: u64) {
        if self.staged.0 != version {
            self.staged = (version, indexmap::IndexSet::new());
        }
    }
}

/// Fills one runner.
pub struct WeightUpdater {
    node: Node,
    runner: Runner,
    addr: SocketAddr,
    work: Mutex<Work>,
    /// Told when a piece arrives.
    arrived: Event,
    /// When the link has room for the next piece.
    uploads: Mutex<Millis>,
    holders: Mutex<IndexMap<String, (u64, Millis)>>,
}

/// What a pull brought.
struct Pulled {
    index: u32,
    source: Source,
    version: u64,
    bytes: Result<Bytes>,
}

impl WeightUpdater {
    /// A filler of the runner at `addr`.
    pub fn new(node: Node, addr: SocketAddr) -> WeightUpdater {
        WeightUpdater {
            node,
            runner: Runner::new(addr),
            addr,
            work: Mutex::default(),
            arrived: Event::new(),
            uploads: Mutex::default(),
            holders: Mutex::default(),
        }
    }

    /// Id under which the runner is registered.
    pub fn id(&self) -> Option<String> {
        let pool = self.node.settings().pool.clone();
        let cluster = self.node.cluster();
        let own = cluster
            .members
            .values()
            .filter(|m| m.addr == self.addr && (pool.is_empty() || m.pool == pool));
        own.max_by_key(|m| m.started).map(|m| m.id.clone())
    }

    /// The last report with its time.
    pub fn report(&self) -> Option<(Millis, Report)> {
        lock(&self.work).report.clone()
    }

    /// Model that the runner is to hold, with its layers.
    pub fn model(&self) -> Option<(String, u32)> {
        let settings = self.node.settings();
        let routing = self.node.cluster().routing().cloned()?;
        let pool = routing.pool(&settings.pool)?;
        let engine = pool.engine.as_ref()?;
        let held = lock(&self.work)
            .report
            .as_ref()
            .and_then(|(_, r)| r.holdings.first().map(|h| h.model.clone()));
        let known = |name: &String| engine.models.iter().any(|m| m.name == *name);
        let name = held
            .filter(known)
            .or_else(|| engine.models.first().map(|m| m.name.clone()))?;
        Some((name, engine.layers))
    }

    /// When the runner is to be ordered to load, while a version is on its way.
    pub fn next_turn(&self) -> Option<Millis> {
        lock(&self.work).turn
    }

    /// Version of which every piece can be given.
    pub fn complete(&self) -> u64 {
        let work = lock(&self.work);
        let known = work.pieces.iter().chain(work.older.iter());
        let whole = known
            .filter(|p| p.is_complete())
            .map(|p| p.digests().version);
        whole.max().or(work.found).unwrap_or(0)
    }

    /// Notes what another agent can give.
    pub fn on_holder(&self, now: Millis, name: &str, complete: u64) {
        lock(&self.holders).insert(name.to_string(), (complete, now));
    }

    /// Works until the task is dropped.
    pub async fn run(self: Arc<WeightUpdater>) {
        let (sender, receiver) = channel::unbounded();
        loop {
            self.read_report().await;
            self.work(&sender).await;
            self.collect(&receiver).await;
        }
    }

    async fn read_report(&self) {
        let report = self.runner.report().await;
        let now = self.node.now();
        let mut work = lock(&self.work);
        match report {
            Ok(report) => {
                let was = work.report.as_ref().map(|(_, r)| r.born);
                if was.is_some_and(|born| born != report.born) {
                    info!(self.node.log().logger(), "load: runner started again"; "born" => report.born);
                    work.reload = Reload::default();
                    work.looked = false;
                }
                work.report = Some((now, report));
            }
            Err(error) => {
                if work.report.take().is_some() {
                    info!(self.node.log().logger(), "load: runner does not answer"; &error);
                }
            }
        }
    }

    /// Waits a moment and takes what pulls have brought.
    async fn collect(&self, receiver: &Receiver<Pulled>) {
        let late = async {
            smol::Timer::after(TICK).await;
            None
        };
        let first = async { receiver.recv().await.ok() }.or(late).await;
        let Some(first) = first else {
            return;
        };
        self.take(first).await;
        while let Ok(next) = receiver.try_recv() {
            self.take(next).await;
        }
    }

    async fn take(&self, pulled: Pulled) {
        let now = self.node.now();
        let index = pulled.index;
        let accepted = {
            let mut work = lock(&self.work);
            let Some(pieces) = work.of_mut(pulled.version) else {
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
                    work.wrong += 1;
                    Err(Error::new(Code::ChunkCorrupt, "digest differs"))
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
                    let work = lock(&self.work);
                    let target = work.target(now).map(|p| p.digests().version);
                    target == Some(pulled.version) && work.staged.0 == pulled.version
                };
                if is_target {
                    self.put(index, bytes).await;
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

    async fn put(&self, index: u32, bytes: Bytes) {
        let Some((model, _)) = self.model() else {
            return;
        };
        match self.runner.stage(&model, index, bytes).await {
            Ok(()) => {
                lock(&self.work).staged.1.insert(index);
            }
            Err(error) => {
                info!(self.node.log().logger(), "load: piece was not staged"; "piece" => index, &error);
            }
        }
    }

    async fn work(&self, sender: &Sender<Pulled>) {
        let Some((model, layers)) = self.model() else {
            return;
        };
        let now = self.node.now();
        let Some((_, report)) = self.report() else {
            return;
        };
        let (wanted, seen) = self.node.cluster().versions.newest(&model);
        let held = registry::complete_version(&report.holdings, &model, layers);
        let has_other = {
            let work = lock(&self.work);
            work.pieces
                .as_ref()
                .is_some_and(|p| p.digests().version != wanted)
        };
        lock(&self.work).turn =
            (held.is_some() && held != Some(wanted)).then(|| self.turn(&model, wanted, seen, held));
        if held == Some(wanted) && !has_other {
            self.look(&model, wanted).await;
            return;
        }
        // Without the digests of the newest version, the one before goes on.
        self.want(now, &model, wanted).await;
        self.pull(now, sender);
        let Some(target) = self.begin_stage(now) else {
            return;
        };
        self.restage().await;
        let state = RunnerState {
            held,
            busy: report.busy,
            requests: report.running + report.queued,
        };
        if held.is_none_or(|version| version < target) {
            self.order(&model, target, seen, &state, &report).await;
        }
    }

    /// Makes sure that the stage is for the version to bring to the runner.
    fn begin_stage(&self, now: Millis) -> Option<u64> {
        let mut work = lock(&self.work);
        let target = work.target(now)?.digests().version;
        work.stage(target);
        Some(target)
    }

    /// Looks once whether the stage holds the version that the runner holds.
    async fn look(&self, model: &str, version: u64) {
        if std::mem::replace(&mut lock(&self.work).looked, true) {
            return;
        }
        let Some(count) = self.piece_count() else {
            return;
        };
        match self.runner.staged(model).await {
            Ok(held) if held.len() as u32 >= count => {
                lock(&self.work).found = Some(version);
            }
            Ok(_) => {}
            Err(error) => {
                info!(self.node.log().logger(), "load: stage cannot be read"; &error);
                lock(&self.work).looked = false;
            }
        }
    }

    fn piece_count(&self) -> Option<u32> {
        let settings = self.node.settings();
        let routing = self.node.cluster().routing().cloned()?;
        let pool = routing.pool(&settings.pool)?;
        pool.engine.as_ref().map(|e| e.pieces)
    }

    /// Most bytes that are read of a piece.
    fn piece_limit(&self) -> usize {
        let settings = self.node.settings();
        let routing = self.node.cluster().routing().cloned();
        let stated = routing.and_then(|routing| {
            let engine = routing.pool(&settings.pool)?.engine.as_ref()?;
            Some(engine.piece_bytes)
        });
        stated.filter(|bytes| *bytes > 0).unwrap_or(MAX_PIECE)
    }

    fn origin(&self) -> Option<(Origin, String)> {
        let routing = self.node.cluster().routing().cloned()?;
        let found = routing.pools().find_map(|p| p.origin.clone())?;
        Some((Origin::new(found.addr), found.zone))
    }

    /// Makes sure that the digests of the wanted version are known.
    async fn want(&self, now: Millis, model: &str, version: u64) {
        {
            let mut work = lock(&self.work);
            let known = work.pieces.as_ref().map(|p| p.digests().version);
            let doubted = work.wrong >= MAX_WRONG;
            let is_known = known == Some(version) && !doubted;
            if is_known || now.since(work.digests_at) < DIGESTS_RETRY {
                return;
            }
            work.digests_at = now;
        }
        let Some((origin, _)) = self.origin() else {
            return;
        };
        match origin.digests(model, version).await {
            Ok(digests) => {
                info!(self.node.log().logger(), "rollout: version wanted";
                    "model" => model, "version" => version, "pieces" => digests.pieces.len());
                self.begin(digests).await;
            }
            Err(error) => {
                info!(self.node.log().logger(), "rollout: digests cannot be read"; "version" => version, &error);
            }
        }
    }

    /// Begins with a version: what lies on the stage and is right is kept.
    async fn begin(&self, digests: PieceDigests) {
        let model = digests.model.clone();
        let now = self.node.now();
        let version = digests.version;
        let mut pieces = Pieces::new(digests, now);
        let mut staged = indexmap::IndexSet::new();
        let listed = self.runner.staged(&model).await.unwrap_or_default();
        let was_loaded = lock(&self.work).found.is_some();
        // The stage still holds the version before, unless the process or the
        // runner started again in the middle of a rollout.
        let listed = if was_loaded { Vec::new() } else { listed };
        let limit = self.piece_limit();
        for index in listed {
            if let Ok(Some(bytes)) = self.runner.read_staged(&model, index, limit).await
                && pieces.insert(now, index, bytes)
            {
                staged.insert(index);
            }
        }
        let mut work = lock(&self.work);
        let before = work.pieces.replace(pieces);
        work.older = before.filter(|p| p.digests().version != version);
        if !staged.is_empty() {
            work.staged = (version, staged);
        } else if work.older.is_none() {
            work.staged = (version, indexmap::IndexSet::new());
        }
        work.wrong = 0;
        work.found = None;
    }

    fn group(&self, now: Millis, version: u64) -> Group {
        /// Age at which another agent's word no longer counts.
        const EXPIRY: Millis = Millis(2_500);
        let settings = self.node.settings();
        let origin = self.origin().map_or_else(String::new, |(_, zone)| zone);
        let holders = lock(&self.holders);
        let peers = self.node.peers();
        // An agent whose runner does not answer tells no status; it pulls
        // nothing and must not stand in the tree.
        let others = peers.with_role(Role::Agent).filter_map(|peer| {
            let (complete, at) = holders.get(&peer.name)?;
            (now.since(*at) < EXPIRY).then(|| Holder {
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

    fn pull(&self, now: Millis, sender: &Sender<Pulled>) {
        let versions: Vec<u64> = {
            let work = lock(&self.work);
            let newest = work.pieces.as_ref();
            let is_stuck = newest.is_some_and(|p| p.is_stuck(now));
            let older = work.older.as_ref().filter(|_| is_stuck);
            newest
                .into_iter()
                .chain(older)
                .map(|p| p.digests().version)
                .collect()
        };
        for version in versions {
            let group = self.group(now, version);
            let (pulls, model) = {
                let mut work = lock(&self.work);
                let Some(pieces) = work.of_mut(version) else {
                    continue;
                };
                (
                    pieces.start_pulls(now, &group),
                    pieces.digests().model.clone(),
                )
            };
            for pull in pulls {
                self.start(pull, &model, version, sender.clone());
            }
        }
    }

    fn start(&self, pull: Pull, model: &str, version: u64, sender: Sender<Pulled>) {
        let (index, source) = (pull.index, pull.source);
        let model = model.to_string();
        let address = match &source {
            Source::Origin => None,
            Source::Agent(name) => {
                let peers = self.node.peers();
                let ip = peers.iter().find(|p| p.name == *name).map(|p| p.ip);
                ip.map(|ip| self.node.internal_addr(ip))
            }
        };
        let origin = self.origin();
        let limit = self.piece_limit();
        rt::spawn(async move {
            let bytes = match (&source, address, origin) {
                (Source::Origin, _, Some((origin, _))) => {
                    origin.piece(&model, version, index, limit).await
                }
                (Source::Agent(_), Some(addr), _) => {
                    from_peer(addr, &model, version, index, limit).await
                }
                _ => Err(Error::new(Code::ChunkMissing, "source is gone")),
            };
            // The receiver ends with the process.
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

    /// Stages what is held and not staged yet.
    async fn restage(&self) {
        let missing: Vec<(u32, Bytes)> = {
            let work = lock(&self.work);
            let Some(pieces) = work.of(work.staged.0) else {
                return;
            };
            let count = pieces.digests().pieces.len() as u32;
            let unstaged = (0..count).filter(|i| !work.staged.1.contains(i));
            unstaged
                .filter_map(|i| pieces.get(i).map(|b| (i, b.clone())))
                .collect()
        };
        for (index, bytes) in missing {
            self.put(index, bytes).await;
        }
    }

    async fn order(
        &self,
        model: &str,
        wanted: u64,
        seen: Millis,
        state: &RunnerState,
        report: &Report,
    ) {
        let is_staged = {
            let work = lock(&self.work);
            let (version, staged) = &work.staged;
            let pieces = work.of(*version).filter(|_| *version == wanted);
            pieces.is_some_and(|p| p.is_complete() && staged.len() == p.digests().pieces.len())
        };
        if !is_staged {
            return;
        }
        let turn = self.turn(model, wanted, seen, state.held);
        let now = self.node.now();
        if !lock(&self.work).reload.is_due(now, turn, wanted, state) {
            return;
        }
        if !self.check_stage(model).await {
            return;
        }
        let checked = self.node.now();
        if checked.since(now) > CHECK_AGE {
            // The check took too long to be trusted; it is made again.
            return;
        }
        lock(&self.work).reload.record_order(checked, wanted);
        let order = self.runner.load(model, wanted, report.orders).await;
        let log = self.node.log().logger();
        match order {
            Ok(Order::Refused(status)) => {
                info!(log, "load: order refused"; "version" => wanted, "status" => status, "orders" => report.orders);
            }
            Ok(order) => {
                info!(log, "load: runner ordered to load"; "model" => model, "version" => wanted,
                    "before" => state.held, "calls" => state.requests, "order" => format!("{order:?}"),
                    "turn_ms" => turn.since(seen).0, "age_ms" => checked.since(seen).0);
            }
            Err(error) => {
                info!(log, "load: order has no answer"; "version" => wanted, &error);
            }
        }
    }

    /// Time of the own turn among the upstreams of the pool.
    fn turn(&self, model: &str, wanted: u64, seen: Millis, held: Option<u64>) -> Millis {
        let settings = self.node.settings();
        let own = self.id().unwrap_or_default();
        let cluster = self.node.cluster();
        let pool: Vec<&str> = cluster
            .members
            .values()
            .filter(|m| m.pool == settings.pool && !m.draining)
            .map(|m| m.id.as_str())
            .collect();
        let expiry = held.and_then(|v| cluster.versions.expires_at(settings.rollout, model, v));
        let bound = expiry.map_or(settings.rollout, |at| at.since(seen));
        Reload::turn_at(seen, bound, wanted, &own, &pool)
    }

    /// Reads every staged piece back and mends those that turned bad.
    async fn check_stage(&self, model: &str) -> bool {
        let (version, count) = {
            let work = lock(&self.work);
            match work.of(work.staged.0) {
                Some(pieces) => (work.staged.0, pieces.digests().pieces.len() as u32),
                None => return false,
            }
        };
        let mut good = true;
        let limit = self.piece_limit();
        for index in 0..count {
            let bytes = match self.runner.read_staged(model, index, limit).await {
                Ok(bytes) => bytes.unwrap_or_default(),
                Err(error) => {
                    info!(self.node.log().logger(), "load: stage cannot be read"; &error);
                    return false;
                }
            };
            let mended = {
                let work = lock(&self.work);
                let Some(pieces) = work.of(version).filter(|_| work.staged.0 == version) else {
                    return false;
                };
                if pieces.matches(index, &bytes) {
                    None
                } else {
                    pieces.get(index).cloned()
                }
            };
            if let Some(bytes) = mended {
                info!(self.node.log().logger(), "load: staged piece had turned bad"; "piece" => index);
                lock(&self.work).staged.1.swap_remove(&index);
                self.put(index, bytes).await;
                // Read back once more before the order.
                good = false;
            }
        }
        good
    }

    /// Answers a peer that wants a piece.
    pub async fn answer(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        let Some((model, version, index)) = query(request.uri().query().unwrap_or_default()) else {
            return status_only(StatusCode::BAD_REQUEST);
        };
        let held = self.held(version, index);
        let bytes = match held {
            Some(bytes) => Some(bytes),
            None if lock(&self.work).found == Some(version) => self.lazy(&model, index).await,
            None => self.wait(version, index).await,
        };
        let Some(bytes) = bytes else {
            return status_only(StatusCode::NOT_FOUND);
        };
        self.await_room(bytes.len()).await;
        Response::new(body::full(bytes))
    }

    /// Waits until the link has room for a piece.
    async fn await_room(&self, length: usize) {
        let rate = self.node.settings().link_mbps * 125.0 * UPLOAD_SHARE;
        let span = Millis((length as f64 / rate.max(1.0)) as u64);
        let now = self.node.now();
        let start = {
            let mut next = lock(&self.uploads);
            let start = (*next).max(now);
            *next = start.plus(span);
            start
        };
        smol::Timer::after(start.since(now).duration()).await;
    }

    fn held(&self, version: u64, index: u32) -> Option<Bytes> {
        lock(&self.work).of(version)?.get(index).cloned()
    }

    /// A piece of the version that lies on the stage; the receiver checks it.
    async fn lazy(&self, model: &str, index: u32) -> Option<Bytes> {
        let limit = self.piece_limit();
        match self.runner.read_staged(model, index, limit).await {
            Ok(bytes) => bytes,
            Err(error) => {
                info!(self.node.log().logger(), "load: stage cannot be read"; &error);
                None
            }
        }
    }

    async fn wait(&self, version: u64, index: u32) -> Option<Bytes> {
        let late = async {
            smol::Timer::after(HOLD).await;
            None
        };
        let found = async {
            loop {
                let arrived = self.arrived.listen();
                if let Some(bytes) = self.held(version, index) {
                    return Some(bytes);
                }
                arrived.await;
            }
        };
        found.or(late).await
    }
}

fn query(text: &str) -> Option<(String, u64, u32)> {
    let get = |name: &str| {
        let mut pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    Some((
        get("model")?.to_string(),
        get("version")?.parse().ok()?,
        get("index")?.parse().ok()?,
    ))
}

async fn from_peer(
    addr: SocketAddr,
    model: &str,
    version: u64,
    index: u32,
    limit: usize,
) -> Result<Bytes> {
    let peer = Client::new(addr);
    let request = Request::get(format!(
        "{PATH}?model={model}&version={version}&index={index}"
    ))
    .header("host", addr.to_string())
    .body(body::full(""))
    .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let call = client::exchange(&peer, request, limit);
    let (status, bytes) = client::timeout(PULL_TIMEOUT, Code::SourceStalled, call).await?;
    if status != StatusCode::OK {
        return Err(Error::new(Code::ChunkMissing, format!("status {status}")));
    }
    Ok(bytes)
}
