//! Has the engine load the version that the tables name.

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

/// Interval at which the engine's state is read.
const REREAD_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed pull, load or read of the engine's state.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The version that the engine has confirmed to be loaded, and the progress to the wanted
/// one; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Manifest digest of the confirmed version.
    digest: Option<String>,
    /// Counts the invalidations; a report of an earlier epoch is outdated.
    epoch: u64,
    /// Digest of the version that the tables name, and when they first did.
    wanted: Option<(String, Millis)>,
    /// Failed loads of the wanted version by this agent.
    failures: u32,
    /// Table revision, and the agents that were seen on the wanted version under it.
    on_version: (u64, IndexSet<String>),
}

impl Loaded {
    /// Manifest digest of the confirmed version, empty for a service; none while it is not known,
    /// and then no request is admitted.
    pub fn digest(&self) -> Option<String> {
        self.lock().digest.clone()
    }

    /// Forgets the confirmed version, which closes admission until the engine's state has been
    /// read again.
    pub fn invalidate(&self) {
        let mut state = self.lock();
        state.digest = None;
        state.epoch += 1;
    }

    /// Current epoch, to be passed to [`Loaded::confirm`]; take it before reading the state.
    pub fn epoch(&self) -> u64 {
        self.lock().epoch
    }

    /// Records the version that the engine reports, unless it was invalidated after `epoch`.
    pub fn confirm(&self, epoch: u64, digest: String) {
        let mut state = self.lock();
        if state.epoch == epoch {
            state.digest = Some(digest);
        }
    }

    /// Records the version that the tables name and returns when they first named it.
    pub fn set_wanted(&self, now: Millis, digest: &str) -> Millis {
        let mut state = self.lock();
        if let Some((wanted, since)) = &state.wanted
            && wanted == digest
        {
            return *since;
        }
        state.wanted = Some((digest.to_string(), now));
        state.failures = 0;
        now
    }

    /// Failed loads of `digest` by this agent; 0 unless the tables name that version.
    pub fn failures(&self, digest: &str) -> u32 {
        let state = self.lock();
        match &state.wanted {
            Some((wanted, _)) if wanted == digest => state.failures,
            _ => 0,
        }
    }

    /// True when the agent `name` was seen on the wanted version under `revision`.
    pub fn is_on_version(&self, revision: u64, name: &str) -> bool {
        let state = self.lock();
        state.on_version.0 == revision && state.on_version.1.contains(name)
    }

    /// Records that the agent `name` is on the wanted version under `revision`.
    pub fn add_on_version(&self, revision: u64, name: &str) {
        let mut state = self.lock();
        if state.on_version.0 != revision {
            state.on_version = (revision, IndexSet::new());
        }
        state.on_version.1.insert(name.to_string());
    }

    /// Counts a failed load of the wanted version.
    fn add_failure(&self) {
        self.lock().failures += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Has the engine load each version that the tables name, until the task is dropped.
pub async fn run(agent: Agent) {
    loop {
        let changed = agent.node.in_force.listen();
        if let Err(error) = step(&agent).await {
            slog::warn!(agent.node.logger(Component::Load), "step to the wanted version failed"; "error" => %error);
            smol::Timer::after(RETRY_PAUSE).await;
            continue;
        }
        let tick = async {
            smol::Timer::after(REREAD_INTERVAL).await;
        };
        changed.or(tick).await;
    }
}

/// Reads the engine's state and takes the next step to the wanted version: fetch it, wait for
/// this agent's turn, or order the load.
async fn step(agent: &Agent) -> Result<()> {
    let Some(assignment) = agent.assignment() else {
        agent.loaded.invalidate();
        return Ok(());
    };
    let epoch = agent.loaded.epoch();
    if assignment.kind == Kind::Service {
        agent.loaded.confirm(epoch, String::new());
        return Ok(());
    }
    let since = agent
        .loaded
        .set_wanted(agent.node.clock.now(), &assignment.digest);
    let report = match agent.engine.report().await {
        Ok(report) => report,
        Err(error) => {
            agent.loaded.invalidate();
            return Err(error);
        }
    };
    if report.digest == assignment.digest && !report.loading {
        agent.loaded.confirm(epoch, report.digest);
        return Ok(());
    }
    if report.loading {
        return Ok(());
    }
    if agent.loaded.digest().is_some_and(|d| d != report.digest) {
        // The engine has lost or replaced its version without an order of this agent.
        agent.loaded.invalidate();
        return Ok(());
    }
    let is_empty = report.digest.is_empty();
    if !is_empty && agent.loaded.digest().is_none() {
        // The engine serves the version that it has until this agent's turn to load.
        agent.loaded.confirm(epoch, report.digest);
    }
    if !continue_pull(agent, &assignment).await? {
        return Ok(());
    }
    let is_settled = agent.node.clock.now().since(since) >= turn::MAX_VIEW_AGE;
    let is_out_of_service = is_empty || assignment.drain;
    let pool = match is_out_of_service {
        true => turns::ask_first(agent, &assignment).await,
        false if is_settled && turns::is_turn_near(agent, &assignment).await => {
            turns::ask_pool(agent, &assignment).await
        }
        false => return Ok(()),
    };
    if turns::is_held_back(agent, &assignment, &pool) {
        let failures = agent.loaded.failures(&assignment.digest);
        slog::warn!(agent.node.logger(Component::Load), "version is held back after failed loads"; "failures" => failures);
        return Ok(());
    }
    if is_out_of_service || turns::is_granted(agent, &assignment, &pool) {
        return order_load(agent, &assignment).await;
    }
    Ok(())
}

/// Waits for the pull of the version until the engine's state is to be read again; true when
/// all of the version is held.
///
/// The transfer continues in the background. Waiting for its end would leave a failure of the
/// engine unnoticed during a long pull.
async fn continue_pull(agent: &Agent, assignment: &Assignment) -> Result<bool> {
    let pull = async {
        weights::pull(agent, &assignment.model, &assignment.digest).await?;
        Ok(true)
    };
    let pause = async {
        smol::Timer::after(REREAD_INTERVAL).await;
        Ok(false)
    };
    pull.or(pause).await
}

/// Waits until no request is running at the engine, and orders the load.
async fn order_load(agent: &Agent, assignment: &Assignment) -> Result<()> {
    agent.loaded.invalidate();
    agent
        .in_flight
        .wait_idle(Millis(assignment.drain_s * 1_000))
        .await;
    if agent.in_flight.running() > 0 {
        // A load would interrupt running requests; the next step tries again.
        return Ok(());
    }
    if agent
        .assignment()
        .is_none_or(|d| d.digest != assignment.digest)
    {
        // The tables have changed meanwhile; the next step starts over.
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
        agent.loaded.add_failure();
    }
    ordered
}
