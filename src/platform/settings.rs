//! Settings file of a prepared machine: lines `a.b=value`, lists by commas.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use crate::prelude::*;

/// Variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "CHERVILQUAY_CONFIG";

/// Path when the variable is not set.
const DEFAULT_PATH: &str = "/etc/chervilquay/settings.conf";

common! { value
/// What a process learns from its machine.
pub struct Settings {
    /// Name of the machine.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: String,
    /// Zones with their regions.
    pub zones: IndexMap<String, String>,
    /// Where callers connect; none on upstream VMs.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks for readiness.
    pub ready: Option<SocketAddr>,
    /// Where processes that know only the seeds connect.
    pub control: Option<SocketAddr>,
    /// Ports for traffic between own processes.
    pub ports: (u16, u16),
    /// Control addresses of a few machines; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Runner on this machine; none on entry VMs.
    pub runner: Option<SocketAddr>,
    /// Pool of that runner.
    pub pool: String,
    /// The platform's store.
    pub store: SocketAddr,
    /// Interval of the runners' heartbeats.
    pub heartbeat: Millis,
    /// Time for which a leaving runner still takes work.
    pub drain: Millis,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// Time within which a new version of weights must be in use everywhere.
    pub rollout_bound: Millis,
    /// Repeated sends allowed for each request.
    pub retry_ratio: f64,
    /// Repeated sends allowed beside that share.
    pub retry_slack: f64,
    /// Window in which repeated sends are counted.
    pub retry_window: Millis,
    /// Descriptors of the process.
    pub max_fds: usize,
    /// Bandwidth of the machine's link, in Mbit/s.
    pub link_mbps: f64,
}
}

/// The path of the settings file.
pub fn path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

/// Reads and checks the settings file.
pub fn load(path: &Path) -> Result<Settings> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::new(Code::SettingsRead, format!("{}: {e}", path.display())))?;
    parse(&text)
}

/// A fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1; 1 when the field is missing.
    pub line: u64,
    /// Name of the field.
    pub field: String,
    /// What was expected there.
    pub expected: &'static str,
    /// What stands there.
    pub found: String,
}

/// Faults of a settings file: the first that would stop a process, and list
/// items that a process would leave out.
pub fn faults(text: &str) -> Vec<Fault> {
    let mut faults = Vec::new();
    let place = |field: &str| {
        let mut lines = text.lines().zip(1..);
        let line = lines.find(|(line, _)| line.split('=').next() == Some(field));
        line.map_or(1, |(_, number)| number)
    };
    if let Err(error) = parse(text) {
        let word = error.detail.split(['=', ' ']).next();
        let field = word.unwrap_or_default().to_string();
        faults.push(Fault {
            line: place(&field),
            field,
            expected: "a value of its type",
            found: error.detail,
        });
    }
    let lines = text.lines().filter_map(|line| line.split_once('='));
    let seeds = lines.filter(|(name, _)| name.trim() == "seeds");
    for item in seeds.flat_map(|(_, list)| list.split(',')) {
        if !item.trim().is_empty() && item.trim().parse::<SocketAddr>().is_err() {
            faults.push(Fault {
                line: place("seeds"),
                field: "seeds".to_string(),
                expected: "addresses with ports",
                found: item.trim().to_string(),
            });
        }
    }
    faults
}

/// Fields by name.
struct Fields(IndexMap<String, String>);

/// Parses the text of a settings file; unknown fields are ignored.
pub fn parse(text: &str) -> Result<Settings> {
    let lines = text.lines().filter_map(|line| line.split_once('='));
    let fields = lines.map(|(name, value)| (name.trim().to_string(), value.trim().to_string()));
    let fields = Fields(fields.collect());
    let zones = fields.0.iter().filter_map(|(name, region)| {
        let zone = name.strip_prefix("zones.")?;
        Some((zone.to_string(), region.clone()))
    });
    Ok(Settings {
        name: fields.required("node_name")?,
        ip: fields.required("ip")?,
        zone: fields.required("zone")?,
        zones: zones.collect(),
        callers: fields.optional("listen.front")?,
        ready: fields.optional("listen.ready")?,
        control: fields.optional("listen.control")?,
        ports: fields.ports()?,
        seeds: fields.list("seeds"),
        runner: fields.optional("app")?,
        pool: fields.optional("service")?.unwrap_or_default(),
        store: fields.required("platform.address")?,
        heartbeat: Millis(fields.or("beat_ms", 1_200)?),
        drain: Millis(fields.or("bounds.drain_ms", 2_000)?),
        grace: Millis((fields.or("bounds.grace_s", 8.0)? * 1_000.0) as u64),
        rollout_bound: Millis(fields.or("bounds.version_ms", 8_000)?),
        retry_ratio: fields.or("bounds.retry_ratio", 0.2)?,
        retry_slack: fields.or("bounds.retry_slack", 0.0)?,
        retry_window: Millis((fields.or("bounds.retry_window_s", 10.0)? * 1_000.0) as u64),
        max_fds: fields.or("limits.max_fds", 1_024)?,
        link_mbps: fields.or("limits.link_mbps", 1_000.0)?,
    })
}

impl Fields {
    fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>> {
        let Some(text) = self.0.get(name).filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        let bad = || Error::new(Code::SettingsField, format!("{name}={text}"));
        text.parse().map(Some).map_err(|_| bad())
    }

    fn required<T: FromStr>(&self, name: &str) -> Result<T> {
        let missing = || Error::new(Code::SettingsField, format!("{name} is missing"));
        self.optional(name)?.ok_or_else(missing)
    }

    fn or<T: FromStr>(&self, name: &str, default: T) -> Result<T> {
        Ok(self.optional(name)?.unwrap_or(default))
    }

    /// The items of a list that can be read; a bad seed must not stop a process.
    fn list<T: FromStr>(&self, name: &str) -> Vec<T> {
        let text = self.0.get(name).map_or("", String::as_str);
        let items = text.split(',').filter_map(|item| item.trim().parse().ok());
        items.collect()
    }

    fn ports(&self) -> Result<(u16, u16)> {
        let ports: Vec<u16> = self.list("internal_ports");
        match ports[..] {
            [first, last] if first <= last => Ok((first, last)),
            _ => Err(Error::new(Code::SettingsField, "internal_ports")),
        }
    }
}
