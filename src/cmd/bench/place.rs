//! Compares placement policies against emulated runners.

use std::process::ExitCode;

use argh::FromArgs;

use crate::bench::place;
use crate::bench::place::Fleet;
use crate::bench::place::POLICIES;
use crate::bench::place::load::Pattern;

/// Worth earned by each policy under load patterns; one JSON object a line.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "place",
    example = "{command_name} --load steady-1.5 --seed 1"
)]
pub struct Args {
    /// load pattern, or `steady-` and a load relative to the capacity; all
    /// patterns when none is named
    #[argh(option)]
    load: Option<String>,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
    /// entries that share the load, 1 to 1,000
    #[argh(option, default = "Fleet::default().entries")]
    entries: usize,
    /// runners in the pool, 1 to 1,000
    #[argh(option, default = "Fleet::default().runners")]
    runners: usize,
    /// interval at which entries learn of each other's calls, in milliseconds, 1 to
    /// 1,000
    #[argh(option, default = "Fleet::default().exchange_ms")]
    exchange: f64,
    /// groups of entries and runners that report in turn within an interval, 1 to 100
    #[argh(option, default = "Fleet::default().phases")]
    phases: usize,
    /// output format: json
    #[argh(option, default = "String::from(\"json\")")]
    format: String,
}

/// Runs the experiment.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!(args.format == "json", "format must be json");
    let counts = [("entries", args.entries), ("runners", args.runners)];
    for (name, count) in counts {
        eyre::ensure!((1..=1_000).contains(&count), "{name} must be 1 to 1000");
    }
    eyre::ensure!(
        (1.0..=1_000.0).contains(&args.exchange),
        "exchange must be 1 to 1000"
    );
    eyre::ensure!((1..=100).contains(&args.phases), "phases must be 1 to 100");
    let fleet = Fleet {
        entries: args.entries,
        runners: args.runners,
        exchange_ms: args.exchange,
        phases: args.phases,
    };
    let patterns = match &args.load {
        None => Pattern::ALL.to_vec(),
        Some(name) => {
            let pattern = Pattern::named(name);
            let pattern = pattern.ok_or_else(|| eyre::eyre!("no load pattern {name}"))?;
            vec![(name.as_str(), pattern)]
        }
    };
    for (name, pattern) in patterns {
        for (label, policy) in POLICIES {
            let summary = place::run_fleet(fleet.clone(), pattern, policy, args.seed);
            println!("{}", summary.json(label, name, args.seed));
        }
    }
    Ok(ExitCode::SUCCESS)
}
