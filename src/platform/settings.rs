//! Settings file that the platform writes for a prepared machine: lines of the form
//! `name=value`, where the items of a list are separated by commas.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use crate::prelude::*;

/// Environment variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "CHERVILQUAY_CONFIG";

/// Path of the settings file when the variable is not set.
const DEFAULT_PATH: &str = "/etc/chervilquay/settings.conf";

common! { value
/// Settings of a daemon on a prepared machine.
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// IP address of the VM.
    pub ip: IpAddr,
    /// Availability zone of the VM.
    pub zone: String,
    /// Regions of the availability zones, by name of the zone.
    pub zones: IndexMap<String, String>,
    /// Address at which callers connect; `None` on VMs of upstreams.
    pub callers: Option<SocketAddr>,
    /// Address at which the load balancer in front of the entries checks readiness.
    pub ready: Option<SocketAddr>,
    /// Address at which processes connect that know only the seeds.
    pub control: Option<SocketAddr>,
    /// First and last port for traffic between the daemons of this system.
    pub ports: (u16, u16),
    /// Control addresses of a few VMs, from which a process learns the others; some
    /// may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Address of the runner on this VM; `None` on VMs of entries.
    pub runner: Option<SocketAddr>,
    /// Name of the pool of that runner; empty when there is none.
    pub pool: String,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval of the runners' heartbeats.
    pub heartbeat: Millis,
    /// Time for which a runner that is leaving still takes requests.
    pub drain: Millis,
    /// Time that the platform leaves between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// Time within which a new version of weights must be in use everywhere.
    pub rollout_bound: Millis,
    /// Time within which an evacuated zone must get nothing new; none where zones are not
    /// evacuated.
    pub evacuation_bound: Option<Millis>,
    /// Repeated sends allowed in the window, as a share of the requests in it.
    pub retry_ratio: f64,
    /// Number of repeated sends allowed in the window beyond that share.
    pub retry_slack: f64,
    /// Length of the window in which repeated sends are counted.
    pub retry_window: Millis,
    /// Requests in a second that a cold upstream may get, as a multiple of its limit and
    /// a number beyond that.
    pub cold_bounds: (f64, f64),
    /// Memory of the process, in MB.
    pub memory_mb: usize,
    /// Maximum number of open file descriptors of the process.
    pub max_fds: usize,
    /// Bandwidth of the VM's network link, in Mbit/s.
    pub link_mbps: f64,
}
}

/// Returns the path of the settings file, from the environment or else the default.
pub fn path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

/// Reads and parses the settings file.
///
/// Fails with [`Code::SettingsRead`] when it cannot be read, and otherwise as
/// [`parse`] does.
pub fn load(path: &Path) -> Result<Settings> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::new(Code::SettingsRead, format!("{}: {e}", path.display())))?;
    parse(&text)
}

/// Fault of a settings file, as `chervilquay check` reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Number of the line, from 1; 1 when the field is missing.
    pub line: u64,
    /// Name of the field.
    pub field: String,
    /// What the field should hold.
    pub expected: &'static str,
    /// What the field holds, or that it is missing.
    pub found: String,
}

/// Returns the faults of a settings file: the first with which no process would
/// start, and each seed that a process would leave out.
pub fn faults(text: &str) -> Vec<Fault> {
    let mut faults = Vec::new();
    let line_of = |field: &str| {
        let mut lines = text.lines().zip(1..);
        let line = lines.find(|(line, _)| line.split('=').next() == Some(field));
        line.map_or(1, |(_, number)| number)
    };
    if let Err(error) = parse(text) {
        // The detail starts with the name of the field.
        let name = error.detail.split(['=', ' ']).next();
        let field = name.unwrap_or_default().to_string();
        faults.push(Fault {
            line: line_of(&field),
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
                line: line_of("seeds"),
                field: "seeds".to_string(),
                expected: "addresses with ports",
                found: item.trim().to_string(),
            });
        }
    }
    faults
}

/// Values of the fields, by name.
struct Fields(IndexMap<String, String>);

/// Parses the text of a settings file. Unknown fields are ignored, so that the
/// platform can add some.
///
/// Fails with [`Code::SettingsField`] when a required field is missing or a value
/// cannot be parsed; the detail of the error starts with the name of the field.
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
        evacuation_bound: fields.optional("bounds.evacuate_ms")?.map(Millis),
        retry_ratio: fields.or("bounds.retry_ratio", 0.2)?,
        retry_slack: fields.or("bounds.retry_slack", 0.0)?,
        retry_window: Millis((fields.or("bounds.retry_window_s", 10.0)? * 1_000.0) as u64),
        cold_bounds: (
            fields.or("bounds.cold_overshoot", 1.5)?,
            fields.or("bounds.cold_slack", 5.0)?,
        ),
        memory_mb: fields.or("limits.memory_mb", 112)?,
        max_fds: fields.or("limits.max_fds", 1_024)?,
        link_mbps: fields.or("limits.link_mbps", 1_000.0)?,
    })
}

impl Fields {
    /// Returns the value of a field, or `None` when it is missing or empty.
    fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>> {
        let Some(text) = self.0.get(name).filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        let invalid = || Error::new(Code::SettingsField, format!("{name}={text}"));
        text.parse().map(Some).map_err(|_| invalid())
    }

    fn required<T: FromStr>(&self, name: &str) -> Result<T> {
        let missing = || Error::new(Code::SettingsField, format!("{name} is missing"));
        self.optional(name)?.ok_or_else(missing)
    }

    fn or<T: FromStr>(&self, name: &str, default: T) -> Result<T> {
        Ok(self.optional(name)?.unwrap_or(default))
    }

    /// Returns the items of a list that can be parsed. Others are left out: an invalid
    /// seed must not keep a process from starting.
    fn list<T: FromStr>(&self, name: &str) -> Vec<T> {
        let text = self.0.get(name).map_or("", String::as_str);
        let items = text.split(',').filter_map(|item| item.trim().parse().ok());
        items.collect()
    }

    /// Returns the first and the last of the internal ports.
    fn ports(&self) -> Result<(u16, u16)> {
        let ports: Vec<u16> = self.list("internal_ports");
        match ports[..] {
            [first, last] if first <= last => Ok((first, last)),
            _ => Err(Error::new(Code::SettingsField, "internal_ports")),
        }
    }
}
