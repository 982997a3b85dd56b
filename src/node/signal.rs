//! Waits for the signals that stop a daemon.

use async_signal::Signal;
use async_signal::Signals;
use smol::stream::StreamExt;

use crate::common;

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

common! { key
/// What a signal asks of a daemon.
pub enum Request {
    /// SIGTERM or SIGINT: end the work in progress, then exit.
    Stop,
    /// SIGHUP: the settings have changed.
    Reload,
}
}

/// Requests by signals; the stream has no end.
pub fn requests() -> std::io::Result<impl StreamExt<Item = Request> + Unpin> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    Ok(signals.filter_map(|signal| match signal {
        Ok(Signal::Hup) => Some(Request::Reload),
        Ok(_) => Some(Request::Stop),
        Err(_) => None,
    }))
}
