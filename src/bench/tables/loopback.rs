//! The node code over loopback: each process is a set of tasks of this one.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use smol::channel;
use smol::channel::Sender;

use crate::bench::tables::report::Row;
use crate::bench::tables::report::Times;
use crate::bench::tables::texts;
use crate::bench::tables::texts::Shape;
use crate::bench::tables::virtual_time::policy_name;
use crate::config;
use crate::log;
use crate::net::rpc;
use crate::net::rt;
use crate::net::server;
use crate::net::server::Limits;
use crate::node::Node;
use crate::node::config_service as reads;
use crate::node::peer::PeerService;
use crate::prelude::*;
use crate::proto::peer_server::PeerServer;
use crate::standin::platform::Platform;
use crate::table::sync::SyncMode;

/// Most processes: each has some 20 connections, with both ends in this process.
pub const MAX_NODES: usize = 300;

/// Routes in the tables.
const ROUTES: usize = 60;

/// Pools in the tables.
const POOLS: usize = 20;

/// Processes asked first.
const SEEDS: usize = 3;

/// Longest time for a start.
const START: Duration = Duration::from_secs(60);

/// Time without changes over which figures are taken.
const IDLE: Duration = Duration::from_secs(60);

/// Changes at the design rate.
const CHANGES: u64 = 4;

/// Interval of changes: 5,600 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(15_400);

/// Changes of the burst.
const BURST: u64 = 15;

/// Interval of changes in the burst.
const BURST_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which stragglers are awaited.
const SETTLE: Duration = Duration::from_secs(10);

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Processes.
    pub nodes: usize,
    /// Availability zones.
    pub zones: usize,
    /// Seed in the report; task order is the scheduler's.
    pub seed: u64,
    /// Policy.
    pub sync_mode: SyncMode,
    /// True for the first run of the process: memory is measured, which a
    /// later run would take from what the first has freed.
    pub first: bool,
}

/// When a process moved to revisions.
type Moves = Arc<Mutex<Vec<(u64, Instant)>>>;

/// One process.
struct Peer {
    node: Node,
    addr: SocketAddr,
    moves: Moves,
    _stop: Sender<()>,
    _tasks: Vec<smol::Task<()>>,
}

/// A run in progress.
struct Run {
    platform: Platform,
    peers: Vec<Peer>,
    shape: Shape,
    revision: u64,
}

/// Measures one policy.
pub async fn run(options: Options) -> Result<Row> {
    let platform = Platform::default();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = platform.start(any)?;
    let before = rss_mb();
    let shape = Shape {
        nodes: options.nodes,
        zones: options.zones,
        routes: ROUTES,
        pools: POOLS.min(options.nodes),
    };
    let begin = Instant::now();
    let peers = start(options, service.addr)?;
    let mut run = Run {
        platform,
        peers,
        shape,
        revision: 0,
    };
    let mut row = Row {
        mode: "loopback".to_string(),
        policy: policy_name(options.sync_mode).to_string(),
        nodes: options.nodes,
        zones: options.zones,
        seed: options.seed,
        ..Row::default()
    };
    run.publish(&mut row).await;
    run.until_all_hold(1, begin + START).await?;
    row.start_s = begin.elapsed().as_secs_f64();
    smol::Timer::after(SETTLE).await;
    run.measure(&mut row).await;
    if options.first {
        row.node_rss_mb = Some((rss_mb() - before).max(0.0) / options.nodes as f64);
    }
    Ok(row)
}

fn start(options: Options, platform: SocketAddr) -> Result<Vec<Peer>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listeners = Vec::new();
    let mut addrs = Vec::new();
    for _ in 0..options.nodes {
        let listener = server::bind(any)?;
        let addr = listener.get_ref().local_addr();
        addrs.push(addr.map_err(|e| Error::new(Code::ListenFailed, e.to_string()))?);
        listeners.push(listener);
    }
    let peers = listeners.into_iter().enumerate().map(|(index, listener)| {
        let addr = addrs[index];
        let settings = config::Node {
            name: format!("vm-{index}"),
            zone: texts::zone(index, options.zones),
            region: String::new(),
            rpc: addr,
            admin: addr,
            platform: vec![platform],
            peers: addrs.iter().take(SEEDS).copied().collect(),
            log: log::Format::Text,
            secret: String::new(),
            memory_mb: config::default_memory(),
            max_fds: config::default_fds(),
        };
        let node = Node::with_sync_mode(settings, log::discard(), options.sync_mode);
        peer(node, addr, listener)
    });
    Ok(peers.collect())
}

fn peer(node: Node, addr: SocketAddr, listener: smol::Async<std::net::TcpListener>) -> Peer {
    let (stop, stopped) = channel::bounded::<()>(1);
    let service = PeerServer::new(PeerService::new(node.clone()));
    let serve = server::serve(listener, Limits::default(), stopped, move |request| {
        let service = service.clone();
        async move { rpc::answer(service, request).await }
    });
    let moves = Moves::default();
    let tasks = vec![
        rt::spawn(serve),
        rt::spawn(reads::watch(node.clone())),
        rt::spawn(record(node.clone(), moves.clone())),
    ];
    Peer {
        node,
        addr,
        moves,
        _stop: stop,
        _tasks: tasks,
    }
}

/// Notes when each revision came into force.
async fn record(node: Node, moves: Moves) {
    loop {
        let changed = node.in_force.listen();
        let revision = node.in_force.stamp().revision;
        note(&moves, revision);
        changed.await;
    }
}

fn note(moves: &Moves, revision: u64) {
    let mut held = moves.lock().unwrap_or_else(|e| e.into_inner());
    if revision > 0 && held.last().is_none_or(|(last, _)| *last < revision) {
        held.push((revision, Instant::now()));
    }
}

impl Run {
    /// Publishes the next set and, with the first, the live list.
    async fn publish(&mut self, row: &mut Row) -> Instant {
        self.revision += 1;
        let revision = self.revision;
        let addrs: Vec<SocketAddr> = self.peers.iter().map(|peer| peer.addr).collect();
        let routes = texts::routes(self.shape, revision, revision);
        let pools = texts::pools(self.shape, revision, revision / 10, |node| addrs[node]);
        row.tables_bytes = routes.len() + pools.len();
        if revision == 1 {
            let live = texts::live(self.shape, |_| false, |node| addrs[node]);
            self.platform.put("live", live);
        }
        self.platform.put("routes", routes);
        smol::Timer::after(Duration::from_millis(20)).await;
        self.platform.put("pools", pools);
        Instant::now()
    }

    async fn until_all_hold(&self, revision: u64, deadline: Instant) -> Result<()> {
        let behind = |peer: &&Peer| peer.node.in_force.stamp().revision < revision;
        while self.peers.iter().any(|peer| behind(&peer)) {
            if Instant::now() > deadline {
                let count = self.peers.iter().filter(behind).count();
                let detail = format!("{count} processes never held revision {revision}");
                return Err(Error::new(Code::BenchFailed, detail));
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    async fn measure(&mut self, row: &mut Row) {
        let nodes = self.peers.len() as f64;
        let (calls, bytes) = (self.platform.calls(), self.bytes());
        smol::Timer::after(IDLE).await;
        row.platform_calls_s = (self.platform.calls() - calls) as f64 / IDLE.as_secs_f64();
        let idle: u64 = self.bytes().iter().zip(&bytes).map(|(a, b)| a - b).sum();
        row.node_idle_bytes_s = idle as f64 / IDLE.as_secs_f64() / nodes;
        self.changes(row).await;
        self.burst(row).await;
    }

    async fn changes(&mut self, row: &mut Row) {
        let nodes = self.peers.len() as f64;
        let (bytes, cpu, begin) = (self.bytes(), cpu_s(), Instant::now());
        let mut published = Vec::new();
        for _ in 0..CHANGES {
            let at = self.publish(row).await;
            published.push((self.revision, at));
            smol::Timer::after(CHANGE_INTERVAL).await;
        }
        let seconds = begin.elapsed().as_secs_f64();
        row.node_cpu_percent = 100.0 * (cpu_s() - cpu) / seconds / nodes;
        let spent: Vec<u64> = self
            .bytes()
            .iter()
            .zip(&bytes)
            .map(|(a, b)| a - b)
            .collect();
        row.node_bytes_s = spent.iter().sum::<u64>() as f64 / seconds / nodes;
        row.node_bytes_max_s = spent.iter().max().map_or(0.0, |b| *b as f64 / seconds);
        smol::Timer::after(SETTLE).await;
        let mut times = self.times(&published);
        (row.in_force_p50_s, row.in_force_max_s) = times.summary();
        row.missing = times.missing;
    }

    async fn burst(&mut self, row: &mut Row) {
        let calls = self.platform.calls();
        let begin = Instant::now();
        for _ in 0..BURST {
            self.publish(row).await;
            smol::Timer::after(BURST_INTERVAL).await;
        }
        let spent = (self.platform.calls() - calls) as f64;
        row.platform_burst_calls_s = spent / begin.elapsed().as_secs_f64();
        let last = (self.revision, Instant::now());
        smol::Timer::after(SETTLE).await;
        row.missing += self.times(&[last]).missing;
    }

    fn bytes(&self) -> Vec<u64> {
        let bytes = |peer: &Peer| peer.node.table_sync.traffic().bytes();
        self.peers.iter().map(bytes).collect()
    }

    /// Times from publication until each process held the revision or a greater one.
    fn times(&self, published: &[(u64, Instant)]) -> Times {
        let mut times = Times::default();
        for peer in &self.peers {
            let moves = peer.moves.lock().unwrap_or_else(|e| e.into_inner());
            for (revision, at) in published {
                match moves.iter().find(|(held, _)| held >= revision) {
                    Some((_, moved)) => {
                        let time = moved.saturating_duration_since(*at);
                        times.values.push(time.as_millis() as u64);
                    }
                    None => times.missing += 1,
                }
            }
        }
        times
    }
}

/// Processor time of this process so far, in seconds.
fn cpu_s() -> f64 {
    /// Clock ticks in a second, fixed in the kernel's interface.
    const TICKS_S: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    // User and system time are fields 14 and 15 of the line, 11 and 12 after the name.
    let field = |place: usize| fields.get(place).and_then(|f| f.parse::<f64>().ok());
    (field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)) / TICKS_S
}

/// Resident memory of this process, in MiB.
fn rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(0.0, |kib| kib / 1_024.0)
}
