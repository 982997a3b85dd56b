//! Sends a request to an upstream, and again to others while no answer has come
//! and the route and the budget of repeated sends allow it.

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
use crate::direct::entry::CallGuard;
use crate::direct::entry::Entry;
use crate::direct::inbound;
use crate::direct::inbound::InboundRequest;
use crate::direct::relay;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::UsedConnection;
use crate::net::events::Event;
use crate::net::events::Framer;
use crate::platform::headers;
use crate::platform::headers::Dispatch;
use crate::prelude::*;
use crate::route::admit;
use crate::route::placement::Choice;
use crate::route::recovery::Outcome;
use crate::route::target::Target;
use crate::table::routing::Repeat;

/// Least time until the deadline with which a request is still sent.
const MIN_TIME_LEFT: Millis = Millis(25);

/// Multiple of the predicted time after which a first event or answer is overdue.
const OVERDUE_FACTOR: f64 = 3.0;

/// Least time after which a first event is overdue, in milliseconds: a runner may
/// read a full batch of prompts before it.
const OVERDUE_STREAM_MS: f64 = 900.0;

/// Least time after which the answer of a plain service is overdue, in
/// milliseconds.
const OVERDUE_PLAIN_MS: f64 = 280.0;

/// Sends beyond the route's attempts, as upstreams may state that they did not
/// run the request; more would use up the budget that all requests share.
const EXTRA_SENDS: u32 = 1;

/// Interval at which a request that waits for an upstream checks whether the
/// version there is about to expire.
const VERSION_CHECK_INTERVAL: Millis = Millis(500);

/// Largest answer that is read into memory, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// Largest body of an upstream's 5xx answer, in bytes.
const MAX_FAILURE_BODY: usize = 256 << 10;

/// Largest body of an answer that states that the request was not run, in
/// bytes; a longer one ends the connection.
const MAX_NOT_RUN_BODY: usize = 16 << 10;

/// Timeout for the body of such an answer; its statement counts without the body.
const NOT_RUN_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a caller is told to retry when no upstream can be chosen.
const NO_UPSTREAM_RETRY: Millis = Millis(600);

/// Result of one send.
pub enum SendOutcome {
    /// A whole answer, or a stream with its first event.
    Answer(Answer),
    /// The upstream states that it did not run the request.
    NotRun {
        /// True when it has no room; false when it is not the instance that was
        /// addressed, or lacks the version.
        busy: bool,
    },
    /// The upstream answered with a 5xx status and may have run the request.
    Failure(Response<BoxBody>),
    /// The request did not reach the upstream.
    Unsent(Error),
    /// The upstream was lost or too slow; whether the request ran is not known.
    Unknown(Error),
}

/// An upstream's answer, or the start of one that is a stream.
pub struct Answer {
    /// Status that the upstream gave.
    pub status: StatusCode,
    /// Headers that are passed on to the caller.
    pub headers: HeaderMap,
    /// The body.
    pub content: AnswerContent,
}

/// Body of an answer.
pub enum AnswerContent {
    /// The whole body.
    Whole(Bytes),
    /// A stream of which at least one event has been read.
    Stream(Box<EventStream>),
}

/// A stream of events that one upstream is sending.
pub struct EventStream {
    /// Body that is being read.
    pub body: Incoming,
    /// Events that were read and not yet passed on.
    pub events: Vec<Event>,
    /// Splits the bytes that are read into events.
    pub framer: Framer,
    /// Connection, which is used again once the stream has ended.
    pub connection: Option<(Arc<Client>, UsedConnection)>,
    /// Counts the call as in progress until dropped.
    pub call: CallGuard,
    /// The upstream.
    pub target: Key<Target>,
    /// Id of the upstream, for the log.
    pub upstream: String,
}

/// The sends of one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Upstreams that it was sent to and that are not tried again.
    pub targets: Vec<Key<Target>>,
    /// Sends so far.
    pub sends: u32,
    /// Sends that an upstream ran or may have run.
    pub runs: u32,
    /// Time to the first event or answer that was predicted for the last send, in
    /// milliseconds.
    pub predicted: f64,
    /// State of the upstream at the last send as the placement knew it, for the
    /// log.
    pub state: String,
}

/// Sends a request to upstreams and returns the response for its caller. An error
/// means that there is no answer; it says whether the request may have run.
pub async fn serve(entry: &Arc<Entry>, inbound: InboundRequest) -> Result<Response<BoxBody>> {
    let mut attempts = Attempts::default();
    match send(entry, &inbound, &mut attempts).await {
        Ok(Reply::Answer(answer)) => Ok(caller_response(entry, inbound, attempts, answer)),
        Ok(Reply::Failure(response)) => {
            entry.record_answer(&inbound, &attempts, response.status());
            Ok(response)
        }
        Err(error) => {
            entry.record_failure(&inbound, &attempts, &error);
            Err(error)
        }
    }
}

/// What an upstream sent that is passed on to the caller.
enum Reply {
    /// An answer, whole or the start of a stream.
    Answer(Answer),
    /// A 5xx answer of the last upstream that ran the request.
    Failure(Response<BoxBody>),
}

/// Sends a request until an upstream has answered it or no further send is allowed.
async fn send(
    entry: &Arc<Entry>,
    inbound: &InboundRequest,
    attempts: &mut Attempts,
) -> Result<Reply> {
    let mut failure = None;
    loop {
        let (target, predicted) = match choose(entry, inbound, attempts) {
            Ok(chosen) => chosen,
            // A failure that an upstream reported tells the caller more than our own error.
            Err(error) => return failure.map(Reply::Failure).ok_or(error),
        };
        let resume_after = inbound.call.last_event;
        let is_final = |attempts: &Attempts| {
            !inbound.route.repeat.allows_resend()
                || attempts.runs >= inbound.route.max_attempts.max(1)
        };
        match attempt(entry, inbound, attempts, target, predicted, resume_after).await {
            SendOutcome::Answer(answer) => return Ok(Reply::Answer(answer)),
            SendOutcome::NotRun { busy } => {
                let reason = if busy {
                    "no room"
                } else {
                    "not the one expected"
                };
                log_repeat(entry, inbound, attempts, target, reason);
            }
            SendOutcome::Failure(response) => {
                attempts.runs += 1;
                if is_final(attempts) {
                    return Ok(Reply::Failure(response));
                }
                log_repeat(entry, inbound, attempts, target, "upstream failed");
                failure = Some(response);
            }
            SendOutcome::Unsent(error) => {
                log_repeat(entry, inbound, attempts, target, &error.detail)
            }
            SendOutcome::Unknown(error) => {
                attempts.runs += 1;
                if is_final(attempts) {
                    return Err(error.with_run(Run::Unknown));
                }
                log_repeat(entry, inbound, attempts, target, &error.detail);
            }
        }
        attempts.targets.push(target);
    }
}

/// Logs a send without an answer that is passed on.
fn log_repeat(
    entry: &Entry,
    inbound: &InboundRequest,
    attempts: &Attempts,
    target: Key<Target>,
    reason: &str,
) {
    let now = entry.node.now();
    if !entry.node.log().admits(now, Kind::Repeated) {
        return;
    }
    let upstream = entry.upstream_id(target);
    info!(entry.node.log().logger(), "retry: send brought no answer";
        "request" => &inbound.call.id, "upstream" => upstream, "sends" => attempts.sends,
        "reason" => reason, "age_ms" => now.since(inbound.arrived).0);
}

/// Chooses an upstream for the next send and predicts its first event or answer,
/// in milliseconds. Fails when no time is left, no upstream can serve the request
/// in time, or the budget of repeated sends is used up.
pub fn choose(
    entry: &Entry,
    inbound: &InboundRequest,
    attempts: &mut Attempts,
) -> Result<(Key<Target>, f64)> {
    let now = entry.node.now();
    // An earlier send may have run the request.
    let mark_run = |error: Error| {
        if attempts.runs > 0 {
            error.with_run(Run::Unknown)
        } else {
            error
        }
    };
    if now.plus(MIN_TIME_LEFT) >= entry.answer_by(inbound) {
        return Err(mark_run(Error::new(
            Code::DeadlineExceeded,
            "no time is left",
        )));
    }
    inbound::check_view(entry).map_err(mark_run)?;
    let is_repeat = attempts.runs > 0;
    entry
        .crashes
        .check(now, &inbound.signatures, is_repeat)
        .map_err(mark_run)?;
    let mut profile = inbound.profile.clone();
    let spent = now.since(inbound.arrived).0 as f64;
    profile.slack_ms = profile.slack_ms.map(|s| s - spent).filter(|s| *s > 0.0);
    profile.time_left -= spent;
    profile.regions = inbound::current_regions(entry, inbound);
    if let Some(model) = &profile.model {
        let bound = entry.node.settings().rollout_bound;
        profile.min_version = entry
            .node
            .cluster()
            .versions
            .oldest_allowed(now, bound, model);
    }
    if attempts.sends >= inbound.route.max_attempts.max(1) + EXTRA_SENDS {
        let error = Error::new(
            Code::NoUpstream,
            "the upstreams that were tried did not run the request",
        );
        return Err(mark_run(error.with_retry(NO_UPSTREAM_RETRY)));
    }
    if attempts.sends > 0 {
        // A repeated send goes to any upstream with free places, even where the
        // objective will be missed.
        profile.slack_ms = None;
    }
    match entry.placer().choose(now, &profile, &attempts.targets) {
        Choice::Send { target, first_ms } => {
            if attempts.sends > 0 && !entry.take_repeat(now, &inbound.profile.pool) {
                let metrics = entry.node.metrics();
                metrics.count_tagged(Metric::RequestRefused, "limit");
                let error = Error::new(Code::Overloaded, "budget of repeated sends is used up");
                return Err(mark_run(error.with_retry(NO_UPSTREAM_RETRY)));
            }
            Ok((target, first_ms))
        }
        Choice::Overloaded {
            first_ms,
            retry_after,
        } => {
            let reason = admit::refusal_reason(&profile, first_ms);
            let metrics = entry.node.metrics();
            metrics.count_tagged(Metric::RequestRefused, reason);
            let detail = format!(
                "{reason}: first event in {first_ms:.0} ms, of which {:.0} ms reading; slack {:?}, rank {}, wait bounded by {:.0} ms, refused by share {:.2}, preference of large requests {:.2}",
                profile.read_ms,
                profile.slack_ms,
                profile.rank,
                profile.allowance.slack_cap,
                profile.allowance.refuse,
                profile.large_preference
            );
            Err(mark_run(
                Error::new(Code::Overloaded, detail).with_retry(retry_after),
            ))
        }
        Choice::NoUpstream => {
            let detail = format!(
                "pool {} least version {} regions {}",
                profile.pool, profile.min_version, profile.regions
            );
            let error = Error::new(Code::NoUpstream, detail);
            Err(mark_run(error.with_retry(NO_UPSTREAM_RETRY)))
        }
    }
}

/// Sends a request once and reads the answer, or a stream up to its first event.
///
/// `predicted` is the time to that in milliseconds; `resume_after` the last event
/// that the caller has, when a stream is resumed.
pub async fn attempt(
    entry: &Arc<Entry>,
    inbound: &InboundRequest,
    attempts: &mut Attempts,
    target: Key<Target>,
    predicted: f64,
    resume_after: Option<u64>,
) -> SendOutcome {
    let now = entry.node.now();
    let Some((client, dispatch)) = prepare_send(entry, inbound, target, now, resume_after) else {
        return SendOutcome::Unsent(Error::new(Code::NoUpstream, "upstream is gone"));
    };
    let request = match build_request(inbound, &dispatch) {
        Ok(request) => request,
        Err(error) => return SendOutcome::Unsent(error),
    };
    attempts.sends += 1;
    entry.node.metrics().count(Metric::SendTotal, 1);
    if attempts.sends > 1 {
        entry.node.metrics().count(Metric::SendRepeated, 1);
    }
    attempts.predicted = predicted;
    attempts.state = entry
        .placer()
        .get(target)
        .map_or_else(String::new, |t| t.describe(now));
    let mut call = entry.start_call(now, target, &inbound.profile, predicted);
    let events = resume_after.unwrap_or(0);
    call.set_forecast(inbound.forecast, events, &inbound.profile);
    if attempts.sends == 1 {
        entry.count_placed(inbound);
    }
    let left = entry.answer_by(inbound).since(now).0 as f64;
    let least = if inbound.route.stream {
        OVERDUE_STREAM_MS
    } else {
        OVERDUE_PLAIN_MS
    };
    // An overdue send is given up only if another can follow it.
    let can_follow = inbound.route.repeat.allows_resend()
        && attempts.runs + 1 < inbound.route.max_attempts
        && entry.may_repeat(now, &inbound.profile.pool);
    let limit = if can_follow {
        left.min((OVERDUE_FACTOR * predicted).max(least))
    } else {
        left
    };
    let overdue = wait_until_overdue(entry, inbound, target, now.plus(Millis(limit as u64)));
    let exchange = exchange(entry, inbound, &client, request, target, &mut call);
    let waiting = entry.crashes.watch(&inbound.signatures);
    // An upstream that is given up has not ended.
    let mut is_lost = true;
    let given_up = async {
        let error = overdue.or(waiting.until_blocked()).await;
        is_lost = false;
        Err(error)
    };
    match exchange.or(given_up).await {
        Ok(Received::Answer(answer)) => {
            if matches!(answer.content, ReadContent::Whole(_)) {
                call.set_outcome(Outcome::Done);
            }
            SendOutcome::Answer(to_answer(entry, answer, call, target, client))
        }
        Ok(Received::NotRun { busy, whole }) => {
            call.set_outcome(match (busy, whole) {
                (_, false) => Outcome::Failed,
                (true, true) => Outcome::Busy,
                (false, true) => Outcome::Misdirected,
            });
            SendOutcome::NotRun { busy }
        }
        Ok(Received::Failure(response)) => {
            call.set_outcome(Outcome::Failed);
            SendOutcome::Failure(response)
        }
        Err(error) if error.run == Run::NotRun => {
            call.set_outcome(match error.code {
                Code::NoUpstream => Outcome::Dropped,
                _ => Outcome::Refused,
            });
            if error.code == Code::ConnectionRefused {
                entry.record_refused(target);
            }
            SendOutcome::Unsent(error)
        }
        Err(error) => {
            // One that is blocked while it waits says nothing of its upstream.
            call.set_outcome(match error.code {
                Code::RequestBlocked => Outcome::Dropped,
                _ => Outcome::Failed,
            });
            if is_lost {
                entry.record_lost(inbound, target, &call);
            }
            SendOutcome::Unknown(error)
        }
    }
}

/// Waits until the time `end` or until the upstream's version is about to expire,
/// and returns the error for it.
///
/// The expiry is checked repeatedly, as a newer version may be named, or its
/// naming dated earlier, while the request waits.
async fn wait_until_overdue(
    entry: &Entry,
    inbound: &InboundRequest,
    target: Key<Target>,
    end: Millis,
) -> Error {
    let sent = entry.node.now();
    let model = inbound.profile.model.as_deref();
    let held = model.map(|model| (model, entry.serving_version(sent, target, model)));
    let cause = loop {
        let now = entry.node.now();
        let left = held.and_then(|(model, version)| entry.version_left(now, model, version));
        if left == Some(Millis(0)) {
            break "its version expires";
        }
        // The process may be told to stop meanwhile.
        let end = end.min(entry.answer_by(inbound));
        if now >= end {
            break "no answer";
        }
        let wait = end.since(now).min(left.unwrap_or(VERSION_CHECK_INTERVAL));
        smol::Timer::after(wait.min(VERSION_CHECK_INTERVAL).duration()).await;
    };
    let waited = entry.node.now().since(sent).0;
    let detail = format!("{cause} within {waited} ms");
    Error::new(Code::UpstreamLost, detail).with_run(Run::Unknown)
}

/// Returns the client of an upstream and what the headers of a send carry; none
/// when the upstream is gone.
fn prepare_send(
    entry: &Entry,
    inbound: &InboundRequest,
    target: Key<Target>,
    now: Millis,
    resume_after: Option<u64>,
) -> Option<(Arc<Client>, Dispatch)> {
    let placer = entry.placer();
    let held = placer.get(target)?;
    let client = entry.client(&held.registration);
    let dispatch = Dispatch {
        instance: held.registration.id.clone(),
        organisation: inbound.organisation.as_ref().map(|o| o.name.clone()),
        time_left: entry.answer_by(inbound).since(now),
        urgency: urgency(inbound),
        last_event: resume_after,
    };
    Some((client, dispatch))
}

/// Returns the rank in the runner's queue, 0 to 9 with 0 first: by the priority
/// of the organisation or else the route, and late requests behind all others.
fn urgency(inbound: &InboundRequest) -> u8 {
    /// First rank of late requests.
    const LATE: u8 = 6;
    let rank = inbound.profile.rank.min(3);
    if inbound.profile.slack_ms.is_none() {
        LATE + rank
    } else {
        rank + 1
    }
}

/// Builds the request to a runner from the caller's.
fn build_request(inbound: &InboundRequest, dispatch: &Dispatch) -> Result<Request<BoxBody>> {
    let mut request = Request::builder()
        .method(inbound.method.clone())
        .uri(inbound.target.as_str())
        .body(body::full(inbound.body.clone()))
        .map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))?;
    *request.headers_mut() = headers::to_runner(&inbound.headers, dispatch);
    Ok(request)
}

/// Body of an answer as it is read.
enum ReadContent {
    /// The whole body.
    Whole(Bytes),
    /// A stream after its first events.
    Stream {
        body: Incoming,
        framer: Framer,
        events: Vec<Event>,
        kept: UsedConnection,
    },
}

/// An answer as it is read, before the call is handed over to it.
struct ReadAnswer {
    status: StatusCode,
    headers: HeaderMap,
    content: ReadContent,
}

/// What an upstream answered to one send.
enum Received {
    /// A whole answer, or a stream with its first event.
    Answer(ReadAnswer),
    /// The statement that it did not run the request: `busy` as in
    /// [`SendOutcome::NotRun`], `whole` when its body ended in time.
    NotRun { busy: bool, whole: bool },
    /// An answer with a 5xx status.
    Failure(Response<BoxBody>),
}

/// Sends a request and reads the whole answer, or a stream up to its first event.
async fn exchange(
    entry: &Entry,
    inbound: &InboundRequest,
    client: &Client,
    request: Request<BoxBody>,
    target: Key<Target>,
    call: &mut CallGuard,
) -> Result<Received> {
    // A late answer to an earlier request on the connection must not be taken for
    // the answer to this one, so a request that may run only once gets a new
    // connection.
    let is_new_connection = inbound.route.repeat == Repeat::Never;
    // The zone may be evacuated while the connection is opened.
    let check = || inbound::check_target(entry, inbound, target);
    let sent = client
        .send_checked(request, is_new_connection, check)
        .await?;
    let (response, kept) = Client::split(sent);
    let status = response.status();
    let reply = headers::decode_reply(status, response.headers());
    let lost = |detail: String| Error::new(Code::UpstreamLost, detail).with_run(Run::Unknown);
    let is_matching = match &reply.id {
        Some(id) => *id == inbound.call.id,
        None => is_new_connection,
    };
    if !is_matching {
        return Err(lost(format!("answer belongs to request {:?}", reply.id)));
    }
    call.record_head();
    call.record_headers(&reply);
    let now = entry.node.now();
    if let Some(load) = &reply.load {
        entry.placer().on_pace(now, target, load.pace);
    }
    if reply.not_run {
        let reading = body::read(response.into_body(), MAX_NOT_RUN_BODY);
        let read = client::timeout(NOT_RUN_TIMEOUT, Code::UpstreamLost, reading).await;
        let whole = read.is_ok();
        if whole {
            client.give_back(kept);
        }
        let busy = status != StatusCode::MISDIRECTED_REQUEST;
        return Ok(Received::NotRun { busy, whole });
    }
    let mut forwarded = headers::end_to_end(response.headers());
    if inbound.route.stream && status.is_success() {
        forwarded.remove(header::CONTENT_LENGTH);
        let mut body = response.into_body();
        let mut framer = Framer::default();
        let events = first_events(&mut body, &mut framer).await?;
        call.record_first(&inbound.signatures);
        entry.record_version(inbound, target, reply.version);
        let content = ReadContent::Stream {
            body,
            framer,
            events,
            kept,
        };
        return Ok(Received::Answer(ReadAnswer {
            status,
            headers: forwarded,
            content,
        }));
    }
    let limit = if status.is_server_error() {
        MAX_FAILURE_BODY
    } else {
        MAX_ANSWER
    };
    let bytes = body::read_reserved(response.into_body(), limit, &inbound.memory)
        .await
        .map_err(|e| lost(e.detail))?;
    client.give_back(kept);
    forwarded.remove(header::CONTENT_LENGTH);
    call.record_first(&inbound.signatures);
    if status.is_server_error() {
        let mut response = Response::new(body::full(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = forwarded;
        return Ok(Received::Failure(response));
    }
    let content = ReadContent::Whole(bytes);
    Ok(Received::Answer(ReadAnswer {
        status,
        headers: forwarded,
        content,
    }))
}

/// Reads until there is at least one whole event; fails when the stream ends or
/// breaks off before.
async fn first_events(body: &mut Incoming, framer: &mut Framer) -> Result<Vec<Event>> {
    let lost = |detail: String| Error::new(Code::UpstreamLost, detail).with_run(Run::Unknown);
    loop {
        let events: Vec<Event> = std::iter::from_fn(|| framer.next_event()).collect();
        if !events.is_empty() {
            return Ok(events);
        }
        if framer.is_too_long() {
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

/// Hands the call and its connection over to the answer.
fn to_answer(
    entry: &Entry,
    answer: ReadAnswer,
    call: CallGuard,
    target: Key<Target>,
    client: Arc<Client>,
) -> Answer {
    let content = match answer.content {
        ReadContent::Whole(bytes) => AnswerContent::Whole(bytes),
        ReadContent::Stream {
            body,
            framer,
            events,
            kept,
        } => AnswerContent::Stream(Box::new(EventStream {
            body,
            events,
            framer,
            connection: Some((client, kept)),
            call,
            target,
            upstream: entry.upstream_id(target),
        })),
    };
    Answer {
        status: answer.status,
        headers: answer.headers,
        content,
    }
}

/// Returns the response to the caller for an upstream's answer.
fn caller_response(
    entry: &Arc<Entry>,
    inbound: InboundRequest,
    attempts: Attempts,
    answer: Answer,
) -> Response<BoxBody> {
    let body = match answer.content {
        AnswerContent::Whole(bytes) => {
            entry.record_answer(&inbound, &attempts, answer.status);
            body::full(bytes)
        }
        AnswerContent::Stream(stream) => relay::body(entry.clone(), inbound, attempts, *stream),
    };
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
