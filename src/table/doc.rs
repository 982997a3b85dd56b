//! The YAML documents of the two tables.

use indexmap::IndexMap;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;

/// Largest value that the configuration service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

common! { doc
/// The routes table: which traffic goes where.
pub struct RoutesDoc {
    /// Revision, the same in both tables of a set.
    pub revision: u64,
    /// Routes by name.
    pub routes: IndexMap<String, Route>,
    /// Organisations with limits of their own, by name.
    #[serde(default)]
    pub organisations: IndexMap<String, Organisation>,
}
}

common! { doc
/// One route.
pub struct Route {
    /// Path prefix that requests of this route start with.
    pub path: String,
    /// Methods that match; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Headers that must be present with these values.
    #[serde(default)]
    pub headers: IndexMap<String, String>,
    /// Organisations that match; empty for all.
    #[serde(default)]
    pub organisations: Vec<String>,
    /// Name of the pool that serves the route.
    pub pool: String,
    /// Expected length of the work.
    #[serde(default)]
    pub class: Class,
    /// Whether calls may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// Time that a request may take, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}
}

/// Deadline of routes that state none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

fn default_deadline() -> u64 {
    DEFAULT_DEADLINE_MS
}

common! { key
/// Expected length of the work of a route.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short work.
    Short,
    /// Long work.
    Long,
    /// Estimated from each request.
    #[default]
    Auto,
}
}

impl Class {
    /// The word used in tables and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::Long => "long",
            Class::Auto => "auto",
        }
    }
}

common! { key
/// Whether calls of a route may be repeated.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Idempotent: may be retried and hedged.
    Safe,
    /// Runs at most once.
    #[default]
    Never,
}
}

common! { doc
/// Limits of one organisation.
pub struct Organisation {
    /// Weight of its fair share.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Requests a second over all entries; none for no limit.
    #[serde(default)]
    pub requests_s: Option<f64>,
}
}

fn default_share() -> u32 {
    1
}

common! { doc
/// The pools table: which VMs serve which model and version.
pub struct PoolsDoc {
    /// Revision, the same in both tables of a set.
    pub revision: u64,
    /// Pools by name.
    pub pools: IndexMap<String, Pool>,
}
}

common! { key
/// What stands behind the agents of a pool.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine that loads weights.
    #[default]
    Engine,
    /// A plain service without weights.
    Service,
}
}

common! { doc
/// One pool.
pub struct Pool {
    /// What stands behind its agents.
    #[serde(default)]
    pub kind: Kind,
    /// Model served; empty for services.
    #[serde(default)]
    pub model: String,
    /// Digest of the manifest of the version served; empty for services.
    #[serde(default)]
    pub digest: String,
    /// Upstreams by name.
    pub upstreams: IndexMap<String, Upstream>,
    /// Upstreams that may be out of service at once for a rollout.
    #[serde(default = "default_max_out")]
    pub max_out: u32,
    /// Upstreams that must keep serving during a rollout.
    #[serde(default)]
    pub min_serving: u32,
    /// Time that running requests get when an upstream stops, in seconds.
    #[serde(default = "default_drain")]
    pub drain_s: u64,
}
}

/// Drain time of pools that state none, in seconds.
const DEFAULT_DRAIN_S: u64 = 30;

fn default_max_out() -> u32 {
    1
}

fn default_drain() -> u64 {
    DEFAULT_DRAIN_S
}

common! { doc
/// One upstream of a pool.
pub struct Upstream {
    /// RPC address of its agent.
    pub rpc: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// True when it is to be emptied: it gets no new work.
    #[serde(default)]
    pub drain: bool,
}
}

/// Parses a routes document.
pub fn parse_routes(text: &str) -> Result<RoutesDoc> {
    parse(text, "routes")
}

/// Parses a pools document.
pub fn parse_pools(text: &str) -> Result<PoolsDoc> {
    parse(text, "pools")
}

fn parse<T: serde::de::DeserializeOwned>(text: &str, table: &str) -> Result<T> {
    if text.len() > MAX_VALUE_BYTES {
        let detail = format!("{table}: {} bytes", text.len());
        return Err(Error::new(Code::TableTooLarge, detail));
    }
    serde_saphyr::from_str(text).map_err(|e| Error::new(Code::TableSyntax, format!("{table}: {e}")))
}
