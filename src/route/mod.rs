//! Choice of an upstream, ejection of slow ones, attempts of one request.

pub mod action;
pub mod affinity;
pub mod choose;
pub mod cost;
pub mod eject;
pub mod engine;
pub mod flight;
pub mod hedge;
pub mod notice;
pub mod place;
pub mod recovery;
pub mod reorder;
pub mod router;
pub mod silence;
pub mod sizes;
pub mod subset;
pub mod upstream;

pub use choose::Chooser;
pub use choose::Policy;
pub use flight::Flight;
pub use reorder::Reorder;
pub use router::Router;
pub use subset::Member;
pub use upstream::Ask;
pub use upstream::Call;
pub use upstream::Outcome;
pub use upstream::Report;
pub use upstream::Upstream;
