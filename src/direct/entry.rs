//! The entry on a prepared machine: takes requests of callers, keeps what sends
//! need to know, and records how requests end.

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

use crate::direct::crash_guard::CrashGuard;
use crate::direct::decision_log::Kind;
use crate::direct::entry_gossip;
use crate::direct::gossip::Gossip;
use crate::direct::gossip::Hooks;
use crate::direct::inbound;
use crate::direct::inbound::InboundRequest;
use crate::direct::node::Node;
use crate::direct::node::Stop;
use crate::direct::replication;
use crate::direct::send;
use crate::direct::send::Attempts;
use crate::gate::Progress;
use crate::gate::Signatures;
use crate::member::peers::Role;
use crate::member::registry::Registration;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client::Client;
use crate::net::client::Limits;
use crate::net::memory::Class;
use crate::net::rt;
use crate::net::server;
use crate::once::Fingerprint;
use crate::platform::headers;
use crate::platform::headers::Reply;
use crate::prelude::*;
use crate::retry::Refusal;
use crate::retry::Refusals;
use crate::retry::Returns;
use crate::retry::WindowBudget;
use crate::retry::returns;
use crate::retry::returns::Refused;
use crate::route::admission::Admission;
use crate::route::admission::Offer;
use crate::route::admission::Standing;
use crate::route::estimate::Estimates;
use crate::route::estimate::Forecast;
use crate::route::placement::Call;
use crate::route::placement::Placer;
use crate::route::profile::RequestProfile;
use crate::route::recovery::Outcome;
use crate::route::target::Target;
use crate::util;
use crate::util::lock;

/// Time after SIGTERM in which connections are still accepted: the balancer stops
/// sending them after two failed readiness checks, a second apart.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Time before the end of a stopping process at which each request must have its answer, so
/// that it is still written.
const ANSWER_MARGIN: Millis = Millis(200);

/// Time before the kill that follows a stop at which the process ends, with
/// requests still running or not.
const STOP_MARGIN: Millis = Millis(500);

/// Timeout for connecting to an upstream: one that can be reached answers within
/// a few milliseconds, and a lost SYN is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Longest idle time after which a connection to an upstream is used again.
const IDLE_AGE: Duration = Duration::from_secs(3);

/// Most idle connections that are kept to one upstream.
const MAX_IDLE: usize = 24;

/// Time before the expiry of a version from which answers from it are logged.
const EXPIRY_NOTICE: Millis = Millis(1_000);

/// State of the entry process.
pub struct Entry {
    /// Identity, settings, peers and view of the cluster.
    pub node: Node,
    /// Load and state of the upstreams, by which requests are placed.
    placer: Mutex<Placer>,
    /// Budgets of repeated sends, by pool.
    retry_budgets: Mutex<IndexMap<String, WindowBudget>>,
    /// Requests that crash upstreams.
    pub(super) crashes: CrashGuard,
    /// Clients with their idle connections, by address.
    clients: Mutex<IndexMap<SocketAddr, Arc<Client>>>,
    /// Refused requests whose callers may send them again.
    pub(super) refusals: Mutex<Refusals>,
    /// Requests offered and admitted, here and at the other entries of the zone.
    pub(super) admission: Mutex<Admission>,
    /// Callers that were told when to return.
    returns: Mutex<Returns>,
    /// What was learned of the cost of requests.
    pub(super) estimates: Mutex<Estimates>,
}

/// What is known of the caller of a request that is being sent.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// Hash of the name of the pool.
    pool: u64,
    /// Time left until the objective when the request arrived, in milliseconds.
    slack: f64,
    /// Time left until the caller gives up when the request arrived, in milliseconds.
    time_left: f64,
    /// When the request arrived.
    since: Millis,
}

/// A call to an upstream that the placement counts as in progress until this is
/// dropped.
pub struct CallGuard {
    entry: Arc<Entry>,
    call: Key<Call>,
    sent: Millis,
    outcome: Outcome,
    progress: Progress,
}

impl CallGuard {
    /// Records the head of an answer.
    pub fn record_head(&mut self) {
        self.progress = Progress::Head;
    }

    /// Records the first event of a stream, or a whole answer.
    pub fn record_first(&mut self, request: &Signatures) {
        self.progress = Progress::Event;
        let now = self.entry.node.now();
        self.entry.crashes.record_answer(now, request);
        self.entry.placer().on_begun(now, self.call);
    }

    /// Records an event that is passed on.
    pub fn record_event(&self) {
        let now = self.entry.node.now();
        self.entry.placer().on_event(now, self.call);
    }

    /// Sets the forecast of the output, of which the caller has `events` events.
    pub fn set_forecast(&self, forecast: Forecast, events: u64, profile: &RequestProfile) {
        let stride = {
            let cluster = self.entry.node.cluster();
            let pool = cluster.routing().and_then(|r| r.pool(&profile.pool));
            let engine = pool.and_then(|p| p.engine.as_deref());
            engine.map_or(0.0, |e| e.stride)
        };
        let written = events as f64 * stride;
        self.entry
            .placer()
            .set_forecast(self.call, forecast, written);
    }

    /// Records what the headers of an answer say of the upstream: that it is leaving,
    /// wants no requests for some time, or only some a second.
    pub fn record_headers(&self, reply: &Reply) {
        let now = self.entry.node.now();
        let log = self.entry.node.log();
        let rate = reply.rate_limit;
        let upstream = self.entry.placer().on_rate_limit(now, self.call, rate);
        upstream.inspect(|id| log.rate_limit(now, id, rate, "answer"));
        if let Some(left) = reply.cold_left {
            let upstream = self.entry.placer().on_cold_answer(now, self.call, left);
            upstream.inspect(|id| log.cold(now, id, "answer"));
        }
        if let Some(span) = reply.back_off {
            let upstream = self.entry.placer().on_back_off(now, self.call, span);
            upstream.inspect(|id| log.back_off(now, id, span));
        }
        if reply.leaving {
            let upstream = self.entry.placer().on_leaving(self.call);
            upstream.inspect(|id| log.leaving(now, id));
        }
    }

    /// Sets how the call ends; without it the call counts as dropped.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let now = self.entry.node.now();
        self.entry.placer().on_ended(now, self.call, self.outcome);
    }
}

impl Entry {
    /// Creates an entry that knows no configuration or upstreams yet.
    pub fn new(node: Node) -> Arc<Entry> {
        let seed = node.started() ^ util::stable_hash([node.settings().name.as_str()]);
        let mut placer = Placer::new(&node.settings().zone, seed);
        placer.set_zones(&node.settings().zones);
        let entry = Arc::new(Entry {
            placer: Mutex::new(placer),
            retry_budgets: Mutex::default(),
            crashes: CrashGuard::new(node.clone()),
            clients: Mutex::default(),
            refusals: Mutex::default(),
            admission: Mutex::default(),
            returns: Mutex::default(),
            estimates: Mutex::default(),
            node,
        });
        // Other entries are added with the first datagrams.
        let settings = entry.node.settings();
        let own = (settings.name.clone(), settings.zone.clone());
        let (now, name) = (entry.node.now(), own.0.clone());
        drop(settings);
        entry.placer().set_sharers(now, &name, [own]);
        let held = Arc::downgrade(&entry);
        entry.node.on_change(move |now, cluster| {
            let (Some(entry), Some(routing)) = (held.upgrade(), cluster.routing()) else {
                return;
            };
            let bound = entry.node.settings().rollout_bound;
            let mut placer = entry.placer();
            placer.set_evacuated(&cluster.evacuations);
            placer.set_members(cluster.members.values(), routing);
            placer.set_versions(cluster.versions.clone(), bound);
            let bounds = entry.node.settings().cold_bounds;
            let turned = placer.set_cold(now, cluster.members.values(), routing, bounds);
            let log = entry.node.log();
            turned
                .iter()
                .for_each(|id| log.cold(now, id, "registration"));
        });
        entry
    }

    /// Locks and returns the placement of requests.
    pub fn placer(&self) -> MutexGuard<'_, Placer> {
        lock(&self.placer)
    }

    /// Returns the client of an upstream; its idle connections are kept by address.
    pub fn client(&self, upstream: &Registration) -> Arc<Client> {
        let mut clients = lock(&self.clients);
        let client = clients.entry(upstream.addr).or_insert_with(|| {
            let limits = Limits {
                connect_timeout: CONNECT_TIMEOUT,
                max_idle: MAX_IDLE,
                max_idle_age: IDLE_AGE,
            };
            Arc::new(Client::with_limits(upstream.addr, limits))
        });
        client.clone()
    }

    /// Returns the version that an upstream answers from, or the oldest that may
    /// answer when that is not known.
    pub fn serving_version(&self, now: Millis, target: Key<Target>, model: &str) -> u64 {
        let bound = self.node.settings().rollout_bound;
        let least = self
            .node
            .cluster()
            .versions
            .oldest_allowed(now, bound, model);
        let placer = self.placer();
        let held = placer.get(target).and_then(|t| t.version(now, model));
        held.unwrap_or(least)
    }

    /// Returns for how long a request may still wait at an upstream with the version
    /// `held`, which must not begin to answer once a newer one has replaced it for
    /// its bound; none for the newest.
    pub fn version_left(&self, now: Millis, model: &str, held: u64) -> Option<Millis> {
        let bound = self.node.settings().rollout_bound;
        let cluster = self.node.cluster();
        let expiry = cluster.versions.cancel_at(bound, model, held);
        expiry.map(|at| at.since(now))
    }

    /// Returns the id of an upstream for the log; empty when it is gone.
    pub fn upstream_id(&self, target: Key<Target>) -> String {
        let placer = self.placer();
        placer
            .get(target)
            .map_or_else(String::new, |t| t.registration.id.clone())
    }

    /// Counts a call as sent; `predicted` is the time to its first event or answer in
    /// milliseconds.
    pub fn start_call(
        self: &Arc<Entry>,
        now: Millis,
        target: Key<Target>,
        profile: &RequestProfile,
        predicted: f64,
    ) -> CallGuard {
        let call = self.placer().on_sent(now, target, profile, predicted);
        CallGuard {
            entry: self.clone(),
            call,
            sent: now,
            outcome: Outcome::Dropped,
            progress: Progress::Sent,
        }
    }

    /// Returns the time that a caller has lost at earlier attempts which entries
    /// refused; 0 for a first attempt.
    pub fn time_lost(
        &self,
        fingerprint: &Fingerprint,
        arrived: Millis,
        patience: Option<Millis>,
    ) -> Millis {
        let Some(patience) = patience else {
            return Millis(0);
        };
        let first = lock(&self.refusals)
            .first_arrival(short_fingerprint(fingerprint), arrived.plus(patience));
        first.map_or(Millis(0), |first| arrived.since(first))
    }

    /// Remembers a request that got no answer, as its caller may send it again.
    fn remember_refusal(&self, now: Millis, inbound: &InboundRequest) {
        let Some(patience) = inbound.call.time_left else {
            return;
        };
        let refused = Refusal {
            fingerprint: short_fingerprint(&inbound.fingerprint),
            first_arrival: inbound.arrived.since(inbound.time_lost),
            deadline: inbound.arrived.plus(patience),
        };
        lock(&self.refusals).record(now, refused);
    }

    /// Counts a request, unless it is a later attempt, and returns its standing.
    pub fn count_offered(&self, offer: &Offer) -> Standing {
        lock(&self.admission).on_offered(self.node.now(), offer)
    }

    /// Counts a request by its weight as sent to an upstream.
    pub fn count_placed(&self, inbound: &InboundRequest) {
        let weight = inbound.profile.size.weight();
        lock(&self.admission).on_admitted(self.node.now(), inbound.kind, weight);
    }

    /// Counts a request for the budget of repeated sends.
    fn count_request(&self, now: Millis, pool: &str) {
        self.with_budget(pool, |budget| budget.on_request(now));
    }

    /// Takes one repeated send from the pool's budget; false when it is used up.
    pub fn take_repeat(&self, now: Millis, pool: &str) -> bool {
        let entries = 1 + self.node.peers().with_role(Role::Entry).count();
        self.with_budget(pool, |budget| budget.spend(now, entries))
    }

    /// Returns true when the pool's budget allows a repeated send now.
    pub fn may_repeat(&self, now: Millis, pool: &str) -> bool {
        let entries = 1 + self.node.peers().with_role(Role::Entry).count();
        self.with_budget(pool, |budget| budget.allows(now, entries))
    }

    /// Calls `act` with the budget of repeated sends of a pool.
    fn with_budget<T>(&self, pool: &str, act: impl FnOnce(&mut WindowBudget) -> T) -> T {
        let settings = self.node.settings();
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(pool.to_string()).or_insert_with(|| {
            WindowBudget::new(
                settings.retry_window,
                settings.retry_ratio,
                settings.retry_slack,
            )
        });
        act(budget)
    }

    /// Records a call whose upstream ended the connection.
    pub fn record_lost(&self, inbound: &InboundRequest, target: Key<Target>, call: &CallGuard) {
        let upstream = self.upstream_id(target);
        let (now, progress) = (self.node.now(), call.progress);
        self.crashes
            .record_lost(now, call.sent, inbound, &upstream, progress);
    }

    /// Records an upstream at whose address no process listens.
    pub fn record_refused(&self, target: Key<Target>) {
        let upstream = self.upstream_id(target);
        let now = self.node.now();
        self.crashes
            .record_end(now, now, &upstream, "refused connection");
    }

    /// Records a request whose answer is passed on whole.
    pub fn record_answer(&self, inbound: &InboundRequest, attempts: &Attempts, status: StatusCode) {
        let now = self.node.now();
        self.crashes.record_finish(now, &inbound.signatures);
        self.node.metrics().outcome(Metric::RequestTotal, None);
        if self.node.log().admits(now, Kind::Answered) {
            info!(self.node.log().logger(), "route: request answered";
                "request" => &inbound.call.id, "route" => &inbound.route.name, "status" => status.as_u16(),
                "sends" => attempts.sends, "age_ms" => now.since(inbound.arrived).0,
                "elapsed_ms" => inbound.time_lost.0);
        }
    }

    /// Records a stream that ended whole: `first` is the time to its first event, and
    /// `pause` the longest between two events.
    pub fn record_stream(
        &self,
        inbound: &InboundRequest,
        attempts: &Attempts,
        first: Millis,
        pause: Millis,
    ) {
        let now = self.node.now();
        self.crashes.record_finish(now, &inbound.signatures);
        self.node.metrics().outcome(Metric::RequestTotal, None);
        self.node.metrics().time(Metric::StreamFirst, first);
        self.node.metrics().time(Metric::StreamPause, pause);
        let is_late =
            first > inbound.route.objective || inbound.route.gap_target.is_some_and(|p| pause > p);
        let kind = if is_late { Kind::Late } else { Kind::Answered };
        if self.node.log().admits(now, kind) {
            info!(self.node.log().logger(), "route: stream answered";
                "request" => &inbound.call.id, "route" => &inbound.route.name, "late" => is_late,
                "first_ms" => first.0, "predicted_ms" => attempts.predicted as u64, "pause_ms" => pause.0,
                "state" => &attempts.state,
                "sends" => attempts.sends, "age_ms" => now.since(inbound.arrived).0);
        }
    }

    /// Records the version that a stream is made from, at its first event.
    ///
    /// Only versions that have expired or are about to are logged.
    pub fn record_version(
        &self,
        inbound: &InboundRequest,
        target: Key<Target>,
        version: Option<u64>,
    ) {
        let (Some(version), Some(model)) = (version, &inbound.profile.model) else {
            return;
        };
        let now = self.node.now();
        let bound = self.node.settings().rollout_bound;
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
                "request" => &inbound.call.id, "upstream" => self.upstream_id(target), "version" => version,
                "left_ms" => expiry.0 as i64 - now.0 as i64, "age_ms" => now.since(inbound.arrived).0);
        }
    }

    /// Records a caller that disconnected during a stream, after the event `last`.
    pub fn record_disconnect(&self, inbound: &InboundRequest, last: Option<u64>) {
        let now = self.node.now();
        let metrics = self.node.metrics();
        metrics.outcome(Metric::RequestTotal, Some(Code::Cancelled));
        if self.node.log().admits(now, Kind::Left) {
            info!(self.node.log().logger(), "route: caller left its stream";
                "request" => &inbound.call.id, "route" => &inbound.route.name, "after" => last,
                "age_ms" => now.since(inbound.arrived).0);
        }
    }

    /// Records a request that ends with an error of the entry.
    pub fn record_failure(&self, inbound: &InboundRequest, attempts: &Attempts, error: &Error) {
        let now = self.node.now();
        self.remember_refusal(now, inbound);
        let metrics = self.node.metrics();
        metrics.outcome(Metric::RequestTotal, Some(error.code));
        let is_refusal = attempts.sends == 0;
        let kind = if is_refusal {
            Kind::Refused
        } else {
            Kind::Failed
        };
        if self.node.log().admits(now, kind) {
            let version = self.node.cluster().routing().map_or(0, |r| r.version());
            info!(self.node.log().logger(), "route: request not answered";
                "request" => &inbound.call.id, "route" => &inbound.route.name, "pool" => &inbound.profile.pool,
                "run" => error.run.as_str(), "sends" => attempts.sends, "config" => version,
                "age_ms" => now.since(inbound.arrived).0, "patience_ms" => inbound.profile.time_left,
                "elapsed_ms" => inbound.time_lost.0, error);
        }
    }

    /// Answers one request of a caller.
    async fn handle(self: Arc<Entry>, request: Request<Incoming>) -> Response<BoxBody> {
        let id = headers::decode_caller(request.headers()).id;
        // hyper ignores Content-Length when a request is also chunked. A proxy in
        // front may have gone by the length and put another request there
        // (request smuggling), so nothing is read after a chunked body.
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut response = match inbound::accept(&self, request).await {
            Ok(inbound) => self.clone().send(inbound).await,
            Err(error) => {
                self.record_refusal(&id, &error);
                failure_response(&id, &error, self.plan_return(&error, None))
            }
        };
        if is_chunked || self.node.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Sends a request to upstreams.
    async fn send(self: Arc<Entry>, inbound: InboundRequest) -> Response<BoxBody> {
        let now = self.node.now();
        if let Some(error) = self.refuse_late(now, &inbound) {
            self.record_refusal(&inbound.call.id, &error);
            let retry = self.plan_return(&error, None);
            return failure_response(&inbound.call.id, &error, retry);
        }
        self.count_request(now, &inbound.profile.pool);
        let id = inbound.call.id.clone();
        let waiting = Waiting {
            pool: inbound.kind.pool,
            slack: inbound.profile.slack_ms.unwrap_or(0.0),
            time_left: inbound.profile.time_left,
            since: inbound.arrived,
        };
        match send::serve(&self, inbound).await {
            Ok(response) => response,
            Err(error) => {
                let retry = self.plan_return(&error, Some(waiting));
                failure_response(&id, &error, retry)
            }
        }
    }

    /// Returns the time after which the caller of a refused request should retry.
    fn plan_return(&self, error: &Error, waiting: Option<Waiting>) -> Option<Millis> {
        let after = error.retry?;
        let now = self.node.now();
        let spent = waiting.map_or(0.0, |w| now.since(w.since).0 as f64);
        // Without an upstream, the load says nothing about when there is one.
        let pool = waiting
            .filter(|_| error.code == Code::Overloaded)
            .map(|w| lock(&self.admission).pool_state(now, w.pool));
        let refused = Refused {
            pool: pool.unwrap_or_default(),
            after,
            patience: waiting.map(|w| w.time_left - spent),
            timely: returns::timely_return(waiting.map_or(0.0, |w| w.slack - spent)),
        };
        let mut rng = fastrand::Rng::new();
        Some(lock(&self.returns).plan(now, &refused, &mut rng))
    }

    /// Returns when a request must have its answer: by its deadline, and before this process
    /// ends.
    pub fn answer_by(&self, inbound: &InboundRequest) -> Millis {
        let stop = self.node.stop_times();
        stop.map_or(inbound.deadline, |stop| stop.ends_at.min(inbound.deadline))
    }

    /// Returns the error for a request that arrives late in a planned stop, when this process
    /// may end before it is answered. Other entries take it at once.
    fn refuse_late(&self, now: Millis, inbound: &InboundRequest) -> Option<Error> {
        let stop = self.node.stop_times()?;
        let is_late = now >= stop.closes_at && inbound.deadline > stop.ends_at;
        is_late.then(|| {
            let detail = format!("this process ends in {} ms", stop.ends_at.since(now).0);
            Error::new(Code::EntryLeaving, detail).with_retry(Millis(0))
        })
    }

    /// Records a request that is refused before it is matched or read, or as the process stops.
    fn record_refusal(&self, id: &str, error: &Error) {
        let now = self.node.now();
        let metrics = self.node.metrics();
        metrics.outcome(Metric::RequestTotal, Some(error.code));
        if self.node.log().admits(now, Kind::Refused) {
            let version = self.node.cluster().routing().map_or(0, |r| r.version());
            info!(self.node.log().logger(), "route: request refused";
                "request" => id, "config" => version, error);
        }
    }

    /// Returns true when the balancer may send callers here.
    fn is_ready(&self) -> bool {
        let cluster = self.node.cluster();
        cluster.routing().is_some() && !self.node.is_stopping()
    }

    /// Returns the state for operators, as JSON.
    fn dump(&self) -> Value {
        let now = self.node.now();
        let cluster = self.node.cluster();
        let placer = self.placer();
        let upstreams: Vec<Value> = placer.iter().map(|(_, target)| target.dump(now)).collect();
        let peers = self.node.peers();
        let peers: Vec<Value> = peers
            .iter()
            .map(|p| json!({"name": p.name, "zone": p.zone, "era": p.position.era, "revision": p.position.revision, "age_ms": now.since(p.last_heard).0}))
            .collect();
        json!({
            "name": self.node.settings().name,
            "config": cluster.routing().map_or(0, |r| r.version()),
            "era": cluster.replica.position().era,
            "revision": cluster.replica.revision(),
            "evacuated": cluster.evacuations.iter().collect::<Vec<_>>(),
            "running": placer.in_flight(),
            "upstreams": upstreams,
            "peers": peers,
        })
    }

    /// Serves until a message comes on `stop` or its sender is dropped, then drains.
    pub async fn run_until(self: Arc<Entry>, stop: Receiver<()>) -> Result<()> {
        let settings = self.node.settings();
        let (callers, ready) = settings.callers.zip(settings.ready).ok_or_else(|| {
            Error::new(
                Code::SettingsField,
                "no address for callers or readiness checks",
            )
        })?;
        let (behind, wake) = channel::bounded(1);
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
            rt::spawn(replication::follow_peers(self.node.clone(), wake)),
        ]);
        // All servers but the one for callers run until the process ends.
        let (_open, never) = channel::bounded::<()>(1);
        let mut listeners = vec![self.node.internal_addr(settings.ip)];
        listeners.extend(settings.control);
        listeners.push(metrics_addr(&self.node));
        for addr in listeners {
            let entry = self.clone();
            let answer = move |request: Request<Incoming>| {
                let entry = entry.clone();
                async move { entry.handle_internal(&request) }
            };
            let listener = server::bind(addr)?;
            tasks.push(rt::spawn(server::serve(
                listener,
                server_limits(&self.node),
                never.clone(),
                answer,
            )));
        }
        let entry = self.clone();
        let answer = move |_: Request<Incoming>| {
            let is_ready = entry.is_ready();
            async move { readiness_response(is_ready) }
        };
        let listener = server::bind(ready)?;
        tasks.push(rt::spawn(server::serve(
            listener,
            server_limits(&self.node),
            never.clone(),
            answer,
        )));
        self.serve_callers(callers, &stop).await?;
        drop(tasks);
        Ok(())
    }

    /// Serves callers until told to stop. Then connections are accepted a little
    /// longer, and running requests get the rest of the grace time to end.
    async fn serve_callers(self: &Arc<Entry>, addr: SocketAddr, stop: &Receiver<()>) -> Result<()> {
        let (close, closed) = channel::bounded::<()>(1);
        let entry = self.clone();
        let answer = move |request: Request<Incoming>| entry.clone().handle(request);
        let limits = server::Limits {
            class: Class::Callers,
            ..server_limits(&self.node)
        };
        let serving = rt::spawn(server::serve(server::bind(addr)?, limits, closed, answer));
        info!(self.node.log().logger(), "process: serving"; "addr" => addr.to_string());
        let _ = stop.recv().await;
        let stopped_at = self.node.now();
        let grace = self.node.settings().grace.since(STOP_MARGIN);
        self.node.stop(Stop {
            closes_at: stopped_at.plus(Millis(BALANCER_DELAY.as_millis() as u64)),
            ends_at: stopped_at.plus(grace.since(ANSWER_MARGIN)),
        });
        info!(self.node.log().logger(), "process: stopping"; "running" => self.placer().in_flight());
        smol::Timer::after(BALANCER_DELAY).await;
        drop(close);
        let left = stopped_at.plus(grace).since(self.node.now()).duration();
        let late = async {
            smol::Timer::after(left).await;
        };
        smol::future::or(serving, late).await;
        info!(self.node.log().logger(), "process: stopped"; "running" => self.placer().in_flight());
        Ok(())
    }

    /// Returns the metrics as text, with gauges set from the present state.
    fn metrics(&self) -> String {
        let now = self.node.now();
        let version = self.node.cluster().routing().map_or(0, |r| r.version());
        let (open, limited, cold, running) = {
            let placer = self.placer();
            let open = placer.iter().filter(|(_, t)| t.is_open(now)).count();
            (open, placer.limited(), placer.cold(now), placer.in_flight())
        };
        let metrics = self.node.metrics();
        metrics.set(Metric::TableRevision, version);
        let evacuated = self.node.cluster().evacuations.iter().count();
        metrics.set(Metric::ZoneEvacuated, evacuated as u64);
        metrics.set(Metric::UpstreamOpen, open as u64);
        metrics.set(Metric::UpstreamLimited, limited as u64);
        metrics.set(Metric::UpstreamCold, cold as u64);
        metrics.set(Metric::CrashBlocked, self.crashes.blocked() as u64);
        metrics.set(Metric::RequestRunning, running as u64);
        let shares = lock(&self.admission).rank_shares(now);
        for (rank, share) in shares {
            let percent = (share * 100.0).round() as u64;
            metrics.set_tagged(Metric::AdmissionShare, &rank.to_string(), percent);
        }
        let backlog = lock(&self.returns).backlog(now);
        metrics.set(Metric::ReturnBacklog, backlog as u64);
        metrics.set(Metric::Uptime, now.since(Millis(self.node.started())).0);
        self.node.memory().set_gauges();
        metrics.text()
    }

    /// Answers a peer or an operator on an internal port.
    fn handle_internal(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        match request.uri().path() {
            replication::PATH => replication::answer_peer(&self.node, request),
            "/metrics" => Response::new(body::full(self.metrics())),
            "/dump" => Response::new(body::full(format!("{:#}\n", self.dump()))),
            _ => status_only(StatusCode::NOT_FOUND),
        }
    }
}

/// Returns the address on which metrics are served: a port of the internal range.
pub fn metrics_addr(node: &Node) -> SocketAddr {
    /// Position of the port in the range, as deploy/system.toml has it.
    const OFFSET: u16 = 12;
    let settings = node.settings();
    SocketAddr::new(settings.ip, settings.ports.0 + OFFSET)
}

/// Returns the limits of the HTTP servers on a prepared machine.
pub fn server_limits(node: &Node) -> server::Limits {
    /// Time until a whole head must have been read. It also ends idle connections:
    /// callers use a connection again within the operator's idle time.
    const HEAD_OR_IDLE: Duration = Duration::from_secs(20);
    server::Limits {
        head_timeout: HEAD_OR_IDLE,
        allow_http2: false,
        memory: node.memory().clone(),
        class: Class::Internal,
    }
}

/// Returns the answer to the balancer's readiness check.
fn readiness_response(is_ready: bool) -> Response<BoxBody> {
    if is_ready {
        Response::new(body::full(""))
    } else {
        status_only(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Returns the first eight bytes of a fingerprint, enough to tell apart the few
/// thousand requests of some seconds.
fn short_fingerprint(fingerprint: &Fingerprint) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&fingerprint[..8]);
    u64::from_be_bytes(bytes)
}

/// Returns a response with this status and no body.
pub fn status_only(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    response
}

/// Returns the response for an error of the entry; `retry` is the time after which the
/// caller should retry.
///
/// Callers take 408, 421, 429 and 503 as a promise that the request was not run, so
/// these become 502 unless that is certain.
fn failure_response(id: &str, error: &Error, retry: Option<Millis>) -> Response<BoxBody> {
    // Callers here take no other status for a request that was not run.
    let status = match error.code {
        Code::RequestBlocked => 503,
        code => code.status(),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let means_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let status = if means_not_run && error.run != Run::NotRun {
        StatusCode::BAD_GATEWAY
    } else {
        status
    };
    let retry = retry.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let mut response = Response::new(body::full(format!("{error}\n")));
    *response.status_mut() = status;
    *response.headers_mut() = headers::failure_headers(id, retry);
    let must_close = matches!(error.code, Code::RequestMalformed | Code::BodyTooLarge);
    if must_close {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
