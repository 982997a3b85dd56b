//! The gate in front of one upstream: admission, drain, and requests that crash it.

pub mod admit;
pub mod drain;
pub mod suspect;
pub mod witness;

pub use admit::Ask;
pub use admit::Gate;
pub use admit::Own;
pub use admit::Permit;
pub use drain::Drain;
pub use drain::Reason;
pub use suspect::Suspects;
pub use witness::Witness;
