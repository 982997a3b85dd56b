//! Latency, goodput and fairness of the request path under an open-loop load.

pub mod load;
pub mod mix;
pub mod overhead;
pub mod report;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::bench::fleet::Fleet;
use crate::bench::fleet::Plan as FleetPlan;
use crate::bench::requests::load::Outcome;
use crate::bench::requests::mix::Shot;
use crate::prelude::*;
use crate::route::choose::Policy;
use crate::standin::engine::Behaviour;

/// Runners of the pool.
const RUNNERS: usize = 9;

/// Runners that are slowed.
const SLOWED: usize = 2;

/// Requests that a runner batches.
const BATCH: usize = 8;

/// Time of one token, in microseconds. Long against the noise of a shared
/// machine, so that the figures show the policies.
const TOKEN_US: u64 = 10_000;

/// Requests that wait at one runner, at most.
const MAX_QUEUED: usize = 256;

/// Time for a fleet to load its first version.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Time before the measured window, in which the entries learn.
const WARM_UP: Duration = Duration::from_secs(4);

/// Every policy, the system's own first.
pub const POLICIES: [(&str, Policy); 4] = [
    ("chervilquay", Policy::Expected),
    ("round-robin", Policy::RoundRobin),
    ("least-requests", Policy::LeastRequests),
    ("random-two", Policy::RandomTwo),
];

/// What is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the schedule.
    pub seed: u64,
    /// Factor by which two runners are slowed; 1 for none.
    pub slow: u64,
    /// Offered load relative to the capacity of all runners.
    pub load: f64,
    /// Length of the measured window.
    pub window: Duration,
    /// Entries that share the load.
    pub entries: usize,
}

/// Requests a second that the runners can answer with this mix.
pub fn capacity() -> f64 {
    let slots = (RUNNERS * BATCH) as f64;
    slots * 1e6 / (mix::MEAN_TOKENS * TOKEN_US as f64)
}

/// What one run gave.
#[derive(Debug)]
pub struct Run {
    /// Outcome of each request of the measured window.
    pub outcomes: Vec<Outcome>,
    /// Requests, retries and hedges that the entries counted, warm-up included.
    pub attempts: (u64, u64, u64),
    /// Length of the measured window.
    pub window: Duration,
}

/// Runs one policy under the plan.
pub async fn run(plan: &Plan, policy: Policy) -> Result<Run> {
    let fleet = start(plan, policy).await?;
    for vm in fleet.agents.iter().take(SLOWED) {
        vm.engine.set_slow(plan.slow);
    }
    let rate = plan.load * capacity();
    let shots = mix::schedule(plan.seed, rate, WARM_UP + plan.window);
    let outcomes = load::fire(&fleet, shots).await;
    let attempts = fleet
        .entries
        .iter()
        .map(|vm| attempts(&vm.entry.pools.dump()));
    let attempts = attempts.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
    let measured = |o: &Outcome| o.shot.at >= WARM_UP;
    Ok(Run {
        outcomes: outcomes.into_iter().filter(measured).collect(),
        attempts,
        window: plan.window,
    })
}

async fn start(plan: &Plan, policy: Policy) -> Result<Fleet> {
    let fleet = Fleet::start(FleetPlan {
        zones: 1,
        entries: plan.entries,
        engines: RUNNERS,
        services: 0,
        weights_len: 64 << 10,
        chunk_len: 64 << 10,
        behaviour: Behaviour {
            token_us: TOKEN_US,
            batch: BATCH,
            fenced: true,
        },
        seed: plan.seed,
        policy,
        max_running: BATCH,
        max_queued: MAX_QUEUED,
        routes: routes(),
    })
    .await?;
    fleet.until_serving(START_LIMIT).await?;
    Ok(fleet)
}

fn attempts(dump: &Value) -> (u64, u64, u64) {
    let pool = &dump["assistant"];
    let count = |name: &str| pool[name].as_u64().unwrap_or_default();
    (count("requests"), count("retries"), count("hedges"))
}

/// Deadlines in which an answer counts, by class, in milliseconds.
pub fn deadline(shot: &Shot) -> u64 {
    match shot.work {
        mix::Work::Long => 20_000,
        mix::Work::Short | mix::Work::Booking => 5_000,
    }
}

/// Routes of the mix, for the fleet's tables.
pub fn routes() -> Value {
    let route = |work: mix::Work, class: &str, repeat: &str, deadline: u64| {
        json!({
            "path": "/v1/completions", "pool": "assistant", "class": class,
            "repeat": repeat, "deadline_ms": deadline,
            "headers": { "x-work": work.name() },
        })
    };
    json!({
        "short": route(mix::Work::Short, "short", "safe", 5_000),
        "booking": route(mix::Work::Booking, "short", "never", 5_000),
        "long": route(mix::Work::Long, "long", "safe", 20_000),
    })
}
