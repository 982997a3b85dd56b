//! Election of the readers of a zone.
//!
//! Each process ranks the processes of its zone on its own live list. The first
//! two that it does not suspect read the platform. The processes next in rank
//! probe the readers, so that a dead reader is replaced after a few seconds.
//! Live lists and suspicions that differ between processes only cost an extra
//! reader for a while.

use std::net::SocketAddr;

use crate::member::FailureDetector;
use crate::member::Live;
use crate::time::Millis;

/// Readers in a zone.
pub(super) const READERS_PER_ZONE: usize = 2;

/// Interval at which the processes next in rank to the readers probe one of them.
const PROBE_INTERVAL: Millis = Millis(2_000);

/// Longest interval of probes, for processes of low rank.
const MAX_PROBE_INTERVAL: Millis = Millis(600_000);

/// Interval at which one suspected process of higher rank is probed.
const RETRY_INTERVAL: Millis = Millis(15_000);

/// The processes that rank above this one in its zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Election {
    /// Addresses, highest rank first.
    higher_ranked: Vec<SocketAddr>,
    next_probe: Millis,
    /// When a suspected process is probed next.
    next_retry: Millis,
    /// Probes so far, to alternate between the readers.
    probes: usize,
}

impl Election {
    /// Ranks the processes of the zone after a change of the live list.
    pub fn rank(&mut self, live: &Live, zone: &str, own: SocketAddr) {
        let ranked = live.ranked(zone, own);
        let own_rank = ranked.iter().position(|addr| *addr == own).unwrap_or(0);
        self.higher_ranked = ranked[..own_rank].to_vec();
    }

    /// Iterates over the processes of higher rank that are not suspected, highest
    /// rank first.
    fn unsuspected<'a>(
        &'a self,
        detector: &'a FailureDetector,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let is_unsuspected = |addr: &SocketAddr| !detector.is_suspected(*addr);
        self.higher_ranked.iter().copied().filter(is_unsuspected)
    }

    /// Returns true when this process has to read the platform.
    pub fn is_reader(&self, detector: &FailureDetector) -> bool {
        self.unsuspected(detector).take(READERS_PER_ZONE).count() < READERS_PER_ZONE
    }

    /// Returns the other readers, as this process ranks them.
    pub fn readers(&self, detector: &FailureDetector) -> Vec<SocketAddr> {
        self.unsuspected(detector).take(READERS_PER_ZONE).collect()
    }

    /// Returns the process to probe now, if a probe is due.
    ///
    /// The interval grows with the square of the rank. So a reader gets less than
    /// two probes per second from the whole zone, and the loss of all processes of
    /// high rank is still detected in the end.
    pub fn probe(
        &mut self,
        now: Millis,
        detector: &FailureDetector,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        if let Some(addr) = self.retry(now, detector, rng) {
            return Some(addr);
        }
        if now < self.next_probe {
            return None;
        }
        let rank = self.unsuspected(detector).count() as u64;
        let factor = (rank / READERS_PER_ZONE as u64).max(1);
        let interval = (PROBE_INTERVAL.0 * factor * factor).min(MAX_PROBE_INTERVAL.0);
        self.next_probe = now.plus(Millis(interval * 3 / 4 + rng.u64(0..=interval / 2)));
        self.probes += 1;
        let readers = self.readers(detector);
        readers.get(self.probes % readers.len().max(1)).copied()
    }

    /// Returns a random suspected process of higher rank, if such a probe is due.
    fn retry(
        &mut self,
        now: Millis,
        detector: &FailureDetector,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        if now < self.next_retry {
            return None;
        }
        self.next_retry = now.plus(Millis(
            RETRY_INTERVAL.0 * 3 / 4 + rng.u64(0..=RETRY_INTERVAL.0 / 2),
        ));
        let suspects: Vec<SocketAddr> = self
            .higher_ranked
            .iter()
            .copied()
            .filter(|addr| detector.is_suspected(*addr))
            .collect();
        if suspects.is_empty() {
            return None;
        }
        Some(suspects[rng.usize(..suspects.len())])
    }
}
