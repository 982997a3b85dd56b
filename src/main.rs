//! Command-line client with which operators check, explain and observe the system.

use std::process::ExitCode;

use chervilquay::cmd;
use chervilquay::cmd::output;

/// Check, explain and observe the distribution of model weights and requests.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Bench(cmd::bench::Args),
    Check(cmd::check::Args),
    Codes(cmd::codes::Args),
    Demo(cmd::demo::Args),
    Dump(cmd::dump::Args),
    Explain(cmd::explain::Args),
    Report(cmd::report::Args),
    Scenario(cmd::scenario::Args),
    Soak(cmd::soak::Args),
    Standin(cmd::standin::Args),
    Status(cmd::status::Args),
    Trace(cmd::trace::Args),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match <Args as argh::FromArgs>::from_args(&["chervilquay"], &words) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitCode::from(output::EXIT_USAGE);
        }
    };
    let result = match &args.command {
        Command::Bench(args) => cmd::bench::run(args),
        Command::Check(args) => cmd::check::run(args),
        Command::Codes(args) => cmd::codes::run(args),
        Command::Demo(args) => cmd::demo::run(args),
        Command::Dump(args) => cmd::dump::run(args),
        Command::Explain(args) => cmd::explain::run(args),
        Command::Report(args) => cmd::report::run(args),
        Command::Scenario(args) => cmd::scenario::run(args),
        Command::Soak(args) => cmd::soak::run(args),
        Command::Standin(args) => cmd::standin::run(args),
        Command::Status(args) => cmd::status::run(args),
        Command::Trace(args) => cmd::trace::run(args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("chervilquay: {error:#}");
        ExitCode::from(output::EXIT_FAILED)
    })
}
