//! Log lines for decisions: one a decision, bounded by kind, never blocking.

use std::io::Write;
use std::sync::Mutex;

use slog::Logger;
use slog::info;
use smol::channel::Sender;
use smol::channel::TrySendError;

use crate::direct::cluster::Change;
use crate::metric::Metric;
use crate::metric::Metrics;
use crate::prelude::*;

/// Lines a second for good requests; enough to see that traffic flows.
const GOOD_RATE: u32 = 5;

/// Lines a second for each kind of other decisions, so that a storm of one
/// kind leaves room for the others.
const OTHER_RATE: u32 = 40;

/// Bytes that wait to be written; more are left out and counted.
const MAX_PENDING: usize = 256 << 10;

common! { key
/// Kinds of lines with budgets of their own.
pub enum Kind {
    /// A request that was answered by an upstream.
    Answered,
    /// A stream that ended whole and late.
    Late,
    /// A request that was refused before it was sent.
    Refused,
    /// A request that ended in a failure of our own.
    Failed,
    /// A send that was repeated, or a stream that was resumed.
    Repeated,
    /// A caller that left.
    Left,
    /// A change of belief.
    Belief,
    /// Weights: pieces, orders, loads.
    Weights,
    /// An answer from a version that is about to expire, or has.
    Version,
}
}

const KINDS: [Kind; 9] = [
    Kind::Answered,
    Kind::Late,
    Kind::Refused,
    Kind::Failed,
    Kind::Repeated,
    Kind::Left,
    Kind::Belief,
    Kind::Weights,
    Kind::Version,
];

#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    second: u64,
    used: u32,
    left_out: u64,
}

/// Writes lines within their budgets; clones share them.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    logger: Logger,
    metrics: Metrics,
    used: Arc<Mutex<IndexMap<Kind, Allowance>>>,
}

impl DecisionLog {
    /// A log over a logger.
    pub fn new(logger: Logger, metrics: Metrics) -> DecisionLog {
        DecisionLog {
            logger,
            metrics,
            used: Arc::default(),
        }
    }

    /// The logger, for lines without budget: start, stop, reload, dependencies.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Metrics that belong to the same decisions.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// True when a line of this kind may be written now.
    pub fn admits(&self, now: Millis, kind: Kind) -> bool {
        let rate = if kind == Kind::Answered {
            GOOD_RATE
        } else {
            OTHER_RATE
        };
        let mut used = self.used.lock().unwrap_or_else(|e| e.into_inner());
        let allowance = used.entry(kind).or_default();
        let second = now.0 / 1_000;
        if allowance.second != second {
            allowance.second = second;
            allowance.used = 0;
        }
        allowance.used += 1;
        if allowance.used > rate {
            allowance.left_out += 1;
            return false;
        }
        true
    }

    /// Writes how many lines were left out since the last call.
    pub fn summarize(&self) {
        let mut used = self.used.lock().unwrap_or_else(|e| e.into_inner());
        for kind in KINDS {
            let Some(allowance) = used.get_mut(&kind) else {
                continue;
            };
            let count = std::mem::take(&mut allowance.left_out);
            if count > 0 {
                self.metrics.count(Metric::LogLeftOut, count);
                info!(self.logger, "log: lines left out"; "kind" => format!("{kind:?}"), "count" => count);
            }
        }
    }

    /// An upstream that has said in an answer that it is leaving.
    pub fn leaving(&self, now: Millis, upstream: &str) {
        if self.admits(now, Kind::Belief) {
            info!(self.logger, "member: upstream is leaving"; "upstream" => upstream, "source" => "answer");
        }
    }

    /// An upstream that has turned a request away and wants no others for `span`.
    pub fn back_off(&self, now: Millis, upstream: &str, span: Millis) {
        if self.admits(now, Kind::Belief) {
            info!(self.logger, "member: upstream wants no requests"; "upstream" => upstream, "span_ms" => span.0, "source" => "answer");
        }
    }

    /// A change of belief, with the revision that it came with.
    pub fn change(&self, now: Millis, revision: u64, change: &Change, source: &str) {
        if !self.admits(now, Kind::Belief) {
            return;
        }
        let source = source.to_string();
        match change {
            Change::Config(version) => {
                info!(self.logger, "table: configuration in force"; "version" => version, "revision" => revision, "source" => source)
            }
            Change::Registered(id) => {
                info!(self.logger, "member: upstream registered or changed"; "upstream" => id, "revision" => revision, "source" => source)
            }
            Change::Gone(id) => {
                info!(self.logger, "member: upstream is gone"; "upstream" => id, "revision" => revision, "source" => source)
            }
            Change::Lapsed(id) => {
                info!(self.logger, "member: entry lapsed while the store was away"; "upstream" => id, "revision" => revision, "source" => source)
            }
            Change::VersionNamed(model, version) => {
                info!(self.logger, "rollout: version named"; "model" => model, "version" => version, "revision" => revision, "source" => source)
            }
            Change::VersionDated(model, version, at) => {
                info!(self.logger, "rollout: version dated"; "model" => model, "version" => version, "age_ms" => now.since(*at).0, "source" => source)
            }
            Change::Undecoded(detail) => {
                info!(self.logger, "platform: document left out"; "detail" => detail, "revision" => revision, "source" => source)
            }
        }
    }
}

#[derive(Debug, Default)]
struct Pending {
    lines: Vec<u8>,
    lost: u64,
}

/// Lines that wait to be written; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Output {
    pending: Arc<Mutex<Pending>>,
}

impl Output {
    /// Starts the thread that writes to standard output, and gives the sender to it.
    pub fn start() -> Sender<Vec<u8>> {
        let (sender, receiver) = smol::channel::bounded::<Vec<u8>>(4);
        let write = move || {
            while let Ok(lines) = receiver.recv_blocking() {
                // A closed output is no reason to stop serving.
                let _ = std::io::stdout().write_all(&lines);
            }
        };
        // Without the thread nothing is written, and serving goes on.
        let _ = std::thread::Builder::new()
            .name("log".to_string())
            .spawn(write);
        sender
    }

    /// Hands what waits to the thread unless it is blocked.
    pub fn hand_over(&self, sender: &Sender<Vec<u8>>) {
        let mut pending = self.pending.lock().unwrap_or_else(|e| e.into_inner());
        if pending.lost > 0 {
            let lost = std::mem::take(&mut pending.lost);
            let line = format!("{{\"msg\":\"log: output was blocked\",\"lost\":{lost}}}\n");
            pending.lines.extend_from_slice(line.as_bytes());
        }
        if pending.lines.is_empty() {
            return;
        }
        match sender.try_send(std::mem::take(&mut pending.lines)) {
            Ok(()) | Err(TrySendError::Closed(_)) => {}
            Err(TrySendError::Full(lines)) => pending.lines = lines,
        }
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut pending = self.pending.lock().unwrap_or_else(|e| e.into_inner());
        if pending.lines.len() + bytes.len() > MAX_PENDING {
            pending.lost += 1;
        } else {
            pending.lines.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
