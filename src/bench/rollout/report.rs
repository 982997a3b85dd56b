//! Report of one run.

use serde::Serialize;

use crate::bench::rollout::Policy;
use crate::bench::rollout::Scenario;
use crate::bench::rollout::vm::Vm;

/// Clock ticks a second in the kernel's process statistics.
const TICKS_S: f64 = 100.0;

/// Results of one run, which are written as one line of JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the policy.
    pub policy: &'static str,
    /// Number of VMs at the start.
    pub vms: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// True when VMs were killed or stalled and chunks corrupted.
    pub faults: bool,
    /// Length of the version, in bytes.
    pub bytes: u64,
    /// Time until the last surviving VM had the complete version.
    pub seconds: f64,
    /// Lower bound on this time from the rates of the links.
    pub bound_seconds: f64,
    /// Measured time divided by the lower bound.
    pub time_ratio: f64,
    /// Copies of the version that the origin sent; parts of a copy count as fractions.
    pub origin_copies: f64,
    /// Copies that were sent into the region that received the most.
    pub region_copies: f64,
    /// Bytes of chunks that the VM had already, divided by all bytes accepted.
    pub wasted_ratio: f64,
    /// Number of chunks and manifests that were dropped for a wrong digest.
    pub corrupt: u64,
    /// Number of pulls that were stopped because another one already brought the same chunk.
    pub doubled: u64,
    /// Number of pulls that were given up for lack of progress.
    pub stalled: u64,
    /// Number of times that a VM took over the fetching of a stripe from another.
    pub takeovers: u64,
    /// CPU time that the process used during the run, for all VMs and the origin.
    pub cpu_seconds: f64,
}

/// Bytes that passed the links shared by several VMs.
pub struct LinkBytes {
    /// Sent by the origin.
    pub origin: u64,
    /// Sent into each region, from other regions and the origin.
    pub regions: Vec<u64>,
}

/// Size of a version, and times of its rollout in seconds.
pub struct Measured {
    /// Time until the last surviving VM had the complete version.
    pub seconds: f64,
    /// Lower bound on this time from the rates of the links.
    pub bound: f64,
    /// CPU time that the process used.
    pub cpu: f64,
    /// Length of the version, in bytes.
    pub bytes: u64,
}

impl Report {
    /// Combines the measurements of a run with the transfer statistics of its VMs.
    pub fn new(
        scenario: &Scenario,
        policy: &Policy,
        vms: &[Vm],
        links: &LinkBytes,
        measured: &Measured,
    ) -> Report {
        let stats: Vec<_> = vms.iter().map(|vm| vm.transfer.stats()).collect();
        let accepted: u64 = stats.iter().map(|s| s.accepted).sum();
        let wasted: u64 = stats.iter().map(|s| s.wasted).sum();
        let copies = |bytes: u64| bytes as f64 / measured.bytes as f64;
        Report {
            policy: policy.name,
            vms: scenario.vms,
            seed: scenario.seed,
            zones: scenario.zones,
            regions: scenario.regions,
            faults: scenario.faults,
            bytes: measured.bytes,
            seconds: measured.seconds,
            bound_seconds: measured.bound,
            time_ratio: measured.seconds / measured.bound,
            origin_copies: copies(links.origin),
            region_copies: links
                .regions
                .iter()
                .copied()
                .map(copies)
                .fold(0.0, f64::max),
            wasted_ratio: wasted as f64 / accepted.max(1) as f64,
            corrupt: stats.iter().map(|s| s.corrupt).sum(),
            doubled: stats.iter().map(|s| s.doubled).sum(),
            stalled: stats.iter().map(|s| s.stalled).sum(),
            takeovers: stats.iter().map(|s| s.takeovers).sum(),
            cpu_seconds: measured.cpu,
        }
    }
}

/// Returns the CPU time of this process so far, in seconds; zero where it can't be read.
pub fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let Some((_, rest)) = text.rsplit_once(')') else {
        return 0.0;
    };
    // Fields 14 and 15 of the line are user and system time.
    let ticks = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
    ticks / TICKS_S
}
