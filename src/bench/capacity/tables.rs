//! Slopes of tables, live list and their spread.

use std::net::SocketAddr;

use crate::bench::capacity::Effort;
use crate::bench::capacity::Slope;
use crate::bench::capacity::measure;
use crate::member::Live;
use crate::prelude::*;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::sync;
use crate::table::sync::ConfigKey;
use crate::table::sync::Event;
use crate::table::sync::Reading;
use crate::util;

/// Sizes in upstreams; the design size is 1,300.
const UPSTREAMS: [usize; 5] = [260, 520, 780, 1_040, 1_300];

/// Sizes in routes.
const ROUTES: [usize; 5] = [50, 100, 200, 400, 800];

/// Upstreams of one pool.
const POOL: usize = 26;

/// Routes while upstreams are counted.
const FEW_ROUTES: usize = 50;

/// Upstreams while routes are counted.
const FEW_UPSTREAMS: usize = 260;

/// Bytes of memory guessed for one upstream or route, to choose the copies.
const GUESS: usize = 600;

/// Zones of the fleet.
const ZONES: usize = 5;

/// Texts of two tables with this many routes and upstreams.
pub fn texts(revision: u64, routes: usize, upstreams: usize) -> (String, String) {
    let pools = upstreams.div_ceil(POOL);
    let mut routes_text = format!("revision: {revision}\nroutes:\n");
    for index in 0..routes {
        let pool = index % pools;
        routes_text.push_str(&format!(
            "  route-{index}:\n    path: /v1/area-{index}/completions\n    methods: [POST]\n    \
             pool: pool-{pool}\n    class: auto\n    repeat: safe\n    deadline_ms: 60000\n"
        ));
    }
    let mut pools_text = format!("revision: {revision}\npools:\n");
    for pool in 0..pools {
        let digest = util::digest(pool.to_string());
        pools_text.push_str(&format!(
            "  pool-{pool}:\n    model: model-{pool}\n    digest: {digest}\n    \
             min_serving: 1\n    upstreams:\n"
        ));
        for index in pool * POOL..upstreams.min((pool + 1) * POOL) {
            let (addr, zone) = (address(index), index % ZONES);
            pools_text.push_str(&format!(
                "      runner-{index}: {{ rpc: \"{addr}\", zone: zone-{zone}, region: r1 }}\n"
            ));
        }
    }
    (routes_text, pools_text)
}

fn address(index: usize) -> SocketAddr {
    let bytes = index.to_be_bytes();
    SocketAddr::from(([10, 1, bytes[6], bytes[7]], 7100))
}

fn live_text(vms: usize) -> String {
    let mut text = "vms:\n".to_string();
    for index in 0..vms {
        let (addr, zone) = (address(index), index % ZONES);
        text.push_str(&format!(
            "  runner-{index}: {{ rpc: \"{addr}\", zone: zone-{zone}, region: r1 }}\n"
        ));
    }
    text
}

/// Sizes for one effort.
pub fn shrunk(sizes: &[usize], effort: Effort) -> impl Iterator<Item = usize> {
    let shrink = effort.shrink.max(1);
    let sizes: Vec<usize> = sizes.iter().map(|size| (size / shrink).max(2)).collect();
    sizes.into_iter()
}

/// Points of a slope over `sizes`.
pub fn points(
    sizes: &[usize],
    effort: Effort,
    mut value: impl FnMut(usize) -> Result<f64>,
) -> Result<Vec<(f64, f64)>> {
    shrunk(sizes, effort)
        .map(|size| Ok((size as f64, value(size)?)))
        .collect()
}

fn over_tables(
    sizes: &[usize],
    effort: Effort,
    texts: impl Fn(usize) -> (String, String),
    mut value: impl FnMut(&str, &str) -> Result<f64>,
) -> Result<Vec<(f64, f64)>> {
    points(sizes, effort, |size| {
        let (routes, pools) = texts(size);
        TableSet::parse(&routes, &pools)?;
        value(&routes, &pools)
    })
}

fn by_upstream(size: usize) -> (String, String) {
    texts(1, FEW_ROUTES, size)
}

fn by_route(size: usize) -> (String, String) {
    texts(1, size, FEW_UPSTREAMS)
}

fn parse_time(effort: Effort, routes: &str, pools: &str) -> f64 {
    measure::time(effort, || TableSet::parse(routes, pools)) / 1e3
}

/// Time to check, parse and join a set.
pub fn parse(effort: Effort) -> Result<Slope> {
    let points = over_tables(&UPSTREAMS, effort, by_upstream, |routes, pools| {
        Ok(parse_time(effort, routes, pools))
    })?;
    Ok(Slope::new("table.parse", "upstreams", "ms", &points))
}

/// Text of a set.
pub fn bytes(effort: Effort) -> Result<Slope> {
    let points = over_tables(&UPSTREAMS, effort, by_upstream, |routes, pools| {
        Ok((routes.len() + pools.len()) as f64 / 1024.0)
    })?;
    Ok(Slope::new("table.bytes", "upstreams", "KiB", &points))
}

/// Memory of a set.
pub fn memory(effort: Effort) -> Result<Slope> {
    let points = over_tables(&UPSTREAMS, effort, by_upstream, |routes, pools| {
        let guess = pools.len() * 3;
        measure::memory(guess, || TableSet::parse(routes, pools))
    })?;
    Ok(Slope::new("table.memory", "upstreams", "KiB", &points))
}

/// Time to check, parse and join a set, over routes.
pub fn route_parse(effort: Effort) -> Result<Slope> {
    let points = over_tables(&ROUTES, effort, by_route, |routes, pools| {
        Ok(parse_time(effort, routes, pools))
    })?;
    Ok(Slope::new("route.parse", "routes", "ms", &points))
}

/// Memory of a set, over routes.
pub fn route_memory(effort: Effort) -> Result<Slope> {
    let points = over_tables(&ROUTES, effort, by_route, |routes, pools| {
        let guess = routes.len() * 3;
        measure::memory(guess, || TableSet::parse(routes, pools))
    })?;
    Ok(Slope::new("route.memory", "routes", "KiB", &points))
}

/// Time to parse a live list.
pub fn live_parse(effort: Effort) -> Result<Slope> {
    let points = points(&UPSTREAMS, effort, |size| {
        let text = live_text(size);
        Live::parse(&text)?;
        Ok(measure::time(effort, || Live::parse(&text)) / 1e3)
    })?;
    Ok(Slope::new("live.parse", "VMs", "ms", &points))
}

/// Memory of a live list.
pub fn live_memory(effort: Effort) -> Result<Slope> {
    let points = points(&UPSTREAMS, effort, |size| {
        let text = live_text(size);
        measure::memory(size * GUESS, || Live::parse(&text))
    })?;
    Ok(Slope::new("live.memory", "VMs", "KiB", &points))
}

/// A process that has read tables and live list from the platform.
fn core(size: usize) -> sync::Core {
    let settings = sync::Settings {
        addr: address(0),
        zone: "zone-0".to_string(),
        seeds: Vec::new(),
        sync_mode: sync::SyncMode::Peers,
        parsers: sync::Parsers::default(),
    };
    let mut core = sync::Core::new(settings, fastrand::Rng::with_seed(1));
    let (routes, pools) = texts(1, FEW_ROUTES, size);
    let values = [routes, pools, live_text(size)];
    for ticks in 1..=40 {
        let now = Millis(ticks * sync::TICK.0);
        let mut out = Vec::new();
        core.tick(now, &mut out);
        for action in out {
            if let sync::Action::Read { call, key, .. } = action {
                let text = values[key as usize].as_str().into();
                let reading = Some(Reading { index: 1, text });
                let event = Event::Read { call, key, reading };
                core.on_event(now, event, &mut Vec::new());
            }
        }
    }
    assert_eq!(core.stamp().revision, 1, "the core has read its tables");
    assert_eq!(
        core.live().vms.len(),
        size,
        "the core has read the live list"
    );
    assert!(ConfigKey::ALL.len() == values.len());
    core
}

/// Time of one tick of the spread.
pub fn sync_tick(effort: Effort) -> Result<Slope> {
    let points = points(&UPSTREAMS, effort, |size| {
        let mut core = core(size);
        let mut now = Millis(20_000);
        Ok(measure::time(effort, || {
            now = now.plus(sync::TICK);
            let mut out = Vec::new();
            core.tick(now, &mut out);
            out
        }))
    })?;
    Ok(Slope::new("sync.tick", "VMs", "us", &points))
}

/// Time to make a delta of one changed upstream for a peer.
pub fn delta(effort: Effort) -> Result<Slope> {
    let points = points(&UPSTREAMS, effort, |size| {
        let set = |revision| {
            let (routes, pools) = texts(revision, FEW_ROUTES, size);
            let pools = match revision {
                1 => pools,
                _ => pools.replacen("region: r1 }", "region: r1, drain: true }", 1),
            };
            TableSet::parse(&routes, &pools).map(Arc::new)
        };
        let (old, new) = (set(1)?, set(2)?);
        let base: Stamp = old.stamp.clone();
        let make = || {
            let mut hold = sync::ActiveSet::default();
            hold.offer(old.clone());
            hold.offer(new.clone());
            hold.reply(&base)
        };
        let reply = make();
        assert!(!reply.delta.is_empty(), "the reply is a delta");
        Ok(measure::time(effort, make) / 1e3)
    })?;
    Ok(Slope::new("sync.delta", "upstreams", "ms", &points))
}
