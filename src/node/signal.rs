//! Waits for the signals that stop a daemon.

use async_signal::Signal;
use async_signal::Signals;
use smol::stream::StreamExt;

/// Completes on SIGTERM or SIGINT.
pub async fn stop() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            let _ = signals.next().await;
        }
        // Without a handler the default action of the signals ends the process.
        Err(_) => std::future::pending().await,
    }
}
