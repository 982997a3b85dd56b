//! The agent: the only process that sends requests to the upstream on its VM.

pub mod admission;
pub mod engine;
pub mod frames;
pub mod load;
pub mod queue;
pub mod rpc;
pub mod serve;
pub mod ticketed;
pub mod transfer;
pub mod turns;
pub mod weights;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::agent::admission::Admission;
use crate::agent::engine::Engine;
use crate::agent::load::Loaded;
use crate::agent::queue::Queue;
use crate::agent::serve::InFlight;
use crate::agent::ticketed::RunningCalls;
use crate::agent::weights::Weights;
use crate::config::AgentSettings;
use crate::gate::drain::HANDOVER_TIME;
use crate::log::Component;
use crate::net::body::BoxBody;
use crate::net::rt;
use crate::net::server;
use crate::node::Node;
use crate::node::admin;
use crate::node::config_service;
use crate::once::Secret;
use crate::prelude::*;
use crate::proto::agent_server::AgentServer;
use crate::proto::peer_server::PeerServer;
use crate::table::doc::Kind;

/// A running agent; clones share it.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Identity, tables and connections of the process.
    pub node: Node,
    /// Settings of this agent.
    pub settings: Arc<AgentSettings>,
    /// Start time in milliseconds with random low bits, by which starts of the agent differ.
    pub incarnation: u64,
    /// Client of the engine or service on this VM.
    pub engine: Arc<Engine>,
    /// Weights that are held or being transferred.
    pub weights: Weights,
    /// Version that the engine has confirmed to be loaded.
    pub loaded: Loaded,
    /// Count of the requests in progress.
    pub in_flight: InFlight,
    /// Admission of requests, ledger of tickets, drain and suspects.
    pub admission: Admission,
    /// Running calls with a ticket, which senders may attach to.
    pub running_calls: RunningCalls,
    /// Key that signs tickets and verifies them.
    pub secret: Secret,
    /// Requests that wait for a slot at the upstream.
    pub queue: Queue,
}

/// Random low bits of an incarnation, so that two starts in one millisecond differ.
const INCARNATION_BITS: u32 = 12;

/// What the tables in force say about this agent.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Name of the pool that lists this agent.
    pub pool: String,
    /// Whether an engine or a plain service is behind the agent.
    pub kind: Kind,
    /// Model that the engine serves.
    pub model: String,
    /// Manifest digest of the version to serve.
    pub digest: String,
    /// Fencing number for orders to the engine: the revision of the tables.
    pub fence: u64,
    /// True when the pools table drains this upstream.
    pub drain: bool,
    /// Time that running requests get when the agent stops, in seconds.
    pub drain_s: u64,
}

impl Agent {
    /// Creates an agent with these settings; [`Agent::run`] starts it.
    pub fn new(settings: AgentSettings, log: slog::Logger) -> Agent {
        let node = Node::new(settings.node.clone(), log);
        let start = node.clock.started().0;
        let random = fastrand::u64(0..1 << INCARNATION_BITS);
        let incarnation = (start << INCARNATION_BITS) | random;
        Agent {
            incarnation,
            admission: Admission::new(&settings, incarnation, node.clock.now()),
            running_calls: RunningCalls::default(),
            secret: Secret::new(&node.settings.secret),
            engine: Arc::new(Engine::new(settings.upstream)),
            weights: Weights::new(&settings, node.channels.clone(), incarnation),
            loaded: Loaded::default(),
            in_flight: InFlight::new(settings.max_running + settings.max_queued),
            queue: Queue::new(&settings),
            settings: Arc::new(settings),
            node,
        }
    }

    /// Returns what the tables in force say about this agent; none when no pool lists it.
    pub fn assignment(&self) -> Option<Assignment> {
        let set = self.node.in_force.get()?;
        let (pool_name, pool, upstream) = set.upstream(&self.node.settings.name)?;
        Some(Assignment {
            pool: pool_name.to_string(),
            kind: pool.kind,
            model: pool.model.clone(),
            digest: pool.digest.clone(),
            fence: set.stamp.revision,
            drain: upstream.drain,
            drain_s: pool.drain_s,
        })
    }

    /// Serves until `stop` closes and running requests have ended.
    pub async fn run(self, stop: Receiver<()>) -> Result<()> {
        let rpc = server::bind(self.node.settings.rpc)?;
        let admin = server::bind(self.node.settings.admin)?;
        let (closer, closed) = channel::bounded::<()>(1);
        let watch = rt::spawn(config_service::watch(self.node.clone()));
        let loader = rt::spawn(load::run(self.clone()));
        let transfer = rt::spawn(self.weights.clone().run());
        let admission = rt::spawn(admission::run(self.clone()));
        let queue = rt::spawn(self.queue.clone().run());
        let admin_task = rt::spawn(self.clone().serve_admin(admin, closed.clone()));
        let rpc_task = rt::spawn(self.clone().serve_rpc(rpc, closed));
        slog::info!(self.node.logger(Component::Process), "agent started"; "rpc" => %self.node.settings.rpc);
        let _ = stop.recv().await;
        self.drain(closer).await;
        let late = async {
            smol::Timer::after(HANDOVER_TIME.duration()).await;
        };
        // A peer that has stopped reading must not delay the exit any longer.
        rpc_task.or(late).await;
        drop((admin_task, loader, transfer, queue, watch, admission));
        Ok(())
    }

    /// Refuses new requests and waits for the running ones, at most for the pool's drain time.
    async fn drain(&self, closer: Sender<()>) {
        self.in_flight.close();
        slog::info!(self.node.logger(Component::Process), "agent draining"; "running" => self.in_flight.running());
        admission::stop(self).await;
        drop(closer);
    }

    /// Serves entries, other agents and peers.
    async fn serve_rpc(self, listener: smol::Async<std::net::TcpListener>, stop: Receiver<()>) {
        let agent = AgentServer::new(rpc::AgentService::new(self.clone()));
        let peer = PeerServer::new(crate::node::peer::PeerService::new(self.node.clone()));
        server::serve(listener, self.node.server_limits(), stop, move |request| {
            let agent = agent.clone();
            let peer = peer.clone();
            async move {
                if request.uri().path().starts_with("/chervilquay.Peer/") {
                    crate::net::rpc::answer(peer, request).await
                } else {
                    crate::net::rpc::answer(agent, request).await
                }
            }
        })
        .await;
    }

    /// Serves operators and the engine.
    async fn serve_admin(self, listener: smol::Async<std::net::TcpListener>, stop: Receiver<()>) {
        server::serve(listener, self.node.server_limits(), stop, move |request| {
            let agent = self.clone();
            async move { agent.answer_admin(&request) }
        })
        .await;
    }

    /// Answers operators, and the engine when it reads its weights.
    fn answer_admin(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        if request.uri().path().starts_with("/v2/") {
            return self.weights.serve_blob(request);
        }
        admin::answer(&self.node, request, || self.dump())
    }

    /// Returns the whole state as JSON, for operators.
    pub fn dump(&self) -> Value {
        let stamp = self.node.in_force.stamp();
        let refused = self.node.in_force.refused().map(|e| e.to_string());
        let settings = &self.node.settings;
        json!({
            "role": "agent",
            "name": settings.name,
            "zone": settings.zone,
            "incarnation": self.incarnation,
            "tables": { "revision": stamp.revision, "digest": stamp.digest, "refused": refused },
            "duty": self.assignment().map(|d| json!({
                "pool": d.pool, "model": d.model, "digest": d.digest, "drain": d.drain,
            })),
            "loaded": self.loaded.digest(),
            "weights": self.weights.dump(),
            "gate": self.in_flight.dump(),
            "guard": self.admission.dump(),
            "suspects": self.node.suspects.len(),
            "queue": self.queue.dump(),
        })
    }
}
