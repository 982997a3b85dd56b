//! Admission: which requests may be dispatched to the upstream.
//!
//! A request is checked when it arrives and again when it is dispatched, because the
//! tables, the engine and the time may have changed while it waited.
//!
//! The number of an order is its fencing number: the revision of the tables under which
//! the engine was ordered to load. An engine that has seen a higher one was given an
//! order by a process with newer tables.

use crate::prelude::*;

/// Longest time between two observations of the clock before the tables count as stale.
///
/// The clock is observed at least twice a second, and new work must stop within 3 s of a
/// drain. A process that was paused for longer may have missed one.
pub const MAX_OBSERVE_GAP: Millis = Millis(2_000);

/// Time after the start of a drain for which requests that were admitted before may still
/// be dispatched.
///
/// An upstream must get no new work later than 3 s after it starts to leave. Requests that
/// wait already are run within that time, because a pool with one upstream has no other
/// place for them.
pub const LEAVE_GRACE: Millis = Millis(3_000);

common! { value
/// The part of the tables in force that concerns this upstream.
pub struct OwnPool {
    /// Name of the pool that lists it.
    pub pool: String,
    /// Model of the pool; empty for services.
    pub model: String,
    /// Revision of the tables.
    pub revision: u64,
    /// True when the upstream is a plain service, without an engine and weights.
    pub is_service: bool,
}
}

common! { value
/// What decides about the admission of a request.
pub struct AdmitRequest {
    /// Name of the pool that the entry has chosen.
    pub pool: String,
    /// Model of that pool; empty for services.
    pub model: String,
    /// Digest of the version that must answer.
    pub digest: String,
    /// Revision of the tables at the entry.
    pub revision: u64,
    /// When the answer is due, by the agent's clock.
    pub deadline: Millis,
}
}

common! { value
/// Permission to dispatch one request, subject to [`Gate::dispatch`].
pub struct Permit {
    digest: String,
    is_service: bool,
    deadline: Millis,
}
}

impl Permit {
    /// When the answer is due.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// True when the request goes to a plain service, whose answers name no weights.
    pub fn is_service(&self) -> bool {
        self.is_service
    }
}

common! { value
/// Result of [`Gate::admit`].
pub enum Verdict {
    /// The request may wait for its dispatch.
    Admit(Permit),
    /// The tables or the engine's state must be read again before the decision.
    Refresh,
    /// The request is refused and has not run.
    Refuse(Code),
}
}

/// State of one agent that decides which requests it admits and dispatches.
///
/// # Invariants
///
/// - A request of an engine pool is dispatched only while the engine reports the digest
///   that the request names and no order to load is outstanding.
/// - No order to load is outstanding while a request runs.
#[derive(Debug, Default)]
pub struct Gate {
    pool: Option<OwnPool>,
    /// Digest and fencing number that the engine reported; none while they are not known.
    engine: Option<(String, u64)>,
    /// Number of times that the known state of the engine has become invalid; a read that
    /// began under a lower number is ignored.
    epoch: u64,
    /// Digest of the version of which this process has verified all chunks, or that the
    /// engine reported before this process gave it any order.
    verified: String,
    /// True once this process has given the engine an order.
    has_ordered: bool,
    /// True while an order is outstanding.
    order_pending: bool,
    leaving_since: Option<Millis>,
    /// True when the tables must be read again after a pause of the process.
    is_stale: bool,
    /// Longest pause since the tables were last read.
    longest_pause: Millis,
    running: usize,
    /// Last time that the clock was observed.
    observed_at: Millis,
}

impl Gate {
    /// Creates a gate that admits nothing, as tables and engine state are not known yet.
    pub fn new(now: Millis) -> Gate {
        Gate {
            observed_at: now,
            ..Gate::default()
        }
    }

    /// Replaces the upstream's part of the tables; none when they do not list it.
    pub fn set_pool(&mut self, pool: Option<OwnPool>) {
        self.pool = pool;
    }

    /// Records that the upstream leaves, or that it serves again.
    pub fn set_leaving(&mut self, now: Millis, leaving: bool) {
        self.observe(now);
        if !leaving {
            self.leaving_since = None;
        } else if self.leaving_since.is_none() {
            self.leaving_since = Some(now);
        }
    }

    /// Records the version of which this process has fetched and verified all chunks.
    pub fn set_verified(&mut self, digest: &str) {
        self.verified = digest.to_string();
    }

    /// Number to take before the engine's state is read and to pass to
    /// [`Gate::set_engine`] with the result.
    pub fn engine_epoch(&self) -> u64 {
        self.epoch
    }

    /// Records the digest and the fencing number that the engine reports.
    ///
    /// A read that began before [`Gate::invalidate_engine`] is ignored, because it may
    /// tell an older state.
    pub fn set_engine(&mut self, epoch: u64, digest: &str, fence: u64) {
        if epoch != self.epoch || self.order_pending {
            return;
        }
        if !self.has_ordered {
            self.verified = digest.to_string();
        }
        self.engine = Some((digest.to_string(), fence));
    }

    /// Admits nothing until the next [`Gate::set_engine`], because the engine has failed or
    /// may have changed its version.
    pub fn invalidate_engine(&mut self) {
        self.engine = None;
        self.epoch += 1;
    }

    /// Records that the engine is about to be ordered to load.
    ///
    /// # Panics
    ///
    /// When a request runs, because the load would replace its weights.
    pub fn start_order(&mut self) {
        assert_eq!(self.running, 0, "order while a request runs");
        self.has_ordered = true;
        self.order_pending = true;
        self.invalidate_engine();
    }

    /// Records that the order has ended; the engine's state must be read next.
    pub fn end_order(&mut self) {
        self.order_pending = false;
        self.invalidate_engine();
    }

    /// Records that the tables and the live list have been requested again.
    ///
    /// To be called also when no source answered: a zone that is cut off goes on with its
    /// last tables.
    pub fn record_refresh(&mut self, now: Millis) {
        self.observed_at = now;
        self.is_stale = false;
        self.longest_pause = Millis(0);
    }

    /// Observes the clock; a long time since the last observation makes the tables stale.
    pub fn observe(&mut self, now: Millis) {
        let gap = now.since(self.observed_at);
        if gap > MAX_OBSERVE_GAP {
            self.is_stale = true;
            self.longest_pause = self.longest_pause.max(gap);
        }
        self.observed_at = self.observed_at.max(now);
    }

    /// True when the tables must be read again before any request is admitted.
    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// True while the upstream leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Number of requests that have been dispatched and not ended.
    pub fn running(&self) -> usize {
        self.running
    }

    /// True when a request to the own pool for the version held could be admitted.
    pub fn is_serving(&self) -> bool {
        let is_ready = |pool: &OwnPool| self.refusal(&self.verified, pool.is_service).is_none();
        !self.is_stale && self.leaving_since.is_none() && self.pool.as_ref().is_some_and(is_ready)
    }

    /// Decides about a request when it arrives.
    ///
    /// `refreshed` tells that the tables have been read again for this request. They are
    /// then used even if the entry has newer ones, as no source may be reachable.
    pub fn admit(&mut self, now: Millis, request: &AdmitRequest, refreshed: bool) -> Verdict {
        self.observe(now);
        // A request that arrived during a pause of the process may have waited for all of it.
        if request.deadline <= now.plus(self.longest_pause) {
            return Verdict::Refuse(Code::DeadlineExceeded);
        }
        if self.leaving_since.is_some() {
            return Verdict::Refuse(Code::UpstreamLeaving);
        }
        let is_behind = self.pool.as_ref().map_or(0, |pool| pool.revision) < request.revision;
        if self.is_stale || (is_behind && !refreshed) {
            return Verdict::Refresh;
        }
        let Some(pool) = &self.pool else {
            return Verdict::Refuse(Code::TablesMissing);
        };
        // The digest of the pool is not compared: while its agents load a new version in
        // turns, this one may still hold the previous one.
        if pool.pool != request.pool || pool.model != request.model {
            return Verdict::Refuse(Code::VersionMismatch);
        }
        if let Some(code) = self.refusal(&request.digest, pool.is_service) {
            return Verdict::Refuse(code);
        }
        Verdict::Admit(Permit {
            digest: request.digest.clone(),
            is_service: pool.is_service,
            deadline: request.deadline,
        })
    }

    /// Checks an admitted request again before it is dispatched and counts it as running.
    ///
    /// After an error the request must not be dispatched.
    pub fn dispatch(&mut self, now: Millis, permit: &Permit) -> std::result::Result<(), Code> {
        self.observe(now);
        if permit.deadline <= now {
            return Err(Code::DeadlineExceeded);
        }
        if self.is_stale {
            return Err(Code::UpstreamBusy);
        }
        if self
            .leaving_since
            .is_some_and(|at| now.since(at) > LEAVE_GRACE)
        {
            return Err(Code::UpstreamLeaving);
        }
        if let Some(code) = self.refusal(&permit.digest, permit.is_service) {
            return Err(code);
        }
        assert!(
            !self.order_pending,
            "dispatch while an order is outstanding"
        );
        assert!(
            permit.is_service || self.verified == permit.digest,
            "dispatch to incomplete or mixed weights"
        );
        self.running += 1;
        Ok(())
    }

    /// Records the end of a dispatched request.
    pub fn end(&mut self) {
        assert!(self.running > 0, "more ends than dispatches");
        self.running -= 1;
    }

    /// Checks before a part of an answer is forwarded which weights produced it.
    ///
    /// `fingerprint` is the digest that the answer names. Someone else may have ordered an
    /// engine that ignores fencing numbers to load other weights. After a mismatch nothing
    /// is admitted until the engine's state has been read again.
    pub fn check_answer(&mut self, permit: &Permit, fingerprint: Option<&str>) -> Result<()> {
        if permit.is_service || fingerprint == Some(permit.digest.as_str()) {
            return Ok(());
        }
        self.invalidate_engine();
        let detail = format!("answer of {fingerprint:?}, wanted {}", permit.digest);
        Err(Error::new(Code::AnswerMismatch, detail).with_run(Run::Unknown))
    }

    /// Why the upstream cannot answer from the version `digest`; none when it can.
    fn refusal(&self, digest: &str, is_service: bool) -> Option<Code> {
        if self.order_pending {
            return Some(Code::VersionMismatch);
        }
        if is_service {
            return None;
        }
        let Some((held, fence)) = &self.engine else {
            return Some(Code::EngineUnavailable);
        };
        let revision = self.pool.as_ref().map_or(0, |pool| pool.revision);
        // A higher fencing number shows an order by a process with newer tables.
        let fits = held == digest && self.verified == digest && *fence <= revision;
        (!fits).then_some(Code::VersionMismatch)
    }
}
