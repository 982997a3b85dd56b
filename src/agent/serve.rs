//! Runs one attempt of a request at the upstream and streams the answer to the entry.

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
use crate::agent::admission;
use crate::agent::frames::FrameSender;
use crate::agent::frames::FrameWriter;
use crate::agent::queue::QueueRequest;
use crate::agent::queue::Slot;
use crate::agent::ticketed;
use crate::log::Component;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client::Client;
use crate::prelude::*;
use crate::proto;
use crate::table::doc::Kind;

/// Largest event of an engine's stream, and largest answer without a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Time after which a caller may retry when too many requests are in progress.
const BUSY_RETRY: Millis = Millis(500);

#[derive(Debug, Default)]
struct State {
    running: usize,
    closed: bool,
}

/// Counts the requests in progress and refuses more than the limit, or all once it is closed;
/// clones share it.
#[derive(Clone, Debug)]
pub struct InFlight {
    state: Arc<Mutex<State>>,
    ended: Arc<Event>,
    limit: usize,
}

impl InFlight {
    /// Starts open, for at most `limit` requests in progress.
    pub fn new(limit: usize) -> InFlight {
        InFlight {
            state: Arc::default(),
            ended: Arc::default(),
            limit,
        }
    }

    /// Refuses all new requests from now on.
    pub fn close(&self) {
        self.lock().closed = true;
    }

    /// Waits until no request is in progress, at most for `limit`.
    pub async fn wait_idle(&self, limit: Millis) {
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

    /// Returns the counts as JSON, for operators.
    pub fn dump(&self) -> Value {
        let state = self.lock();
        json!({ "running": state.running, "closed": state.closed, "limit": self.limit })
    }

    /// Number of requests in progress.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn enter(&self) -> Result<InFlightGuard> {
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
        Ok(InFlightGuard {
            in_flight: self.clone(),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlight,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.lock().running -= 1;
        self.in_flight.ended.notify(usize::MAX);
    }
}

/// Admits and runs one attempt and sends its answer; cancelled when the entry closes the stream.
pub async fn run(agent: Agent, mut request: proto::ServeRequest, sender: FrameSender) {
    // While the agents of a pool reload one after the other, each serves the version that it
    // has loaded. Refusing requests for another version would leave the pool without capacity.
    if let Some(loaded) = agent.loaded.digest() {
        request.digest = loaded;
    }
    let mut frames = FrameWriter::new(&request, sender.clone());
    let limit = Duration::from_millis(request.remaining_ms);
    let cancelled = entry_gone(sender);
    let work = run_attempt(&agent, request, &mut frames);
    let stopped = async {
        agent.admission.aborted().await;
        Err(Error::new(Code::UpstreamLeaving, "drain time is over").with_run(Run::Unknown))
    };
    let late = async {
        smol::Timer::after(limit).await;
        Err(Error::new(Code::DeadlineExceeded, "at the agent").with_run(Run::Unknown))
    };
    let ended = work.or(late).or(cancelled).or(stopped).await;
    let code = ended.as_ref().err().map(|error| error.code);
    agent.node.metrics.outcome(Metric::AttemptTotal, code);
    if let Err(error) = ended {
        slog::debug!(agent.node.logger(Component::Gate), "attempt failed"; "error" => %error);
        frames.send_error(&agent, error).await;
    }
}

/// Waits until the entry has closed the stream, and returns that as an error.
async fn entry_gone(sender: FrameSender) -> Result<()> {
    sender.closed().await;
    Err(Error::new(Code::Cancelled, "the entry has closed the stream").with_run(Run::Unknown))
}

/// Admits the request, waits for a slot, sends the request and copies the answer.
async fn run_attempt(
    agent: &Agent,
    request: proto::ServeRequest,
    frames: &mut FrameWriter,
) -> Result<()> {
    if !request.ticket.is_empty() {
        return ticketed::run(agent, request, frames).await;
    }
    let permit = admission::admit(agent, &request).await?;
    let _in_flight = agent.in_flight.enter()?;
    if !agent
        .queue
        .record_attempt(&request.request, request.attempt)
    {
        let detail = format!("attempt {} was seen before", request.attempt);
        return Err(Error::new(Code::ProtocolInvalid, detail).with_run(Run::Unknown));
    }
    let mut slot = wait_for_slot(agent, &request).await?;
    // Checked again, because the tables, the engine or the time may have changed meanwhile.
    let _dispatched = admission::dispatch(agent, &permit, frames.fingerprint())?;
    let kind = match permit.is_service() {
        true => Kind::Service,
        false => Kind::Engine,
    };
    let expected = request.digest.clone();
    let message = upstream_request(agent, request, kind, slot.priority)?;
    let answer = agent.engine.forward(message).await;
    let answer = answer.map_err(|error| {
        // Admission stays closed until the engine's state has been read again.
        agent.loaded.invalidate();
        send_error(error)
    })?;
    let (response, _connection) = Client::split(answer);
    if kind == Kind::Engine && response.status() == StatusCode::SERVICE_UNAVAILABLE {
        // The engine has lost its weights since its state was last read.
        agent.loaded.invalidate();
        return Err(Error::new(
            Code::VersionMismatch,
            "the engine has no weights loaded",
        ));
    }
    let is_error = !response.status().is_success();
    frames.send_head(agent, &response).await?;
    let is_stream = content_type(&response).starts_with("text/event-stream");
    let body = response.into_body();
    match (kind, is_stream) {
        // An engine's error answers name no weights that could be checked.
        (Kind::Engine, _) if is_error => copy_body(body, frames).await?,
        (Kind::Service, _) => copy_body(body, frames).await?,
        (Kind::Engine, true) => copy_events(agent, body, &expected, frames).await?,
        (Kind::Engine, false) => copy_checked(agent, body, &expected, frames).await?,
    }
    admission::record_success(agent, &frames.fingerprint());
    let took = slot.complete();
    frames.send_done(took).await
}

/// Waits for a slot at the upstream; an error means that the request was not run.
pub async fn wait_for_slot(agent: &Agent, request: &proto::ServeRequest) -> Result<Slot> {
    let weight = agent.node.in_force.weight(&request.organisation);
    agent
        .queue
        .acquire(QueueRequest::new(request, weight))
        .await
}

/// Builds the request that is sent to the upstream.
pub fn upstream_request(
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

/// Returns the body with the agent's priority in place of the caller's.
///
/// A body that is not a JSON object stays as it is; the engine refuses it.
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

/// An error for an upstream that broke off while it ran a request.
pub fn upstream_lost(error: impl std::fmt::Display) -> Error {
    Error::new(Code::UpstreamLost, error.to_string()).with_run(Run::Unknown)
}

/// The error of a failed send: the upstream broke off, unless nothing was written to it.
pub fn send_error(error: Error) -> Error {
    match error.run {
        Run::NotRun => error,
        _ => upstream_lost(error.detail),
    }
}

/// Copies a body that names no weights.
async fn copy_body(mut body: Incoming, frames: &mut FrameWriter) -> Result<()> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(upstream_lost)?.into_data() {
            frames.send_data(data).await?;
        }
    }
    Ok(())
}

/// Copies server-sent events, each only after its weights have been checked.
async fn copy_events(
    agent: &Agent,
    mut body: Incoming,
    digest: &str,
    frames: &mut FrameWriter,
) -> Result<()> {
    let mut buffer: Vec<u8> = Vec::new();
    let mut is_done = false;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(upstream_lost)?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            is_done |= check_event(agent, &event, digest)?;
            frames.send_data(event.into()).await?;
        }
        if buffer.len() > MAX_EVENT_BYTES {
            return Err(upstream_lost("an event of the stream is too large"));
        }
    }
    if !is_done || !buffer.is_empty() {
        return Err(upstream_lost("the stream ended before [DONE]"));
    }
    Ok(())
}

/// Checks the weights that an event names; true for the event that ends a stream.
fn check_event(agent: &Agent, event: &[u8], digest: &str) -> Result<bool> {
    let text = String::from_utf8_lossy(event);
    let Some(data) = text.trim().strip_prefix("data:") else {
        // Comments and keep-alive lines have no data.
        return Ok(false);
    };
    if data.trim() == "[DONE]" {
        return Ok(true);
    }
    check_loaded_digest(agent, data.as_bytes(), digest)?;
    Ok(false)
}

/// Checks that an answer or event comes from the version `digest`, which it names as
/// `system_fingerprint`.
fn check_loaded_digest(agent: &Agent, json: &[u8], digest: &str) -> Result<()> {
    let value: Value = serde_json::from_slice(json).map_err(upstream_lost)?;
    if value["system_fingerprint"].as_str() == Some(digest) {
        return Ok(());
    }
    // The engine runs other weights than it reported; admit nothing until its state has been
    // read again.
    agent.loaded.invalidate();
    let detail = format!("answer from version {}", value["system_fingerprint"]);
    Err(Error::new(Code::AnswerMismatch, detail).with_run(Run::Unknown))
}

/// Copies an answer without a stream after its weights have been checked.
async fn copy_checked(
    agent: &Agent,
    body: Incoming,
    digest: &str,
    frames: &mut FrameWriter,
) -> Result<()> {
    let bytes = body::read(body, MAX_EVENT_BYTES)
        .await
        .map_err(upstream_lost)?;
    check_loaded_digest(agent, &bytes, digest)?;
    frames.send_data(bytes).await
}

/// Checks the weights that an answer names, be it one JSON object or a whole event stream.
pub fn check_answer(agent: &Agent, body: &[u8], digest: &str) -> Result<()> {
    if !body.starts_with(b"data:") {
        return check_loaded_digest(agent, body, digest);
    }
    let mut is_done = false;
    for event in String::from_utf8_lossy(body).split("\n\n") {
        is_done |= check_event(agent, event.as_bytes(), digest)?;
    }
    match is_done {
        true => Ok(()),
        false => Err(upstream_lost("the stream ended before [DONE]")),
    }
}

/// True for headers that are forwarded; hop-by-hop headers belong to one connection.
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
