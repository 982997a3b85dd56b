//! Network plumbing: hyper and tonic on smol.

pub mod body;
pub mod client;
pub mod events;
pub mod read_limit;
pub mod rpc;
pub mod rt;
pub mod server;
