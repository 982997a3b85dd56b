//! Daemon of the slot on each upstream VM.

use std::path::PathBuf;

use argh::FromArgs;
use chervilquay::agent::Agent;
use chervilquay::cmd::daemon;

/// Gates one upstream and keeps it at the version that the tables name.
///
/// Example: chervilquay-agent --settings examples/agent.yaml
#[derive(FromArgs)]
struct Args {
    /// settings file, YAML
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    daemon::run(
        &args.settings,
        |s: &chervilquay::config::AgentSettings| &s.node,
        |settings, log, stop| Agent::new(settings, log).run(stop),
    )
}
