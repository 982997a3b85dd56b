//! Network plumbing: hyper and tonic on smol.

pub mod body;
pub mod client;
pub mod events;
pub mod meter;
pub mod rpc;
pub mod rt;
pub mod server;
