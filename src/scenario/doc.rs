//! The scenario language, in YAML.

use indexmap::IndexMap;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;

/// Name of the configuration service in partitions.
pub const PLATFORM: &str = "platform";

common! { doc
/// A scenario.
pub struct Scenario {
    /// Name.
    pub name: String,
    /// What it guards against.
    pub about: String,
    /// Seed of all random choices.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// One-way time of a message, in milliseconds.
    #[serde(default = "default_latency")]
    pub latency_ms: u64,
    /// Processes by name.
    pub nodes: IndexMap<String, NodeSpec>,
    /// Pairs of table texts by name.
    pub tables: IndexMap<String, TableSpec>,
    /// What happens and what must hold, in order of time.
    pub steps: Vec<Step>,
}
}

fn default_seed() -> u64 {
    1
}

fn default_latency() -> u64 {
    3
}

common! { key
/// Role of a process.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes requests.
    Entry,
    /// Runs them.
    Agent,
}
}

common! { doc
/// One process.
pub struct NodeSpec {
    /// Role.
    pub role: Role,
    /// Availability zone.
    #[serde(default = "default_zone")]
    pub zone: String,
    /// Digest that the engine of an agent has loaded at the start.
    #[serde(default)]
    pub loaded: String,
    /// Time that its engine takes to load a version, in milliseconds.
    #[serde(default = "default_load")]
    pub load_ms: u64,
}
}

fn default_zone() -> String {
    "a".to_string()
}

fn default_load() -> u64 {
    500
}

common! { doc
/// Texts of two tables, whole or made from other ones.
pub struct TableSpec {
    /// Tables to start from.
    #[serde(default)]
    pub from: Option<String>,
    /// Text of the routes table.
    #[serde(default)]
    pub routes: Option<String>,
    /// Text of the pools table.
    #[serde(default)]
    pub pools: Option<String>,
    /// Replacements in both texts; each must occur.
    #[serde(default)]
    pub replace: IndexMap<String, String>,
}
}

common! { doc
/// What happens and what must hold at one time; actions come before expectations.
pub struct Step {
    /// Time, in milliseconds.
    pub at: u64,
    /// Tables that the configuration service holds from now on.
    #[serde(default)]
    pub publish: Option<Publish>,
    /// VMs that the live list calls leaving from now on.
    #[serde(default)]
    pub leaving: Option<Vec<String>>,
    /// Groups that cannot reach each other; processes in no group reach all.
    #[serde(default)]
    pub partition: Option<Vec<Vec<String>>>,
    /// Ends all partitions.
    #[serde(default)]
    pub heal: bool,
    /// Processes that stop making progress.
    #[serde(default)]
    pub pause: Vec<String>,
    /// Processes that go on.
    #[serde(default)]
    pub resume: Vec<String>,
    /// Processes that die without notice.
    #[serde(default)]
    pub crash: Vec<String>,
    /// Processes that are told to stop.
    #[serde(default)]
    pub stop: Vec<String>,
    /// Processes that start empty, after their end if they still run.
    #[serde(default)]
    pub restart: Vec<String>,
    /// Tickets to mint, by name.
    #[serde(default)]
    pub mint: IndexMap<String, Mint>,
    /// Requests by name.
    #[serde(default)]
    pub requests: IndexMap<String, RequestSpec>,
    /// What must hold.
    #[serde(default)]
    pub expect: Expect,
}
}

common! { doc
/// What is published: both tables of one name, or each of another.
pub struct Publish {
    /// Tables that give the routes.
    #[serde(default)]
    pub routes: Option<String>,
    /// Tables that give the pools.
    #[serde(default)]
    pub pools: Option<String>,
}
}

common! { doc
/// A ticket for one call that may not be repeated.
pub struct Mint {
    /// Entry that mints it.
    pub from: String,
    /// Agent that it names.
    pub agent: String,
}
}

common! { doc
/// A request of a caller.
pub struct RequestSpec {
    /// Entry that takes it.
    pub from: String,
    /// Path.
    pub path: String,
    /// Method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Organisation.
    #[serde(default)]
    pub organisation: String,
    /// Headers, names in lower case.
    #[serde(default)]
    pub headers: IndexMap<String, String>,
    /// Time that an upstream takes to run it, in milliseconds.
    #[serde(default = "default_run")]
    pub run_ms: u64,
    /// Ticket that it carries.
    #[serde(default)]
    pub ticket: Option<String>,
}
}

fn default_method() -> String {
    "POST".to_string()
}

fn default_run() -> u64 {
    50
}

common! { doc
/// Expectations; each part that is named must hold.
#[derive(Default)]
pub struct Expect {
    /// Revision in force at each named process, 0 for none.
    #[serde(default)]
    pub revision: IndexMap<String, u64>,
    /// Revision in force at every running process.
    #[serde(default)]
    pub all: Option<u64>,
    /// Tables in force at each named process.
    #[serde(default)]
    pub holds: IndexMap<String, String>,
    /// Code that some process of a zone reports about newer tables, or `none`.
    ///
    /// Only the readers of a zone see what the configuration service holds.
    #[serde(default)]
    pub refused: IndexMap<String, String>,
    /// State of processes: serving, leaving, drained, paused or down.
    #[serde(default)]
    pub state: IndexMap<String, String>,
    /// State of requests: running, done or the code of the failure.
    #[serde(default)]
    pub requests: IndexMap<String, String>,
    /// Whether failed requests were run: `not_run`, `partial` or `unknown`.
    #[serde(default)]
    pub run: IndexMap<String, String>,
    /// Processes whose answer a request got.
    #[serde(default)]
    pub by: IndexMap<String, Vec<String>>,
    /// How often a request was dispatched.
    #[serde(default)]
    pub dispatched: IndexMap<String, u32>,
}
}

impl Scenario {
    /// Checks that names are known and times ascend.
    pub fn check(&self, file: &str) -> Result<()> {
        let bad = |detail: String| {
            let detail = format!("{file}: {detail}");
            Err(Error::new(Code::ScenarioFailed, detail))
        };
        let mut last = 0;
        for (index, step) in self.steps.iter().enumerate() {
            if step.at < last {
                return bad(format!("step {} is before the one above it", index + 1));
            }
            last = step.at;
            if let Some(name) = step.names().find(|name| !self.is_known(name)) {
                return bad(format!("step {}: no process {name:?}", index + 1));
            }
            let zones = step.expect.refused.keys();
            let known = |zone: &&String| self.nodes.values().any(|n| n.zone == **zone);
            if let Some(zone) = zones.into_iter().find(|zone| !known(zone)) {
                return bad(format!("step {}: no zone {zone:?}", index + 1));
            }
            if let Some(name) = step.tables().find(|name| !self.tables.contains_key(*name)) {
                return bad(format!("step {}: no tables {name:?}", index + 1));
            }
        }
        Ok(())
    }

    fn is_known(&self, name: &str) -> bool {
        name == PLATFORM || self.nodes.contains_key(name)
    }

    /// Texts of the tables `name`: routes and pools.
    pub fn texts(&self, name: &str) -> Result<(String, String)> {
        let bad = |detail: &str| {
            let detail = format!("tables {name}: {detail}");
            Error::new(Code::ScenarioFailed, detail)
        };
        let spec = self.tables.get(name).ok_or_else(|| bad("not defined"))?;
        let (mut routes, mut pools) = match &spec.from {
            // Tables may only be made from ones above them, which rules out cycles.
            Some(from) if self.tables.get_index_of(from) < self.tables.get_index_of(name) => {
                self.texts(from)?
            }
            Some(_) => return Err(bad("made from tables that are not above")),
            None => (String::new(), String::new()),
        };
        routes = spec.routes.clone().unwrap_or(routes);
        pools = spec.pools.clone().unwrap_or(pools);
        for (old, new) in &spec.replace {
            if !routes.contains(old) && !pools.contains(old) {
                return Err(bad(&format!("{old:?} does not occur")));
            }
            routes = routes.replace(old, new);
            pools = pools.replace(old, new);
        }
        Ok((routes, pools))
    }
}

impl Step {
    /// Names of processes in this step.
    fn names(&self) -> impl Iterator<Item = &String> {
        let groups = self.partition.iter().flatten().flatten();
        let faults = [
            &self.pause,
            &self.resume,
            &self.crash,
            &self.stop,
            &self.restart,
        ];
        let expect = &self.expect;
        groups
            .chain(faults.into_iter().flatten())
            .chain(self.leaving.iter().flatten())
            .chain(self.mint.values().flat_map(|m| [&m.from, &m.agent]))
            .chain(self.requests.values().map(|r| &r.from))
            .chain(expect.revision.keys())
            .chain(expect.holds.keys())
            .chain(expect.state.keys())
            .chain(expect.by.values().flatten())
    }

    /// Names of tables in this step.
    fn tables(&self) -> impl Iterator<Item = &String> {
        let published = self.publish.iter().flat_map(|p| [&p.routes, &p.pools]);
        published.flatten().chain(self.expect.holds.values())
    }
}
