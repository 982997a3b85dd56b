//! Brings a request to an upstream and its answer back to the caller.

use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use smol::channel;
use smol::channel::Sender;
use smol::future::FutureExt;
use tonic::codec::Streaming;

use crate::entry::Entry;
use crate::entry::pick::Flight;
use crate::entry::pick::Target;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::rpc;
use crate::net::rt;
use crate::prelude::*;
use crate::proto;
use crate::proto::frame::Kind as FrameKind;
use crate::table::doc::Repeat;
use crate::table::doc::Route;

/// Attempts at different upstreams for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Pieces of an answer that wait for a slow caller.
const BODY_BUFFER: usize = 16;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identity, the same for all attempts.
    pub id: String,
    /// Name of the matched route.
    pub route_name: String,
    /// The matched route.
    pub route: Route,
    /// The caller's organisation; empty when it named none.
    pub organisation: String,
    /// When the answer must have ended.
    pub deadline: Millis,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<proto::Header>,
    /// Body, whole.
    pub body: Bytes,
}

/// An attempt whose answer has started.
struct Started {
    head: proto::Head,
    frames: Streaming<proto::Frame>,
    flight: Flight,
    attempt: u32,
}

/// Runs a request: tries upstreams until one starts to answer.
pub async fn run(entry: Entry, job: Job) -> Result<Response<BoxBody>> {
    let mut tried: Vec<String> = Vec::new();
    let mut last = Error::new(Code::NoUpstream, job.route.pool.clone());
    for number in 1..=MAX_ATTEMPTS {
        let Some(target) = target(&entry, &job, &tried) else {
            break;
        };
        tried.push(target.name.clone());
        match start(&entry, &job, &target, number).await {
            Ok(started) => return Ok(respond(&entry, &job, started)),
            Err(error) if may_repeat(&job, &error) => {
                slog::debug!(entry.node.log, "attempt: failed"; "error" => %error);
                last = error;
            }
            Err(error) => return Err(error),
        }
    }
    Err(last)
}

/// A refusal before the run is always safe to try elsewhere; anything else
/// only when the route says that its calls may be repeated.
fn may_repeat(job: &Job, error: &Error) -> bool {
    if error.code == Code::DeadlineExceeded {
        return false;
    }
    error.run == Run::NotRun || job.route.repeat == Repeat::Safe
}

fn target(entry: &Entry, job: &Job, tried: &[String]) -> Option<Target> {
    let set = entry.node.view.get()?;
    let pool = set.pools.pools.get(&job.route.pool)?;
    entry.flights.pick(pool, &entry.node.settings.zone, tried)
}

fn message(entry: &Entry, job: &Job, attempt: u32) -> Result<proto::ServeRequest> {
    let Some(set) = entry.node.view.get() else {
        return Err(Error::new(Code::TablesMissing, "no tables"));
    };
    let Some(pool) = set.pools.pools.get(&job.route.pool) else {
        return Err(Error::new(Code::NoUpstream, job.route.pool.clone()));
    };
    let remaining = job.deadline.since(entry.node.clock.now());
    if remaining.0 == 0 {
        return Err(Error::new(Code::DeadlineExceeded, "before dispatch"));
    }
    Ok(proto::ServeRequest {
        request: job.id.clone(),
        attempt,
        pool: job.route.pool.clone(),
        model: pool.model.clone(),
        digest: pool.digest.clone(),
        revision: set.stamp.revision,
        organisation: job.organisation.clone(),
        class: job.route.class.as_str().to_string(),
        remaining_ms: remaining.0,
        repeatable: job.route.repeat == Repeat::Safe,
        method: job.method.clone(),
        path: job.path.clone(),
        headers: job.headers.clone(),
        body: job.body.to_vec(),
        ..proto::ServeRequest::default()
    })
}

/// Sends one attempt and waits for its head.
async fn start(entry: &Entry, job: &Job, target: &Target, attempt: u32) -> Result<Started> {
    let message = message(entry, job, attempt)?;
    let remaining = Millis(message.remaining_ms);
    let flight = entry.flights.begin(&target.name);
    let mut client = entry.node.channels.agent(target.rpc);
    let open = async {
        let reply = client.serve(message).await;
        let mut frames = reply.map_err(|s| rpc::from_status(&s))?.into_inner();
        let first = next(&mut frames).await?;
        check(job, attempt, 0, &first)?;
        match first.kind {
            Some(FrameKind::Head(head)) => Ok(Started {
                head,
                frames,
                flight,
                attempt,
            }),
            Some(FrameKind::Fail(fail)) => Err(failure(&fail)),
            _ => Err(invalid("answer starts without a head")),
        }
    };
    open.or(expire(remaining)).await
}

async fn expire<T>(remaining: Millis) -> Result<T> {
    smol::Timer::after(remaining.duration()).await;
    Err(Error::new(Code::DeadlineExceeded, "at the entry").with_run(Run::Unknown))
}

async fn next(frames: &mut Streaming<proto::Frame>) -> Result<proto::Frame> {
    match frames.message().await {
        Ok(Some(frame)) => Ok(frame),
        Ok(None) => Err(lost("answer ended without its last frame")),
        Err(status) => Err(rpc::from_status(&status)),
    }
}

fn lost(detail: &str) -> Error {
    Error::new(Code::UpstreamLost, detail).with_run(Run::Unknown)
}

fn invalid(detail: &str) -> Error {
    Error::new(Code::ProtocolInvalid, detail).with_run(Run::Unknown)
}

/// Refuses a frame that belongs to another request or is out of sequence.
fn check(job: &Job, attempt: u32, seq: u64, frame: &proto::Frame) -> Result<()> {
    if frame.request != job.id || frame.attempt != attempt || frame.seq != seq {
        return Err(invalid("frame of another answer"));
    }
    Ok(())
}

fn failure(fail: &proto::Fail) -> Error {
    let code = Code::from_number(fail.code).unwrap_or(Code::ProtocolInvalid);
    let run = match fail.run() {
        proto::Run::NotRun => Run::NotRun,
        proto::Run::Partial => Run::Partial,
        proto::Run::Unknown => Run::Unknown,
    };
    let error = Error::new(code, fail.detail.clone()).with_run(run);
    match fail.retry_after_ms {
        0 => error,
        after => error.with_retry(Millis(after)),
    }
}

/// The caller's answer, whose body is copied by a task of its own.
fn respond(entry: &Entry, job: &Job, started: Started) -> Response<BoxBody> {
    let (sender, receiver) = channel::bounded(BODY_BUFFER);
    let mut response = Response::new(body::channel(receiver));
    let status = u16::try_from(started.head.status).ok();
    *response.status_mut() = status
        .and_then(|s| StatusCode::from_u16(s).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &started.head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    rt::spawn(copy(entry.clone(), job.clone(), started, sender)).detach();
    response
}

async fn copy(entry: Entry, job: Job, mut started: Started, sender: Sender<Result<Option<Bytes>>>) {
    let remaining = job.deadline.since(entry.node.clock.now());
    let gone = async {
        sender.closed().await;
        Err(Error::new(Code::Cancelled, "caller has gone"))
    };
    let ended = pump(&job, &mut started, &sender)
        .or(expire(remaining))
        .or(gone)
        .await;
    if let Err(error) = ended {
        slog::debug!(entry.node.log, "attempt: answer broke off"; "error" => %error);
        let _ = sender.send(Err(error)).await;
    }
    drop(started.flight);
}

/// Copies frames to the caller; only a `Done` of the right length ends the body cleanly.
async fn pump(
    job: &Job,
    started: &mut Started,
    sender: &Sender<Result<Option<Bytes>>>,
) -> Result<()> {
    let mut seq = 1;
    let mut length = 0;
    let gone = |_| Error::new(Code::Cancelled, "caller has gone");
    loop {
        let frame = next(&mut started.frames).await?;
        check(job, started.attempt, seq, &frame)?;
        seq += 1;
        match frame.kind {
            Some(FrameKind::Data(data)) => {
                length += data.len() as u64;
                sender.send(Ok(Some(data.into()))).await.map_err(gone)?;
            }
            Some(FrameKind::Done(done)) if done.length == length => {
                return sender.send(Ok(None)).await.map_err(gone);
            }
            Some(FrameKind::Done(_)) => return Err(invalid("answer has another length")),
            Some(FrameKind::Fail(fail)) => return Err(failure(&fail)),
            _ => return Err(invalid("unexpected frame")),
        }
    }
}
