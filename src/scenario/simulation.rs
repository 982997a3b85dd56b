//! Simulation of a scenario: virtual clock, event queue, processes and configuration service.
//!
//! Two invariants are checked throughout, under the numbers that the demo gives them:
//! P3, a request that is reported as not run was never dispatched and never will be;
//! P4, a call with a ticket is dispatched at most once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fastrand::Rng;
use indexmap::IndexMap;

use crate::member::Live;
use crate::member::Vm;
use crate::once::Ticket;
use crate::prelude::*;
use crate::scenario::Report;
use crate::scenario::agent::Agent;
use crate::scenario::config_service::ConfigService;
use crate::scenario::doc::PLATFORM;
use crate::scenario::doc::Role;
use crate::scenario::doc::Scenario;
use crate::scenario::entry::Entry;
use crate::scenario::message::Effect;
use crate::scenario::message::Ending;
use crate::scenario::message::Message;
use crate::scenario::message::Work;
use crate::scenario::node::Node;
use crate::scenario::node::RoleCore;
use crate::scenario::node::Status;
use crate::scenario::table_sync::TableSync;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::sync::ConfigKey;

/// Interval at which each running process does its periodic work.
const TICK: Millis = Millis(50);

/// Event at a point of virtual time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// Index of the step to run.
    Step(usize),
    /// Periodic work of all processes.
    Tick,
    /// A message arrives.
    Message {
        from: String,
        to: String,
        message: Message,
    },
    /// Work of a process ends.
    Work {
        node: String,
        /// Start of the process that began the work; after a restart the event is dropped.
        started: Millis,
        work: Work,
    },
}

/// What is known of a request, over all its attempts.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// How it ended; `None` while it runs.
    pub ending: Option<Ending>,
    /// Number of times that it was dispatched to an engine or service.
    pub dispatched: u32,
    /// True when it carries a ticket.
    pub is_ticketed: bool,
}

/// A running scenario.
#[derive(Debug)]
pub struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    /// Virtual time since the start.
    pub now: Millis,
    /// Processes by name.
    pub nodes: IndexMap<String, Node>,
    /// Requests by name; those with a ticket by the name of the ticket.
    pub requests: IndexMap<String, Request>,
    /// Stamps (revision and digest) of the scenario's tables, without those that are invalid.
    pub stamps: IndexMap<String, Stamp>,
    /// Texts of the routes and pools tables by name.
    pub(super) table_texts: IndexMap<String, (String, String)>,
    pub(super) config_service: ConfigService,
    /// Groups of processes that cannot reach each other; empty without a partition.
    pub(super) partition: Vec<Vec<String>>,
    pub(super) tickets: IndexMap<String, Ticket>,
    pub(super) rng: Rng,
    /// Number of expectations checked so far.
    pub(super) checked: usize,
    pub(super) failures: Vec<String>,
    /// Events of paused processes by name, kept until they resume.
    pub(super) paused_events: Vec<(String, Event)>,
    /// Pending events by time; the number keeps those of one time in the order of scheduling.
    events: BTreeMap<(Millis, u64), Event>,
    /// Number of events scheduled so far.
    scheduled: u64,
}

impl<'a> Simulation<'a> {
    /// Creates the state before the first step: all processes run without tables.
    ///
    /// Fails when the texts of the scenario's tables cannot be made.
    pub fn new(scenario: &'a Scenario) -> Result<Simulation<'a>> {
        let mut simulation = Simulation {
            scenario,
            now: Millis(0),
            nodes: IndexMap::new(),
            requests: IndexMap::new(),
            stamps: IndexMap::new(),
            table_texts: IndexMap::new(),
            config_service: ConfigService::default(),
            partition: Vec::new(),
            tickets: IndexMap::new(),
            rng: Rng::with_seed(scenario.seed),
            checked: 0,
            failures: Vec::new(),
            paused_events: Vec::new(),
            events: BTreeMap::new(),
            scheduled: 0,
        };
        let mut table_addrs = IndexMap::new();
        for name in scenario.tables.keys() {
            let (routes, pools) = scenario.texts(name)?;
            if let Ok(set) = TableSet::parse(&routes, &pools) {
                simulation.stamps.insert(name.clone(), set.stamp.clone());
                for pool in set.pools.pools.values() {
                    let upstreams = pool.upstreams.iter();
                    table_addrs
                        .extend(upstreams.map(|(name, upstream)| (name.clone(), upstream.rpc)));
                }
            }
            simulation.table_texts.insert(name.clone(), (routes, pools));
        }
        let addrs: Vec<SocketAddr> = (1..)
            .zip(scenario.nodes.keys())
            .map(|(index, name)| {
                let default = SocketAddr::from(([10, 0, 8, index], 7100));
                table_addrs.get(name).copied().unwrap_or(default)
            })
            .collect();
        for (name, addr) in scenario.nodes.keys().zip(&addrs) {
            let node = simulation.new_node(name, *addr, &addrs, &scenario.nodes[name].loaded);
            simulation.nodes.insert(name.clone(), node);
        }
        simulation.write_live(&[]);
        Ok(simulation)
    }

    /// Creates a process that starts now without tables.
    ///
    /// Each process has a random sequence of its own, and the same one in every run of a seed.
    pub(super) fn new_node(
        &self,
        name: &str,
        addr: SocketAddr,
        seeds: &[SocketAddr],
        loaded: &str,
    ) -> Node {
        let spec = &self.scenario.nodes[name];
        let seed = self.scenario.seed ^ u64::from(addr.port()) ^ crate::util::stable_hash([name]);
        let core = match spec.role {
            Role::Entry => RoleCore::Entry(Box::new(Entry::new(name, &spec.zone, seed))),
            Role::Agent => {
                let load_time = Millis(spec.load_ms);
                RoleCore::Agent(Box::new(Agent::new(name, self.now, loaded, load_time)))
            }
        };
        let seeds = seeds.iter().copied().filter(|seed| *seed != addr);
        let table_sync = TableSync::new(addr, &spec.zone, seeds.collect(), seed);
        Node::new(addr, &spec.zone, self.now, table_sync, core)
    }

    /// Writes the live list to the configuration service: all processes as VMs, those in
    /// `leaving` marked so.
    pub(super) fn write_live(&mut self, leaving: &[String]) {
        let vms = self.nodes.iter().map(|(name, node)| {
            let vm = Vm {
                rpc: node.addr,
                zone: node.zone.clone(),
                region: String::new(),
                leaving: leaving.contains(name),
            };
            (name.clone(), vm)
        });
        let live = Live { vms: vms.collect() };
        // The list is read as YAML, of which JSON is a part.
        let text = serde_json::to_string(&live).unwrap_or_default();
        self.config_service.write(ConfigKey::Live, &text);
    }

    /// Handles events until all steps have run.
    pub fn run(&mut self) {
        // Steps are scheduled first, so that a step precedes other events of its time.
        for (index, step) in self.scenario.steps.iter().enumerate() {
            self.schedule(Millis(step.at), Event::Step(index));
        }
        self.schedule(TICK, Event::Tick);
        let mut steps_left = self.scenario.steps.len();
        while steps_left > 0 {
            let Some(((at, _), event)) = self.events.pop_first() else {
                break;
            };
            assert!(at >= self.now, "time goes backwards");
            self.now = at;
            steps_left -= usize::from(matches!(event, Event::Step(_)));
            self.on_event(event);
        }
    }

    /// Returns the result of the run.
    pub fn report(self) -> Report {
        Report {
            name: self.scenario.name.clone(),
            steps: self.scenario.steps.len(),
            checked: self.checked,
            failures: self.failures,
        }
    }

    /// Adds an event at the time `at`.
    pub(super) fn schedule(&mut self, at: Millis, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Step(index) => self.run_step(index),
            Event::Tick => {
                self.schedule(self.now.plus(TICK), Event::Tick);
                for name in self.running_nodes() {
                    self.with_node(&name, |now, node, out| node.tick(now, out));
                }
                self.answer_reads();
            }
            Event::Message { from, to, message } => self.deliver(from, to, message),
            Event::Work {
                node,
                started,
                work,
            } => self.finish_work(node, started, work),
        }
    }

    /// Sends the answers to reads of the configuration service that are due.
    pub(super) fn answer_reads(&mut self) {
        for (to, message) in self.config_service.due_answers(self.now) {
            self.send(PLATFORM, &to, message);
        }
    }

    /// Names of processes that are neither paused nor down.
    pub(super) fn running_nodes(&self) -> Vec<String> {
        let up = self.nodes.iter().filter(|(_, n)| n.status == Status::Up);
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Calls `step` with a process and carries out the effects that it adds to its last argument.
    pub(super) fn with_node(
        &mut self,
        name: &str,
        step: impl FnOnce(Millis, &mut Node, &mut Vec<Effect>),
    ) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(node) = self.nodes.get_mut(name) {
            step(now, node, &mut out);
        }
        for effect in out {
            self.carry_out(name, effect);
        }
    }

    /// Carries out an effect of the process `name`.
    fn carry_out(&mut self, name: &str, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(name, &to, message),
            Effect::After(delay, work) => {
                let started = self.nodes[name].started;
                let node = name.to_string();
                let event = Event::Work {
                    node,
                    started,
                    work,
                };
                self.schedule(self.now.plus(delay), event);
            }
            Effect::Read(message) => self.send(name, PLATFORM, message),
            Effect::Call(addr, message) => {
                let found = self.nodes.iter().find(|(_, node)| node.addr == addr);
                let to = found.map(|(name, _)| name.clone());
                self.send(name, &to.unwrap_or_default(), message);
            }
            Effect::AskTables(to) => {
                if let Some(addr) = self.nodes.get(&to).map(|node| node.addr) {
                    self.with_node(name, |now, node, out| node.ask_tables(now, addr, out));
                }
            }
            Effect::Dispatched(request) => self.record_dispatch(&request),
            Effect::Ended(request, ending) => self.record_ending(&request, ending),
            Effect::Exit => self.end_process(name),
        }
    }

    /// Counts a dispatch of a request and checks the invariants on it.
    fn record_dispatch(&mut self, name: &str) {
        let request = self.requests.entry(name.to_string()).or_default();
        request.dispatched += 1;
        let is_repeated = request.is_ticketed && request.dispatched > 1;
        let run = request.ending.as_ref().and_then(|e| e.error.as_ref());
        let is_late = run.is_some_and(|error| error.run == Run::NotRun);
        if is_repeated {
            self.record_violation("P4", name, "a call with a ticket was dispatched again");
        }
        if is_late {
            self.record_violation("P3", name, "dispatched after it was reported as not run");
        }
    }

    /// Keeps how a request ended and checks the invariant on requests reported as not run.
    pub(super) fn record_ending(&mut self, name: &str, ending: Ending) {
        let request = self.requests.entry(name.to_string()).or_default();
        let run = ending.error.as_ref().map(|error| error.run);
        let is_untrue = run == Some(Run::NotRun) && request.dispatched > 0;
        // A ticket that is sent again ends more than once; the last ending is kept.
        request.ending = Some(ending);
        if is_untrue {
            self.record_violation("P3", name, "reported as not run, but was dispatched");
        }
    }

    /// Adds the violation of an invariant to the failures.
    fn record_violation(&mut self, invariant: &str, request: &str, what: &str) {
        let code = Code::PromiseBroken;
        let now = self.now.0;
        self.failures.push(format!(
            "{now} ms: {code} {invariant}: request {request}: {what}"
        ));
    }

    /// Tells a process that its work has ended, unless it has died or been restarted since.
    fn finish_work(&mut self, name: String, started: Millis, work: Work) {
        let Some(node) = self.nodes.get(&name) else {
            return;
        };
        if node.started != started || node.status == Status::Down {
            return;
        }
        if node.status == Status::Paused {
            let event = Event::Work {
                node: name.clone(),
                started,
                work,
            };
            self.paused_events.push((name, event));
            return;
        }
        self.with_node(&name, |now, node, out| node.on_work(now, work, out));
    }
}
