//! Trace of one request: its log lines from several processes, and its outcome.

use serde_json::Value;

use crate::prelude::*;

common! { value
/// One log line that names the request.
pub struct Line {
    /// Timestamp (`ts`) as written in the line; empty when the line has none.
    pub timestamp: String,
    /// Name of the process that wrote the line; empty when the line has none.
    pub process: String,
    /// The JSON object of the line.
    pub record: Value,
}
}

/// Returns the lines of `text` that name the request with the id `request`, in
/// order of time.
///
/// Lines may have a prefix without braces, as log collectors add it. Lines that
/// are not JSON from the first brace on are skipped.
pub fn lines(text: &str, request: &str) -> Vec<Line> {
    let records = text.lines().filter_map(|line| {
        let start = line.find('{')?;
        serde_json::from_str::<Value>(&line[start..]).ok()
    });
    let matching = records.filter(|record| record["request"] == request);
    let mut lines: Vec<Line> = matching
        .map(|record| Line {
            timestamp: text_value(&record, "ts"),
            process: text_value(&record, "process"),
            record,
        })
        .collect();
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    lines
}

/// Returns a text value of a record; empty when it has none.
fn text_value(record: &Value, key: &str) -> String {
    record[key].as_str().unwrap_or_default().to_string()
}

/// Returns one sentence on the outcome of the request, from its last line and the
/// reasons of the sends that failed.
pub fn cause(lines: &[Line]) -> String {
    let Some(last) = lines.last() else {
        return "no line names the request: it never arrived, or its line was left out, as lines of answered requests are limited in number".to_string();
    };
    let record = &last.record;
    let sends = record["sends"].as_u64().unwrap_or(0);
    let message = text_value(record, "msg");
    if message.ends_with("answered") && !message.contains("not answered") {
        let is_late = record["late"].as_bool().unwrap_or(false);
        let timing = if is_late { "late" } else { "in time" };
        return format!("answered {timing} after {sends} sends");
    }
    let code = record["code"]
        .as_u64()
        .and_then(|c| Code::from_number(c as u32));
    let meaning = code.map_or("unknown", Code::text);
    let reasons = lines.iter().filter_map(|line| {
        let reason = line.record["reason"].as_str()?;
        Some(format!(
            "{} ({reason})",
            text_value(&line.record, "upstream")
        ))
    });
    let reasons: Vec<String> = reasons.collect();
    let detail = text_value(record, "detail");
    if reasons.is_empty() {
        format!("{meaning}: {detail}; {sends} sends")
    } else {
        format!("{meaning}: {detail}; after {}", reasons.join(", "))
    }
}
