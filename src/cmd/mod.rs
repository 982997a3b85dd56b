//! Commands of the operators' client, a file each.

pub mod bench;
pub mod daemon;
pub mod standin;

use std::process::ExitCode;

use argh::FromArgs;

/// Operators' client of chervilquay.
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Bench(bench::Args),
    Standin(standin::Args),
}

/// Runs the command that the command line names.
pub fn run(args: Args) -> eyre::Result<ExitCode> {
    match args.command {
        Command::Bench(args) => bench::run(args),
        Command::Standin(args) => standin::run(args),
    }
}
