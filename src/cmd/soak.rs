//! `chervilquay soak`: runs real processes while faults are injected from outside.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::cmd::output;
use crate::soak;
use crate::soak::Options;

/// Run entry processes under random faults and check promises. Exits with 1 when one is broken.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "soak",
    example = "chervilquay soak --seed 7 --seconds 20"
)]
pub struct Args {
    /// seed of all choices
    #[argh(option, default = "1")]
    pub seed: u64,
    /// seconds in which faults are injected
    #[argh(option, default = "15")]
    pub seconds: u64,
    /// entry processes
    #[argh(option, default = "3")]
    pub entries: usize,
    /// callers at a time
    #[argh(option, default = "24")]
    pub callers: usize,
    /// directory for settings and logs; a new one under the system's by default
    #[argh(option)]
    pub dir: Option<PathBuf>,
}

/// Runs one soak test and prints each promise that was broken.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!((1..=200).contains(&args.entries), "entries: 1 to 200");
    let name = format!("chervilquay-soak-{}", std::process::id());
    let dir = args.dir.clone();
    let options = Options {
        seed: args.seed,
        length: Duration::from_secs(args.seconds),
        entries: args.entries,
        callers: args.callers,
        program: std::env::current_exe()?.with_file_name("chervilquay-entry"),
        dir: dir.unwrap_or_else(|| std::env::temp_dir().join(name)),
    };
    let report = soak::run(&options)?;
    let (sent, whole) = report.requests;
    let mut text = format!(
        "seed {}: {sent} requests, {whole} answered whole, {} faults, {} promises broken\n",
        args.seed,
        report.faults,
        report.violations.len()
    );
    for line in &report.violations {
        text.push_str(&format!("  {line}\n"));
    }
    let is_ok = report.violations.is_empty();
    if is_ok && args.dir.is_none() {
        // The logs of a run without faults found are not needed; failing to remove them is no error.
        let _ = std::fs::remove_dir_all(&options.dir);
    } else {
        text.push_str(&format!("  logs: {}\n", options.dir.display()));
    }
    output::print(&text)?;
    Ok(output::exit_code(is_ok))
}
