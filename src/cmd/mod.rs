//! Commands of `chervilquay`, one file each, and how the daemons start and stop.

pub mod bench;
pub mod check;
pub mod codes;
pub mod daemon;
pub mod demo;
pub mod dump;
pub mod explain;
pub mod explain_config;
pub mod fetch;
pub mod output;
pub mod prepared;
pub mod report;
pub mod scenario;
pub mod soak;
pub mod standin;
pub mod status;
pub mod trace;
