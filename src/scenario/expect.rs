//! Checks what must hold at a step.

use std::fmt::Display;

use crate::scenario::doc::Expect;
use crate::scenario::node::Status;
use crate::scenario::world::Request;
use crate::scenario::world::World;

/// Counts checks and collects those that fail.
#[derive(Debug, Default)]
struct Checks {
    count: usize,
    failures: Vec<String>,
}

impl Checks {
    fn same(&mut self, what: &str, expected: impl Display, found: impl Display) {
        self.count += 1;
        let (expected, found) = (expected.to_string(), found.to_string());
        if expected != found {
            let line = format!("{what}: expected {expected}, found {found}");
            self.failures.push(line);
        }
    }
}

/// Number of checks and the failures among them.
pub fn check(world: &World<'_>, expect: &Expect) -> (usize, Vec<String>) {
    let mut checks = Checks::default();
    tables(world, expect, &mut checks);
    for (name, state) in &expect.state {
        let found = world.nodes[name].state();
        checks.same(&format!("state of {name}"), state, found);
    }
    requests(world, expect, &mut checks);
    (checks.count, checks.failures)
}

fn tables(world: &World<'_>, expect: &Expect, checks: &mut Checks) {
    for (name, revision) in &expect.revision {
        let found = world.nodes[name].tables.stamp().revision;
        checks.same(&format!("revision at {name}"), revision, found);
    }
    if let Some(revision) = expect.all {
        for (name, node) in &world.nodes {
            if node.status == Status::Up {
                let found = node.tables.stamp().revision;
                checks.same(&format!("revision at {name}"), revision, found);
            }
        }
    }
    for (name, tables) in &expect.holds {
        let stamp = world.nodes[name].tables.stamp();
        let named = world.stamps.iter().find(|(_, held)| **held == stamp);
        let found = named.map_or("none", |(name, _)| name.as_str());
        checks.same(&format!("tables at {name}"), tables, found);
    }
    for (zone, code) in &expect.refused {
        let nodes = world.nodes.values().filter(|node| node.zone == *zone);
        let reported: Vec<String> = nodes
            .filter(|node| node.status == Status::Up)
            .filter_map(|node| node.tables.reported(world.now))
            .map(|code| code.to_string())
            .collect();
        let found = match reported.first() {
            None => "none",
            Some(_) if reported.contains(code) => code,
            Some(first) => first,
        };
        checks.same(&format!("refused in zone {zone}"), code, found);
    }
}

fn requests(world: &World<'_>, expect: &Expect, checks: &mut Checks) {
    let unknown = Request::default();
    let request = |name: &str| world.requests.get(name).unwrap_or(&unknown);
    for (name, state) in &expect.requests {
        let found = match &request(name).ending {
            None => "running".to_string(),
            Some(ending) => match &ending.error {
                None => "done".to_string(),
                Some(error) => error.code.to_string(),
            },
        };
        checks.same(&format!("request {name}"), state, found);
    }
    for (name, run) in &expect.run {
        let ending = request(name).ending.as_ref();
        let error = ending.and_then(|ending| ending.error.as_ref());
        let found = error.map_or("no failure", |error| error.run.as_str());
        checks.same(&format!("run of {name}"), run, found);
    }
    for (name, allowed) in &expect.by {
        let ending = request(name).ending.as_ref();
        let found = ending.map_or("", |ending| ending.by.as_str());
        let is_allowed = allowed.iter().any(|by| by == found);
        let expected = allowed.join(" or ");
        let shown = if is_allowed { &expected } else { found };
        checks.same(&format!("answer of {name} by"), &expected, shown);
    }
    for (name, count) in &expect.dispatched {
        let found = request(name).dispatched;
        checks.same(&format!("dispatches of {name}"), count, found);
    }
}
