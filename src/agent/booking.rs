//! Calls that may not be repeated: run once by a task of their own, answered to each sender.

use std::sync::Mutex;

use event_listener::Event;
use hyper::body::Incoming;
use smol::future::FutureExt;

use crate::agent::Agent;
use crate::agent::frames;
use crate::agent::frames::Frames;
use crate::agent::guard;
use crate::agent::serve;
use crate::gate::Permit;
use crate::gate::suspect;
use crate::net::body;
use crate::net::client::Client;
use crate::net::rt;
use crate::once::Answer;
use crate::once::Claim;
use crate::once::Fingerprint;
use crate::once::State;
use crate::once::Ticket;
use crate::prelude::*;
use crate::proto;
use crate::table::doc::Kind;

/// Largest answer that is forwarded, in bytes; the ledger keeps smaller ones only.
const MAX_ANSWER: usize = 4 << 20;

/// Time beyond the caller's deadline in which an outcome is still recorded.
///
/// The caller has its answer by then (`unknown`), but a second send gets the outcome.
const RECORD_GRACE: Millis = Millis(30_000);

/// When to send the same ticket again after an unknown outcome.
const RETRY: Millis = Millis(1_000);

/// How a call ended.
type Outcome = Result<Arc<Answer>>;

/// A running call that senders wait for.
#[derive(Debug, Default)]
struct Slot {
    outcome: Mutex<Option<Outcome>>,
    ended: Event,
}

impl Slot {
    fn end(&self, outcome: Outcome) {
        *self.outcome.lock().unwrap_or_else(|e| e.into_inner()) = Some(outcome);
        self.ended.notify(usize::MAX);
    }

    async fn wait(&self) -> Outcome {
        loop {
            let ended = self.ended.listen();
            let outcome = self
                .outcome
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .clone();
            if let Some(outcome) = outcome {
                return outcome;
            }
            ended.await;
        }
    }
}

/// Running calls by their ticket; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    slots: Arc<Mutex<IndexMap<Ticket, Arc<Slot>>>>,
}

impl Runs {
    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<Ticket, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Runs a call or attaches to its run, and sends the outcome.
///
/// The run goes on when the sender has gone, because it may send again.
pub async fn run(agent: &Agent, request: proto::ServeRequest, frames: &mut Frames) -> Result<()> {
    let answer = settle(agent, request).await?;
    frames.recorded(agent, &answer).await
}

async fn settle(agent: &Agent, request: proto::ServeRequest) -> Outcome {
    let ticket = Ticket::parse(&request.ticket, &agent.secret)?;
    let print = print(&request);
    let known = agent.guard.lock().ledger.peek(&ticket).is_some();
    if known {
        let claim = agent.guard.lock().ledger.claim(now(agent), &ticket, print);
        return outcome(agent, &ticket, claim).await;
    }
    match guard::admit(agent, &request).await {
        Ok(permit) => {
            let claim = claim(agent, request, permit, &ticket, print);
            outcome(agent, &ticket, claim).await
        }
        Err(error) => {
            let claim = bar(agent, &ticket, Some(print));
            match claim {
                Claim::Known(State::Revoked) => Err(error),
                claim => outcome(agent, &ticket, claim).await,
            }
        }
    }
}

/// Claims the key and starts the run if this was the first claim.
fn claim(
    agent: &Agent,
    request: proto::ServeRequest,
    permit: Permit,
    ticket: &Ticket,
    print: Fingerprint,
) -> Claim {
    let mut core = agent.guard.lock();
    let claim = core.ledger.claim(now(agent), ticket, print);
    if claim == Claim::Run {
        let slot = Arc::new(Slot::default());
        agent.runs.lock().insert(ticket.clone(), slot.clone());
        drop(core);
        let (agent, ticket) = (agent.clone(), ticket.clone());
        rt::spawn(async move {
            let outcome = perform(&agent, request, &permit, &ticket, print).await;
            slot.end(outcome);
            agent.runs.lock().swap_remove(&ticket);
        })
        .detach();
    }
    claim
}

/// What a sender is told about its key.
async fn outcome(agent: &Agent, ticket: &Ticket, claim: Claim) -> Outcome {
    let unknown = |code, detail: &str| Err(Error::new(code, detail).with_run(Run::Unknown));
    match claim {
        Claim::Run | Claim::Known(State::Waiting | State::Running) => {
            let slot = agent.runs.lock().get(ticket).cloned();
            match slot {
                Some(slot) => slot.wait().await,
                // The run ended after the claim, so the ledger has its outcome.
                None => match agent.guard.lock().ledger.peek(ticket) {
                    Some(State::Done(Some(answer))) => Ok(answer.clone()),
                    Some(State::Revoked) => Err(Error::new(Code::KeyBarred, "not dispatched")),
                    _ => unknown(Code::OutcomeUnknown, "the run has just ended"),
                },
            }
        }
        Claim::Known(State::Done(Some(answer))) => Ok(answer),
        Claim::Known(State::Done(None)) => unknown(
            Code::OutcomeUnknown,
            "the call ran; its answer was not kept",
        ),
        Claim::Known(State::Lost) => unknown(
            Code::OutcomeUnknown,
            "the upstream broke off during the call",
        ),
        Claim::Known(State::Revoked) => Err(Error::new(Code::KeyBarred, "the key is barred")),
        Claim::Unknown(Code::OutcomeUnknown) => {
            let error = Error::new(Code::OutcomeUnknown, "the key cannot be recorded now");
            Err(error.with_run(Run::Unknown).with_retry(RETRY))
        }
        Claim::Unknown(code) => unknown(code, "the ticket is of another time or incarnation"),
        Claim::Mismatch => unknown(Code::TicketInvalid, "the ticket belongs to another request"),
    }
}

async fn perform(
    agent: &Agent,
    request: proto::ServeRequest,
    permit: &Permit,
    ticket: &Ticket,
    print: Fingerprint,
) -> Outcome {
    let refused = |error: Error| match bar(agent, ticket, Some(print)) {
        Claim::Known(State::Revoked) => Err(error),
        _ => Err(error.with_run(Run::Unknown)),
    };
    let _pass = match agent.gate.enter() {
        Ok(pass) => pass,
        Err(error) => return refused(error),
    };
    let mut turn = match serve::enter(agent, &request).await {
        Ok(turn) => turn,
        Err(error) => return refused(error),
    };
    let _active = match guard::dispatch(agent, permit, print) {
        Ok(active) => active,
        Err(error) => return refused(error),
    };
    if !agent.guard.lock().ledger.dispatch(ticket) {
        return Err(Error::new(Code::KeyBarred, "barred while it waited"));
    }
    let limit = permit.deadline().since(now(agent)).plus(RECORD_GRACE);
    let late = async {
        smol::Timer::after(limit.duration()).await;
        Err(serve::lost("no outcome in time"))
    };
    let stopped = async {
        agent.guard.aborted().await;
        Err(serve::lost("agent stopped"))
    };
    let ended = call(agent, request, permit.is_service(), turn.priority)
        .or(late)
        .or(stopped)
        .await;
    if ended.is_ok() {
        turn.done();
    }
    record(agent, ticket, print, ended)
}

fn record(agent: &Agent, ticket: &Ticket, print: Fingerprint, ended: Result<Answer>) -> Outcome {
    match ended {
        Ok(answer) => {
            let answer = Arc::new(answer);
            agent.guard.lock().ledger.finish(ticket, answer.clone());
            guard::succeeded(agent, &print);
            Ok(answer)
        }
        Err(error) if error.run == Run::NotRun => {
            agent.guard.lock().ledger.withdraw(ticket);
            Err(error)
        }
        Err(error) => {
            agent.guard.lock().ledger.lose(ticket);
            Err(error)
        }
    }
}

/// Sends the call once and reads its answer whole.
///
/// An error with [`Run::NotRun`] means that nothing was written to the upstream.
async fn call(
    agent: &Agent,
    request: proto::ServeRequest,
    is_service: bool,
    priority: i32,
) -> Result<Answer> {
    let digest = request.digest.clone();
    let kind = match is_service {
        true => Kind::Service,
        false => Kind::Engine,
    };
    let message = serve::engine_request(agent, request, kind, priority)?;
    let answer = agent.engine.forward(message).await.map_err(serve::broken)?;
    let (response, kept) = Client::split(answer);
    let (parts, incoming) = response.into_parts();
    let body = read(incoming).await?;
    agent.engine.give_back(kept);
    if !is_service && parts.status.is_success() {
        serve::check_whole(agent, &body, &digest)?;
    }
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| serve::is_end_to_end(name.as_str()))
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    Ok(Answer {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body,
    })
}

async fn read(incoming: Incoming) -> Result<Bytes> {
    body::read(incoming, MAX_ANSWER).await.map_err(serve::lost)
}

/// Answers [`proto::agent_server::Agent::resolve`]: bars the key if it has not run.
pub fn resolve(agent: &Agent, text: &str) -> proto::ResolveReply {
    let Ok(ticket) = Ticket::parse(text, &agent.secret) else {
        return proto::ResolveReply::default();
    };
    let (state, frames) = match bar(agent, &ticket, None) {
        Claim::Known(State::Waiting | State::Running) => (proto::KeyState::KeyRunning, Vec::new()),
        Claim::Known(State::Done(Some(answer))) => (
            proto::KeyState::KeyDone,
            frames::recorded_frames(agent, &answer),
        ),
        Claim::Known(State::Revoked) => (proto::KeyState::KeyBarred, Vec::new()),
        _ => (proto::KeyState::KeyUnknown, Vec::new()),
    };
    proto::ResolveReply {
        state: state.into(),
        frames,
    }
}

fn bar(agent: &Agent, ticket: &Ticket, print: Option<Fingerprint>) -> Claim {
    agent.guard.lock().ledger.revoke(now(agent), ticket, print)
}

/// Fingerprint of a request.
pub fn print(request: &proto::ServeRequest) -> Fingerprint {
    suspect::fingerprint(
        &request.organisation,
        &request.method,
        &request.path,
        &request.body,
    )
}

fn now(agent: &Agent) -> Millis {
    agent.node.clock.now()
}
