//! Demonstration: a fleet in one process rolls out a version, serves requests,
//! drains and refills pools, and counts how often each invariant was checked
//! and held.

pub mod checks;
pub mod load;
pub mod steps;

pub use checks::Checks;
pub use checks::Invariant;
