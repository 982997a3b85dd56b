//! Direct mode: on prepared machines the entry sends straight to upstreams.
//!
//! The decisions are in the core modules (`table`, `member`, `route`, `retry`,
//! `gate`, `rollout`). This module carries events into them and actions out.

pub mod agent;
pub mod entry;
pub mod feed;
pub mod fill;
pub mod gossip;
pub mod job;
pub mod journal;
pub mod node;
pub mod relay;
pub mod send;
pub mod tell;
pub mod wire;
pub mod world;
