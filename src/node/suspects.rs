//! Requests that were running when an upstream crashed, as the processes of a zone report them.

use std::sync::Mutex;

use crate::gate;
use crate::gate::CrashTable;
use crate::gate::Progress;
use crate::gate::Signatures;
use crate::gate::crash_table::Crash;
use crate::gate::crash_table::Report;
use crate::gate::crash_table::Verdict;
use crate::gate::suspect::CrashReport;
use crate::once::Fingerprint;
use crate::prelude::*;
use crate::proto;
use crate::util;

/// Suspects: fingerprints of requests that may crash upstreams; clones share the table.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    table: Arc<Mutex<gate::Suspects>>,
    /// What different requests have in common.
    signatures: Arc<Mutex<CrashTable>>,
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

    /// Returns for how long a request is blocked as upstreams crashed under others that begin
    /// like it; none when it is not blocked.
    pub fn alike_blocked_for(&self, now: Millis, request: &Signatures) -> Option<Millis> {
        let mut table = util::lock(&self.signatures);
        match table.verdict(now, request, false, |_| false) {
            Verdict::Block(signature) => Some(table.remaining(now, signature)),
            Verdict::Pass | Verdict::Test(_) => None,
        }
    }

    /// Counts a crash of the upstream at `addr` against a request that it was running;
    /// `has_data` tells whether data of the answer had come.
    pub fn record_running_crash(
        &self,
        now: Millis,
        addr: &str,
        request: &Signatures,
        has_data: bool,
    ) {
        let upstream = util::stable_hash([addr]);
        let progress = if has_data {
            Progress::Event
        } else {
            Progress::Head
        };
        util::lock(&self.signatures).record_crash(now, upstream, request, progress);
    }

    /// Clears what a request has in common with others, as its answer has ended whole.
    pub fn record_finish(&self, now: Millis, request: &Signatures) {
        util::lock(&self.signatures).record_finish(now, request);
    }

    /// Clears what a request has in common with others, as data of its answer has come.
    pub fn record_data(&self, now: Millis, request: &Signatures) {
        util::lock(&self.signatures).record_answer(now, request);
    }

    /// Returns what this process knows of signatures, for a notice to peers.
    pub fn export_signatures(&self, now: Millis) -> Vec<proto::Signature> {
        let mut table = util::lock(&self.signatures);
        table.tick(now);
        let docs = |crashes: &[Crash]| {
            let docs = crashes.iter().map(|crash| proto::Crash {
                upstream: crash.upstream,
                age_ms: now.since(crash.at).0,
                points: crash.points(),
                progress: crash.progress.number(),
                sound: crash.sound,
            });
            docs.collect()
        };
        let reports = table.export(now).into_iter();
        let reports = reports.map(|report| proto::Signature {
            signature: report.signature,
            part: report.is_part,
            crashes: docs(&report.crashes),
            answered_ms: report.answered.map(|at| now.since(at).0),
            finished_ms: report.finished.map(|at| now.since(at).0),
            heard: docs(&report.heard),
        });
        reports.collect()
    }

    /// Adds what a peer knows of signatures.
    pub fn merge_signatures(&self, now: Millis, reports: &[proto::Signature]) {
        let crashes = |docs: &[proto::Crash]| {
            let crash = |doc: &proto::Crash| {
                let (progress, sound) = Crash::decode_progress(doc.progress, doc.sound, doc.points);
                Crash {
                    upstream: doc.upstream,
                    at: now.since(Millis(doc.age_ms)),
                    progress,
                    sound,
                }
            };
            docs.iter().map(crash).collect()
        };
        let mut table = util::lock(&self.signatures);
        for doc in reports {
            let report = Report {
                signature: doc.signature,
                is_part: doc.part,
                crashes: crashes(&doc.crashes),
                heard: crashes(&doc.heard),
                answered: doc.answered_ms.map(|age| now.since(Millis(age))),
                finished: doc.finished_ms.map(|age| now.since(Millis(age))),
            };
            table.merge(now, &report);
        }
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
