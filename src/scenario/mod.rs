//! Scripted scenarios: tables, requests and faults at given times, and expected states.
//!
//! A scenario runs the decision logic of several processes (routing, table
//! synchronisation, admission, drain) under a virtual clock. Links, the configuration
//! service and engines are simulated. Besides the expectations of the script, two
//! invariants on requests are checked whenever one is dispatched or ends.

pub mod agent;
pub mod config_service;
pub mod doc;
pub mod entry;
pub mod expect;
mod link;
pub mod message;
pub mod node;
pub mod simulation;
mod step;
pub mod table_sync;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::scenario::simulation::Simulation;
use crate::yaml::tree;

pub use doc::Scenario;

/// Result of one scenario.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// Number of steps in the script.
    pub steps: usize,
    /// Number of expectations that were checked.
    pub checked: usize,
    /// Expectations that do not hold and invariants that were violated, one line each.
    pub failures: Vec<String>,
}

/// Parses and checks a scenario; `file` names it in errors.
///
/// Fails with `ScenarioFailed` when the YAML is invalid, a name is unknown or times descend.
pub fn parse(file: &str, text: &str) -> Result<Scenario> {
    let scenario: Scenario = serde_saphyr::from_str(text).map_err(|e| {
        let (place, message) = tree::parse_error(&e);
        let detail = format!("{file}:{}:{}: {message}", place.line, place.column);
        Error::new(Code::ScenarioFailed, detail)
    })?;
    scenario.check(file)?;
    Ok(scenario)
}

/// Runs a scenario up to its last step.
///
/// Expectations that do not hold are in the report; an error means that the scenario's
/// tables cannot be made.
pub fn run(scenario: &Scenario) -> Result<Report> {
    let mut simulation = Simulation::new(scenario)?;
    simulation.run();
    Ok(simulation.report())
}
