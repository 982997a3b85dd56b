//! Direct mode: on prepared machines the entry sends straight to upstreams.
//!
//! The decisions are in the core modules (`table`, `member`, `route`, `retry`,
//! `gate`, `rollout`). This module carries events into them and actions out.

pub mod agent;
pub mod cluster;
pub mod decision_log;
pub mod entry;
pub mod entry_gossip;
pub mod gossip;
pub mod inbound;
pub mod node;
pub mod relay;
pub mod replication;
pub mod send;
pub mod updater;
pub mod wire;
