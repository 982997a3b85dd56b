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
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::agent::Agent;
use crate::agent::queue::Entrant;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client::Client;
use crate::prelude::*;
use crate::proto;
use crate::proto::frame::Kind as FrameKind;
use crate::table::doc::Kind;

/// Largest event of an engine's stream, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// When a caller may come back after a refusal for lack of room.
const BUSY_RETRY: Millis = Millis(500);

type FrameSender = Sender<std::result::Result<proto::Frame, tonic::Status>>;

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

    /// True once the gate is closed.
    pub fn is_closed(&self) -> bool {
        self.lock().closed
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

    fn enter(&self) -> Result<Pass> {
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
struct Pass {
    gate: Gate,
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.lock().running -= 1;
        self.gate.ended.notify(usize::MAX);
    }
}

/// Admits, runs and answers one attempt; dropping the reader cancels it.
pub async fn run(agent: Agent, request: proto::ServeRequest, sender: FrameSender) {
    let mut frames = Frames {
        request: request.request.clone(),
        attempt: request.attempt,
        seq: 0,
        length: 0,
        sender,
    };
    let limit = Duration::from_millis(request.remaining_ms);
    let gone = frames_closed(frames.sender.clone());
    let work = attempt(&agent, request, &mut frames);
    let late = async {
        smol::Timer::after(limit).await;
        Err(Error::new(Code::DeadlineExceeded, "at the agent").with_run(Run::Unknown))
    };
    let ended = work.or(late).or(gone).await;
    let code = ended.as_ref().err().map(|error| error.code);
    agent.node.metrics.outcome(Metric::AttemptTotal, code);
    if let Err(error) = ended {
        slog::debug!(agent.node.log, "serve: failed"; "error" => %error);
        frames.fail(&agent, error).await;
    }
}

/// Completes when the reader has gone.
async fn frames_closed(sender: FrameSender) -> Result<()> {
    sender.closed().await;
    Err(Error::new(Code::Cancelled, "entry has gone").with_run(Run::Unknown))
}

async fn attempt(agent: &Agent, request: proto::ServeRequest, frames: &mut Frames) -> Result<()> {
    admit(agent, &request)?;
    let _pass = agent.gate.enter()?;
    if !agent.queue.note(&request.request, request.attempt) {
        let detail = format!("attempt {} was seen before", request.attempt);
        return Err(Error::new(Code::ProtocolInvalid, detail).with_run(Run::Unknown));
    }
    let entrant = Entrant::new(&request, weight(agent, &request.organisation));
    let mut turn = agent.queue.enter(entrant).await?;
    // The state may have changed while the request waited.
    let kind = admit(agent, &request)?;
    let expected = request.digest.clone();
    let order = engine_request(agent, request, kind, turn.priority)?;
    let answer = agent.engine.forward(order).await;
    let (response, kept) = Client::split(answer?);
    if kind == Kind::Engine && response.status() == StatusCode::SERVICE_UNAVAILABLE {
        // The engine has lost its weights since its last report.
        agent.loaded.set(None);
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
    let took = turn.done();
    frames.done(took).await
}

/// Weight of the organisation's share, by the tables in force.
fn weight(agent: &Agent, org: &str) -> u32 {
    let set = agent.node.view.get();
    let share = set.and_then(|set| Some(set.routes.organisations.get(org)?.share));
    share.unwrap_or(1)
}

/// Refuses a request that does not match what this agent serves.
fn admit(agent: &Agent, request: &proto::ServeRequest) -> Result<Kind> {
    let Some(duty) = agent.duty() else {
        return Err(Error::new(Code::VersionMismatch, "agent is in no pool"));
    };
    if duty.drain {
        return Err(Error::new(
            Code::UpstreamLeaving,
            "table drains this upstream",
        ));
    }
    if duty.pool != request.pool || duty.model != request.model {
        return Err(Error::new(
            Code::VersionMismatch,
            format!("pool {}", duty.pool),
        ));
    }
    let loaded = agent.loaded.digest();
    if loaded.as_ref() != Some(&request.digest) {
        let detail = format!("loaded {}", loaded.unwrap_or_default());
        return Err(Error::new(Code::VersionMismatch, detail));
    }
    Ok(duty.kind)
}

fn engine_request(
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

fn lost(error: impl std::fmt::Display) -> Error {
    Error::new(Code::UpstreamLost, error.to_string()).with_run(Run::Unknown)
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
    agent.loaded.set(None);
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

/// Numbers and sends the frames of one answer.
struct Frames {
    request: String,
    attempt: u32,
    seq: u64,
    length: u64,
    sender: FrameSender,
}

impl Frames {
    async fn head(&mut self, agent: &Agent, response: &http::Response<Incoming>) -> Result<()> {
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| is_end_to_end(name.as_str()))
            .map(|(name, value)| proto::Header {
                name: name.to_string(),
                value: value.as_bytes().to_vec(),
            })
            .collect();
        let head = proto::Head {
            status: u32::from(response.status().as_u16()),
            headers,
            load: Some(agent.queue.load()),
        };
        self.send(FrameKind::Head(head)).await
    }

    async fn data(&mut self, data: Bytes) -> Result<()> {
        self.length += data.len() as u64;
        self.send(FrameKind::Data(data.to_vec())).await
    }

    async fn done(&mut self, took: Millis) -> Result<()> {
        let done = proto::Done {
            length: self.length,
            run_ms: took.0,
        };
        self.send(FrameKind::Done(done)).await
    }

    async fn fail(&mut self, agent: &Agent, error: Error) {
        let run = match (error.run, self.seq) {
            (Run::NotRun, _) => proto::Run::NotRun,
            (_, 0) => proto::Run::Unknown,
            _ => proto::Run::Partial,
        };
        let fail = proto::Fail {
            code: error.code.number(),
            run: run.into(),
            detail: error.detail,
            retry_after_ms: error.retry.unwrap_or_default().0,
            revision: agent.node.view.stamp().revision,
            crashed: error.code == Code::UpstreamLost,
        };
        let _ = self.send(FrameKind::Fail(fail)).await;
    }

    async fn send(&mut self, kind: FrameKind) -> Result<()> {
        let frame = proto::Frame {
            request: self.request.clone(),
            attempt: self.attempt,
            seq: self.seq,
            kind: Some(kind),
        };
        self.seq += 1;
        self.sender
            .send(Ok(frame))
            .await
            .map_err(|_| Error::new(Code::Cancelled, "entry has gone").with_run(Run::Unknown))
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
