//! Start, reload and stop of a daemon on a prepared machine.

use std::time::Duration;

use slog::info;
use smol::channel;
use smol::channel::Receiver;
use smol::stream::StreamExt;

use crate::direct::decision_log::Output;
use crate::direct::node::Node;
use crate::error::Result;
use crate::log;
use crate::member::peers::Role;
use crate::net::rt;
use crate::node::signal;
use crate::node::signal::Request;
use crate::platform::settings;

/// Interval of checks for silent peers and ended grace periods, and of passing log lines on.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two reads of the settings file, which may change without a signal.
const SETTINGS_TICKS: u64 = 10;

/// Ticks between two summaries of the log lines left out.
const SUMMARY_TICKS: u64 = 10;

/// Reads the machine's settings, runs the daemon and stops it on SIGTERM.
pub fn run<F>(role: Role, start: impl FnOnce(Node, Receiver<()>) -> F) -> eyre::Result<()>
where
    F: Future<Output = Result<()>>,
{
    let path = settings::path();
    let settings = settings::load(&path)?;
    let output = Output::default();
    let writer = Output::start_writer();
    let log = log::json_logger(&settings.name, output.clone());
    let node = Node::new(role, settings, log);
    info!(node.log().logger(), "process: started"; "born" => node.started(), "zone" => &node.settings().zone);
    let (sender, receiver) = channel::bounded::<()>(1);
    let daemon = start(node.clone(), receiver);
    let ended = rt::run(1, async {
        let background = rt::spawn(background(node.clone(), output.clone(), writer.clone()));
        let signals = rt::spawn(signals(node.clone(), sender));
        let ended = daemon.await;
        drop(signals);
        drop(background);
        ended
    });
    output.hand_over(&writer);
    // The writer's thread needs some time to write the last lines.
    std::thread::sleep(Duration::from_millis(20));
    Ok(ended?)
}

/// Reloads the settings on the signal for it; drops `stop` on a signal to stop.
async fn signals(node: Node, stop: channel::Sender<()>) {
    let Ok(mut requests) = signal::requests() else {
        // Without a handler the default action of the signals ends the process.
        return std::future::pending().await;
    };
    while let Some(request) = requests.next().await {
        match request {
            Request::Reload => reload(&node, "signal"),
            Request::Stop => break,
        }
    }
    drop(stop);
    // Ignores further signals while the daemon stops.
    while requests.next().await.is_some() {}
}

/// Drops what has timed out, reads changed settings and passes log lines to the writer.
async fn background(node: Node, output: Output, writer: channel::Sender<Vec<u8>>) {
    let mut count = 0_u64;
    loop {
        smol::Timer::after(TICK).await;
        count += 1;
        node.tick();
        if count.is_multiple_of(SETTINGS_TICKS) {
            reload(&node, "file");
        }
        if count.is_multiple_of(SUMMARY_TICKS) {
            node.log().summarize();
        }
        output.hand_over(&writer);
    }
}

/// Applies settings that have changed; keeps the former ones if the file cannot be read.
fn reload(node: &Node, reason: &str) {
    match settings::load(&settings::path()) {
        Ok(settings) if settings != *node.settings() => {
            info!(node.log().logger(), "config: settings have changed"; "reason" => reason);
            node.set_settings(settings);
        }
        Ok(_) => {}
        Err(error) => {
            info!(node.log().logger(), "config: settings cannot be read"; "reason" => reason, &error);
        }
    }
}
