//! What a run is reported as.

use serde::Serialize;

use crate::bench::rollout::Policy;
use crate::bench::rollout::Scenario;
use crate::bench::rollout::vm::Vm;

/// Clock ticks a second in the kernel's process statistics.
const TICKS: f64 = 100.0;

/// One line of the report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Policy.
    pub policy: &'static str,
    /// VMs at the start.
    pub vms: usize,
    /// Seed.
    pub seed: u64,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// True when faults were injected.
    pub faults: bool,
    /// Bytes of the version.
    pub bytes: u64,
    /// Time until the last surviving VM held the version.
    pub seconds: f64,
    /// Fluid lower bound of the links.
    pub bound_seconds: f64,
    /// Measured time over the bound.
    pub time_ratio: f64,
    /// Copies that the origin sent.
    pub origin_copies: f64,
    /// Copies into a region, for the region with the most.
    pub region_copies: f64,
    /// Bytes of chunks that were already held, over all bytes accepted.
    pub wasted_ratio: f64,
    /// Chunks with a wrong digest that were dropped.
    pub corrupt: u64,
    /// Pulls stopped because another one brought the same chunk.
    pub doubled: u64,
    /// Pulls given up without progress.
    pub stalled: u64,
    /// Stripes fetched in place of a silent member.
    pub takeovers: u64,
    /// CPU time of the whole process.
    pub cpu_seconds: f64,
}

/// Bytes that passed the shared links.
pub struct Links {
    /// From the origin.
    pub origin: u64,
    /// Into each region.
    pub regions: Vec<u64>,
}

/// Times of a run.
pub struct Measured {
    /// Until the last surviving VM was filled.
    pub seconds: f64,
    /// Fluid lower bound.
    pub bound: f64,
    /// CPU time used.
    pub cpu: f64,
    /// Bytes of the version.
    pub bytes: u64,
}

impl Report {
    /// Sums up a run.
    pub fn new(
        scenario: &Scenario,
        policy: &Policy,
        vms: &[Vm],
        links: &Links,
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

/// CPU time of this process so far, in seconds; zero where it is not known.
pub fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let Some((_, rest)) = text.rsplit_once(')') else {
        return 0.0;
    };
    // Fields 14 and 15 of the line are user and system time.
    let ticks = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
    ticks / TICKS
}
