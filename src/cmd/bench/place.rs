//! Compares placement policies against emulated runners.

use std::process::ExitCode;

use argh::FromArgs;

use crate::bench::place;
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
    /// output format: json
    #[argh(option, default = "String::from(\"json\")")]
    format: String,
}

/// Runs the experiment.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!(args.format == "json", "format must be json");
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
            let summary = place::run(pattern, policy, args.seed);
            println!("{}", summary.json(label, name, args.seed));
        }
    }
    Ok(ExitCode::SUCCESS)
}
