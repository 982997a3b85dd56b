//! HTTP answers to callers: answers of upstreams, and errors with a problem body (RFC 9457).

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

/// `retry-after` of a temporary error that names no time.
const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Builds the answer to a request that failed before the head of its answer was sent.
///
/// `ticket` is a new ticket with which the caller may send a call again that was not run.
pub fn error_answer(error: &Error, ticket: Option<&str>) -> Response<BoxBody> {
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

/// Whole seconds after which the caller may retry; none where a retry cannot help.
fn retry_after(error: &Error) -> Option<u64> {
    let is_temporary = matches!(error.code.status(), 429 | 502 | 503 | 504);
    let after = error
        .retry
        .or(is_temporary.then_some(DEFAULT_RETRY_AFTER))?;
    Some(after.0.div_ceil(1_000).max(1))
}

/// Builds an answer with the status and headers of an upstream's answer and this body.
pub fn with_head(head: &proto::Head, body: BoxBody) -> Response<BoxBody> {
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
