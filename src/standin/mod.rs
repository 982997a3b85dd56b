//! Stand-ins for the systems around this one: configuration service, origin of
//! weights, model engine and plain service.
//!
//! Each speaks its published protocol over loopback. They are used by `demo`,
//! benchmarks and tests, and can be run as programs of their own.

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

/// A stand-in that is being served; dropping it ends the server.
#[derive(Debug)]
pub struct Running {
    /// Address it listens on.
    pub addr: SocketAddr,
    _stop: smol::channel::Sender<()>,
    _task: smol::Task<()>,
}

/// Starts an HTTP server on `addr` (port 0 for any) and returns its handle.
pub(crate) fn start<F, R>(addr: SocketAddr, handler: F) -> crate::error::Result<Running>
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
    Ok(Running {
        addr,
        _stop: stop,
        _task: task,
    })
}

/// A JSON answer.
pub(crate) fn json(status: StatusCode, value: &Value) -> Response<BoxBody> {
    let mut response = Response::new(body::full(value.to_string()));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// An answer with a status and a line of text.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<BoxBody> {
    let mut response = Response::new(body::full(text.to_string()));
    *response.status_mut() = status;
    response
}
