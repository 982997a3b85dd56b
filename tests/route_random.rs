//! Seeded runs of the request path with a virtual clock and an in-memory network.

use std::collections::BTreeMap;

use chervilquay::prelude::*;
use chervilquay::route::Member;
use chervilquay::route::RequestState;
use chervilquay::route::RequestTraits;
use chervilquay::route::Router;
use chervilquay::route::action::Action;
use chervilquay::route::action::AnswerPart;
use chervilquay::route::action::Plan;
use chervilquay::route::eject::Health;
use chervilquay::sched::Job;
use chervilquay::sched::Push;
use chervilquay::sched::Queue;
use chervilquay::sched::Running;
use chervilquay::sched::SeenAttempts;
use chervilquay::sched::Settings;

const AGENTS: usize = 6;
const ENTRIES: usize = 2;
const STEPS: u64 = 10_000;

/// Number of a request and number of its attempt.
type Id = (u64, u32);

enum Message {
    /// To an agent, over a connection to one incarnation of it.
    Serve((usize, u32), Id, Millis),
    Cancel(usize, Id),
    Frame(Id, u64, AnswerPart<u32>),
    Fail(Id, Error),
}

#[derive(Clone, Copy)]
struct Faults {
    drop: f64,
    duplicate: f64,
    delay: u64,
    disturbances: bool,
}

struct Work {
    id: Id,
    key: Key<Running>,
    sent: u64,
    next: f64,
}

struct Agent {
    queue: Queue<Id>,
    seen: SeenAttempts,
    work: Vec<Work>,
    paused: Millis,
    leaving: bool,
    slowdown: f64,
    incarnation: u32,
}

impl Agent {
    fn new(incarnation: u32) -> Agent {
        Agent {
            incarnation,
            queue: Queue::new(Settings::new(8, 32)),
            seen: SeenAttempts::default(),
            work: Vec::new(),
            paused: Millis(0),
            leaving: false,
            slowdown: 1.0,
        }
    }
}

struct Request {
    state: RequestState<u32>,
    entry: usize,
    length: u64,
    repeatable: bool,
    runs: u32,
    body: Vec<u8>,
    ended: Option<std::result::Result<(), Error>>,
}

struct Fleet {
    now: Millis,
    rng: fastrand::Rng,
    faults: Faults,
    messages: BTreeMap<(Millis, u64), Message>,
    count: u64,
    agents: Vec<Agent>,
    routers: Vec<Router>,
    requests: Vec<Request>,
    unfinished: Vec<usize>,
}

fn members() -> Vec<Member> {
    let member = |i| Member {
        name: format!("u{i}"),
        zone: "a".to_string(),
        ready: true,
    };
    (0..AGENTS).map(member).collect()
}

/// Returns a part of the body that request `id` must get. No two requests share a part.
fn part(id: u64, index: u64) -> Bytes {
    Bytes::from(format!("{id}:{index};"))
}

impl Fleet {
    fn new(seed: u64, faults: Faults) -> Fleet {
        let mut routers: Vec<_> = (0..ENTRIES).map(|i| Router::new(seed + i as u64)).collect();
        for router in &mut routers {
            router.chooser.set_members("a", &members());
        }
        Fleet {
            now: Millis(1),
            rng: fastrand::Rng::with_seed(seed),
            faults,
            messages: BTreeMap::new(),
            count: 0,
            agents: (0..AGENTS).map(|_| Agent::new(0)).collect(),
            routers,
            requests: Vec::new(),
            unfinished: Vec::new(),
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.f64() < p
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        let copies = 1 + u64::from(self.chance(self.faults.duplicate));
        for _ in 0..copies {
            if self.chance(self.faults.drop) {
                continue;
            }
            let at = self
                .now
                .plus(Millis(1 + self.rng.u64(0..=self.faults.delay)));
            self.count += 1;
            self.messages.insert((at, self.count), message());
        }
    }

    fn arrive(&mut self) {
        let straggler = self.chance(0.01);
        let repeatable = self.chance(0.8);
        let plan = Plan {
            traits: RequestTraits {
                cost: 20.0,
                short: true,
                repeatable,
                prefix: Some(self.rng.u64(0..50)),
            },
            deadline: self.now.plus(Millis(2_000)),
        };
        let id = self.requests.len();
        self.requests.push(Request {
            state: RequestState::new(plan),
            entry: self.rng.usize(0..ENTRIES),
            length: if straggler { 60 } else { self.rng.u64(1..4) },
            repeatable,
            runs: 0,
            body: Vec::new(),
            ended: None,
        });
        self.unfinished.push(id);
        self.advance(id, |state, now, router, out| state.start(now, router, out));
    }

    fn advance(
        &mut self,
        id: usize,
        step: impl FnOnce(&mut RequestState<u32>, Millis, &mut Router, &mut Vec<Action<u32>>),
    ) {
        let mut out = Vec::new();
        let request = &mut self.requests[id];
        let router = &mut self.routers[request.entry];
        step(&mut request.state, self.now, router, &mut out);
        for action in out {
            self.carry_out(id, action);
        }
    }

    fn carry_out(&mut self, id: usize, action: Action<u32>) {
        let request = &mut self.requests[id];
        assert!(request.ended.is_none(), "nothing follows the end");
        let number = |key| {
            let upstream = self.routers[request.entry].chooser.get(key);
            upstream.map_or(0, |u| u.name[1..].parse().expect("number"))
        };
        match action {
            Action::Send {
                attempt,
                upstream,
                remaining,
            } => {
                let to = number(upstream);
                let to = (to, self.agents[to].incarnation);
                self.send(|| Message::Serve(to, (id as u64, attempt), remaining));
            }
            Action::Cancel { attempt, upstream } => {
                let to = number(upstream);
                self.send(|| Message::Cancel(to, (id as u64, attempt)));
            }
            Action::Head(_) => {}
            Action::Data(bytes) => request.body.extend_from_slice(&bytes),
            Action::End => request.ended = Some(Ok(())),
            Action::Fail(error) => {
                assert!(error.retry.is_some(), "a failure says when to come back");
                request.ended = Some(Err(error));
            }
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Serve(to, id, remaining) => self.serve(to, id, remaining),
            Message::Cancel(to, id) => {
                let agent = &mut self.agents[to];
                agent.seen.record(&id.0.to_string(), id.1);
                agent.queue.remove(|held| *held == id);
                if let Some(at) = agent.work.iter().position(|w| w.id == id) {
                    let work = agent.work.remove(at);
                    agent.queue.done(self.now, work.key);
                }
            }
            Message::Frame(id, seq, answer_part) => {
                self.advance(id.0 as usize, |state, now, router, out| {
                    state.on_frame(now, (id.1, seq), answer_part, router, out);
                })
            }
            Message::Fail(id, error) => self.advance(id.0 as usize, |state, now, router, out| {
                state.on_fail(now, id.1, error, router, out);
            }),
        }
    }

    fn serve(&mut self, to: (usize, u32), id: Id, remaining: Millis) {
        let now = self.now;
        let agent = &mut self.agents[to.0];
        if agent.incarnation != to.1 {
            // The connection was closed by the restart, so its messages are lost.
            return;
        }
        if now < agent.paused {
            let at = (agent.paused, self.count + 1);
            self.count += 1;
            self.messages.insert(at, Message::Serve(to, id, remaining));
            return;
        }
        if !agent.seen.record(&id.0.to_string(), id.1) {
            return;
        }
        if agent.leaving {
            return self.refuse(id, Code::UpstreamLeaving);
        }
        let job = Job {
            org: format!("o{}", id.0 % 5),
            weight: 1,
            cost: 20.0,
            short: true,
            deadline: now.plus(remaining),
            value: id,
        };
        match agent.queue.push(now, job) {
            Push::Queued => {}
            Push::Evicted(job) | Push::Refused(job) => self.refuse(job.value, Code::UpstreamBusy),
        }
    }

    fn refuse(&mut self, id: Id, code: Code) {
        self.send(|| Message::Fail(id, Error::new(code, "refused")));
    }

    fn step_agent(&mut self, index: usize) {
        let now = self.now;
        if now < self.agents[index].paused {
            return;
        }
        for job in self.agents[index].queue.expire(now) {
            self.refuse(job.value, Code::UpstreamBusy);
        }
        while let Some((key, job)) = self.agents[index].queue.pop(now) {
            let request = &mut self.requests[job.value.0 as usize];
            request.runs += 1;
            assert!(request.repeatable || request.runs == 1, "run twice");
            self.agents[index].work.push(Work {
                id: job.value,
                key,
                sent: 0,
                next: now.0 as f64,
            });
        }
        for at in (0..self.agents[index].work.len()).rev() {
            self.step_work(index, at);
        }
    }

    /// Sends the frames that are due: a head, one part every 10 ms, and the end.
    fn step_work(&mut self, index: usize, at: usize) {
        let slowdown = self.agents[index].slowdown;
        let work = &mut self.agents[index].work[at];
        if work.next > self.now.0 as f64 {
            return;
        }
        work.next = self.now.0 as f64 + 10.0 * slowdown;
        let (id, seq, key) = (work.id, work.sent, work.key);
        work.sent += 1;
        let length = self.requests[id.0 as usize].length;
        let bytes = (0..length).map(|i| part(id.0, i).len() as u64).sum();
        let answer_part = match seq {
            0 => AnswerPart::Head(200),
            seq if seq <= length => AnswerPart::Data(part(id.0, seq - 1)),
            _ => AnswerPart::Done(bytes),
        };
        if seq > length {
            self.agents[index].work.remove(at);
            self.agents[index].queue.done(self.now, key);
        }
        self.send(|| Message::Frame(id, seq, answer_part.clone()));
    }

    /// Pauses, restarts and drains agents.
    fn disturb(&mut self) {
        let index = self.rng.usize(0..AGENTS);
        match self.rng.u32(0..3) {
            0 => self.agents[index].paused = self.now.plus(Millis(self.rng.u64(100..1_500))),
            1 => {
                let agent = &mut self.agents[index];
                let fresh = Agent::new(agent.incarnation + 1);
                let old = std::mem::replace(agent, fresh);
                // The new incarnation has no requests; the entries see broken connections.
                for work in old.work {
                    let lost = || Error::new(Code::RpcFailed, "lost").with_run(Run::Unknown);
                    self.send(|| Message::Fail(work.id, lost()));
                }
            }
            _ => self.agents[index].leaving = !self.agents[index].leaving,
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus(Millis(1));
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            let message = entry.remove();
            self.receive(message);
        }
        (0..AGENTS).for_each(|index| self.step_agent(index));
        for at in (0..self.unfinished.len()).rev() {
            let id = self.unfinished[at];
            if self.requests[id].state.next_tick() <= self.now {
                self.advance(id, |state, now, router, out| state.tick(now, router, out));
            }
            if self.requests[id].state.is_finished() {
                self.unfinished.swap_remove(at);
            }
        }
        if self.now.0.is_multiple_of(50) {
            self.routers.iter_mut().for_each(|r| r.tick(self.now));
        }
        if self.faults.disturbances && self.chance(0.001) {
            self.disturb();
        }
    }

    fn run(&mut self, steps: u64, rate: f64) {
        for _ in 0..steps {
            if self.chance(rate) {
                self.arrive();
            }
            self.step();
        }
    }

    /// Stops new requests, waits for the deadlines and checks every answer. Returns the number
    /// of whole answers and of all requests.
    fn check(&mut self) -> (usize, usize) {
        self.run(5_000, 0.0);
        let mut whole = 0;
        for (id, request) in self.requests.iter().enumerate() {
            let mut body = Vec::new();
            (0..request.length).for_each(|i| body.extend_from_slice(&part(id as u64, i)));
            match request.ended.as_ref().expect("every request ends") {
                Ok(()) => {
                    assert_eq!(request.body, body, "request {id}");
                    whole += 1;
                }
                Err(error) => {
                    assert!(body.starts_with(&request.body), "request {id}");
                    let is_clean = error.run != Run::NotRun || request.runs == 0;
                    assert!(is_clean, "request {id}: {error} but it ran");
                }
            }
        }
        for router in &self.routers {
            assert_eq!(router.chooser.in_flight(), 0, "a call is still counted");
            let (requests, hedges) = router.hedges.totals();
            assert!(hedges as f64 <= 0.05 * requests as f64);
        }
        (whole, self.requests.len())
    }
}

// Guards against mixed, repeated, lost or wrongly reported answers when the network and the
// agents have faults.
#[test]
fn answers_stay_whole() {
    let mut whole = 0;
    let mut all = 0;
    for seed in 0..200 {
        let faults = Faults {
            drop: 0.01 * (seed % 4) as f64,
            duplicate: 0.02 * (seed % 3) as f64,
            delay: 5 + seed % 30,
            disturbances: true,
        };
        let mut fleet = Fleet::new(seed, faults);
        fleet.run(STEPS, 0.2);
        let (ok, total) = fleet.check();
        whole += ok;
        all += total;
    }
    assert!(whole * 2 > all, "only {whole} of {all} answers are whole");
}

// Guards against slow upstreams that keep getting requests, against too many ejected
// upstreams, and against upstreams that are never readmitted.
#[test]
fn slow_are_ejected() {
    let faults = Faults {
        drop: 0.0,
        duplicate: 0.0,
        delay: 2,
        disturbances: false,
    };
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, faults);
        let out = |fleet: &Fleet, name: &str| {
            let chooser = &fleet.routers[0].chooser;
            let key = chooser.find(name).expect("member");
            chooser
                .get(key)
                .is_some_and(|u| u.health != Health::Serving)
        };
        fleet.run(2_000, 0.6);
        (0..4).for_each(|i| fleet.agents[i].slowdown = 5.0);
        fleet.run(2_000, 0.6);
        let count = (0..AGENTS)
            .filter(|i| out(&fleet, &format!("u{i}")))
            .count();
        assert!(count <= AGENTS / 3, "seed {seed}: {count} ejected");
        (0..AGENTS).for_each(|i| fleet.agents[i].slowdown = if i == 3 { 5.0 } else { 1.0 });
        fleet.run(15_000, 0.6);
        assert!(out(&fleet, "u3"), "seed {seed}: a slow one serves");
        fleet.agents[3].slowdown = 1.0;
        fleet.run(40_000, 0.6);
        let count = (0..AGENTS)
            .filter(|i| out(&fleet, &format!("u{i}")))
            .count();
        assert_eq!(count, 0, "seed {seed}: not readmitted");
        fleet.agents[1].slowdown = 5.0;
        fleet.run(2_000, 0.6);
        assert!(out(&fleet, "u1"), "seed {seed}: not ejected within 2 s");
        fleet.check();
    }
}
