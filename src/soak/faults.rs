//! Injects faults into entry processes, upstreams and their connections. Most
//! overlap with others.

use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;

use fastrand::Rng;
use smol::Task;

use crate::net::client;
use crate::net::rt;
use crate::platform::standin;
use crate::prelude::*;
use crate::soak::Harness;
use crate::soak::Options;
use crate::soak::POOLS;
use crate::soak::ZONES;
use crate::soak::checker;
use crate::soak::proxy::Fault;
use crate::soak::upstream;
use crate::util::lock;

/// Shortest and longest time between the starts of two faults, in milliseconds.
/// Most faults last longer, so that several overlap.
const GAP_MS: (u64, u64) = (150, 900);

/// Time within which an entry must accept connections after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the state of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum number of live upstreams that faults leave in a pool.
const MIN_LIVE: usize = 2;

/// An entry process, which can be stopped and started again.
pub struct Process {
    program: PathBuf,
    ip: IpAddr,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    /// Writes the settings of a process, which is not started yet.
    pub fn new(options: &Options, ip: IpAddr, settings: &str) -> Result<Process> {
        let path = options.dir.join(format!("{ip}.conf"));
        std::fs::write(&path, settings)
            .map_err(|e| Error::new(Code::Internal, format!("{}: {e}", path.display())))?;
        Ok(Process {
            program: options.program.clone(),
            ip,
            name: format!("front-{ip}"),
            settings: path,
            log: options.dir.join(format!("{ip}.log")),
            child: Mutex::default(),
        })
    }

    /// Returns the address that the process listens on.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Returns the name of its VM, as the checker knows it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts the process; its log is appended to the same file.
    pub fn start(&self) -> Result<()> {
        let failed = |e: std::io::Error| {
            Error::new(Code::Internal, format!("{}: {e}", self.program.display()))
        };
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(failed)?;
        let child = Command::new(&self.program)
            .arg("--prepared")
            .env("CHERVILQUAY_CONFIG", &self.settings)
            .stdout(log)
            .stderr(std::process::Stdio::null())
            .spawn();
        *lock(&self.child) = Some(child.map_err(failed)?);
        Ok(())
    }

    /// Waits until it accepts connections; fails after `START_TIMEOUT`.
    pub async fn until_ready(&self) -> Result<()> {
        let addr = SocketAddr::new(self.ip, 18_005);
        let started = std::time::Instant::now();
        loop {
            match client::connect_tcp(addr).await {
                Ok(_) => return Ok(()),
                Err(error) if started.elapsed() > START_TIMEOUT => return Err(error),
                Err(_) => smol::Timer::after(POLL_INTERVAL).await,
            };
        }
    }

    /// Sends a signal to the process, if it runs.
    fn signal(&self, name: &str) {
        let child = lock(&self.child);
        if let Some(child) = child.as_ref() {
            let id = child.id().to_string();
            // A process that has just ended needs no signal.
            let _ = Command::new("kill").args([name, &id]).status();
        }
    }

    /// Waits until the process has ended.
    async fn until_ended(&self) {
        loop {
            if let Some(child) = lock(&self.child).as_mut()
                && matches!(child.try_wait(), Ok(None))
            {
                // Still running.
            } else {
                *lock(&self.child) = None;
                return;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Injects faults for `length` and waits for their end. Returns about how many
/// there were: faults of entry processes are not counted, and configurations
/// count by the highest version.
pub async fn run(harness: &Arc<Harness>, seed: u64, length: Duration) -> usize {
    let mut rng = Rng::with_seed(seed);
    let started = std::time::Instant::now();
    let mut tasks: Vec<Task<()>> = Vec::new();
    // At most one fault at a time per process, so that its signals do not overlap.
    let mut process_tasks: Vec<Option<Task<()>>> = harness.processes.iter().map(|_| None).collect();
    let mut version = 1;
    tasks.push(rt::spawn(restore_store(harness.clone(), seed, length)));
    for (number, (zone, _)) in (1..).zip(ZONES) {
        let rng = Rng::with_seed(seed ^ (number << 48));
        tasks.push(rt::spawn(evacuate(harness.clone(), rng, zone, length)));
    }
    while started.elapsed() < length {
        smol::Timer::after(Duration::from_millis(rng.u64(GAP_MS.0..GAP_MS.1))).await;
        let duration = Duration::from_millis(rng.u64(100..3_000));
        let index = rng.usize(0..harness.processes.len());
        let kind = rng.u32(0..14);
        let shared = harness.clone();
        match kind {
            0..=4 => {
                let is_free = process_tasks[index].as_ref().is_none_or(Task::is_finished);
                if is_free {
                    process_tasks[index] =
                        Some(rt::spawn(fault_process(shared, index, kind, duration)));
                }
            }
            5..=6 => {
                let fault = draw_fault(&mut rng);
                tasks.push(rt::spawn(async move {
                    let name = shared.processes[index].name().to_string();
                    lock(&shared.checker).on_fault_start(&name);
                    shared.store_proxies[index].set_fault(fault);
                    smol::Timer::after(duration).await;
                    shared.store_proxies[index].set_fault(Fault::None);
                    lock(&shared.checker).on_fault_end(shared.now(), &name);
                }));
            }
            7 => {
                let fault = draw_fault(&mut rng);
                tasks.push(rt::spawn(fault_store(shared, fault, duration)));
            }
            8..=9 => {
                version += rng.u64(1..4);
                harness.configure(version);
            }
            10 => tasks.extend(replace_upstream(harness, &mut rng)),
            _ => tasks.extend(crash_upstream(harness, &mut rng, duration)),
        }
    }
    let count = tasks.len() + version as usize;
    for task in tasks.into_iter().chain(process_tasks.into_iter().flatten()) {
        task.await;
    }
    count
}

/// Returns a random fault of connections.
fn draw_fault(rng: &mut Rng) -> Fault {
    match rng.u32(0..4) {
        0 => Fault::Delay(rng.u64(5..400)),
        1 => Fault::Reset,
        2 => Fault::Silence,
        _ => Fault::OneWay,
    }
}

/// Applies a fault to the connections of all entries to the store.
async fn fault_store(harness: Arc<Harness>, fault: Fault, duration: Duration) {
    lock(&harness.checker).on_fault_start(checker::STORE);
    for proxy in &harness.store_proxies {
        proxy.set_fault(fault);
    }
    smol::Timer::after(duration).await;
    for proxy in &harness.store_proxies {
        proxy.set_fault(Fault::None);
    }
    lock(&harness.checker).on_fault_end(harness.now(), checker::STORE);
}

/// Lets the store come back from a copy now and then, until `length` has passed. What the
/// operator and the upstreams wrote since the copy is written again soon after.
async fn restore_store(harness: Arc<Harness>, seed: u64, length: Duration) {
    /// Longest time until what was lost is written again, in milliseconds.
    const REWRITE_MS: u64 = 800;
    // A generator of its own: the plan of the other faults stays that of the seed.
    let mut rng = Rng::with_seed(!seed);
    let started = std::time::Instant::now();
    loop {
        smol::Timer::after(Duration::from_millis(rng.u64(300..3_000))).await;
        let copy = harness.store.copy();
        smol::Timer::after(Duration::from_millis(rng.u64(0..4_000))).await;
        if started.elapsed() >= length {
            return;
        }
        lock(&harness.checker).on_fault_start(checker::STORE);
        for proxy in &harness.store_proxies {
            proxy.set_fault(Fault::Reset);
        }
        smol::Timer::after(Duration::from_millis(rng.u64(0..2_000))).await;
        let lost = harness.store.restore(copy);
        for proxy in &harness.store_proxies {
            proxy.set_fault(Fault::None);
        }
        smol::Timer::after(Duration::from_millis(rng.u64(0..REWRITE_MS))).await;
        harness.store.rewrite(lost);
        lock(&harness.checker).on_fault_end(harness.now(), checker::STORE);
    }
}

/// Evacuates a zone now and then, until `length` has passed: often briefly, so that the
/// revocation overtakes the order, and else for longer than its bound.
async fn evacuate(harness: Arc<Harness>, mut rng: Rng, zone: &'static str, length: Duration) {
    let started = std::time::Instant::now();
    let (key, value) = standin::evacuation(zone);
    loop {
        smol::Timer::after(Duration::from_millis(rng.u64(500..8_000))).await;
        let left = length.saturating_sub(started.elapsed());
        if left.is_zero() {
            return;
        }
        // The zone of the entries returns sooner, so that not all requests are refused.
        let (share, longest) = if zone == ZONES[0].0 {
            (1, 9_000)
        } else {
            (3, 15_000)
        };
        let span = if rng.u32(0..4) < share {
            rng.u64(6_000..longest)
        } else {
            rng.u64(50..1_500)
        };
        harness.store.put(&key, Some(&value));
        lock(&harness.checker).on_evacuated(harness.now(), zone);
        smol::Timer::after(Duration::from_millis(span).min(left)).await;
        lock(&harness.checker).on_revoked(zone);
        harness.store.put(&key, None);
    }
}

/// Pauses, kills, stops or signals an entry process, depending on `kind`, and
/// brings it back after all but the last: SIGHUP, which it survives.
async fn fault_process(harness: Arc<Harness>, index: usize, kind: u32, duration: Duration) {
    let process = &harness.processes[index];
    match kind {
        0 => {
            lock(&harness.checker).on_fault_start(process.name());
            process.signal("-STOP");
            smol::Timer::after(duration).await;
            process.signal("-CONT");
            lock(&harness.checker).on_fault_end(harness.now(), process.name());
        }
        1 => {
            lock(&harness.checker).on_fault_start(process.name());
            process.kill();
            smol::Timer::after(duration).await;
            restart(&harness, process).await;
            lock(&harness.checker).on_fault_end(harness.now(), process.name());
        }
        2 | 3 => {
            lock(&harness.checker).on_sigterm(harness.now(), process.name());
            process.signal("-TERM");
            process.until_ended().await;
            lock(&harness.checker).on_fault_start(process.name());
            restart(&harness, process).await;
            lock(&harness.checker).on_fault_end(harness.now(), process.name());
        }
        _ => process.signal("-HUP"),
    }
}

/// Starts a process again and waits until it is ready; records a failure.
async fn restart(harness: &Harness, process: &Process) {
    lock(&harness.checker).on_restart(process.name());
    let started = match process.start() {
        Ok(()) => process.until_ready().await,
        Err(error) => Err(error),
    };
    if let Err(error) = started {
        lock(&harness.checker).on_failed_start(harness.now(), process.name(), &error.to_string());
    }
}

/// Starts a new upstream and drains one of the same pool in the background.
fn replace_upstream(harness: &Arc<Harness>, rng: &mut Rng) -> Option<Task<()>> {
    let pool = POOLS[rng.usize(0..POOLS.len())];
    let live = live_upstreams(harness, pool);
    if live.len() < MIN_LIVE {
        return None;
    }
    let upstream = live[rng.usize(0..live.len())].clone();
    if let Err(error) = upstream::start(harness, pool, upstream.zone) {
        lock(&harness.checker).on_failed_start(harness.now(), pool, &error.to_string());
    }
    let harness = harness.clone();
    Some(rt::spawn(async move { upstream.drain(&harness).await }))
}

/// Applies a fault to one upstream in the background; it returns afterwards.
fn crash_upstream(harness: &Arc<Harness>, rng: &mut Rng, duration: Duration) -> Option<Task<()>> {
    let pool = POOLS[rng.usize(0..POOLS.len())];
    let live = live_upstreams(harness, pool);
    if live.len() <= MIN_LIVE {
        return None;
    }
    let upstream = live[rng.usize(0..live.len())].clone();
    let fault = draw_fault(rng);
    let down = duration * 2;
    let harness = harness.clone();
    Some(rt::spawn(async move {
        upstream.crash(&harness, fault, down).await;
    }))
}

/// Returns the upstreams of a pool that are neither leaving nor crashed.
fn live_upstreams(harness: &Harness, pool: &str) -> Vec<Arc<upstream::Upstream>> {
    let upstreams = lock(&harness.upstreams);
    let live = upstreams.iter().filter(|u| u.is_live() && u.pool == pool);
    live.cloned().collect()
}
