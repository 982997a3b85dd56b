//! Load and experiment tool: one subcommand an experiment.

pub mod path;
pub mod rollout;

use std::process::ExitCode;

use argh::FromArgs;

/// Measure the system over loopback; one JSON object a line for each policy.
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Args {
    #[argh(subcommand)]
    experiment: Experiment,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Experiment {
    Path(path::Args),
    Rollout(rollout::Args),
}

/// Runs the experiment that the command line names.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    match &args.experiment {
        Experiment::Path(args) => path::run(args),
        Experiment::Rollout(args) => rollout::run(args),
    }
}
