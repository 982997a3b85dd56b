//! Calls with a ticket: sent to the one agent that may run them, resolved after a lost link.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use serde::Deserialize;
use serde_json::json;
use smol::future::FutureExt;

use crate::entry::Entry;
use crate::entry::answer;
use crate::entry::attempt::Job;
use crate::entry::request;
use crate::log::Component;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::rpc;
use crate::once::Ticket;
use crate::prelude::*;
use crate::proto;
use crate::proto::frame::Kind as FrameKind;
use crate::table::doc::Repeat;
use crate::table::matcher;
use crate::table::matcher::Query;

/// Header with a caller's ticket.
pub const KEY: &str = "idempotency-key";

/// Path at which callers get tickets.
pub const TICKETS: &str = "/chervilquay/tickets";

/// Time for a call to an agent about its state or a key.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Agents asked for a ticket before the caller is told to come back.
const MAX_ASKED: usize = 4;

/// Sends of one call; each further one attaches to the same run.
const MAX_SENDS: u32 = 3;

/// Agents whose addresses are remembered after the tables drop them.
const MAX_OWNERS: usize = 4_096;

/// When to send the same ticket again after an unknown outcome.
const RETRY: Millis = Millis(1_000);

/// A refusal together with a ticket for the next try.
#[derive(Debug)]
pub struct Denied {
    /// What happened.
    pub error: Error,
    /// A fresh ticket, when the old key was not run.
    pub ticket: Option<String>,
}

impl From<Error> for Denied {
    fn from(error: Error) -> Denied {
        Denied {
            error,
            ticket: None,
        }
    }
}

/// Addresses of agents that tickets name; clones share them.
///
/// An agent that the tables list no more still answers its known keys.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    held: Arc<Mutex<IndexMap<String, SocketAddr>>>,
}

impl Owners {
    fn note(&self, name: &str, addr: SocketAddr) {
        let mut held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.insert(name.to_string(), addr);
        if held.len() > MAX_OWNERS {
            held.shift_remove_index(0);
        }
    }

    fn get(&self, name: &str) -> Option<SocketAddr> {
        let held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.get(name).copied()
    }
}

/// Runs a call under the caller's key.
pub async fn run(
    entry: &Entry,
    job: &Job,
    key: &str,
) -> std::result::Result<Response<BoxBody>, Denied> {
    let ticket = match Ticket::parse(key, &entry.secret) {
        Ok(ticket) => ticket,
        Err(error) if error.code == Code::TicketRequired => {
            return Err(with_ticket(entry, job, error).await);
        }
        Err(error) => return Err(error.into()),
    };
    let Some(addr) = owner(entry, &ticket) else {
        return Err(unknown("the agent is not known here").into());
    };
    for number in 1..=MAX_SENDS {
        // Only the owner can say that a key was not run: an earlier send may have.
        let remaining = job.deadline.since(entry.node.clock.now());
        if remaining.0 == 0 {
            let error = Error::new(Code::DeadlineExceeded, "at the entry");
            return Err(error.with_run(Run::Unknown).into());
        }
        let message = request::message(entry, job, number, remaining);
        let mut message = message.map_err(|e| e.with_run(Run::Unknown))?;
        message.ticket = key.to_string();
        match send(entry, job, addr, message).await {
            Ok(answer) => return Ok(respond(answer)),
            Err(Lost::Told(error)) if error.run == Run::NotRun => {
                return Err(with_ticket(entry, job, error).await);
            }
            Err(Lost::Told(error)) => return Err(error.into()),
            Err(Lost::Link(error)) => {
                slog::debug!(entry.node.logger(Component::Once), "link lost"; "error" => %error);
            }
        }
        match resolve(entry, addr, key).await {
            Ok(Some(answer)) => return Ok(respond(answer)),
            Ok(None) => {}
            Err(error) if error.run == Run::NotRun => {
                return Err(with_ticket(entry, job, error).await);
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(unknown("the call is still running").into())
}

async fn with_ticket(entry: &Entry, job: &Job, error: Error) -> Denied {
    let ticket = mint(entry, &job.route.pool).await.ok();
    Denied { error, ticket }
}

fn unknown(detail: &str) -> Error {
    let error = Error::new(Code::OutcomeUnknown, detail);
    error.with_run(Run::Unknown).with_retry(RETRY)
}

fn owner(entry: &Entry, ticket: &Ticket) -> Option<SocketAddr> {
    let set = entry.node.in_force.get()?;
    if let Some((_, _, upstream)) = set.upstream(&ticket.agent) {
        entry.owners.note(&ticket.agent, upstream.rpc);
    }
    entry.owners.get(&ticket.agent)
}

/// Why a send has no answer.
enum Lost {
    /// The agent said so.
    Told(Error),
    /// The link broke off, or the time was up.
    Link(Error),
}

/// An answer that has been received whole.
struct Whole {
    head: proto::Head,
    body: Vec<u8>,
}

async fn send(
    entry: &Entry,
    job: &Job,
    addr: SocketAddr,
    message: proto::ServeRequest,
) -> std::result::Result<Whole, Lost> {
    let limit = Millis(message.remaining_ms).duration();
    let attempt = message.attempt;
    let mut client = entry.node.channels.agent(addr);
    let exchange = async {
        let reply = client.serve(message).await;
        let mut frames = reply
            .map_err(|s| Lost::Link(rpc::from_status(&s)))?
            .into_inner();
        let mut held = Vec::new();
        loop {
            let next = frames.message().await;
            let frame = next.map_err(|s| Lost::Link(rpc::from_status(&s)))?;
            let Some(frame) = frame else {
                return Err(Lost::Link(invalid("answer ended early")));
            };
            check(job, attempt, held.len() as u64, &frame).map_err(Lost::Link)?;
            if let Some(FrameKind::Fail(fail)) = &frame.kind {
                return Err(Lost::Told(request::failed(entry, job, attempt, fail)));
            }
            let is_done = matches!(frame.kind, Some(FrameKind::Done(_)));
            held.push(frame);
            if is_done {
                return assemble(held).map_err(Lost::Link);
            }
        }
    };
    let late = async {
        smol::Timer::after(limit).await;
        let error = Error::new(Code::DeadlineExceeded, "at the entry");
        Err(Lost::Told(error.with_run(Run::Unknown)))
    };
    exchange.or(late).await
}

/// Refuses a frame that belongs to another request or is out of sequence.
fn check(job: &Job, attempt: u32, seq: u64, frame: &proto::Frame) -> Result<()> {
    if frame.request != job.id || frame.attempt != attempt || frame.seq != seq {
        return Err(invalid("frame of another answer"));
    }
    Ok(())
}

fn invalid(detail: &str) -> Error {
    Error::new(Code::ProtocolInvalid, detail).with_run(Run::Unknown)
}

/// Puts the frames of an answer together; refuses one that is not whole.
fn assemble(frames: Vec<proto::Frame>) -> Result<Whole> {
    let mut kinds = frames.into_iter().filter_map(|frame| frame.kind);
    let Some(FrameKind::Head(head)) = kinds.next() else {
        return Err(invalid("answer starts without a head"));
    };
    let mut body = Vec::new();
    for kind in kinds {
        match kind {
            FrameKind::Data(data) => body.extend_from_slice(&data),
            FrameKind::Done(done) if done.length == body.len() as u64 => {
                return Ok(Whole { head, body });
            }
            _ => break,
        }
    }
    Err(invalid("answer is not whole"))
}

/// Asks the owner what became of a key; none when the call still runs.
///
/// An error with [`Run::NotRun`] means that the owner has barred the key.
async fn resolve(entry: &Entry, addr: SocketAddr, key: &str) -> Result<Option<Whole>> {
    let mut client = entry.node.channels.agent(addr);
    let request = proto::ResolveRequest {
        ticket: key.to_string(),
    };
    let reply = rpc::ask(ASK_TIMEOUT, client.resolve(request)).await;
    let reply = reply.map_err(|_| unknown("the agent cannot be reached"))?;
    match reply.state() {
        proto::KeyState::KeyRunning => Ok(None),
        proto::KeyState::KeyDone => assemble(reply.frames).map(Some),
        proto::KeyState::KeyBarred => Err(Error::new(Code::KeyBarred, "after a lost link")),
        proto::KeyState::KeyUnknown => Err(unknown("the agent does not know the outcome")),
    }
}

fn respond(answer: Whole) -> Response<BoxBody> {
    answer::started(&answer.head, body::full(answer.body))
}

/// A ticket for an agent of the pool that serves now.
///
/// The agent is asked for its incarnation each time: a ticket for one that has
/// gone would answer `unknown` for a call that never ran.
async fn mint(entry: &Entry, pool_name: &str) -> Result<String> {
    let none = || Error::new(Code::NoUpstream, pool_name);
    let mut tried = Vec::new();
    for _ in 0..MAX_ASKED {
        let target = entry.pools.with(pool_name, |pool| {
            pool.target(entry.node.clock.now(), &tried)
        });
        let Some(target) = target.flatten() else {
            break;
        };
        tried.push(target.key);
        let mut client = entry.node.channels.agent(target.rpc);
        let Ok(state) = rpc::ask(ASK_TIMEOUT, client.state(proto::StateRequest {})).await else {
            continue;
        };
        if state.name != target.name || state.leaving || !state.serving {
            continue;
        }
        entry.owners.note(&target.name, target.rpc);
        let now = entry.node.clock.now();
        let mut rng = fastrand::Rng::new();
        let ticket = Ticket::mint(&target.name, state.incarnation, now, &mut rng);
        return Ok(ticket.encode(&entry.secret));
    }
    Err(none())
}

/// What a caller wants a ticket for.
#[derive(Debug, Deserialize)]
struct Want {
    #[serde(default = "default_method")]
    method: String,
    path: String,
}

fn default_method() -> String {
    "POST".to_string()
}

/// Answers a request for a ticket: `{"path": "/book", "method": "POST"}`.
pub async fn tickets(entry: &Entry, organisation: &str, sent: &[u8]) -> Result<Response<BoxBody>> {
    let want: Want = serde_json::from_slice(sent)
        .map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))?;
    let Some(set) = entry.node.in_force.get() else {
        return Err(Error::new(Code::TablesMissing, "entry has just started"));
    };
    let query = Query {
        method: &want.method,
        path: &want.path,
        organisation,
    };
    let Some((_, route)) = matcher::find(&set.routes, query, |_| None) else {
        return Err(Error::new(Code::RouteUnknown, want.path.clone()));
    };
    if route.repeat == Repeat::Safe {
        let detail = "calls of this route need no ticket";
        return Err(Error::new(Code::RequestMalformed, detail));
    }
    let ticket = mint(entry, &route.pool).await?;
    let mut response = Response::new(body::full(json!({ "ticket": ticket }).to_string()));
    let kind = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    Ok(response)
}
