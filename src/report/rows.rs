//! Benchmark results as rows of one table.

use indexmap::IndexSet;
use serde_json::Value;

use crate::prelude::*;

/// Rows in order of input. The columns are all keys that any row has.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// Column names in order of first appearance.
    pub columns: IndexSet<String>,
    /// Values of each row by column; a row may lack columns.
    pub rows: Vec<IndexMap<String, Value>>,
}

impl Rows {
    /// Parses one JSON object per line. Blank lines are skipped.
    ///
    /// Returns [`Code::RequestMalformed`] with the line number for any other line.
    pub fn parse(text: &str) -> Result<Rows> {
        let mut rows = Rows::default();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let row: IndexMap<String, Value> = serde_json::from_str(line).map_err(|e| {
                let detail = format!("line {}: {e}", index + 1);
                Error::new(Code::RequestMalformed, detail)
            })?;
            rows.columns.extend(row.keys().cloned());
            rows.rows.push(row);
        }
        Ok(rows)
    }

    /// Returns the rows as a Markdown table; a missing value is an empty cell.
    pub fn markdown(&self) -> String {
        let mut out = String::new();
        let names: Vec<&str> = self.columns.iter().map(String::as_str).collect();
        out.push_str(&markdown_line(names.iter().copied()));
        out.push_str(&markdown_line(names.iter().map(|_| "---")));
        for row in &self.rows {
            let cells: Vec<String> = names.iter().map(|name| cell_text(row.get(*name))).collect();
            out.push_str(&markdown_line(cells.iter().map(String::as_str)));
        }
        out
    }

    /// Returns the points (`x`, `y`) of one series for each value of the column
    /// `by`, sorted by x.
    ///
    /// Rows that lack a number in one of the columns `x` and `y` are skipped.
    pub fn series(&self, x: &str, y: &str, by: &str) -> IndexMap<String, Vec<(f64, f64)>> {
        let mut series: IndexMap<String, Vec<(f64, f64)>> = IndexMap::new();
        for row in &self.rows {
            let number = |name: &str| row.get(name).and_then(Value::as_f64);
            let (Some(x_value), Some(y_value)) = (number(x), number(y)) else {
                continue;
            };
            let name = cell_text(row.get(by));
            series.entry(name).or_default().push((x_value, y_value));
        }
        for points in series.values_mut() {
            points.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
        series
    }
}

/// Returns one line of a Markdown table.
fn markdown_line<'a>(cells: impl Iterator<Item = &'a str>) -> String {
    let cells: Vec<&str> = cells.collect();
    format!("| {} |\n", cells.join(" | "))
}

/// Returns the text of a value in a Markdown table.
fn cell_text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.replace('|', "\\|"),
        Some(Value::Number(number)) => number_text(number),
        Some(other) => other.to_string(),
    }
}

/// Returns integers as they are, and other numbers with four significant digits.
fn number_text(number: &serde_json::Number) -> String {
    if number.is_i64() || number.is_u64() {
        return number.to_string();
    }
    let value = number.as_f64().unwrap_or(f64::NAN);
    if value == 0.0 {
        return "0".to_string();
    }
    let integer_digits = value.abs().log10().floor() as i32 + 1;
    let decimals = (4 - integer_digits).clamp(0, 9) as usize;
    format!("{value:.decimals$}")
}
