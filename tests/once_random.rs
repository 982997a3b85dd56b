//! Seeded runs of tickets, ledger and gate over a network that drops, delays and
//! duplicates messages and is partitioned, with pauses, restarts, drains and table changes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;

use chervilquay::gate::AdmitRequest;
use chervilquay::gate::Gate;
use chervilquay::gate::OwnPool;
use chervilquay::gate::Permit;
use chervilquay::gate::admit::LEAVE_GRACE;
use chervilquay::gate::admit::Verdict;
use chervilquay::once::Answer;
use chervilquay::once::Claim;
use chervilquay::once::Ledger;
use chervilquay::once::Limits;
use chervilquay::once::State;
use chervilquay::once::Ticket;
use chervilquay::prelude::*;

const SEEDS: u64 = 200;
const STEPS: usize = 10_000;
const AGENTS: usize = 4;
const ENTRIES: usize = 3;
const MAX_RUNNING: usize = 2;
const MINUTE: u64 = 60_000;

/// A rule that a run disables, to show that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// Bar a key before its call is reported as not run.
    Bar,
    /// Only the incarnation that the ticket names runs the call.
    Incarnation,
    /// Keep records until their keys have expired.
    Retention,
    /// Record the key before dispatch.
    Record,
    /// Check which version of the weights produced an answer.
    Fingerprint,
    /// Check the deadline and the drain again at dispatch.
    Recheck,
    /// Match answers to requests by identity.
    Identity,
}

#[derive(Clone, Debug)]
enum Reply {
    Answer { call: usize, whole: bool },
    NotRun,
    Unknown,
}

#[derive(Clone, Debug)]
struct Serve {
    agent: usize,
    entry: usize,
    call: usize,
    attempt: u32,
    ticket: Option<Ticket>,
    admit_request: AdmitRequest,
    remaining: u64,
    resolve: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Caller(usize),
    Serve(Serve),
    Reply {
        entry: usize,
        call: usize,
        attempt: u32,
        reply: Reply,
    },
    Done {
        agent: usize,
        incarnation: u64,
        work: usize,
    },
    Loaded {
        agent: usize,
        incarnation: u64,
    },
    UpdateTables(usize),
    Tick(usize),
    Disturb,
}

/// What one process knows of the tables: version of the pool's weights, drained agents.
#[derive(Clone, Debug, Default)]
struct Tables {
    revision: u64,
    version: u64,
    drained: BTreeSet<usize>,
}

struct Work {
    id: usize,
    serve: Serve,
    permit: Permit,
    waiters: Vec<(usize, usize, u32)>,
    started: String,
    counted: bool,
}

struct Agent {
    incarnation: u64,
    offset: u64,
    ledger: Ledger,
    gate: Gate,
    tables: Tables,
    paused: u64,
    leaving: Option<u64>,
    queue: VecDeque<Work>,
    running: BTreeMap<usize, Work>,
    /// Version that the engine has loaded. The engine keeps running when the agent restarts.
    loaded: u64,
    fence: u64,
    loading: bool,
}

struct Entry {
    offset: u64,
    tables: Tables,
    incarnations: [u64; AGENTS],
    /// Unanswered attempts and their keys.
    pending: BTreeMap<(usize, u32), String>,
}

#[derive(Default)]
struct Call {
    ticket: Option<Ticket>,
    keyed: bool,
    attempt: u32,
    sends: u32,
    ended: bool,
}

struct World {
    rng: fastrand::Rng,
    disabled: Option<Rule>,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: HashMap<u64, Event>,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    tables: Tables,
    partitioned: [bool; ENTRIES],
    works: usize,
    /// Runs as the emulated engines count them, by key, or by call when it has no key.
    runs: HashMap<String, u32>,
    not_run: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
    violation: Option<String>,
}

fn digest(version: u64) -> String {
    format!("v{version}")
}

fn own_pool(tables: &Tables) -> OwnPool {
    OwnPool {
        pool: "p".to_string(),
        model: "m".to_string(),
        revision: tables.revision,
        is_service: false,
    }
}

fn text(ticket: &Ticket) -> String {
    format!("{}.{}", ticket.minted.0, ticket.nonce)
}

fn key(serve: &Serve) -> String {
    match &serve.ticket {
        Some(ticket) => text(ticket),
        None => format!("call {}", serve.call),
    }
}

impl World {
    fn new(seed: u64, disabled: Option<Rule>) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let tables = Tables {
            revision: 1,
            ..Tables::default()
        };
        let now = 1_000 * MINUTE;
        // The clocks of entries and agents sometimes differ by more than the skew.
        let entries = (0..ENTRIES).map(|_| Entry {
            offset: rng.u64(0..50_000),
            tables: tables.clone(),
            incarnations: [0; AGENTS],
            pending: BTreeMap::new(),
        });
        let entries = entries.collect();
        let agents = (0..AGENTS)
            .map(|i| agent(i, now, 25_000, &tables))
            .collect();
        let mut world = World {
            rng,
            disabled,
            now,
            sequence: 0,
            events: BinaryHeap::new(),
            scheduled: HashMap::new(),
            agents,
            entries,
            calls: Vec::new(),
            tables,
            partitioned: [false; ENTRIES],
            works: 0,
            runs: HashMap::new(),
            not_run: Vec::new(),
            counts: BTreeMap::new(),
            violation: None,
        };
        world.schedule(0, Event::Disturb);
        for index in 0..AGENTS {
            world.schedule(0, Event::Tick(index));
        }
        for index in 0..AGENTS + ENTRIES {
            world.schedule(0, Event::UpdateTables(index));
        }
        world
    }

    fn run(mut self) -> World {
        for _ in 0..STEPS {
            let Some(Reverse((at, sequence))) = self.events.pop() else {
                break;
            };
            self.now = at;
            if let Some(event) = self.scheduled.remove(&sequence) {
                self.step(event);
            }
            if self.violation.is_some() {
                return self;
            }
        }
        for key in &self.not_run {
            if self.runs.contains_key(key) {
                self.violation = Some(format!("not run, but the engine ran {key}"));
            }
        }
        self
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.u32(0..100) < percent
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn check(&mut self, holds: bool, what: impl Fn() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(what());
        }
    }

    /// Sends a message between entry and agent, which may be lost, delayed or duplicated.
    fn send(&mut self, entry: usize, once: bool, event: Event) {
        if self.partitioned[entry] || self.chance(5) {
            return;
        }
        let copies = if !once && self.chance(10) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = match self.rng.u32(0..100) {
                0..80 => self.rng.u64(1..50),
                80..97 => self.rng.u64(50..8_000),
                _ => self.rng.u64(8_000..40 * MINUTE),
            };
            self.schedule(delay, event.clone());
        }
    }

    fn step(&mut self, event: Event) {
        if let Some(agent) = target(&event) {
            let paused = self.agents[agent].paused;
            if paused > self.now {
                let delay = paused - self.now;
                return self.schedule(delay, event);
            }
        }
        match event {
            Event::Caller(call) => self.caller(call),
            Event::Serve(serve) => self.serve(serve),
            Event::Reply {
                entry,
                call,
                attempt,
                reply,
            } => {
                self.reply(entry, call, attempt, reply);
            }
            Event::Done {
                agent,
                incarnation,
                work,
            } => self.done(agent, incarnation, work),
            Event::Loaded { agent, incarnation } => self.loaded(agent, incarnation),
            Event::UpdateTables(index) => self.update_tables(index),
            Event::Tick(agent) => {
                let now = self.clock(agent);
                self.agents[agent].gate.observe(now);
                self.refresh(agent);
                self.dispatch_waiting(agent);
                self.schedule(500, Event::Tick(agent));
            }
            Event::Disturb => self.disturb(),
        }
    }

    fn clock(&self, agent: usize) -> Millis {
        Millis(self.now + self.agents[agent].offset)
    }

    /// Injects a fault, an action of an operator or a new caller.
    fn disturb(&mut self) {
        let agent = self.rng.usize(..AGENTS);
        match self.rng.u32(0..100) {
            0..4 => self.restart(agent),
            4..8 => self.agents[agent].paused = self.now + self.rng.u64(100..40_000),
            8..12 => {
                let entry = self.rng.usize(..ENTRIES);
                self.partitioned[entry] = !self.partitioned[entry];
            }
            12..16 => {
                self.tables.revision += 1;
                self.tables.version += u64::from(self.rng.bool());
            }
            16..22 => {
                self.tables.revision += 1;
                if !self.tables.drained.remove(&agent) {
                    self.tables.drained.insert(agent);
                }
            }
            22..25 => self.crash_engine(agent),
            // An engine that ignores fences obeys a load order of another process.
            25..27 => self.agents[agent].loaded = self.rng.u64(0..=self.tables.version),
            27..30 => self.drop_records(agent),
            _ => {
                self.calls.push(Call {
                    keyed: self.rng.u32(0..4) > 0,
                    ..Call::default()
                });
                self.schedule(0, Event::Caller(self.calls.len() - 1));
            }
        }
        let delay = self.rng.u64(10..600);
        self.schedule(delay, Event::Disturb);
    }

    /// Without the retention rule, drops records while their keys are still valid.
    fn drop_records(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if self.disabled == Some(Rule::Retention)
            && agent.queue.is_empty()
            && agent.running.is_empty()
        {
            agent.ledger = ledger(index, agent.incarnation);
        }
    }

    /// Restarts an agent; its engine keeps running its requests.
    fn restart(&mut self, index: usize) {
        let now = self.now;
        let offset = 25_000 + self.rng.u64(0..2_000);
        let old = &self.agents[index];
        let mut new = agent(index, now, offset, &old.tables);
        new.incarnation = old.incarnation + 1;
        new.ledger = ledger(index, new.incarnation);
        (new.loaded, new.fence) = (old.loaded, old.fence);
        new.gate.set_engine(0, &digest(new.loaded), new.fence);
        if new.tables.drained.contains(&index) {
            new.gate.set_leaving(Millis(now + offset), true);
            new.leaving = Some(now);
        }
        self.agents[index] = new;
        self.count("restarts");
    }

    fn crash_engine(&mut self, index: usize) {
        self.agents[index].gate.invalidate_engine();
        let lost = std::mem::take(&mut self.agents[index].running);
        for (_, work) in lost {
            self.lose(index, work);
        }
    }

    fn update_tables(&mut self, index: usize) {
        let delay = self.rng.u64(500..3_000);
        self.schedule(delay, Event::UpdateTables(index));
        if index < AGENTS {
            return self.refresh(index);
        }
        let entry = &mut self.entries[index - AGENTS];
        entry.tables = self.tables.clone();
        if !self.partitioned[index - AGENTS] {
            entry.incarnations = std::array::from_fn(|i| self.agents[i].incarnation);
        }
    }

    /// Reads the tables and the state of the engine, and loads a version when nothing runs.
    fn refresh(&mut self, index: usize) {
        if self.agents[index].paused > self.now {
            return;
        }
        let now = self.clock(index);
        let agent = &mut self.agents[index];
        agent.tables = self.tables.clone();
        agent.gate.set_pool(Some(own_pool(&agent.tables)));
        let drained = agent.tables.drained.contains(&index);
        agent.gate.set_leaving(now, drained);
        agent.leaving = drained.then(|| agent.leaving.unwrap_or(self.now));
        agent.gate.record_refresh(now);
        let epoch = agent.gate.engine_epoch();
        agent
            .gate
            .set_engine(epoch, &digest(agent.loaded), agent.fence);
        let idle = agent.running.is_empty() && agent.queue.is_empty() && !agent.loading;
        if idle && agent.loaded != agent.tables.version {
            agent.gate.start_order();
            agent.loading = true;
            let incarnation = agent.incarnation;
            let delay = self.rng.u64(50..1_500);
            self.schedule(
                delay,
                Event::Loaded {
                    agent: index,
                    incarnation,
                },
            );
        }
    }

    fn loaded(&mut self, index: usize, incarnation: u64) {
        let agent = &mut self.agents[index];
        if agent.incarnation != incarnation {
            return;
        }
        agent.loading = false;
        agent.loaded = agent.tables.version;
        agent.fence = agent.tables.revision;
        agent.gate.end_order();
        agent.gate.set_verified(&digest(agent.loaded));
        let epoch = agent.gate.engine_epoch();
        agent
            .gate
            .set_engine(epoch, &digest(agent.loaded), agent.fence);
    }

    /// A caller sends its request, possibly again through another entry.
    fn caller(&mut self, index: usize) {
        if self.calls[index].ended || self.calls[index].sends >= 8 {
            return;
        }
        let entry = self.rng.usize(..ENTRIES);
        let mut agent = self.rng.usize(..AGENTS);
        let now = Millis(self.now + self.entries[entry].offset);
        let call = &mut self.calls[index];
        if call.keyed && call.ticket.is_none() {
            let name = agent.to_string();
            let incarnation = self.entries[entry].incarnations[agent];
            call.ticket = Some(Ticket::mint(&name, incarnation, now, &mut self.rng));
        }
        if let Some(ticket) = &call.ticket {
            agent = ticket.agent.parse().expect("agents are named by number");
        }
        call.sends += 1;
        call.attempt += 1;
        let (attempt, keyed) = (call.attempt, call.keyed);
        let tables = &self.entries[entry].tables;
        let own_pool = own_pool(tables);
        let admit_request = AdmitRequest {
            pool: own_pool.pool,
            model: own_pool.model,
            digest: digest(tables.version),
            revision: own_pool.revision,
            deadline: Millis(0),
        };
        let serve = Serve {
            agent,
            entry,
            call: index,
            attempt,
            ticket: self.calls[index].ticket.clone(),
            admit_request,
            remaining: self.rng.u64(200..20_000),
            resolve: keyed && attempt > 1 && self.chance(30),
        };
        let open = &mut self.entries[entry].pending;
        open.insert((index, attempt), key(&serve));
        self.send(entry, !keyed, Event::Serve(serve));
        if keyed {
            let delay = match self.rng.u32(0..20) {
                0 => self.rng.u64(MINUTE..40 * MINUTE),
                _ => self.rng.u64(50..9_000),
            };
            self.schedule(delay, Event::Caller(index));
        }
    }

    fn reply(&mut self, entry: usize, call: usize, attempt: u32, reply: Reply) {
        let mut taken = (call, attempt);
        if self.disabled == Some(Rule::Identity) {
            // The answer goes to any request that is unanswered.
            taken = self.entries[entry]
                .pending
                .keys()
                .next()
                .copied()
                .unwrap_or(taken);
        }
        let Some(key) = self.entries[entry].pending.remove(&taken) else {
            return;
        };
        let index = taken.0;
        match reply {
            Reply::Answer { call, whole } => {
                self.check(call == index, || {
                    format!("call {index} got the answer of {call}")
                });
                self.check(whole, || {
                    format!("call {index} got an answer of mixed weights")
                });
                self.calls[index].ended = true;
                self.count("answers");
            }
            Reply::NotRun => {
                self.count("not run");
                let call = &mut self.calls[index];
                let current = call.ticket.as_ref().map(text);
                if current.as_ref() == Some(&key) {
                    call.ticket = None;
                }
                if call.keyed || call.sends >= 8 {
                    self.not_run.push(key);
                }
                let delay = self.rng.u64(1..2_000);
                self.schedule(delay, Event::Caller(index));
            }
            Reply::Unknown => self.count("unknown"),
        }
    }

    /// What an agent does with a request, in the same order as the real agent.
    fn serve(&mut self, mut serve: Serve) {
        let index = serve.agent;
        let now = self.clock(index);
        serve.admit_request.deadline = now.plus(Millis(serve.remaining));
        if self.disabled == Some(Rule::Incarnation)
            && let Some(ticket) = &mut serve.ticket
        {
            ticket.incarnation = self.agents[index].incarnation;
        }
        if serve.resolve {
            return self.bar(serve, now);
        }
        if let Some(ticket) = &serve.ticket
            && let Some(state) = self.agents[index].ledger.peek(ticket).cloned()
            && self.disabled != Some(Rule::Record)
        {
            return self.known(serve, state);
        }
        let gate = &mut self.agents[index].gate;
        let mut verdict = gate.admit(now, &serve.admit_request, false);
        if verdict == Verdict::Refresh {
            self.refresh(index);
            verdict = self.agents[index]
                .gate
                .admit(now, &serve.admit_request, true);
        }
        let Verdict::Admit(permit) = verdict else {
            return self.bar(serve, now);
        };
        if let Some(ticket) = &serve.ticket
            && self.disabled != Some(Rule::Record)
        {
            let fingerprint = [serve.call as u8; 32];
            match self.agents[index].ledger.claim(now, ticket, fingerprint) {
                Claim::Run => {}
                Claim::Known(state) => return self.known(serve, state),
                _ => return self.answer(&serve, Reply::Unknown),
            }
        }
        self.works += 1;
        let waiters = vec![(serve.entry, serve.call, serve.attempt)];
        let id = self.works;
        let (started, counted) = (String::new(), false);
        let work = Work {
            id,
            serve,
            permit,
            waiters,
            started,
            counted,
        };
        self.agents[index].queue.push_back(work);
        self.dispatch_waiting(index);
    }

    fn bar(&mut self, serve: Serve, now: Millis) {
        let Some(ticket) = &serve.ticket else {
            return self.answer(&serve, Reply::NotRun);
        };
        if self.disabled == Some(Rule::Bar) && !serve.resolve {
            return self.answer(&serve, Reply::NotRun);
        }
        match self.agents[serve.agent].ledger.bar(now, ticket, None) {
            Claim::Known(state) => self.known(serve, state),
            _ => self.answer(&serve, Reply::Unknown),
        }
    }

    fn known(&mut self, serve: Serve, state: State) {
        let ticket = serve.ticket.as_ref();
        let agent = &mut self.agents[serve.agent];
        match state {
            State::Done(Some(answer)) => {
                let reply = decode(&answer);
                self.count("replays");
                self.answer(&serve, reply);
            }
            State::Barred => self.answer(&serve, Reply::NotRun),
            State::Done(None) | State::Lost => self.answer(&serve, Reply::Unknown),
            State::Waiting | State::Running => {
                let mut works = agent.queue.iter_mut().chain(agent.running.values_mut());
                if let Some(work) = works.find(|w| w.serve.ticket.as_ref() == ticket) {
                    work.waiters.push((serve.entry, serve.call, serve.attempt));
                }
                self.count("attached");
            }
        }
    }

    fn answer(&mut self, serve: &Serve, reply: Reply) {
        let (entry, call, attempt) = (serve.entry, serve.call, serve.attempt);
        self.send(
            entry,
            false,
            Event::Reply {
                entry,
                call,
                attempt,
                reply,
            },
        );
    }

    fn answer_all(&mut self, work: &Work, reply: Reply) {
        for &(entry, call, attempt) in &work.waiters {
            let reply = reply.clone();
            self.send(
                entry,
                false,
                Event::Reply {
                    entry,
                    call,
                    attempt,
                    reply,
                },
            );
        }
    }

    /// Dispatches waiting requests.
    fn dispatch_waiting(&mut self, index: usize) {
        let now = self.clock(index);
        while self.agents[index].running.len() < MAX_RUNNING {
            let agent = &mut self.agents[index];
            let Some(mut work) = agent.queue.pop_front() else {
                return;
            };
            let refused = agent.gate.dispatch(now, &work.permit).is_err();
            if refused && self.disabled != Some(Rule::Recheck) {
                self.refuse(now, work);
                continue;
            }
            if let Some(ticket) = &work.serve.ticket
                && self.disabled != Some(Rule::Record)
                && !agent.ledger.dispatch(ticket)
            {
                if !refused {
                    agent.gate.end();
                }
                self.answer_all(&work, Reply::NotRun);
                continue;
            }
            work.started = digest(agent.loaded);
            work.counted = !refused;
            self.start(index, work);
        }
    }

    fn refuse(&mut self, now: Millis, work: Work) {
        if let Some(ticket) = &work.serve.ticket {
            let ledger = &mut self.agents[work.serve.agent].ledger;
            if self.disabled != Some(Rule::Record) {
                let barred = ledger.bar(now, ticket, None);
                assert_eq!(barred, Claim::Known(State::Barred));
            }
        }
        self.answer_all(&work, Reply::NotRun);
    }

    /// The emulated engine runs a request and counts the run.
    fn start(&mut self, index: usize, work: Work) {
        let (now, real) = (self.clock(index), self.now);
        let leaving = self.agents[index].leaving;
        let timely =
            work.permit.deadline() > now && leaving.is_none_or(|at| real <= at + LEAVE_GRACE.0);
        self.check(timely, || {
            "dispatch after the deadline or in a drain".to_string()
        });
        let key = key(&work.serve);
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        let runs = *runs;
        self.check(runs == 1, || format!("{runs} runs of {key}"));
        self.count("runs");
        let incarnation = self.agents[index].incarnation;
        let delay = self.rng.u64(10..3_000);
        self.schedule(
            delay,
            Event::Done {
                agent: index,
                incarnation,
                work: work.id,
            },
        );
        self.agents[index].running.insert(work.id, work);
    }

    fn done(&mut self, index: usize, incarnation: u64, id: usize) {
        let agent = &mut self.agents[index];
        if agent.incarnation != incarnation {
            return;
        }
        let Some(work) = agent.running.remove(&id) else {
            return;
        };
        let parts = [work.started.clone(), digest(agent.loaded)];
        let whole = parts
            .iter()
            .all(|part| *part == work.serve.admit_request.digest);
        let mut checks = parts
            .iter()
            .map(|p| agent.gate.check_answer(&work.permit, Some(p)));
        if checks.any(|check| check.is_err()) && self.disabled != Some(Rule::Fingerprint) {
            self.count("mismatches");
            return self.lose(index, work);
        }
        if work.counted {
            agent.gate.end();
        }
        let body = format!("{} {whole}", work.serve.call);
        let answer = Answer {
            status: 200,
            headers: Vec::new(),
            body: body.into(),
        };
        let reply = decode(&answer);
        if let Some(ticket) = &work.serve.ticket
            && self.disabled != Some(Rule::Record)
        {
            agent.ledger.finish(ticket, Arc::new(answer));
        }
        self.answer_all(&work, reply);
        self.dispatch_waiting(index);
    }

    fn lose(&mut self, index: usize, work: Work) {
        let agent = &mut self.agents[index];
        if work.counted {
            agent.gate.end();
        }
        if let Some(ticket) = &work.serve.ticket
            && self.disabled != Some(Rule::Record)
        {
            agent.ledger.lose(ticket);
        }
        self.answer_all(&work, Reply::Unknown);
    }
}

fn decode(answer: &Answer) -> Reply {
    let text = String::from_utf8_lossy(&answer.body);
    let (call, whole) = text.split_once(' ').expect("two words");
    Reply::Answer {
        call: call.parse().expect("a number"),
        whole: whole == "true",
    }
}

fn target(event: &Event) -> Option<usize> {
    match event {
        Event::Serve(serve) => Some(serve.agent),
        Event::Done { agent, .. } | Event::Loaded { agent, .. } => Some(*agent),
        Event::Tick(agent) => Some(*agent),
        _ => None,
    }
}

fn ledger(index: usize, incarnation: u64) -> Ledger {
    // The bounds are small, so that full ledgers and dropped answers occur.
    let limits = Limits {
        max_records: 300,
        max_bytes: 500,
        ..Limits::default()
    };
    Ledger::new(&index.to_string(), incarnation, limits)
}

fn agent(index: usize, now: u64, offset: u64, tables: &Tables) -> Agent {
    let mut gate = Gate::new(Millis(now + offset));
    gate.set_pool(Some(own_pool(tables)));
    Agent {
        incarnation: 0,
        offset,
        ledger: ledger(index, 0),
        gate,
        tables: tables.clone(),
        paused: 0,
        leaving: None,
        queue: VecDeque::new(),
        running: BTreeMap::new(),
        loaded: 0,
        fence: 0,
        loading: false,
    }
}

// Guards, under all faults, against a second run of a call with a ticket, a call that ran but
// is reported as not run, an answer of another request or of mixed weights, and late
// dispatches.
#[test]
fn guarantees_hold() {
    let mut counts = BTreeMap::<&str, u64>::new();
    for seed in 0..SEEDS {
        let world = World::new(seed, None).run();
        assert_eq!(world.violation, None, "seed {seed}");
        for (what, count) in world.counts {
            *counts.entry(what).or_default() += count;
        }
    }
    println!("{counts:?}");
    // The runs must reach each of the cases that they check.
    for what in [
        "answers",
        "not run",
        "unknown",
        "replays",
        "attached",
        "mismatches",
        "restarts",
    ] {
        assert!(counts[what] > SEEDS, "{what}: {counts:?}");
    }
}

// Guards against checks that cannot fail: a run with a rule disabled must be detected.
#[test]
fn missing_rules_are_found() {
    use Rule::*;
    for rule in [
        Bar,
        Incarnation,
        Retention,
        Record,
        Fingerprint,
        Recheck,
        Identity,
    ] {
        let found = (0..SEEDS).find_map(|seed| World::new(seed, Some(rule)).run().violation);
        println!("{rule:?}: {found:?}");
        assert!(found.is_some(), "no seed fails without {rule:?}");
    }
}
