//! Commands of `chervilquay`, one file each.

pub mod check;
pub mod codes;
pub mod explain;
pub mod output;
