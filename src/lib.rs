//! Weight distribution for model upstreams that must be filled in bursts under live load.

pub mod arena;
pub mod bench;
pub mod config;
pub mod error;
pub mod log;
pub mod macros;
pub mod member;
pub mod net;
pub mod prelude;
#[expect(
    missing_docs,
    unused_qualifications,
    clippy::allow_attributes,
    reason = "generated code"
)]
pub mod proto;
pub mod table;
pub mod time;
pub mod util;
