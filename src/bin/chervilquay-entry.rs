//! Daemon of the entry VMs.

use std::path::PathBuf;

use argh::FromArgs;
use chervilquay::cmd::daemon;
use chervilquay::entry::Entry;

/// Takes callers' requests and brings each to a fit upstream.
///
/// Example: chervilquay-entry --settings examples/entry.yaml
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
        |s: &chervilquay::config::EntrySettings| &s.node,
        |settings, log, stop| Entry::new(settings, log).run(stop),
    )
}
