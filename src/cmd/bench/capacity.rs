//! `chervilquay bench capacity`: slopes of real code and sums per role.

use std::process::ExitCode;

use serde_json::json;

use crate::bench::capacity;
use crate::bench::capacity::Effort;
use crate::bench::capacity::Slope;
use crate::bench::capacity::roles;
use crate::bench::capacity::roles::Row;
use crate::cmd::output;
use crate::cmd::output::Format;

/// Measure costs over at least four sizes each, fit lines, and sum them up per role at the design
/// size.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "capacity",
    example = "chervilquay bench capacity --only table --format json"
)]
pub struct Args {
    /// measure only slopes whose names start with this; the sums need all
    #[argh(option, default = "String::new()")]
    pub only: String,
    /// text, markdown or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
    /// divide all sizes by this and measure briefly
    #[argh(option, default = "1")]
    pub shrink: usize,
}

/// Measures and prints.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    output::check_format(args.format, &[Format::Text, Format::Markdown, Format::Json])?;
    let mut effort = Effort::default();
    if args.shrink > 1 {
        effort.shrink = args.shrink;
        effort.sample_ms = 1;
        effort.samples = 2;
    }
    let slopes = capacity::run(&args.only, effort)?;
    let rows = roles::rows(&slopes).unwrap_or_default();
    let text = match args.format {
        Format::Json => output::render(&json!({ "slopes": slopes, "roles": rows }), args.format)?,
        _ => table(&slopes) + &sums(&rows),
    };
    output::print(&text)?;
    Ok(output::exit_code(true))
}

fn table(slopes: &[Slope]) -> String {
    let mut text = String::from(
        "| slope | over | sizes | values | unit | base | each | fit | worst residual |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for slope in slopes {
        let list = |value: fn(&capacity::Point) -> String| {
            let values: Vec<String> = slope.points.iter().map(value).collect();
            values.join(", ")
        };
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {:.3} | {:.6} | {:.4} | {:.1}% |\n",
            slope.name,
            slope.over,
            list(|p| format!("{}", p.size)),
            list(|p| format!("{:.3}", p.value)),
            slope.unit,
            slope.base,
            slope.each,
            slope.fit,
            100.0 * slope.worst()
        ));
    }
    text
}

fn sums(rows: &[Row]) -> String {
    if rows.is_empty() {
        return String::new();
    }
    let mut text =
        String::from("\n| role | item | core | memory | network |\n|---|---|---|---|---|\n");
    for role in ["entry", "agent"] {
        let held: Vec<&Row> = rows.iter().filter(|row| row.role == role).collect();
        for row in &held {
            text.push_str(&line(role, row.item, row.core, row.memory, row.bytes));
        }
        let sum = |value: fn(&Row) -> f64| -> f64 {
            held.iter().filter(|r| r.is_control).map(|r| value(r)).sum()
        };
        let (core, memory, bytes) = (sum(|r| r.core), sum(|r| r.memory), sum(|r| r.bytes));
        text.push_str(&line(role, "**sum of control**", core, memory, bytes));
    }
    text
}

fn line(role: &str, item: &str, core: f64, memory: f64, bytes: f64) -> String {
    format!("| {role} | {item} | {core:.4}% | {memory:.2} MiB | {bytes:.0} B/s |\n")
}
