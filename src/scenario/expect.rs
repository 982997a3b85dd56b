//! Checks the expectations of a step.

use std::fmt::Display;

use crate::scenario::doc::Expect;
use crate::scenario::node::Status;
use crate::scenario::simulation::Request;
use crate::scenario::simulation::Simulation;

/// Counts checks and collects those that fail.
#[derive(Debug, Default)]
struct Checks {
    count: usize,
    failures: Vec<String>,
}

impl Checks {
    /// Counts a check and keeps a failure when the two values print differently.
    fn equal(&mut self, what: &str, expected: impl Display, found: impl Display) {
        self.count += 1;
        let (expected, found) = (expected.to_string(), found.to_string());
        if expected != found {
            let line = format!("{what}: expected {expected}, found {found}");
            self.failures.push(line);
        }
    }
}

/// Checks all expectations; returns their number and a line for each that does not hold.
pub fn check(simulation: &Simulation<'_>, expect: &Expect) -> (usize, Vec<String>) {
    let mut checks = Checks::default();
    check_tables(simulation, expect, &mut checks);
    for (name, state) in &expect.state {
        let found = simulation.nodes[name].state();
        checks.equal(&format!("state of {name}"), state, found);
    }
    check_requests(simulation, expect, &mut checks);
    (checks.count, checks.failures)
}

/// Checks revisions and tables in force, and reports about newer tables.
fn check_tables(simulation: &Simulation<'_>, expect: &Expect, checks: &mut Checks) {
    for (name, revision) in &expect.revision {
        let found = simulation.nodes[name].table_sync.stamp().revision;
        checks.equal(&format!("revision at {name}"), revision, found);
    }
    if let Some(revision) = expect.all {
        for (name, node) in &simulation.nodes {
            if node.status == Status::Up {
                let found = node.table_sync.stamp().revision;
                checks.equal(&format!("revision at {name}"), revision, found);
            }
        }
    }
    for (name, tables) in &expect.holds {
        let stamp = simulation.nodes[name].table_sync.stamp();
        let named = simulation.stamps.iter().find(|(_, named)| **named == stamp);
        let found = named.map_or("none", |(name, _)| name.as_str());
        checks.equal(&format!("tables at {name}"), tables, found);
    }
    for (zone, code) in &expect.refused {
        let nodes = simulation.nodes.values().filter(|node| node.zone == *zone);
        let reported: Vec<String> = nodes
            .filter(|node| node.status == Status::Up)
            .filter_map(|node| node.table_sync.reported_code(simulation.now))
            .map(|code| code.to_string())
            .collect();
        let found = match reported.first() {
            None => "none",
            Some(_) if reported.contains(code) => code,
            Some(first) => first,
        };
        checks.equal(&format!("refused in zone {zone}"), code, found);
    }
}

/// Checks how requests ended, who answered them and how often they were dispatched.
fn check_requests(simulation: &Simulation<'_>, expect: &Expect, checks: &mut Checks) {
    let unknown = Request::default();
    let request = |name: &str| simulation.requests.get(name).unwrap_or(&unknown);
    for (name, state) in &expect.requests {
        let found = match &request(name).ending {
            None => "running".to_string(),
            Some(ending) => match &ending.error {
                None => "done".to_string(),
                Some(error) => error.code.to_string(),
            },
        };
        checks.equal(&format!("request {name}"), state, found);
    }
    for (name, run) in &expect.run {
        let ending = request(name).ending.as_ref();
        let error = ending.and_then(|ending| ending.error.as_ref());
        let found = error.map_or("no failure", |error| error.run.as_str());
        checks.equal(&format!("run of {name}"), run, found);
    }
    for (name, allowed) in &expect.by {
        let ending = request(name).ending.as_ref();
        let found = ending.map_or("", |ending| ending.by.as_str());
        let is_allowed = allowed.iter().any(|by| by == found);
        let expected = allowed.join(" or ");
        let shown = if is_allowed { &expected } else { found };
        checks.equal(&format!("answer of {name} by"), &expected, shown);
    }
    for (name, count) in &expect.dispatched {
        let found = request(name).dispatched;
        checks.equal(&format!("dispatches of {name}"), count, found);
    }
}
