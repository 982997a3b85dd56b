//! Registry that aggregates the values of metrics and writes them as text.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use cadence::MetricSink;
use indexmap::IndexMap;

use crate::metric::Kind;
use crate::metric::Metric;
use crate::metric::PREFIX;

/// Most series kept; tags are result codes, so this is not reached in practice.
const MAX_SERIES: usize = 1_024;

/// Values of one series since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
struct Aggregate {
    count: u64,
    sum: f64,
    last: f64,
    max: f64,
}

/// Aggregates by series, which is a metric's name and tag as cadence writes them.
///
/// Clones share the aggregates.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    aggregates: Arc<Mutex<IndexMap<String, Aggregate>>>,
}

/// Returns series and value of a line such as `chervilquay.request.total:1|c|#code:4001`.
fn parse_line(line: &str) -> Option<(String, f64)> {
    let mut parts = line.split('|');
    let (name, value) = parts.next()?.split_once(':')?;
    let _kind = parts.next()?;
    let tag = parts.next().unwrap_or_default();
    Some((format!("{name}{tag}"), value.parse().ok()?))
}

impl MetricSink for Registry {
    fn emit(&self, line: &str) -> io::Result<usize> {
        let Some((series, value)) = parse_line(line) else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let mut aggregates = self.lock();
        if aggregates.len() >= MAX_SERIES && !aggregates.contains_key(&series) {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let aggregate = aggregates.entry(series).or_default();
        aggregate.max = if aggregate.count == 0 {
            value
        } else {
            aggregate.max.max(value)
        };
        aggregate.count += 1;
        aggregate.sum += value;
        aggregate.last = value;
        Ok(line.len())
    }
}

impl Registry {
    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<String, Aggregate>> {
        self.aggregates.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns all series in the Prometheus text format, in the order of [`Metric::ALL`].
    pub fn text(&self) -> String {
        let mut text = String::new();
        let aggregates = self.lock().clone();
        for metric in Metric::ALL {
            let name = format!("{PREFIX}.{}", metric.name());
            let found = aggregates.iter().filter(|(series, _)| {
                let rest = series.strip_prefix(name.as_str());
                rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('#'))
            });
            let mut found = found.peekable();
            if found.peek().is_none() {
                continue;
            }
            let shown = name.replace('.', "_");
            text.push_str(&format!("# HELP {shown} {}\n", metric.meaning()));
            text.push_str(&format!("# TYPE {shown} {}\n", prometheus_type(*metric)));
            for (series, aggregate) in found {
                let tag = series.strip_prefix(name.as_str()).unwrap_or_default();
                text.push_str(&series_lines(*metric, &shown, &label(tag), *aggregate));
            }
        }
        text
    }
}

/// Returns the type of a metric in Prometheus; a histogram has no buckets here, so it is a summary.
fn prometheus_type(metric: Metric) -> &'static str {
    match metric.kind() {
        Kind::Counter => "counter",
        Kind::Gauge => "gauge",
        Kind::Histogram => "summary",
    }
}

/// Converts a tag such as `#code:4001` to a label such as `{code="4001"}`.
fn label(tag: &str) -> String {
    match tag.strip_prefix('#').and_then(|tag| tag.split_once(':')) {
        Some((name, value)) => format!("{{{name}=\"{value}\"}}"),
        None => String::new(),
    }
}

/// Returns the lines of one series, three for a histogram.
fn series_lines(metric: Metric, name: &str, label: &str, aggregate: Aggregate) -> String {
    match metric.kind() {
        Kind::Counter => format!("{name}{label} {}\n", aggregate.sum),
        Kind::Gauge => format!("{name}{label} {}\n", aggregate.last),
        Kind::Histogram => format!(
            "{name}_count{label} {}\n{name}_sum{label} {}\n{name}_max{label} {}\n",
            aggregate.count, aggregate.sum, aggregate.max
        ),
    }
}
