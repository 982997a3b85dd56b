//! The entry on a prepared machine.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use slog::info;
use smol::channel;
use smol::channel::Receiver;

use crate::direct::decision_log::Kind;
use crate::direct::entry_gossip;
use crate::direct::gossip::Gossip;
use crate::direct::gossip::Hooks;
use crate::direct::inbound;
use crate::direct::inbound::InboundRequest;
use crate::direct::node::Node;
use crate::direct::replication;
use crate::direct::send;
use crate::direct::send::Tried;
use crate::gate::CrashDetector;
use crate::gate::Suspects;
use crate::member::peers::Role;
use crate::member::registry::Registration;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::body::Room;
use crate::net::client::Client;
use crate::net::client::Limits;
use crate::net::rt;
use crate::net::server;
use crate::once::Fingerprint;
use crate::platform::headers;
use crate::platform::headers::Reply;
use crate::prelude::*;
use crate::retry::Refusal;
use crate::retry::Refusals;
use crate::retry::WindowBudget;
use crate::route::placement::Call;
use crate::route::placement::Outcome;
use crate::route::placement::Placer;
use crate::route::placement::RequestProfile;
use crate::route::placement::Target;
use crate::route::size_fairness::SizeFairness;
use crate::table::routing::Route;
use crate::util;
use crate::util::lock;

/// Time after SIGTERM in which the balancer may still send connections: it
/// takes two misses, a second apart, until it stops.
const LINGER: Duration = Duration::from_millis(2_600);

/// Time before the kill at which the process ends, whatever still runs.
const STOP_MARGIN: Millis = Millis(500);

/// Time for connecting to an upstream; one that is reached answers in a few
/// milliseconds, and a lost opening packet comes again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Age up to which an idle connection to an upstream is used again.
const IDLE_AGE: Duration = Duration::from_secs(3);

/// Idle connections kept to one upstream.
const MAX_IDLE: usize = 24;

/// Descriptors that are kept for files and listeners.
const RESERVED: usize = 200;

/// Routes whose sizes are counted; removed ones are forgotten
/// with all others once there are so many.
const MAX_ROUTES: usize = 4_096;

/// Time before the expiry of a version from which answers made from it are logged.
const EXPIRY_NOTICE: Millis = Millis(1_000);

/// Least part of its time that a caller waits after a refusal.
const RETRY_SHARE: f64 = 1.0 / 3.0;

/// Least time after which a refused caller comes back. Nine runners free a
/// place every dozen milliseconds, and a caller that returns soon can still be
/// on time: in `bench place`, 350 ms earns 0.04 less credit while a third of the
/// runners is lost, and no more under any pattern.
const MIN_RETRY: Millis = Millis(120);

/// Memory for answers that are held whole, in bytes. The processes of a machine
/// may have 160 MB together.
const MAX_HELD: usize = 32 << 20;

/// State of an entry.
pub struct Entry {
    /// Identity, beliefs and peers.
    pub node: Node,
    placer: Mutex<Placer>,
    windows: Mutex<IndexMap<String, WindowBudget>>,
    pub(super) suspects: Mutex<Suspects>,
    crash_detector: Mutex<CrashDetector>,
    clients: Mutex<IndexMap<SocketAddr, Arc<Client>>>,
    pub(super) repeats: Mutex<Refusals>,
    sizes: Mutex<IndexMap<String, SizeFairness>>,
    /// Memory for answers that are held whole.
    pub(super) room: Arc<Room>,
}

/// A call as the placement counts it; it ends when this is dropped.
pub struct Flight {
    entry: Arc<Entry>,
    call: Key<Call>,
    outcome: Outcome,
}

impl Flight {
    /// Notes the first event or the answer.
    pub fn begun(&self) {
        let now = self.entry.node.now();
        self.entry.placer().begun(now, self.call);
    }

    /// Takes what the head of the answer says of the upstream itself.
    pub fn heard(&self, reply: &Reply) {
        if !reply.leaving && reply.back_off.is_none() {
            return;
        }
        let now = self.entry.node.now();
        let log = self.entry.node.log();
        if let Some(span) = reply.back_off {
            let learned = self.entry.placer().on_back_off(now, self.call, span);
            learned.inspect(|upstream| log.back_off(now, upstream, span));
        }
        if reply.leaving {
            let learned = self.entry.placer().on_leaving(self.call);
            learned.inspect(|upstream| log.leaving(now, upstream));
        }
    }

    /// Sets how the call ends; without it the call counts as given up.
    pub fn outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.entry.node.now();
        self.entry.placer().ended(now, self.call, self.outcome);
    }
}

impl Entry {
    /// An entry that knows nothing yet.
    pub fn new(node: Node) -> Arc<Entry> {
        let seed = node.started() ^ util::stable_hash([node.settings().name.as_str()]);
        let zone = node.settings().zone.clone();
        let entry = Arc::new(Entry {
            placer: Mutex::new(Placer::new(&zone, seed)),
            windows: Mutex::default(),
            suspects: Mutex::default(),
            crash_detector: Mutex::default(),
            clients: Mutex::default(),
            repeats: Mutex::default(),
            sizes: Mutex::default(),
            room: Room::new(MAX_HELD),
            node,
        });
        let held = Arc::downgrade(&entry);
        entry.node.on_change(move |_, cluster| {
            let (Some(entry), Some(routing)) = (held.upgrade(), cluster.routing()) else {
                return;
            };
            let bound = entry.node.settings().rollout;
            let mut placer = entry.placer();
            placer.set_members(cluster.members.values(), routing);
            placer.set_versions(cluster.versions.clone(), bound);
        });
        entry
    }

    /// Placement of requests.
    pub fn placer(&self) -> MutexGuard<'_, Placer> {
        lock(&self.placer)
    }

    /// Client of an upstream; connections are kept by address.
    pub fn client(&self, upstream: &Registration) -> Arc<Client> {
        let mut clients = lock(&self.clients);
        let client = clients.entry(upstream.addr).or_insert_with(|| {
            let limits = Limits {
                connect: CONNECT_TIMEOUT,
                idle: MAX_IDLE,
                idle_age: IDLE_AGE,
            };
            Arc::new(Client::with_limits(upstream.addr, limits))
        });
        client.clone()
    }

    /// Version that an upstream answers from, or the least that may answer when
    /// that is not known.
    pub fn version(&self, now: Millis, target: Key<Target>, model: &str) -> u64 {
        let bound = self.node.settings().rollout;
        let least = self
            .node
            .cluster()
            .versions
            .oldest_allowed(now, bound, model);
        let placer = self.placer();
        let held = placer.get(target).and_then(|t| t.version(now, model));
        held.unwrap_or(least)
    }

    /// Time for which a request may still wait at an upstream that holds this
    /// version: one that was replaced must not answer after its bound.
    pub fn version_left(&self, now: Millis, model: &str, held: u64) -> Option<Millis> {
        let bound = self.node.settings().rollout;
        let cluster = self.node.cluster();
        let expiry = cluster.versions.cancel_at(bound, model, held);
        expiry.map(|at| at.since(now))
    }

    /// Name of an upstream, for the log.
    pub fn upstream(&self, target: Key<Target>) -> String {
        let placer = self.placer();
        placer
            .get(target)
            .map_or_else(String::new, |t| t.entry.id.clone())
    }

    /// Counts a call that is sent.
    pub fn take_off(
        self: &Arc<Entry>,
        now: Millis,
        target: Key<Target>,
        want: &RequestProfile,
        first: f64,
    ) -> Flight {
        let call = self.placer().sent(now, target, want, first);
        Flight {
            entry: self.clone(),
            call,
            outcome: Outcome::Dropped,
        }
    }

    /// Time that a caller had lost before this attempt.
    pub fn elapsed(
        &self,
        print: &Fingerprint,
        arrived: Millis,
        patience: Option<Millis>,
    ) -> Millis {
        let Some(patience) = patience else {
            return Millis(0);
        };
        let first = lock(&self.repeats).first(short(print), arrived.plus(patience));
        first.map_or(Millis(0), |first| arrived.since(first))
    }

    /// Remembers a request that got no answer; its caller may come again.
    fn may_return(&self, now: Millis, inbound: &InboundRequest) {
        let Some(patience) = inbound.call.patience else {
            return;
        };
        let refused = Refusal {
            print: short(&inbound.print),
            first: inbound.arrived.since(inbound.elapsed),
            deadline: inbound.arrived.plus(patience),
        };
        lock(&self.repeats).refused(now, refused);
    }

    /// Counts a request by its weight, and gives the least weight of the
    /// route's large ones and how much those are preferred.
    pub fn offered(&self, route: &Route, elapsed: Millis, weight: f64, usual: f64) -> (f64, f64) {
        let now = self.node.now();
        let mut sizes = lock(&self.sizes);
        if sizes.len() >= MAX_ROUTES {
            sizes.clear();
        }
        // Not `entry`, which would copy the name for each request.
        if !sizes.contains_key(&route.name) {
            sizes.insert(route.name.clone(), SizeFairness::default());
        }
        let held = &mut sizes[&route.name];
        if elapsed == Millis(0) {
            held.offered(now, weight, usual);
        }
        (held.bound(), held.lean())
    }

    /// Counts a request by its size that got a place.
    pub fn placed(&self, inbound: &InboundRequest) {
        if let Some(sizes) = lock(&self.sizes).get_mut(&inbound.route.name) {
            sizes.placed(inbound.want.size.weight());
        }
    }

    /// Counts a request for the budget of repeated sends.
    fn count(&self, now: Millis, pool: &str) {
        self.window(pool, |window| window.request(now));
    }

    /// Takes one repeated send from the budget.
    pub fn extra(&self, now: Millis, pool: &str) -> bool {
        let entries = 1 + self.node.peers().with_role(Role::Entry).count();
        self.window(pool, |window| window.extra(now, entries))
    }

    /// True when the budget allows a repeated send now.
    pub fn may_repeat(&self, now: Millis, pool: &str) -> bool {
        let entries = 1 + self.node.peers().with_role(Role::Entry).count();
        self.window(pool, |window| window.allows(now, entries))
    }

    fn window<T>(&self, pool: &str, act: impl FnOnce(&mut WindowBudget) -> T) -> T {
        let settings = self.node.settings();
        let mut windows = lock(&self.windows);
        let window = windows.entry(pool.to_string()).or_insert_with(|| {
            WindowBudget::new(
                settings.retry_window,
                settings.retry_ratio,
                settings.retry_slack,
            )
        });
        act(window)
    }

    /// Notes a request whose upstream was lost while it may have run.
    pub fn lost(&self, inbound: &InboundRequest, target: Key<Target>) {
        let now = self.node.now();
        let upstream = self.upstream(target);
        let attempt = util::stable_hash([inbound.call.id.as_str(), upstream.as_str()]);
        let crashed =
            lock(&self.crash_detector).record_loss(now, &upstream, inbound.print, attempt);
        self.crashed(now, &crashed);
    }

    fn crashed(&self, now: Millis, requests: &[(Fingerprint, u64)]) {
        let mut suspects = lock(&self.suspects);
        for (print, attempt) in requests {
            suspects.record_crash(now, *print, *attempt);
        }
    }

    /// Notes a request that was answered.
    pub fn answered(&self, inbound: &InboundRequest, tried: &Tried, status: StatusCode) {
        let now = self.node.now();
        lock(&self.suspects).record_success(now, &inbound.print);
        self.node.metrics().outcome(Metric::RequestTotal, None);
        if self.node.log().admits(now, Kind::Answered) {
            info!(self.node.log().logger(), "route: request answered";
                "request" => &inbound.call.id, "route" => &inbound.route.name, "status" => status.as_u16(),
                "sends" => tried.sends, "age_ms" => now.since(inbound.arrived).0,
                "elapsed_ms" => inbound.elapsed.0);
        }
    }

    /// Notes a stream that ended whole.
    pub fn streamed(&self, inbound: &InboundRequest, tried: &Tried, first: Millis, pause: Millis) {
        let now = self.node.now();
        lock(&self.suspects).record_success(now, &inbound.print);
        self.node.metrics().outcome(Metric::RequestTotal, None);
        self.node.metrics().time(Metric::StreamFirst, first);
        self.node.metrics().time(Metric::StreamPause, pause);
        let is_late =
            first > inbound.route.objective || inbound.route.gap_target.is_some_and(|p| pause > p);
        let kind = if is_late { Kind::Late } else { Kind::Answered };
        if self.node.log().admits(now, kind) {
            info!(self.node.log().logger(), "route: stream answered";
                "request" => &inbound.call.id, "route" => &inbound.route.name, "late" => is_late,
                "first_ms" => first.0, "predicted_ms" => tried.predicted as u64, "pause_ms" => pause.0,
                "state" => &tried.state,
                "sends" => tried.sends, "age_ms" => now.since(inbound.arrived).0);
        }
    }

    /// Notes the first event of a stream, and the version that it was made from.
    ///
    /// Only answers from a version that is about to expire, or has, are logged.
    pub fn began(&self, inbound: &InboundRequest, target: Key<Target>, version: Option<u64>) {
        let (Some(version), Some(model)) = (version, &inbound.want.model) else {
            return;
        };
        let now = self.node.now();
        let bound = self.node.settings().rollout;
        let expiry = self
            .node
            .cluster()
            .versions
            .expires_at(bound, model, version);
        let Some(expiry) = expiry.filter(|at| now.plus(EXPIRY_NOTICE) >= *at) else {
            return;
        };
        if now >= expiry {
            self.node.metrics().count(Metric::VersionExpired, 1);
        }
        if self.node.log().admits(now, Kind::Version) {
            info!(self.node.log().logger(), "rollout: answered from a version that expires";
                "request" => &inbound.call.id, "upstream" => self.upstream(target), "version" => version,
                "left_ms" => expiry.0 as i64 - now.0 as i64, "age_ms" => now.since(inbound.arrived).0);
        }
    }

    /// Notes a caller that left in the middle of a stream.
    pub fn left(&self, inbound: &InboundRequest, last: Option<u64>) {
        let now = self.node.now();
        let metrics = self.node.metrics();
        metrics.outcome(Metric::RequestTotal, Some(Code::Cancelled));
        if self.node.log().admits(now, Kind::Left) {
            info!(self.node.log().logger(), "route: caller left its stream";
                "request" => &inbound.call.id, "route" => &inbound.route.name, "after" => last,
                "age_ms" => now.since(inbound.arrived).0);
        }
    }

    /// Notes a request that ended in a failure of our own.
    pub fn failed(&self, inbound: &InboundRequest, tried: &Tried, error: &Error) {
        let now = self.node.now();
        self.may_return(now, inbound);
        let metrics = self.node.metrics();
        metrics.outcome(Metric::RequestTotal, Some(error.code));
        let is_refusal = tried.sends == 0;
        let kind = if is_refusal {
            Kind::Refused
        } else {
            Kind::Failed
        };
        if self.node.log().admits(now, kind) {
            let version = self.node.cluster().routing().map_or(0, |r| r.version());
            info!(self.node.log().logger(), "route: request not answered";
                "request" => &inbound.call.id, "route" => &inbound.route.name, "pool" => &inbound.want.pool,
                "run" => error.run.as_str(), "sends" => tried.sends, "config" => version,
                "age_ms" => now.since(inbound.arrived).0, "patience_ms" => inbound.want.patience,
                "elapsed_ms" => inbound.elapsed.0, error);
        }
    }

    /// Answers one request of a caller.
    async fn answer(self: Arc<Entry>, request: Request<Incoming>) -> Response<BoxBody> {
        let id = headers::call(request.headers()).id;
        // hyper reads a request with both a length and chunks as chunks and
        // drops the length. Whoever sent it may have meant another end, so
        // nothing after a chunked body is read as a request.
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut response = match inbound::accept(&self, request).await {
            Ok(inbound) => self.clone().run(inbound).await,
            Err(error) => {
                self.refused(&id, &error);
                failure(&id, &error, None)
            }
        };
        if is_chunked || self.node.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn run(self: Arc<Entry>, inbound: InboundRequest) -> Response<BoxBody> {
        let now = self.node.now();
        self.count(now, &inbound.want.pool);
        let id = inbound.call.id.clone();
        let patience = inbound.want.patience;
        if lock(&self.suspects).is_blocked(now, &inbound.print) {
            let error = Error::new(Code::RequestBlocked, "it ran at several crashes");
            self.failed(&inbound, &Tried::default(), &error);
            return blocked(&id, &error);
        }
        match send::serve(&self, inbound).await {
            Ok(response) => response,
            Err(error) => failure(&id, &error, Some(patience)),
        }
    }

    fn refused(&self, id: &str, error: &Error) {
        let now = self.node.now();
        let metrics = self.node.metrics();
        metrics.outcome(Metric::RequestTotal, Some(error.code));
        if self.node.log().admits(now, Kind::Refused) {
            let version = self.node.cluster().routing().map_or(0, |r| r.version());
            info!(self.node.log().logger(), "route: request refused";
                "request" => id, "config" => version, error);
        }
    }

    fn is_ready(&self) -> bool {
        let cluster = self.node.cluster();
        cluster.routing().is_some() && !self.node.is_stopping()
    }

    /// State for operators.
    fn dump(&self) -> Value {
        let now = self.node.now();
        let cluster = self.node.cluster();
        let placer = self.placer();
        let upstreams: Vec<Value> = placer.iter().map(|(_, target)| target.dump(now)).collect();
        let peers = self.node.peers();
        let peers: Vec<Value> = peers
            .iter()
            .map(|p| json!({"name": p.name, "zone": p.zone, "revision": p.revision, "age_ms": now.since(p.last_heard).0}))
            .collect();
        json!({
            "name": self.node.settings().name,
            "config": cluster.routing().map_or(0, |r| r.version()),
            "revision": cluster.replica.revision(),
            "running": placer.in_flight(),
            "upstreams": upstreams,
            "peers": peers,
        })
    }

    /// Serves until told to stop.
    pub async fn run_until(self: Arc<Entry>, stop: Receiver<()>) -> Result<()> {
        let settings = self.node.settings();
        let (callers, ready) = settings
            .callers
            .zip(settings.ready)
            .ok_or_else(|| Error::new(Code::SettingsField, "no address for callers"))?;
        let (behind, token) = channel::bounded(1);
        let (sender, receiver) = (self.clone(), self.clone());
        let hooks = Hooks {
            add: Box::new(move |now, datagram, near| {
                entry_gossip::add_state(&sender, now, datagram, near)
            }),
            receive: Box::new(move |now, datagram| entry_gossip::receive(&receiver, now, datagram)),
        };
        let mut tasks = Gossip::start(self.node.clone(), hooks, behind)?;
        tasks.extend([
            rt::spawn(replication::read_store(self.node.clone())),
            rt::spawn(replication::follow_peers(self.node.clone(), token)),
        ]);
        // Servers beside the one for callers end with the process.
        let (_open, never) = channel::bounded::<()>(1);
        let mut listeners = vec![self.node.internal_addr(settings.ip)];
        listeners.extend(settings.control);
        listeners.push(metrics_addr(&self.node));
        for addr in listeners {
            let entry = self.clone();
            let answer = move |request: Request<Incoming>| {
                let entry = entry.clone();
                async move { entry.internal_answer(&request) }
            };
            let listener = server::bind(addr)?;
            tasks.push(rt::spawn(server::serve(
                listener,
                bounds(),
                never.clone(),
                answer,
            )));
        }
        let entry = self.clone();
        let answer = move |_: Request<Incoming>| {
            let is_ready = entry.is_ready();
            async move { readiness(is_ready) }
        };
        let listener = server::bind(ready)?;
        tasks.push(rt::spawn(server::serve(
            listener,
            bounds(),
            never.clone(),
            answer,
        )));
        self.serve_callers(callers, &stop).await?;
        drop(tasks);
        Ok(())
    }

    async fn serve_callers(self: &Arc<Entry>, addr: SocketAddr, stop: &Receiver<()>) -> Result<()> {
        let (closer, closed) = channel::bounded::<()>(1);
        let entry = self.clone();
        let answer = move |request: Request<Incoming>| entry.clone().answer(request);
        let limits = server::Limits {
            connections: self.node.settings().descriptors.saturating_sub(RESERVED) / 2,
            ..bounds()
        };
        let serving = rt::spawn(server::serve(server::bind(addr)?, limits, closed, answer));
        info!(self.node.log().logger(), "process: serving"; "addr" => addr.to_string());
        let _ = stop.recv().await;
        let began = self.node.now();
        self.node.stop();
        info!(self.node.log().logger(), "process: stopping"; "running" => self.placer().in_flight());
        smol::Timer::after(LINGER).await;
        drop(closer);
        let grace = self.node.settings().grace.since(STOP_MARGIN);
        let left = began.plus(grace).since(self.node.now()).duration();
        let late = async {
            smol::Timer::after(left).await;
        };
        smol::future::or(serving, late).await;
        info!(self.node.log().logger(), "process: stopped"; "running" => self.placer().in_flight());
        Ok(())
    }

    /// Metrics as text; gauges are taken from the state now.
    fn metrics(&self) -> String {
        let now = self.node.now();
        let version = self.node.cluster().routing().map_or(0, |r| r.version());
        let (open, running) = {
            let placer = self.placer();
            let open = placer.iter().filter(|(_, t)| t.is_open(now)).count();
            (open, placer.in_flight())
        };
        let metrics = self.node.metrics();
        metrics.set(Metric::TableRevision, version);
        metrics.set(Metric::UpstreamOpen, open as u64);
        metrics.set(Metric::RequestRunning, running as u64);
        metrics.set(Metric::Uptime, now.since(Millis(self.node.started())).0);
        metrics.text()
    }

    fn internal_answer(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        match request.uri().path() {
            replication::PATH => replication::answer_peer(&self.node, request),
            "/metrics" => Response::new(body::full(self.metrics())),
            "/dump" => Response::new(body::full(format!("{:#}\n", self.dump()))),
            _ => status_only(StatusCode::NOT_FOUND),
        }
    }
}

/// Address on which metrics are served: a port of the internal range.
pub fn metrics_addr(node: &Node) -> SocketAddr {
    /// Place in the range, as deploy/system.toml names it.
    const OFFSET: u16 = 12;
    let settings = node.settings();
    SocketAddr::new(settings.ip, settings.ports.0 + OFFSET)
}

/// Bounds of the servers on a prepared machine.
pub fn bounds() -> server::Limits {
    /// Time without a whole head, which covers idle connections: callers use
    /// a connection again within the idle time that the operator sets.
    const HEAD_OR_IDLE: Duration = Duration::from_secs(20);
    server::Limits {
        head: HEAD_OR_IDLE,
        h2: false,
        ..server::Limits::default()
    }
}

fn readiness(is_ready: bool) -> Response<BoxBody> {
    if is_ready {
        Response::new(body::full(""))
    } else {
        status_only(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Part of a fingerprint that tells the few thousand requests of some seconds apart.
fn short(print: &Fingerprint) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&print[..8]);
    u64::from_be_bytes(bytes)
}

/// An answer without content.
pub fn status_only(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    response
}

/// A failure of our own, with a true word on whether the request ran.
fn failure(id: &str, error: &Error, patience: Option<f64>) -> Response<BoxBody> {
    let status = StatusCode::from_u16(error.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let status = if promises && error.run != Run::NotRun {
        StatusCode::BAD_GATEWAY
    } else {
        status
    };
    let retry = error
        .retry
        .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let retry = retry.map(|after| come_back(after, patience));
    let mut response = Response::new(body::full(format!("{error}\n")));
    *response.status_mut() = status;
    *response.headers_mut() = headers::failure(id, retry);
    let closes = matches!(error.code, Code::RequestMalformed | Code::BodyTooLarge);
    if closes {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// When a refused caller comes back: spread, so that callers that were refused
/// together do not return together, and within the part of their time that
/// callers wait.
fn come_back(after: Millis, patience: Option<f64>) -> Millis {
    let least = after.max(MIN_RETRY).0 as f64;
    let most = patience.map_or(f64::INFINITY, |p| p * RETRY_SHARE);
    Millis((least * (1.0 + fastrand::f64())).min(most) as u64)
}

/// Refusal of a request that crashed upstreams: it was not run this time.
fn blocked(id: &str, error: &Error) -> Response<BoxBody> {
    let mut response = Response::new(body::full(format!("{error}\n")));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    *response.headers_mut() = headers::failure(id, None);
    response
}
