//! Stand-ins for the external systems: configuration service, origin of weights,
//! model engine and plain service.
//!
//! Each speaks its published protocol over loopback. They are used by `demo`,
//! benchmarks and tests; `chervilquay standin` runs each as a process of its own.

pub mod batch;
pub mod engine;
pub mod origin;
pub mod platform;

use std::net::SocketAddr;

use http::Response;
use http::StatusCode;
use serde_json::Value;

use crate::net::body;
use crate::net::body::BoxBody;

/// Handle of a stand-in's HTTP server; dropping it stops the server.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address it listens on, with the actual port.
    pub addr: SocketAddr,
    _stop: smol::channel::Sender<()>,
    _task: smol::Task<()>,
}

/// Starts an HTTP server on `addr` (port 0 for any) and returns its handle.
pub(crate) fn start<F, R>(addr: SocketAddr, handler: F) -> crate::error::Result<ServerHandle>
where
    F: Fn(http::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<BoxBody>> + Send + 'static,
{
    let listener = crate::net::server::bind(addr)?;
    let addr = listener.get_ref().local_addr().unwrap_or(addr);
    let (stop, stopped) = smol::channel::bounded(1);
    let limits = crate::net::server::Limits::default();
    let task = crate::net::rt::spawn(crate::net::server::serve(
        listener, limits, stopped, handler,
    ));
    Ok(ServerHandle {
        addr,
        _stop: stop,
        _task: task,
    })
}

/// Returns an answer with a JSON body.
pub(crate) fn json(status: StatusCode, value: &Value) -> Response<BoxBody> {
    let mut response = Response::new(body::full(value.to_string()));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Returns an answer with a body of plain text.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<BoxBody> {
    let mut response = Response::new(body::full(text.to_string()));
    *response.status_mut() = status;
    response
}
