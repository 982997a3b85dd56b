//! Measures how fast a version reaches many VMs, and what the origin sends.

use std::process::ExitCode;

use argh::FromArgs;

use crate::bench::rollout;
use crate::bench::rollout::Policy;
use crate::bench::rollout::Scenario;
use crate::net::rt;

/// Threads of the benchmark.
const THREADS: usize = 6;

/// Policies that are run when none is named.
const POLICIES: &str = "chervilquay,direct,chain";

/// Time to fill many VMs over small emulated links, for several policies.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub struct Args {
    /// VMs to fill
    #[argh(option, default = "200")]
    vms: usize,
    /// seed of content, faults and choices
    #[argh(option, default = "1")]
    seed: u64,
    /// availability zones
    #[argh(option, default = "0")]
    zones: usize,
    /// regions
    #[argh(option, default = "1")]
    regions: usize,
    /// faults to inject: none or loss
    #[argh(option, default = "String::from(\"none\")")]
    faults: String,
    /// policies, separated by commas: chervilquay, direct, chain, tree2, tree4
    #[argh(option, default = "String::from(POLICIES)")]
    policies: String,
    /// output format: json
    #[argh(option, default = "String::from(\"json\")")]
    format: String,
}

/// Runs the experiment.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!(args.format == "json", "format must be json");
    eyre::ensure!(
        args.vms > 0 && args.regions > 0,
        "at least one VM and region"
    );
    let faults = match args.faults.as_str() {
        "none" => false,
        "loss" => true,
        other => eyre::bail!("faults must be none or loss, not {other}"),
    };
    let scenario = Scenario {
        vms: args.vms,
        seed: args.seed,
        zones: args.zones.max(args.regions),
        regions: args.regions,
        faults,
    };
    let policies = policies(&args.policies)?;
    rt::run(THREADS, measure(&scenario, &policies))
}

fn policies(names: &str) -> eyre::Result<Vec<Policy>> {
    let named = |name| Policy::named(name).ok_or_else(|| eyre::eyre!("no policy {name:?}"));
    names.split(',').map(named).collect()
}

async fn measure(scenario: &Scenario, policies: &[Policy]) -> eyre::Result<ExitCode> {
    for policy in policies {
        let report = rollout::run(scenario, policy).await?;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(ExitCode::SUCCESS)
}
