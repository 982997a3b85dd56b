//! Membership: which processes and upstreams exist, which are leaving, and
//! which have stopped answering.

pub mod evacuation;
pub mod failure_detector;
pub mod incarnation;
pub mod live;
pub mod peers;
pub mod registry;
pub mod schedule;
pub mod state;
pub mod store_watch;

pub use failure_detector::FailureDetector;
pub use incarnation::Incarnation;
pub use live::Live;
pub use live::Vm;
pub use state::AgentReports;
pub use state::UpstreamState;
pub use store_watch::StoreWatch;
