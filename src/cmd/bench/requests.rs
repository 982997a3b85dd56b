//! Compares policies under an open-loop load on the real entry and agent code.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;

use crate::bench::requests;
use crate::bench::requests::POLICIES;
use crate::bench::requests::Plan;
use crate::bench::requests::report;
use crate::bench::requests::report::Summary;
use crate::net::rt;
use crate::route::choose::Policy;

/// Threads of the benchmark.
const THREADS: usize = 4;

/// Latency, goodput and fairness of each policy; one JSON object a line.
///
/// Example: chervilquay bench requests --seed 1 --slow 5
#[derive(FromArgs)]
#[argh(subcommand, name = "requests")]
pub struct Args {
    /// seed of the schedule
    #[argh(option, default = "1")]
    seed: u64,
    /// slow two of nine runners by this factor
    #[argh(option, default = "1")]
    slow: u64,
    /// offer this many times the capacity and compare with a run at capacity
    #[argh(option)]
    overload: Option<f64>,
    /// offered load relative to the capacity; 0.85, or 0.65 with slow runners
    #[argh(option)]
    load: Option<f64>,
    /// length of the measured window, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// entries that share the load
    #[argh(option, default = "3")]
    entries: usize,
    /// run this policy only
    #[argh(option)]
    policy: Option<String>,
    /// output format: json
    #[argh(option, default = "String::from(\"json\")")]
    format: String,
}

/// Runs the experiment.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!(args.format == "json", "format must be json");
    eyre::ensure!(load(args) > 0.0 && args.entries > 0, "nothing to send");
    rt::run(THREADS, async {
        for (name, policy) in POLICIES {
            if args.policy.as_deref().is_none_or(|wanted| wanted == name) {
                line(args, name, policy).await?;
            }
        }
        Ok(ExitCode::SUCCESS)
    })
}

/// Without its two slowed runners, a pool of nine has 0.78 of its capacity.
fn load(args: &Args) -> f64 {
    let default = if args.slow > 1 { 0.65 } else { 0.85 };
    args.overload.or(args.load).unwrap_or(default)
}

async fn line(args: &Args, name: &str, policy: Policy) -> eyre::Result<()> {
    let plan = Plan {
        seed: args.seed,
        slow: args.slow,
        load: load(args),
        window: Duration::from_secs(args.seconds),
        entries: args.entries,
    };
    let summary = measure(&plan, policy).await?;
    // Goodput is relative to that at capacity under overload, else to the load offered.
    let mut base = summary.requests as f64 / plan.window.as_secs_f64();
    let mut extra = Vec::new();
    if args.overload.is_some() {
        let at = Plan {
            load: 1.0,
            ..plan.clone()
        };
        let full = measure(&at, policy).await?;
        base = full.goodput;
        extra.push(("work_ratio", summary.token_rate / full.token_rate));
        extra.push(("fairness_at_capacity", full.fairness));
    }
    if args.slow > 1 {
        let even = Plan { slow: 1, ..plan };
        let even = measure(&even, policy).await?;
        extra.push(("p99_unslowed_ms", even.p99));
        extra.push(("p99_slow_ratio", summary.p99 / even.p99));
    }
    let mut value = summary.json(name, base);
    for (key, figure) in extra {
        value[key] = report::round(figure).into();
    }
    println!("{value}");
    Ok(())
}

async fn measure(plan: &Plan, policy: Policy) -> eyre::Result<Summary> {
    let run = requests::run(plan, policy).await?;
    Ok(report::summarise(&run))
}
