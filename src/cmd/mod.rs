//! Commands of `chervilquay`, one file each.

pub mod check;
pub mod output;
