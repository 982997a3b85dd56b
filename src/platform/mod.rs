//! Adapter of the prepared machines' platform: names, formats and calls.
//!
//! Everything that goes over the platform's wires is encoded and decoded here,
//! once, into the project's own types. Nothing here decides anything.

pub mod config;
pub mod headers;
pub mod registry;
pub mod runner;
pub mod settings;
pub mod standin;
pub mod store;
pub mod weights;
