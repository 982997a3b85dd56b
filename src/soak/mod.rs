//! Randomized soak test: real entry processes run against stand-ins for the
//! store and the upstreams while faults are injected from outside. Invariants
//! are checked from what callers and upstreams observe.

pub mod caller;
pub mod checker;
pub mod faults;
pub mod proxy;
pub mod upstream;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;

use smol::channel;

use crate::net::rt;
use crate::net::server;
use crate::platform::standin;
use crate::platform::standin::RouteSpec;
use crate::platform::standin::StoreStandin;
use crate::prelude::*;
use crate::soak::checker::Checker;
use crate::soak::faults::Process;
use crate::soak::proxy::Proxy;
use crate::soak::upstream::Upstream;
use crate::util::lock;

/// Names of the pools of upstreams.
const POOLS: [&str; 2] = ["left", "right"];

/// Zones of the upstreams with their regions; the entries are in the first.
pub const ZONES: [(&str, &str); 2] = [("z", "r"), ("y", "q")];

/// Region to which the route `stream` is restricted: not that of the entries.
pub const STREAM_REGION: &str = ZONES[1].1;

/// Upstreams of a pool at the start, in turn in each of the zones.
const UPSTREAMS: usize = 4;

/// Time for which callers go on after the last fault, so that its late effects
/// are observed. Longer than a configuration or a drain may take.
const CALM_END: Duration = Duration::from_millis(4_000);

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the choices of faults and callers.
    pub seed: u64,
    /// Time for which faults are injected.
    pub length: Duration,
    /// Number of entry processes.
    pub entries: usize,
    /// Number of callers that send at the same time.
    pub callers: usize,
    /// Path of the program that entry processes run.
    pub program: PathBuf,
    /// Directory for settings and logs; created if missing.
    pub dir: PathBuf,
}

/// Result of a soak.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of requests sent, and of those with a complete answer.
    pub requests: (usize, usize),
    /// Number of faults injected, as [`faults::run`] counts them.
    pub faults: usize,
    /// Violations of invariants in the order they were found, up to a limit.
    pub violations: Vec<String>,
}

/// State shared by the callers, the upstreams and the fault injection.
pub struct Harness {
    /// Clock of all times that the checker is given.
    pub clock: Clock,
    /// Checker of the invariants.
    pub checker: Mutex<Checker>,
    /// Stand-in of the platform's store.
    pub store: StoreStandin,
    /// Proxies in front of the store, one per entry process.
    pub store_proxies: Vec<Proxy>,
    /// Entry processes.
    pub processes: Vec<Process>,
    /// All upstreams started so far, including those that have ended.
    pub upstreams: Mutex<Vec<Arc<Upstream>>>,
    /// Loopback address of the store, the proxies and the upstreams.
    pub ip: IpAddr,
}

impl Harness {
    /// Returns the current time on the checker's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Publishes a configuration; the pool of the route `moves` depends on whether
    /// `version` is even.
    pub fn configure(&self, version: u64) {
        let pool = POOLS[(version % 2) as usize];
        let route = |name, kind, pool| RouteSpec {
            name,
            kind,
            pool,
            attempts: 2,
        };
        let routes = [
            route("safe", "idempotent", POOLS[0]),
            route("once", "non_idempotent", POOLS[1]),
            route("stream", "streaming", POOLS[0]),
            route("moves", "idempotent", pool),
        ];
        let (key, mut doc) = standin::config(version, &routes);
        standin::restrict(&mut doc, "stream", &[STREAM_REGION]);
        self.store.put(key, Some(&doc));
        lock(&self.checker).on_config(self.now(), pool);
    }
}

/// Runs a soak; fails if the processes cannot be started.
pub fn run(options: &Options) -> Result<Report> {
    std::fs::create_dir_all(&options.dir)
        .map_err(|e| Error::new(Code::Internal, format!("{}: {e}", options.dir.display())))?;
    rt::run(4, run_soak(options))
}

async fn run_soak(options: &Options) -> Result<Report> {
    let harness = start_harness(options).await?;
    let (stop, stopped) = channel::bounded::<()>(1);
    let callers: Vec<_> = (0..options.callers)
        .map(|index| {
            let seed = options.seed.wrapping_mul(1_000) + index as u64;
            rt::spawn(caller::run(harness.clone(), seed, stopped.clone()))
        })
        .collect();
    let faults = faults::run(&harness, options.seed, options.length).await;
    smol::Timer::after(CALM_END).await;
    drop(stop);
    for caller in callers {
        caller.await;
    }
    for process in &harness.processes {
        process.kill();
    }
    let checker = lock(&harness.checker);
    Ok(Report {
        requests: checker.counts(),
        faults,
        violations: checker.violations().to_vec(),
    })
}

/// Starts the store, its proxies, the upstreams and the entry processes, and
/// waits until the entries accept connections.
async fn start_harness(options: &Options) -> Result<Arc<Harness>> {
    // Derives the addresses from the process id, so that soaks can run at the same time.
    let pid = std::process::id();
    let ip = |last: usize| {
        let (second, third) = (8 + pid % 100, pid / 100 % 250);
        IpAddr::from(Ipv4Addr::new(
            127,
            second as u8,
            third as u8,
            last as u8 + 1,
        ))
    };
    let listener = server::bind(SocketAddr::new(ip(0), 0))?;
    let store_addr = proxy::local_addr(&listener)?;
    let mut store_proxies = Vec::new();
    for _ in 0..options.entries {
        store_proxies.push(Proxy::start(ip(0), store_addr)?);
    }
    let seeds: Vec<SocketAddr> = (0..options.entries)
        .map(|index| SocketAddr::new(ip(index + 1), 18_000))
        .collect();
    let mut processes = Vec::new();
    for (index, proxy) in store_proxies.iter().enumerate() {
        let mut text = standin::entry_settings(ip(index + 1), &seeds, proxy.addr());
        text += standin::EVACUATION_SETTING;
        for (zone, region) in &ZONES[1..] {
            text += &standin::zone_setting(zone, region);
        }
        processes.push(Process::new(options, ip(index + 1), &text)?);
    }
    let harness = Arc::new(Harness {
        clock: Clock::new(),
        checker: Mutex::default(),
        store: StoreStandin::default(),
        store_proxies,
        processes,
        upstreams: Mutex::default(),
        ip: ip(0),
    });
    let served = harness.clone();
    // The store is served until the process ends: nothing closes this channel.
    let (_open, shutdown) = channel::bounded::<()>(1);
    rt::spawn(async move {
        let answer = move |request| {
            let harness = served.clone();
            async move { harness.store.answer(request).await }
        };
        server::serve(listener, server::Limits::default(), shutdown, answer).await;
        drop(_open);
    })
    .detach();
    let names = harness.processes.iter().map(|p| p.name().to_string());
    lock(&harness.checker).set_entries(names);
    harness.configure(1);
    for pool in POOLS {
        for number in 0..UPSTREAMS {
            let (zone, _) = ZONES[number % ZONES.len()];
            upstream::start(&harness, pool, zone)?;
        }
    }
    for process in &harness.processes {
        process.start()?;
    }
    for process in &harness.processes {
        process.until_ready().await?;
    }
    Ok(harness)
}
