//! Admission: which requests may be dispatched to the upstream.
//!
//! A request is checked on arrival and again after it has waited, because the
//! table, the engine and the time may have changed in between.

use crate::prelude::*;

/// Step of time between two observations after which the own view counts as stale.
///
/// Observations come at least twice a second, and new work must stop within 3 s
/// of a drain. A process that was paused for longer may have missed one.
pub const MAX_STEP: Millis = Millis(2_000);

/// Time for which work that was admitted before a drain may still be dispatched.
///
/// An upstream gets no new work later than 3 s after it starts to leave. Work
/// that already waits is run within that time, because a pool with one upstream
/// has no other place for it.
pub const LEAVE_GRACE: Millis = Millis(3_000);

common! { value
/// The part of the tables in force that concerns this upstream.
pub struct OwnPool {
    /// Pool that lists it.
    pub pool: String,
    /// Model of the pool; empty for services.
    pub model: String,
    /// Revision of the tables.
    pub revision: u64,
    /// True when a plain service without weights is behind the agent.
    pub is_service: bool,
}
}

common! { value
/// What a request asks for.
pub struct AdmitRequest {
    /// Pool chosen by the entry.
    pub pool: String,
    /// Model of that pool.
    pub model: String,
    /// Manifest digest of the version wanted.
    pub digest: String,
    /// Table revision of the entry.
    pub revision: u64,
    /// When the answer is due, by the agent's clock.
    pub deadline: Millis,
}
}

common! { value
/// Permission to dispatch one request, subject to [`Gate::dispatch`].
pub struct Permit {
    digest: String,
    service: bool,
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
        self.service
    }
}

common! { value
/// Result of [`Gate::admit`].
pub enum Verdict {
    /// The request may wait for dispatch.
    Admit(Permit),
    /// The tables or the engine's state must be read again before the decision.
    Refresh,
    /// The request is refused before its run.
    Refuse(Code),
}
}

/// State that decides about admission.
///
/// # Invariants
///
/// - A request of an engine pool is dispatched only while the engine's own state
///   reports the digest that the request names and no order is outstanding.
/// - No order is outstanding while a request runs.
#[derive(Debug, Default)]
pub struct Gate {
    own: Option<OwnPool>,
    /// Digest and fence that the engine reported; none until it has been read.
    engine: Option<(String, u64)>,
    /// Counts the events after which an earlier reading of the engine is void.
    reading: u64,
    /// Digest of the version that was verified whole by this process, or that
    /// the engine reported before this process gave it any order.
    whole: String,
    ordered: bool,
    ordering: bool,
    leaving: Option<Millis>,
    stale: bool,
    /// Length of the pause after which the view became stale.
    pause: Millis,
    running: usize,
    last: Millis,
}

impl Gate {
    /// A closed gate: no tables and no engine state are known.
    pub fn new(now: Millis) -> Gate {
        Gate {
            last: now,
            ..Gate::default()
        }
    }

    /// Replaces the own part of the tables; none when they do not list this upstream.
    pub fn set_pool(&mut self, own: Option<OwnPool>) {
        self.own = own;
    }

    /// Notes that the upstream leaves, or serves again.
    pub fn set_leaving(&mut self, now: Millis, leaving: bool) {
        self.observe(now);
        if !leaving {
            self.leaving = None;
        } else if self.leaving.is_none() {
            self.leaving = Some(now);
        }
    }

    /// Notes a version that this process has fetched and verified whole.
    pub fn set_verified(&mut self, digest: &str) {
        self.whole = digest.to_string();
    }

    /// Number to take before the engine's state is read, for [`Gate::set_engine`].
    pub fn engine_epoch(&self) -> u64 {
        self.reading
    }

    /// Notes the engine's own state.
    ///
    /// A reading that began before the engine came into doubt is ignored: it may
    /// report the state from before.
    pub fn set_engine(&mut self, reading: u64, digest: &str, fence: u64) {
        if reading != self.reading || self.ordering {
            return;
        }
        if !self.ordered {
            self.whole = digest.to_string();
        }
        self.engine = Some((digest.to_string(), fence));
    }

    /// Closes the gate until [`Gate::set_engine`]: the engine failed or its state is in doubt.
    pub fn invalidate_engine(&mut self) {
        self.engine = None;
        self.reading += 1;
    }

    /// Notes that an order is about to be given to the engine.
    ///
    /// # Panics
    ///
    /// When a request runs, since a load would replace its weights.
    pub fn start_order(&mut self) {
        assert_eq!(self.running, 0, "order while a request runs");
        self.ordered = true;
        self.ordering = true;
        self.invalidate_engine();
    }

    /// Notes that the order has ended; the engine's state must be read next.
    pub fn end_order(&mut self) {
        self.ordering = false;
        self.invalidate_engine();
    }

    /// Notes that tables and live list were asked for again.
    ///
    /// Called also when no source answered: a cut-off zone goes on with the
    /// last tables.
    pub fn record_refresh(&mut self, now: Millis) {
        self.last = now;
        self.stale = false;
        self.pause = Millis(0);
    }

    /// Notes the time; a large step makes the view stale.
    pub fn observe(&mut self, now: Millis) {
        let step = now.since(self.last);
        if step > MAX_STEP {
            self.stale = true;
            self.pause = self.pause.max(step);
        }
        self.last = self.last.max(now);
    }

    /// True when the tables must be asked for again before any admission.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// True while the upstream leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Requests dispatched and not ended.
    pub fn running(&self) -> usize {
        self.running
    }

    /// True when a request of the pool in force for the version held could be admitted.
    pub fn is_serving(&self) -> bool {
        let ready = |own: &OwnPool| self.unfit(&self.whole, own.is_service).is_none();
        !self.stale && self.leaving.is_none() && self.own.as_ref().is_some_and(ready)
    }

    /// Decides about a request on its arrival.
    ///
    /// `refreshed` tells that this request has already caused a refresh: then
    /// the state is taken as it is, since other sources may be unreachable.
    pub fn admit(&mut self, now: Millis, ask: &AdmitRequest, refreshed: bool) -> Verdict {
        self.observe(now);
        // A request that arrived during a pause may have waited for all of it.
        if ask.deadline <= now.plus(self.pause) {
            return Verdict::Refuse(Code::DeadlineExceeded);
        }
        if self.leaving.is_some() {
            return Verdict::Refuse(Code::UpstreamLeaving);
        }
        let behind = self.own.as_ref().map_or(0, |own| own.revision) < ask.revision;
        if self.stale || (behind && !refreshed) {
            return Verdict::Refresh;
        }
        let Some(own) = &self.own else {
            return Verdict::Refuse(Code::TablesMissing);
        };
        // The digest is that of the version held, which may be the one before the
        // pool's while the pool is reloaded in turns.
        if own.pool != ask.pool || own.model != ask.model {
            return Verdict::Refuse(Code::VersionMismatch);
        }
        if let Some(code) = self.unfit(&ask.digest, own.is_service) {
            return Verdict::Refuse(code);
        }
        Verdict::Admit(Permit {
            digest: ask.digest.clone(),
            service: own.is_service,
            deadline: ask.deadline,
        })
    }

    /// Checks a waiting request again and counts it as running.
    ///
    /// An error means that the request is not dispatched.
    pub fn dispatch(&mut self, now: Millis, permit: &Permit) -> std::result::Result<(), Code> {
        self.observe(now);
        if permit.deadline <= now {
            return Err(Code::DeadlineExceeded);
        }
        if self.stale {
            return Err(Code::UpstreamBusy);
        }
        if self.leaving.is_some_and(|at| now.since(at) > LEAVE_GRACE) {
            return Err(Code::UpstreamLeaving);
        }
        if let Some(code) = self.unfit(&permit.digest, permit.service) {
            return Err(code);
        }
        assert!(!self.ordering, "dispatch while an order is outstanding");
        assert!(
            permit.service || self.whole == permit.digest,
            "dispatch to partial or mixed weights"
        );
        self.running += 1;
        Ok(())
    }

    /// Notes the end of a dispatched request.
    pub fn end(&mut self) {
        assert!(self.running > 0, "more ends than dispatches");
        self.running -= 1;
    }

    /// Checks which weights produced a part of an answer, before it is forwarded.
    ///
    /// Engines that ignore fencing numbers may have been loaded by someone else.
    /// A mismatch closes the gate until the engine's state has been read again.
    pub fn check_answer(&mut self, permit: &Permit, fingerprint: Option<&str>) -> Result<()> {
        if permit.service || fingerprint == Some(permit.digest.as_str()) {
            return Ok(());
        }
        self.invalidate_engine();
        let detail = format!("answer of {fingerprint:?}, wanted {}", permit.digest);
        Err(Error::new(Code::AnswerMismatch, detail).with_run(Run::Unknown))
    }

    /// Why the upstream cannot answer from `digest`, or none when it can.
    fn unfit(&self, digest: &str, service: bool) -> Option<Code> {
        if self.ordering {
            return Some(Code::VersionMismatch);
        }
        if service {
            return None;
        }
        let Some((held, fence)) = &self.engine else {
            return Some(Code::EngineUnavailable);
        };
        let revision = self.own.as_ref().map_or(0, |own| own.revision);
        // A higher fence shows an order by a process with newer tables.
        let fits = held == digest && self.whole == digest && *fence <= revision;
        (!fits).then_some(Code::VersionMismatch)
    }
}
