//! The agent's queue: expected cost with ageing, room for short work, fair shares.

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
