//! Faults from outside, in series that overlap.

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
use crate::prelude::*;
use crate::soak::Options;
use crate::soak::POOLS;
use crate::soak::World;
use crate::soak::judge;
use crate::soak::proxy::Fault;
use crate::soak::upstream;
use crate::util::lock;

/// Shortest and longest time between two faults, in milliseconds; most last
/// longer, so that several overlap.
const GAP_MS: (u64, u64) = (150, 900);

/// Time within which an entry is ready after its start.
const START: Duration = Duration::from_secs(10);

/// Interval at which a process is looked at.
const POLL: Duration = Duration::from_millis(20);

/// Upstreams of a pool that stay, whatever leaves.
const LEAST_LIVE: usize = 2;

/// An entry process and its starts.
pub struct Process {
    program: PathBuf,
    ip: IpAddr,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    /// A process that is not started yet; writes its settings.
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

    /// Address of the process.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Name of its VM.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts the process; its log goes on in the same file.
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

    /// Waits until it takes connections.
    pub async fn until_ready(&self) -> Result<()> {
        let addr = SocketAddr::new(self.ip, 18_005);
        let started = std::time::Instant::now();
        loop {
            match client::connect_tcp(addr).await {
                Ok(_) => return Ok(()),
                Err(error) if started.elapsed() > START => return Err(error),
                Err(_) => smol::Timer::after(POLL).await,
            };
        }
    }

    /// Sends a signal to the process, if it runs.
    fn signal(&self, name: &str) {
        let held = lock(&self.child);
        if let Some(child) = held.as_ref() {
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
            smol::Timer::after(POLL).await;
        }
    }

    /// Ends the process at once.
    pub fn end(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Injects faults for a time; returns how many.
pub async fn run(world: &Arc<World>, seed: u64, length: Duration) -> usize {
    let mut rng = Rng::with_seed(seed);
    let started = std::time::Instant::now();
    let mut tasks: Vec<Task<()>> = Vec::new();
    // One series a process, so that its signals follow each other.
    let mut busy: Vec<Option<Task<()>>> = world.processes.iter().map(|_| None).collect();
    let mut version = 1;
    while started.elapsed() < length {
        smol::Timer::after(Duration::from_millis(rng.u64(GAP_MS.0..GAP_MS.1))).await;
        let span = Duration::from_millis(rng.u64(100..3_000));
        let index = rng.usize(0..world.processes.len());
        let kind = rng.u32(0..14);
        let held = world.clone();
        match kind {
            0..=4 => {
                let is_free = busy[index].as_ref().is_none_or(Task::is_finished);
                if is_free {
                    busy[index] = Some(rt::spawn(disturb_process(held, index, kind, span)));
                }
            }
            5..=6 => {
                let fault = link_fault(&mut rng);
                tasks.push(rt::spawn(async move {
                    let name = held.processes[index].name().to_string();
                    lock(&held.judge).disturb(&name);
                    held.links[index].set(fault);
                    smol::Timer::after(span).await;
                    held.links[index].set(Fault::None);
                    lock(&held.judge).calmed(held.now(), &name);
                }));
            }
            7 => {
                let fault = link_fault(&mut rng);
                tasks.push(rt::spawn(store_fault(held, fault, span)));
            }
            8..=9 => {
                version += rng.u64(1..4);
                world.configure(version);
            }
            10 => tasks.extend(leave(world, &mut rng)),
            _ => tasks.extend(crash(world, &mut rng, span)),
        }
    }
    let count = tasks.len() + version as usize;
    for task in tasks.into_iter().chain(busy.into_iter().flatten()) {
        task.await;
    }
    count
}

fn link_fault(rng: &mut Rng) -> Fault {
    match rng.u32(0..4) {
        0 => Fault::Delay(rng.u64(5..400)),
        1 => Fault::Reset,
        2 => Fault::Silence,
        _ => Fault::OneWay,
    }
}

/// The store is disturbed for all.
async fn store_fault(world: Arc<World>, fault: Fault, span: Duration) {
    lock(&world.judge).disturb(judge::STORE);
    for link in &world.links {
        link.set(fault);
    }
    smol::Timer::after(span).await;
    for link in &world.links {
        link.set(Fault::None);
    }
    lock(&world.judge).calmed(world.now(), judge::STORE);
}

async fn disturb_process(world: Arc<World>, index: usize, kind: u32, span: Duration) {
    let process = &world.processes[index];
    match kind {
        0 => {
            lock(&world.judge).disturb(process.name());
            process.signal("-STOP");
            smol::Timer::after(span).await;
            process.signal("-CONT");
            lock(&world.judge).calmed(world.now(), process.name());
        }
        1 => {
            lock(&world.judge).disturb(process.name());
            process.end();
            smol::Timer::after(span).await;
            restart(&world, process).await;
            lock(&world.judge).calmed(world.now(), process.name());
        }
        2 | 3 => {
            lock(&world.judge).stopped(world.now(), process.name());
            process.signal("-TERM");
            process.until_ended().await;
            lock(&world.judge).disturb(process.name());
            restart(&world, process).await;
            lock(&world.judge).calmed(world.now(), process.name());
        }
        _ => process.signal("-HUP"),
    }
}

async fn restart(world: &World, process: &Process) {
    lock(&world.judge).started(process.name());
    let started = match process.start() {
        Ok(()) => process.until_ready().await,
        Err(error) => Err(error),
    };
    if let Err(error) = started {
        lock(&world.judge).unready(world.now(), process.name(), &error.to_string());
    }
}

/// An upstream leaves and another one takes its place.
fn leave(world: &Arc<World>, rng: &mut Rng) -> Option<Task<()>> {
    let pool = POOLS[rng.usize(0..POOLS.len())];
    let live = live(world, pool);
    if live.len() < LEAST_LIVE {
        return None;
    }
    let upstream = live[rng.usize(0..live.len())].clone();
    if let Err(error) = upstream::start(world, pool) {
        lock(&world.judge).unready(world.now(), pool, &error.to_string());
    }
    let world = world.clone();
    Some(rt::spawn(async move { upstream.drain(&world).await }))
}

/// An upstream falls silent or resets, and comes back.
fn crash(world: &Arc<World>, rng: &mut Rng, span: Duration) -> Option<Task<()>> {
    let pool = POOLS[rng.usize(0..POOLS.len())];
    let live = live(world, pool);
    if live.len() <= LEAST_LIVE {
        return None;
    }
    let upstream = live[rng.usize(0..live.len())].clone();
    let fault = link_fault(rng);
    let down = span * 2;
    let world = world.clone();
    Some(rt::spawn(async move {
        upstream.crash(&world, fault, down).await;
    }))
}

fn live(world: &World, pool: &str) -> Vec<Arc<upstream::Upstream>> {
    let upstreams = lock(&world.upstreams);
    let live = upstreams.iter().filter(|u| u.is_live() && u.pool == pool);
    live.cloned().collect()
}
