//! Requests that were running when an upstream crashed, as the processes of a zone report them.

use std::sync::Mutex;

use crate::gate;
use crate::gate::suspect::CrashReport;
use crate::once::Fingerprint;
use crate::prelude::*;
use crate::proto;
use crate::util;

/// Suspects: fingerprints of requests that may crash upstreams; clones share the table.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    table: Arc<Mutex<gate::Suspects>>,
}

impl Suspects {
    /// Time until a blocked request is admitted again; none when it is not blocked.
    pub fn blocked_for(&self, now: Millis, fingerprint: &Fingerprint) -> Option<Millis> {
        let table = self.lock();
        table
            .is_blocked(now, fingerprint)
            .then(|| table.remaining(now, fingerprint))
    }

    /// True when a request was running during a crash and has not succeeded since.
    pub fn is_suspect(&self, now: Millis, fingerprint: &Fingerprint) -> bool {
        self.lock().is_suspect(now, fingerprint)
    }

    /// Counts a crash that an agent reported for one attempt of a request.
    pub fn record_crash(&self, now: Millis, fingerprint: Fingerprint, request: &str, attempt: u32) {
        let attempt = util::stable_hash([request, &attempt.to_string()]);
        self.lock().record_crash(now, fingerprint, attempt);
    }

    /// Clears the suspicion of a request that has succeeded.
    pub fn record_success(&self, now: Millis, fingerprint: &Fingerprint) {
        self.lock().record_success(now, fingerprint);
    }

    /// Returns the crashes counted by this process, for a notice to peers.
    pub fn export(&self, now: Millis) -> Vec<proto::Suspect> {
        let mut table = self.lock();
        table.tick(now);
        let reports = table.export(now).into_iter();
        let suspects = reports.map(|report| proto::Suspect {
            fingerprint: report.fingerprint.to_vec(),
            crashes: report.crashes,
            age_ms: report.age.0,
            clears: report.clears,
        });
        suspects.collect()
    }

    /// Adds the crashes that the peer `from` counted; malformed fingerprints are skipped.
    pub fn merge(&self, now: Millis, from: &str, suspects: &[proto::Suspect]) {
        let reporter = util::stable_hash([from]);
        let mut table = self.lock();
        for suspect in suspects {
            let Ok(fingerprint) = Fingerprint::try_from(suspect.fingerprint.as_slice()) else {
                continue;
            };
            let report = CrashReport {
                fingerprint,
                clears: suspect.clears,
                crashes: suspect.crashes,
                age: Millis(suspect.age_ms),
            };
            table.merge(now, reporter, report);
        }
    }

    /// Number of suspects in the table.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// True when the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, gate::Suspects> {
        self.table.lock().unwrap_or_else(|e| e.into_inner())
    }
}
