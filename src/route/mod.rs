//! Choice of an upstream for a request, ejection of slow upstreams, and the attempts
//! of one request.
//!
//! [`Chooser`] is used by entries that send requests to agents. [`placement`] is
//! used by entries that send requests straight to upstreams.

pub mod action;
pub mod admission;
pub mod admit;
pub mod affinity;
pub mod choose;
pub mod cold;
pub mod cold_placer;
pub mod cost;
pub mod eject;
pub mod engine;
pub mod estimate;
pub mod hedge;
pub mod notice;
pub mod placement;
pub mod predict;
pub mod profile;
pub mod rate_share;
pub mod recovery;
pub mod regions;
pub mod reorder;
pub mod request_state;
pub mod router;
pub mod silence;
pub mod size_fairness;
pub mod spread;
pub mod subset;
pub mod target;
pub mod upstream;
pub mod work;

pub use choose::Chooser;
pub use choose::Policy;
pub use reorder::Reorder;
pub use request_state::RequestState;
pub use router::Router;
pub use subset::Member;
pub use upstream::Call;
pub use upstream::LoadReport;
pub use upstream::Outcome;
pub use upstream::RequestTraits;
pub use upstream::Upstream;
