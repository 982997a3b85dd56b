//! Calls with a ticket, which must not run twice.
//!
//! A call is sent to the one agent that its ticket names. After a lost connection the entry
//! asks that agent what became of the call instead of sending it elsewhere.

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
use crate::entry::forward::CallerRequest;
use crate::entry::running;
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

/// Header with the caller's ticket.
pub const KEY_HEADER: &str = "idempotency-key";

/// Path at which callers request tickets.
pub const TICKETS_PATH: &str = "/chervilquay/tickets";

/// Time-out of a call that asks an agent for its state or for the outcome of a key.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Agents that are tried for a ticket before the request fails.
const MAX_MINT_TRIES: usize = 4;

/// Times that one call is sent to its agent; later sends attach to the run of the first.
const MAX_SENDS: u32 = 3;

/// Addresses of agents that are remembered; the oldest are dropped first.
const MAX_OWNERS: usize = 4_096;

/// Time after which the caller may send the same ticket again when the outcome is unknown.
const RETRY_AFTER: Millis = Millis(1_000);

/// An error answer, with a ticket for the next try where one helps.
#[derive(Debug)]
pub struct Refusal {
    /// Why the call failed.
    pub error: Error,
    /// A new ticket, if the call was not run under the old key.
    pub ticket: Option<String>,
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Refusal {
        Refusal {
            error,
            ticket: None,
        }
    }
}

/// RPC addresses of the agents that tickets belong to, by name; clones share them.
///
/// They are kept after the tables drop an agent, because it still answers for its keys.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    addrs: Arc<Mutex<IndexMap<String, SocketAddr>>>,
}

impl Owners {
    /// Records the address of an agent.
    fn insert(&self, name: &str, addr: SocketAddr) {
        let mut addrs = self.addrs.lock().unwrap_or_else(|e| e.into_inner());
        addrs.insert(name.to_string(), addr);
        if addrs.len() > MAX_OWNERS {
            addrs.shift_remove_index(0);
        }
    }

    /// Address of the agent `name`, if known.
    fn get(&self, name: &str) -> Option<SocketAddr> {
        let addrs = self.addrs.lock().unwrap_or_else(|e| e.into_inner());
        addrs.get(name).copied()
    }
}

/// Runs a call under the caller's key, which must be a ticket.
///
/// Sends the call to the ticket's agent; when the connection is lost, asks that agent for
/// the outcome, and sends again while the call is still running.
pub async fn run(
    entry: &Entry,
    request: &CallerRequest,
    key: &str,
) -> std::result::Result<Response<BoxBody>, Refusal> {
    let ticket = match Ticket::parse(key, &entry.secret) {
        Ok(ticket) => ticket,
        Err(error) if error.code == Code::TicketRequired => {
            return Err(refuse_with_ticket(entry, request, error).await);
        }
        Err(error) => return Err(error.into()),
    };
    let Some(addr) = owner_addr(entry, &ticket) else {
        return Err(outcome_unknown("the ticket's agent is not known at this entry").into());
    };
    for number in 1..=MAX_SENDS {
        // Errors at the entry leave the outcome unknown: the call may have run after an
        // earlier send, and only its agent can say that it did not.
        let remaining = request.deadline.since(entry.node.clock.now());
        if remaining.0 == 0 {
            let error = Error::new(Code::DeadlineExceeded, "at the entry");
            return Err(error.with_run(Run::Unknown).into());
        }
        let message = running::serve_message(entry, request, number, remaining);
        let mut message = message.map_err(|e| e.with_run(Run::Unknown))?;
        message.ticket = key.to_string();
        match send(entry, request, addr, message).await {
            Ok(answer) => return Ok(respond(answer)),
            Err(SendError::Reported(error)) if error.run == Run::NotRun => {
                return Err(refuse_with_ticket(entry, request, error).await);
            }
            Err(SendError::Reported(error)) => return Err(error.into()),
            Err(SendError::Connection(error)) => {
                slog::debug!(entry.node.logger(Component::Once), "connection to the agent was lost"; "error" => %error);
            }
        }
        match resolve_key(entry, addr, key).await {
            Ok(Some(answer)) => return Ok(respond(answer)),
            Ok(None) => {}
            Err(error) if error.run == Run::NotRun => {
                return Err(refuse_with_ticket(entry, request, error).await);
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(outcome_unknown("the call is still running").into())
}

/// Adds a new ticket to an error of a call that was not run.
async fn refuse_with_ticket(entry: &Entry, request: &CallerRequest, error: Error) -> Refusal {
    let ticket = mint_ticket(entry, &request.route.pool).await.ok();
    Refusal { error, ticket }
}

/// An error for a call of which it is not known whether it ran.
fn outcome_unknown(detail: &str) -> Error {
    let error = Error::new(Code::OutcomeUnknown, detail);
    error.with_run(Run::Unknown).with_retry(RETRY_AFTER)
}

/// RPC address of the agent that the ticket names; none when it was never in the tables here.
fn owner_addr(entry: &Entry, ticket: &Ticket) -> Option<SocketAddr> {
    let set = entry.node.in_force.get()?;
    if let Some((_, _, upstream)) = set.upstream(&ticket.agent) {
        entry.owners.insert(&ticket.agent, upstream.rpc);
    }
    entry.owners.get(&ticket.agent)
}

/// Why a send brought no answer.
enum SendError {
    /// The agent reported an error, or the deadline has passed; this is final.
    Reported(Error),
    /// The connection was lost or the answer was malformed; the agent may know the outcome.
    Connection(Error),
}

/// An answer that has been received completely.
struct FullAnswer {
    head: proto::Head,
    body: Vec<u8>,
}

/// Sends the call once and reads the whole answer, until the deadline.
async fn send(
    entry: &Entry,
    request: &CallerRequest,
    addr: SocketAddr,
    message: proto::ServeRequest,
) -> std::result::Result<FullAnswer, SendError> {
    let limit = Millis(message.remaining_ms).duration();
    let attempt = message.attempt;
    let mut client = entry.node.channels.agent(addr);
    let exchange = async {
        let reply = client.serve(message).await;
        let mut frames = reply
            .map_err(|s| SendError::Connection(rpc::from_status(&s)))?
            .into_inner();
        let mut received = Vec::new();
        loop {
            let next = frames.message().await;
            let frame = next.map_err(|s| SendError::Connection(rpc::from_status(&s)))?;
            let Some(frame) = frame else {
                return Err(SendError::Connection(protocol_error(
                    "answer ended without its last frame",
                )));
            };
            check_frame(request, attempt, received.len() as u64, &frame)
                .map_err(SendError::Connection)?;
            if let Some(FrameKind::Fail(fail)) = &frame.kind {
                return Err(SendError::Reported(running::agent_error(
                    entry, request, attempt, fail,
                )));
            }
            let is_done = matches!(frame.kind, Some(FrameKind::Done(_)));
            received.push(frame);
            if is_done {
                return assemble(received).map_err(SendError::Connection);
            }
        }
    };
    let late = async {
        smol::Timer::after(limit).await;
        let error = Error::new(Code::DeadlineExceeded, "at the entry");
        Err(SendError::Reported(error.with_run(Run::Unknown)))
    };
    exchange.or(late).await
}

/// Returns an error for a frame of another request or attempt, or out of sequence.
fn check_frame(
    request: &CallerRequest,
    attempt: u32,
    seq: u64,
    frame: &proto::Frame,
) -> Result<()> {
    if frame.request != request.id || frame.attempt != attempt || frame.seq != seq {
        return Err(protocol_error(
            "frame of another request or attempt, or out of sequence",
        ));
    }
    Ok(())
}

/// An error for an answer that breaks the protocol; whether the call ran is unknown.
fn protocol_error(detail: &str) -> Error {
    Error::new(Code::ProtocolInvalid, detail).with_run(Run::Unknown)
}

/// Joins the frames of an answer; an error when the answer is incomplete.
fn assemble(frames: Vec<proto::Frame>) -> Result<FullAnswer> {
    let mut kinds = frames.into_iter().filter_map(|frame| frame.kind);
    let Some(FrameKind::Head(head)) = kinds.next() else {
        return Err(protocol_error("answer does not start with a head"));
    };
    let mut body = Vec::new();
    for kind in kinds {
        match kind {
            FrameKind::Data(data) => body.extend_from_slice(&data),
            FrameKind::Done(done) if done.length == body.len() as u64 => {
                return Ok(FullAnswer { head, body });
            }
            _ => break,
        }
    }
    Err(protocol_error("answer is incomplete"))
}

/// Asks the ticket's agent for the outcome of a call; none while the call is running.
///
/// An error with [`Run::NotRun`] means that the call was not run and that the agent has
/// barred the key, so that a copy of the request cannot run later either.
async fn resolve_key(entry: &Entry, addr: SocketAddr, key: &str) -> Result<Option<FullAnswer>> {
    let mut client = entry.node.channels.agent(addr);
    let resolve = proto::ResolveRequest {
        ticket: key.to_string(),
    };
    let reply = rpc::call(ASK_TIMEOUT, client.resolve(resolve)).await;
    let reply = reply.map_err(|_| outcome_unknown("the agent cannot be reached"))?;
    match reply.state() {
        proto::KeyState::KeyRunning => Ok(None),
        proto::KeyState::KeyDone => assemble(reply.frames).map(Some),
        proto::KeyState::KeyBarred => Err(Error::new(Code::KeyBarred, "after a lost connection")),
        proto::KeyState::KeyUnknown => Err(outcome_unknown("the agent does not know the outcome")),
    }
}

fn respond(answer: FullAnswer) -> Response<BoxBody> {
    answer::with_head(&answer.head, body::full(answer.body))
}

/// Creates a ticket for an agent of the pool that is serving now.
///
/// The agent is asked for its incarnation each time: under a ticket for an earlier
/// incarnation, a call that never ran would be answered with an unknown outcome.
async fn mint_ticket(entry: &Entry, pool_name: &str) -> Result<String> {
    let no_upstream = || Error::new(Code::NoUpstream, pool_name);
    let mut tried = Vec::new();
    for _ in 0..MAX_MINT_TRIES {
        let target = entry.pools.with_pool(pool_name, |pool| {
            pool.choose_target(entry.node.clock.now(), &tried)
        });
        let Some(target) = target.flatten() else {
            break;
        };
        tried.push(target.key);
        let mut client = entry.node.channels.agent(target.rpc);
        let Ok(state) = rpc::call(ASK_TIMEOUT, client.state(proto::StateRequest {})).await else {
            continue;
        };
        if state.name != target.name || state.leaving || !state.serving {
            continue;
        }
        entry.owners.insert(&target.name, target.rpc);
        let now = entry.node.clock.now();
        let mut rng = fastrand::Rng::new();
        let ticket = Ticket::mint(&target.name, state.incarnation, now, &mut rng);
        return Ok(ticket.encode(&entry.secret));
    }
    Err(no_upstream())
}

/// The call for which a caller wants a ticket.
#[derive(Debug, Deserialize)]
struct Want {
    #[serde(default = "default_method")]
    method: String,
    path: String,
}

fn default_method() -> String {
    "POST".to_string()
}

/// Issues a ticket for the call that `body` describes, such as
/// `{"path": "/book", "method": "POST"}`; the method is POST by default.
pub async fn issue(entry: &Entry, organisation: &str, body: &[u8]) -> Result<Response<BoxBody>> {
    let want: Want = serde_json::from_slice(body)
        .map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))?;
    let Some(set) = entry.node.in_force.get() else {
        return Err(Error::new(
            Code::TablesMissing,
            "the entry has no tables yet",
        ));
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
    let ticket = mint_ticket(entry, &route.pool).await?;
    let mut response = Response::new(body::full(json!({ "ticket": ticket }).to_string()));
    let kind = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    Ok(response)
}
