//! Election of the readers of a zone.
//!
//! Each process ranks the members of its zone by its own live list. The first
//! two that it does not suspect read the platform. The processes next in rank
//! probe the readers, so that a dead one is replaced after a few seconds.
//! Views that differ cost an extra reader for a while, nothing else.

use std::net::SocketAddr;

use crate::member::FailureDetector;
use crate::member::Live;
use crate::time::Millis;

/// Readers in a zone.
pub(super) const READERS: usize = 2;

/// Interval at which the process next in rank probes a reader.
const PROBE: Millis = Millis(2_000);

/// Longest interval of probes, for processes far down the ranks.
const PROBE_MAX: Millis = Millis(600_000);

/// Interval at which suspected processes of higher rank are tried again.
const RETRY: Millis = Millis(15_000);

/// The processes that rank above this one in its zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Election {
    above: Vec<SocketAddr>,
    next_probe: Millis,
    next_retry: Millis,
    turn: usize,
}

impl Election {
    /// Ranks the members of the zone anew.
    pub fn rank(&mut self, live: &Live, zone: &str, own: SocketAddr) {
        let ranked = live.ranked(zone, own);
        let place = ranked.iter().position(|addr| *addr == own).unwrap_or(0);
        self.above = ranked[..place].to_vec();
    }

    /// Processes above this one that are not suspected, best first.
    fn alive<'a>(&'a self, detector: &'a FailureDetector) -> impl Iterator<Item = SocketAddr> + 'a {
        let alive = |addr: &SocketAddr| !detector.is_suspected(*addr);
        self.above.iter().copied().filter(alive)
    }

    /// True when this process has to read the platform.
    pub fn is_reader(&self, detector: &FailureDetector) -> bool {
        self.alive(detector).take(READERS).count() < READERS
    }

    /// The readers as this process sees them, itself left out.
    pub fn readers(&self, detector: &FailureDetector) -> Vec<SocketAddr> {
        self.alive(detector).take(READERS).collect()
    }

    /// The reader to probe now, if one is due.
    ///
    /// The interval grows with the square of the rank, so that the probes of a
    /// whole zone sum up to less than 2/s at a reader, and yet the loss of all
    /// processes of the highest ranks is noticed by someone in the end.
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
        let rank = self.alive(detector).count() as u64;
        let steps = (rank / READERS as u64).max(1);
        let interval = (PROBE.0 * steps * steps).min(PROBE_MAX.0);
        self.next_probe = now.plus(Millis(interval * 3 / 4 + rng.u64(0..=interval / 2)));
        self.turn += 1;
        let readers = self.readers(detector);
        readers.get(self.turn % readers.len().max(1)).copied()
    }

    /// A suspected process of higher rank to try again, if it is time.
    fn retry(
        &mut self,
        now: Millis,
        detector: &FailureDetector,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        if now < self.next_retry {
            return None;
        }
        self.next_retry = now.plus(Millis(RETRY.0 * 3 / 4 + rng.u64(0..=RETRY.0 / 2)));
        let suspects: Vec<SocketAddr> = self
            .above
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
