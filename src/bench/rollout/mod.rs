//! Rollouts of weights to many VMs over loopback TCP with small emulated links.
//!
//! Every VM runs the agent's own transfer code. Its links are the agent's own
//! token buckets, set to the rates of the emulated links.

pub mod origin;
pub mod report;
pub mod vm;

use std::time::Duration;
use std::time::Instant;

use crate::agent::transfer::link::Pacer;
use crate::bench::rollout::origin::Origin;
use crate::bench::rollout::report::Report;
use crate::bench::rollout::vm::Vm;
use crate::net::rt;
use crate::prelude::*;
use crate::rollout::Digest;
use crate::rollout::manifest;
use crate::rollout::manifest::Chunk;
use crate::rollout::plan;
use crate::rollout::plan::Topology;

/// Rate of a VM's link each way, in bytes a second.
///
/// 200 VMs then move 100 MB/s in all, which takes a few of ten cores.
pub const VM_RATE: f64 = 512.0 * 1024.0;

/// Rate of the origin's link: four copies in the time in which a VM's link carries two.
pub const ORIGIN_RATE: f64 = 2.0 * VM_RATE;

/// Rate into each region, when there are several.
pub const REGION_RATE: f64 = 2.0 * VM_RATE;

/// Bytes of one message on an emulated link.
pub const PART_LEN: usize = 16 << 10;

/// Longest run of one policy.
const RUN_LIMIT: Duration = Duration::from_secs(300);

/// One measured way to distribute a version.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name in the report.
    pub name: &'static str,
    /// Settings of the planner.
    pub plan: plan::Settings,
    /// Chunks of the version.
    pub chunks: usize,
    /// Bytes of a chunk.
    pub chunk_len: usize,
}

/// Time that a pull waits at its source: about one and a half chunk times here.
const WAIT: Millis = Millis(200);

/// Chunks of the version in full runs.
///
/// A manifest entry takes some 130 bytes, so fewer or longer chunks would let
/// the first chunk times, and more or shorter ones the manifest, decide.
const CHUNKS: usize = 256;

/// Bytes of a chunk in full runs.
const CHUNK_LEN: usize = 64 << 10;

/// Chunks of the version when every VM draws from the origin.
///
/// Such a run takes half as many copy times as there are VMs, so it gets a
/// 128th of the version; its time ratio does not depend on the size.
const DIRECT_CHUNKS: usize = 16;

/// Bytes of a chunk when every VM draws from the origin.
const DIRECT_LEN: usize = 8 << 10;

impl Policy {
    /// The policy of this name.
    pub fn named(name: &str) -> Option<Policy> {
        let base = plan::Settings {
            wait: WAIT,
            ..plan::Settings::default()
        };
        let tree = |topology, stripes| plan::Settings {
            topology,
            stripes,
            zone_pulls: 2 * stripes,
            ..base.clone()
        };
        let (name, plan) = match name {
            "chervilquay" => ("chervilquay", base.clone()),
            "chain" => ("chain", tree(Topology::Tree(1), 1)),
            "tree2" => ("tree2", tree(Topology::Tree(2), 8)),
            "tree4" => ("tree4", tree(Topology::Tree(4), 8)),
            "direct" => ("direct", direct(&base)),
            _ => return None,
        };
        let is_direct = plan.topology == Topology::Direct;
        Some(Policy {
            name,
            plan,
            chunks: if is_direct { DIRECT_CHUNKS } else { CHUNKS },
            chunk_len: if is_direct { DIRECT_LEN } else { CHUNK_LEN },
        })
    }

    /// Bytes of the version.
    fn bytes(&self) -> u64 {
        (self.chunks * self.chunk_len) as u64
    }
}

/// Settings with which every VM draws from the origin.
///
/// The origin's link is shared by all VMs, so a pull may get nothing for many
/// seconds; giving it up would only waste what it has sent.
fn direct(base: &plan::Settings) -> plan::Settings {
    plan::Settings {
        topology: Topology::Direct,
        stripes: 1,
        stall_timeout: Millis(RUN_LIMIT.as_millis() as u64),
        ..base.clone()
    }
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// VMs to fill.
    pub vms: usize,
    /// Seed of content, faults and choices.
    pub seed: u64,
    /// Availability zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// True when VMs die, peers stall and chunks are corrupted.
    pub faults: bool,
}

/// Content that is published: manifest, chunks and their digests.
struct Version {
    digest: Digest,
    blobs: IndexMap<Digest, Bytes>,
}

fn publish(policy: &Policy, seed: u64) -> Version {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut blobs = IndexMap::new();
    let mut chunks = Vec::new();
    for _ in 0..policy.chunks {
        let mut bytes = vec![0; policy.chunk_len];
        rng.fill(&mut bytes);
        let digest = Digest::of(&bytes);
        chunks.push(Chunk {
            digest,
            length: bytes.len() as u64,
        });
        blobs.insert(digest, Bytes::from(bytes));
    }
    let text = manifest::text(&chunks);
    let digest = Digest::of(&text);
    blobs.insert(digest, Bytes::from(text));
    Version { digest, blobs }
}

/// Time in which no way of distribution can be faster, in seconds.
///
/// Each VM draws a copy over its own link, the origin sends at least one, all
/// uploads together carry a copy for each VM, and each region draws one.
fn bound(scenario: &Scenario, bytes: u64) -> f64 {
    let (bytes, vms) = (bytes as f64, scenario.vms as f64);
    let shared = vms * bytes / (ORIGIN_RATE + vms * VM_RATE);
    let region = if scenario.regions > 1 {
        bytes / REGION_RATE
    } else {
        0.0
    };
    (bytes / VM_RATE)
        .max(bytes / ORIGIN_RATE)
        .max(shared)
        .max(region)
}

/// Runs one policy to the end and reports it.
pub async fn run(scenario: &Scenario, policy: &Policy) -> Result<Report> {
    let version = publish(policy, scenario.seed);
    let origin = Origin::start(version.blobs, ORIGIN_RATE, scenario.faults)?;
    let rate = if scenario.regions > 1 {
        REGION_RATE
    } else {
        f64::MAX
    };
    let regions: Vec<_> = (0..scenario.regions)
        .map(|_| Pacer::new(rate, PART_LEN as f64))
        .collect();
    let vms = start(scenario, policy, origin.addr(), &regions)?;
    let members: Vec<_> = vms.iter().map(|vm| vm.member.clone()).collect();
    let cpu = report::cpu_seconds();
    let begin = Instant::now();
    for vm in &vms {
        vm.begin(&members, version.digest);
    }
    let faults = scenario.faults.then(|| inject(scenario, policy, &vms));
    let slowest = finish(&vms, begin).await?;
    drop(faults);
    let links = report::Links {
        origin: origin.sent(),
        regions: regions.iter().map(Pacer::passed).collect(),
    };
    let cpu = report::cpu_seconds() - cpu;
    let bound = bound(scenario, policy.bytes());
    let measured = report::Measured {
        seconds: slowest,
        bound,
        cpu,
        bytes: policy.bytes(),
    };
    Ok(Report::new(scenario, policy, &vms, &links, &measured))
}

fn start(
    scenario: &Scenario,
    policy: &Policy,
    origin: std::net::SocketAddr,
    regions: &[Pacer],
) -> Result<Vec<Vm>> {
    let vm = |index| {
        let zone = index % scenario.zones;
        let region = zone % scenario.regions;
        let place = vm::Place {
            index,
            zone,
            region,
            link: regions[region].clone(),
        };
        Vm::start(place, policy, origin, scenario)
    };
    (0..scenario.vms).map(vm).collect()
}

/// Ends or stalls some VMs at random times in mid-transfer.
fn inject(scenario: &Scenario, policy: &Policy, vms: &[Vm]) -> smol::Task<()> {
    let mut rng = fastrand::Rng::with_seed(scenario.seed ^ 0xfa17);
    let bound = bound(scenario, policy.bytes());
    let mut order: Vec<_> = (0..vms.len()).collect();
    rng.shuffle(&mut order);
    let dead = vms.len() / 10;
    let stalled = vms.len() / 20;
    let mut times: Vec<_> = order[..dead + stalled]
        .iter()
        .enumerate()
        .map(|(place, index)| (bound * (0.05 + 0.9 * rng.f64()), place < dead, *index))
        .collect();
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let handles: Vec<_> = vms.iter().map(Vm::handle).collect();
    rt::spawn(async move {
        let begin = Instant::now();
        for (at, dies, index) in times {
            let wait = Duration::from_secs_f64(at).saturating_sub(begin.elapsed());
            smol::Timer::after(wait).await;
            if dies {
                handles[index].kill();
            } else {
                handles[index].stall();
            }
        }
    })
}

/// Waits until every VM that lives holds the version whole; returns the seconds.
async fn finish(vms: &[Vm], begin: Instant) -> Result<f64> {
    loop {
        let missing = vms.iter().filter(|vm| vm.is_alive() && !vm.is_ready());
        let missing = missing.count();
        if missing == 0 {
            return Ok(begin.elapsed().as_secs_f64());
        }
        if begin.elapsed() > RUN_LIMIT {
            let detail = format!("{missing} VMs not filled in {} s", RUN_LIMIT.as_secs());
            return Err(Error::new(Code::BenchFailed, detail));
        }
        smol::Timer::after(Duration::from_millis(10)).await;
    }
}
