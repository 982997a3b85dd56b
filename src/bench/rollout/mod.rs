//! Measures rollouts of a version to many VMs in one process, over loopback TCP.
//!
//! Every VM runs the agent's transfer code. Slow network links are emulated by the token buckets
//! with which the agent paces its transfers.

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

/// Rate of a VM's link in each direction, in bytes a second.
///
/// 200 VMs then transfer 100 MB/s in total, which takes a few of ten cores.
pub const VM_RATE: f64 = 512.0 * 1024.0;

/// Rate of the origin's link, in bytes a second: four copies of a version in the time in which the
/// link of a VM carries two.
pub const ORIGIN_RATE: f64 = 2.0 * VM_RATE;

/// Rate of the link into each region, in bytes a second, when there are several regions.
pub const REGION_RATE: f64 = 2.0 * VM_RATE;

/// Bytes that pass an emulated link at a time.
pub const PART_LEN: usize = 16 << 10;

/// Time after which the run of a policy fails.
const RUN_TIMEOUT: Duration = Duration::from_secs(300);

/// A way to distribute a version, and the size of the version that it is measured with.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Name on the command line and in the report.
    pub name: &'static str,
    /// Settings of the planner that each VM runs.
    pub plan: plan::Settings,
    /// Number of chunks of the version.
    pub chunks: usize,
    /// Length of a chunk, in bytes.
    pub chunk_len: usize,
}

/// Time for which a pull may wait at a source that has none of the wanted chunks.
///
/// This is about one and a half times as long as a VM's link takes for a chunk.
const SOURCE_WAIT: Millis = Millis(200);

/// Number of chunks of the version, unless every VM pulls from the origin.
///
/// With fewer or longer chunks, the result would depend mostly on the transfer time of the first
/// ones; with more or shorter chunks, on the manifest, which has some 130 bytes for each.
const CHUNKS: usize = 256;

/// Length of a chunk in bytes, unless every VM pulls from the origin.
const CHUNK_LEN: usize = 64 << 10;

/// Number of chunks of the version when every VM pulls from the origin.
///
/// For n VMs such a run takes n / 2 times as long as a VM's link takes for one copy. Its version is
/// therefore 128 times smaller; the ratio of its time to the lower bound does not depend on the
/// size.
const DIRECT_CHUNKS: usize = 16;

/// Length of a chunk in bytes when every VM pulls from the origin.
const DIRECT_LEN: usize = 8 << 10;

impl Policy {
    /// Returns the policy of this name, if there is one.
    pub fn named(name: &str) -> Option<Policy> {
        let base = plan::Settings {
            wait: SOURCE_WAIT,
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

    /// Length of the version, in bytes.
    fn bytes(&self) -> u64 {
        (self.chunks * self.chunk_len) as u64
    }
}

/// Returns settings with which every VM pulls from the origin.
///
/// The origin's link is shared by all VMs, so a pull may receive nothing for many seconds. Pulls
/// are never given up as stalled, since that would only waste the bytes already sent.
fn direct(base: &plan::Settings) -> plan::Settings {
    plan::Settings {
        topology: Topology::Direct,
        stripes: 1,
        stall_timeout: Millis(RUN_TIMEOUT.as_millis() as u64),
        ..base.clone()
    }
}

/// Settings of one experiment.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of VMs that fetch the version.
    pub vms: usize,
    /// Seed of the content, the faults and the random choices of the planners.
    pub seed: u64,
    /// Number of availability zones; VMs are spread over them in turn.
    pub zones: usize,
    /// Number of regions; zones are spread over them in turn.
    pub regions: usize,
    /// True when some VMs are killed or stalled and some chunks corrupted.
    pub faults: bool,
}

/// A version as the origin serves it: the manifest and the chunks, by digest.
struct Version {
    /// Digest of the manifest.
    digest: Digest,
    /// Manifest and chunks.
    blobs: IndexMap<Digest, Bytes>,
}

/// Creates a version of random content, of the size that the policy is measured with.
fn create_version(policy: &Policy, seed: u64) -> Version {
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

/// Returns a lower bound in seconds on the time of any rollout, from the rates of the links.
///
/// Each VM receives one copy over its own link, the origin sends at least one, all links that send
/// carry one copy for each VM together, and each region receives at least one. Transfers count as
/// continuous flows, without chunks or latency.
fn lower_bound(scenario: &Scenario, bytes: u64) -> f64 {
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

/// Runs a rollout with one policy until every surviving VM has the version.
///
/// Fails after `RUN_TIMEOUT`, or when a server does not start.
pub async fn run(scenario: &Scenario, policy: &Policy) -> Result<Report> {
    let version = create_version(policy, scenario.seed);
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
        vm.start_transfer(&members, version.digest);
    }
    let fault_task = scenario
        .faults
        .then(|| inject_faults(scenario, policy, &vms));
    let elapsed = wait_until_ready(&vms, begin).await?;
    drop(fault_task);
    let links = report::LinkBytes {
        origin: origin.sent(),
        regions: regions.iter().map(Pacer::passed).collect(),
    };
    let cpu = report::cpu_seconds() - cpu;
    let bound = lower_bound(scenario, policy.bytes());
    let measured = report::Measured {
        seconds: elapsed,
        bound,
        cpu,
        bytes: policy.bytes(),
    };
    Ok(Report::new(scenario, policy, &vms, &links, &measured))
}

/// Starts the servers of all VMs and spreads them over zones and regions; `regions` holds the link
/// into each region.
fn start(
    scenario: &Scenario,
    policy: &Policy,
    origin: std::net::SocketAddr,
    regions: &[Pacer],
) -> Result<Vec<Vm>> {
    let vm = |index| {
        let zone = index % scenario.zones;
        let region = zone % scenario.regions;
        let location = vm::Location {
            index,
            zone,
            region,
            link: regions[region].clone(),
        };
        Vm::start(location, policy, origin, scenario)
    };
    (0..scenario.vms).map(vm).collect()
}

/// Kills a tenth of the VMs and stalls a twentieth, at random times during the transfer.
///
/// No further faults occur once the returned task is dropped.
fn inject_faults(scenario: &Scenario, policy: &Policy, vms: &[Vm]) -> smol::Task<()> {
    let mut rng = fastrand::Rng::with_seed(scenario.seed ^ 0xfa17);
    let bound = lower_bound(scenario, policy.bytes());
    let mut order: Vec<_> = (0..vms.len()).collect();
    rng.shuffle(&mut order);
    let killed = vms.len() / 10;
    let stalled = vms.len() / 20;
    let mut times: Vec<_> = order[..killed + stalled]
        .iter()
        .enumerate()
        .map(|(position, index)| (bound * (0.05 + 0.9 * rng.f64()), position < killed, *index))
        .collect();
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let handles: Vec<_> = vms.iter().map(Vm::handle).collect();
    rt::spawn(async move {
        let begin = Instant::now();
        for (at, is_killed, index) in times {
            let wait = Duration::from_secs_f64(at).saturating_sub(begin.elapsed());
            smol::Timer::after(wait).await;
            if is_killed {
                handles[index].kill();
            } else {
                handles[index].stall();
            }
        }
    })
}

/// Waits until every VM that was not killed has the complete version; returns the seconds since
/// `begin`.
async fn wait_until_ready(vms: &[Vm], begin: Instant) -> Result<f64> {
    loop {
        let missing = vms.iter().filter(|vm| vm.is_alive() && !vm.is_ready());
        let missing = missing.count();
        if missing == 0 {
            return Ok(begin.elapsed().as_secs_f64());
        }
        if begin.elapsed() > RUN_TIMEOUT {
            let detail = format!(
                "{missing} VMs did not receive the version within {} s",
                RUN_TIMEOUT.as_secs()
            );
            return Err(Error::new(Code::BenchFailed, detail));
        }
        smol::Timer::after(Duration::from_millis(10)).await;
    }
}
