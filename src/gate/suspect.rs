//! Suspects: fingerprints of requests that were running when an engine crashed.
//!
//! A crash is reported for one attempt of each fingerprint that was running
//! ([`reporters`]), and the entry of that attempt counts it. A process sends only its
//! own counts to its peers, together with the number of times that it has cleared the
//! fingerprint. A count is therefore identified by the process that sends it and grows
//! in the order of `(clears, crashes)`, so that repeated, late or reordered messages
//! change nothing, and no crash is counted twice.

use sha2::Digest;
use sha2::Sha256;

use crate::once::Fingerprint;
use crate::prelude::*;

/// Number of crashes from which a fingerprint is blocked.
pub const BLOCKING_CRASHES: u32 = 2;

/// Most fingerprints held at once.
pub const MAX_ENTRIES: usize = 1_024;

/// Time after the last change, such as a crash, until a fingerprint is forgotten.
pub const EXPIRY: Millis = Millis(10 * 60_000);

/// Most peers whose counts are held for one fingerprint.
const MAX_PEERS: usize = 16;

/// Most fingerprints in one message to peers.
const MAX_EXPORTED: usize = 64;

/// Most attempts that are remembered for one fingerprint.
///
/// A blocked fingerprint gets no new attempts, so few are needed.
const MAX_ATTEMPTS: usize = 8;

/// Computes the fingerprint of a request, from its parts and the lengths of all but the
/// body.
pub fn fingerprint(organisation: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    for part in [organisation.as_bytes(), method.as_bytes(), path.as_bytes()] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(body);
    hash.finalize().into()
}

/// Returns for each running attempt whether it reports the crash of its engine: the first
/// attempt of each fingerprint does.
///
/// A popular request may run several times at once, through several entries. If each
/// attempt reported the crash, a single one would block the request.
pub fn reporters(running: &[Fingerprint]) -> Vec<bool> {
    let mut seen = indexmap::IndexSet::new();
    running
        .iter()
        .map(|fingerprint| seen.insert(*fingerprint))
        .collect()
}

common! { key
/// Crashes of one fingerprint that a process has counted, as sent to its peers.
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of times that the sender has cleared the fingerprint.
    pub clears: u32,
    /// Number of crashes since it was last cleared.
    pub crashes: u32,
    /// Time since the last change of the fingerprint's counts that the sender knows.
    pub age: Millis,
}
}

/// Crashes of one fingerprint that one process has counted.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    clears: u32,
    crashes: u32,
    /// Crashes that no longer count, because the request succeeded elsewhere after them.
    discounted: u32,
}

impl Count {
    /// Number of crashes that count.
    fn crash_count(self) -> u32 {
        self.crashes.saturating_sub(self.discounted)
    }
}

/// Counts of one fingerprint.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes that this process has counted.
    own: Count,
    /// Last counts of peers.
    peers: IndexMap<u64, Count>,
    /// Attempts for which this process has counted a crash.
    attempts: Vec<u64>,
    /// Last change, by the own clock.
    changed_at: Millis,
    /// Last known success, here or at a peer, by the own clock.
    last_success: Millis,
}

impl Suspect {
    /// Number of crashes that count, here and at peers.
    fn crash_count(&self) -> u32 {
        let peers: u32 = self.peers.values().map(|c| c.crash_count()).sum();
        self.own.crash_count().saturating_add(peers)
    }

    /// Lets all crashes so far no longer count.
    fn discount(&mut self) {
        self.own.discounted = self.own.crashes;
        for count in self.peers.values_mut() {
            count.discounted = count.crashes;
        }
    }
}

/// Suspects that one process knows.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: IndexMap<Fingerprint, Suspect>,
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

    /// True when requests with this fingerprint are refused, because it ran at too many
    /// crashes.
    pub fn is_blocked(&self, now: Millis, fingerprint: &Fingerprint) -> bool {
        self.crash_count(now, fingerprint) >= BLOCKING_CRASHES
    }

    /// True when a request with this fingerprint ran at a crash and none has succeeded since.
    ///
    /// An upstream runs at most one suspect at a time, so that a second crash does not
    /// block requests that only ran at the same time as its cause.
    pub fn is_suspect(&self, now: Millis, fingerprint: &Fingerprint) -> bool {
        self.crash_count(now, fingerprint) > 0
    }

    /// Time until a blocked fingerprint is forgotten.
    pub fn remaining(&self, now: Millis, fingerprint: &Fingerprint) -> Millis {
        let entry = self.entries.get(fingerprint);
        entry.map_or(Millis(0), |e| e.changed_at.plus(EXPIRY).since(now))
    }

    /// Counts a crash for a request that was running, once for each attempt.
    pub fn record_crash(&mut self, now: Millis, fingerprint: Fingerprint, attempt: u64) {
        let entry = self.entry(now, fingerprint);
        if entry.attempts.contains(&attempt) {
            return;
        }
        if entry.attempts.len() == MAX_ATTEMPTS {
            entry.attempts.remove(0);
        }
        entry.attempts.push(attempt);
        entry.own.crashes = entry.own.crashes.saturating_add(1);
        entry.changed_at = now;
    }

    /// Clears a fingerprint whose request has succeeded.
    pub fn record_success(&mut self, now: Millis, fingerprint: &Fingerprint) {
        let Some(entry) = self.entries.get_mut(fingerprint) else {
            return;
        };
        if entry.crash_count() == 0 {
            return;
        }
        entry.discount();
        entry.last_success = now;
        entry.own = Count {
            clears: entry.own.clears.saturating_add(1),
            ..Count::default()
        };
        entry.changed_at = now;
    }

    /// Merges a count that the process `peer` reports; a lower one than known is ignored.
    pub fn merge(&mut self, now: Millis, peer: u64, report: CrashReport) {
        if report.age >= EXPIRY {
            return;
        }
        let entry = self.entry(now, report.fingerprint);
        if entry.peers.len() >= MAX_PEERS && !entry.peers.contains_key(&peer) {
            return;
        }
        let held = entry.peers.get(&peer).copied().unwrap_or_default();
        if (report.clears, report.crashes) <= (held.clears, held.crashes) {
            return;
        }
        let at = now.since(report.age);
        let is_cleared = report.clears > held.clears;
        let mut count = Count {
            clears: report.clears,
            crashes: report.crashes,
            discounted: if is_cleared { 0 } else { held.discounted },
        };
        // The age is that of the clear only when no crash has come after it.
        if is_cleared && report.crashes == 0 {
            entry.last_success = entry.last_success.max(at);
            if at >= entry.changed_at {
                entry.discount();
            }
        }
        // A success cancels the crashes before it, also when its report arrived first.
        if at <= entry.last_success {
            count.discounted = count.crashes;
        }
        entry.changed_at = entry.changed_at.max(at);
        entry.peers.insert(peer, count);
    }

    /// The own counts, the latest change first, to send to peers.
    pub fn export(&self, now: Millis) -> Vec<CrashReport> {
        let own = self.entries.iter().filter(|(_, entry)| {
            let has_counts = entry.own.clears > 0 || entry.own.crashes > 0;
            has_counts && now.since(entry.changed_at) < EXPIRY
        });
        let mut reports: Vec<CrashReport> = own
            .map(|(fingerprint, entry)| CrashReport {
                fingerprint: *fingerprint,
                clears: entry.own.clears,
                crashes: entry.own.crashes,
                age: now.since(entry.changed_at),
            })
            .collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_EXPORTED);
        reports
    }

    /// Forgets expired fingerprints.
    pub fn tick(&mut self, now: Millis) {
        self.entries.retain(|_, e| now.since(e.changed_at) < EXPIRY);
    }

    /// Number of crashes that count for a fingerprint; 0 once it has expired.
    fn crash_count(&self, now: Millis, fingerprint: &Fingerprint) -> u32 {
        let is_live = |e: &&Suspect| now.since(e.changed_at) < EXPIRY;
        self.entries
            .get(fingerprint)
            .filter(is_live)
            .map_or(0, Suspect::crash_count)
    }

    /// Returns the entry of a fingerprint; adds it and evicts another one if necessary.
    fn entry(&mut self, now: Millis, fingerprint: Fingerprint) -> &mut Suspect {
        let is_expired = |e: &Suspect| now.since(e.changed_at) >= EXPIRY;
        if self.entries.get(&fingerprint).is_some_and(is_expired) {
            self.entries.swap_remove(&fingerprint);
        }
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= MAX_ENTRIES {
            self.evict(now);
        }
        assert!(self.entries.len() <= MAX_ENTRIES, "too many suspects");
        self.entries.entry(fingerprint).or_insert_with(|| Suspect {
            changed_at: now,
            ..Suspect::default()
        })
    }

    /// Removes the entry with the fewest crashes that count, the oldest of them.
    fn evict(&mut self, now: Millis) {
        self.tick(now);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let least = self
            .entries
            .iter()
            .min_by_key(|(_, e)| (e.crash_count(), e.changed_at));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.entries.swap_remove(&fingerprint);
        }
    }
}
