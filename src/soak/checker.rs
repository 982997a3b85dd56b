//! Checks the soak's invariants from what callers and upstreams observe.
//!
//! The checker does no I/O and reads no clock; every time is passed to it.
//! Rules with a time limit apply to a process only while it is calm: no fault is
//! active on it, and the last one ended at least `SETTLE_TIME` ago.

use std::collections::VecDeque;

use crate::platform::standin;
use crate::prelude::*;
use crate::soak::STREAM_REGION;
use crate::soak::ZONES;

/// Time after the last fault from which the time limits apply to a process again.
const SETTLE_TIME: Millis = Millis(3_000);

/// Time after which a leaving upstream must get no more requests.
const DRAIN_TIME: Millis = Millis(2_000);

/// Time after which an evacuated zone must get no more requests.
const EVACUATE_TIME: Millis = Millis(5_000);

/// Time within which an acknowledged configuration must be in force.
const APPLY_TIME: Millis = Millis(2_000);

/// Time after a process first uses a configuration in which it may still send
/// requests by an older one.
const REVERT_GRACE: Millis = Millis(250);

/// Time after SIGTERM within which a process must answer requests sent to it.
const ACCEPT_TIME: Millis = Millis(3_000);

/// Time beyond a request's deadline by which its caller must have an answer.
const ANSWER_GRACE: Millis = Millis(1_500);

/// Maximum number of violations recorded; later ones are dropped.
const MAX_VIOLATIONS: usize = 40;

/// Name under which faults of the store are recorded.
pub const STORE: &str = "store";

common! { value
/// One execution of a request: an upstream began to process it.
pub struct Execution {
    /// Request id.
    pub id: String,
    /// Path as the upstream received it.
    pub path: String,
    /// Pool of the upstream.
    pub pool: &'static str,
    /// Zone of the upstream.
    pub zone: &'static str,
    /// Id of the upstream.
    pub upstream: String,
}
}

common! { value
/// Result of a request as its caller observed it.
pub enum Outcome {
    /// The complete answer to this request.
    Complete,
    /// An error answer with this HTTP status.
    Failure(u16),
    /// An answer that looks complete but belongs to another request or lacks a
    /// part; the text describes it.
    Wrong(String),
    /// A connection closed early, or a stream that ended without its end mark.
    Closed,
    /// The request was not sent.
    Unsent,
    /// No answer within [`Checker::max_wait`].
    TimedOut,
}
}

#[derive(Clone, Debug)]
struct SentRequest {
    entry: String,
    path: String,
    sent: Millis,
    executions: u32,
    /// True once the caller was told that the request was not run and never will be.
    told_not_run: bool,
}

/// Faults of one process, one upstream or the store.
#[derive(Clone, Copy, Debug, Default)]
struct FaultState {
    /// Number of faults in progress.
    active: u32,
    /// When the last fault ended.
    last: Option<Millis>,
}

/// Newest configuration that an entry process was observed to use.
#[derive(Clone, Copy, Debug)]
struct ObservedConfig {
    /// Index in `Checker::configs`.
    index: usize,
    at: Millis,
}

/// Observations so far, and the violations found in them.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// Requests by id.
    requests: IndexMap<String, SentRequest>,
    /// When the store acknowledged that an upstream leaves, by upstream id.
    leaving: IndexMap<String, Millis>,
    /// When the store acknowledged that a zone is evacuated, by zone.
    evacuated: IndexMap<&'static str, Millis>,
    /// When the store acknowledged each configuration, and its pool for `/moves/`.
    configs: Vec<(Millis, &'static str)>,
    /// Faults by the name of the process, the upstream id or [`STORE`].
    faults: IndexMap<String, FaultState>,
    /// Newest configuration observed, by entry.
    observed: IndexMap<String, ObservedConfig>,
    /// When SIGTERM was sent, by entry; cleared on restart.
    stops: IndexMap<String, Millis>,
    /// When requests reached cold upstreams in the last second, by upstream id.
    cold_arrivals: IndexMap<String, VecDeque<Millis>>,
    /// Names of all entries.
    entries: Vec<String>,
    complete: usize,
    violations: Vec<String>,
}

impl Checker {
    /// Sets the names of all entries.
    pub fn set_entries(&mut self, names: impl IntoIterator<Item = String>) {
        self.entries = names.into_iter().collect();
    }

    /// Records a configuration that the store acknowledged.
    pub fn on_config(&mut self, now: Millis, pool: &'static str) {
        self.configs.push((now, pool));
    }

    /// Records an upstream that leaves, as acknowledged by the store.
    pub fn on_drain(&mut self, now: Millis, upstream: &str) {
        self.leaving.insert(upstream.to_string(), now);
    }

    /// Records that the store acknowledged the evacuation of a zone.
    pub fn on_evacuated(&mut self, now: Millis, zone: &'static str) {
        self.evacuated.insert(zone, now);
    }

    /// Records that an evacuation is about to be revoked.
    pub fn on_revoked(&mut self, zone: &str) {
        self.evacuated.swap_remove(zone);
    }

    /// Records a fault without duration.
    pub fn on_brief_fault(&mut self, now: Millis, name: &str) {
        self.fault_state(name).last = Some(now);
    }

    /// Records the start of a fault; faults of one name may overlap.
    pub fn on_fault_start(&mut self, name: &str) {
        self.fault_state(name).active += 1;
    }

    /// Records the end of a fault.
    pub fn on_fault_end(&mut self, now: Millis, name: &str) {
        let state = self.fault_state(name);
        state.active = state.active.saturating_sub(1);
        state.last = Some(now);
    }

    /// Records a SIGTERM sent to an entry.
    pub fn on_sigterm(&mut self, now: Millis, entry: &str) {
        self.stops.insert(entry.to_string(), now);
    }

    /// Records a restart of an entry, which may start from any configuration.
    pub fn on_restart(&mut self, entry: &str) {
        self.observed.swap_remove(entry);
        self.stops.swap_remove(entry);
    }

    /// Records a process or upstream that did not start, which is a violation.
    pub fn on_failed_start(&mut self, now: Millis, name: &str, reason: &str) {
        let what = format!("{name} did not start: {reason}");
        self.record_violation(now, "-", &what);
    }

    /// Records a request that a caller sends.
    pub fn on_sent(&mut self, now: Millis, entry: &str, id: &str, path: &str) {
        let request = SentRequest {
            entry: entry.to_string(),
            path: path.to_string(),
            sent: now,
            executions: 0,
            told_not_run: false,
        };
        self.requests.insert(id.to_string(), request);
    }

    /// Records an execution and checks that it was allowed.
    pub fn on_execution(&mut self, now: Millis, execution: Execution) {
        let Some(request) = self.requests.get_mut(&execution.id) else {
            let what = format!(
                "{} ran {}, a request that no caller sent",
                execution.upstream, execution.path
            );
            self.record_violation(now, &execution.id, &what);
            return;
        };
        request.executions += 1;
        let request = request.clone();
        if request.path != execution.path {
            let what = format!("path {} arrived as {}", request.path, execution.path);
            self.record_violation(now, &execution.id, &what);
        }
        if is_at_most_once(&request.path) && request.executions > 1 {
            self.record_violation(now, &execution.id, "ran twice");
        }
        if is_at_most_once(&request.path) && request.told_not_run {
            self.record_violation(
                now,
                &execution.id,
                "ran after its caller was told that it never will",
            );
        }
        let is_bound = self.is_calm(now, &request.entry) && self.is_calm(now, STORE);
        let left = self.leaving.get(&execution.upstream).copied();
        let is_late = left.is_some_and(|at| now > at.plus(DRAIN_TIME));
        if is_bound && is_late && self.is_calm(now, &execution.upstream) {
            let what = format!(
                "reached {} after its drain, from {}",
                execution.upstream, request.entry
            );
            self.record_violation(now, &execution.id, &what);
        }
        let is_inside = ZONES.contains(&(execution.zone, STREAM_REGION));
        if request.path.starts_with("/stream/") && !is_inside {
            let what = format!("left its region for zone {}", execution.zone);
            self.record_violation(now, &execution.id, &what);
        }
        let evacuated = self.evacuated.get(execution.zone).copied();
        if self.must_know_evacuations(now, &request.entry)
            && evacuated.is_some_and(|at| now > at.plus(EVACUATE_TIME))
        {
            let what = format!(
                "reached the evacuated zone {}, from {}",
                execution.zone, request.entry
            );
            self.record_violation(now, &execution.id, &what);
        }
        if request.path.starts_with("/moves/") {
            self.check_config(now, is_bound, &request, &execution);
        }
    }

    /// Records a request that reached a cold upstream, and checks that these are not too
    /// many in a second.
    pub fn on_cold_arrival(&mut self, now: Millis, id: &str, upstream: &str) {
        let arrived = self.cold_arrivals.entry(upstream.to_string()).or_default();
        arrived.retain(|at| now.since(*at) < Millis(1_000));
        arrived.push_back(now);
        let count = arrived.len();
        if count > standin::COLD_LIMIT.1 {
            let what = format!("{upstream} is cold and got {count} requests in a second");
            self.record_violation(now, id, &what);
        }
    }

    /// Checks that the pool belongs to a configuration that the entry may still use.
    /// `is_bound` says whether the time limit for a new configuration applies.
    fn check_config(
        &mut self,
        now: Millis,
        is_bound: bool,
        request: &SentRequest,
        execution: &Execution,
    ) {
        let matching = |index: &usize| self.configs[*index].1 == execution.pool;
        let allowed = |index: &usize| {
            let next = self.configs.get(index + 1);
            next.is_none_or(|(at, _)| at.plus(APPLY_TIME) > request.sent)
        };
        let mut all = 0..self.configs.len();
        let oldest = all.clone().filter(matching).find(allowed);
        let newest = all.rfind(matching);
        let observed = self.observed.get(&request.entry).copied();
        // One that was kept from the store may still use any configuration that is not older
        // than the last one seen of it; only the first of these is certain.
        let seen = match is_bound {
            true => oldest,
            false => {
                let from = observed.map_or(0, |observed| observed.index);
                (from..self.configs.len()).find(matching)
            }
        };
        if is_bound && oldest.is_none() {
            let what = format!(
                "{} used pool {} of an old configuration",
                request.entry, execution.pool
            );
            self.record_violation(now, &execution.id, &what);
        }
        if let Some(observed) = observed {
            let is_behind = newest.is_none_or(|newest| newest < observed.index);
            if is_behind && request.sent > observed.at.plus(REVERT_GRACE) {
                let what = format!("{} reverted to an older configuration", request.entry);
                self.record_violation(now, &execution.id, &what);
            }
        }
        if let Some(index) = seen
            && observed.is_none_or(|observed| index > observed.index)
        {
            self.observed
                .insert(request.entry.clone(), ObservedConfig { index, at: now });
        }
    }

    /// Records the result of a request and checks it.
    pub fn on_outcome(&mut self, now: Millis, id: &str, outcome: &Outcome) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        // These statuses state that the request was not run and never will be.
        let is_not_run = matches!(outcome, Outcome::Failure(408 | 421 | 429 | 503));
        request.told_not_run |= is_not_run;
        let request = request.clone();
        match outcome {
            Outcome::Complete => self.complete += 1,
            Outcome::Wrong(what) => self.record_violation(now, id, what),
            Outcome::Failure(_)
                if is_not_run && is_at_most_once(&request.path) && request.executions > 0 =>
            {
                self.record_violation(now, id, "ran, and its caller was told that it never will");
            }
            Outcome::Failure(_) | Outcome::Unsent => {}
            Outcome::Closed => {
                let stop = self.stops.get(&request.entry).copied();
                let must_answer = stop.is_none_or(|at| request.sent <= at.plus(ACCEPT_TIME));
                let is_stream = request.path.starts_with("/stream/");
                if request.executions > 0
                    && must_answer
                    && !is_stream
                    && self.is_calm(now, &request.entry)
                {
                    let phase = if stop.is_some() {
                        "planned stop"
                    } else {
                        "calm"
                    };
                    let what = format!(
                        "{} closed the connection without a complete answer ({phase})",
                        request.entry
                    );
                    self.record_violation(now, id, &what);
                }
            }
            // A paused process reads the request only when it resumes, and counts the
            // caller's time from then.
            Outcome::TimedOut => {
                if self.is_calm(request.sent, &request.entry) && self.is_calm(now, &request.entry) {
                    let what = format!("{} gave no answer in time", request.entry);
                    self.record_violation(now, id, &what);
                }
            }
        }
    }

    /// Returns how long a caller with this deadline waits for an answer.
    pub fn max_wait(deadline: Millis) -> Millis {
        deadline.plus(ANSWER_GRACE)
    }

    /// Returns the number of requests sent, and of those with a complete answer.
    pub fn counts(&self) -> (usize, usize) {
        (self.requests.len(), self.complete)
    }

    /// Returns the recorded violations in the order they were found.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    fn fault_state(&mut self, name: &str) -> &mut FaultState {
        self.faults.entry(name.to_string()).or_default()
    }

    /// Returns whether no fault is active on `name` and the last ended long enough ago.
    fn is_calm(&self, now: Millis, name: &str) -> bool {
        self.faults.get(name).is_none_or(|state| {
            let is_over = state.last.is_none_or(|at| now.since(at) >= SETTLE_TIME);
            state.active == 0 && is_over
        })
    }

    /// Returns whether an entry must know the evacuations: itself or another entry, which
    /// passes them on, is in touch with the store. It must after a pause or a restart too.
    fn must_know_evacuations(&self, now: Millis, entry: &str) -> bool {
        let mut others = self.entries.iter();
        let is_told = self.is_calm(now, entry) || others.any(|other| self.is_calm(now, other));
        is_told && self.is_calm(now, STORE)
    }

    fn record_violation(&mut self, now: Millis, id: &str, what: &str) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations
                .push(format!("{} request {id}: {what}", now.0));
        }
    }
}

/// Returns whether requests of this path must be run at most once.
fn is_at_most_once(path: &str) -> bool {
    path.starts_with("/once/")
}
