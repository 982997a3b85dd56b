//! Commands of `chervilquay`, one file each.

pub mod bench;
pub mod check;
pub mod codes;
pub mod daemon;
pub mod explain;
pub mod output;
pub mod standin;
