//! Benchmarks, experiments over loopback and long randomised runs, as library code.

pub mod fleet;
pub mod tables;
