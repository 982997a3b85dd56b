//! What both daemons share: tables in force, the platform, peers, the admin server.

pub mod admin;
pub mod config_service;
pub mod in_force;
pub mod peer;
pub mod signal;
pub mod suspects;
pub mod table_sync;
pub mod traffic;

use slog::Logger;

use crate::config;
use crate::log;
use crate::log::Component;
use crate::metric::Metrics;
use crate::net::rpc::Channels;
use crate::prelude::*;
use crate::table::sync::SyncMode;

pub use in_force::TablesInForce;
pub use suspects::Suspects;
pub use table_sync::TableSync;

/// Identity, clock and connections of a process; clones share them.
#[derive(Clone, Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Arc<config::Node>,
    /// Clock that never steps back.
    pub clock: Clock,
    /// Log of the process.
    pub log: Logger,
    /// Connections to other processes.
    pub channels: Channels,
    /// Tables in force.
    pub in_force: TablesInForce,
    /// Spread of tables between the processes.
    pub table_sync: TableSync,
    /// Requests that crashed upstreams.
    pub suspects: Suspects,
    /// Metrics of the process.
    pub metrics: Metrics,
}

impl Node {
    /// A node without tables.
    pub fn new(settings: config::Node, log: Logger) -> Node {
        Node::with_sync_mode(settings, log, SyncMode::Peers)
    }

    /// Logger of a component, whose records start with its prefix.
    pub fn logger(&self, component: Component) -> Logger {
        log::component(&self.log, component)
    }

    /// A node that gets its tables in the given way.
    pub fn with_sync_mode(settings: config::Node, log: Logger, sync_mode: SyncMode) -> Node {
        let clock = Clock::new();
        let in_force = TablesInForce::default();
        let table_sync = TableSync::new(&settings, sync_mode, clock, log.clone(), in_force.clone());
        let suspects = Suspects::default();
        let (own, others) = (suspects.clone(), suspects.clone());
        table_sync.on_exchange(
            move |notice| notice.suspects = own.export(clock.now()),
            move |notice| others.merge(clock.now(), &notice.from, &notice.suspects),
        );
        Node {
            settings: Arc::new(settings),
            clock,
            log,
            channels: Channels::default(),
            in_force,
            table_sync,
            suspects,
            metrics: Metrics::default(),
        }
    }
}
