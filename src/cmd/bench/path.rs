//! Runs the whole path in one process and reports what one request costs.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use serde_json::json;

use crate::bench::fleet::Fleet;
use crate::bench::fleet::Plan;
use crate::net::rt;

/// Threads of the benchmark.
const THREADS: usize = 4;

/// Time from an empty fleet to the first answer, and the time of one short request.
#[derive(FromArgs)]
#[argh(subcommand, name = "path")]
pub struct Args {
    /// requests to send, one after the other
    #[argh(option, default = "200")]
    requests: usize,
    /// output format: json
    #[argh(option, default = "String::from(\"json\")")]
    format: String,
}

/// Runs the experiment.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!(args.format == "json", "format must be json");
    rt::run(THREADS, measure(args.requests))
}

async fn measure(requests: usize) -> eyre::Result<ExitCode> {
    let start = Instant::now();
    let fleet = Fleet::start(Plan::default()).await?;
    fleet.until_serving(Duration::from_secs(20)).await?;
    let ready = start.elapsed();
    let addr: SocketAddr = fleet.entries[0].http;
    let begin = Instant::now();
    for index in 0..requests {
        fleet.complete(addr, &format!("prompt {index}"), 1).await?;
    }
    let each = begin.elapsed().as_secs_f64() * 1e3 / requests.max(1) as f64;
    let line = json!({
        "ready_s": ready.as_secs_f64(),
        "requests": requests,
        "mean_ms": each,
    });
    println!("{line}");
    Ok(ExitCode::SUCCESS)
}
