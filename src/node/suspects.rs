//! Suspects that processes of a zone tell each other about.

use std::sync::Mutex;

use crate::gate;
use crate::gate::suspect::CrashReport;
use crate::once::Fingerprint;
use crate::prelude::*;
use crate::proto;
use crate::util;

/// Shared table of suspects; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    table: Arc<Mutex<gate::Suspects>>,
}

impl Suspects {
    /// Time until the block of a request ends; none when it is not blocked.
    pub fn blocked(&self, now: Millis, print: &Fingerprint) -> Option<Millis> {
        let table = self.lock();
        table
            .is_blocked(now, print)
            .then(|| table.remaining(now, print))
    }

    /// True when a request was running at a crash and has not succeeded since.
    pub fn is_suspect(&self, now: Millis, print: &Fingerprint) -> bool {
        self.lock().is_suspect(now, print)
    }

    /// Counts a crash that an agent reported for one attempt.
    pub fn crash(&self, now: Millis, print: Fingerprint, request: &str, attempt: u32) {
        let attempt = util::stable_hash([request, &attempt.to_string()]);
        self.lock().record_crash(now, print, attempt);
    }

    /// Clears a request that has succeeded.
    pub fn success(&self, now: Millis, print: &Fingerprint) {
        self.lock().record_success(now, print);
    }

    /// The own counts, for a notice to peers.
    pub fn export(&self, now: Millis) -> Vec<proto::Suspect> {
        let mut table = self.lock();
        table.tick(now);
        let reports = table.export(now).into_iter();
        let suspects = reports.map(|report| proto::Suspect {
            fingerprint: report.print.to_vec(),
            crashes: report.crashes,
            age_ms: report.age.0,
            clears: report.clears,
        });
        suspects.collect()
    }

    /// Takes the counts of a peer; malformed ones are left out.
    pub fn merge(&self, now: Millis, from: &str, suspects: &[proto::Suspect]) {
        let origin = util::stable_hash([from]);
        let mut table = self.lock();
        for suspect in suspects {
            let Ok(print) = Fingerprint::try_from(suspect.fingerprint.as_slice()) else {
                continue;
            };
            let report = CrashReport {
                print,
                clears: suspect.clears,
                crashes: suspect.crashes,
                age: Millis(suspect.age_ms),
            };
            table.merge(now, origin, report);
        }
    }

    /// Number of fingerprints held.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// True when no fingerprint is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, gate::Suspects> {
        self.table.lock().unwrap_or_else(|e| e.into_inner())
    }
}
