//! A fleet in one process that rolls out a version, serves, drains and
//! refills, and counts how often each invariant was exercised and held.

pub mod checks;
pub mod load;
pub mod steps;

pub use checks::Checks;
pub use checks::Promise;
