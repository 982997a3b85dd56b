//! The YAML documents of the two tables.

use indexmap::IndexMap;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;

/// Largest value that the configuration service stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

common! { doc
/// The routes table: which requests go to which pool.
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
    /// Path prefix of the requests that match, in whole path segments.
    pub path: String,
    /// HTTP methods that match; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Headers that must be present with these values.
    #[serde(default)]
    pub headers: IndexMap<String, String>,
    /// Names of the organisations that match; empty for all.
    #[serde(default)]
    pub organisations: Vec<String>,
    /// Name of the pool that serves the route.
    pub pool: String,
    /// Expected duration of its requests.
    #[serde(default)]
    pub class: Class,
    /// Whether its requests may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// Time that a request may take, from 1 ms to one hour; 60 s by default.
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
/// Expected duration of the requests of a route.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short requests.
    Short,
    /// Long requests.
    Long,
    /// Estimated from each request.
    #[default]
    Auto,
}
}

impl Class {
    /// Returns the word used in tables and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::Long => "long",
            Class::Auto => "auto",
        }
    }
}

common! { key
/// Whether the requests of a route may be repeated.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Idempotent: a request may be retried and hedged.
    Safe,
    /// A request runs at most once.
    #[default]
    Never,
}
}

common! { doc
/// Limits of one organisation.
pub struct Organisation {
    /// Weight in fair sharing, from 1 to 10,000; 1 by default.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Limit of requests per second over all entries; `None` for no limit.
    #[serde(default)]
    pub requests_s: Option<f64>,
}
}

fn default_share() -> u32 {
    1
}

common! { doc
/// The pools table: which upstreams serve which model and version.
pub struct PoolsDoc {
    /// Revision, the same in both tables of a set.
    pub revision: u64,
    /// Pools by name.
    pub pools: IndexMap<String, Pool>,
}
}

common! { key
/// Kind of process that the agents of a pool run requests on.
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
    /// Kind of process that its agents run requests on.
    #[serde(default)]
    pub kind: Kind,
    /// Name of the model served; empty for services.
    #[serde(default)]
    pub model: String,
    /// Digest of the manifest of the version served; empty for services.
    #[serde(default)]
    pub digest: String,
    /// Upstreams by name.
    pub upstreams: IndexMap<String, Upstream>,
    /// Number of upstreams that a rollout may take out of service at once.
    #[serde(default = "default_max_out")]
    pub max_out: u32,
    /// Number of upstreams that must keep serving during a rollout.
    #[serde(default)]
    pub min_serving: u32,
    /// Time that running requests get to finish when an upstream stops, in
    /// seconds; 30 by default.
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
    /// True when it is to be drained: it gets no new requests.
    #[serde(default)]
    pub drain: bool,
}
}

/// Parses a routes document, of at most [`MAX_VALUE_BYTES`]; the rules of
/// [`check`](crate::table::check) are not applied.
pub fn parse_routes(text: &str) -> Result<RoutesDoc> {
    parse(text, "routes")
}

/// Parses a pools document, of at most [`MAX_VALUE_BYTES`]; the rules of
/// [`check`](crate::table::check) are not applied.
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
