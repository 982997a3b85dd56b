//! An agent of a scenario: admission, drain, ledger of tickets, and a simulated engine.

use indexmap::IndexMap;

use crate::gate::AdmitRequest;
use crate::gate::Drain;
use crate::gate::Gate;
use crate::gate::OwnPool;
use crate::gate::Permit;
use crate::gate::admit::Verdict;
use crate::gate::drain;
use crate::once::Answer;
use crate::once::Claim;
use crate::once::Ledger;
use crate::once::Limits;
use crate::once::State;
use crate::once::Ticket;
use crate::prelude::*;
use crate::route::action::AnswerPart;
use crate::scenario::message::Attempt;
use crate::scenario::message::Effect;
use crate::scenario::message::Message;
use crate::scenario::message::Work;
use crate::table::TableSet;
use crate::table::doc::Kind;

/// Time after which a refresh of the tables counts as done although no process answered.
const REFRESH_TIMEOUT: Millis = Millis(200);

/// Bound on a drain before the tables have given one.
const DEFAULT_DRAIN: Millis = Millis(30_000);

/// Body of every answer.
const BODY: &[u8] = b"whole answer";

/// An attempt that was dispatched to the engine or service.
#[derive(Debug)]
struct Running {
    attempt: Attempt,
    permit: Permit,
    /// Entries that wait for the answer, with the attempt of each; more than one when a ticket
    /// was sent again.
    waiters: Vec<(String, Attempt)>,
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    name: String,
    gate: Gate,
    drain: Drain,
    ledger: Ledger,
    /// Digest of the version that the engine has loaded.
    engine_digest: String,
    /// Time that a load takes.
    load_time: Millis,
    /// Digest that the tables assign to the engine; empty for none.
    wanted_digest: String,
    /// Revision of the tables that gave the wanted digest; passed to the gate with the version
    /// once it is loaded.
    fence: u64,
    is_loading: bool,
    /// Dispatched attempts by request and attempt number.
    running: IndexMap<(String, u32), Running>,
    /// Attempts that wait for a refresh of the tables, with the entries that sent them.
    waiting: Vec<(String, Attempt)>,
    /// Time at which the refresh in progress counts as done; `None` without one.
    refresh_due: Option<Millis>,
}

impl Agent {
    /// Creates an agent without tables; its engine has loaded the digest `loaded`.
    pub fn new(name: &str, now: Millis, loaded: &str, load_time: Millis) -> Agent {
        let mut gate = Gate::new(now);
        gate.set_engine(gate.engine_epoch(), loaded, 0);
        Agent {
            name: name.to_string(),
            gate,
            drain: Drain::new(DEFAULT_DRAIN),
            ledger: Ledger::new(name, now.0, Limits::default()),
            engine_digest: loaded.to_string(),
            load_time,
            wanted_digest: String::new(),
            fence: 0,
            is_loading: false,
            running: IndexMap::new(),
            waiting: Vec::new(),
            refresh_due: None,
        }
    }

    /// Digest of the version that the engine has loaded.
    pub fn loaded_digest(&self) -> &str {
        &self.engine_digest
    }

    /// State by its name in scenario files.
    pub fn state(&self) -> &'static str {
        match self.drain.phase() {
            drain::Phase::Serving if self.gate.is_serving() => "serving",
            drain::Phase::Serving => "closed",
            drain::Phase::Draining => "leaving",
            _ => "drained",
        }
    }

    /// Admits requests by these tables from now on, and loads the version that they assign.
    pub fn set_tables(&mut self, now: Millis, set: &Arc<TableSet>, out: &mut Vec<Effect>) {
        let assigned = set.upstream(&self.name);
        self.gate
            .set_pool(assigned.map(|(pool_name, pool, _)| OwnPool {
                pool: pool_name.to_string(),
                model: pool.model.clone(),
                revision: set.stamp.revision,
                is_service: pool.kind == Kind::Service,
            }));
        let is_draining = assigned.is_none_or(|(_, _, upstream)| upstream.drain);
        if let Some((_, pool, _)) = assigned {
            self.wanted_digest = pool.digest.clone();
            self.fence = set.stamp.revision;
            let drain_time = Millis(pool.drain_s * 1_000);
            self.on_drain_event(now, drain::Event::DrainTime(drain_time), out);
        }
        self.on_drain_event(now, drain::Event::Table(is_draining), out);
        self.start_load(out);
    }

    /// Drains when the agent's own VM is among those that the live list marks as leaving, and
    /// serves again when it no longer is.
    pub fn set_leaving(&mut self, now: Millis, leaving: &[String], out: &mut Vec<Effect>) {
        let is_leaving = leaving.contains(&self.name);
        self.on_drain_event(now, drain::Event::List(is_leaving), out);
    }

    /// Starts a graceful stop.
    pub fn stop(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.on_drain_event(now, drain::Event::Stop, out);
    }

    /// Passes an event to the drain and carries out its actions.
    fn on_drain_event(&mut self, now: Millis, event: drain::Event, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.drain.on_event(now, event, &mut actions);
        self.apply_drain(now, actions, out);
    }

    /// Carries out actions of the drain.
    fn apply_drain(&mut self, now: Millis, actions: Vec<drain::Action>, out: &mut Vec<Effect>) {
        for action in actions {
            match action {
                drain::Action::Refuse => self.gate.set_leaving(now, true),
                drain::Action::Serve => self.gate.set_leaving(now, false),
                drain::Action::Abort => self.abort_running(out),
                drain::Action::Exit => out.push(Effect::Exit),
            }
        }
    }

    /// Ends all running attempts with an error whose outcome is unknown.
    fn abort_running(&mut self, out: &mut Vec<Effect>) {
        for (_, running) in std::mem::take(&mut self.running) {
            self.gate.end();
            if let Some(ticket) = &running.attempt.ticket {
                self.ledger.lose(ticket);
            }
            let error = Error::new(Code::UpstreamLost, "stopped").with_run(Run::Unknown);
            for (to, attempt) in running.waiters {
                out.push(failure(&to, &attempt, error.clone()));
            }
        }
    }

    /// Orders the engine to load the wanted version, unless it has it, is loading or runs a
    /// request.
    fn start_load(&mut self, out: &mut Vec<Effect>) {
        let is_loaded = self.wanted_digest.is_empty() || self.wanted_digest == self.engine_digest;
        if is_loaded || self.is_loading || !self.running.is_empty() {
            return;
        }
        self.gate.start_order();
        self.is_loading = true;
        out.push(Effect::After(
            self.load_time,
            Work::LoadEnd(self.wanted_digest.clone()),
        ));
    }

    /// Handles the end of a load or of a run.
    pub fn on_work(&mut self, now: Millis, work: Work, out: &mut Vec<Effect>) {
        match work {
            Work::LoadEnd(digest) => {
                self.is_loading = false;
                self.gate.end_order();
                self.gate.set_verified(&digest);
                self.gate
                    .set_engine(self.gate.engine_epoch(), &digest, self.fence);
                self.engine_digest = digest;
                self.start_load(out);
            }
            Work::AttemptEnd { request, attempt } => {
                self.finish_attempt(now, (request, attempt), out)
            }
        }
    }

    /// Sends the answer of an attempt that has run to all entries that wait for it.
    fn finish_attempt(&mut self, now: Millis, key: (String, u32), out: &mut Vec<Effect>) {
        let Some(running) = self.running.shift_remove(&key) else {
            return;
        };
        let checked = self
            .gate
            .check_answer(&running.permit, Some(&self.engine_digest));
        assert!(checked.is_ok(), "the engine changed while a request ran");
        self.gate.end();
        if let Some(ticket) = &running.attempt.ticket {
            let answer = Answer {
                status: 200,
                headers: Vec::new(),
                body: Bytes::from_static(BODY),
            };
            self.ledger.finish(ticket, Arc::new(answer));
        }
        for (to, attempt) in &running.waiters {
            send_answer(&self.name, to, attempt, out);
        }
        let running = self.running.len();
        self.on_drain_event(now, drain::Event::Work(running), out);
        self.start_load(out);
    }

    /// Handles an attempt that an entry sends.
    pub fn on_attempt(&mut self, now: Millis, from: &str, attempt: Attempt, out: &mut Vec<Effect>) {
        match attempt.ticket.clone() {
            Some(ticket) => self.claim(now, from, attempt, &ticket, out),
            None => self.admit(now, from, attempt, false, out),
        }
    }

    /// Handles a call with a ticket: a key that the ledger knows is never run again.
    ///
    /// A key is barred when its call was not dispatched and never will be.
    fn claim(
        &mut self,
        now: Millis,
        from: &str,
        attempt: Attempt,
        ticket: &Ticket,
        out: &mut Vec<Effect>,
    ) {
        let code = match self.ledger.claim(now, ticket, [0; 32]) {
            Claim::Run => return self.admit(now, from, attempt, false, out),
            Claim::Known(State::Done(_)) => return send_answer(&self.name, from, &attempt, out),
            Claim::Known(State::Running | State::Waiting) => {
                let has_ticket = |r: &&mut Running| r.attempt.ticket.as_ref() == Some(ticket);
                if let Some(running) = self.running.values_mut().find(has_ticket) {
                    running.waiters.push((from.to_string(), attempt));
                    return;
                }
                Code::OutcomeUnknown
            }
            Claim::Known(State::Barred) => Code::KeyBarred,
            Claim::Known(State::Lost) => Code::OutcomeUnknown,
            Claim::Unknown(code) => code,
            Claim::Mismatch => Code::TicketInvalid,
        };
        let run = if code == Code::KeyBarred {
            Run::NotRun
        } else {
            Run::Unknown
        };
        out.push(failure(
            from,
            &attempt,
            Error::new(code, "key").with_run(run),
        ));
    }

    /// Admits an attempt and dispatches it, refuses it, or keeps it until the tables have been
    /// refreshed; `is_refreshed` is true when they have been refreshed for this attempt.
    fn admit(
        &mut self,
        now: Millis,
        from: &str,
        attempt: Attempt,
        is_refreshed: bool,
        out: &mut Vec<Effect>,
    ) {
        let request = AdmitRequest {
            pool: attempt.pool.clone(),
            model: attempt.model.clone(),
            digest: attempt.digest.clone(),
            revision: attempt.revision,
            deadline: now.plus(attempt.remaining),
        };
        match self.gate.admit(now, &request, is_refreshed) {
            Verdict::Admit(permit) => match self.gate.dispatch(now, &permit) {
                Ok(()) => self.dispatch(now, from, attempt, permit, out),
                Err(code) => self.refuse(now, from, &attempt, code, out),
            },
            Verdict::Refuse(code) => self.refuse(now, from, &attempt, code, out),
            Verdict::Refresh => {
                self.start_refresh(now);
                out.push(Effect::AskTables(from.to_string()));
                self.waiting.push((from.to_string(), attempt));
            }
        }
    }

    /// Starts the run of an admitted attempt.
    fn dispatch(
        &mut self,
        now: Millis,
        from: &str,
        attempt: Attempt,
        permit: Permit,
        out: &mut Vec<Effect>,
    ) {
        if let Some(ticket) = &attempt.ticket {
            assert!(self.ledger.dispatch(ticket), "a key is dispatched once");
        }
        out.push(Effect::Dispatched(attempt.request.clone()));
        let request = attempt.request.clone();
        let number = attempt.number;
        out.push(Effect::After(
            attempt.run,
            Work::AttemptEnd {
                request,
                attempt: number,
            },
        ));
        let key = (attempt.request.clone(), number);
        let waiters = vec![(from.to_string(), attempt.clone())];
        let running = Running {
            attempt,
            permit,
            waiters,
        };
        self.running.insert(key, running);
        let running = self.running.len();
        self.on_drain_event(now, drain::Event::Work(running), out);
    }

    /// Refuses an attempt before its run; the key of a ticket is barred first, so that the
    /// answer "not run" stays true when the ticket is sent again.
    fn refuse(
        &mut self,
        now: Millis,
        from: &str,
        attempt: &Attempt,
        code: Code,
        out: &mut Vec<Effect>,
    ) {
        let mut run = Run::NotRun;
        if let Some(ticket) = &attempt.ticket
            && !matches!(
                self.ledger.bar(now, ticket, None),
                Claim::Known(State::Barred)
            )
        {
            run = Run::Unknown;
        }
        let error = Error::new(code, self.name.clone()).with_run(run);
        out.push(failure(from, attempt, error));
    }

    /// Cancels an attempt; one that does not run is ignored.
    pub fn on_cancel(&mut self, now: Millis, request: &str, attempt: u32, out: &mut Vec<Effect>) {
        let key = (request.to_string(), attempt);
        if self.running.shift_remove(&key).is_some() {
            self.gate.end();
            let running = self.running.len();
            self.on_drain_event(now, drain::Event::Work(running), out);
        }
    }

    /// Notes that a refresh of the tables is in progress, unless one is already.
    fn start_refresh(&mut self, now: Millis) {
        self.refresh_due.get_or_insert(now.plus(REFRESH_TIMEOUT));
    }

    /// Ends the refresh, as a process has answered about its tables or the time is over, and
    /// admits the attempts that waited for it.
    pub fn on_refreshed(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.refresh_due.take().is_none() {
            return;
        }
        self.gate.record_refresh(now);
        for (from, attempt) in std::mem::take(&mut self.waiting) {
            self.admit(now, &from, attempt, true, out);
        }
    }

    /// Does the periodic work: refresh after a pause, drain and expiry of keys.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.gate.observe(now);
        if self.gate.is_stale() {
            self.start_refresh(now);
        }
        if self.refresh_due.is_some_and(|due| due <= now) {
            self.on_refreshed(now, out);
        }
        let mut actions = Vec::new();
        self.drain.tick(now, &mut actions);
        self.apply_drain(now, actions, out);
        self.ledger.tick(now);
    }

    /// Entries whose connections break when the process dies, with their attempts.
    pub fn waiters(&self) -> Vec<(String, Attempt)> {
        let running = self.running.values().flat_map(|r| r.waiters.iter());
        running.chain(&self.waiting).cloned().collect()
    }
}

/// Effect that reports the failure of an attempt to the entry `to`.
fn failure(to: &str, attempt: &Attempt, error: Error) -> Effect {
    let message = Message::Fail {
        request: attempt.request.clone(),
        attempt: attempt.number,
        error,
    };
    Effect::Send(to.to_string(), message)
}

/// Sends the whole answer of the agent `name` to the entry `to`.
fn send_answer(name: &str, to: &str, attempt: &Attempt, out: &mut Vec<Effect>) {
    let parts = [
        AnswerPart::Head(name.to_string()),
        AnswerPart::Data(Bytes::from_static(BODY)),
        AnswerPart::Done(BODY.len() as u64),
    ];
    for (seq, part) in parts.into_iter().enumerate() {
        let message = Message::Frame {
            request: attempt.request.clone(),
            attempt: attempt.number,
            seq: seq as u64,
            part,
        };
        out.push(Effect::Send(to.to_string(), message));
    }
}
