//! Entry: the daemon that runs on each entry VM and serves callers.

use std::path::PathBuf;

use argh::FromArgs;
use chervilquay::cmd::daemon;
use chervilquay::cmd::prepared;
use chervilquay::direct;
use chervilquay::entry::Entry;
use chervilquay::member::peers::Role;

/// Takes callers' requests and brings each to a fit upstream.
///
/// Example: chervilquay-entry --settings examples/entry.yaml
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
        return prepared::run(Role::Entry, |node, stop| {
            direct::entry::Entry::new(node).run_until(stop)
        });
    }
    let settings = args
        .settings
        .ok_or_else(|| eyre::eyre!("--settings or --prepared is needed"))?;
    daemon::run(
        &settings,
        |s: &chervilquay::config::EntrySettings| &s.node,
        |settings, log, stop| Entry::new(settings, log).run(stop),
    )
}
