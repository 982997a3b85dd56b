//! Network input and output: HTTP clients and servers with hyper, and remote calls
//! with tonic, both on the executor of smol.

pub mod body;
pub mod client;
pub mod events;
pub mod memory;
pub mod read_limit;
pub mod reserve;
pub mod rpc;
pub mod rt;
pub mod server;
pub mod stream;
