//! Experiments on the real code over loopback.

pub mod fleet;
