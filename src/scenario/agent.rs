//! An agent of a scenario: gate, drain and ledger of the decision core, and a fake engine.

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
use crate::scenario::message::Message;
use crate::scenario::message::Out;
use crate::scenario::message::Serve;
use crate::scenario::message::Work;
use crate::table::TableSet;
use crate::table::doc::Kind;

/// Time after which a refresh is taken as done although no source answered.
const REFRESH_TIMEOUT: Millis = Millis(200);

/// Drain time while no tables are known.
const DEFAULT_DRAIN: Millis = Millis(30_000);

/// Body of every answer.
const BODY: &[u8] = b"whole answer";

/// A dispatched attempt.
#[derive(Debug)]
struct Running {
    serve: Serve,
    permit: Permit,
    /// Entries that wait for the answer; more than one for a repeated ticket.
    waiters: Vec<(String, Serve)>,
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    name: String,
    gate: Gate,
    drain: Drain,
    ledger: Ledger,
    engine: String,
    load: Millis,
    wanted: String,
    fence: u64,
    ordering: bool,
    running: IndexMap<(String, u32), Running>,
    waiting: Vec<(String, Serve)>,
    refresh: Option<Millis>,
}

impl Agent {
    /// An agent without tables in front of an engine that holds `loaded`.
    pub fn new(name: &str, now: Millis, loaded: &str, load: Millis) -> Agent {
        let mut gate = Gate::new(now);
        gate.set_engine(gate.engine_epoch(), loaded, 0);
        Agent {
            name: name.to_string(),
            gate,
            drain: Drain::new(DEFAULT_DRAIN),
            ledger: Ledger::new(name, now.0, Limits::default()),
            engine: loaded.to_string(),
            load,
            wanted: String::new(),
            fence: 0,
            ordering: false,
            running: IndexMap::new(),
            waiting: Vec::new(),
            refresh: None,
        }
    }

    /// Digest that the engine holds.
    pub fn engine(&self) -> &str {
        &self.engine
    }

    /// State as scenarios name it.
    pub fn state(&self) -> &'static str {
        match self.drain.phase() {
            drain::Phase::Serving if self.gate.is_serving() => "serving",
            drain::Phase::Serving => "closed",
            drain::Phase::Draining => "leaving",
            _ => "drained",
        }
    }

    /// Takes over tables.
    pub fn set_tables(&mut self, now: Millis, set: &Arc<TableSet>, out: &mut Vec<Out>) {
        let held = set.upstream(&self.name);
        self.gate.set_pool(held.map(|(pool_name, pool, _)| OwnPool {
            pool: pool_name.to_string(),
            model: pool.model.clone(),
            revision: set.stamp.revision,
            is_service: pool.kind == Kind::Service,
        }));
        let drains = held.is_none_or(|(_, _, upstream)| upstream.drain);
        if let Some((_, pool, _)) = held {
            self.wanted = pool.digest.clone();
            self.fence = set.stamp.revision;
            let bound = Millis(pool.drain_s * 1_000);
            self.drained(now, drain::Event::DrainTime(bound), out);
        }
        self.drained(now, drain::Event::Table(drains), out);
        self.order(out);
    }

    /// Takes over the live list's leaving VMs.
    pub fn set_leaving(&mut self, now: Millis, leaving: &[String], out: &mut Vec<Out>) {
        let is_leaving = leaving.contains(&self.name);
        self.drained(now, drain::Event::List(is_leaving), out);
    }

    /// Starts a graceful stop.
    pub fn stop(&mut self, now: Millis, out: &mut Vec<Out>) {
        self.drained(now, drain::Event::Stop, out);
    }

    fn drained(&mut self, now: Millis, event: drain::Event, out: &mut Vec<Out>) {
        let mut actions = Vec::new();
        self.drain.on_event(now, event, &mut actions);
        self.act(now, actions, out);
    }

    fn act(&mut self, now: Millis, actions: Vec<drain::Action>, out: &mut Vec<Out>) {
        for action in actions {
            match action {
                drain::Action::Refuse => self.gate.set_leaving(now, true),
                drain::Action::Serve => self.gate.set_leaving(now, false),
                drain::Action::Abort => self.abort(out),
                drain::Action::Exit => out.push(Out::Exit),
            }
        }
    }

    /// Ends what still runs with an explicit error.
    fn abort(&mut self, out: &mut Vec<Out>) {
        for (_, running) in std::mem::take(&mut self.running) {
            self.gate.end();
            if let Some(ticket) = &running.serve.ticket {
                self.ledger.lose(ticket);
            }
            let error = Error::new(Code::UpstreamLost, "stopped").with_run(Run::Unknown);
            for (to, serve) in running.waiters {
                out.push(fail(&to, &serve, error.clone()));
            }
        }
    }

    /// Orders the engine to load what the tables want, when nothing runs.
    fn order(&mut self, out: &mut Vec<Out>) {
        let is_held = self.wanted.is_empty() || self.wanted == self.engine;
        if is_held || self.ordering || !self.running.is_empty() {
            return;
        }
        self.gate.start_order();
        self.ordering = true;
        out.push(Out::After(self.load, Work::Loaded(self.wanted.clone())));
    }

    /// Takes the end of work.
    pub fn on_work(&mut self, now: Millis, work: Work, out: &mut Vec<Out>) {
        match work {
            Work::Loaded(digest) => {
                self.ordering = false;
                self.gate.end_order();
                self.gate.set_verified(&digest);
                self.gate
                    .set_engine(self.gate.engine_epoch(), &digest, self.fence);
                self.engine = digest;
                self.order(out);
            }
            Work::Ran { request, attempt } => self.ran(now, (request, attempt), out),
        }
    }

    fn ran(&mut self, now: Millis, key: (String, u32), out: &mut Vec<Out>) {
        let Some(running) = self.running.shift_remove(&key) else {
            return;
        };
        let checked = self.gate.check_answer(&running.permit, Some(&self.engine));
        assert!(checked.is_ok(), "the engine changed while a request ran");
        self.gate.end();
        if let Some(ticket) = &running.serve.ticket {
            let answer = Answer {
                status: 200,
                headers: Vec::new(),
                body: Bytes::from_static(BODY),
            };
            self.ledger.finish(ticket, Arc::new(answer));
        }
        for (to, serve) in &running.waiters {
            answer(&self.name, to, serve, out);
        }
        let work = self.running.len();
        self.drained(now, drain::Event::Work(work), out);
        self.order(out);
    }

    /// Takes an attempt.
    pub fn on_serve(&mut self, now: Millis, from: &str, serve: Serve, out: &mut Vec<Out>) {
        match serve.ticket.clone() {
            Some(ticket) => self.claim(now, from, serve, &ticket, out),
            None => self.admit(now, from, serve, false, out),
        }
    }

    /// Takes a call that may not be repeated: a known key is never run again.
    fn claim(
        &mut self,
        now: Millis,
        from: &str,
        serve: Serve,
        ticket: &Ticket,
        out: &mut Vec<Out>,
    ) {
        let code = match self.ledger.claim(now, ticket, [0; 32]) {
            Claim::Run => return self.admit(now, from, serve, false, out),
            Claim::Known(State::Done(_)) => return answer(&self.name, from, &serve, out),
            Claim::Known(State::Running | State::Waiting) => {
                let same = |r: &&mut Running| r.serve.ticket.as_ref() == Some(ticket);
                if let Some(running) = self.running.values_mut().find(same) {
                    running.waiters.push((from.to_string(), serve));
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
        out.push(fail(from, &serve, Error::new(code, "key").with_run(run)));
    }

    fn admit(&mut self, now: Millis, from: &str, serve: Serve, again: bool, out: &mut Vec<Out>) {
        let ask = AdmitRequest {
            pool: serve.pool.clone(),
            model: serve.model.clone(),
            digest: serve.digest.clone(),
            revision: serve.revision,
            deadline: now.plus(serve.remaining),
        };
        match self.gate.admit(now, &ask, again) {
            Verdict::Admit(permit) => match self.gate.dispatch(now, &permit) {
                Ok(()) => self.dispatch(now, from, serve, permit, out),
                Err(code) => self.refuse(now, from, &serve, code, out),
            },
            Verdict::Refuse(code) => self.refuse(now, from, &serve, code, out),
            Verdict::Refresh => {
                self.start_refresh(now);
                out.push(Out::Ask(from.to_string()));
                self.waiting.push((from.to_string(), serve));
            }
        }
    }

    fn dispatch(
        &mut self,
        now: Millis,
        from: &str,
        serve: Serve,
        permit: Permit,
        out: &mut Vec<Out>,
    ) {
        if let Some(ticket) = &serve.ticket {
            assert!(self.ledger.dispatch(ticket), "a key is dispatched once");
        }
        out.push(Out::Dispatched(serve.request.clone()));
        let request = serve.request.clone();
        let attempt = serve.attempt;
        out.push(Out::After(serve.run, Work::Ran { request, attempt }));
        let key = (serve.request.clone(), attempt);
        let waiters = vec![(from.to_string(), serve.clone())];
        let running = Running {
            serve,
            permit,
            waiters,
        };
        self.running.insert(key, running);
        let work = self.running.len();
        self.drained(now, drain::Event::Work(work), out);
    }

    /// Refuses before the run; a key is barred first, so that "not run" stays true.
    fn refuse(&mut self, now: Millis, from: &str, serve: &Serve, code: Code, out: &mut Vec<Out>) {
        let mut run = Run::NotRun;
        if let Some(ticket) = &serve.ticket
            && !matches!(
                self.ledger.bar(now, ticket, None),
                Claim::Known(State::Barred)
            )
        {
            run = Run::Unknown;
        }
        let error = Error::new(code, self.name.clone()).with_run(run);
        out.push(fail(from, serve, error));
    }

    /// Cancels an attempt.
    pub fn on_cancel(&mut self, now: Millis, request: &str, attempt: u32, out: &mut Vec<Out>) {
        let key = (request.to_string(), attempt);
        if self.running.shift_remove(&key).is_some() {
            self.gate.end();
            let work = self.running.len();
            self.drained(now, drain::Event::Work(work), out);
        }
    }

    fn start_refresh(&mut self, now: Millis) {
        self.refresh.get_or_insert(now.plus(REFRESH_TIMEOUT));
    }

    /// A source of tables has answered.
    pub fn refreshed(&mut self, now: Millis, out: &mut Vec<Out>) {
        if self.refresh.take().is_none() {
            return;
        }
        self.gate.record_refresh(now);
        for (from, serve) in std::mem::take(&mut self.waiting) {
            self.admit(now, &from, serve, true, out);
        }
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Out>) {
        self.gate.observe(now);
        if self.gate.is_stale() {
            self.start_refresh(now);
        }
        if self.refresh.is_some_and(|due| due <= now) {
            self.refreshed(now, out);
        }
        let mut actions = Vec::new();
        self.drain.tick(now, &mut actions);
        self.act(now, actions, out);
        self.ledger.tick(now);
    }

    /// Entries whose connections break when the process dies.
    pub fn waiters(&self) -> Vec<(String, Serve)> {
        let running = self.running.values().flat_map(|r| r.waiters.iter());
        running.chain(&self.waiting).cloned().collect()
    }
}

fn fail(to: &str, serve: &Serve, error: Error) -> Out {
    let message = Message::Fail {
        request: serve.request.clone(),
        attempt: serve.attempt,
        error,
    };
    Out::Send(to.to_string(), message)
}

fn answer(name: &str, to: &str, serve: &Serve, out: &mut Vec<Out>) {
    let pieces = [
        AnswerPart::Head(name.to_string()),
        AnswerPart::Data(Bytes::from_static(BODY)),
        AnswerPart::Done(BODY.len() as u64),
    ];
    for (seq, piece) in pieces.into_iter().enumerate() {
        let message = Message::Frame {
            request: serve.request.clone(),
            attempt: serve.attempt,
            seq: seq as u64,
            piece,
        };
        out.push(Out::Send(to.to_string(), message));
    }
}
