//! Brings the engine to the version that the tables name.

use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexSet;
use smol::future::FutureExt;

use crate::agent::Agent;
use crate::agent::Assignment;
use crate::agent::turns;
use crate::agent::weights;
use crate::log::Component;
use crate::prelude::*;
use crate::rollout::turn;
use crate::table::doc::Kind;

/// Interval at which the engine's state is reread.
const REREAD: Duration = Duration::from_millis(500);

/// Pause after a failed pull or load.
const PAUSE: Duration = Duration::from_secs(1);

/// The version that the engine has confirmed; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    digest: Option<String>,
    /// Counts the events after which an earlier report of the engine is void.
    reading: u64,
    /// Version that the tables name, and since when.
    wanted: Option<(String, Millis)>,
    /// Failed loads of that version.
    failures: u32,
    /// Agents seen on the pool's version under this table revision.
    done: (u64, IndexSet<String>),
}

impl Loaded {
    /// The confirmed digest; none while it is not known.
    pub fn digest(&self) -> Option<String> {
        self.lock().digest.clone()
    }

    /// Closes admission until the engine's state has been read again.
    pub fn doubt(&self) {
        let mut state = self.lock();
        state.digest = None;
        state.reading += 1;
    }

    /// Number to take before the engine's state is read, for [`Loaded::confirm`].
    pub fn reading(&self) -> u64 {
        self.lock().reading
    }

    /// Records what the engine reports, unless it came into doubt since the reading began.
    pub fn confirm(&self, reading: u64, digest: String) {
        let mut state = self.lock();
        if state.reading == reading {
            state.digest = Some(digest);
        }
    }

    /// Notes the version that the tables name; the result is since when.
    pub fn want(&self, now: Millis, digest: &str) -> Millis {
        let mut state = self.lock();
        if let Some((held, since)) = &state.wanted
            && held == digest
        {
            return *since;
        }
        state.wanted = Some((digest.to_string(), now));
        state.failures = 0;
        now
    }

    /// Failed loads of `digest` here, while the tables name it.
    pub fn failures(&self, digest: &str) -> u32 {
        let state = self.lock();
        match &state.wanted {
            Some((held, _)) if held == digest => state.failures,
            _ => 0,
        }
    }

    /// True when `name` was seen on the pool's version under `revision`.
    pub fn is_done(&self, revision: u64, name: &str) -> bool {
        let state = self.lock();
        state.done.0 == revision && state.done.1.contains(name)
    }

    /// Notes that `name` is on the pool's version under `revision`.
    pub fn note_done(&self, revision: u64, name: &str) {
        let mut state = self.lock();
        if state.done.0 != revision {
            state.done = (revision, IndexSet::new());
        }
        state.done.1.insert(name.to_string());
    }

    fn failed(&self) {
        self.lock().failures += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Keeps the engine at the wanted version for as long as the process runs.
pub async fn keep(agent: Agent) {
    loop {
        let changed = agent.node.in_force.listen();
        if let Err(error) = step(&agent).await {
            slog::warn!(agent.node.logger(Component::Load), "step failed"; "error" => %error);
            smol::Timer::after(PAUSE).await;
            continue;
        }
        let tick = async {
            smol::Timer::after(REREAD).await;
        };
        changed.or(tick).await;
    }
}

async fn step(agent: &Agent) -> Result<()> {
    let Some(assignment) = agent.assignment() else {
        agent.loaded.doubt();
        return Ok(());
    };
    let reading = agent.loaded.reading();
    if assignment.kind == Kind::Service {
        agent.loaded.confirm(reading, String::new());
        return Ok(());
    }
    let since = agent
        .loaded
        .want(agent.node.clock.now(), &assignment.digest);
    let report = match agent.engine.report().await {
        Ok(report) => report,
        Err(error) => {
            agent.loaded.doubt();
            return Err(error);
        }
    };
    if report.digest == assignment.digest && !report.loading {
        agent.loaded.confirm(reading, report.digest);
        return Ok(());
    }
    if report.loading {
        return Ok(());
    }
    if agent.loaded.digest().is_some_and(|d| d != report.digest) {
        // The engine has lost or replaced its version without an order from here.
        agent.loaded.doubt();
        return Ok(());
    }
    let is_empty = report.digest.is_empty();
    if !is_empty && agent.loaded.digest().is_none() {
        // The version before is served until this agent's turn has come.
        agent.loaded.confirm(reading, report.digest);
    }
    if !pulled(agent, &assignment).await? {
        return Ok(());
    }
    let is_settled = agent.node.clock.now().since(since) >= turn::MAX_VIEW_AGE;
    let is_out = is_empty || assignment.drain;
    let pool = match is_out {
        true => turns::sample(agent, &assignment).await,
        false if is_settled && turns::is_near(agent, &assignment).await => {
            turns::poll(agent, &assignment).await
        }
        false => return Ok(()),
    };
    if turns::is_held(agent, &assignment, &pool) {
        let failures = agent.loaded.failures(&assignment.digest);
        slog::warn!(agent.node.logger(Component::Load), "version held back"; "failures" => failures);
        return Ok(());
    }
    if is_out || turns::is_granted(agent, &assignment, &pool) {
        return order(agent, &assignment).await;
    }
    Ok(())
}

/// Goes on with the pull until the next reading of the engine; true when the version is whole.
///
/// The transfer runs on by itself; a long pull must not hide an engine that
/// has failed meanwhile.
async fn pulled(agent: &Agent, assignment: &Assignment) -> Result<bool> {
    let pull = async {
        weights::pull(agent, &assignment.model, &assignment.digest).await?;
        Ok(true)
    };
    let pause = async {
        smol::Timer::after(REREAD).await;
        Ok(false)
    };
    pull.or(pause).await
}

/// Empties the engine and orders the load.
async fn order(agent: &Agent, assignment: &Assignment) -> Result<()> {
    agent.loaded.doubt();
    agent.gate.idle(Millis(assignment.drain_s * 1_000)).await;
    if agent.gate.running() > 0 {
        // A load would interrupt them; the next step tries again.
        return Ok(());
    }
    if agent
        .assignment()
        .is_none_or(|d| d.digest != assignment.digest)
    {
        // The tables changed while requests ended; the next step starts over.
        return Ok(());
    }
    slog::info!(agent.node.logger(Component::Load), "ordered"; "digest" => &assignment.digest);
    let source = agent.node.settings.admin;
    let ordered = agent
        .engine
        .load(
            &assignment.model,
            &assignment.digest,
            assignment.fence,
            source,
        )
        .await;
    if matches!(&ordered, Err(error) if error.code == Code::LoadFailed) {
        agent.loaded.failed();
    }
    ordered
}
