//! Figures of table benchmarks.

use crate::common;

common! { value
/// Figures of one policy.
///
/// Times run from the publication of the second table of a set. A figure that
/// was not measured is absent.
#[derive(Default, serde::Serialize)]
pub struct Row {
    /// `virtual` (decision core, virtual clock) or `loopback` (node code over TCP).
    pub mode: String,
    /// `peers` or `poll`.
    pub policy: String,
    /// Processes.
    pub nodes: usize,
    /// Availability zones.
    pub zones: usize,
    /// Seed of all choices.
    pub seed: u64,
    /// Share of messages lost.
    pub loss: f64,
    /// Size of both tables, in bytes.
    pub tables_bytes: usize,
    /// Time from a start of all processes at once until all serve.
    pub start_s: f64,
    /// Calls to the platform in the busiest second of that start.
    #[serde(skip_serializing_if = "is_unmeasured")]
    pub start_calls_s: f64,
    /// Time until a change is in force, median over processes and changes.
    #[serde(skip_serializing_if = "is_unmeasured")]
    pub in_force_p50_s: f64,
    /// The same, greatest.
    #[serde(skip_serializing_if = "is_unmeasured")]
    pub in_force_max_s: f64,
    /// Changes that some process never got.
    pub missing: usize,
    /// Calls to the platform while idle, over all processes.
    pub platform_calls_s: f64,
    /// The same in the busiest second of a burst of changes.
    #[serde(skip_serializing_if = "is_unmeasured")]
    pub platform_burst_calls_s: f64,
    /// Bytes of a process, both directions, mean, at the design rate of changes.
    #[serde(skip_serializing_if = "is_unmeasured")]
    pub node_bytes_s: f64,
    /// The same for the busiest process.
    #[serde(skip_serializing_if = "is_unmeasured")]
    pub node_bytes_max_s: f64,
    /// The same, mean, while nothing changes.
    pub node_idle_bytes_s: f64,
    /// CPU of one process at the design rate of changes, in percent of a core.
    #[serde(skip_serializing_if = "is_unmeasured")]
    pub node_cpu_percent: f64,
    /// Memory of one process, in MiB.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node_rss_mb: Option<f64>,
    /// Time from the end of the partition until all processes hold the last change, median.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heal_p50_s: Option<f64>,
    /// The same, greatest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heal_max_s: Option<f64>,
    /// Changes made during the partition.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub partition_changes: Option<u64>,
}
}

/// True for a figure that the run did not take.
fn is_unmeasured(value: &f64) -> bool {
    *value == 0.0
}

/// The value at `share` of sorted values in milliseconds, in seconds.
pub fn percentile(sorted: &[u64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let place = (sorted.len() - 1) as f64 * share;
    sorted[place.round() as usize] as f64 / 1_000.0
}

/// Times until changes were in force, over processes and changes.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// Times, in milliseconds.
    pub values: Vec<u64>,
    /// Changes that some process never got.
    pub missing: usize,
}

impl Times {
    /// Median and greatest, in seconds.
    pub fn summary(&mut self) -> (f64, f64) {
        self.values.sort_unstable();
        (percentile(&self.values, 0.5), percentile(&self.values, 1.0))
    }
}
