//! Figures of table benchmarks.

use crate::common;

common! { value
/// One line of the report.
#[derive(Default, serde::Serialize)]
pub struct Row {
    /// `virtual` (decision core, virtual clock) or `loopback` (node code over TCP).
    pub mode: String,
    /// `peers` or `poll`.
    pub policy: String,
    /// What was measured: `changes`, `partition` or `start`.
    pub phase: String,
    /// Processes.
    pub nodes: usize,
    /// Availability zones.
    pub zones: usize,
    /// Seed of all choices.
    pub seed: u64,
    /// Share of messages lost.
    pub loss: f64,
    /// Time from publication until a change is in force, median over processes and changes.
    pub in_force_p50_s: f64,
    /// The same, greatest.
    pub in_force_max_s: f64,
    /// Calls to the platform while idle, over all processes.
    pub platform_calls_s: f64,
    /// The same in the busiest second of a burst of changes.
    pub platform_burst_calls_s: f64,
    /// Bytes of a process, both directions, mean, while idle.
    pub node_bytes_s: f64,
    /// The same for the busiest process.
    pub node_bytes_max_s: f64,
    /// The same, mean, during a burst of changes.
    pub node_burst_bytes_s: f64,
    /// CPU of one process while idle, in percent of a core.
    pub node_cpu_percent: f64,
    /// Memory of one process, in MiB; 0 when it is not measured.
    pub node_rss_mb: f64,
    /// Size of both tables, in bytes.
    pub tables_bytes: usize,
    /// Changes that never got into force at some process.
    pub missing: usize,
}
}

/// The value at `share` of sorted values, in seconds.
pub fn percentile(sorted: &[u64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let place = (sorted.len() - 1) as f64 * share;
    sorted[place.round() as usize] as f64 / 1_000.0
}
