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
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::prelude::*;
use crate::proto;
use crate::table::matcher;
use crate::table::matcher::Query;

/// Header that names the caller's organisation.
pub const ORGANISATION: &str = "x-organisation";

/// Answers one request of a caller.
pub async fn handle(entry: Entry, request: Request<Incoming>) -> Response<BoxBody> {
    let node = entry.node.clone();
    let begin = node.clock.now();
    let result = run(entry, request).await;
    let code = result.as_ref().err().map(|error| error.code);
    node.metrics.outcome(Metric::RequestTotal, code);
    let span = node.clock.now().since(begin);
    node.metrics.time(Metric::RequestTime, span);
    result.unwrap_or_else(|error| answer::problem(&error))
}

async fn run(entry: Entry, request: Request<Incoming>) -> Result<Response<BoxBody>> {
    let job = read(&entry, request).await?;
    attempt::run(entry, job).await
}

async fn read(entry: &Entry, request: Request<Incoming>) -> Result<Job> {
    let (parts, incoming) = request.into_parts();
    let Some(set) = entry.node.view.get() else {
        return Err(Error::new(Code::TablesMissing, "entry has just started"));
    };
    let header = |name: &str| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(str::to_string)
    };
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
    let limit = Duration::from_millis(entry.settings.head_ms);
    let reading = body::read(incoming, entry.settings.max_body);
    let sent = client::timeout(limit, Code::HeaderTooSlow, reading)
        .await
        .map_err(|e| e.with_run(Run::NotRun))?;
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
        organisation,
        method: parts.method.to_string(),
        path: parts
            .uri
            .path_and_query()
            .map_or_else(|| "/".to_string(), ToString::to_string),
        headers,
        body: sent,
    })
}
