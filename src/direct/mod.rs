//! The daemons on prepared machines, where the entry sends requests straight to
//! upstreams instead of through the agents on their VMs.
//!
//! The decisions are made in `table`, `member`, `route`, `retry`, `gate` and
//! `rollout`, which do no I/O. This module passes requests, messages and the
//! time to them and carries out what they decide.

pub mod agent;
pub mod cluster;
pub mod crash_guard;
pub mod decision_log;
pub mod entry;
pub mod entry_gossip;
pub mod forecasts;
pub mod gossip;
pub mod inbound;
pub mod node;
pub mod relay;
pub mod replication;
pub mod send;
pub mod updater;
pub mod wire;
