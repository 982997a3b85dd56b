//! Membership: live list, incarnations, suspicion, and the join of sources.

pub mod incarnation;
pub mod live;
pub mod peers;
pub mod progress;
pub mod registry;
pub mod standing;
pub mod watch;

pub use incarnation::Incarnation;
pub use live::Live;
pub use live::Vm;
pub use progress::Progress;
pub use standing::Members;
pub use standing::Standing;
pub use watch::Watch;
