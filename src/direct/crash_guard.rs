//! Keeps requests that crash upstreams from reaching more of them.

use std::sync::Mutex;

use slog::info;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::direct::decision_log::Kind;
use crate::direct::inbound::InboundRequest;
use crate::direct::node::Node;
use crate::gate::CrashDetector;
use crate::gate::CrashTable;
use crate::gate::Progress;
use crate::gate::Signatures;
use crate::gate::crash_table::Report;
use crate::gate::crash_table::Verdict;
use crate::member::peers::Role;
use crate::metric::Metric;
use crate::prelude::*;
use crate::util;
use crate::util::lock;

/// A request that was lost at an upstream.
#[derive(Clone, Debug)]
struct Lost {
    at: Millis,
    signatures: Signatures,
    progress: Progress,
}

/// A request that is at an upstream and has no event yet.
struct Waiting {
    signatures: Signatures,
    /// Closed when the request is to be given up.
    open: Sender<()>,
}

/// What an entry knows of requests that crash upstreams.
pub struct CrashGuard {
    node: Node,
    table: Mutex<CrashTable>,
    detector: Mutex<CrashDetector<Lost>>,
    waiting: Mutex<Arena<Waiting>>,
}

/// Registration of a request that waits for its first event; removed when dropped.
pub struct WaitGuard<'a> {
    guard: &'a CrashGuard,
    key: Key<Waiting>,
    closed: Receiver<()>,
}

impl WaitGuard<'_> {
    /// Waits until the request is blocked, and returns the error for it.
    pub async fn until_blocked(&self) -> Error {
        // Nothing is ever sent, so an error is the closing of the channel.
        let _ = self.closed.recv().await;
        blocked_error("while it waited").with_run(Run::Unknown)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        lock(&self.guard.waiting).remove(self.key);
    }
}

fn blocked_error(detail: &str) -> Error {
    Error::new(Code::RequestBlocked, detail)
}

impl CrashGuard {
    /// Creates a guard that knows no crashes.
    pub fn new(node: Node) -> CrashGuard {
        CrashGuard {
            node,
            table: Mutex::default(),
            detector: Mutex::default(),
            waiting: Mutex::default(),
        }
    }

    /// Fails when a request must not be sent; `is_repeat` tells that an upstream failed or
    /// was lost under it before.
    pub fn check(&self, now: Millis, request: &Signatures, is_repeat: bool) -> Result<()> {
        let verdict = {
            let may_test = |signature| self.is_tester(signature);
            lock(&self.table).verdict(now, request, is_repeat, may_test)
        };
        match verdict {
            Verdict::Pass => Ok(()),
            Verdict::Test(signature) => {
                let log = self.node.log();
                if log.admits(now, Kind::Lost) {
                    info!(log.logger(), "gate: request tests a blocked signature";
                        "signature" => format!("{signature:016x}"));
                }
                Ok(())
            }
            Verdict::Block(signature) if signature == request.request => Err(blocked_error(
                "upstreams crashed when they began to answer it",
            )),
            Verdict::Block(_) => Err(blocked_error(
                "upstreams crashed when they began to answer requests with a part of its prompt",
            )),
        }
    }

    /// Returns true when this entry is the one of the known entries that tests a blocked
    /// signature.
    fn is_tester(&self, signature: u64) -> bool {
        let signature = signature.to_string();
        let rank = |name: &str| util::stable_hash([signature.as_str(), name]);
        let own = rank(&self.node.settings().name);
        let peers = self.node.peers();
        peers.with_role(Role::Entry).all(|p| rank(&p.name) < own)
    }

    /// Registers a request that is sent now, until the guard is dropped.
    pub fn watch(&self, request: &Signatures) -> WaitGuard<'_> {
        let (open, closed) = channel::bounded(1);
        let waiting = Waiting {
            signatures: request.clone(),
            open,
        };
        WaitGuard {
            guard: self,
            key: lock(&self.waiting).insert(waiting),
            closed,
        }
    }

    /// Records a request, sent at `sent`, whose upstream ended the connection.
    pub fn record_lost(
        &self,
        now: Millis,
        sent: Millis,
        inbound: &InboundRequest,
        upstream: &str,
        progress: Progress,
    ) {
        let log = self.node.log();
        if log.admits(now, Kind::Lost) {
            info!(log.logger(), "gate: request lost at its upstream";
                "request" => &inbound.call.id, "upstream" => upstream, "progress" => format!("{progress:?}"),
                "shared_parts" => inbound.call.shared_parts.join(","),
                "age_ms" => now.since(inbound.arrived).0);
        }
        let lost = Lost {
            at: now,
            signatures: inbound.signatures.clone(),
            progress,
        };
        let crashed = lock(&self.detector).record_loss(now, sent, upstream, lost);
        self.record_crash(now, upstream, &crashed, "lost requests");
    }

    /// Records that an upstream has ended at the time `at`, as `source` says: the name of
    /// its agent, or a connection that was refused.
    pub fn record_end(&self, now: Millis, at: Millis, upstream: &str, source: &str) {
        let crashed = lock(&self.detector).record_end(now, at, upstream);
        self.record_crash(now, upstream, &crashed, source);
    }

    /// Counts a crash against the requests that were lost at it.
    fn record_crash(&self, now: Millis, upstream: &str, lost: &[Lost], source: &str) {
        if lost.is_empty() {
            return;
        }
        // One request is the cause. Where the upstream had just begun one of them, it is that
        // one; else it may be one that was being answered or waited.
        let is_begun = |l: &Lost| l.progress == Progress::Head;
        let has_begun = lost.iter().any(is_begun);
        let suspects = || lost.iter().filter(|l| !has_begun || is_begun(l));
        let log = self.node.log();
        self.node.metrics().count(Metric::CrashCounted, 1);
        if log.admits(now, Kind::Lost) {
            info!(log.logger(), "gate: upstream has crashed";
                "upstream" => upstream, "lost" => lost.len(), "source" => source.to_string(),
                "suspects" => suspects().count(), "begun" => has_begun);
        }
        let upstream = util::stable_hash([upstream]);
        let mut blocked = Vec::new();
        {
            let mut table = lock(&self.table);
            for lost in suspects() {
                // A crash is known some time after the losses, which tell it from others.
                blocked.extend(table.record_crash(
                    lost.at,
                    upstream,
                    &lost.signatures,
                    lost.progress,
                ));
            }
        }
        for signature in blocked {
            self.on_blocked(now, signature, "own crashes");
        }
    }

    /// Records an event of an answer.
    pub fn record_answer(&self, now: Millis, request: &Signatures) {
        lock(&self.table).record_answer(now, request);
    }

    /// Records that an answer has ended whole.
    pub fn record_finish(&self, now: Millis, request: &Signatures) {
        lock(&self.table).record_finish(now, request);
    }

    /// Merges what the process `source` has seen.
    pub fn merge(&self, now: Millis, reports: impl Iterator<Item = Report>, source: &str) {
        for report in reports {
            if lock(&self.table).merge(now, &report) {
                self.on_blocked(now, report.signature, source);
            }
        }
    }

    /// Logs that a signature is blocked, and gives up the requests that wait with it: their
    /// upstreams would crash as well.
    fn on_blocked(&self, now: Millis, signature: u64, source: &str) {
        let table = lock(&self.table);
        let waiting = lock(&self.waiting);
        let is_blocked = |w: &&Waiting| table.is_blocked(now, &w.signatures);
        let given_up = waiting.iter().map(|(_, w)| w).filter(is_blocked);
        let given_up = given_up.filter(|w| w.open.close()).count();
        let log = self.node.log();
        if log.admits(now, Kind::Lost) {
            info!(log.logger(), "gate: requests are blocked after crashes";
                "signature" => format!("{signature:016x}"), "points" => table.points(now, signature),
                "given_up" => given_up, "source" => source.to_string());
        }
    }

    /// Returns what this process has seen itself, for peers.
    pub fn export(&self, now: Millis) -> Vec<Report> {
        let mut table = lock(&self.table);
        table.tick(now);
        table.export(now)
    }

    /// Returns the number of signatures that are blocked.
    pub fn blocked(&self) -> usize {
        lock(&self.table).blocked()
    }
}
