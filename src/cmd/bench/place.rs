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
    /// load pattern; all of them when none is named
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
    if let Some(name) = &args.load {
        eyre::ensure!(Pattern::named(name).is_some(), "no load pattern {name}");
    }
    for (name, pattern) in Pattern::ALL {
        if args.load.as_deref().is_some_and(|wanted| wanted != name) {
            continue;
        }
        for (label, policy) in POLICIES {
            let summary = place::run(pattern, policy, args.seed);
            println!("{}", summary.json(label, name, args.seed));
        }
    }
    Ok(ExitCode::SUCCESS)
}
