//! The agent: sole gate to the upstream on its VM.

pub mod booking;
pub mod engine;
pub mod frames;
pub mod guard;
pub mod load;
pub mod queue;
pub mod rpc;
pub mod serve;
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

use crate::agent::booking::Runs;
use crate::agent::engine::Engine;
use crate::agent::guard::Guard;
use crate::agent::load::Loaded;
use crate::agent::queue::Queue;
use crate::agent::serve::Gate;
use crate::agent::weights::Weights;
use crate::config::AgentSettings;
use crate::gate::drain::HANDOVER_TIME;
use crate::log::Component;
use crate::net::body::BoxBody;
use crate::net::rt;
use crate::net::server;
use crate::net::server::Limits;
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
    /// Identity, tables and connections.
    pub node: Node,
    /// Settings.
    pub settings: Arc<AgentSettings>,
    /// Start time in milliseconds with random low bits; tells restarts apart.
    pub incarnation: u64,
    /// Client of the upstream.
    pub engine: Arc<Engine>,
    /// Chunks held and in transfer.
    pub weights: Weights,
    /// Version that the engine has confirmed.
    pub loaded: Loaded,
    /// Requests in progress.
    pub gate: Gate,
    /// Admission, ledger, drain and suspects.
    pub guard: Guard,
    /// Running calls that may not be repeated.
    pub runs: Runs,
    /// Key with which tickets are signed.
    pub secret: Secret,
    /// Requests waiting for the upstream.
    pub queue: Queue,
}

/// Random low bits of an incarnation, so that two starts in one millisecond differ.
const INCARNATION_BITS: u32 = 12;

/// What the tables say about this agent.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Name of its pool.
    pub pool: String,
    /// What stands behind it.
    pub kind: Kind,
    /// Model to serve.
    pub model: String,
    /// Manifest digest to serve.
    pub digest: String,
    /// Fencing number for orders.
    pub fence: u64,
    /// True when the table empties this upstream.
    pub drain: bool,
    /// Time for running requests on a stop, in seconds.
    pub drain_s: u64,
}

impl Agent {
    /// An agent with these settings; nothing is started yet.
    pub fn new(settings: AgentSettings, log: slog::Logger) -> Agent {
        let node = Node::new(settings.node.clone(), log);
        let start = node.clock.started().0;
        let random = fastrand::u64(0..1 << INCARNATION_BITS);
        let incarnation = (start << INCARNATION_BITS) | random;
        Agent {
            incarnation,
            guard: Guard::new(&settings, incarnation, node.clock.now()),
            runs: Runs::default(),
            secret: Secret::new(&node.settings.secret),
            engine: Arc::new(Engine::new(settings.upstream)),
            weights: Weights::new(&settings, node.channels.clone(), incarnation),
            loaded: Loaded::default(),
            gate: Gate::new(settings.max_running + settings.max_queued),
            queue: Queue::new(&settings),
            settings: Arc::new(settings),
            node,
        }
    }

    /// What the tables in force say about this agent; none when it is in no pool.
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

    /// Runs the agent until `stop` closes and running requests have ended.
    pub async fn run(self, stop: Receiver<()>) -> Result<()> {
        let rpc = server::bind(self.node.settings.rpc)?;
        let admin = server::bind(self.node.settings.admin)?;
        let (closer, closed) = channel::bounded::<()>(1);
        let watch = rt::spawn(config_service::watch(self.node.clone()));
        let keep = rt::spawn(load::keep(self.clone()));
        let fetch = rt::spawn(self.weights.clone().run());
        let tick = rt::spawn(guard::keep(self.clone()));
        let queue = rt::spawn(self.queue.clone().run());
        let admin_task = rt::spawn(self.clone().serve_admin(admin, closed.clone()));
        let rpc_task = rt::spawn(self.clone().serve_rpc(rpc, closed));
        slog::info!(self.node.logger(Component::Process), "agent started"; "rpc" => %self.node.settings.rpc);
        let _ = stop.recv().await;
        self.finish(closer).await;
        let late = async {
            smol::Timer::after(HANDOVER_TIME.duration()).await;
        };
        // A peer that has stopped reading must not hold up the exit.
        rpc_task.or(late).await;
        drop((admin_task, keep, fetch, queue, watch, tick));
        Ok(())
    }

    /// Stops admission at once and waits for running requests, up to the pool's drain time.
    async fn finish(&self, closer: Sender<()>) {
        self.gate.close();
        slog::info!(self.node.logger(Component::Process), "agent draining"; "running" => self.gate.running());
        guard::stop(self).await;
        drop(closer);
    }

    async fn serve_rpc(self, listener: smol::Async<std::net::TcpListener>, stop: Receiver<()>) {
        let agent = AgentServer::new(rpc::AgentService::new(self.clone()));
        let peer = PeerServer::new(crate::node::peer::PeerService::new(self.node.clone()));
        server::serve(listener, Limits::default(), stop, move |request| {
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

    async fn serve_admin(self, listener: smol::Async<std::net::TcpListener>, stop: Receiver<()>) {
        server::serve(listener, Limits::default(), stop, move |request| {
            let agent = self.clone();
            async move { agent.answer_admin(&request) }
        })
        .await;
    }

    /// Serves operators, and the engine that reads its weights from here.
    fn answer_admin(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        if request.uri().path().starts_with("/v2/") {
            return self.weights.answer(request);
        }
        admin::answer(&self.node, request, || self.dump())
    }

    /// The whole state, for operators.
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
            "gate": self.gate.dump(),
            "guard": self.guard.dump(),
            "suspects": self.node.suspects.len(),
            "queue": self.queue.dump(),
        })
    }
}
