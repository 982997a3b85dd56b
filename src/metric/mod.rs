//! Metrics of a process: their names, kinds and units, and the client that records them.

pub mod registry;

use std::sync::Arc;

use cadence::Counted;
use cadence::Gauged;
use cadence::Histogrammed;
use cadence::StatsdClient;

use crate::common;
use crate::error::Code;
use crate::time::Millis;

pub use registry::Registry;

/// Prefix of the name of every metric.
pub const PREFIX: &str = "chervilquay";

common! { key
/// How the values of a metric are aggregated.
pub enum Kind {
    /// Sum of the increments since the start of the process.
    Counter,
    /// Last value that was set.
    Gauge,
    /// Number, sum and maximum of the values since the start of the process.
    Histogram,
}
}

macro_rules! metrics {
    ($($name:ident = $text:literal, $kind:ident, $unit:literal, $tag:literal, $meaning:literal;)*) => {
        common! { key
        /// Every metric of the system; docs/metrics.md lists them.
        pub enum Metric { $(#[doc = $meaning] $name,)* }
        }

        impl Metric {
            /// Every metric, in the order of docs/metrics.md.
            pub const ALL: &'static [Metric] = &[$(Metric::$name),*];

            /// Returns the name without the prefix.
            pub const fn name(self) -> &'static str {
                match self { $(Metric::$name => $text,)* }
            }

            /// Returns how the values are aggregated.
            pub const fn kind(self) -> Kind {
                match self { $(Metric::$name => Kind::$kind,)* }
            }

            /// Returns the unit of the values.
            pub const fn unit(self) -> &'static str {
                match self { $(Metric::$name => $unit,)* }
            }

            /// Returns the name of the tag; empty for a metric without one.
            pub const fn tag(self) -> &'static str {
                match self { $(Metric::$name => $tag,)* }
            }

            /// Returns the meaning of the metric in one line.
            pub const fn meaning(self) -> &'static str {
                match self { $(Metric::$name => $meaning,)* }
            }
        }
    };
}

metrics! {
    RequestTotal = "request.total", Counter, "requests", "code", "requests that ended at an entry, by result code, 0 for an answer";
    RequestTime = "request.time_ms", Histogram, "ms", "", "time from a request's head to the start of its answer at an entry";
    RequestRunning = "request.running", Gauge, "requests", "", "requests in progress at this process";
    RequestRefused = "request.refused", Counter, "requests", "reason", "requests that the placement of an entry refused, by reason: late (none can serve it in time), share (its kind is served more than more urgent or worse served ones), limit (budget of repeated sends)";
    AdmissionShare = "admission.share_percent", Gauge, "percent", "rank", "share of the requests of a rank that the entries of the zone served lately";
    ReturnBacklog = "return.backlog", Gauge, "callers", "", "refused callers of an entry whose time to return has not come";
    AttemptTotal = "attempt.total", Counter, "attempts", "code", "attempts that ended at an agent, by result code, 0 for an answer";
    SendTotal = "send.total", Counter, "sends", "", "requests sent to upstreams by an entry on a prepared machine, repeated ones included";
    SendRepeated = "send.repeated", Counter, "sends", "", "sends beyond the first of a request, resumed streams included";
    StreamFirst = "stream.first_ms", Histogram, "ms", "", "time from a request's arrival to its first event";
    StreamPause = "stream.pause_ms", Histogram, "ms", "", "longest pause between two events of one stream";
    UpstreamOpen = "upstream.open", Gauge, "upstreams", "", "upstreams that an entry may send to now";
    StoreTotal = "store.total", Counter, "calls", "code", "calls to the platform's store, by result code, 0 for an answer";
    PeerPushed = "peer.pushed", Counter, "datagrams", "", "datagrams whose changes of the store completed the own replica";
    PeerFetched = "peer.fetched", Counter, "calls", "code", "calls to a peer for changes of the store, by result code, 0 for an answer";
    StoreRead = "store.read_bytes", Counter, "bytes", "", "bytes of values that the platform's store has sent";
    PeerRead = "peer.read_bytes", Counter, "bytes", "", "bytes of values that peers have sent when asked for changes of the store";
    LogLeftOut = "log.left_out", Counter, "lines", "", "log lines beyond the bound of their kind";
    WeightsPulled = "weights.pulled_bytes", Counter, "bytes", "", "bytes of verified pieces that an agent pulled";
    ZoneEvacuated = "zone.evacuated", Gauge, "zones", "", "availability zones that the operator has evacuated";
    UpstreamLimited = "upstream.limited", Gauge, "upstreams", "", "upstreams that limit the requests of all entries together";
    UpstreamCold = "upstream.cold", Gauge, "upstreams", "", "upstreams that are cold and limited for that by their pool";
    CrashCounted = "crash.counted", Counter, "crashes", "", "crashes of upstreams that an entry counted against requests";
    CrashBlocked = "crash.blocked", Gauge, "signatures", "", "requests and parts of prompts that are blocked as upstreams crash when they begin to answer them";
    VersionExpired = "version.expired", Counter, "answers", "", "streams whose first event came after the expiry of the version that they were made from";
    TableRevision = "table.revision", Gauge, "revision", "", "revision of the set in force, 0 for none";
    TableRefused = "table.refused", Gauge, "sets", "", "1 while newer tables are refused, else 0";
    WeightsHeld = "weights.held_bytes", Gauge, "bytes", "", "bytes of verified chunks in memory";
    MemoryHeld = "memory.held_bytes", Gauge, "bytes", "", "memory that callers make the process hold: connections, heads, bodies, unread answers";
    MemorySize = "memory.size_bytes", Gauge, "bytes", "", "most memory that callers may make the process hold";
    MemoryClosed = "memory.closed", Counter, "holders", "", "connections and bodies that were closed to make room for others";
    MemoryRefused = "memory.refused", Counter, "reservations", "", "connections and bodies that were refused for want of memory or connections";
    ConnectionsOpen = "connections.open", Gauge, "connections", "", "open connections of callers, other processes and operators";
    Uptime = "process.uptime_ms", Gauge, "ms", "", "time since the process started";
}

/// Records metrics in the registry of the process; clones share the registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::default();
        Metrics {
            client: Arc::new(StatsdClient::from_sink(PREFIX, registry.clone())),
            registry,
        }
    }
}

impl Metrics {
    /// Adds `by` to a counter without a tag.
    pub fn count(&self, metric: Metric, by: u64) {
        assert_eq!((metric.kind(), metric.tag()), (Kind::Counter, ""));
        let _ = self.client.count(metric.name(), by);
    }

    /// Adds 1 to a counter under the tag of a result code; none, a success, counts as code 0.
    pub fn outcome(&self, metric: Metric, code: Option<Code>) {
        assert_eq!((metric.kind(), metric.tag()), (Kind::Counter, "code"));
        let number = code.map_or(0, Code::number).to_string();
        let counter = self.client.count_with_tags(metric.name(), 1_u64);
        counter.with_tag(metric.tag(), &number).send();
    }

    /// Adds 1 to a counter under a tag other than a result code.
    pub fn count_tagged(&self, metric: Metric, tag: &str) {
        assert_eq!(metric.kind(), Kind::Counter);
        let counter = self.client.count_with_tags(metric.name(), 1_u64);
        counter.with_tag(metric.tag(), tag).send();
    }

    /// Sets a gauge to `value` under a tag.
    pub fn set_tagged(&self, metric: Metric, tag: &str, value: u64) {
        assert_eq!(metric.kind(), Kind::Gauge);
        let gauge = self.client.gauge_with_tags(metric.name(), value);
        gauge.with_tag(metric.tag(), tag).send();
    }

    /// Sets a gauge to `value`.
    pub fn set(&self, metric: Metric, value: u64) {
        assert_eq!(metric.kind(), Kind::Gauge);
        let _ = self.client.gauge(metric.name(), value);
    }

    /// Adds a span to a histogram of times in milliseconds.
    pub fn time(&self, metric: Metric, span: Millis) {
        assert_eq!((metric.kind(), metric.unit()), (Kind::Histogram, "ms"));
        let _ = self.client.histogram(metric.name(), span.0);
    }

    /// Returns all recorded metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}

/// Returns the text of the page docs/metrics.md.
pub fn markdown() -> String {
    let mut text = INTRODUCTION.to_string();
    text.push_str("\n| name | kind | unit | tag | meaning |\n|---|---|---|---|---|\n");
    for metric in Metric::ALL {
        let kind = format!("{:?}", metric.kind()).to_lowercase();
        let tag = if metric.tag().is_empty() {
            "-"
        } else {
            metric.tag()
        };
        text.push_str(&format!(
            "| `{PREFIX}.{}` | {kind} | {} | {tag} | {} |\n",
            metric.name(),
            metric.unit(),
            metric.meaning()
        ));
    }
    text
}

/// First part of docs/metrics.md.
const INTRODUCTION: &str = "# Metrics

Each process records the metrics below in memory and serves them at `GET /metrics` on its admin
address, in the Prometheus text format. There, dots of a name become underscores, and a histogram is
given as `_count`, `_sum` and `_max`. Values start at zero with the process. A metric that has not
been recorded yet is not served. The page is checked against src/metric by a test.
";
