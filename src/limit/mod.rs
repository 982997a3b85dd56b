//! Limits per organisation over all entries, and overload control.

pub mod org;
pub mod overload;

pub use org::Limiter;
pub use overload::OverloadControl;
