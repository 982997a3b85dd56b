//! The entry: accepts callers' HTTP requests and sends each one to a suitable upstream.

pub mod answer;
pub mod forward;
pub mod http;
pub mod pools;
pub mod running;
pub mod ticketed;

use ::http::Request;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol::channel;
use smol::channel::Receiver;
use std::time::Duration;

use crate::config::EntrySettings;
use crate::entry::pools::Pools;
use crate::entry::ticketed::Owners;
use crate::log::Component;
use crate::net::memory::Class;
use crate::net::rpc::Channels;
use crate::net::rt;
use crate::net::server;
use crate::net::server::Limits;
use crate::node::Node;
use crate::node::admin;
use crate::node::config_service;
use crate::once::Secret;
use crate::prelude::*;
use crate::proto::peer_server::PeerServer;
use crate::route::choose::Policy;

/// Most bytes of an answer that an agent may send before the caller has read them. What slow
/// callers of one agent leave unread shares the window of its connection.
const ANSWER_WINDOW: u32 = 64 << 10;

/// A running entry; clones share it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Identity, tables and connections of the process.
    pub node: Node,
    /// Settings of this entry.
    pub settings: Arc<EntrySettings>,
    /// RPC addresses of the agents that tickets belong to.
    pub owners: Owners,
    /// Key that signs tickets and verifies them.
    pub secret: Secret,
    /// When a request last refreshed the tables after a pause of the process.
    pub last_refresh: Arc<smol::lock::Mutex<Millis>>,
    /// Choice of upstreams, limits and retry budgets of each pool.
    pub pools: Pools,
}

impl Entry {
    /// Creates an entry with these settings; [`Entry::run`] starts it.
    pub fn new(settings: EntrySettings, log: slog::Logger) -> Entry {
        Entry::with_policy(settings, log, Policy::Expected)
    }

    /// Creates an entry that chooses upstreams by `policy`.
    ///
    /// Policies other than [`Policy::Expected`] are baselines for benchmarks.
    pub fn with_policy(settings: EntrySettings, log: slog::Logger, policy: Policy) -> Entry {
        let node = Node {
            channels: Channels::with_window(ANSWER_WINDOW),
            ..Node::new(settings.node.clone(), log)
        };
        Entry {
            owners: Owners::default(),
            secret: Secret::new(&settings.node.secret),
            last_refresh: Arc::default(),
            pools: Pools::new(node.clone(), policy, settings.entries),
            node,
            settings: Arc::new(settings),
        }
    }

    /// Serves until `stop` closes and the requests in progress have ended.
    pub async fn run(self, stop: Receiver<()>) -> Result<()> {
        let callers = server::bind(self.settings.http)?;
        let rpc = server::bind(self.node.settings.rpc)?;
        let admin = server::bind(self.node.settings.admin)?;
        let (closer, closed) = channel::bounded::<()>(1);
        let watch = rt::spawn(config_service::watch(self.node.clone()));
        let upkeep = rt::spawn(self.pools.clone().run());
        let rpc_task = rt::spawn(self.clone().serve_rpc(rpc, closed.clone()));
        let admin_task = rt::spawn(self.clone().serve_admin(admin, closed));
        slog::info!(self.node.logger(Component::Process), "entry started"; "http" => %self.settings.http);
        self.clone().serve_callers(callers, stop).await;
        slog::info!(self.node.logger(Component::Process), "entry stopped");
        drop((closer, watch, upkeep, rpc_task, admin_task));
        Ok(())
    }

    /// Serves callers; returns when `stop` has closed and the last answer has been sent.
    async fn serve_callers(self, listener: smol::Async<std::net::TcpListener>, stop: Receiver<()>) {
        let limits = Limits {
            head_timeout: Duration::from_millis(self.settings.head_ms),
            class: Class::Callers,
            ..self.node.server_limits()
        };
        server::serve(listener, limits, stop, move |request| {
            let entry = self.clone();
            async move { http::handle(entry, request).await }
        })
        .await;
    }

    /// Exchanges tables and counts with other processes.
    async fn serve_rpc(self, listener: smol::Async<std::net::TcpListener>, stop: Receiver<()>) {
        let peer = PeerServer::new(crate::node::peer::PeerService::new(self.node.clone()));
        server::serve(listener, self.node.server_limits(), stop, move |request| {
            let peer = peer.clone();
            async move { crate::net::rpc::answer(peer, request).await }
        })
        .await;
    }

    /// Answers operators: state dump, metrics and health.
    async fn serve_admin(self, listener: smol::Async<std::net::TcpListener>, stop: Receiver<()>) {
        server::serve(
            listener,
            self.node.server_limits(),
            stop,
            move |request: Request<Incoming>| {
                let entry = self.clone();
                async move { admin::answer(&entry.node, &request, || entry.dump()) }
            },
        )
        .await;
    }

    /// Returns the whole state as JSON, for operators.
    pub fn dump(&self) -> Value {
        let stamp = self.node.in_force.stamp();
        let refused = self.node.in_force.refused().map(|e| e.to_string());
        let settings = &self.node.settings;
        json!({
            "role": "entry",
            "name": settings.name,
            "zone": settings.zone,
            "tables": { "revision": stamp.revision, "digest": stamp.digest, "refused": refused },
            "suspects": self.node.suspects.len(),
            "pools": self.pools.dump(),
        })
    }
}
