//! Random runs of the load state machines of all agents of a pool, each with an engine.

use chervilquay::prelude::*;
use chervilquay::rollout::Digest;
use chervilquay::rollout::load::Action;
use chervilquay::rollout::load::EngineState;
use chervilquay::rollout::load::Event;
use chervilquay::rollout::load::Loader;
use chervilquay::rollout::load::Outcome;
use chervilquay::rollout::turn::AgentView;
use chervilquay::rollout::turn::PoolView;

const SEEDS: u64 = 200;
const STEPS: usize = 10_000;
const AGENTS: usize = 6;
const MAX_OUT: u32 = 2;
const MIN_SERVING: u32 = 3;
/// Longest time until an agent receives new tables, in milliseconds.
const MAX_TABLE_DELAY: u64 = 1_000;

/// An agent with its engine.
struct Node {
    loader: Loader,
    engine: EngineState,
    /// Version and fencing number of the order that the engine carries out, and when it ends.
    order: Option<(Digest, u64, u64)>,
    /// Answers to reads of the engine's state: when they arrive, their numbers and contents.
    reads: Vec<(u64, u64, EngineState)>,
    running: usize,
    /// Version for which requests are admitted.
    admitted: Option<Digest>,
    revision: u64,
    /// Tables on their way: when they arrive, the version that they name and the revision.
    tables: Vec<(u64, Digest, u64)>,
    loads: u32,
}

/// The agents of a pool.
struct Fleet {
    now: u64,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    /// Last report of each agent, as each other agent received it.
    views: Vec<Vec<Option<AgentView>>>,
    versions: Vec<Digest>,
    fence: u64,
    /// True while messages get lost and, in [`Fleet::step`], tables change and states of
    /// engines become unknown.
    is_lossy: bool,
    /// Version that no engine can load.
    broken: Option<Digest>,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let versions: Vec<_> = ["a", "b", "c"].into_iter().map(Digest::of).collect();
        let node = |index: usize| Node {
            loader: Loader::new(format!("agent-{index}")),
            engine: EngineState {
                loaded: Some(versions[0]),
                loading: false,
                fence: 0,
            },
            order: None,
            reads: Vec::new(),
            running: 0,
            admitted: None,
            revision: 1,
            tables: Vec::new(),
            loads: 0,
        };
        let nodes = (0..AGENTS).map(node).collect();
        let mut fleet = Fleet {
            now: 10_000,
            rng: fastrand::Rng::with_seed(seed),
            nodes,
            views: vec![vec![None; AGENTS]; AGENTS],
            versions: versions.clone(),
            fence: 1,
            is_lossy: true,
            broken: None,
        };
        for index in 0..AGENTS {
            fleet.event(index, Event::Complete(versions.clone()));
            fleet.event(index, Event::Target(Some(versions[0]), 1));
        }
        fleet
    }

    fn event(&mut self, index: usize, event: Event) {
        let mut out = Vec::new();
        let now = Millis(self.now);
        self.nodes[index].loader.on_event(now, event, &mut out);
        self.carry_out(index, out);
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let delay = self.rng.u64(1..300);
            let lost = self.is_lossy && self.rng.u8(..) < 25;
            let node = &mut self.nodes[index];
            match action {
                Action::Read(id) if !lost => {
                    // The answer tells the state of now and arrives later.
                    node.reads.push((self.now + delay, id, node.engine));
                }
                Action::Read(_) => {}
                Action::Load(version, fence) => {
                    assert_eq!(node.running, 0, "order while requests run");
                    assert!(node.order.is_none(), "second order outstanding");
                    assert!(fence >= node.engine.fence, "fence went down");
                    node.loads += 1;
                    node.engine.loading = true;
                    node.engine.fence = fence;
                    node.order = Some((version, fence, self.now + 10 * delay));
                }
                Action::Close => node.admitted = None,
                Action::Open(version) => {
                    assert_eq!(
                        node.engine.loaded,
                        Some(version),
                        "opened for other weights"
                    );
                    assert!(!node.engine.loading, "opened while loading");
                    node.admitted = Some(version);
                }
            }
        }
    }

    /// Advances the time and lets something random happen.
    fn step(&mut self) {
        self.now += self.rng.u64(1..40);
        let index = self.rng.usize(..AGENTS);
        match self.rng.u8(..10) {
            0..3 => self.run_engine(index),
            3..5 => self.send_report(index),
            5 => self.receive_tables(index),
            6 => self.change_requests(index),
            7 if self.is_lossy && self.rng.u8(..) < 8 => self.publish(),
            8 if self.is_lossy && self.rng.u8(..) < 8 => self.event(index, Event::EngineUnknown),
            _ => {
                let mut out = Vec::new();
                self.nodes[index].loader.tick(Millis(self.now), &mut out);
                self.carry_out(index, out);
            }
        }
    }

    /// Lets the engine end an order, or answer a read.
    fn run_engine(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some((version, _, end)) = node.order
            && end <= self.now
        {
            node.order = None;
            node.engine.loading = false;
            let fails = self.broken == Some(version);
            node.engine.loaded = (!fails).then_some(version);
            let outcome = match self.rng.u8(..3) {
                0 => Outcome::Unknown,
                _ if fails => Outcome::Failed,
                _ => Outcome::Done,
            };
            self.event(index, Event::Ordered(outcome));
            return;
        }
        let due = node.reads.iter().position(|(at, ..)| *at <= self.now);
        if let Some(due) = due {
            let (_, id, engine) = node.reads.swap_remove(due);
            self.event(index, Event::EngineState(id, engine));
        }
    }

    /// Sends the report of an agent to the others; while messages get lost, some of them
    /// keep an older one.
    fn send_report(&mut self, index: usize) {
        let loader = &self.nodes[index].loader;
        let view = AgentView {
            revision: self.nodes[index].revision,
            loaded: self.nodes[index].engine.loaded,
            serving: loader.serving().is_some(),
            failures: loader.failures(),
            seen: Millis(self.now),
        };
        for other in (0..AGENTS).filter(|o| *o != index) {
            if self.is_lossy && self.rng.u8(..) < 80 {
                continue;
            }
            self.views[other][index] = Some(view.clone());
            let name = |i: usize| (format!("agent-{i}"), self.views[other][i].clone());
            let pool = PoolView {
                views: (0..AGENTS).filter(|i| *i != other).map(name).collect(),
                max_out: MAX_OUT,
                min_serving: MIN_SERVING,
                revision: self.nodes[other].revision,
            };
            self.event(other, Event::Pool(pool));
        }
    }

    /// Lets a request start or end.
    fn change_requests(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.running = match node.admitted {
            Some(_) if node.running < 3 => node.running + 1,
            _ => node.running.saturating_sub(1),
        };
        let running = node.running;
        self.event(index, Event::Running(running));
    }

    /// Publishes tables that name a random version.
    fn publish(&mut self) {
        self.fence += 1;
        let version = self.versions[self.rng.usize(..self.versions.len())];
        self.send_tables(version);
    }

    /// Sends tables that name this version to all agents.
    fn send_tables(&mut self, version: Digest) {
        for index in 0..AGENTS {
            // Agents receive tables at different times.
            let at = self.now + self.rng.u64(1..MAX_TABLE_DELAY);
            self.nodes[index].tables.push((at, version, self.fence));
        }
    }

    /// Hands the tables that have arrived to an agent.
    fn receive_tables(&mut self, index: usize) {
        let tables = &mut self.nodes[index].tables;
        let due = tables.iter().position(|(at, ..)| *at <= self.now);
        let Some((_, version, fence)) = due.map(|d| tables.remove(d)) else {
            return;
        };
        let node = &mut self.nodes[index];
        node.revision = node.revision.max(fence);
        self.event(index, Event::Target(Some(version), fence));
    }

    /// Number of agents that admit requests.
    fn serving(&self) -> usize {
        self.nodes.iter().filter(|n| n.admitted.is_some()).count()
    }

    /// True when all agents admit requests for the version.
    fn all_on(&self, version: Digest) -> bool {
        self.nodes.iter().all(|n| n.admitted == Some(version))
    }

    /// Runs until all agents admit requests for the version.
    fn run_until_on(&mut self, version: Digest) {
        for _ in 0..STEPS * 10 {
            if self.all_on(version) {
                return;
            }
            self.step();
        }
        panic!("version is not in service everywhere");
    }
}

// Guards against a second order, an order while requests run and requests that are
// admitted for other weights, while reads get lost, reports come late and tables
// change.
#[test]
fn orders_stay_fenced() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..STEPS {
            fleet.step();
        }
        fleet.is_lossy = false;
        fleet.fence += 1;
        let version = fleet.versions[1];
        fleet.send_tables(version);
        fleet.run_until_on(version);
    }
}

// Guards against two agents that leave service together because neither has received
// the report of the other: reports are lost and late, but no agent fails.
#[test]
fn keeps_min_serving() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.is_lossy = false;
        fleet.run_until_on(fleet.versions[0]);
        for round in 1..8 {
            fleet.fence += 1;
            let version = fleet.versions[round % 3];
            fleet.send_tables(version);
            // Half of the rounds change the tables again before the rollout has ended.
            let max_steps = if fleet.rng.bool() {
                STEPS * 10
            } else {
                STEPS / 20
            };
            for _ in 0..max_steps {
                if fleet.all_on(version) {
                    break;
                }
                fleet.is_lossy = fleet.rng.bool();
                fleet.step_unchanged();
                let serving = fleet.serving();
                assert!(
                    serving >= MIN_SERVING as usize,
                    "seed {seed}: {serving} serve"
                );
                assert!(
                    serving + MAX_OUT as usize >= AGENTS,
                    "seed {seed}: too many out"
                );
            }
            assert!(
                max_steps < STEPS || fleet.all_on(version),
                "seed {seed}: rollout did not end"
            );
        }
    }
}

// Guards against a broken version that takes the whole pool out of service: after two
// failed loads no further agent tries it, and engines that lost their version get it
// back.
#[test]
fn broken_version_stops() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.is_lossy = false;
        let old = fleet.versions[0];
        fleet.run_until_on(old);
        fleet.broken = Some(fleet.versions[2]);
        fleet.fence += 1;
        fleet.send_tables(fleet.versions[2]);
        for _ in 0..STEPS {
            fleet.step();
            assert!(fleet.serving() >= MIN_SERVING as usize, "seed {seed}");
        }
        let loads: u32 = fleet.nodes.iter().map(|n| n.loads).sum();
        assert!(loads <= 8, "seed {seed}: {loads} loads of a broken version");
        assert!(fleet.all_on(old), "seed {seed}: old version is not back");
    }
}

impl Fleet {
    /// Like `step`, but tables do not change and the engines' states stay known.
    fn step_unchanged(&mut self) {
        self.now += self.rng.u64(1..40);
        let index = self.rng.usize(..AGENTS);
        match self.rng.u8(..8) {
            0..3 => self.run_engine(index),
            3..5 => self.send_report(index),
            5 => self.receive_tables(index),
            6 => self.change_requests(index),
            _ => {
                let mut out = Vec::new();
                self.nodes[index].loader.tick(Millis(self.now), &mut out);
                self.carry_out(index, out);
            }
        }
    }
}
