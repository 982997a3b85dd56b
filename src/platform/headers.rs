//! Headers of requests and answers, towards callers and runners.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;

use crate::prelude::*;
use crate::route::engine::Size;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const CREDENTIAL: HeaderName = HeaderName::from_static("x-credential");
const ORGANISATION: HeaderName = HeaderName::from_static("x-tenant");
const INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const MODEL: HeaderName = HeaderName::from_static("x-model");
const TOKENS: HeaderName = HeaderName::from_static("x-token-count");
const HINT: HeaderName = HeaderName::from_static("x-length-hint");
const URGENCY: HeaderName = HeaderName::from_static("x-request-urgency");
const WEIGHTS: HeaderName = HeaderName::from_static("x-expect-version");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const LOAD: HeaderName = HeaderName::from_static("x-server-load");
const VERSION: HeaderName = HeaderName::from_static("x-weight-versions");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers that only the system may set on what it sends to a runner.
const OWN: [HeaderName; 6] = [
    CREDENTIAL,
    ORGANISATION,
    INSTANCE,
    DEADLINE,
    URGENCY,
    WEIGHTS,
];

common! { value
/// What a caller says of its request.
pub struct CallerHeaders {
    /// Its id; a repeated attempt of the caller has another one.
    pub id: String,
    /// Time that the caller still waits.
    pub time_left: Option<Millis>,
    /// Key of the caller's organisation.
    pub credential: Option<String>,
    /// Model that it wants.
    pub model: Option<String>,
    /// Prompt tokens and longest answer.
    pub size: Option<Size>,
    /// The caller's estimate of the answer's length, in tokens; often far off.
    pub estimate: Option<f64>,
    /// Last event that the caller has of the stream.
    pub last_event: Option<u64>,
}
}

fn text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: HeaderName) -> Option<T> {
    text(headers, name).and_then(|value| value.trim().parse().ok())
}

/// Decodes a caller's headers.
pub fn decode_caller(headers: &HeaderMap) -> CallerHeaders {
    let size = text(headers, TOKENS).and_then(|value| {
        let (prompt, output) = value.split_once(',')?;
        Some(Size {
            prompt: prompt.trim().parse().ok()?,
            output: output.trim().parse().ok()?,
        })
    });
    CallerHeaders {
        id: text(headers, REQUEST_ID).unwrap_or_default().to_string(),
        time_left: number(headers, DEADLINE).map(Millis),
        credential: text(headers, CREDENTIAL).map(str::to_string),
        model: text(headers, MODEL).map(str::to_string),
        size,
        estimate: number(headers, HINT),
        last_event: number(headers, LAST_EVENT),
    }
}

common! { value
/// What one send to a runner carries beside the caller's own headers.
pub struct Dispatch {
    /// Incarnation that alone may run it.
    pub instance: String,
    /// Organisation of the caller.
    pub organisation: Option<String>,
    /// Time that is left.
    pub time_left: Millis,
    /// Rank in the runner's queue, 0 to 9; 0 is the most urgent.
    pub urgency: u8,
    /// Last event that the caller has, when a stream is resumed.
    pub last_event: Option<u64>,
}
}

/// Headers of one send to a runner.
pub fn to_runner(caller: &HeaderMap, dispatch: &Dispatch) -> HeaderMap {
    let mut headers = end_to_end(caller);
    for name in &OWN {
        headers.remove(name);
    }
    // The body is sent whole with a length of its own.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let mut set = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(INSTANCE, &dispatch.instance);
    set(DEADLINE, &dispatch.time_left.0.to_string());
    set(URGENCY, &dispatch.urgency.min(9).to_string());
    if let Some(name) = &dispatch.organisation {
        set(ORGANISATION, name);
    }
    if let Some(event) = dispatch.last_event {
        set(LAST_EVENT, &event.to_string());
    }
    headers
}

/// The headers that are passed on, in both directions.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_named = named.iter().any(|other| other == name.as_str());
        if !is_named && !HOP_BY_HOP.contains(name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

common! { value
/// Load that a runner tells with an answer.
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Time that work takes at this moment, relative to the usual.
    pub pace: f64,
}
}

common! { value
/// What the head of a runner's answer says beside its status.
pub struct Reply {
    /// Id of the request that it answers; none when it names none.
    pub id: Option<String>,
    /// True when the runner states that it did not run the request.
    pub not_run: bool,
    /// Load of the runner, where it tells it.
    pub load: Option<Load>,
    /// Version of the weights that the answer is made from.
    pub version: Option<u64>,
    /// True when the runner says that it is leaving.
    pub leaving: bool,
    /// Time for which a runner that turns the request away wants no others.
    pub back_off: Option<Millis>,
}
}

/// Time after which to come back, in whole or fractional seconds. Runners send
/// no dates; one says nothing here, nor does a number out of range.
fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let seconds: f64 = number(headers, header::RETRY_AFTER)?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Millis((seconds * 1_000.0).ceil() as u64))
}

/// Decodes the head of a runner's answer.
pub fn decode_reply(status: StatusCode, headers: &HeaderMap) -> Reply {
    let figures = text(headers, LOAD).map(|value| {
        let parts = value.split(',').map(|part| part.trim().parse::<f64>());
        parts.map(|part| part.unwrap_or(0.0)).collect::<Vec<f64>>()
    });
    let load = figures.filter(|f| f.len() >= 3).map(|f| Load {
        running: f[0] as u32,
        queued: f[1] as u32,
        pace: f.get(3).map_or(1.0, |percent| percent / 100.0),
    });
    Reply {
        id: text(headers, REQUEST_ID).map(str::to_string),
        not_run: headers.contains_key(NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST,
        load,
        version: number(headers, VERSION),
        leaving: headers.get(LEAVING).is_some_and(|value| value != "0"),
        back_off: (status == StatusCode::SERVICE_UNAVAILABLE)
            .then(|| retry_after(headers))
            .flatten(),
    }
}

/// Headers of a failure of our own; `retry` is the time after which to come back.
pub fn failure_headers(id: &str, retry: Option<Millis>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(id)
        && !id.is_empty()
    {
        headers.insert(REQUEST_ID, value);
    }
    if let Some(after) = retry {
        // The platform's callers read fractions of a second.
        let text = format!("{:.3}", after.0 as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    headers
}
