//! The world of a scenario: clock, links, configuration service and processes.

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
use crate::scenario::doc::PLATFORM;
use crate::scenario::doc::Role;
use crate::scenario::doc::Scenario;
use crate::scenario::entry::Entry;
use crate::scenario::message::Ending;
use crate::scenario::message::Message;
use crate::scenario::message::Out;
use crate::scenario::message::Work;
use crate::scenario::node::Core;
use crate::scenario::node::Node;
use crate::scenario::node::Status;
use crate::scenario::platform::Platform;
use crate::scenario::tables::Tables;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::sync::ConfigKey;

/// Interval of the processes' periodic work.
const TICK: Millis = Millis(50);

#[derive(Clone, Debug)]
pub(super) enum Event {
    Step(usize),
    Tick,
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
    pub(super) scenario: &'a Scenario,
    /// Virtual time.
    pub now: Millis,
    /// Processes.
    pub nodes: IndexMap<String, Node>,
    /// Requests.
    pub requests: IndexMap<String, Request>,
    /// Stamps of the named tables that are valid sets.
    pub stamps: IndexMap<String, Stamp>,
    pub(super) texts: IndexMap<String, (String, String)>,
    pub(super) platform: Platform,
    pub(super) groups: Vec<Vec<String>>,
    pub(super) tickets: IndexMap<String, Ticket>,
    pub(super) rng: Rng,
    pub(super) checked: usize,
    pub(super) failures: Vec<String>,
    /// Events that arrive at paused processes.
    pub(super) held: Vec<(String, Event)>,
    events: BTreeMap<(Millis, u64), Event>,
    count: u64,
}

impl<'a> World<'a> {
    /// The world before the first step.
    pub fn new(scenario: &'a Scenario) -> Result<World<'a>> {
        let mut world = World {
            scenario,
            now: Millis(0),
            nodes: IndexMap::new(),
            requests: IndexMap::new(),
            stamps: IndexMap::new(),
            texts: IndexMap::new(),
            platform: Platform::default(),
            groups: Vec::new(),
            tickets: IndexMap::new(),
            rng: Rng::with_seed(scenario.seed),
            checked: 0,
            failures: Vec::new(),
            held: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
        };
        let mut known = IndexMap::new();
        for name in scenario.tables.keys() {
            let (routes, pools) = scenario.texts(name)?;
            if let Ok(set) = TableSet::parse(&routes, &pools) {
                world.stamps.insert(name.clone(), set.stamp.clone());
                for pool in set.pools.pools.values() {
                    let upstreams = pool.upstreams.iter();
                    known.extend(upstreams.map(|(name, held)| (name.clone(), held.rpc)));
                }
            }
            world.texts.insert(name.clone(), (routes, pools));
        }
        let addrs: Vec<SocketAddr> = (1..)
            .zip(scenario.nodes.keys())
            .map(|(index, name)| {
                let own = SocketAddr::from(([10, 0, 8, index], 7100));
                known.get(name).copied().unwrap_or(own)
            })
            .collect();
        for (name, addr) in scenario.nodes.keys().zip(&addrs) {
            let node = world.node(name, *addr, &addrs, &scenario.nodes[name].loaded);
            world.nodes.insert(name.clone(), node);
        }
        world.put_live(&[]);
        Ok(world)
    }

    /// A process that starts empty now.
    pub(super) fn node(
        &self,
        name: &str,
        addr: SocketAddr,
        seeds: &[SocketAddr],
        loaded: &str,
    ) -> Node {
        let spec = &self.scenario.nodes[name];
        let seed = self.scenario.seed ^ u64::from(addr.port()) ^ crate::util::stable_hash([name]);
        let core = match spec.role {
            Role::Entry => Core::Entry(Box::new(Entry::new(name, &spec.zone, seed))),
            Role::Agent => {
                let load = Millis(spec.load_ms);
                Core::Agent(Box::new(Agent::new(name, self.now, loaded, load)))
            }
        };
        let seeds = seeds.iter().copied().filter(|seed| *seed != addr);
        let tables = Tables::new(addr, &spec.zone, seeds.collect(), seed);
        Node::new(addr, &spec.zone, self.now, tables, core)
    }

    /// Writes the live list: all processes, some of them leaving.
    pub(super) fn put_live(&mut self, leaving: &[String]) {
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
        // JSON is YAML too.
        let text = serde_json::to_string(&live).unwrap_or_default();
        self.platform.put(ConfigKey::Live, &text);
    }

    /// Runs all steps.
    pub fn run(&mut self) {
        // Steps are queued first, so that a step precedes other events of its time.
        for (index, step) in self.scenario.steps.iter().enumerate() {
            self.push(Millis(step.at), Event::Step(index));
        }
        self.push(TICK, Event::Tick);
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

    pub(super) fn push(&mut self, at: Millis, event: Event) {
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
                self.answer_reads();
            }
            Event::Message { from, to, message } => self.arrive(from, to, message),
            Event::Work {
                node,
                started,
                work,
            } => self.work(node, started, work),
        }
    }

    /// Sends the answers of the configuration service that are due.
    pub(super) fn answer_reads(&mut self) {
        for (to, message) in self.platform.answers(self.now) {
            self.send(PLATFORM, &to, message);
        }
    }

    /// Names of processes that make progress.
    pub(super) fn names(&self) -> Vec<String> {
        let up = self.nodes.iter().filter(|(_, n)| n.status == Status::Up);
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Runs `step` on a process and carries out what it asks for.
    pub(super) fn on_node(
        &mut self,
        name: &str,
        step: impl FnOnce(Millis, &mut Node, &mut Vec<Out>),
    ) {
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
            Out::Platform(message) => self.send(name, PLATFORM, message),
            Out::Call(addr, message) => {
                let held = self.nodes.iter().find(|(_, node)| node.addr == addr);
                let to = held.map(|(name, _)| name.clone());
                self.send(name, &to.unwrap_or_default(), message);
            }
            Out::Ask(to) => {
                if let Some(addr) = self.nodes.get(&to).map(|node| node.addr) {
                    self.on_node(name, |now, node, out| node.ask(now, addr, out));
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

    pub(super) fn ended(&mut self, name: &str, ending: Ending) {
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

    fn work(&mut self, name: String, started: Millis, work: Work) {
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
            self.held.push((name, event));
            return;
        }
        self.on_node(&name, |now, node, out| node.work(now, work, out));
    }
}
