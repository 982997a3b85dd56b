//! Spread of tables: randomised runs and measurements.

pub mod ledger;
pub mod loopback;
pub mod network;
pub mod platform;
pub mod random;
pub mod report;
pub mod script;
pub mod sim;
pub mod texts;
pub mod virtual_time;
