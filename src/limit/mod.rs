//! Admission at the entry: limits per organisation over all entries, and overload
//! control per pool.

pub mod org;
pub mod overload;

pub use org::Limiter;
pub use overload::OverloadControl;
