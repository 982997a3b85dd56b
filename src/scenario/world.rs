//! The world of a scenario: clock, links, configuration service and processes.

use std::collections::BTreeMap;

use fastrand::Rng;
use indexmap::IndexMap;

use crate::once::Ticket;
use crate::prelude::*;
use crate::scenario::Report;
use crate::scenario::agent::Agent;
use crate::scenario::doc::NodeSpec;
use crate::scenario::doc::PLATFORM;
use crate::scenario::doc::Publish;
use crate::scenario::doc::Role;
use crate::scenario::doc::Scenario;
use crate::scenario::doc::Step;
use crate::scenario::entry::Entry;
use crate::scenario::expect;
use crate::scenario::message::Ending;
use crate::scenario::message::Message;
use crate::scenario::message::Out;
use crate::scenario::message::Work;
use crate::scenario::tables::Tables;

/// Interval of the processes' periodic work.
const TICK: Millis = Millis(50);

/// Interval of the exchange with one random peer.
const EXCHANGE: Millis = Millis(2_000);

/// Peers that hear of a new set at once.
const NOTIFIED: usize = 4;

/// Whether a process makes progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It runs.
    Up,
    /// It is stopped and will go on with its old view.
    Paused,
    /// It is dead.
    Down,
}

/// The part of a process that depends on its role.
#[derive(Debug)]
pub enum Core {
    /// Entry.
    Entry(Box<Entry>),
    /// Agent.
    Agent(Box<Agent>),
}

/// One process.
#[derive(Debug)]
pub struct Node {
    /// Whether it makes progress.
    pub status: Status,
    /// Tables in force.
    pub tables: Tables,
    /// Core of its role.
    pub core: Core,
    /// When this incarnation started.
    started: Millis,
    /// Events that arrive while it is paused.
    held: Vec<Event>,
}

#[derive(Clone, Debug)]
enum Event {
    Step(usize),
    Tick,
    Exchange,
    Message {
        from: String,
        to: String,
        message: Message,
    },
    Work {
        node: String,
        started: Millis,
        work: Work,
    },
}

/// State of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// How it ended; none while it runs.
    pub ending: Option<Ending>,
    /// Times that it was dispatched to an engine or service.
    pub dispatched: u32,
    /// True when it carries a ticket.
    pub is_ticketed: bool,
}

/// A running scenario.
#[derive(Debug)]
pub struct World<'a> {
    scenario: &'a Scenario,
    /// Virtual time.
    pub now: Millis,
    /// Processes.
    pub nodes: IndexMap<String, Node>,
    /// Requests.
    pub requests: IndexMap<String, Request>,
    /// Stamps of the named tables that are valid sets.
    pub stamps: IndexMap<String, crate::table::Stamp>,
    events: BTreeMap<(Millis, u64), Event>,
    count: u64,
    rng: Rng,
    groups: Vec<Vec<String>>,
    published: (String, String),
    leaving: Vec<String>,
    tickets: IndexMap<String, Ticket>,
    texts: IndexMap<String, (String, String)>,
    checked: usize,
    failures: Vec<String>,
}

impl<'a> World<'a> {
    /// The world before the first step.
    pub fn new(scenario: &'a Scenario) -> Result<World<'a>> {
        let mut texts = IndexMap::new();
        let mut stamps = IndexMap::new();
        for name in scenario.tables.keys() {
            let (routes, pools) = scenario.texts(name)?;
            if let Ok(set) = crate::table::Set::parse(&routes, &pools) {
                stamps.insert(name.clone(), set.stamp);
            }
            texts.insert(name.clone(), (routes, pools));
        }
        let mut world = World {
            scenario,
            now: Millis(0),
            nodes: IndexMap::new(),
            requests: IndexMap::new(),
            stamps,
            events: BTreeMap::new(),
            count: 0,
            rng: Rng::with_seed(scenario.seed),
            groups: Vec::new(),
            published: Default::default(),
            leaving: Vec::new(),
            tickets: IndexMap::new(),
            texts,
            checked: 0,
            failures: Vec::new(),
        };
        for (name, spec) in &scenario.nodes {
            let node = world.node(name, spec, &spec.loaded);
            world.nodes.insert(name.clone(), node);
        }
        Ok(world)
    }

    fn node(&self, name: &str, spec: &NodeSpec, loaded: &str) -> Node {
        let core = match spec.role {
            Role::Entry => Core::Entry(Box::new(Entry::new(name, &spec.zone, self.scenario.seed))),
            Role::Agent => {
                let load = Millis(spec.load_ms);
                Core::Agent(Box::new(Agent::new(name, self.now, loaded, load)))
            }
        };
        Node {
            status: Status::Up,
            tables: Tables::default(),
            core,
            started: self.now,
            held: Vec::new(),
        }
    }

    /// Runs all steps.
    pub fn run(&mut self) {
        // Steps are queued first, so that a step precedes other events of its time.
        for (index, step) in self.scenario.steps.iter().enumerate() {
            self.push(Millis(step.at), Event::Step(index));
        }
        self.push(TICK, Event::Tick);
        self.push(EXCHANGE, Event::Exchange);
        let mut left = self.scenario.steps.len();
        while left > 0 {
            let Some(((at, _), event)) = self.events.pop_first() else {
                break;
            };
            assert!(at >= self.now, "time goes backwards");
            self.now = at;
            left -= usize::from(matches!(event, Event::Step(_)));
            self.handle(event);
        }
    }

    /// What came out.
    pub fn report(self) -> Report {
        Report {
            name: self.scenario.name.clone(),
            steps: self.scenario.steps.len(),
            checked: self.checked,
            failures: self.failures,
        }
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step(index) => self.step(index),
            Event::Tick => {
                self.push(self.now.plus(TICK), Event::Tick);
                for name in self.names() {
                    self.on_node(&name, |now, node, out| node.tick(now, out));
                }
            }
            Event::Exchange => {
                self.push(self.now.plus(EXCHANGE), Event::Exchange);
                for name in self.names() {
                    self.exchange(&name);
                }
            }
            Event::Message { from, to, message } => self.arrive(from, to, message),
            Event::Work {
                node,
                started,
                work,
            } => self.work(node, started, work),
        }
    }

    /// Names of processes that make progress.
    fn names(&self) -> Vec<String> {
        let up = self.nodes.iter().filter(|(_, n)| n.status == Status::Up);
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Runs `step` on a process and carries out what it asks for.
    fn on_node(&mut self, name: &str, step: impl FnOnce(Millis, &mut Node, &mut Vec<Out>)) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(node) = self.nodes.get_mut(name) {
            step(now, node, &mut out);
        }
        for action in out {
            self.carry_out(name, action);
        }
    }

    fn carry_out(&mut self, name: &str, action: Out) {
        match action {
            Out::Send(to, message) => self.send(name, &to, message),
            Out::After(span, work) => {
                let started = self.nodes[name].started;
                let node = name.to_string();
                let event = Event::Work {
                    node,
                    started,
                    work,
                };
                self.push(self.now.plus(span), event);
            }
            Out::Refresh => {
                self.read_platform(name);
                if let Some(peer) = self.peers(name, 1).first() {
                    self.send(name, peer, Message::Fetch);
                }
            }
            Out::Spread(stamp) => {
                for peer in self.peers(name, NOTIFIED) {
                    self.send(name, &peer, Message::Notice(stamp.clone()));
                }
            }
            Out::Dispatched(request) => self.dispatched(&request),
            Out::Ended(request, ending) => self.ended(&request, ending),
            Out::Exit => self.end(name),
        }
    }

    fn dispatched(&mut self, name: &str) {
        let request = self.requests.entry(name.to_string()).or_default();
        request.dispatched += 1;
        let is_again = request.is_ticketed && request.dispatched > 1;
        let run = request.ending.as_ref().and_then(|e| e.error.as_ref());
        let is_late = run.is_some_and(|error| error.run == Run::NotRun);
        if is_again {
            self.broken("P4", name, "a call with a ticket was dispatched again");
        }
        if is_late {
            self.broken("P3", name, "dispatched after it was called not run");
        }
    }

    fn ended(&mut self, name: &str, ending: Ending) {
        let request = self.requests.entry(name.to_string()).or_default();
        let run = ending.error.as_ref().map(|error| error.run);
        let is_false = run == Some(Run::NotRun) && request.dispatched > 0;
        // A repeated send of one ticket ends more than once; the last ending is kept.
        request.ending = Some(ending);
        if is_false {
            self.broken("P3", name, "called not run, but was dispatched");
        }
    }

    fn broken(&mut self, invariant: &str, request: &str, what: &str) {
        let code = Code::PromiseBroken;
        let now = self.now.0;
        self.failures.push(format!(
            "{now} ms: {code} {invariant}: request {request}: {what}"
        ));
    }

    fn reaches(&self, from: &str, to: &str) -> bool {
        let group = |name: &str| {
            let held = |group: &Vec<String>| group.iter().any(|n| n == name);
            self.groups.iter().position(held)
        };
        match (group(from), group(to)) {
            (Some(left), Some(right)) => left == right,
            _ => true,
        }
    }

    /// Other running processes that `name` reaches, in random order.
    fn peers(&mut self, name: &str, count: usize) -> Vec<String> {
        let mut peers = self.names();
        peers.retain(|peer| peer != name && self.reaches(name, peer));
        self.rng.shuffle(&mut peers);
        peers.truncate(count);
        peers
    }

    fn send(&mut self, from: &str, to: &str, message: Message) {
        let delay = Millis(self.scenario.latency_ms);
        let event = Event::Message {
            from: from.to_string(),
            to: to.to_string(),
            message,
        };
        self.push(self.now.plus(delay), event);
    }

    fn arrive(&mut self, from: String, to: String, message: Message) {
        if !self.reaches(&from, &to) {
            return;
        }
        match self.nodes.get_mut(&to) {
            Some(node) if node.status == Status::Up => {
                self.on_node(&to, |now, node, out| node.take(now, &from, message, out));
            }
            Some(node) if node.status == Status::Paused => {
                node.held.push(Event::Message { from, to, message });
            }
            _ => self.refuse(&from, &to, message),
        }
    }

    /// Answers for a dead or unknown process: nothing was sent, so nothing was run.
    fn refuse(&mut self, from: &str, to: &str, message: Message) {
        if let Message::Serve(serve) = message {
            // A key is only "not run" once its owner has barred it.
            let run = if serve.ticket.is_some() {
                Run::Unknown
            } else {
                Run::NotRun
            };
            let error = Error::new(Code::UpstreamLost, to).with_run(run);
            let message = Message::Fail {
                request: serve.request,
                attempt: serve.attempt,
                error,
            };
            self.send(to, from, message);
        }
    }

    fn work(&mut self, name: String, started: Millis, work: Work) {
        let Some(node) = self.nodes.get_mut(&name) else {
            return;
        };
        if node.started != started || node.status == Status::Down {
            return;
        }
        if node.status == Status::Paused {
            let node_name = name.clone();
            node.held.push(Event::Work {
                node: node_name,
                started,
                work,
            });
            return;
        }
        self.on_node(&name, |now, node, out| {
            if let Core::Agent(agent) = &mut node.core {
                agent.on_work(now, work, out);
            }
        });
    }

    fn exchange(&mut self, name: &str) {
        self.read_platform(name);
        let stamp = self.nodes[name].tables.stamp();
        if let Some(peer) = self.peers(name, 1).first() {
            self.send(name, peer, Message::Notice(stamp));
        }
    }

    /// Delivers what the configuration service holds, if it can be reached.
    fn read_platform(&mut self, name: &str) {
        let (routes, pools) = self.published.clone();
        if !routes.is_empty() || !pools.is_empty() {
            self.send(PLATFORM, name, Message::Read { routes, pools });
        }
        self.send(PLATFORM, name, Message::Live(self.leaving.clone()));
    }

    fn step(&mut self, index: usize) {
        let step = &self.scenario.steps[index];
        self.faults(step);
        if let Some(publish) = &step.publish {
            self.publish(publish);
        }
        if let Some(leaving) = &step.leaving {
            self.leaving = leaving.clone();
        }
        if step.publish.is_some() || step.leaving.is_some() {
            for name in self.names() {
                self.read_platform(&name);
            }
        }
        for (name, mint) in &step.mint {
            let incarnation = self.nodes[&mint.agent].started.0;
            let ticket = Ticket::mint(&mint.agent, incarnation, self.now, &mut self.rng);
            self.tickets.insert(name.clone(), ticket);
        }
        for name in step.requests.keys() {
            self.request(step, name);
        }
        let (checked, failures) = expect::check(self, &step.expect);
        self.checked += checked;
        let at = step.at;
        let named = failures.into_iter();
        self.failures
            .extend(named.map(|f| format!("step {} at {at} ms: {f}", index + 1)));
    }

    fn faults(&mut self, step: &Step) {
        if let Some(groups) = &step.partition {
            self.groups = groups.clone();
        }
        if step.heal {
            self.groups.clear();
        }
        for name in &step.pause {
            self.set_status(name, Status::Up, Status::Paused);
        }
        for name in &step.resume {
            self.set_status(name, Status::Paused, Status::Up);
            let held = match self.nodes.get_mut(name) {
                Some(node) => std::mem::take(&mut node.held),
                None => Vec::new(),
            };
            for event in held {
                self.push(self.now, event);
            }
        }
        for name in &step.crash {
            self.end(name);
        }
        for name in &step.stop {
            self.stop(name);
        }
        for name in &step.restart {
            self.restart(name);
        }
    }

    fn set_status(&mut self, name: &str, from: Status, to: Status) {
        if let Some(node) = self.nodes.get_mut(name)
            && node.status == from
        {
            node.status = to;
        }
    }

    /// Ends a process; connections of its attempts break.
    fn end(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.status = Status::Down;
        node.held.clear();
        let waiters = match &node.core {
            Core::Agent(agent) => agent.waiters(),
            Core::Entry(_) => Vec::new(),
        };
        for (to, serve) in waiters {
            let error = Error::new(Code::UpstreamLost, name).with_run(Run::Unknown);
            let message = Message::Fail {
                request: serve.request,
                attempt: serve.attempt,
                error,
            };
            self.send(name, &to, message);
        }
    }

    fn stop(&mut self, name: &str) {
        let mut is_entry = false;
        self.on_node(name, |now, node, out| match &mut node.core {
            Core::Agent(agent) => agent.stop(now, out),
            Core::Entry(_) => is_entry = true,
        });
        if is_entry {
            self.end(name);
        }
    }

    /// Starts a process empty; its engine keeps what it has loaded.
    fn restart(&mut self, name: &str) {
        self.end(name);
        let spec = &self.scenario.nodes[name];
        let loaded = match &self.nodes[name].core {
            Core::Agent(agent) => agent.engine().to_string(),
            Core::Entry(_) => String::new(),
        };
        let node = self.node(name, spec, &loaded);
        self.nodes.insert(name.to_string(), node);
        self.carry_out(name, Out::Refresh);
    }

    fn publish(&mut self, publish: &Publish) {
        if let Some(name) = &publish.routes {
            self.published.0 = self.texts[name].0.clone();
        }
        if let Some(name) = &publish.pools {
            self.published.1 = self.texts[name].1.clone();
        }
    }

    fn request(&mut self, step: &Step, name: &str) {
        let spec = &step.requests[name];
        let ticket = spec.ticket.as_ref().and_then(|t| self.tickets.get(t));
        let ticket = ticket.cloned();
        // Sends of one ticket are one call.
        let call = spec.ticket.clone().unwrap_or_else(|| name.to_string());
        let request = self.requests.entry(call.clone()).or_default();
        request.is_ticketed = spec.ticket.is_some();
        request.ending = None;
        if self.nodes[&spec.from].status != Status::Up {
            let error = Error::new(Code::EntryLeaving, spec.from.clone());
            let by = String::new();
            let error = Some(error);
            self.ended(&call, Ending { error, by });
            return;
        }
        self.on_node(&spec.from, |now, node, out| {
            if let Core::Entry(entry) = &mut node.core {
                entry.request(now, &call, spec, ticket, out);
            }
        });
    }
}

impl Node {
    fn take(&mut self, now: Millis, from: &str, message: Message, out: &mut Vec<Out>) {
        match message {
            Message::Read { routes, pools } => {
                let is_new = self.tables.read(&routes, &pools);
                self.learned(now, is_new, out);
            }
            Message::Tables(set) => {
                let is_new = self.tables.offer(set);
                self.learned(now, is_new, out);
            }
            Message::Live(leaving) => match &mut self.core {
                Core::Entry(entry) => entry.set_leaving(&leaving),
                Core::Agent(agent) => agent.set_leaving(now, &leaving, out),
            },
            Message::Notice(stamp) => {
                let held = self.tables.stamp();
                if stamp > held {
                    out.push(Out::Send(from.to_string(), Message::Fetch));
                } else if stamp < held {
                    out.push(Out::Send(from.to_string(), Message::Notice(held)));
                }
            }
            Message::Fetch => {
                if let Some(set) = &self.tables.set {
                    let message = Message::Tables(set.clone());
                    out.push(Out::Send(from.to_string(), message));
                }
            }
            other => self.answer(now, from, other, out),
        }
    }

    /// Takes a message of the request path.
    fn answer(&mut self, now: Millis, from: &str, message: Message, out: &mut Vec<Out>) {
        match (&mut self.core, message) {
            (Core::Agent(agent), Message::Serve(serve)) => agent.on_serve(now, from, serve, out),
            (Core::Agent(agent), Message::Cancel { request, attempt }) => {
                agent.on_cancel(now, &request, attempt, out);
            }
            (
                Core::Entry(entry),
                Message::Frame {
                    request,
                    attempt,
                    seq,
                    piece,
                },
            ) => entry.on_frame(now, &request, (attempt, seq), piece, out),
            (
                Core::Entry(entry),
                Message::Fail {
                    request,
                    attempt,
                    error,
                },
            ) => entry.on_fail(now, &request, attempt, error, out),
            _ => {}
        }
    }

    /// Puts tables in force that were just taken over, and spreads them.
    fn learned(&mut self, now: Millis, is_new: bool, out: &mut Vec<Out>) {
        if let Some(set) = &self.tables.set
            && is_new
        {
            match &mut self.core {
                Core::Entry(entry) => entry.set_tables(set),
                Core::Agent(agent) => agent.set_tables(now, set, out),
            }
            out.push(Out::Spread(set.stamp.clone()));
        }
        if let Core::Agent(agent) = &mut self.core {
            agent.refreshed(now, out);
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Out>) {
        match &mut self.core {
            Core::Entry(entry) => entry.tick(now, out),
            Core::Agent(agent) => agent.tick(now, out),
        }
    }

    /// State as scenarios name it.
    pub fn state(&self) -> &'static str {
        match (self.status, &self.core) {
            (Status::Paused, _) => "paused",
            (Status::Down, _) => "down",
            (Status::Up, Core::Agent(agent)) => agent.state(),
            (Status::Up, Core::Entry(_)) => "serving",
        }
    }
}
