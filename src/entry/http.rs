//! Reads a caller's request and matches it to a route.

use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::agent::serve::is_end_to_end;
use crate::entry::Entry;
use crate::entry::answer;
use crate::entry::attempt;
use crate::entry::attempt::Job;
use crate::entry::booking;
use crate::entry::booking::Denied;
use crate::gate::suspect;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::prelude::*;
use crate::proto;
use crate::table::doc::Repeat;
use crate::table::matcher;
use crate::table::matcher::Query;

/// Header that names the caller's organisation.
pub const ORGANISATION: &str = "x-organisation";

/// Time for newer tables after a pause of the process.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);

/// Least time between two such refreshes.
const REFRESH_GAP: Millis = Millis(1_000);

/// Answers one request of a caller.
pub async fn handle(entry: Entry, request: Request<Incoming>) -> Response<BoxBody> {
    let node = entry.node.clone();
    let begin = node.clock.now();
    let result = run(entry, request).await;
    let code = result.as_ref().err().map(|denied| denied.error.code);
    node.metrics.outcome(Metric::RequestTotal, code);
    let span = node.clock.now().since(begin);
    node.metrics.time(Metric::RequestTime, span);
    result.unwrap_or_else(|denied| answer::problem(&denied.error, denied.ticket.as_deref()))
}

async fn run(
    entry: Entry,
    request: Request<Incoming>,
) -> std::result::Result<Response<BoxBody>, Denied> {
    freshen(&entry).await;
    if request.uri().path() == booking::TICKETS {
        return Ok(ticket(&entry, request).await?);
    }
    let key = header(request.headers(), booking::KEY);
    let job = read(&entry, request).await?;
    let key = key.filter(|_| job.route.repeat == Repeat::Never);
    let blocked = entry
        .node
        .suspects
        .blocked(entry.node.clock.now(), &job.print);
    if let Some(after) = blocked {
        let error = Error::new(Code::RequestBlocked, "in this zone").with_retry(after);
        // An earlier send with the same key may have run.
        let run = key.map_or(Run::NotRun, |_| Run::Unknown);
        return Err(error.with_run(run).into());
    }
    match key {
        Some(key) => booking::run(&entry, &job, &key).await,
        None => Ok(attempt::run(entry, job).await?),
    }
}

/// After a pause of the process, asks for newer tables before any is used.
///
/// A cut-off entry goes on with what it has; it asks again at most once in
/// [`REFRESH_GAP`], so that its callers do not all wait for answers that cannot come.
async fn freshen(entry: &Entry) {
    if !entry.node.table_sync.is_stale() {
        return;
    }
    let mut last = entry.refreshed.lock().await;
    let now = entry.node.clock.now();
    if !entry.node.table_sync.is_stale() || now.since(*last) < REFRESH_GAP {
        return;
    }
    entry.node.table_sync.refresh(REFRESH_TIMEOUT).await;
    *last = entry.node.clock.now();
}

async fn ticket(entry: &Entry, request: Request<Incoming>) -> Result<Response<BoxBody>> {
    if request.method() != http::Method::POST {
        return Err(Error::new(Code::RequestMalformed, "use POST"));
    }
    let organisation = header(request.headers(), ORGANISATION).unwrap_or_default();
    let sent = read_body(entry, request.into_body()).await?;
    booking::tickets(entry, &organisation, &sent).await
}

fn header(headers: &http::HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}

async fn read_body(entry: &Entry, incoming: Incoming) -> Result<Bytes> {
    let limit = Duration::from_millis(entry.settings.head_ms);
    let reading = body::read_request(incoming, entry.settings.max_body);
    client::timeout(limit, Code::HeaderTooSlow, reading)
        .await
        .map_err(|e| e.with_run(Run::NotRun))
}

async fn read(entry: &Entry, request: Request<Incoming>) -> Result<Job> {
    let (parts, incoming) = request.into_parts();
    let Some(set) = entry.node.in_force.get() else {
        return Err(Error::new(Code::TablesMissing, "entry has just started"));
    };
    let header = |name: &str| header(&parts.headers, name);
    let organisation = header(ORGANISATION).unwrap_or_default();
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
    let sent = read_body(entry, incoming).await?;
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
    Ok(Job {
        id: uuid::Uuid::now_v7().to_string(),
        route_name,
        deadline: now.plus(Millis(route.deadline_ms)),
        route,
        print: suspect::fingerprint(&organisation, parts.method.as_str(), &path, &sent),
        organisation,
        method: parts.method.to_string(),
        path,
        headers,
        body: sent,
    })
}
