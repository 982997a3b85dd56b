//! Start and stop of a daemon that reads a settings file in YAML.

use std::path::Path;

use slog::Logger;
use smol::channel;
use smol::channel::Receiver;

use crate::config;
use crate::config::Node;
use crate::config::check::Settings;
use crate::error::Result;
use crate::log;
use crate::net::rt;
use crate::node::signal;

/// Threads that run a daemon's tasks; the VMs are small.
const THREADS: usize = 2;

/// Reads the settings at `path`, runs the daemon and stops it on SIGTERM or SIGINT.
///
/// `start` returns the daemon's future; the daemon stops when its receiver is closed.
pub fn run<T, F>(
    path: &Path,
    node: impl Fn(&T) -> &Node,
    start: impl FnOnce(T, Logger, Receiver<()>) -> F,
) -> eyre::Result<()>
where
    T: Settings,
    F: Future<Output = Result<()>>,
{
    let settings: T = config::load(path)?;
    let log = log::logger(&node(&settings).name, node(&settings).log);
    let (sender, receiver) = channel::bounded::<()>(1);
    let daemon = start(settings, log, receiver);
    rt::run(THREADS, async move {
        let stopper = rt::spawn(async move {
            signal::stop().await;
            drop(sender);
        });
        let ended = daemon.await;
        drop(stopper);
        ended
    })?;
    Ok(())
}
