//! Admission at the agent: the state that decides whether a request may run, behind one lock.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::agent::Agent;
use crate::config::AgentSettings;
use crate::gate;
use crate::gate::AdmitRequest;
use crate::gate::OwnPool;
use crate::gate::Permit;
use crate::gate::Suspects;
use crate::gate::admit::Verdict;
use crate::gate::drain;
use crate::gate::drain::Action;
use crate::gate::drain::Drain;
use crate::log::Component;
use crate::once::Fingerprint;
use crate::once::Ledger;
use crate::once::Limits;
use crate::prelude::*;
use crate::proto;
use crate::table::doc::Kind;

/// Interval of ticks; far shorter than the jump in time after which the tables count as stale.
const TICK: Duration = Duration::from_millis(250);

/// Interval at which a stopping agent checks whether running work has ended.
const STOP_TICK: Duration = Duration::from_millis(20);

/// Longest time of a refresh of the tables.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which requests share the result of one refresh.
const REFRESH_GAP: Millis = Millis(500);

/// Time in which broken answers to requests with one fingerprint count as one crash.
const CRASH_WINDOW: Millis = Millis(2_000);

/// Drain time until the tables name one.
const DEFAULT_DRAIN: Millis = Millis(30_000);

/// State that admission decides by.
#[derive(Debug)]
pub struct AdmissionState {
    /// Decides which requests may be dispatched.
    pub gate: gate::Gate,
    /// Records of the calls with a ticket.
    pub ledger: Ledger,
    /// Why the agent refuses new work, and how far a stop has come.
    pub drain: Drain,
    /// Suspects from crashes of this agent's engine; not sent to peers, because entries count the
    /// same crashes.
    own_suspects: Suspects,
    /// Time of the last broken answer to a request with this fingerprint.
    last_crashes: IndexMap<Fingerprint, Millis>,
    /// Number of suspects that are running; at most one at a time, so that a second crash
    /// does not block requests that only ran beside the cause.
    suspects_running: usize,
}

/// Admission state of one agent; clones share it.
#[derive(Clone, Debug)]
pub struct Admission {
    state: Arc<Mutex<AdmissionState>>,
    /// Time of the last refresh of the tables.
    last_refresh: Arc<smol::lock::Mutex<Millis>>,
    /// Closed when the drain time of a stop is over.
    abort: Sender<()>,
    aborted: Receiver<()>,
}

/// Counts one request as dispatched until it is dropped.
#[derive(Debug)]
pub struct Dispatched {
    admission: Admission,
    is_suspect: bool,
}

impl Drop for Dispatched {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        state.gate.end();
        state.suspects_running -= usize::from(self.is_suspect);
    }
}

impl Admission {
    /// Creates the state of an agent that has just started.
    pub fn new(settings: &AgentSettings, incarnation: u64, now: Millis) -> Admission {
        let (abort, aborted) = smol::channel::bounded(1);
        let limits = Limits {
            max_records: settings.max_keys,
            max_bytes: settings.answers_mb << 20,
            ..Limits::default()
        };
        let state = AdmissionState {
            gate: gate::Gate::new(now),
            ledger: Ledger::new(&settings.node.name, incarnation, limits),
            drain: Drain::new(DEFAULT_DRAIN),
            own_suspects: Suspects::default(),
            last_crashes: IndexMap::new(),
            suspects_running: 0,
        };
        Admission {
            state: Arc::new(Mutex::new(state)),
            last_refresh: Arc::default(),
            abort,
            aborted,
        }
    }

    /// Locks the state; the lock must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// True while new work is refused because the agent leaves.
    pub fn is_leaving(&self) -> bool {
        self.lock().drain.is_leaving()
    }

    /// Waits until the requests that still run during a stop must end.
    pub async fn aborted(&self) {
        let _ = self.aborted.recv().await;
    }

    /// Ends the requests that still run during a stop.
    pub fn abort(&self) {
        self.abort.close();
    }

    /// Returns the state as JSON, for operators.
    pub fn dump(&self) -> Value {
        let state = self.lock();
        let reason = state
            .drain
            .reason()
            .map(|r| format!("{r:?}").to_lowercase());
        let phase = format!("{:?}", state.drain.phase()).to_lowercase();
        json!({
            "dispatched": state.gate.running(),
            "serving": state.gate.is_serving(),
            "stale": state.gate.is_stale(),
            "leaving": reason,
            "phase": phase,
            "keys": state.ledger.len(),
            "answer_bytes": state.ledger.bytes(),
            "suspects": state.own_suspects.len(),
        })
    }
}

/// Admits a request or refuses it.
///
/// Refreshes the tables first if the request was sent under newer ones or if they are stale.
pub async fn admit(agent: &Agent, request: &proto::ServeRequest) -> Result<Permit> {
    let now = agent.node.clock.now();
    let admit_request = AdmitRequest {
        pool: request.pool.clone(),
        model: request.model.clone(),
        digest: request.digest.clone(),
        revision: request.revision,
        deadline: now.plus(Millis(request.remaining_ms)),
    };
    let mut verdict = decide(agent, &admit_request, false);
    if verdict == Verdict::Refresh {
        refresh(agent).await;
        verdict = decide(agent, &admit_request, true);
    }
    match verdict {
        Verdict::Admit(permit) => Ok(permit),
        Verdict::Refuse(code) => Err(refusal(agent, code)),
        Verdict::Refresh => Err(refusal(agent, Code::UpstreamBusy)),
    }
}

/// Decides with the present tables; `refreshed` is true after a refresh for this request.
fn decide(agent: &Agent, admit_request: &AdmitRequest, refreshed: bool) -> Verdict {
    let mut state = agent.admission.lock();
    update(agent, &mut state);
    state
        .gate
        .admit(agent.node.clock.now(), admit_request, refreshed)
}

/// Checks an admitted request again once it has a slot, and counts it as running.
///
/// Only one suspect runs at a time.
pub fn dispatch(agent: &Agent, permit: &Permit, fingerprint: Fingerprint) -> Result<Dispatched> {
    let now = agent.node.clock.now();
    let mut state = agent.admission.lock();
    update(agent, &mut state);
    if state.own_suspects.is_blocked(now, &fingerprint) {
        let after = state.own_suspects.remaining(now, &fingerprint);
        return Err(refusal(agent, Code::RequestBlocked).with_retry(after));
    }
    let is_suspect = state.own_suspects.is_suspect(now, &fingerprint)
        || agent.node.suspects.is_suspect(now, &fingerprint);
    if is_suspect && state.suspects_running > 0 {
        return Err(refusal(agent, Code::UpstreamBusy));
    }
    let dispatched = state.gate.dispatch(now, permit);
    dispatched.map_err(|code| refusal(agent, code))?;
    state.suspects_running += usize::from(is_suspect);
    Ok(Dispatched {
        admission: agent.admission.clone(),
        is_suspect,
    })
}

/// An error with which this agent refuses a request.
fn refusal(agent: &Agent, code: Code) -> Error {
    Error::new(code, format!("at {}", agent.node.settings.name))
}

/// Records that the upstream broke off during a request.
///
/// Returns true when this attempt counts as the crash, and false for further broken answers to
/// the same request within [`CRASH_WINDOW`].
pub fn record_crash(agent: &Agent, fingerprint: Fingerprint, attempt: u64) -> bool {
    let now = agent.node.clock.now();
    let mut state = agent.admission.lock();
    state
        .last_crashes
        .retain(|_, at| now.since(*at) < CRASH_WINDOW);
    if state.last_crashes.insert(fingerprint, now).is_some() {
        return false;
    }
    state.own_suspects.record_crash(now, fingerprint, attempt);
    true
}

/// Records that a request succeeded, which clears its suspicion.
pub fn record_success(agent: &Agent, fingerprint: &Fingerprint) {
    let now = agent.node.clock.now();
    agent
        .admission
        .lock()
        .own_suspects
        .record_success(now, fingerprint);
    agent.node.suspects.record_success(now, fingerprint);
}

/// Updates admission from the tables in force and the confirmed version of the engine.
pub fn update(agent: &Agent, state: &mut AdmissionState) {
    let now = agent.node.clock.now();
    let assignment = agent.assignment();
    let mut out = Vec::new();
    // Without tables there is no work and no reason to leave; an agent that the tables do not
    // list drains.
    let is_unlisted = assignment.is_none() && agent.node.in_force.get().is_some();
    let drain = assignment.as_ref().map_or(is_unlisted, |d| d.drain);
    state
        .drain
        .on_event(now, drain::Event::Table(drain), &mut out);
    if let Some(assignment) = &assignment {
        let bound = drain::Event::DrainTime(Millis(assignment.drain_s * 1_000));
        state.drain.on_event(now, bound, &mut out);
    }
    let leaving = state.drain.is_leaving();
    state.gate.set_leaving(now, leaving);
    state.gate.set_pool(assignment.map(|assignment| OwnPool {
        pool: assignment.pool,
        model: assignment.model,
        revision: assignment.fence,
        is_service: assignment.kind == Kind::Service,
    }));
    match agent.loaded.digest() {
        Some(digest) => {
            let epoch = state.gate.engine_epoch();
            state.gate.set_verified(&digest);
            state.gate.set_engine(epoch, &digest, 0);
        }
        None => state.gate.invalidate_engine(),
    }
    carry_out(agent, &out);
}

/// Carries out the actions of the drain.
fn carry_out(agent: &Agent, actions: &[Action]) {
    for action in actions {
        match action {
            Action::Refuse => {
                slog::info!(
                    agent.node.logger(Component::Gate),
                    "new requests are refused"
                )
            }
            Action::Serve => slog::info!(
                agent.node.logger(Component::Gate),
                "new requests are admitted again"
            ),
            Action::Abort => {
                slog::warn!(
                    agent.node.logger(Component::Gate),
                    "drain time is over, running requests are ended"
                );
                agent.admission.abort();
            }
            Action::Exit => slog::info!(agent.node.logger(Component::Gate), "done"),
        }
    }
}

/// Asks peers for newer tables, or the platform when there are no peers, and counts the tables
/// as fresh.
///
/// When no source answers, the last tables stay in force, as in a zone that is cut off.
pub async fn refresh(agent: &Agent) {
    let mut last = agent.admission.last_refresh.lock().await;
    let now = agent.node.clock.now();
    if now.since(*last) >= REFRESH_GAP || last.0 == 0 {
        agent.node.table_sync.refresh(REFRESH_TIMEOUT).await;
        *last = agent.node.clock.now();
    }
    let mut state = agent.admission.lock();
    update(agent, &mut state);
    state.gate.record_refresh(agent.node.clock.now());
}

/// Updates the admission state at intervals, and refreshes stale tables, until the task is
/// dropped.
pub async fn run(agent: Agent) {
    loop {
        smol::Timer::after(TICK).await;
        if tick(&agent) {
            slog::info!(
                agent.node.logger(Component::Gate),
                "the process was paused, tables are refreshed"
            );
            refresh(&agent).await;
        }
    }
}

/// Feeds the time, the live list and the tables into the state; true when the tables are stale.
fn tick(agent: &Agent) -> bool {
    let now = agent.node.clock.now();
    let live = agent.node.table_sync.live();
    let own_addr = agent.node.settings.rpc;
    let is_leaving = live.vms.values().any(|vm| vm.rpc == own_addr && vm.leaving);
    let mut state = agent.admission.lock();
    state.gate.observe(now);
    state.ledger.tick(now);
    state.own_suspects.tick(now);
    let mut out = Vec::new();
    state
        .drain
        .on_event(now, drain::Event::List(is_leaving), &mut out);
    carry_out(agent, &out);
    update(agent, &mut state);
    state.gate.is_stale()
}

/// Refuses new work and returns when running work has ended or the drain time is over.
pub async fn stop(agent: &Agent) {
    let mut events = vec![drain::Event::Stop];
    while !advance_drain(agent, std::mem::take(&mut events)) {
        smol::Timer::after(STOP_TICK).await;
    }
}

/// Feeds the work in progress and `events` into the drain; true when the process may exit.
fn advance_drain(agent: &Agent, events: Vec<drain::Event>) -> bool {
    let now = agent.node.clock.now();
    let work = drain::Event::Work(agent.in_flight.running());
    let mut out = Vec::new();
    let mut state = agent.admission.lock();
    for event in [work].into_iter().chain(events) {
        state.drain.on_event(now, event, &mut out);
    }
    let leaving = state.drain.is_leaving();
    state.gate.set_leaving(now, leaving);
    let is_over = state.drain.phase() == drain::Phase::Exit;
    drop(state);
    carry_out(agent, &out);
    is_over
}
