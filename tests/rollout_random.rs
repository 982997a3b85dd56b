//! Random runs of the planners and uploads of many agents on a virtual clock.
#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use bytes::Bytes;
use chervilquay::prelude::*;
use chervilquay::rollout::manifest;
use chervilquay::rollout::manifest::Chunk;
use chervilquay::rollout::manifest::Digest;
use chervilquay::rollout::plan::Action;
use chervilquay::rollout::plan::Event;
use chervilquay::rollout::plan::Member;
use chervilquay::rollout::plan::NewPull;
use chervilquay::rollout::plan::Planner;
use chervilquay::rollout::plan::Settings;
use chervilquay::rollout::plan::Source;
use chervilquay::rollout::store::Blob;
use chervilquay::rollout::upload::Answer;
use chervilquay::rollout::upload::Uploads;

const SEEDS: u64 = 200;
const STEPS: usize = 10_000;
const FAULT_STEPS: usize = 7_000;
const MAX_STEPS: usize = 200_000;
/// Delay of the final state after the faults, in milliseconds: longer than any pause and
/// delay, so that no older event arrives after it.
const HEAL_DELAY: u64 = 12_000;
const CHUNKS: usize = 40;
const STAGING: u64 = 40_000;

/// What happens to an agent at some time; a fault may hit any agent.
#[derive(Clone, Debug)]
enum Step {
    Tick,
    Event(Event),
    Pull(usize, NewPull),
    Sent,
    Fault,
}

struct Agent {
    planner: Planner,
    uploads: Uploads,
    /// Agent and its pull, for each pull that waits here.
    pulls: HashMap<u64, (usize, u64)>,
    /// Number of its start; steps scheduled for an earlier one are dropped.
    incarnation: u64,
    alive: bool,
    /// Time until which it stands still.
    paused: u64,
}

/// Agents, origin and network under a virtual clock.
struct World {
    now: u64,
    seq: u64,
    rng: fastrand::Rng,
    /// Steps to come: time, number, agent and its incarnation.
    queue: BinaryHeap<Reverse<(u64, u64, usize, u64)>>,
    steps: HashMap<u64, Step>,
    agents: Vec<Agent>,
    members: Vec<Member>,
    content: HashMap<Digest, Bytes>,
    versions: Vec<Digest>,
    target: usize,
    faults: bool,
    origin_up: bool,
    origin_bytes: u64,
    region_bytes: HashMap<String, u64>,
}

fn member(index: usize, zones: usize, regions: usize) -> Member {
    let zone = index % zones;
    Member {
        name: format!("agent-{index}"),
        zone: format!("zone-{zone}"),
        region: format!("region-{}", zone % regions),
        rpc: ([127, 0, 0, 1], 1_000 + index as u16).into(),
    }
}

impl World {
    fn new(seed: u64, count: usize, zones: usize, regions: usize) -> World {
        let mut world = World {
            now: 1_000,
            seq: 0,
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            steps: HashMap::new(),
            agents: Vec::new(),
            members: (0..count).map(|i| member(i, zones, regions)).collect(),
            content: HashMap::new(),
            versions: Vec::new(),
            target: 0,
            faults: false,
            origin_up: true,
            origin_bytes: 0,
            region_bytes: HashMap::new(),
        };
        world.publish();
        for index in 0..count {
            let agent = world.create_agent(index);
            world.agents.push(agent);
            world.introduce(index);
        }
        world
    }

    /// Publishes three versions that share half of their chunks.
    fn publish(&mut self) {
        for version in 0..3 {
            let mut chunks = Vec::new();
            for index in 0..CHUNKS {
                let origin = if index % 2 == 0 { 0 } else { version };
                let text = format!("{origin}/{index}/").repeat(20 + index % 5);
                chunks.push(self.add(Bytes::from(text)));
            }
            let text = manifest::text(&chunks);
            let digest = self.add(Bytes::from(text)).digest;
            self.versions.push(digest);
        }
    }

    fn add(&mut self, bytes: Bytes) -> Chunk {
        let digest = Digest::of(&bytes);
        let length = bytes.len() as u64;
        self.content.insert(digest, bytes);
        Chunk { digest, length }
    }

    fn create_agent(&mut self, index: usize) -> Agent {
        let me = self.members[index].clone();
        let settings = Settings {
            stripes: 4,
            ..Settings::default()
        };
        Agent {
            planner: Planner::new(me, settings, STAGING, self.rng.u64(..)),
            uploads: Uploads::new(2, 16),
            pulls: HashMap::new(),
            incarnation: self.seq,
            alive: true,
            paused: 0,
        }
    }

    /// Tells an agent that has just started the members and the version.
    fn introduce(&mut self, index: usize) {
        let others = self.members.iter().filter(|m| **m != self.members[index]);
        let others = others.cloned().collect();
        self.schedule(1, index, Step::Event(Event::Members(others)));
        let target = Some(self.versions[self.target]);
        self.schedule(2, index, Step::Event(Event::Target(target)));
        self.schedule(3, index, Step::Tick);
    }

    /// Schedules a step that is certain to happen, unless the agent stops.
    fn schedule(&mut self, delay: u64, agent: usize, step: Step) {
        self.seq += 1;
        let incarnation = self.agents.get(agent).map_or(0, |a| a.incarnation);
        self.steps.insert(self.seq, step);
        self.queue
            .push(Reverse((self.now + delay, self.seq, agent, incarnation)));
    }

    /// Sends a message that faults may drop, delay or duplicate.
    fn send(&mut self, agent: usize, delay: u64, step: Step) {
        if self.faults && self.rng.u8(..) < 5 {
            return;
        }
        let late = if self.faults && self.rng.u8(..) < 5 {
            3_000
        } else {
            0
        };
        let delay = delay + self.rng.u64(1..10);
        if self.faults && self.rng.u8(..) < 5 {
            self.schedule(delay + late + 20, agent, step.clone());
        }
        self.schedule(delay + late, agent, step);
    }

    /// Runs one step; false when the queue is empty.
    fn step(&mut self) -> bool {
        let Some(Reverse((at, seq, index, incarnation))) = self.queue.pop() else {
            return false;
        };
        self.now = self.now.max(at);
        let step = self.steps.remove(&seq).unwrap();
        if matches!(step, Step::Fault) {
            self.inject_fault();
            return true;
        }
        let agent = &self.agents[index];
        if !agent.alive || (incarnation != agent.incarnation && !matches!(step, Step::Pull(..))) {
            return true;
        }
        if agent.paused > self.now {
            let delay = agent.paused - self.now;
            self.schedule(delay, index, step);
            return true;
        }
        self.deliver(index, step);
        true
    }

    fn deliver(&mut self, index: usize, step: Step) {
        let now = Millis(self.now);
        let agent = &mut self.agents[index];
        let (mut actions, mut answers) = (Vec::new(), Vec::new());
        match step {
            Step::Tick => {
                agent.planner.tick(now, &mut actions);
                agent.uploads.tick(now, agent.planner.store(), &mut answers);
                self.schedule(100, index, Step::Tick);
            }
            Step::Event(event) => {
                agent.planner.on_event(now, event, &mut actions);
                agent.uploads.dispatch(agent.planner.store(), &mut answers);
            }
            Step::Pull(from, pull) => {
                let wanted = pull.wanted.iter().map(|d| d.prefix()).collect();
                let (wait, store) = (pull.wait, agent.planner.store());
                let id = agent
                    .uploads
                    .add_pull(now, wanted, wait, store, &mut answers);
                agent.pulls.insert(id, (from, pull.id));
            }
            Step::Sent => agent
                .uploads
                .finish_send(agent.planner.store(), &mut answers),
            Step::Fault => unreachable!(),
        }
        self.carry_out(index, actions);
        self.send_answers(index, answers);
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Pull(pull) = action else {
                continue;
            };
            match pull.source {
                Source::Origin => self.send_from_origin(index, &pull),
                Source::Peer(key) => {
                    let member = self.agents[index].planner.peer(key).unwrap();
                    let to = usize::from(member.rpc.port()) - 1_000;
                    if self.agents[to].alive {
                        self.send(to, 1, Step::Pull(index, pull));
                    } else {
                        self.send(index, 1, Step::Event(Event::Failed(pull.id)));
                    }
                }
            }
        }
    }

    fn send_from_origin(&mut self, index: usize, pull: &NewPull) {
        assert_eq!(pull.wanted.len(), 1, "the origin serves one blob a request");
        if !self.origin_up {
            self.send(index, 5, Step::Event(Event::Failed(pull.id)));
            return;
        }
        let bytes = self.content[&pull.wanted[0]].clone();
        if !self.versions.contains(&pull.wanted[0]) {
            self.origin_bytes += bytes.len() as u64;
        }
        self.count_region_bytes("origin", index, &pull.wanted[0], bytes.len());
        self.send_content(index, pull.id, bytes, 20);
    }

    /// Counts bytes of chunks that enter a region.
    fn count_region_bytes(&mut self, from: &str, to: usize, digest: &Digest, bytes: usize) {
        let region = self.members[to].region.clone();
        if from != region && !self.versions.contains(digest) {
            *self.region_bytes.entry(region).or_default() += bytes as u64;
        }
    }

    /// Sends content to an agent; while there are faults, at times wrong content.
    fn send_content(&mut self, to: usize, pull: u64, mut bytes: Bytes, time: u64) {
        if self.faults && self.rng.u8(..) < 5 {
            bytes = Bytes::from_static(b"other content");
        }
        let blob = Blob::new(bytes);
        let first_bytes = Event::FirstBytes(pull, blob.digest());
        self.send(to, time / 2, Step::Event(first_bytes));
        self.send(to, time, Step::Event(Event::Arrived(pull, blob)));
    }

    fn send_answers(&mut self, index: usize, answers: Vec<Answer>) {
        for answer in answers {
            match answer {
                Answer::Unavailable(id) => {
                    if let Some((to, pull)) = self.agents[index].pulls.remove(&id) {
                        self.send(to, 1, Step::Event(Event::Unavailable(pull)));
                    }
                }
                Answer::Send(id, digest) => {
                    // The sender frees its slot itself, so that is never lost.
                    self.schedule(10, index, Step::Sent);
                    let held = self.agents[index].planner.store().get(digest);
                    let bytes = held.unwrap().clone();
                    let waiting = self.agents[index].pulls.remove(&id);
                    let (to, pull) = waiting.unwrap();
                    let from = self.members[index].region.clone();
                    self.count_region_bytes(&from, to, &digest, bytes.len());
                    self.send_content(to, pull, bytes, 10);
                }
            }
        }
    }

    /// Injects a random fault or ends one, and schedules the next.
    fn inject_fault(&mut self) {
        if !self.faults {
            return;
        }
        let index = self.rng.usize(..self.agents.len());
        match self.rng.u8(..8) {
            0 | 1 => self.agents[index].alive = false,
            2 | 3 => self.restart(index),
            4 => self.agents[index].paused = self.now + self.rng.u64(100..6_000),
            5 => self.origin_up = !self.origin_up,
            6 => self.retarget(),
            _ => self.send_some_members(index),
        }
        let delay = self.rng.u64(50..600);
        self.schedule(delay, 0, Step::Fault);
    }

    fn restart(&mut self, index: usize) {
        self.seq += 1;
        self.agents[index] = self.create_agent(index);
        self.introduce(index);
    }

    /// Changes the wanted version, for each agent at another time.
    fn retarget(&mut self) {
        self.target = self.rng.usize(..self.versions.len());
        let target = Some(self.versions[self.target]);
        for index in 0..self.agents.len() {
            let delay = self.rng.u64(1..2_000);
            self.schedule(delay, index, Step::Event(Event::Target(target)));
        }
    }

    /// Sends an agent an incomplete list of members.
    fn send_some_members(&mut self, index: usize) {
        let mut some = self.members.clone();
        some.retain(|m| *m != self.members[index] && self.rng.u8(..) > 60);
        self.schedule(1, index, Step::Event(Event::Members(some)));
    }

    /// Ends all faults and tells every agent the members and the version.
    fn end_faults(&mut self) {
        self.faults = false;
        self.origin_up = true;
        for index in 0..self.agents.len() {
            if !self.agents[index].alive {
                self.restart(index);
            }
            self.agents[index].paused = 0;
            let others = self.members.iter().filter(|m| **m != self.members[index]);
            let others = others.cloned().collect();
            self.schedule(HEAL_DELAY, index, Step::Event(Event::Members(others)));
            let target = Some(self.versions[self.target]);
            self.schedule(HEAL_DELAY, index, Step::Event(Event::Target(target)));
        }
    }

    fn is_done(&self) -> bool {
        let target = Some(self.versions[self.target]);
        self.agents.iter().all(|a| a.planner.ready() == target)
    }

    /// Length of all chunks of the version, in bytes.
    fn size(&self) -> u64 {
        let planner = &self.agents[0].planner;
        planner.manifest().unwrap().total()
    }
}

// Guards against a planner that loses a chunk, a slot or room in the store because of
// faults in any order: the assertions of the planner are checked at each step, and after
// the faults every agent must get the complete version.
#[test]
fn survives_faults() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 10, 3, 2);
        world.faults = true;
        world.schedule(300, 0, Step::Fault);
        for _ in 0..FAULT_STEPS {
            assert!(world.step());
        }
        world.end_faults();
        let mut steps = FAULT_STEPS;
        while steps < STEPS || !world.is_done() {
            assert!(world.step());
            steps += 1;
            assert!(steps < MAX_STEPS, "seed {seed}: no progress after faults");
        }
    }
}

// Guards against pulls from the origin or from other regions that are not necessary:
// without faults, about one copy must be enough for each.
#[test]
fn draws_each_chunk_once() {
    for seed in 0..8 {
        let mut world = World::new(seed, 60, 6, 3);
        let mut steps = 0;
        while !world.is_done() {
            assert!(world.step());
            steps += 1;
            assert!(steps < MAX_STEPS, "seed {seed}: not done");
        }
        let size = world.size() as f64;
        let origin = world.origin_bytes as f64 / size;
        assert!(origin <= 1.1, "seed {seed}: {origin:.2} origin copies");
        for (region, bytes) in &world.region_bytes {
            let copies = *bytes as f64 / size;
            assert!(
                copies <= 1.1,
                "seed {seed}: {copies:.2} copies into {region}"
            );
        }
    }
}
