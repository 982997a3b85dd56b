//! Settings of the daemons, in YAML, which are checked in full before a daemon starts.

pub mod check;

use std::net::SocketAddr;
use std::path::Path;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::log::Format;

pub use check::Settings;

common! { doc
/// Identity and addresses of a process, be it an entry or an agent.
pub struct Node {
    /// Name of the process, unique among all processes of the system.
    pub name: String,
    /// Availability zone of its VM.
    pub zone: String,
    /// Region of the zone; may be empty.
    #[serde(default)]
    pub region: String,
    /// Address on which the process serves calls from other processes.
    pub rpc: SocketAddr,
    /// Address on which the process serves its state, health and metrics to operators.
    pub admin: SocketAddr,
    /// Addresses of the configuration service, tried in order.
    pub platform: Vec<SocketAddr>,
    /// Addresses of processes that are asked first for tables, besides those on the live list.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Format of log records.
    #[serde(default)]
    pub log: Format,
    /// Secret that signs tickets; must be the same in all processes.
    #[serde(default)]
    pub secret: String,
    /// Memory of the process, in MB. Half of it is for what callers make the process hold.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Most open file descriptors of the process.
    #[serde(default = "default_fds")]
    pub max_fds: usize,
}
}

common! { doc
/// Settings of `chervilquay-entry`.
pub struct EntrySettings {
    /// Identity and addresses.
    pub node: Node,
    /// Address to which callers connect.
    pub http: SocketAddr,
    /// Largest request body, in bytes.
    #[serde(default = "default_body")]
    pub max_body: usize,
    /// Time in which a caller must send head and body, in milliseconds.
    #[serde(default = "default_head")]
    pub head_ms: u64,
    /// Number of entries among which the limits of organisations are divided.
    ///
    /// An entry that receives nothing from the others admits a share of one in this many.
    #[serde(default = "default_entries")]
    pub entries: usize,
}
}

common! { doc
/// Settings of `chervilquay-agent`.
pub struct AgentSettings {
    /// Identity and addresses.
    pub node: Node,
    /// Address of the engine or service to which the agent sends requests.
    pub upstream: SocketAddr,
    /// Address of the origin of weights.
    pub origin: SocketAddr,
    /// Staging memory, which holds chunks and manifests of versions, in MiB.
    #[serde(default = "default_staging")]
    pub staging_mb: usize,
    /// Most requests in progress at the upstream.
    #[serde(default = "default_running")]
    pub max_running: usize,
    /// Most requests that wait for the upstream.
    #[serde(default = "default_queued")]
    pub max_queued: usize,
    /// Most idempotency keys of calls that run at most once; each is kept for 30.5 minutes.
    #[serde(default = "default_keys")]
    pub max_keys: usize,
    /// Memory for the recorded answers of such calls, in MiB.
    #[serde(default = "default_answers")]
    pub answers_mb: usize,
}
}

/// Returns the memory of a process whose settings do not state it, in MB.
pub fn default_memory() -> usize {
    512
}

/// Returns the most open descriptors of a process whose settings do not state them.
pub fn default_fds() -> usize {
    4_096
}

fn default_body() -> usize {
    4 << 20
}

fn default_entries() -> usize {
    1
}

fn default_head() -> u64 {
    10_000
}

fn default_staging() -> usize {
    1_024
}

fn default_running() -> usize {
    16
}

fn default_queued() -> usize {
    256
}

fn default_keys() -> usize {
    32_768
}

fn default_answers() -> usize {
    8
}

/// Reads and checks the settings of a daemon.
///
/// The error names the first fault; `chervilquay check` lists all of them.
pub fn load<T: Settings>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::new(Code::SettingsRead, format!("{}: {e}", path.display())))?;
    parse(&path.display().to_string(), &text)
}

/// Parses and checks the settings in `text`; `file` names it in errors.
pub fn parse<T: Settings>(file: &str, text: &str) -> Result<T> {
    check::read(file, text).map_err(|findings| Error::from(&findings[0]))
}
