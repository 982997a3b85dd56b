//! Distribution of model weights to upstreams, often in bursts, while they serve live requests.

pub mod agent;
pub mod arena;
pub mod bench;
pub mod cmd;
pub mod config;
pub mod demo;
pub mod direct;
pub mod entry;
pub mod error;
pub mod gate;
pub mod limit;
pub mod log;
pub mod macros;
pub mod member;
pub mod metric;
pub mod net;
pub mod node;
pub mod once;
pub mod platform;
pub mod prelude;
#[expect(
    missing_docs,
    unused_qualifications,
    clippy::allow_attributes,
    reason = "generated code"
)]
pub mod proto;
pub mod report;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod scenario;
pub mod sched;
pub mod soak;
pub mod standin;
pub mod table;
pub mod time;
pub mod util;
pub mod yaml;
