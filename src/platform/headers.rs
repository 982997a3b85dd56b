//! Headers of the platform: on requests of callers, on requests to runners, and on
//! the answers to both.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use indexmap::IndexSet;

use crate::prelude::*;
use crate::route::engine::Size;

/// Id of a request; an answer repeats the id of its request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time that the caller still waits, in milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-deadline-ms");
/// API key of the caller's organisation.
const CREDENTIAL: HeaderName = HeaderName::from_static("x-credential");
/// Name of the organisation, on requests to runners.
const ORGANISATION: HeaderName = HeaderName::from_static("x-tenant");
/// Id of the one start of a runner that may run the request.
const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Name of the model.
const MODEL: HeaderName = HeaderName::from_static("x-model");
/// Prompt tokens and maximum answer tokens, separated by a comma.
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-token-count");
/// Parts of the prompt in order, separated by commas: an id and a length in tokens,
/// separated by a colon.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Caller's estimate of the answer's length, in tokens.
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
/// Rank in the runner's queue, 0 to 9; 0 is the most urgent.
const URGENCY: HeaderName = HeaderName::from_static("x-request-urgency");
/// Version of the weights that a runner is to use.
const EXPECTED_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
/// Id of the last event that the caller has received of a stream.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Present when the runner did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Load of the runner: requests running, requests queued, a figure that is not used,
/// and the pace in percent, which may be missing.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Version of the weights that the answer was made from.
const ANSWER_VERSION: HeaderName = HeaderName::from_static("x-weight-versions");
/// Any value but `0` when the runner is leaving.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests a second that the runner takes from all machines together, for as long as it
/// says so; a decimal number.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Time for which the runner is still cold, in milliseconds.
const COLD: HeaderName = HeaderName::from_static("x-cold-ms");

/// Headers that apply to one connection and are not forwarded.
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

/// Headers on requests to runners that a caller must not set; its own are dropped.
const RESERVED: [HeaderName; 6] = [
    CREDENTIAL,
    ORGANISATION,
    EXPECTED_INSTANCE,
    TIME_LEFT,
    URGENCY,
    EXPECTED_VERSION,
];

common! { value
/// Headers of a caller's request, decoded.
pub struct CallerHeaders {
    /// Id of the request; when the caller tries again, it uses another one. Empty when
    /// the caller gives none.
    pub id: String,
    /// Time that the caller still waits.
    pub time_left: Option<Millis>,
    /// API key of the caller's organisation.
    pub credential: Option<String>,
    /// Name of the model that it asks for.
    pub model: Option<String>,
    /// Length of the prompt and maximum length of the answer, in tokens.
    pub size: Option<Size>,
    /// Caller's estimate of the answer's length, in tokens; often far off.
    pub estimate: Option<f64>,
    /// Ids of the parts of its prompt that other requests may have as well: all but the
    /// last, which belongs to the request or its session.
    pub shared_parts: Vec<String>,
    /// Id of the last event that the caller has received, when it resumes a stream.
    pub last_event: Option<u64>,
}
}

/// Returns a header's value; `None` when it is missing or not visible ASCII.
fn text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a header's value; `None` when it is missing or cannot be parsed.
fn number<T: std::str::FromStr>(headers: &HeaderMap, name: HeaderName) -> Option<T> {
    text(headers, name).and_then(|value| value.trim().parse().ok())
}

/// Returns the ids of all parts of the prompt but the last, each once. Of a very long list,
/// only the first are returned.
fn shared_parts(headers: &HeaderMap) -> Vec<String> {
    /// Most parts that are returned; prompts have a handful.
    const MAX_PARTS: usize = 32;
    let list = text(headers, PROMPT_PARTS).unwrap_or_default();
    let Some((shared, _)) = list.rsplit_once(',') else {
        return Vec::new();
    };
    let ids = shared.split(',').map(|part| {
        let id = part.split_once(':').map_or(part, |(id, _)| id);
        id.trim().to_ascii_lowercase()
    });
    let ids: IndexSet<String> = ids.filter(|id| !id.is_empty()).take(MAX_PARTS).collect();
    ids.into_iter().collect()
}

/// Decodes the headers of a caller's request. One that cannot be decoded counts as
/// missing.
pub fn decode_caller(headers: &HeaderMap) -> CallerHeaders {
    let size = text(headers, TOKEN_COUNT).and_then(|value| {
        let (prompt, output) = value.split_once(',')?;
        Some(Size {
            prompt: prompt.trim().parse().ok()?,
            output: output.trim().parse().ok()?,
        })
    });
    CallerHeaders {
        id: text(headers, REQUEST_ID).unwrap_or_default().to_string(),
        time_left: number(headers, TIME_LEFT).map(Millis),
        credential: text(headers, CREDENTIAL).map(str::to_string),
        model: text(headers, MODEL).map(str::to_string),
        size,
        estimate: number(headers, LENGTH_HINT),
        shared_parts: shared_parts(headers),
        last_event: number(headers, LAST_EVENT),
    }
}

common! { value
/// Values that the entry sets in the headers of a request to a runner.
pub struct Dispatch {
    /// Id of the one start of a runner that may run the request.
    pub instance: String,
    /// Name of the caller's organisation; `None` when it is not known.
    pub organisation: Option<String>,
    /// Time within which the caller wants the answer.
    pub time_left: Millis,
    /// Rank in the runner's queue, 0 to 9; 0 is the most urgent.
    pub urgency: u8,
    /// Id of the last event that the caller has received, when a stream is resumed.
    pub last_event: Option<u64>,
}
}

/// Returns the headers of a request to a runner: those of the caller that are
/// forwarded, and the values of `dispatch`.
pub fn to_runner(caller: &HeaderMap, dispatch: &Dispatch) -> HeaderMap {
    let mut headers = end_to_end(caller);
    for name in &RESERVED {
        headers.remove(name);
    }
    // The body has been read whole and is sent with its own length.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let mut set = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(EXPECTED_INSTANCE, &dispatch.instance);
    set(TIME_LEFT, &dispatch.time_left.0.to_string());
    set(URGENCY, &dispatch.urgency.min(9).to_string());
    if let Some(name) = &dispatch.organisation {
        set(ORGANISATION, name);
    }
    if let Some(event) = dispatch.last_event {
        set(LAST_EVENT, &event.to_string());
    }
    headers
}

/// Returns the headers that are forwarded, of requests and of answers: all but those
/// for one connection and those that the `Connection` header names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_only: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_listed = connection_only.iter().any(|other| other == name.as_str());
        if !is_listed && !HOP_BY_HOP.contains(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

common! { value
/// Load of a runner, as it states it in the head of an answer.
pub struct Load {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait in its queue.
    pub queued: u32,
    /// Time that work takes at present, relative to the usual time; 1.0 when it is not
    /// stated.
    pub pace: f64,
}
}

common! { value
/// Headers of a runner's answer, decoded.
pub struct Reply {
    /// Id of the request that it answers; `None` when it gives none.
    pub id: Option<String>,
    /// True when the runner states that it did not run the request.
    pub not_run: bool,
    /// Load of the runner; `None` when it does not state it.
    pub load: Option<Load>,
    /// Version of the weights that the answer was made from.
    pub version: Option<u64>,
    /// True when the runner says that it is leaving.
    pub leaving: bool,
    /// Time for which a runner that refuses the request with status 503 wants no
    /// others.
    pub back_off: Option<Millis>,
    /// Requests a second that the runner takes from all entries together; `None` when it
    /// names no limit.
    pub rate_limit: Option<f64>,
    /// Time for which the runner is still cold; `None` when it does not state it.
    pub cold_left: Option<Millis>,
}
}

/// Decodes `Retry-After` in whole or fractional seconds. Runners send no dates; a
/// date, a negative and an infinite number count as missing.
fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let seconds: f64 = number(headers, header::RETRY_AFTER)?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Millis((seconds * 1_000.0).ceil() as u64))
}

/// Decodes the headers of a runner's answer.
pub fn decode_reply(status: StatusCode, headers: &HeaderMap) -> Reply {
    let figures = text(headers, SERVER_LOAD).map(|value| {
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
        version: number(headers, ANSWER_VERSION),
        leaving: headers.get(LEAVING).is_some_and(|value| value != "0"),
        back_off: (status == StatusCode::SERVICE_UNAVAILABLE)
            .then(|| retry_after(headers))
            .flatten(),
        rate_limit: number(headers, SERVER_LIMIT).filter(|r: &f64| r.is_finite() && *r >= 0.0),
        cold_left: number(headers, COLD)
            .filter(|ms: &f64| ms.is_finite() && *ms >= 0.0)
            .map(|ms| Millis(ms.ceil() as u64)),
    }
}

/// Returns the headers of a failure that the entry itself answers; `retry` is the time
/// after which the caller may try again.
pub fn failure_headers(id: &str, retry: Option<Millis>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(id)
        && !id.is_empty()
    {
        headers.insert(REQUEST_ID, value);
    }
    if let Some(after) = retry {
        // The callers of the platform accept fractions of a second.
        let text = format!("{:.3}", after.0 as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    headers
}
