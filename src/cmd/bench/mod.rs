//! Load and experiment tool: one subcommand an experiment.

pub mod capacity;
pub mod overhead;
pub mod path;
pub mod place;
pub mod requests;
pub mod rollout;
pub mod tables;

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
    Capacity(capacity::Args),
    Overhead(overhead::Args),
    Path(path::Args),
    Place(place::Args),
    Requests(requests::Args),
    Tables(tables::Args),
    Rollout(rollout::Args),
}

/// Runs the experiment that the command line names.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    match &args.experiment {
        Experiment::Capacity(args) => capacity::run(args),
        Experiment::Overhead(args) => overhead::run(args),
        Experiment::Path(args) => path::run(args),
        Experiment::Place(args) => place::run(args),
        Experiment::Requests(args) => requests::run(args),
        Experiment::Tables(args) => tables::run(args),
        Experiment::Rollout(args) => rollout::run(args),
    }
}
