//! Formats and calls of the outside platform on whose prepared machines the
//! daemons run with `--prepared`.
//!
//! Its names of fields, headers and paths are fixed from outside. They occur in
//! this module only, which translates them to and from the types of the other
//! modules and makes no decisions.

pub mod config;
pub mod config_check;
pub mod headers;
pub mod registry;
pub mod runner;
pub mod settings;
pub mod standin;
pub mod store;
pub mod weights;
