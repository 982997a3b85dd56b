//! Log lines for decisions, with a rate limit for each kind, and their output,
//! which never blocks the process.

use std::io::Write;
use std::sync::Mutex;

use slog::Logger;
use slog::info;
use slog::warn;
use smol::channel::Sender;
use smol::channel::TrySendError;

use crate::direct::cluster::Change;
use crate::metric::Metric;
use crate::metric::Metrics;
use crate::prelude::*;

/// Lines a second for requests that were answered in time: enough to see that
/// there is traffic.
const ANSWERED_RATE: u32 = 5;

/// Lines a second for each other kind, so that a burst of one kind leaves room for
/// the others.
const OTHER_RATE: u32 = 40;

/// Most bytes that wait to be written; further lines are dropped and counted.
const MAX_PENDING: usize = 256 << 10;

common! { key
/// Kinds of lines, each with a rate limit of its own.
pub enum Kind {
    /// A request that was answered by an upstream.
    Answered,
    /// A stream that ended whole but missed its objective or had too long a pause.
    Late,
    /// A request that was refused before it was sent.
    Refused,
    /// A request that was sent and ended with an error of the entry.
    Failed,
    /// A send that brought no answer, or a stream that was resumed elsewhere.
    Repeated,
    /// A request whose upstream was lost, or a crash that such losses show.
    Lost,
    /// A caller that disconnected during its stream.
    Left,
    /// A change of what is known of configuration, upstreams or versions.
    Belief,
    /// A failed pull of a piece of weights.
    Weights,
    /// An answer from a version that has expired or is about to.
    Version,
}
}

const KINDS: [Kind; 10] = [
    Kind::Answered,
    Kind::Late,
    Kind::Refused,
    Kind::Failed,
    Kind::Repeated,
    Kind::Lost,
    Kind::Left,
    Kind::Belief,
    Kind::Weights,
    Kind::Version,
];

/// Lines of one kind: those of the present second, and those that were left out.
#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    second: u64,
    used: u32,
    left_out: u64,
}

/// Logger with a rate limit for each kind of line; clones share the limits.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    logger: Logger,
    metrics: Metrics,
    allowances: Arc<Mutex<IndexMap<Kind, Allowance>>>,
}

impl DecisionLog {
    /// Creates a log that writes to `logger` and counts left-out lines in `metrics`.
    pub fn new(logger: Logger, metrics: Metrics) -> DecisionLog {
        DecisionLog {
            logger,
            metrics,
            allowances: Arc::default(),
        }
    }

    /// Returns the logger. Lines without a rate limit use it directly: start, stop,
    /// reload, dependencies.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns true when a line of this kind may be written now, and counts it.
    pub fn admits(&self, now: Millis, kind: Kind) -> bool {
        let rate = if kind == Kind::Answered {
            ANSWERED_RATE
        } else {
            OTHER_RATE
        };
        let mut allowances = self.allowances.lock().unwrap_or_else(|e| e.into_inner());
        let allowance = allowances.entry(kind).or_default();
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

    /// Logs and counts the lines that were left out since the last call.
    pub fn summarize(&self) {
        let mut allowances = self.allowances.lock().unwrap_or_else(|e| e.into_inner());
        for kind in KINDS {
            let Some(allowance) = allowances.get_mut(&kind) else {
                continue;
            };
            let count = std::mem::take(&mut allowance.left_out);
            if count > 0 {
                self.metrics.count(Metric::LogLeftOut, count);
                info!(self.logger, "log: lines left out"; "kind" => format!("{kind:?}"), "count" => count);
            }
        }
    }

    /// Logs that an upstream has said in an answer that it is leaving.
    pub fn leaving(&self, now: Millis, upstream: &str) {
        if self.admits(now, Kind::Belief) {
            info!(self.logger, "member: upstream is leaving"; "upstream" => upstream, "source" => "answer");
        }
    }

    /// Logs that an upstream has refused a request and wants no others for `span`.
    pub fn back_off(&self, now: Millis, upstream: &str, span: Millis) {
        if self.admits(now, Kind::Belief) {
            info!(self.logger, "member: upstream wants no requests"; "upstream" => upstream, "span_ms" => span.0, "source" => "answer");
        }
    }

    /// Logs the requests a second that an upstream takes from all entries, or that it names
    /// no limit any more. `source` is an answer or the entry that has read it.
    pub fn rate_limit(&self, now: Millis, upstream: &str, rate: Option<f64>, source: &str) {
        if self.admits(now, Kind::Belief) {
            info!(self.logger, "member: upstream limits its requests"; "upstream" => upstream, "rate" => rate, "source" => source.to_string());
        }
    }

    /// Logs that an upstream has turned cold. `source` is its registration, an answer or
    /// its agent.
    pub fn cold(&self, now: Millis, upstream: &str, source: &'static str) {
        if self.admits(now, Kind::Belief) {
            info!(self.logger, "member: upstream is cold"; "upstream" => upstream, "source" => source);
        }
    }

    /// Logs a change of what is known, with the revision of the replica and the
    /// `source`: `store`, `time` or the peer that it came from.
    pub fn change(&self, now: Millis, revision: u64, change: &Change, source: &str) {
        if !self.admits(now, Kind::Belief) {
            return;
        }
        let source = source.to_string();
        match change {
            Change::Config(version) => {
                info!(self.logger, "table: configuration in force"; "version" => version, "revision" => revision, "source" => source)
            }
            Change::NoRegion(route, organisation) => {
                warn!(self.logger, "table: route and organisation have no common region"; "route" => route, "organisation" => organisation, "source" => source)
            }
            Change::Registered(id) => {
                info!(self.logger, "member: upstream registered or changed"; "upstream" => id, "revision" => revision, "source" => source)
            }
            Change::Gone(id) => {
                info!(self.logger, "member: upstream is gone"; "upstream" => id, "revision" => revision, "source" => source)
            }
            Change::Missing(id) => {
                info!(self.logger, "member: entry lapsed while the store was away"; "upstream" => id, "revision" => revision, "source" => source)
            }
            Change::Evacuation(zone, true) => {
                info!(self.logger, "member: zone is evacuated"; "zone" => zone, "revision" => revision, "source" => source)
            }
            Change::Evacuation(zone, false) => {
                info!(self.logger, "member: evacuation is revoked"; "zone" => zone, "revision" => revision, "source" => source)
            }
            Change::VersionNamed(model, version, naming) => {
                let age = naming.as_ref().map(|n| now.since(n.at).0);
                let dating = naming.as_ref().map(|n| format!("{:?}", n.dating));
                info!(self.logger, "rollout: version named"; "model" => model, "version" => version, "age_ms" => age, "dating" => dating, "revision" => revision, "source" => source)
            }
            Change::VersionDated(model, version, at) => {
                info!(self.logger, "rollout: version dated"; "model" => model, "version" => version, "age_ms" => now.since(*at).0, "source" => source)
            }
            Change::Restored(era, held) => {
                info!(self.logger, "platform: store was restored from a copy"; "era" => era, "revision" => revision, "held_era" => held.era, "held_revision" => held.revision, "source" => source)
            }
            Change::Undecoded(detail) => {
                info!(self.logger, "platform: document left out"; "detail" => detail, "revision" => revision, "source" => source)
            }
        }
    }
}

/// Lines that wait, and the number that was dropped since the last write.
#[derive(Debug, Default)]
struct Pending {
    lines: Vec<u8>,
    lost: u64,
}

/// Buffer between the logger and the thread that writes; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Output {
    pending: Arc<Mutex<Pending>>,
}

impl Output {
    /// Starts the thread that writes to standard output and returns the channel to
    /// it.
    pub fn start_writer() -> Sender<Vec<u8>> {
        let (sender, receiver) = smol::channel::bounded::<Vec<u8>>(4);
        let write = move || {
            while let Ok(lines) = receiver.recv_blocking() {
                // The process goes on serving when its output is closed.
                let _ = std::io::stdout().write_all(&lines);
            }
        };
        // If the thread cannot be started, nothing is logged and serving goes on.
        let _ = std::thread::Builder::new()
            .name("log".to_string())
            .spawn(write);
        sender
    }

    /// Hands the waiting lines to the thread, unless it is still busy with earlier
    /// ones.
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
