//! The agent's queue: it orders requests by expected cost with ageing, reserves slots
//! for short requests, and shares the upstream fairly among organisations.

pub mod queue;
pub mod seen;
pub mod share;

pub use queue::Job;
pub use queue::Load;
pub use queue::Push;
pub use queue::Queue;
pub use queue::Running;
pub use queue::Settings;
pub use seen::SeenAttempts;
