//! Measures how fast and at what cost table changes get into force.

use std::process::ExitCode;

use argh::FromArgs;

use crate::bench::tables::loopback;
use crate::bench::tables::report::Row;
use crate::bench::tables::virtual_time;
use crate::net::rt;
use crate::table::sync::SyncMode;

/// Threads of a run over loopback.
const THREADS: usize = 4;

/// Policies, the one in use first.
const POLICIES: [SyncMode; 2] = [SyncMode::Peers, SyncMode::Poll];

/// Time until table changes are in force, and their cost, by peers and by
/// polling; one JSON object a line for each mode and policy.
#[derive(FromArgs)]
#[argh(subcommand, name = "tables")]
pub struct Args {
    /// processes; up to 300 run over loopback as well
    #[argh(option, default = "400")]
    nodes: usize,
    /// availability zones
    #[argh(option, default = "5")]
    zones: usize,
    /// seed of all random choices under the virtual clock
    #[argh(option, default = "1")]
    seed: u64,
    /// share of messages lost under the virtual clock
    #[argh(option, default = "0.0")]
    loss: f64,
    /// measure a partition of one hour with 200 changes on one side instead of
    /// single changes, under the virtual clock
    #[argh(switch)]
    partition: bool,
    /// virtual or loopback; both where the number of processes allows
    #[argh(option)]
    mode: Option<String>,
    /// output format: json
    #[argh(option, default = "String::from(\"json\")")]
    format: String,
}

/// Runs the experiment.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!(args.format == "json", "format must be json");
    eyre::ensure!(args.zones > 0, "zones must be at least 1");
    eyre::ensure!(args.nodes >= args.zones, "each zone needs a process");
    eyre::ensure!((0.0..1.0).contains(&args.loss), "loss must be 0 to 1");
    let mode = args.mode.as_deref();
    eyre::ensure!(
        matches!(mode, None | Some("virtual" | "loopback")),
        "mode must be virtual or loopback"
    );
    if mode != Some("virtual") && args.nodes <= loopback::MAX_NODES {
        rt::run(THREADS, run_loopback(args))?;
    }
    if mode != Some("loopback") {
        run_virtual(args)?;
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_loopback(args: &Args) -> eyre::Result<()> {
    for sync_mode in POLICIES {
        let options = loopback::Options {
            nodes: args.nodes,
            zones: args.zones,
            seed: args.seed,
            sync_mode,
            first: sync_mode == POLICIES[0],
        };
        print(&loopback::run(options).await?)?;
    }
    Ok(())
}

fn run_virtual(args: &Args) -> eyre::Result<()> {
    // Without peers a side that is cut off from the platform gets nothing.
    let policies = POLICIES
        .iter()
        .filter(|s| !args.partition || **s == SyncMode::Peers);
    for sync_mode in policies.copied() {
        let options = virtual_time::Options {
            nodes: args.nodes,
            zones: args.zones,
            seed: args.seed,
            loss: args.loss,
            partition: args.partition,
            sync_mode,
        };
        print(&virtual_time::run(options))?;
    }
    Ok(())
}

fn print(row: &Row) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(row)?);
    Ok(())
}
