//! What both daemons share: tables in force, the platform, peers, the admin server.

pub mod admin;
pub mod peer;
pub mod platform;
pub mod signal;
pub mod suspects;
pub mod view;

use slog::Logger;

use crate::config;
use crate::metric::Metrics;
use crate::net::rpc::Channels;
use crate::prelude::*;

pub use suspects::Suspects;
pub use view::View;

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
    pub view: View,
    /// Requests that crashed upstreams.
    pub suspects: Suspects,
    /// Metrics of the process.
    pub metrics: Metrics,
}

impl Node {
    /// A node without tables.
    pub fn new(settings: config::Node, log: Logger) -> Node {
        Node {
            settings: Arc::new(settings),
            clock: Clock::new(),
            log,
            channels: Channels::default(),
            view: View::default(),
            suspects: Suspects::default(),
            metrics: Metrics::default(),
        }
    }
}
