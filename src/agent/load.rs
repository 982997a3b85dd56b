//! Brings the engine to the version that the tables name.

use std::sync::Mutex;
use std::time::Duration;

use smol::future::FutureExt;

use crate::agent::Agent;
use crate::agent::Duty;
use crate::agent::weights;
use crate::prelude::*;
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

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Keeps the engine at the wanted version for as long as the process runs.
pub async fn keep(agent: Agent) {
    loop {
        let changed = agent.node.view.listen();
        if let Err(error) = step(&agent).await {
            slog::warn!(agent.node.log, "load: step failed"; "error" => %error);
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
    let Some(duty) = agent.duty() else {
        agent.loaded.doubt();
        return Ok(());
    };
    let reading = agent.loaded.reading();
    if duty.kind == Kind::Service {
        agent.loaded.confirm(reading, String::new());
        return Ok(());
    }
    let report = match agent.engine.report().await {
        Ok(report) => report,
        Err(error) => {
            agent.loaded.doubt();
            return Err(error);
        }
    };
    if report.digest == duty.digest && !report.loading {
        agent.loaded.confirm(reading, report.digest);
        return Ok(());
    }
    if !report.digest.is_empty() && !report.loading && agent.loaded.digest().is_none() {
        // A restarted agent finds the version that its engine still serves.
        agent.loaded.confirm(reading, report.digest);
    }
    weights::pull(agent, &duty.model, &duty.digest).await?;
    order(agent, &duty).await
}

/// Empties the engine and orders the load.
async fn order(agent: &Agent, duty: &Duty) -> Result<()> {
    agent.loaded.doubt();
    agent.gate.idle(Millis(duty.drain_s * 1_000)).await;
    if agent.gate.running() > 0 {
        // A load would interrupt them; the next step tries again.
        return Ok(());
    }
    if agent.duty().is_none_or(|d| d.digest != duty.digest) {
        // The tables changed while requests ended; the next step starts over.
        return Ok(());
    }
    slog::info!(agent.node.log, "load: ordered"; "digest" => &duty.digest);
    let source = agent.node.settings.admin;
    agent
        .engine
        .load(&duty.model, &duty.digest, duty.fence, source)
        .await
}
