//! Calls with a ticket: each runs at most once, in a task of its own, and every send of the
//! same ticket is answered with its outcome.

use std::sync::Mutex;

use event_listener::Event;
use hyper::body::Incoming;
use smol::future::FutureExt;

use crate::agent::Agent;
use crate::agent::admission;
use crate::agent::frames;
use crate::agent::frames::FrameWriter;
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

/// Largest answer that is forwarded, in bytes; the ledger's own limit is lower.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Time after the caller's deadline in which an outcome is still recorded.
///
/// The caller has been told by then that the outcome is unknown, but may send again for it.
const RECORD_GRACE: Millis = Millis(30_000);

/// Time after which the caller may send the same ticket again when the outcome is unknown.
const RETRY_AFTER: Millis = Millis(1_000);

/// How a call ended: its answer or an error.
type Outcome = Result<Arc<Answer>>;

/// A running call, for whose outcome its senders wait.
#[derive(Debug, Default)]
struct RunningCall {
    outcome: Mutex<Option<Outcome>>,
    ended: Event,
}

impl RunningCall {
    /// Sets the outcome and wakes the senders.
    fn finish(&self, outcome: Outcome) {
        *self.outcome.lock().unwrap_or_else(|e| e.into_inner()) = Some(outcome);
        self.ended.notify(usize::MAX);
    }

    /// Waits for the outcome.
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
pub struct RunningCalls {
    calls: Arc<Mutex<IndexMap<Ticket, Arc<RunningCall>>>>,
}

impl RunningCalls {
    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<Ticket, Arc<RunningCall>>> {
        self.calls.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Starts the call or attaches to its run, and sends the outcome.
///
/// The run continues when the sender has gone, because it may send the ticket again.
pub async fn run(
    agent: &Agent,
    request: proto::ServeRequest,
    frames: &mut FrameWriter,
) -> Result<()> {
    let answer = run_or_attach(agent, request).await?;
    frames.send_recorded(agent, &answer).await
}

/// Starts the call or attaches to its run, and waits for the outcome.
async fn run_or_attach(agent: &Agent, request: proto::ServeRequest) -> Outcome {
    let ticket = Ticket::parse(&request.ticket, &agent.secret)?;
    let fingerprint = fingerprint(&request);
    let known = agent.admission.lock().ledger.peek(&ticket).is_some();
    if known {
        let claim = agent
            .admission
            .lock()
            .ledger
            .claim(now(agent), &ticket, fingerprint);
        return outcome_of(agent, &ticket, claim).await;
    }
    match admission::admit(agent, &request).await {
        Ok(permit) => {
            let claim = claim_and_start(agent, request, permit, &ticket, fingerprint);
            outcome_of(agent, &ticket, claim).await
        }
        Err(error) => {
            let claim = revoke_key(agent, &ticket, Some(fingerprint));
            match claim {
                Claim::Known(State::Barred) => Err(error),
                claim => outcome_of(agent, &ticket, claim).await,
            }
        }
    }
}

/// Claims the key in the ledger, and starts the run if this is the first claim.
fn claim_and_start(
    agent: &Agent,
    request: proto::ServeRequest,
    permit: Permit,
    ticket: &Ticket,
    fingerprint: Fingerprint,
) -> Claim {
    let mut state = agent.admission.lock();
    let claim = state.ledger.claim(now(agent), ticket, fingerprint);
    if claim == Claim::Run {
        let running = Arc::new(RunningCall::default());
        agent
            .running_calls
            .lock()
            .insert(ticket.clone(), running.clone());
        drop(state);
        let (agent, ticket) = (agent.clone(), ticket.clone());
        rt::spawn(async move {
            let outcome = run_call(&agent, request, &permit, &ticket, fingerprint).await;
            running.finish(outcome);
            agent.running_calls.lock().swap_remove(&ticket);
        })
        .detach();
    }
    claim
}

/// Waits for the outcome of a claimed key, or returns why it is not known.
async fn outcome_of(agent: &Agent, ticket: &Ticket, claim: Claim) -> Outcome {
    let unknown = |code, detail: &str| Err(Error::new(code, detail).with_run(Run::Unknown));
    match claim {
        Claim::Run | Claim::Known(State::Waiting | State::Running) => {
            let running = agent.running_calls.lock().get(ticket).cloned();
            match running {
                Some(running) => running.wait().await,
                // The run has ended since the claim, so the ledger has its outcome.
                None => match agent.admission.lock().ledger.peek(ticket) {
                    Some(State::Done(Some(answer))) => Ok(answer.clone()),
                    Some(State::Barred) => {
                        Err(Error::new(Code::KeyBarred, "the call was not dispatched"))
                    }
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
        Claim::Known(State::Barred) => Err(Error::new(
            Code::KeyBarred,
            "the key is barred; its call was not run",
        )),
        Claim::Unknown(Code::OutcomeUnknown) => {
            let error = Error::new(Code::OutcomeUnknown, "the key cannot be recorded now");
            Err(error.with_run(Run::Unknown).with_retry(RETRY_AFTER))
        }
        Claim::Unknown(code) => unknown(
            code,
            "the ticket is of another incarnation, or its age is out of bounds",
        ),
        Claim::Mismatch => unknown(Code::TicketInvalid, "the ticket belongs to another request"),
    }
}

/// Waits for a slot, dispatches the call once and records its outcome.
///
/// A call that is refused before its dispatch is barred, so that it never runs.
async fn run_call(
    agent: &Agent,
    request: proto::ServeRequest,
    permit: &Permit,
    ticket: &Ticket,
    fingerprint: Fingerprint,
) -> Outcome {
    let refused = |error: Error| match revoke_key(agent, ticket, Some(fingerprint)) {
        Claim::Known(State::Barred) => Err(error),
        _ => Err(error.with_run(Run::Unknown)),
    };
    let _in_flight = match agent.in_flight.enter() {
        Ok(in_flight) => in_flight,
        Err(error) => return refused(error),
    };
    let mut slot = match serve::wait_for_slot(agent, &request).await {
        Ok(slot) => slot,
        Err(error) => return refused(error),
    };
    let _dispatched = match admission::dispatch(agent, permit, fingerprint) {
        Ok(dispatched) => dispatched,
        Err(error) => return refused(error),
    };
    if !agent.admission.lock().ledger.dispatch(ticket) {
        return Err(Error::new(
            Code::KeyBarred,
            "the key was barred while the call waited",
        ));
    }
    let limit = permit.deadline().since(now(agent)).plus(RECORD_GRACE);
    let late = async {
        smol::Timer::after(limit.duration()).await;
        Err(serve::upstream_lost("no outcome in time"))
    };
    let stopped = async {
        agent.admission.aborted().await;
        Err(serve::upstream_lost("the agent has stopped"))
    };
    let ended = send_call(agent, request, permit.is_service(), slot.priority)
        .or(late)
        .or(stopped)
        .await;
    if ended.is_ok() {
        slot.complete();
    }
    record_outcome(agent, ticket, fingerprint, ended)
}

/// Records how a dispatched call ended.
fn record_outcome(
    agent: &Agent,
    ticket: &Ticket,
    fingerprint: Fingerprint,
    ended: Result<Answer>,
) -> Outcome {
    match ended {
        Ok(answer) => {
            let answer = Arc::new(answer);
            agent.admission.lock().ledger.finish(ticket, answer.clone());
            admission::record_success(agent, &fingerprint);
            Ok(answer)
        }
        Err(error) if error.run == Run::NotRun => {
            agent.admission.lock().ledger.withdraw(ticket);
            Err(error)
        }
        Err(error) => {
            agent.admission.lock().ledger.lose(ticket);
            Err(error)
        }
    }
}

/// Sends the call once and reads its answer whole.
///
/// An error with [`Run::NotRun`] means that nothing was written to the upstream.
async fn send_call(
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
    let message = serve::upstream_request(agent, request, kind, priority)?;
    let answer = agent
        .engine
        .forward(message)
        .await
        .map_err(serve::send_error)?;
    let (response, _connection) = Client::split(answer);
    let (parts, incoming) = response.into_parts();
    let body = read_body(incoming).await?;
    if !is_service && parts.status.is_success() {
        serve::check_answer(agent, &body, &digest)?;
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

/// Reads the body of an answer whole.
async fn read_body(incoming: Incoming) -> Result<Bytes> {
    body::read(incoming, MAX_ANSWER_BYTES)
        .await
        .map_err(serve::upstream_lost)
}

/// Answers [`proto::agent_server::Agent::resolve`], for a sender that lost its connection.
///
/// Bars the key if its call has not been dispatched, so that the answer stays true.
pub fn resolve(agent: &Agent, text: &str) -> proto::ResolveReply {
    let Ok(ticket) = Ticket::parse(text, &agent.secret) else {
        return proto::ResolveReply::default();
    };
    let (state, frames) = match revoke_key(agent, &ticket, None) {
        Claim::Known(State::Waiting | State::Running) => (proto::KeyState::KeyRunning, Vec::new()),
        Claim::Known(State::Done(Some(answer))) => (
            proto::KeyState::KeyDone,
            frames::recorded_frames(agent, &answer),
        ),
        Claim::Known(State::Barred) => (proto::KeyState::KeyBarred, Vec::new()),
        _ => (proto::KeyState::KeyUnknown, Vec::new()),
    };
    proto::ResolveReply {
        state: state.into(),
        frames,
    }
}

/// Bars a key in the ledger unless its call has been dispatched.
fn revoke_key(agent: &Agent, ticket: &Ticket, fingerprint: Option<Fingerprint>) -> Claim {
    agent
        .admission
        .lock()
        .ledger
        .bar(now(agent), ticket, fingerprint)
}

/// Fingerprint of a request.
pub fn fingerprint(request: &proto::ServeRequest) -> Fingerprint {
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
