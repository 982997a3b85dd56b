//! Faults of the network between processes in memory.

use crate::time::Millis;

/// One-way latency within a zone, upper end, in milliseconds.
const INSIDE_MS: u64 = 2;

/// One-way latency between zones, in milliseconds.
const BETWEEN_MS: u64 = 3;

/// Faults in effect.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub duplication: f64,
    /// Share of fetch replies that arrive with other content.
    pub corruption: f64,
    /// Longest extra delay, which also reorders messages.
    pub delay: Millis,
    /// Group of each process; messages pass within a group only.
    pub groups: Vec<u8>,
    /// Groups that are cut off from the platform.
    pub cut: [bool; 8],
}

impl Faults {
    /// True when messages pass between two processes.
    pub fn connected(&self, a: usize, b: usize) -> bool {
        let group = |node: usize| self.groups.get(node).copied().unwrap_or(0);
        group(a) == group(b)
    }

    /// True when a process reaches the platform.
    pub fn reaches_platform(&self, node: usize) -> bool {
        let group = self.groups.get(node).copied().unwrap_or(0);
        !self.cut[usize::from(group)]
    }

    /// Delays after which copies of a message arrive; empty when it is lost.
    pub fn deliveries(&self, same_zone: bool, rng: &mut fastrand::Rng) -> Vec<Millis> {
        if rng.f64() < self.loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.f64() < self.duplication);
        (0..copies)
            .map(|_| Millis(latency(same_zone, rng) + rng.u64(0..=self.delay.0)))
            .collect()
    }
}

fn latency(same_zone: bool, rng: &mut fastrand::Rng) -> u64 {
    if same_zone {
        rng.u64(1..=INSIDE_MS)
    } else {
        BETWEEN_MS
    }
}
