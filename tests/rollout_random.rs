//! Randomised runs of planner and source side with a virtual clock.
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
const MOST_STEPS: usize = 200_000;
/// Longer than any pause and delay, so that no older event arrives later.
const REPAIR: u64 = 12_000;
const CHUNKS: usize = 40;
const STAGING: u64 = 40_000;

/// What happens to an agent at some time.
#[derive(Clone, Debug)]
enum Step {
    Tick,
    Event(Event),
    Ask(usize, NewPull),
    Sent,
    Chaos,
}

struct Agent {
    planner: Planner,
    uploads: Uploads,
    asked: HashMap<u64, (usize, u64)>,
    life: u64,
    alive: bool,
    paused: u64,
}

/// Agents, origin and network under a virtual clock.
struct World {
    now: u64,
    seq: u64,
    rng: fastrand::Rng,
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
            let agent = world.boot(index);
            world.agents.push(agent);
            world.welcome(index);
        }
        world
    }

    /// Three versions; neighbouring ones share half of their chunks.
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

    fn boot(&mut self, index: usize) -> Agent {
        let me = self.members[index].clone();
        let settings = Settings {
            stripes: 4,
            ..Settings::default()
        };
        Agent {
            planner: Planner::new(me, settings, STAGING, self.rng.u64(..)),
            uploads: Uploads::new(2, 16),
            asked: HashMap::new(),
            life: self.seq,
            alive: true,
            paused: 0,
        }
    }

    fn welcome(&mut self, index: usize) {
        let others = self.members.iter().filter(|m| **m != self.members[index]);
        let others = others.cloned().collect();
        self.post(1, index, Step::Event(Event::Members(others)));
        let target = Some(self.versions[self.target]);
        self.post(2, index, Step::Event(Event::Target(target)));
        self.post(3, index, Step::Tick);
    }

    fn post(&mut self, delay: u64, agent: usize, step: Step) {
        self.seq += 1;
        let life = self.agents.get(agent).map_or(0, |a| a.life);
        self.steps.insert(self.seq, step);
        self.queue
            .push(Reverse((self.now + delay, self.seq, agent, life)));
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
            self.post(delay + late + 20, agent, step.clone());
        }
        self.post(delay + late, agent, step);
    }

    /// Runs one step; false when the queue is empty.
    fn step(&mut self) -> bool {
        let Some(Reverse((at, seq, index, life))) = self.queue.pop() else {
            return false;
        };
        self.now = self.now.max(at);
        let step = self.steps.remove(&seq).unwrap();
        if matches!(step, Step::Chaos) {
            self.chaos();
            return true;
        }
        let agent = &self.agents[index];
        if !agent.alive || (life != agent.life && !matches!(step, Step::Ask(..))) {
            return true;
        }
        if agent.paused > self.now {
            let delay = agent.paused - self.now;
            self.post(delay, index, step);
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
                self.post(100, index, Step::Tick);
            }
            Step::Event(event) => {
                agent.planner.on_event(now, event, &mut actions);
                agent.uploads.dispatch(agent.planner.store(), &mut answers);
            }
            Step::Ask(from, order) => {
                let wanted = order.wanted.iter().map(|d| d.prefix()).collect();
                let (wait, store) = (order.wait, agent.planner.store());
                let id = agent
                    .uploads
                    .add_pull(now, wanted, wait, store, &mut answers);
                agent.asked.insert(id, (from, order.id));
            }
            Step::Sent => agent
                .uploads
                .finish_send(agent.planner.store(), &mut answers),
            Step::Chaos => unreachable!(),
        }
        self.act(index, actions);
        self.answer(index, answers);
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Pull(order) = action else {
                continue;
            };
            match order.source {
                Source::Origin => self.origin_gives(index, &order),
                Source::Peer(key) => {
                    let member = self.agents[index].planner.peer(key).unwrap();
                    let to = usize::from(member.rpc.port()) - 1_000;
                    if self.agents[to].alive {
                        self.send(to, 1, Step::Ask(index, order));
                    } else {
                        self.send(index, 1, Step::Event(Event::Failed(order.id)));
                    }
                }
            }
        }
    }

    fn origin_gives(&mut self, index: usize, order: &NewPull) {
        assert_eq!(
            order.wanted.len(),
            1,
            "the origin serves one blob a request"
        );
        if !self.origin_up {
            self.send(index, 5, Step::Event(Event::Failed(order.id)));
            return;
        }
        let bytes = self.content[&order.wanted[0]].clone();
        if !self.versions.contains(&order.wanted[0]) {
            self.origin_bytes += bytes.len() as u64;
        }
        self.cross("origin", index, &order.wanted[0], bytes.len());
        self.give(index, order.id, bytes, 20);
    }

    fn cross(&mut self, from: &str, to: usize, digest: &Digest, bytes: usize) {
        let region = self.members[to].region.clone();
        if from != region && !self.versions.contains(digest) {
            *self.region_bytes.entry(region).or_default() += bytes as u64;
        }
    }

    fn give(&mut self, to: usize, pull: u64, mut bytes: Bytes, time: u64) {
        if self.faults && self.rng.u8(..) < 5 {
            bytes = Bytes::from_static(b"other content");
        }
        let whole = Blob::new(bytes);
        let started = Event::FirstBytes(pull, whole.digest());
        self.send(to, time / 2, Step::Event(started));
        self.send(to, time, Step::Event(Event::Arrived(pull, whole)));
    }

    fn answer(&mut self, index: usize, answers: Vec<Answer>) {
        for answer in answers {
            match answer {
                Answer::Unavailable(id) => {
                    if let Some((to, pull)) = self.agents[index].asked.remove(&id) {
                        self.send(to, 1, Step::Event(Event::Unavailable(pull)));
                    }
                }
                Answer::Send(id, digest) => {
                    // The slot is freed at the source itself, so it is never lost.
                    self.post(10, index, Step::Sent);
                    let held = self.agents[index].planner.store().get(digest);
                    let bytes = held.unwrap().clone();
                    let asked = self.agents[index].asked.remove(&id);
                    let (to, pull) = asked.unwrap();
                    let from = self.members[index].region.clone();
                    self.cross(&from, to, &digest, bytes.len());
                    self.give(to, pull, bytes, 10);
                }
            }
        }
    }

    /// One random fault, or the repair of one.
    fn chaos(&mut self) {
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
            _ => self.shuffle_roster(index),
        }
        let delay = self.rng.u64(50..600);
        self.post(delay, 0, Step::Chaos);
    }

    fn restart(&mut self, index: usize) {
        self.seq += 1;
        self.agents[index] = self.boot(index);
        self.welcome(index);
    }

    /// Changes the version at each agent at another time; some hear it twice.
    fn retarget(&mut self) {
        self.target = self.rng.usize(..self.versions.len());
        let target = Some(self.versions[self.target]);
        for index in 0..self.agents.len() {
            let delay = self.rng.u64(1..2_000);
            self.post(delay, index, Step::Event(Event::Target(target)));
        }
    }

    fn shuffle_roster(&mut self, index: usize) {
        let mut some = self.members.clone();
        some.retain(|m| *m != self.members[index] && self.rng.u8(..) > 60);
        self.post(1, index, Step::Event(Event::Members(some)));
    }

    /// Ends all faults and tells every agent the final state.
    fn heal(&mut self) {
        self.faults = false;
        self.origin_up = true;
        for index in 0..self.agents.len() {
            if !self.agents[index].alive {
                self.restart(index);
            }
            self.agents[index].paused = 0;
            let others = self.members.iter().filter(|m| **m != self.members[index]);
            let others = others.cloned().collect();
            self.post(REPAIR, index, Step::Event(Event::Members(others)));
            let target = Some(self.versions[self.target]);
            self.post(REPAIR, index, Step::Event(Event::Target(target)));
        }
    }

    fn is_done(&self) -> bool {
        let target = Some(self.versions[self.target]);
        self.agents.iter().all(|a| a.planner.ready() == target)
    }

    fn size(&self) -> u64 {
        let planner = &self.agents[0].planner;
        planner.manifest().unwrap().total()
    }
}

// Guards against a planner that loses a chunk, a slot or room in staging to
// any order of faults: the asserts in the core run at each step, and after
// the faults every agent must hold the version whole.
#[test]
fn survives_faults() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 10, 3, 2);
        world.faults = true;
        world.post(300, 0, Step::Chaos);
        for _ in 0..FAULT_STEPS {
            assert!(world.step());
        }
        world.heal();
        let mut steps = FAULT_STEPS;
        while steps < STEPS || !world.is_done() {
            assert!(world.step());
            steps += 1;
            assert!(steps < MOST_STEPS, "seed {seed}: no progress after faults");
        }
    }
}

// Guards against agents that all turn to the origin or over the thin links
// when nothing is wrong.
#[test]
fn draws_each_chunk_once() {
    for seed in 0..8 {
        let mut world = World::new(seed, 60, 6, 3);
        let mut steps = 0;
        while !world.is_done() {
            assert!(world.step());
            steps += 1;
            assert!(steps < MOST_STEPS, "seed {seed}: not done");
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
