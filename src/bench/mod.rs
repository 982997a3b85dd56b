//! Experiments on the code of entries and agents, over loopback or in virtual time; most are
//! randomised by a seed.

pub mod capacity;
pub mod fleet;
pub mod place;
pub mod requests;
pub mod rollout;
pub mod tables;
