//! Suspects: fingerprints of requests that were running when an engine crashed.
//!
//! The agent reports a crash for one attempt of each fingerprint that was
//! running ([`reporters`]), and the entry of that attempt counts it. It sends only its own counts to its peers, together with the
//! number of times that it has cleared the fingerprint. A count is therefore
//! identified by its origin and grows in the order of `(clears, crashes)`, so
//! that repeated, late or reordered notices change nothing, and no crash is
//! counted twice.

use sha2::Digest;
use sha2::Sha256;

use crate::once::Fingerprint;
use crate::prelude::*;

/// Crashes that block a fingerprint.
pub const BLOCK: u32 = 2;

/// Fingerprints held at once.
pub const MAX_ENTRIES: usize = 1_024;

/// Time after the last crash until a fingerprint is forgotten.
pub const EXPIRY: Millis = Millis(10 * 60_000);

/// Peers whose counts are held for one fingerprint.
const MAX_ORIGINS: usize = 16;

/// Fingerprints in one notice.
const MAX_NOTICE: usize = 64;

/// Attempts remembered for one fingerprint.
///
/// A blocked fingerprint gets no new attempts, so few are needed.
const MAX_ATTEMPTS: usize = 8;

/// Fingerprint of a request.
pub fn fingerprint(organisation: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    for part in [organisation.as_bytes(), method.as_bytes(), path.as_bytes()] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(body);
    hash.finalize().into()
}

/// For each running attempt, whether it reports the crash of its engine.
///
/// A popular request may run several times at once, through several entries.
/// If each attempt reported the crash, one crash would block it.
pub fn reporters(running: &[Fingerprint]) -> Vec<bool> {
    let mut seen = indexmap::IndexSet::new();
    running.iter().map(|print| seen.insert(*print)).collect()
}

common! { key
/// Crashes seen by one process, as sent to its peers.
pub struct CrashReport {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Times that the sender has cleared the fingerprint.
    pub clears: u32,
    /// Crashes since the last clear.
    pub crashes: u32,
    /// Time since the last change.
    pub age: Millis,
}
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    clears: u32,
    crashes: u32,
    /// Crashes that a success elsewhere has outweighed.
    excused: u32,
}

impl Count {
    fn weight(self) -> u32 {
        self.crashes.saturating_sub(self.excused)
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    own: Count,
    peers: IndexMap<u64, Count>,
    attempts: Vec<u64>,
    /// Last change, by the own clock.
    at: Millis,
    /// Last success that is known, here or at a peer.
    success: Millis,
}

impl Entry {
    fn weight(&self) -> u32 {
        let peers: u32 = self.peers.values().map(|c| c.weight()).sum();
        self.own.weight().saturating_add(peers)
    }

    fn excuse(&mut self) {
        self.own.excused = self.own.crashes;
        for count in self.peers.values_mut() {
            count.excused = count.crashes;
        }
    }
}

/// Table of suspects of one process.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: IndexMap<Fingerprint, Entry>,
}

impl Suspects {
    /// Number of fingerprints held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no fingerprint is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// True when a fingerprint is blocked.
    pub fn is_blocked(&self, now: Millis, print: &Fingerprint) -> bool {
        self.weight(now, print) >= BLOCK
    }

    /// True when a fingerprint was running at a crash and has not succeeded since.
    ///
    /// An upstream runs at most one of these at a time, so that the second crash
    /// does not block requests that only ran beside the cause.
    pub fn is_suspect(&self, now: Millis, print: &Fingerprint) -> bool {
        self.weight(now, print) > 0
    }

    /// Time until the block of a fingerprint ends.
    pub fn remaining(&self, now: Millis, print: &Fingerprint) -> Millis {
        let entry = self.entries.get(print);
        entry.map_or(Millis(0), |e| e.at.plus(EXPIRY).since(now))
    }

    /// Counts a crash against a request that was running; once for each attempt.
    pub fn record_crash(&mut self, now: Millis, print: Fingerprint, attempt: u64) {
        let entry = self.entry(now, print);
        if entry.attempts.contains(&attempt) {
            return;
        }
        if entry.attempts.len() == MAX_ATTEMPTS {
            entry.attempts.remove(0);
        }
        entry.attempts.push(attempt);
        entry.own.crashes = entry.own.crashes.saturating_add(1);
        entry.at = now;
    }

    /// Clears a fingerprint whose request has succeeded.
    pub fn record_success(&mut self, now: Millis, print: &Fingerprint) {
        let Some(entry) = self.entries.get_mut(print) else {
            return;
        };
        if entry.weight() == 0 {
            return;
        }
        entry.excuse();
        entry.success = now;
        entry.own = Count {
            clears: entry.own.clears.saturating_add(1),
            ..Count::default()
        };
        entry.at = now;
    }

    /// Takes a peer's own count; `origin` identifies the peer.
    pub fn merge(&mut self, now: Millis, origin: u64, report: CrashReport) {
        if report.age >= EXPIRY {
            return;
        }
        let entry = self.entry(now, report.print);
        if entry.peers.len() >= MAX_ORIGINS && !entry.peers.contains_key(&origin) {
            return;
        }
        let held = entry.peers.get(&origin).copied().unwrap_or_default();
        if (report.clears, report.crashes) <= (held.clears, held.crashes) {
            return;
        }
        let at = now.since(report.age);
        let cleared = report.clears > held.clears;
        let mut count = Count {
            clears: report.clears,
            crashes: report.crashes,
            excused: if cleared { 0 } else { held.excused },
        };
        // The age is that of the clear only when no crash has come after it.
        if cleared && report.crashes == 0 {
            entry.success = entry.success.max(at);
            if at >= entry.at {
                entry.excuse();
            }
        }
        // A success outweighs the crashes before it, also when it was heard of first.
        if at <= entry.success {
            count.excused = count.crashes;
        }
        entry.at = entry.at.max(at);
        entry.peers.insert(origin, count);
    }

    /// The own counts, newest first, for a notice to peers.
    pub fn export(&self, now: Millis) -> Vec<CrashReport> {
        let own = self.entries.iter().filter(|(_, entry)| {
            let known = entry.own.clears > 0 || entry.own.crashes > 0;
            known && now.since(entry.at) < EXPIRY
        });
        let mut reports: Vec<CrashReport> = own
            .map(|(print, entry)| CrashReport {
                print: *print,
                clears: entry.own.clears,
                crashes: entry.own.crashes,
                age: now.since(entry.at),
            })
            .collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_NOTICE);
        reports
    }

    /// Forgets expired fingerprints.
    pub fn tick(&mut self, now: Millis) {
        self.entries.retain(|_, e| now.since(e.at) < EXPIRY);
    }

    fn weight(&self, now: Millis, print: &Fingerprint) -> u32 {
        let live = |e: &&Entry| now.since(e.at) < EXPIRY;
        self.entries
            .get(print)
            .filter(live)
            .map_or(0, Entry::weight)
    }

    /// The entry of a fingerprint; makes room when the table is full.
    fn entry(&mut self, now: Millis, print: Fingerprint) -> &mut Entry {
        let expired = |e: &Entry| now.since(e.at) >= EXPIRY;
        if self.entries.get(&print).is_some_and(expired) {
            self.entries.swap_remove(&print);
        }
        if !self.entries.contains_key(&print) && self.entries.len() >= MAX_ENTRIES {
            self.evict(now);
        }
        assert!(self.entries.len() <= MAX_ENTRIES, "too many suspects");
        self.entries.entry(print).or_insert_with(|| Entry {
            at: now,
            ..Entry::default()
        })
    }

    /// Drops the entry with the least weight, the oldest of those.
    fn evict(&mut self, now: Millis) {
        self.tick(now);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let least = self.entries.iter().min_by_key(|(_, e)| (e.weight(), e.at));
        if let Some(print) = least.map(|(print, _)| *print) {
            self.entries.swap_remove(&print);
        }
    }
}
