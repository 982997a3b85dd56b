//! Admin server: state dump and health, for operators.

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde_json::Value;

use crate::net::body;
use crate::net::body::BoxBody;

/// Answers an operator's request; `dump` gives the whole state.
pub fn answer(request: &Request<Incoming>, dump: impl Fn() -> Value) -> Response<BoxBody> {
    match request.uri().path() {
        "/dump" => json(&dump()),
        "/healthz" => Response::new(body::full("ok\n")),
        _ => {
            let mut response = Response::new(body::full("no such path\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn json(value: &Value) -> Response<BoxBody> {
    let mut response = Response::new(body::full(format!("{value:#}\n")));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
