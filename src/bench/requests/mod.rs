//! Measures latency, goodput and fairness of the request path under an open-loop load.
//!
//! All processes run on loopback; stand-in engines generate tokens at a fixed pace.

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
use crate::bench::requests::mix::PlannedRequest;
use crate::prelude::*;
use crate::route::choose::Policy;
use crate::standin::engine::Behaviour;

/// Runners (upstreams of the pool), each an agent with its engine.
const RUNNERS: usize = 9;

/// Runners that are slowed by the factor [`Plan::slow`].
const SLOWED_RUNNERS: usize = 2;

/// Requests that a runner processes at the same time.
const BATCH: usize = 8;

/// Time to generate one token, in microseconds.
///
/// It is long compared with the noise of a shared machine, so that differences between the
/// results come from the policies.
const TOKEN_US: u64 = 10_000;

/// Limit on the requests that wait at one runner.
const MAX_QUEUED: usize = 256;

/// Time in which a fleet must have loaded its first version.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time before the measured window, in which the entries learn how fast the runners answer.
const WARM_UP: Duration = Duration::from_secs(4);

/// Names and values of all policies: the default one, then the baselines.
pub const POLICIES: [(&str, Policy); 4] = [
    ("chervilquay", Policy::Expected),
    ("round-robin", Policy::RoundRobin),
    ("least-requests", Policy::LeastRequests),
    ("random-two", Policy::RandomTwo),
];

/// Settings of one experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the schedule.
    pub seed: u64,
    /// Factor by which two runners are slowed; 1 leaves them as fast as the others.
    pub slow: u64,
    /// Offered load relative to the capacity of all runners.
    pub load: f64,
    /// Length of the measured window.
    pub window: Duration,
    /// Entries that share the load.
    pub entries: usize,
}

/// Returns the requests a second that all runners together can answer, at their normal speed and
/// with the mean answer length of [`mix`].
pub fn capacity() -> f64 {
    let slots = (RUNNERS * BATCH) as f64;
    slots * 1e6 / (mix::MEAN_TOKENS * TOKEN_US as f64)
}

/// Measurements of one run.
#[derive(Debug)]
pub struct Run {
    /// Outcome of each request of the measured window.
    pub outcomes: Vec<Outcome>,
    /// Requests, retries and hedges that the entries counted, in this order and including those
    /// of the warm-up.
    pub attempts: (u64, u64, u64),
    /// Length of the measured window.
    pub window: Duration,
}

/// Runs the experiment `plan` with one policy on a new fleet.
///
/// Fails when the fleet does not start in time.
pub async fn run(plan: &Plan, policy: Policy) -> Result<Run> {
    let fleet = start(plan, policy).await?;
    for vm in fleet.agents.iter().take(SLOWED_RUNNERS) {
        vm.engine.set_slowdown(plan.slow);
    }
    let rate = plan.load * capacity();
    let schedule = mix::schedule(plan.seed, rate, WARM_UP + plan.window);
    let outcomes = load::send_schedule(&fleet, schedule).await;
    let attempts = fleet
        .entries
        .iter()
        .map(|vm| attempt_counts(&vm.entry.pools.dump()));
    let attempts = attempts.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
    let measured = |o: &Outcome| o.planned.at >= WARM_UP;
    Ok(Run {
        outcomes: outcomes.into_iter().filter(measured).collect(),
        attempts,
        window: plan.window,
    })
}

/// Starts a fleet and waits until it serves.
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
    fleet.until_serving(START_TIMEOUT).await?;
    Ok(fleet)
}

/// Reads the requests, retries and hedges of the pool from an entry's dump.
fn attempt_counts(dump: &Value) -> (u64, u64, u64) {
    let pool = &dump["assistant"];
    let count = |name: &str| pool[name].as_u64().unwrap_or_default();
    (count("requests"), count("retries"), count("hedges"))
}

/// Returns the deadline of a request in milliseconds; only an answer within it counts as goodput.
pub fn deadline_ms(planned: &PlannedRequest) -> u64 {
    match planned.kind {
        mix::RequestKind::Long => 20_000,
        mix::RequestKind::Short | mix::RequestKind::Booking => 5_000,
    }
}

/// Returns a route for each kind of request, for the fleet's tables.
pub fn routes() -> Value {
    let route = |kind: mix::RequestKind, class: &str, repeat: &str, deadline: u64| {
        json!({
            "path": "/v1/completions", "pool": "assistant", "class": class,
            "repeat": repeat, "deadline_ms": deadline,
            "headers": { "x-work": kind.header_value() },
        })
    };
    json!({
        "short": route(mix::RequestKind::Short, "short", "safe", 5_000),
        "booking": route(mix::RequestKind::Booking, "short", "never", 5_000),
        "long": route(mix::RequestKind::Long, "long", "safe", 20_000),
    })
}
