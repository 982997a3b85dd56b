//! Experiments on the real code over loopback.

pub mod fleet;
//! Benchmarks and long randomised runs, as library code.

pub mod tables;
