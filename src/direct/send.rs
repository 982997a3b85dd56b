//! Sends of one request: to an upstream, and to another if the first did not run it.

use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;
use smol::future::FutureExt;

use crate::direct::decision_log::Kind;
use crate::direct::entry::Entry;
use crate::direct::entry::Flight;
use crate::direct::inbound::InboundRequest;
use crate::direct::relay;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::Kept;
use crate::net::events::Event;
use crate::net::events::Framer;
use crate::platform::headers;
use crate::platform::headers::Dispatch;
use crate::prelude::*;
use crate::route::placement::Choice;
use crate::route::placement::Outcome;
use crate::route::placement::Target;
use crate::table::routing::Repeat;

/// Least time that an attempt must have.
const MIN_LEFT: Millis = Millis(25);

/// A first event is overdue at this many times its prediction.
const OVERDUE: f64 = 3.0;

/// Least time after which a first event is overdue: a full pass of prompts.
const OVERDUE_STREAM_MS: f64 = 900.0;

/// Least time after which the answer of a plain service is overdue.
const OVERDUE_PLAIN_MS: f64 = 280.0;

/// Sends beyond the route's attempts, for upstreams that state that they did
/// not run the request; more would use up the budget of all others.
const EXTRA_SENDS: u32 = 1;

/// Interval at which the time that is left to an upstream's version is looked at.
const VERSION_CHECK: Millis = Millis(500);

/// Largest answer that is held whole, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// Largest body of a failure, in bytes.
const MAX_FAILURE: usize = 256 << 10;

/// Largest body of an answer that states that the request was not run, in
/// bytes; a longer one ends the connection.
const MAX_NOT_RUN: usize = 16 << 10;

/// Time for the body of such an answer. What it states holds without it.
const NOT_RUN_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which to come back when no upstream is known to be open.
const NOWHERE_RETRY: Millis = Millis(600);

/// What one send brought.
pub enum Brought {
    /// A whole answer, or a stream with its first event.
    Answer(Answer),
    /// The upstream states that it did not run the request.
    NotRun {
        /// True when it has no room; else it is not the one expected.
        busy: bool,
    },
    /// The upstream ran the request and failed.
    Failure(Response<BoxBody>),
    /// Nothing was sent.
    Unsent(Error),
    /// It is not known whether it ran.
    Open(Error),
}

/// The start of an answer.
pub struct Answer {
    /// Status that the upstream gave.
    pub status: StatusCode,
    /// Headers that the caller gets.
    pub headers: HeaderMap,
    /// Body held whole, or the stream after its first events.
    pub content: Content,
}

/// Body of an answer.
pub enum Content {
    /// All of it.
    Whole(Bytes),
    /// A stream in progress.
    Stream(Box<Source>),
}

/// A stream in progress at one upstream.
pub struct Source {
    /// Body that is being read.
    pub body: Incoming,
    /// Events that were read and not yet passed on.
    pub events: Vec<Event>,
    /// Splits what is read.
    pub framer: Framer,
    /// Connection, kept once the stream has ended.
    pub kept: Option<(Arc<Client>, Kept)>,
    /// The call as the placement counts it.
    pub flight: Flight,
    /// Where it runs.
    pub target: Key<Target>,
    /// Id of the upstream, for the log.
    pub upstream: String,
}

/// Upstreams that were tried, and what is known of the request.
#[derive(Debug, Default)]
pub struct Tried {
    /// Upstreams that were tried.
    pub targets: Vec<Key<Target>>,
    /// Sends so far.
    pub sends: u32,
    /// Sends that ran, or may have.
    pub runs: u32,
    /// Prediction of the last send, in milliseconds.
    pub predicted: f64,
    /// What was known of the upstream at the last send.
    pub state: String,
}

/// Brings a request to an upstream and its answer back.
pub async fn serve(entry: &Arc<Entry>, inbound: InboundRequest) -> Result<Response<BoxBody>> {
    let mut tried = Tried::default();
    match send(entry, &inbound, &mut tried).await {
        Ok(Served::Answer(answer)) => Ok(respond(entry, inbound, tried, answer)),
        Ok(Served::Failure(response)) => {
            entry.answered(&inbound, &tried, response.status());
            Ok(response)
        }
        Err(error) => {
            entry.failed(&inbound, &tried, &error);
            Err(error)
        }
    }
}

/// What a caller gets of an upstream.
enum Served {
    /// An answer, whole or begun.
    Answer(Answer),
    /// The failure of the last upstream that ran the request.
    Failure(Response<BoxBody>),
}

async fn send(entry: &Arc<Entry>, inbound: &InboundRequest, tried: &mut Tried) -> Result<Served> {
    let mut failure = None;
    loop {
        let (target, first) = match choose(entry, inbound, tried) {
            Ok(chosen) => chosen,
            // What the last upstream said is better than an error of our own.
            Err(error) => return failure.map(Served::Failure).ok_or(error),
        };
        let last = inbound.call.last_event;
        let is_final = |tried: &Tried| {
            !inbound.route.repeat.allows_resend() || tried.runs >= inbound.route.max_attempts.max(1)
        };
        match attempt(entry, inbound, tried, target, first, last).await {
            Brought::Answer(answer) => return Ok(Served::Answer(answer)),
            Brought::NotRun { busy } => {
                let reason = if busy {
                    "no room"
                } else {
                    "not the one expected"
                };
                repeat_line(entry, inbound, tried, target, reason);
            }
            Brought::Failure(response) => {
                tried.runs += 1;
                if is_final(tried) {
                    return Ok(Served::Failure(response));
                }
                repeat_line(entry, inbound, tried, target, "upstream failed");
                failure = Some(response);
            }
            Brought::Unsent(error) => repeat_line(entry, inbound, tried, target, &error.detail),
            Brought::Open(error) => {
                tried.runs += 1;
                if is_final(tried) {
                    return Err(error.with_run(Run::Unknown));
                }
                repeat_line(entry, inbound, tried, target, &error.detail);
            }
        }
        tried.targets.push(target);
    }
}

fn repeat_line(
    entry: &Entry,
    inbound: &InboundRequest,
    tried: &Tried,
    target: Key<Target>,
    reason: &str,
) {
    let now = entry.node.now();
    if !entry.node.log().admits(now, Kind::Repeated) {
        return;
    }
    let upstream = entry.upstream(target);
    info!(entry.node.log().logger(), "retry: send brought no answer";
        "request" => &inbound.call.id, "upstream" => upstream, "sends" => tried.sends,
        "reason" => reason, "age_ms" => now.since(inbound.arrived).0);
}

/// Chooses an upstream, within the budget of repeated sends.
pub fn choose(
    entry: &Entry,
    inbound: &InboundRequest,
    tried: &mut Tried,
) -> Result<(Key<Target>, f64)> {
    let now = entry.node.now();
    let open = |error: Error| {
        if tried.runs > 0 {
            error.with_run(Run::Unknown)
        } else {
            error
        }
    };
    if now.plus(MIN_LEFT) >= inbound.deadline {
        return Err(open(Error::new(Code::DeadlineExceeded, "no time is left")));
    }
    let mut want = inbound.want.clone();
    let spent = now.since(inbound.arrived).0 as f64;
    want.slack = want.slack.map(|s| s - spent).filter(|s| *s > 0.0);
    want.patience -= spent;
    if let Some(model) = &want.model {
        let bound = entry.node.settings().rollout;
        want.least = entry
            .node
            .cluster()
            .versions
            .oldest_allowed(now, bound, model);
    }
    if tried.sends >= inbound.route.max_attempts.max(1) + EXTRA_SENDS {
        let error = Error::new(Code::NoUpstream, "several upstreams did not run it");
        return Err(open(error.with_retry(NOWHERE_RETRY)));
    }
    if tried.sends > 0 {
        // A place elsewhere is worth more than the objective that is lost.
        want.slack = None;
    }
    match entry.placer().choose(now, &want, &tried.targets) {
        Choice::Send { target, first } => {
            if tried.sends > 0 && !entry.extra(now, &inbound.want.pool) {
                let error = Error::new(Code::Overloaded, "budget of repeated sends is used up");
                return Err(open(error.with_retry(NOWHERE_RETRY)));
            }
            Ok((target, first))
        }
        Choice::Full { first, retry } => {
            let detail = format!(
                "first event in {first:.0} ms, of which {:.0} ms reading; slack {:?}, preference of large requests {:.2}",
                want.read, want.slack, want.lean
            );
            Err(open(Error::new(Code::Overloaded, detail).with_retry(retry)))
        }
        Choice::Nowhere => {
            let detail = format!("pool {} least version {}", want.pool, want.least);
            let error = Error::new(Code::NoUpstream, detail);
            Err(open(error.with_retry(NOWHERE_RETRY)))
        }
    }
}

/// Sends a request once.
pub async fn attempt(
    entry: &Arc<Entry>,
    inbound: &InboundRequest,
    tried: &mut Tried,
    target: Key<Target>,
    first: f64,
    last: Option<u64>,
) -> Brought {
    let now = entry.node.now();
    let Some((client, dispatch)) = prepare(entry, inbound, target, now, last) else {
        return Brought::Unsent(Error::new(Code::NoUpstream, "upstream is gone"));
    };
    let request = match request(inbound, &dispatch) {
        Ok(request) => request,
        Err(error) => return Brought::Unsent(error),
    };
    tried.sends += 1;
    entry.node.metrics().count(Metric::SendTotal, 1);
    if tried.sends > 1 {
        entry.node.metrics().count(Metric::SendRepeated, 1);
    }
    tried.predicted = first;
    tried.state = entry
        .placer()
        .get(target)
        .map_or_else(String::new, |t| t.brief(now));
    let mut flight = entry.take_off(now, target, &inbound.want, first);
    if tried.sends == 1 {
        entry.placed(inbound);
    }
    let left = inbound.deadline.since(now).0 as f64;
    let least = if inbound.route.stream {
        OVERDUE_STREAM_MS
    } else {
        OVERDUE_PLAIN_MS
    };
    // Without another send to follow, waiting is better than giving up.
    let can_follow = inbound.route.repeat.allows_resend()
        && tried.runs + 1 < inbound.route.max_attempts
        && entry.may_repeat(now, &inbound.want.pool);
    let limit = if can_follow {
        left.min((OVERDUE * first).max(least))
    } else {
        left
    };
    let overdue = overdue(entry, inbound, target, now.plus(Millis(limit as u64)));
    let exchange = exchange(entry, inbound, &client, request, target, &mut flight);
    let overdue = async { Err(overdue.await) };
    match exchange.or(overdue).await {
        Ok(Reached::Answer(head)) => {
            if matches!(head.content, Part::Whole(_)) {
                flight.outcome(Outcome::Done);
            }
            Brought::Answer(finish(entry, head, flight, target, client))
        }
        Ok(Reached::NotRun { busy, whole }) => {
            flight.outcome(match (busy, whole) {
                (_, false) => Outcome::Failed,
                (true, true) => Outcome::Busy,
                (false, true) => Outcome::Wrong,
            });
            Brought::NotRun { busy }
        }
        Ok(Reached::Failure(response)) => {
            flight.outcome(Outcome::Failed);
            Brought::Failure(response)
        }
        Err(error) if error.run == Run::NotRun => {
            flight.outcome(Outcome::Refused);
            Brought::Unsent(error)
        }
        Err(error) => {
            flight.outcome(Outcome::Failed);
            entry.lost(inbound, target);
            Brought::Open(error)
        }
    }
}

/// Waits until the upstream's answer is overdue, or may no longer begin.
///
/// The time that its version has left is looked at again, as a newer version
/// may be named, or dated earlier, while the request waits.
async fn overdue(
    entry: &Entry,
    inbound: &InboundRequest,
    target: Key<Target>,
    end: Millis,
) -> Error {
    let sent = entry.node.now();
    let model = inbound.want.model.as_deref();
    let held = model.map(|model| (model, entry.version(sent, target, model)));
    let cause = loop {
        let now = entry.node.now();
        let left = held.and_then(|(model, version)| entry.version_left(now, model, version));
        if left == Some(Millis(0)) {
            break "its version expires";
        }
        if now >= end {
            break "no answer";
        }
        let wait = end.since(now).min(left.unwrap_or(VERSION_CHECK));
        smol::Timer::after(wait.min(VERSION_CHECK).duration()).await;
    };
    let waited = entry.node.now().since(sent).0;
    let detail = format!("{cause} within {waited} ms");
    Error::new(Code::UpstreamLost, detail).with_run(Run::Unknown)
}

fn prepare(
    entry: &Entry,
    inbound: &InboundRequest,
    target: Key<Target>,
    now: Millis,
    last: Option<u64>,
) -> Option<(Arc<Client>, Dispatch)> {
    let placer = entry.placer();
    let held = placer.get(target)?;
    let client = entry.client(&held.entry);
    let dispatch = Dispatch {
        instance: held.entry.id.clone(),
        organisation: inbound.organisation.as_ref().map(|o| o.name.clone()),
        patience: inbound.deadline.since(now),
        urgency: urgency(inbound),
        last_event: last,
    };
    Some((client, dispatch))
}

/// Rank in the runner's queue: the organisation's or route's priority, and
/// behind all others what is late already.
fn urgency(inbound: &InboundRequest) -> u8 {
    /// Rank from which late requests begin.
    const LATE: u8 = 6;
    let owner = inbound.organisation.as_ref().and_then(|o| o.priority);
    let rank = owner.unwrap_or(inbound.route.priority).min(3);
    if inbound.want.slack.is_none() {
        LATE + rank
    } else {
        rank + 1
    }
}

fn request(inbound: &InboundRequest, dispatch: &Dispatch) -> Result<Request<BoxBody>> {
    let mut request = Request::builder()
        .method(inbound.method.clone())
        .uri(inbound.target.as_str())
        .body(body::full(inbound.body.clone()))
        .map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))?;
    *request.headers_mut() = headers::to_runner(&inbound.headers, dispatch);
    Ok(request)
}

enum Part {
    Whole(Bytes),
    Stream {
        body: Incoming,
        framer: Framer,
        events: Vec<Event>,
        kept: Kept,
    },
}

struct Head {
    status: StatusCode,
    headers: HeaderMap,
    content: Part,
}

enum Reached {
    Answer(Head),
    NotRun { busy: bool, whole: bool },
    Failure(Response<BoxBody>),
}

/// Sends and reads up to the whole answer, or to the first event of a stream.
async fn exchange(
    entry: &Entry,
    inbound: &InboundRequest,
    client: &Client,
    request: Request<BoxBody>,
    target: Key<Target>,
    flight: &mut Flight,
) -> Result<Reached> {
    // An answer that an earlier request is owed must not be taken for this
    // one's, so what may run once has a connection of its own.
    let fresh = inbound.route.repeat == Repeat::Never;
    let sent = if fresh {
        client.send_fresh(request).await?
    } else {
        client.send(request).await?
    };
    let (response, kept) = Client::split(sent);
    let status = response.status();
    let reply = headers::reply(status, response.headers());
    let lost = |detail: String| Error::new(Code::UpstreamLost, detail).with_run(Run::Unknown);
    let is_own = match &reply.id {
        Some(id) => *id == inbound.call.id,
        None => fresh,
    };
    if !is_own {
        return Err(lost(format!("answer to {:?}", reply.id)));
    }
    flight.heard(&reply);
    let now = entry.node.now();
    if let Some(load) = &reply.load {
        entry.placer().on_pace(now, target, load.pace);
    }
    if reply.not_run {
        let reading = body::read(response.into_body(), MAX_NOT_RUN);
        let read = client::timeout(NOT_RUN_TIMEOUT, Code::UpstreamLost, reading).await;
        let whole = read.is_ok();
        if whole {
            client.give_back(kept);
        }
        let busy = status != StatusCode::MISDIRECTED_REQUEST;
        return Ok(Reached::NotRun { busy, whole });
    }
    let mut passed = headers::end_to_end(response.headers());
    if inbound.route.stream && status.is_success() {
        passed.remove(header::CONTENT_LENGTH);
        let mut body = response.into_body();
        let mut framer = Framer::default();
        let events = first_events(&mut body, &mut framer).await?;
        flight.begun();
        entry.began(inbound, target, reply.version);
        let content = Part::Stream {
            body,
            framer,
            events,
            kept,
        };
        return Ok(Reached::Answer(Head {
            status,
            headers: passed,
            content,
        }));
    }
    let most = if status.is_server_error() {
        MAX_FAILURE
    } else {
        MAX_ANSWER
    };
    let bytes = body::read_within(response.into_body(), most, &entry.room)
        .await
        .map_err(|e| lost(e.detail))?;
    client.give_back(kept);
    passed.remove(header::CONTENT_LENGTH);
    flight.begun();
    if status.is_server_error() {
        let mut response = Response::new(body::full(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = passed;
        return Ok(Reached::Failure(response));
    }
    let content = Part::Whole(bytes);
    Ok(Reached::Answer(Head {
        status,
        headers: passed,
        content,
    }))
}

/// Reads until at least one whole event is there; none when the stream has no event.
async fn first_events(body: &mut Incoming, framer: &mut Framer) -> Result<Vec<Event>> {
    let lost = |detail: String| Error::new(Code::UpstreamLost, detail).with_run(Run::Unknown);
    loop {
        let events: Vec<Event> = std::iter::from_fn(|| framer.next_event()).collect();
        if !events.is_empty() {
            return Ok(events);
        }
        if framer.is_over() {
            return Err(lost("event is too long".to_string()));
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    framer.push(data);
                }
            }
            Some(Err(error)) => return Err(lost(error.to_string())),
            None => return Err(lost("stream ended before its first event".to_string())),
        }
    }
}

fn finish(
    entry: &Entry,
    head: Head,
    flight: Flight,
    target: Key<Target>,
    client: Arc<Client>,
) -> Answer {
    let content = match head.content {
        Part::Whole(bytes) => Content::Whole(bytes),
        Part::Stream {
            body,
            framer,
            events,
            kept,
        } => Content::Stream(Box::new(Source {
            body,
            events,
            framer,
            kept: Some((client, kept)),
            flight,
            target,
            upstream: entry.upstream(target),
        })),
    };
    Answer {
        status: head.status,
        headers: head.headers,
        content,
    }
}

fn respond(
    entry: &Arc<Entry>,
    inbound: InboundRequest,
    tried: Tried,
    answer: Answer,
) -> Response<BoxBody> {
    let body = match answer.content {
        Content::Whole(bytes) => {
            entry.answered(&inbound, &tried, answer.status);
            body::full(bytes)
        }
        Content::Stream(source) => relay::body(entry.clone(), inbound, tried, *source),
    };
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
