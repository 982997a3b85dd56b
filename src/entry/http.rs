//! Serves callers over HTTP: reads a request, matches it to a route and has it run.

use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::agent::serve::is_end_to_end;
use crate::entry::Entry;
use crate::entry::answer;
use crate::entry::forward;
use crate::entry::forward::CallerRequest;
use crate::entry::ticketed;
use crate::entry::ticketed::Refusal;
use crate::gate::Signatures;
use crate::gate::suspect;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::body::ReadLimits;
use crate::net::client;
use crate::net::reserve::Hold;
use crate::prelude::*;
use crate::proto;
use crate::table::doc::Repeat;
use crate::table::matcher;
use crate::table::matcher::Query;

/// Header that names the caller's organisation.
pub const ORGANISATION_HEADER: &str = "x-organisation";

/// Longest time that a request waits for newer tables after a pause of the process.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest time between two such refreshes.
const MIN_REFRESH_GAP: Millis = Millis(1_000);

/// Answers one request of a caller, and counts its result and its time.
pub async fn handle(entry: Entry, request: Request<Incoming>) -> Response<BoxBody> {
    let node = entry.node.clone();
    let begin = node.clock.now();
    let result = route(entry, request).await;
    let code = result.as_ref().err().map(|refusal| refusal.error.code);
    node.metrics.outcome(Metric::RequestTotal, code);
    let span = node.clock.now().since(begin);
    node.metrics.time(Metric::RequestTime, span);
    result.unwrap_or_else(|refusal| answer::error_answer(&refusal.error, refusal.ticket.as_deref()))
}

/// Answers a request for a ticket, or matches a request to its route and runs it.
async fn route(
    entry: Entry,
    request: Request<Incoming>,
) -> std::result::Result<Response<BoxBody>, Refusal> {
    refresh_stale_tables(&entry).await;
    if request.uri().path() == ticketed::TICKETS_PATH {
        return Ok(answer_ticket_request(&entry, request).await?);
    }
    let key = header(request.headers(), ticketed::KEY_HEADER);
    let matched = read_request(&entry, request).await?;
    let key = key.filter(|_| matched.route.repeat == Repeat::Never);
    let (now, suspects) = (entry.node.clock.now(), &entry.node.suspects);
    let blocked_for = suspects
        .blocked_for(now, &matched.fingerprint)
        .or_else(|| suspects.alike_blocked_for(now, &matched.signatures));
    if let Some(after) = blocked_for {
        let error = Error::new(Code::RequestBlocked, "blocked in this zone after crashes")
            .with_retry(after);
        // The caller may have sent the same key before, and that call may have run.
        let run = key.map_or(Run::NotRun, |_| Run::Unknown);
        return Err(error.with_run(run).into());
    }
    match key {
        Some(key) => ticketed::run(&entry, &matched, &key).await,
        None => Ok(forward::run(entry, matched).await?),
    }
}

/// Asks for newer tables before a request uses those that may have been replaced
/// while the process was paused.
///
/// An entry that reaches no source keeps its tables. It asks at most once in
/// [`MIN_REFRESH_GAP`], so that not every caller waits for the time-out.
async fn refresh_stale_tables(entry: &Entry) {
    if !entry.node.table_sync.is_stale() {
        return;
    }
    let mut last = entry.last_refresh.lock().await;
    let now = entry.node.clock.now();
    if !entry.node.table_sync.is_stale() || now.since(*last) < MIN_REFRESH_GAP {
        return;
    }
    entry.node.table_sync.refresh(REFRESH_TIMEOUT).await;
    *last = entry.node.clock.now();
}

/// Reads the caller's request for a ticket and issues one.
async fn answer_ticket_request(
    entry: &Entry,
    request: Request<Incoming>,
) -> Result<Response<BoxBody>> {
    if request.method() != http::Method::POST {
        return Err(Error::new(
            Code::RequestMalformed,
            "tickets are issued by POST only",
        ));
    }
    let organisation = header(request.headers(), ORGANISATION_HEADER).unwrap_or_default();
    let (parts, incoming) = request.into_parts();
    let memory = Hold::of_request(&parts.extensions).await?;
    let bytes = read_body(entry, &memory, incoming).await?;
    ticketed::issue(entry, &organisation, &bytes).await
}

/// Value of a header; none when it is missing or not visible ASCII.
fn header(headers: &http::HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}

/// Reads a request's body whole, within the entry's limits of time and size.
async fn read_body(entry: &Entry, memory: &Hold, incoming: Incoming) -> Result<Bytes> {
    /// The body itself, the message to the agent, and its encoded form.
    const COPIES: usize = 3;
    let limit = Duration::from_millis(entry.settings.head_ms);
    let limits = ReadLimits {
        length: entry.settings.max_body,
        copies: COPIES,
    };
    let reading = body::read_request_reserved(incoming, limits, memory);
    client::timeout(limit, Code::HeaderTooSlow, reading)
        .await
        .map_err(|e| e.with_run(Run::NotRun))
}

/// Matches a request to a route and reads its body.
async fn read_request(entry: &Entry, request: Request<Incoming>) -> Result<CallerRequest> {
    let (parts, incoming) = request.into_parts();
    let Some(set) = entry.node.in_force.get() else {
        return Err(Error::new(
            Code::TablesMissing,
            "the entry has no tables yet",
        ));
    };
    let header = |name: &str| header(&parts.headers, name);
    let organisation = header(ORGANISATION_HEADER).unwrap_or_default();
    let query = Query {
        method: parts.method.as_str(),
        path: parts.uri.path(),
        organisation: &organisation,
    };
    let Some((route_name, route)) = matcher::find(&set.routes, query, header) else {
        let detail = format!("{} {}", parts.method, parts.uri.path());
        return Err(Error::new(Code::RouteUnknown, detail));
    };
    let (route_name, route) = (route_name.to_string(), route.clone());
    let memory = Hold::of_request(&parts.extensions).await?;
    let bytes = read_body(entry, &memory, incoming).await?;
    let path = parts
        .uri
        .path_and_query()
        .map_or_else(|| "/".to_string(), ToString::to_string);
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .map(|(name, value)| proto::Header {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    let now = entry.node.clock.now();
    let fingerprint = suspect::fingerprint(&organisation, parts.method.as_str(), &path, &bytes);
    let prefix = forward::prefix(&route_name, &bytes).map(|hash| hash.to_string());
    Ok(CallerRequest {
        signatures: Signatures::new(&fingerprint, &route.pool, prefix.as_deref()),
        id: uuid::Uuid::now_v7().to_string(),
        route_name,
        deadline: now.plus(Millis(route.deadline_ms)),
        route,
        fingerprint,
        organisation,
        method: parts.method.to_string(),
        path,
        headers,
        body: bytes,
        memory,
    })
}
