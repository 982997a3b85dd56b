//! Format of scenario files, in YAML.

use indexmap::IndexMap;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;

/// Name of the configuration service in scenario files, as in groups of a partition.
pub const PLATFORM: &str = "platform";

common! { doc
/// A scenario file.
pub struct Scenario {
    /// Title, shown in reports.
    pub name: String,
    /// Which behaviour it checks, in a sentence.
    pub about: String,
    /// Seed of all random choices.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Time that a message takes from sender to receiver, in milliseconds.
    #[serde(default = "default_latency")]
    pub latency_ms: u64,
    /// Processes by name.
    pub nodes: IndexMap<String, NodeSpec>,
    /// Texts of the routes and pools tables, by the name of the pair.
    pub tables: IndexMap<String, TableSpec>,
    /// Actions and expectations, in order of time.
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
    /// Takes callers' requests and forwards them to upstreams.
    Entry,
    /// Runs beside one upstream and hands requests to its engine or service.
    Agent,
}
}

common! { doc
/// One process, an entry or an agent.
pub struct NodeSpec {
    /// Whether it is an entry or an agent.
    pub role: Role,
    /// Availability zone.
    #[serde(default = "default_zone")]
    pub zone: String,
    /// Digest of the model version that an agent's engine has loaded at the start; may be empty.
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
/// Texts of the routes and pools tables, complete or derived from other ones.
pub struct TableSpec {
    /// Name of the pair, defined above this one, that it is derived from.
    #[serde(default)]
    pub from: Option<String>,
    /// Text of the routes table; without it, that of `from`.
    #[serde(default)]
    pub routes: Option<String>,
    /// Text of the pools table; without it, that of `from`.
    #[serde(default)]
    pub pools: Option<String>,
    /// Replacements in both texts, old to new; each old text must occur in one of them.
    #[serde(default)]
    pub replace: IndexMap<String, String>,
}
}

common! { doc
/// Actions and expectations at one time; the actions come first.
pub struct Step {
    /// Time since the start of the scenario, in milliseconds.
    pub at: u64,
    /// Tables to write to the configuration service.
    #[serde(default)]
    pub publish: Option<Publish>,
    /// VMs that are marked as leaving in the live list (the list of running VMs) from now on.
    #[serde(default)]
    pub leaving: Option<Vec<String>>,
    /// Groups of processes that cannot reach each other; a process in no group reaches all.
    #[serde(default)]
    pub partition: Option<Vec<Vec<String>>>,
    /// Ends the partition.
    #[serde(default)]
    pub heal: bool,
    /// Processes to pause: they handle no message and no timer until they are resumed.
    #[serde(default)]
    pub pause: Vec<String>,
    /// Processes to resume; they keep the tables that they had and handle what arrived meanwhile.
    #[serde(default)]
    pub resume: Vec<String>,
    /// Processes that die without a graceful stop.
    #[serde(default)]
    pub crash: Vec<String>,
    /// Processes to stop gracefully: an agent drains, an entry ends at once.
    #[serde(default)]
    pub stop: Vec<String>,
    /// Processes to start without tables; a running one is ended first.
    #[serde(default)]
    pub restart: Vec<String>,
    /// Tickets to issue, by name.
    #[serde(default)]
    pub mint: IndexMap<String, Mint>,
    /// Requests to send, by name.
    #[serde(default)]
    pub requests: IndexMap<String, RequestSpec>,
    /// States that are checked after the actions.
    #[serde(default)]
    pub expect: Expect,
}
}

common! { doc
/// Tables to publish: both of one pair, each of another pair, or just one.
pub struct Publish {
    /// Name of the pair whose routes table is published.
    #[serde(default)]
    pub routes: Option<String>,
    /// Name of the pair whose pools table is published.
    #[serde(default)]
    pub pools: Option<String>,
}
}

common! { doc
/// A ticket, which makes a call run at most once, at the agent that it names.
pub struct Mint {
    /// Entry that issues it.
    pub from: String,
    /// Agent that may run the call.
    pub agent: String,
}
}

common! { doc
/// A caller's request.
pub struct RequestSpec {
    /// Entry that it is sent to.
    pub from: String,
    /// Path, matched against the routes.
    pub path: String,
    /// HTTP method, `POST` by default.
    #[serde(default = "default_method")]
    pub method: String,
    /// Organisation of the caller.
    #[serde(default)]
    pub organisation: String,
    /// Headers by name in lower case.
    #[serde(default)]
    pub headers: IndexMap<String, String>,
    /// Time that an upstream takes to run it, in milliseconds.
    #[serde(default = "default_run")]
    pub run_ms: u64,
    /// Name of the ticket that it carries; requests with one ticket count as one call.
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
/// Expectations; a part that is left out is not checked.
#[derive(Default)]
pub struct Expect {
    /// Revision of the tables in force at each named process, 0 for none.
    #[serde(default)]
    pub revision: IndexMap<String, u64>,
    /// Revision of the tables in force at every running process.
    #[serde(default)]
    pub all: Option<u64>,
    /// Name of the pair of tables in force at each named process.
    #[serde(default)]
    pub holds: IndexMap<String, String>,
    /// Result code that some process of a zone reports about newer tables that it has not
    /// put in force, or `none`.
    ///
    /// The expectation is per zone because only a zone's readers read the configuration service.
    #[serde(default)]
    pub refused: IndexMap<String, String>,
    /// State of processes: serving, closed (an agent that admits no request), leaving, drained,
    /// paused or down.
    #[serde(default)]
    pub state: IndexMap<String, String>,
    /// State of requests: running, done or the result code of the failure.
    #[serde(default)]
    pub requests: IndexMap<String, String>,
    /// What the failure of a request says about its run: `not_run`, `partial` or `unknown`.
    #[serde(default)]
    pub run: IndexMap<String, String>,
    /// Agents of which one must have given the answer to a request.
    #[serde(default)]
    pub by: IndexMap<String, Vec<String>>,
    /// Number of times that a request was dispatched to an engine or service.
    #[serde(default)]
    pub dispatched: IndexMap<String, u32>,
}
}

impl Scenario {
    /// Checks that names of processes, zones and tables are known and times do not descend.
    ///
    /// Fails with `ScenarioFailed`; `file` names the scenario in the error.
    pub fn check(&self, file: &str) -> Result<()> {
        let failed = |detail: String| {
            let detail = format!("{file}: {detail}");
            Err(Error::new(Code::ScenarioFailed, detail))
        };
        let mut last_at = 0;
        for (index, step) in self.steps.iter().enumerate() {
            if step.at < last_at {
                return failed(format!(
                    "step {} is earlier than the step before it",
                    index + 1
                ));
            }
            last_at = step.at;
            if let Some(name) = step.process_names().find(|name| !self.is_known(name)) {
                return failed(format!("step {}: unknown process {name:?}", index + 1));
            }
            let zones = step.expect.refused.keys();
            let is_zone = |zone: &&String| self.nodes.values().any(|n| n.zone == **zone);
            if let Some(zone) = zones.into_iter().find(|zone| !is_zone(zone)) {
                return failed(format!("step {}: unknown zone {zone:?}", index + 1));
            }
            if let Some(name) = step
                .table_names()
                .find(|name| !self.tables.contains_key(*name))
            {
                return failed(format!("step {}: unknown tables {name:?}", index + 1));
            }
        }
        Ok(())
    }

    fn is_known(&self, name: &str) -> bool {
        name == PLATFORM || self.nodes.contains_key(name)
    }

    /// Texts of the routes and pools tables of the pair `name`.
    ///
    /// Fails with `ScenarioFailed` when the pair or its `from` is not defined, or when a text
    /// to replace does not occur.
    pub fn texts(&self, name: &str) -> Result<(String, String)> {
        let failure = |detail: &str| {
            let detail = format!("tables {name}: {detail}");
            Error::new(Code::ScenarioFailed, detail)
        };
        let spec = self
            .tables
            .get(name)
            .ok_or_else(|| failure("not defined"))?;
        let (mut routes, mut pools) = match &spec.from {
            // Tables may only be derived from ones defined above them, which rules out cycles.
            Some(from) if self.tables.get_index_of(from) < self.tables.get_index_of(name) => {
                self.texts(from)?
            }
            Some(_) => return Err(failure("`from` names tables that are not defined above")),
            None => (String::new(), String::new()),
        };
        routes = spec.routes.clone().unwrap_or(routes);
        pools = spec.pools.clone().unwrap_or(pools);
        for (old, new) in &spec.replace {
            if !routes.contains(old) && !pools.contains(old) {
                return Err(failure(&format!("text to replace does not occur: {old:?}")));
            }
            routes = routes.replace(old, new);
            pools = pools.replace(old, new);
        }
        Ok((routes, pools))
    }
}

impl Step {
    /// Names of processes that this step refers to.
    fn process_names(&self) -> impl Iterator<Item = &String> {
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

    /// Names of tables that this step refers to.
    fn table_names(&self) -> impl Iterator<Item = &String> {
        let published = self.publish.iter().flat_map(|p| [&p.routes, &p.pools]);
        published.flatten().chain(self.expect.holds.values())
    }
}
