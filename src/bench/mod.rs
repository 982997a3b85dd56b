//! Experiments on the real code over loopback, and long randomised runs.

pub mod capacity;
pub mod fleet;
pub mod place;
pub mod requests;
pub mod rollout;
pub mod tables;
