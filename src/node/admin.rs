//! Admin server for operators: state dump, metrics and health.

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde_json::Value;

use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::node::Node;

/// Answers an operator's request; `dump` returns the whole state of the process.
pub fn answer(
    node: &Node,
    request: &Request<Incoming>,
    dump: impl Fn() -> Value,
) -> Response<BoxBody> {
    match request.uri().path() {
        "/dump" => json(&dump()),
        "/metrics" => {
            gauges(node, &dump());
            Response::new(body::full(node.metrics.text()))
        }
        "/healthz" => Response::new(body::full("ok\n")),
        _ => {
            let mut response = Response::new(body::full("no such path\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

/// Number of requests in progress according to a dump: an entry's calls to all pools, or
/// the requests that an agent has dispatched.
pub fn running(dump: &Value) -> u64 {
    let Some(pools) = dump["pools"].as_object() else {
        return dump["guard"]["dispatched"].as_u64().unwrap_or(0);
    };
    let upstreams = pools.values().filter_map(|p| p["upstreams"].as_object());
    let calls =
        upstreams.flat_map(|u| u.values().filter_map(|upstream| upstream["calls"].as_u64()));
    calls.sum()
}

/// Sets the gauges from the dump, so that both show operators the same state.
fn gauges(node: &Node, dump: &Value) {
    let running = running(dump);
    let uptime = node.clock.now().since(node.clock.started());
    let is_refusing = node.in_force.refused().is_some();
    let metrics = &node.metrics;
    metrics.set(Metric::RequestRunning, running);
    metrics.set(Metric::TableRevision, node.in_force.stamp().revision);
    metrics.set(Metric::TableRefused, u64::from(is_refusing));
    metrics.set(Metric::Uptime, uptime.0);
    node.memory.set_gauges();
    if let Some(bytes) = dump["weights"]["bytes"].as_u64() {
        metrics.set(Metric::WeightsHeld, bytes);
    }
}

fn json(value: &Value) -> Response<BoxBody> {
    let mut response = Response::new(body::full(format!("{value:#}\n")));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
