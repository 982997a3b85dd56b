//! Error answers to callers: HTTP status and a problem body.

use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde_json::json;

use crate::net::body;
use crate::net::body::BoxBody;
use crate::prelude::*;
use crate::proto;

/// When a caller may come back if nothing better is known.
const DEFAULT_RETRY: Millis = Millis(1_000);

/// The answer for a request that ended in an error before its head was sent.
///
/// `ticket` is a fresh one for a call that was not run.
pub fn problem(error: &Error, ticket: Option<&str>) -> Response<BoxBody> {
    let status = StatusCode::from_u16(error.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut value = json!({
        "type": "about:blank",
        "title": error.code.text(),
        "status": status.as_u16(),
        "detail": error.detail,
        "code": error.code.number(),
        "run": error.run.as_str(),
    });
    if let Some(ticket) = ticket {
        value["ticket"] = ticket.into();
    }
    let mut response = Response::new(body::full(value.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, kind);
    if let Some(seconds) = retry_after(error) {
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Whole seconds after which to come back; none where asking again cannot help.
fn retry_after(error: &Error) -> Option<u64> {
    let is_passing = matches!(error.code.status(), 429 | 502 | 503 | 504);
    let after = error.retry.or(is_passing.then_some(DEFAULT_RETRY))?;
    Some(after.0.div_ceil(1_000).max(1))
}

/// The answer of an upstream: its status and headers with this body.
pub fn started(head: &proto::Head, body: BoxBody) -> Response<BoxBody> {
    let mut response = Response::new(body);
    let status = u16::try_from(head.status).ok();
    *response.status_mut() = status
        .and_then(|s| StatusCode::from_u16(s).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
