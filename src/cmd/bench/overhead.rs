//! Measures what entry and agent add to a request.

use std::process::ExitCode;

use argh::FromArgs;

use crate::bench::requests::overhead;
use crate::net::rt;

/// Threads of the benchmark.
const THREADS: usize = 4;

/// Added latency and requests a second a core, against the engine called directly.
///
/// Example: chervilquay bench overhead
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct Args {
    /// requests to measure
    #[argh(option, default = "5_000")]
    requests: usize,
    /// output format: json
    #[argh(option, default = "String::from(\"json\")")]
    format: String,
}

/// Runs the experiment.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!(args.format == "json", "format must be json");
    rt::run(THREADS, async {
        println!("{}", overhead::measure(args.requests.max(1)).await?);
        Ok(ExitCode::SUCCESS)
    })
}
