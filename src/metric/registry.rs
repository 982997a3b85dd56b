//! Sink that keeps the values of metrics and gives them as text.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use cadence::MetricSink;
use indexmap::IndexMap;

use crate::metric::Kind;
use crate::metric::Metric;
use crate::metric::PREFIX;

/// Most series kept; tags come from the numbered codes, so this is not reached in practice.
const MAX_SERIES: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    count: u64,
    sum: f64,
    last: f64,
    max: f64,
}

/// Values by series: name and tag as cadence writes them. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    cells: Arc<Mutex<IndexMap<String, Cell>>>,
}

/// The parts of a line such as `chervilquay.request.total:1|c|#code:4001`.
fn split(line: &str) -> Option<(String, f64)> {
    let mut parts = line.split('|');
    let (name, value) = parts.next()?.split_once(':')?;
    let _kind = parts.next()?;
    let tag = parts.next().unwrap_or_default();
    Some((format!("{name}{tag}"), value.parse().ok()?))
}

impl MetricSink for Registry {
    fn emit(&self, line: &str) -> io::Result<usize> {
        let Some((series, value)) = split(line) else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let mut cells = self.lock();
        if cells.len() >= MAX_SERIES && !cells.contains_key(&series) {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let cell = cells.entry(series).or_default();
        cell.max = if cell.count == 0 {
            value
        } else {
            cell.max.max(value)
        };
        cell.count += 1;
        cell.sum += value;
        cell.last = value;
        Ok(line.len())
    }
}

impl Registry {
    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<String, Cell>> {
        self.cells.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// All values in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let cells = self.lock().clone();
        for metric in Metric::ALL {
            let name = format!("{PREFIX}.{}", metric.name());
            let held = cells.iter().filter(|(series, _)| {
                let rest = series.strip_prefix(name.as_str());
                rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('#'))
            });
            let mut held = held.peekable();
            if held.peek().is_none() {
                continue;
            }
            let shown = name.replace('.', "_");
            text.push_str(&format!("# HELP {shown} {}\n", metric.meaning()));
            text.push_str(&format!("# TYPE {shown} {}\n", kind(*metric)));
            for (series, cell) in held {
                let tag = series.strip_prefix(name.as_str()).unwrap_or_default();
                text.push_str(&line(*metric, &shown, &label(tag), *cell));
            }
        }
        text
    }
}

fn kind(metric: Metric) -> &'static str {
    match metric.kind() {
        Kind::Counter => "counter",
        Kind::Gauge => "gauge",
        Kind::Histogram => "summary",
    }
}

/// `#code:4001` as `{code="4001"}`.
fn label(tag: &str) -> String {
    match tag.strip_prefix('#').and_then(|tag| tag.split_once(':')) {
        Some((name, value)) => format!("{{{name}=\"{value}\"}}"),
        None => String::new(),
    }
}

fn line(metric: Metric, name: &str, label: &str, cell: Cell) -> String {
    match metric.kind() {
        Kind::Counter => format!("{name}{label} {}\n", cell.sum),
        Kind::Gauge => format!("{name}{label} {}\n", cell.last),
        Kind::Histogram => format!(
            "{name}_count{label} {}\n{name}_sum{label} {}\n{name}_max{label} {}\n",
            cell.count, cell.sum, cell.max
        ),
    }
}
