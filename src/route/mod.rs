//! Choice of an upstream, ejection of slow ones, attempts of one request.

pub mod affinity;
pub mod choose;
pub mod cost;
pub mod eject;
pub mod flight;
pub mod hedge;
pub mod reorder;
pub mod router;
pub mod subset;

pub use choose::Ask;
pub use choose::Call;
pub use choose::Chooser;
pub use choose::Upstream;
pub use flight::Flight;
pub use reorder::Reorder;
pub use router::Router;
pub use subset::Member;
