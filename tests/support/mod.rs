//! Helpers that several test files share.

pub mod system;
