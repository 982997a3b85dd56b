//! Runs one attempt of a request at the upstream.

use std::sync::Mutex;
use std::time::Duration;

use event_listener::Event;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol::future::FutureExt;

use crate::agent::Agent;
use crate::agent::booking;
use crate::agent::frames::FrameSender;
use crate::agent::frames::Frames;
use crate::agent::guard;
use crate::agent::queue::Entrant;
use crate::agent::queue::Turn;
use crate::log::Component;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client::Client;
use crate::prelude::*;
use crate::proto;
use crate::table::doc::Kind;

/// Largest event of an engine's stream, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// When a caller may come back after a refusal for lack of room.
const BUSY_RETRY: Millis = Millis(500);

#[derive(Debug, Default)]
struct State {
    running: usize,
    closed: bool,
}

/// Counts requests in progress and refuses new ones when closed; clones share it.
#[derive(Clone, Debug)]
pub struct Gate {
    state: Arc<Mutex<State>>,
    ended: Arc<Event>,
    limit: usize,
}

impl Gate {
    /// An open gate for at most `limit` requests in progress.
    pub fn new(limit: usize) -> Gate {
        Gate {
            state: Arc::default(),
            ended: Arc::default(),
            limit,
        }
    }

    /// Refuses all new requests from now on.
    pub fn close(&self) {
        self.lock().closed = true;
    }

    /// Waits until no request is in progress, for at most `limit`.
    pub async fn idle(&self, limit: Millis) {
        let wait = async {
            loop {
                let ended = self.ended.listen();
                if self.lock().running == 0 {
                    return;
                }
                ended.await;
            }
        };
        let late = async {
            smol::Timer::after(limit.duration()).await;
        };
        wait.or(late).await;
    }

    /// Counts, for operators.
    pub fn dump(&self) -> Value {
        let state = self.lock();
        json!({ "running": state.running, "closed": state.closed, "limit": self.limit })
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Counts a request until the returned value is dropped.
    pub fn enter(&self) -> Result<Pass> {
        let mut state = self.lock();
        if state.closed {
            return Err(Error::new(Code::UpstreamLeaving, "agent is stopping"));
        }
        if state.running >= self.limit {
            let detail = format!("{} requests in progress", state.running);
            return Err(Error::new(Code::UpstreamBusy, detail).with_retry(BUSY_RETRY));
        }
        state.running += 1;
        drop(state);
        Ok(Pass { gate: self.clone() })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// One request in progress.
#[derive(Debug)]
pub struct Pass {
    gate: Gate,
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.lock().running -= 1;
        self.gate.ended.notify(usize::MAX);
    }
}

/// Admits, runs and answers one attempt; dropping the reader cancels it.
pub async fn run(agent: Agent, mut request: proto::ServeRequest, sender: FrameSender) {
    // While a pool reloads in turns, an agent answers from the version that it
    // holds; refusing would leave the pool without capacity.
    if let Some(held) = agent.loaded.digest() {
        request.digest = held;
    }
    let mut frames = Frames::new(&request, sender.clone());
    let limit = Duration::from_millis(request.remaining_ms);
    let gone = frames_closed(sender);
    let work = attempt(&agent, request, &mut frames);
    let stopped = async {
        agent.guard.aborted().await;
        Err(Error::new(Code::UpstreamLeaving, "drain time is over").with_run(Run::Unknown))
    };
    let late = async {
        smol::Timer::after(limit).await;
        Err(Error::new(Code::DeadlineExceeded, "at the agent").with_run(Run::Unknown))
    };
    let ended = work.or(late).or(gone).or(stopped).await;
    let code = ended.as_ref().err().map(|error| error.code);
    agent.node.metrics.outcome(Metric::AttemptTotal, code);
    if let Err(error) = ended {
        slog::debug!(agent.node.logger(Component::Gate), "attempt failed"; "error" => %error);
        frames.fail(&agent, error).await;
    }
}

/// Completes when the reader has gone.
async fn frames_closed(sender: FrameSender) -> Result<()> {
    sender.closed().await;
    Err(Error::new(Code::Cancelled, "entry has gone").with_run(Run::Unknown))
}

async fn attempt(agent: &Agent, request: proto::ServeRequest, frames: &mut Frames) -> Result<()> {
    if !request.ticket.is_empty() {
        return booking::run(agent, request, frames).await;
    }
    let permit = guard::admit(agent, &request).await?;
    let _pass = agent.gate.enter()?;
    if !agent.queue.note(&request.request, request.attempt) {
        let detail = format!("attempt {} was seen before", request.attempt);
        return Err(Error::new(Code::ProtocolInvalid, detail).with_run(Run::Unknown));
    }
    let mut turn = enter(agent, &request).await?;
    // The state may have changed while the request waited.
    let _active = guard::dispatch(agent, &permit, frames.print())?;
    let kind = match permit.is_service() {
        true => Kind::Service,
        false => Kind::Engine,
    };
    let expected = request.digest.clone();
    let message = engine_request(agent, request, kind, turn.priority)?;
    let answer = agent.engine.forward(message).await;
    let answer = answer.map_err(|error| {
        // Closes admission until the engine answers again.
        agent.loaded.doubt();
        broken(error)
    })?;
    let (response, kept) = Client::split(answer);
    if kind == Kind::Engine && response.status() == StatusCode::SERVICE_UNAVAILABLE {
        // The engine has lost its weights since its last report.
        agent.loaded.doubt();
        return Err(Error::new(Code::VersionMismatch, "engine refused"));
    }
    let is_error = !response.status().is_success();
    frames.head(agent, &response).await?;
    let is_stream = content_type(&response).starts_with("text/event-stream");
    let body = response.into_body();
    match (kind, is_stream) {
        // Error answers of an engine come from no weights.
        (Kind::Engine, _) if is_error => copy(body, frames).await?,
        (Kind::Service, _) => copy(body, frames).await?,
        (Kind::Engine, true) => copy_events(agent, body, &expected, frames).await?,
        (Kind::Engine, false) => copy_whole(agent, body, &expected, frames).await?,
    }
    agent.engine.give_back(kept);
    guard::succeeded(agent, &frames.print());
    let took = turn.done();
    frames.done(took).await
}

/// Waits for room at the upstream; an error means that the request was not run.
pub async fn enter(agent: &Agent, request: &proto::ServeRequest) -> Result<Turn> {
    let weight = agent.node.in_force.weight(&request.organisation);
    agent.queue.enter(Entrant::new(request, weight)).await
}

/// The request as the upstream gets it.
pub fn engine_request(
    agent: &Agent,
    request: proto::ServeRequest,
    kind: Kind,
    priority: i32,
) -> Result<Request<BoxBody>> {
    let body = match kind {
        Kind::Engine => with_priority(request.body, priority),
        Kind::Service => request.body,
    };
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(request.path.as_str())
        .header("host", agent.engine.addr().to_string());
    for header in &request.headers {
        builder = builder.header(header.name.as_str(), header.value.as_slice());
    }
    builder
        .body(body::full(body))
        .map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))
}

/// The body with the agent's priority in place of the caller's.
///
/// A body that is no JSON object is left to the engine to refuse.
fn with_priority(body: Vec<u8>, priority: i32) -> Vec<u8> {
    let parsed = serde_json::from_slice::<serde_json::Map<String, Value>>(&body);
    let Ok(mut object) = parsed else {
        return body;
    };
    object.insert("priority".to_string(), json!(priority));
    serde_json::to_vec(&object).unwrap_or(body)
}

fn content_type(response: &http::Response<Incoming>) -> &str {
    response
        .headers()
        .get(http::header::CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}

/// The upstream broke off while it ran a request.
pub fn lost(error: impl std::fmt::Display) -> Error {
    Error::new(Code::UpstreamLost, error.to_string()).with_run(Run::Unknown)
}

/// A failed send: the upstream broke off, unless nothing was written to it.
pub fn broken(error: Error) -> Error {
    match error.run {
        Run::NotRun => error,
        _ => lost(error.detail),
    }
}

async fn copy(mut body: Incoming, frames: &mut Frames) -> Result<()> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(lost)?.into_data() {
            frames.data(data).await?;
        }
    }
    Ok(())
}

/// Forwards server-sent events, each only after its fingerprint has been checked.
async fn copy_events(
    agent: &Agent,
    mut body: Incoming,
    digest: &str,
    frames: &mut Frames,
) -> Result<()> {
    let mut held: Vec<u8> = Vec::new();
    let mut is_done = false;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(lost)?.into_data() else {
            continue;
        };
        held.extend_from_slice(&data);
        while let Some(end) = held.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = held.drain(..end + 2).collect();
            is_done |= check_event(agent, &event, digest)?;
            frames.data(event.into()).await?;
        }
        if held.len() > MAX_EVENT {
            return Err(lost("event is too large"));
        }
    }
    if !is_done || !held.is_empty() {
        return Err(lost("stream ended early"));
    }
    Ok(())
}

/// True for the event that ends a stream.
fn check_event(agent: &Agent, event: &[u8], digest: &str) -> Result<bool> {
    let text = String::from_utf8_lossy(event);
    let Some(data) = text.trim().strip_prefix("data:") else {
        // Comments and keep-alive lines carry no content.
        return Ok(false);
    };
    if data.trim() == "[DONE]" {
        return Ok(true);
    }
    check_fingerprint(agent, data.as_bytes(), digest)?;
    Ok(false)
}

fn check_fingerprint(agent: &Agent, json: &[u8], digest: &str) -> Result<()> {
    let value: Value = serde_json::from_slice(json).map_err(lost)?;
    if value["system_fingerprint"].as_str() == Some(digest) {
        return Ok(());
    }
    // The engine runs other weights than it reported: admit nothing until it is reread.
    agent.loaded.doubt();
    let detail = format!("answer from {}", value["system_fingerprint"]);
    Err(Error::new(Code::AnswerMismatch, detail).with_run(Run::Unknown))
}

async fn copy_whole(
    agent: &Agent,
    body: Incoming,
    digest: &str,
    frames: &mut Frames,
) -> Result<()> {
    let bytes = body::read(body, MAX_EVENT).await.map_err(lost)?;
    check_fingerprint(agent, &bytes, digest)?;
    frames.data(bytes).await
}

/// Checks the fingerprints of an answer that has been read whole.
pub fn check_whole(agent: &Agent, body: &[u8], digest: &str) -> Result<()> {
    if !body.starts_with(b"data:") {
        return check_fingerprint(agent, body, digest);
    }
    let mut is_done = false;
    for event in String::from_utf8_lossy(body).split("\n\n") {
        is_done |= check_event(agent, event.as_bytes(), digest)?;
    }
    match is_done {
        true => Ok(()),
        false => Err(lost("stream ended early")),
    }
}

/// Hop-by-hop headers belong to one connection and are not forwarded.
pub fn is_end_to_end(name: &str) -> bool {
    !matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "host"
    )
}
