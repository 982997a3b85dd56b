//! Experiments on the real code over loopback.

pub mod fleet;
pub mod rollout;
