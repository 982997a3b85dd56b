//! The agent's decision state behind one lock: admission, ledger, drain, suspects.

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

/// Interval of ticks; far below the step of time that makes the view stale.
const TICK: Duration = Duration::from_millis(250);

/// Interval at which a stop looks whether running work has ended.
const STOP_TICK: Duration = Duration::from_millis(20);

/// Time for one source of tables in a refresh.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the result of a refresh serves further requests.
const REFRESH_GAP: Millis = Millis(500);

/// Time in which broken answers with one fingerprint count as one crash.
const CRASH_WINDOW: Millis = Millis(2_000);

/// Drain time before the tables are known.
const DEFAULT_DRAIN: Millis = Millis(30_000);

/// Decision state; only its methods and the booking task use it.
#[derive(Debug)]
pub struct Core {
    /// Admission.
    pub gate: gate::Gate,
    /// Calls that may not be repeated.
    pub ledger: Ledger,
    /// Reasons to leave and phase of a stop.
    pub drain: Drain,
    /// Crashes of the own engine. Not sent to peers: the entries count the same ones.
    local: Suspects,
    /// When a crash was last reported for a fingerprint.
    reported: IndexMap<Fingerprint, Millis>,
    suspects_running: usize,
}

/// Decision state of one agent; clones share it.
#[derive(Clone, Debug)]
pub struct Guard {
    core: Arc<Mutex<Core>>,
    refreshed: Arc<smol::lock::Mutex<Millis>>,
    abort: Sender<()>,
    aborted: Receiver<()>,
}

/// A dispatched request; dropping it ends it.
#[derive(Debug)]
pub struct Active {
    guard: Guard,
    is_suspect: bool,
}

impl Drop for Active {
    fn drop(&mut self) {
        let mut core = self.guard.lock();
        core.gate.end();
        core.suspects_running -= usize::from(self.is_suspect);
    }
}

impl Guard {
    /// The state of a fresh incarnation.
    pub fn new(settings: &AgentSettings, incarnation: u64, now: Millis) -> Guard {
        let (abort, aborted) = smol::channel::bounded(1);
        let limits = Limits {
            max_records: settings.max_keys,
            max_bytes: settings.answers_mb << 20,
            ..Limits::default()
        };
        let core = Core {
            gate: gate::Gate::new(now),
            ledger: Ledger::new(&settings.node.name, incarnation, limits),
            drain: Drain::new(DEFAULT_DRAIN),
            local: Suspects::default(),
            reported: IndexMap::new(),
            suspects_running: 0,
        };
        Guard {
            core: Arc::new(Mutex::new(core)),
            refreshed: Arc::default(),
            abort,
            aborted,
        }
    }

    /// The state itself, locked; not to be held across a wait.
    pub fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// True while new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.lock().drain.is_leaving()
    }

    /// Completes when the remaining work of a stop is to end.
    pub async fn aborted(&self) {
        let _ = self.aborted.recv().await;
    }

    /// Ends the remaining work of a stop.
    pub fn abort(&self) {
        self.abort.close();
    }

    /// Counts, for operators.
    pub fn dump(&self) -> Value {
        let core = self.lock();
        let reason = core.drain.reason().map(|r| format!("{r:?}").to_lowercase());
        let phase = format!("{:?}", core.drain.phase()).to_lowercase();
        json!({
            "dispatched": core.gate.running(),
            "serving": core.gate.is_serving(),
            "stale": core.gate.is_stale(),
            "leaving": reason,
            "phase": phase,
            "keys": core.ledger.len(),
            "answer_bytes": core.ledger.bytes(),
            "suspects": core.local.len(),
        })
    }
}

/// Admits a request, after a refresh where its tables or the time ask for one.
pub async fn admit(agent: &Agent, request: &proto::ServeRequest) -> Result<Permit> {
    let now = agent.node.clock.now();
    let ask = AdmitRequest {
        pool: request.pool.clone(),
        model: request.model.clone(),
        digest: request.digest.clone(),
        revision: request.revision,
        deadline: now.plus(Millis(request.remaining_ms)),
    };
    let mut verdict = decide(agent, &ask, false);
    if verdict == Verdict::Refresh {
        refresh(agent).await;
        verdict = decide(agent, &ask, true);
    }
    match verdict {
        Verdict::Admit(permit) => Ok(permit),
        Verdict::Refuse(code) => Err(refusal(agent, code)),
        Verdict::Refresh => Err(refusal(agent, Code::UpstreamBusy)),
    }
}

fn decide(agent: &Agent, ask: &AdmitRequest, refreshed: bool) -> Verdict {
    let mut core = agent.guard.lock();
    sync(agent, &mut core);
    core.gate.admit(agent.node.clock.now(), ask, refreshed)
}

/// Checks an admitted request again and counts it as running at the upstream.
pub fn dispatch(agent: &Agent, permit: &Permit, print: Fingerprint) -> Result<Active> {
    let now = agent.node.clock.now();
    let mut core = agent.guard.lock();
    sync(agent, &mut core);
    if core.local.is_blocked(now, &print) {
        let after = core.local.remaining(now, &print);
        return Err(refusal(agent, Code::RequestBlocked).with_retry(after));
    }
    let is_suspect =
        core.local.is_suspect(now, &print) || agent.node.suspects.is_suspect(now, &print);
    if is_suspect && core.suspects_running > 0 {
        return Err(refusal(agent, Code::UpstreamBusy));
    }
    let dispatched = core.gate.dispatch(now, permit);
    dispatched.map_err(|code| refusal(agent, code))?;
    core.suspects_running += usize::from(is_suspect);
    Ok(Active {
        guard: agent.guard.clone(),
        is_suspect,
    })
}

fn refusal(agent: &Agent, code: Code) -> Error {
    Error::new(code, format!("at {}", agent.node.settings.name))
}

/// Notes that the upstream broke off; true when this attempt reports the crash.
pub fn crashed(agent: &Agent, print: Fingerprint, attempt: u64) -> bool {
    let now = agent.node.clock.now();
    let mut core = agent.guard.lock();
    core.reported.retain(|_, at| now.since(*at) < CRASH_WINDOW);
    if core.reported.insert(print, now).is_some() {
        return false;
    }
    core.local.record_crash(now, print, attempt);
    true
}

/// Notes that a request succeeded.
pub fn succeeded(agent: &Agent, print: &Fingerprint) {
    let now = agent.node.clock.now();
    agent.guard.lock().local.record_success(now, print);
    agent.node.suspects.record_success(now, print);
}

/// Brings tables and engine state, as the other tasks know them, into the gate.
pub fn sync(agent: &Agent, core: &mut Core) {
    let now = agent.node.clock.now();
    let assignment = agent.assignment();
    let mut out = Vec::new();
    // Before any table is known there is no work and no reason to leave.
    let unlisted = assignment.is_none() && agent.node.in_force.get().is_some();
    let drain = assignment.as_ref().map_or(unlisted, |d| d.drain);
    core.drain
        .on_event(now, drain::Event::Table(drain), &mut out);
    if let Some(assignment) = &assignment {
        let bound = drain::Event::DrainTime(Millis(assignment.drain_s * 1_000));
        core.drain.on_event(now, bound, &mut out);
    }
    let leaving = core.drain.is_leaving();
    core.gate.set_leaving(now, leaving);
    core.gate.set_pool(assignment.map(|assignment| OwnPool {
        pool: assignment.pool,
        model: assignment.model,
        revision: assignment.fence,
        is_service: assignment.kind == Kind::Service,
    }));
    match agent.loaded.digest() {
        Some(digest) => {
            let reading = core.gate.engine_epoch();
            core.gate.set_verified(&digest);
            core.gate.set_engine(reading, &digest, 0);
        }
        None => core.gate.invalidate_engine(),
    }
    carry_out(agent, &out);
}

fn carry_out(agent: &Agent, actions: &[Action]) {
    for action in actions {
        match action {
            Action::Refuse => {
                slog::info!(agent.node.logger(Component::Gate), "new work is refused")
            }
            Action::Serve => slog::info!(agent.node.logger(Component::Gate), "work is taken again"),
            Action::Abort => {
                slog::warn!(
                    agent.node.logger(Component::Gate),
                    "time is up, requests are ended"
                );
                agent.guard.abort();
            }
            Action::Exit => slog::info!(agent.node.logger(Component::Gate), "done"),
        }
    }
}

/// Asks peers, or the platform without any, for the tables again and notes that the view is fresh.
///
/// When no source answers the last tables stay in force, as for a cut-off zone.
pub async fn refresh(agent: &Agent) {
    let mut last = agent.guard.refreshed.lock().await;
    let now = agent.node.clock.now();
    if now.since(*last) >= REFRESH_GAP || last.0 == 0 {
        agent.node.table_sync.refresh(REFRESH_TIMEOUT).await;
        *last = agent.node.clock.now();
    }
    let mut core = agent.guard.lock();
    sync(agent, &mut core);
    core.gate.record_refresh(agent.node.clock.now());
}

/// Ticks the decision state for as long as the process runs.
pub async fn keep(agent: Agent) {
    loop {
        smol::Timer::after(TICK).await;
        if tick(&agent) {
            slog::info!(
                agent.node.logger(Component::Gate),
                "time jumped, tables are read again"
            );
            refresh(&agent).await;
        }
    }
}

/// True when the view is stale.
fn tick(agent: &Agent) -> bool {
    let now = agent.node.clock.now();
    let live = agent.node.table_sync.live();
    let own = agent.node.settings.rpc;
    let listed = live.vms.values().any(|vm| vm.rpc == own && vm.leaving);
    let mut core = agent.guard.lock();
    core.gate.observe(now);
    core.ledger.tick(now);
    core.local.tick(now);
    let mut out = Vec::new();
    core.drain
        .on_event(now, drain::Event::List(listed), &mut out);
    carry_out(agent, &out);
    sync(agent, &mut core);
    core.gate.is_stale()
}

/// Refuses new work and returns when running work has ended or the drain time is over.
pub async fn stop(agent: &Agent) {
    let mut events = vec![drain::Event::Stop];
    while !step(agent, std::mem::take(&mut events)) {
        smol::Timer::after(STOP_TICK).await;
    }
}

/// Feeds the drain; true when the process may exit.
fn step(agent: &Agent, events: Vec<drain::Event>) -> bool {
    let now = agent.node.clock.now();
    let work = drain::Event::Work(agent.gate.running());
    let mut out = Vec::new();
    let mut core = agent.guard.lock();
    for event in [work].into_iter().chain(events) {
        core.drain.on_event(now, event, &mut out);
    }
    let leaving = core.drain.is_leaving();
    core.gate.set_leaving(now, leaving);
    let is_over = core.drain.phase() == drain::Phase::Exit;
    drop(core);
    carry_out(agent, &out);
    is_over
}
