//! Agent: the daemon that runs beside the upstream on each upstream VM.

use std::path::PathBuf;

use argh::FromArgs;
use chervilquay::agent::Agent;
use chervilquay::cmd::daemon;
use chervilquay::cmd::prepared;
use chervilquay::direct;
use chervilquay::member::peers::Role;

/// Gates one upstream and keeps it at the version that the tables name.
///
/// Example: chervilquay-agent --settings examples/agent.yaml
#[derive(FromArgs)]
struct Args {
    /// settings file, YAML
    #[argh(option)]
    settings: Option<PathBuf>,

    /// run on a prepared machine, with the platform's settings file
    #[argh(switch)]
    prepared: bool,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    if args.prepared {
        return prepared::run(Role::Agent, |node, stop| async move {
            direct::agent::Agent::new(node)?.run_until(stop).await
        });
    }
    let settings = args
        .settings
        .ok_or_else(|| eyre::eyre!("--settings or --prepared is needed"))?;
    daemon::run(
        &settings,
        |s: &chervilquay::config::AgentSettings| &s.node,
        |settings, log, stop| Agent::new(settings, log).run(stop),
    )
}
