//! Randomized soak: real entry processes, stand-ins for store and runners,
//! faults from outside, and promises checked from what callers and runners see.

pub mod caller;
pub mod faults;
pub mod judge;
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
use crate::soak::faults::Process;
use crate::soak::judge::Judge;
use crate::soak::proxy::Proxy;
use crate::soak::upstream::Upstream;
use crate::util::lock;

/// Pools of upstreams, and upstreams in each.
const POOLS: [&str; 2] = ["left", "right"];

/// Upstreams of a pool at the start.
const UPSTREAMS: usize = 3;

/// Time after the last fault in which requests still run, so that late faults
/// show: longer than a configuration or a drain may take.
const CALM_END: Duration = Duration::from_millis(4_000);

/// What a soak is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all choices.
    pub seed: u64,
    /// Length of the disturbed part.
    pub length: Duration,
    /// Entry processes.
    pub entries: usize,
    /// Callers at a time.
    pub callers: usize,
    /// Program of the entries.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub dir: PathBuf,
}

/// Result of a soak.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests sent, and of these answered whole.
    pub requests: (usize, usize),
    /// Faults that were injected.
    pub faults: usize,
    /// Broken promises, the earliest first.
    pub broken: Vec<String>,
}

/// State that all parts share.
pub struct World {
    /// Clock of the judge.
    pub clock: Clock,
    /// What was seen.
    pub judge: Mutex<Judge>,
    /// Stand-in of the platform's store.
    pub store: StoreStandin,
    /// Links to the store, one for each entry.
    pub links: Vec<Proxy>,
    /// Entry processes.
    pub processes: Vec<Process>,
    /// Upstreams that were ever started.
    pub upstreams: Mutex<Vec<Arc<Upstream>>>,
    /// Address of everything that is not an entry.
    pub ip: IpAddr,
}

impl World {
    /// Time now, for the judge.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Puts a configuration in force; the pool of the route `moves` alternates.
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
        let (key, doc) = standin::config(version, &routes);
        self.store.put(key, Some(&doc));
        lock(&self.judge).configured(self.now(), pool);
    }
}

/// Runs a soak.
pub fn run(options: &Options) -> Result<Report> {
    std::fs::create_dir_all(&options.dir)
        .map_err(|e| Error::new(Code::Internal, format!("{}: {e}", options.dir.display())))?;
    rt::run(4, soak(options))
}

async fn soak(options: &Options) -> Result<Report> {
    let world = start(options).await?;
    let (stop, stopped) = channel::bounded::<()>(1);
    let callers: Vec<_> = (0..options.callers)
        .map(|index| {
            let seed = options.seed.wrapping_mul(1_000) + index as u64;
            rt::spawn(caller::run(world.clone(), seed, stopped.clone()))
        })
        .collect();
    let faults = faults::run(&world, options.seed, options.length).await;
    smol::Timer::after(CALM_END).await;
    drop(stop);
    for caller in callers {
        caller.await;
    }
    for process in &world.processes {
        process.end();
    }
    let judge = lock(&world.judge);
    Ok(Report {
        requests: judge.counts(),
        faults,
        broken: judge.broken().to_vec(),
    })
}

async fn start(options: &Options) -> Result<Arc<World>> {
    // Soaks of several processes at once have addresses of their own.
    let own = std::process::id();
    let ip = |last: usize| {
        let (second, third) = (8 + own % 100, own / 100 % 250);
        IpAddr::from(Ipv4Addr::new(
            127,
            second as u8,
            third as u8,
            last as u8 + 1,
        ))
    };
    let listener = server::bind(SocketAddr::new(ip(0), 0))?;
    let store_addr = proxy::local(&listener)?;
    let mut links = Vec::new();
    for _ in 0..options.entries {
        links.push(Proxy::start(ip(0), store_addr)?);
    }
    let seeds: Vec<SocketAddr> = (0..options.entries)
        .map(|index| SocketAddr::new(ip(index + 1), 18_000))
        .collect();
    let mut processes = Vec::new();
    for (index, link) in links.iter().enumerate() {
        let text = standin::entry_settings(ip(index + 1), &seeds, link.addr());
        processes.push(Process::new(options, ip(index + 1), &text)?);
    }
    let world = Arc::new(World {
        clock: Clock::new(),
        judge: Mutex::default(),
        store: StoreStandin::default(),
        links,
        processes,
        upstreams: Mutex::default(),
        ip: ip(0),
    });
    let held = world.clone();
    let (_open, never) = channel::bounded::<()>(1);
    rt::spawn(async move {
        let answer = move |request| {
            let held = held.clone();
            async move { held.store.answer(request).await }
        };
        server::serve(listener, server::Limits::default(), never, answer).await;
        drop(_open);
    })
    .detach();
    world.configure(1);
    for pool in POOLS {
        for _ in 0..UPSTREAMS {
            upstream::start(&world, pool)?;
        }
    }
    for process in &world.processes {
        process.start()?;
    }
    for process in &world.processes {
        process.until_ready().await?;
    }
    Ok(world)
}
