//! `chervilquay status`: shows the state of several processes in a table.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use indexmap::IndexMap;
use serde_json::Value;

use crate::cmd::dump;
use crate::cmd::fetch;
use crate::cmd::output;
use crate::cmd::output::Format;
use crate::error::Error;
use crate::net::rt;
use crate::node::admin;

/// Hex digits of a digest that are shown.
const SHORT_DIGEST: usize = 12;

/// Show revision, version and drain of each process, and a summary. Exits with 0 when every process
/// answers, all hold one revision, and every agent serves its version or is drained; else with 1.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "status",
    example = "chervilquay status --watch 2 10.1.0.11:7101 10.1.1.1:7101 10.1.1.2:7101"
)]
pub struct Args {
    /// admin addresses of the processes
    #[argh(positional)]
    pub addrs: Vec<SocketAddr>,
    /// repeat every so many seconds until interrupted
    #[argh(option)]
    pub watch: Option<u64>,
    /// text, json or yaml
    #[argh(option, default = "Format::Text")]
    pub format: Format,
    /// longest wait for an answer, in milliseconds
    #[argh(option, default = "2_000")]
    pub timeout_ms: u64,
}

/// Reads all dumps and prints the summary, once or repeatedly.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    output::check_format(args.format, &[Format::Text, Format::Json, Format::Yaml])?;
    eyre::ensure!(!args.addrs.is_empty(), "no address was given");
    eyre::ensure!(args.watch != Some(0), "--watch needs at least 1 second");
    rt::run(1, async {
        loop {
            let status = observe(args).await;
            output::print(&match args.format {
                Format::Text => plain(&status),
                format => output::render(&status, format)?,
            })?;
            let Some(seconds) = args.watch else {
                return Ok(output::exit_code(status.summary.is_settled));
            };
            smol::Timer::after(Duration::from_secs(seconds)).await;
        }
    })
}

/// Reads the state of all processes.
async fn observe(args: &Args) -> Status {
    let limit = Duration::from_millis(args.timeout_ms);
    let dumps = fetch::dumps(&args.addrs, limit).await;
    let rows = args.addrs.iter().zip(dumps);
    Status::new(rows.map(|(addr, dump)| Row::new(*addr, dump)).collect())
}

/// State of one process.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Row {
    /// Admin address.
    pub admin: String,
    /// Why its state could not be read.
    pub error: Option<String>,
    /// Role: `entry` or `agent`.
    pub role: String,
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Revision in force; 0 for none.
    pub revision: u64,
    /// Digest of the set of tables in force.
    pub digest: String,
    /// Why newer tables are not in force.
    pub refused: Option<String>,
    /// Pool of an agent; empty for an entry and for an agent in no pool.
    pub pool: String,
    /// Digest of the version that the tables assign to an agent.
    pub wanted: String,
    /// Digest of the version that the agent's engine has loaded.
    pub held: String,
    /// True when it takes no new requests.
    pub is_leaving: bool,
    /// Requests in progress.
    pub running: u64,
}

impl Row {
    /// Creates a row from a dump, or from the error of reading it.
    pub fn new(admin: SocketAddr, dump: Result<Value, Error>) -> Row {
        let mut row = Row {
            admin: admin.to_string(),
            ..Row::default()
        };
        let dump = match dump {
            Ok(dump) => dump,
            Err(error) => {
                row.error = Some(error.to_string());
                return row;
            }
        };
        let part = |path: &str| dump::select(&dump, Some(path));
        let text = |path: &str| part(path).and_then(Value::as_str).map(str::to_string);
        let is_true = |path: &str| part(path).and_then(Value::as_bool).unwrap_or(false);
        row.role = text("role").unwrap_or_default();
        row.name = text("name").unwrap_or_default();
        row.zone = text("zone").unwrap_or_default();
        row.revision = part("tables.revision")
            .and_then(Value::as_u64)
            .unwrap_or_default();
        row.digest = text("tables.digest").unwrap_or_default();
        row.refused = text("tables.refused");
        row.pool = text("duty.pool").unwrap_or_default();
        row.wanted = text("duty.digest").unwrap_or_default();
        row.held = text("loaded").unwrap_or_default();
        // `guard.leaving` is the reason why the agent leaves, and null while it does not.
        row.is_leaving = is_true("duty.drain") || text("guard.leaving").is_some();
        row.running = admin::running(&dump);
        row
    }

    /// Returns the state of the process; of several problems, the one to look at first.
    pub fn state(&self) -> &'static str {
        if self.error.is_some() {
            return "no answer";
        }
        if self.revision == 0 {
            return "no tables";
        }
        if self.is_leaving {
            return "leaving";
        }
        match self.role.as_str() {
            "agent" if self.pool.is_empty() => "in no pool",
            "agent" if self.wanted != self.held => "behind",
            _ => "serving",
        }
    }
}

/// Counts over all processes.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Summary {
    /// Processes in each state.
    pub states: IndexMap<String, usize>,
    /// Processes that hold each revision, highest first.
    pub revisions: IndexMap<u64, usize>,
    /// Processes that refuse newer tables.
    pub refusing: usize,
    /// True when processes have sets of tables with the same revision and other content in force.
    pub has_conflict: bool,
    /// Requests in progress at entries.
    pub running: u64,
    /// True when all processes serve or leave, have the same tables in force and refuse none.
    pub is_settled: bool,
}

/// State of all processes that were asked.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// One row for each process, in the order of the addresses.
    pub processes: Vec<Row>,
    /// Counts over the rows.
    pub summary: Summary,
}

impl Status {
    /// Creates the status from its rows, with the summary.
    pub fn new(processes: Vec<Row>) -> Status {
        let mut summary = Summary::default();
        let mut sets: IndexMap<u64, &str> = IndexMap::new();
        for row in &processes {
            *summary.states.entry(row.state().to_string()).or_default() += 1;
            if row.error.is_some() {
                continue;
            }
            *summary.revisions.entry(row.revision).or_default() += 1;
            summary.refusing += usize::from(row.refused.is_some());
            summary.has_conflict |= *sets.entry(row.revision).or_insert(&row.digest) != row.digest;
            if row.role == "entry" {
                summary.running += row.running;
            }
        }
        summary.revisions.sort_by(|a, _, b, _| b.cmp(a));
        let is_stable = |state: &String| state == "serving" || state == "leaving";
        summary.is_settled = summary.states.keys().all(is_stable)
            && summary.revisions.len() == 1
            && !summary.has_conflict
            && summary.refusing == 0;
        Status { processes, summary }
    }
}

/// Returns the first hex digits of a digest.
fn short(digest: &str) -> &str {
    let hex = digest.strip_prefix("sha256:").unwrap_or(digest);
    hex.get(..SHORT_DIGEST).unwrap_or(hex)
}

/// Returns the status as a table for people, with problems and the summary below it.
pub fn plain(status: &Status) -> String {
    let head = [
        "NAME", "ROLE", "ZONE", "REVISION", "POOL", "VERSION", "RUNNING", "STATE",
    ];
    let mut lines = vec![head.map(str::to_string)];
    for row in &status.processes {
        let name = if row.name.is_empty() {
            &row.admin
        } else {
            &row.name
        };
        lines.push([
            name.clone(),
            row.role.clone(),
            row.zone.clone(),
            row.revision.to_string(),
            row.pool.clone(),
            short(&row.held).to_string(),
            row.running.to_string(),
            row.state().to_string(),
        ]);
    }
    let mut text = align(&lines);
    for row in &status.processes {
        if let Some(problem) = row.error.as_ref().or(row.refused.as_ref()) {
            let name = if row.name.is_empty() {
                &row.admin
            } else {
                &row.name
            };
            text.push_str(&format!("{name}: {problem}\n"));
        }
    }
    text + &footer(&status.summary)
}

/// Returns the summary as text.
fn footer(summary: &Summary) -> String {
    let list = |pairs: Vec<String>| pairs.join(", ");
    let states = summary.states.iter().map(|(s, n)| format!("{n} {s}"));
    let revisions = summary.revisions.iter().map(|(r, n)| format!("{r} at {n}"));
    let mut text = format!(
        "{}; revision {}; {} requests in progress\n",
        list(states.collect()),
        list(revisions.collect()),
        summary.running
    );
    if summary.has_conflict {
        text.push_str("E2007: one revision with two contents; publish the next revision\n");
    }
    text
}

/// Returns the lines with the cells of each column padded to one width.
fn align<const N: usize>(lines: &[[String; N]]) -> String {
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max();
    let widths: Vec<usize> = (0..N).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
