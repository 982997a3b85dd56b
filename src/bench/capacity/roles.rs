//! Sums per role at the design size, derived from measured slopes.

use prost::Message as _;

use crate::bench::capacity::Slope;
use crate::bench::capacity::messages;

/// The size to design for.
pub mod size {
    /// Entries.
    pub const ENTRIES: f64 = 400.0;
    /// Upstreams, each with an agent.
    pub const UPSTREAMS: f64 = 1_300.0;
    /// Routes.
    pub const ROUTES: f64 = 200.0;
    /// Organisations with traffic at one entry; today there are 10.
    pub const ORGANISATIONS: f64 = 40.0;
    /// Pools that one entry routes to.
    pub const POOLS: f64 = 50.0;
    /// Changes of tables a second: 5,600 a day.
    pub const CHANGES_S: f64 = 5_600.0 / 86_400.0;
    /// Changes of the live list a second: 33 failures and 170 restarts a day,
    /// each of which leaves and returns.
    pub const LIVE_S: f64 = 2.0 * (33.0 + 170.0) / 86_400.0;
    /// Requests a second at all entries.
    pub const REQUESTS_S: f64 = 24_000.0;
    /// Tokens a second at all entries.
    pub const TOKENS_S: f64 = 4_900_000.0;
    /// Availability zones.
    pub const ZONES: f64 = 5.0;
    /// Readers of the platform in a zone.
    pub const READERS: f64 = 2.0;
    /// Keys at the platform.
    pub const KEYS: f64 = 3.0;
    /// Time that a blocking query waits, in seconds.
    pub const WAIT_S: f64 = 30.0;
    /// Records of a full ledger.
    pub const RECORDS: f64 = 32_768.0;
}

/// Bytes that HTTP/2 and gRPC add to a small call and to its answer each.
///
/// Derived, not measured: frame headers (9 bytes each for HEADERS, DATA and
/// trailers), header fields from the table, the gRPC prefix and TCP/IP headers.
pub const CALL_OVERHEAD: f64 = 200.0;

/// Times a second that a tick of the spread runs.
const SYNC_TICKS_S: f64 = 4.0;

/// Times a second that the routers tick.
const ROUTE_TICKS_S: f64 = 20.0;

/// Exchanges a second that a process starts; it answers as many.
const EXCHANGES_S: f64 = 0.5;

/// Peers that a process notifies of each new set and live list.
const NOTIFIED: f64 = 4.0;

/// One row of a sum.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Row {
    /// Role.
    pub role: &'static str,
    /// What costs.
    pub item: &'static str,
    /// Processor time, in percent of a core.
    pub core: f64,
    /// Memory, in MiB.
    pub memory: f64,
    /// Bytes a second sent and received.
    pub bytes: f64,
    /// True when it counts as control overhead.
    pub is_control: bool,
}

/// Rows of all roles; none when a slope is missing.
pub fn rows(slopes: &[Slope]) -> Option<Vec<Row>> {
    let slope = |name: &str| slopes.iter().find(|slope| slope.name == name);
    let at = |name: &str, count: f64| slope(name).map(|slope| slope.at(count));
    let mut rows = Vec::new();
    for role in ["entry", "agent"] {
        rows.extend(control(role, &at)?);
    }
    rows.extend(entry(&at)?);
    rows.extend(agent(&at)?);
    Some(rows)
}

type At<'a> = &'a dyn Fn(&str, f64) -> Option<f64>;

/// Time to parse a set of the design size, in milliseconds.
fn parse_ms(at: At<'_>) -> Option<f64> {
    let routes = at("route.parse", size::ROUTES)? - at("route.parse", 50.0)?;
    Some(at("table.parse", size::UPSTREAMS)? + routes)
}

/// Memory of a set of the design size, in KiB.
fn set_kib(at: At<'_>) -> Option<f64> {
    let routes = at("route.memory", size::ROUTES)? - at("route.memory", 50.0)?;
    Some(at("table.memory", size::UPSTREAMS)? + routes)
}

fn row(role: &'static str, item: &'static str, core: f64, memory: f64, bytes: f64) -> Row {
    Row {
        role,
        item,
        core,
        memory,
        bytes,
        is_control: true,
    }
}

/// Percent of a core for `times` a second of `us` microseconds.
fn percent(times: f64, us: f64) -> f64 {
    times * us / 1e4
}

/// What tables and membership cost every process.
fn control(role: &'static str, at: At<'_>) -> Option<Vec<Row>> {
    let parse = parse_ms(at)? + at("sync.delta", size::UPSTREAMS)?;
    let vms = size::UPSTREAMS + size::ENTRIES;
    let live = at("live.parse", vms)?;
    let notice = at("notice.bytes", 0.0)? + CALL_OVERHEAD;
    let exchanges = 2.0 * EXCHANGES_S;
    let notified = 2.0 * NOTIFIED * (size::CHANGES_S + size::LIVE_S);
    // A delta carries one changed entry of about 300 bytes.
    let deltas = (size::CHANGES_S + size::LIVE_S) * (300.0 + 2.0 * CALL_OVERHEAD);
    let code = at("notice.code", 0.0)?;
    Some(vec![
        row(
            role,
            "tables: parse and delta of each change; 1 set in force, 1 before it",
            percent(size::CHANGES_S, parse * 1e3),
            2.0 * set_kib(at)? / 1024.0,
            deltas,
        ),
        row(
            role,
            "live list: parse of each change",
            percent(size::LIVE_S, live * 1e3),
            at("live.memory", vms)? / 1024.0,
            0.0,
        ),
        row(
            role,
            "spread: ticks, exchanges and notices",
            percent(SYNC_TICKS_S, at("sync.tick", vms)?) + percent(exchanges + notified, code),
            0.0,
            2.0 * (exchanges + notified) * notice,
        ),
    ])
}

fn entry(at: At<'_>) -> Option<Vec<Row>> {
    let requests = size::REQUESTS_S / size::ENTRIES;
    let tokens = size::TOKENS_S / size::ENTRIES;
    let organisations = size::ORGANISATIONS;
    let counts = at("notice.bytes", organisations)? - at("notice.bytes", 0.0)?;
    let request = at("route.match", size::ROUTES)?
        + at("route.pick", 24.0)?
        + at("limit.admit", organisations)?
        + 2.0 * at("metric.emit", 16.0)?;
    let mut path = row(
        "entry",
        "requests: match, limit, choice, metrics (not control)",
        percent(requests, request),
        0.0,
        0.0,
    );
    path.is_control = false;
    let mut frames = row(
        "entry",
        "frames: codec, one token each (not control)",
        percent(tokens, at("frame.code", 200.0)?),
        0.0,
        0.0,
    );
    frames.is_control = false;
    Some(vec![
        row(
            "entry",
            "routers: ticks of all pools",
            percent(ROUTE_TICKS_S * size::POOLS, at("route.tick", 24.0)?),
            0.0,
            0.0,
        ),
        row(
            "entry",
            "limits: counts with peers of the zone",
            percent(EXCHANGES_S, at("limit.tick", organisations)?),
            0.0,
            4.0 * EXCHANGES_S * counts,
        ),
        path,
        frames,
    ])
}

fn agent(at: At<'_>) -> Option<Vec<Row>> {
    let requests = size::REQUESTS_S / size::UPSTREAMS;
    let tokens = size::TOKENS_S / size::UPSTREAMS;
    let state = messages::state().encoded_len() as f64 + CALL_OVERHEAD;
    let mut queue = row(
        "agent",
        "requests: queue, metrics (not control)",
        percent(
            requests,
            at("sched.queue", 256.0)? + at("metric.emit", 16.0)?,
        ),
        0.0,
        0.0,
    );
    queue.is_control = false;
    let mut frames = row(
        "agent",
        "frames: codec, one token each (not control)",
        percent(tokens, at("frame.code", 200.0)?),
        0.0,
        0.0,
    );
    frames.is_control = false;
    Some(vec![
        row(
            "agent",
            "ledger: full, answers of 11 bytes",
            0.0,
            at("once.memory", size::RECORDS)? / 1024.0,
            0.0,
        ),
        // Two peers ask during a rollout, every 2 s.
        row("agent", "state replies to peers", 0.0, 0.0, 2.0 * state),
        queue,
        frames,
    ])
}
