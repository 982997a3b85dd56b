//! Parts that both daemons use: tables in force, platform, peers, admin server.

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
use crate::net::memory::Size;
use crate::net::reserve::Memory;
use crate::net::rpc::Channels;
use crate::net::server::Limits;
use crate::prelude::*;
use crate::table::sync::SyncMode;

pub use in_force::TablesInForce;
pub use suspects::Suspects;
pub use table_sync::TableSync;

/// Settings, clock, tables and connections of a process; clones share them.
#[derive(Clone, Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Arc<config::Node>,
    /// Clock of the process, which never steps back.
    pub clock: Clock,
    /// Log of the process.
    pub log: Logger,
    /// Connections that carry requests and weights to other processes.
    pub channels: Channels,
    /// The tables that requests are served by.
    pub in_force: TablesInForce,
    /// Reads new tables from the platform and exchanges them with peers.
    pub table_sync: TableSync,
    /// Requests that may crash upstreams.
    pub suspects: Suspects,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Account of what callers make the process hold.
    pub memory: Memory,
}

impl Node {
    /// Creates a node without tables, which gets them from the platform and from peers.
    pub fn new(settings: config::Node, log: Logger) -> Node {
        Node::with_sync_mode(settings, log, SyncMode::Peers)
    }

    /// Returns the limits of a server for other processes or operators.
    pub fn server_limits(&self) -> Limits {
        Limits {
            memory: self.memory.clone(),
            ..Limits::default()
        }
    }

    /// Returns the logger of a component, which puts the component's prefix before messages.
    pub fn logger(&self, component: Component) -> Logger {
        log::component(&self.log, component)
    }

    /// Creates a node without tables, which gets them in the given way.
    pub fn with_sync_mode(settings: config::Node, log: Logger, sync_mode: SyncMode) -> Node {
        let clock = Clock::new();
        let in_force = TablesInForce::default();
        let table_sync = TableSync::new(&settings, sync_mode, clock, log.clone(), in_force.clone());
        let suspects = Suspects::default();
        let (sending, receiving) = (suspects.clone(), suspects.clone());
        table_sync.on_exchange(
            move |notice| {
                notice.suspects = sending.export(clock.now());
                notice.signatures = sending.export_signatures(clock.now());
            },
            move |notice| {
                receiving.merge(clock.now(), &notice.from, &notice.suspects);
                receiving.merge_signatures(clock.now(), &notice.signatures);
            },
        );
        let metrics = Metrics::default();
        let size = Size::of_machine(settings.memory_mb, settings.max_fds);
        Node {
            memory: Memory::new(size, metrics.clone(), log.clone()),
            settings: Arc::new(settings),
            clock,
            log,
            channels: Channels::default(),
            in_force,
            table_sync,
            suspects,
            metrics,
        }
    }
}
