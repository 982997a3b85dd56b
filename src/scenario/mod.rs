//! Scripted scenarios: tables and faults at given times, and what must hold.
//!
//! A scenario runs the decision core of several processes under a virtual
//! clock. Links, the configuration service and engines are small fakes. Besides
//! the expectations of the script, some invariants are checked at each step.

pub mod agent;
pub mod doc;
pub mod entry;
pub mod expect;
mod link;
pub mod message;
pub mod node;
pub mod platform;
mod step;
pub mod tables;
pub mod world;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::scenario::world::World;
use crate::yaml::tree;

pub use doc::Scenario;

/// Result of one scenario.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// Steps run.
    pub steps: usize,
    /// Expectations that were checked.
    pub checked: usize,
    /// Expectations that do not hold, and invariants that were broken.
    pub failures: Vec<String>,
}

/// Parses a scenario; `file` names it in errors.
pub fn parse(file: &str, text: &str) -> Result<Scenario> {
    let scenario: Scenario = serde_saphyr::from_str(text).map_err(|e| {
        let (position, message) = tree::parse_error(&e);
        let detail = format!("{file}:{}:{}: {message}", position.line, position.column);
        Error::new(Code::ScenarioFailed, detail)
    })?;
    scenario.check(file)?;
    Ok(scenario)
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario) -> Result<Report> {
    let mut world = World::new(scenario)?;
    world.run();
    Ok(world.report())
}
