//! Benchmarks and long randomised runs, as library code.

pub mod tables;
