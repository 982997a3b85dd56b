//! `chervilquay demo`: runs a whole system in one process and checks every invariant.

use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::Duration;

use indicatif::ProgressBar;
use indicatif::ProgressStyle;

use crate::demo::steps;
use crate::net::rt;

/// Threads that run all processes of the demonstration.
const THREADS: usize = 4;

/// Start a fleet over loopback in this process, roll out a version, serve, drain and refill, and
/// print how often each invariant was checked. Exits with 1 when one was broken.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "demo", example = "chervilquay demo --seed 7")]
pub struct Args {
    /// seed of the weights, 1 by default
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Runs the demonstration; the exit code is 1 when an invariant was broken or not exercised.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    let bar = progress();
    let show = |line: &str| {
        if bar.is_hidden() {
            println!("{line}");
        } else {
            bar.println(line);
        }
    };
    let checks = rt::run(THREADS, steps::run(args.seed, &show))?;
    bar.finish_and_clear();
    for line in checks.report() {
        println!("{line}");
    }
    if checks.all_held() {
        println!("every invariant was exercised and held");
        return Ok(ExitCode::SUCCESS);
    }
    println!("an invariant was broken or not exercised");
    Ok(ExitCode::FAILURE)
}

/// Returns a spinner, hidden when standard error is no terminal; then plain lines are printed.
fn progress() -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template("{spinner} {elapsed} demonstration runs") {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(100));
    bar
}
