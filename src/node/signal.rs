//! Signals by which an operator stops a daemon or has it read its settings again.

use async_signal::Signal;
use async_signal::Signals;
use smol::stream::StreamExt;

use crate::common;

/// Waits for SIGTERM or SIGINT.
pub async fn stop() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            let _ = signals.next().await;
        }
        // Without a handler, the default action of these signals ends the process.
        Err(_) => std::future::pending().await,
    }
}

common! { key
/// What a signal tells a daemon to do.
pub enum Request {
    /// SIGTERM or SIGINT: finish the work in progress, then exit.
    Stop,
    /// SIGHUP: read the settings again.
    Reload,
}
}

/// Returns an endless stream of the requests that arrive as signals.
///
/// Fails when the signal handlers cannot be installed.
pub fn requests() -> std::io::Result<impl StreamExt<Item = Request> + Unpin> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    Ok(signals.filter_map(|signal| match signal {
        Ok(Signal::Hup) => Some(Request::Reload),
        Ok(_) => Some(Request::Stop),
        Err(_) => None,
    }))
}
