//! Placement and admission against emulated runners on a virtual clock.
//!
//! Drives the real decision core ([`Placer`]) of several entries, with what
//! they tell each other delayed as between VMs, under a named load pattern.

pub mod load;
pub mod runner;

use std::collections::BTreeMap;

use fastrand::Rng;
use serde_json::Value;
use serde_json::json;

use crate::bench::place::load::Arrival;
use crate::bench::place::load::KINDS;
use crate::bench::place::load::Pattern;
use crate::bench::place::runner::Job;
use crate::bench::place::runner::Made;
use crate::bench::place::runner::Runner;
use crate::member::registry::Holding;
use crate::member::registry::Registration;
use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::engine::Model;
use crate::route::engine::Size;
use crate::route::placement::Call;
use crate::route::placement::Choice;
use crate::route::placement::Outcome;
use crate::route::placement::Placer;
use crate::route::placement::RequestProfile;
use crate::route::placement::RunnerStatus;
use crate::route::placement::Target;
use crate::route::size_fairness::SizeFairness;
use crate::table::routing::Limits;
use crate::table::routing::Pool;
use crate::table::routing::Routing;

/// Entries that share the load.
const ENTRIES: usize = 7;

/// Runners of the pool.
pub const RUNNERS: usize = 9;

/// Length of a run, in milliseconds.
const LENGTH: f64 = 30_000.0;

/// Interval at which entries hear of runners and of each other, in milliseconds.
const TELL: f64 = 25.0;

/// Part of the worth that a late answer keeps.
const LATE_PART: f64 = 0.25;

/// Longest pause with which an answer is on time, in milliseconds.
const PAUSE: f64 = 400.0;

/// Least time after which a refused caller comes back, as entries tell it.
const RETURN_MS: f64 = 120.0;

/// Time after which a caller leaves that got nothing, in milliseconds.
const PATIENCE: f64 = 6_000.0;

common! { key
/// How requests are placed; all but the first are baselines.
pub enum Policy {
    /// The system's own prediction and admission.
    Own,
    /// The one with fewer calls of two drawn, by the entry's own count.
    RandomTwo,
    /// Fewest calls by the entry's own count.
    LeastRequests,
}
}

/// Every policy with its name, the system's own first.
pub const POLICIES: [(&str, Policy); 3] = [
    ("chervilquay", Policy::Own),
    ("random-two", Policy::RandomTwo),
    ("least-requests", Policy::LeastRequests),
];

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Worth earned of the worth offered.
    pub credit: f64,
    /// Share of requests answered on time.
    pub on_time: f64,
    /// Share of requests answered late.
    pub late: f64,
    /// Share of requests that ended refused.
    pub refused: f64,
    /// Share of requests cut or lost.
    pub failed: f64,
    /// Output tokens of requests that were not answered whole, as a share.
    pub wasted: f64,
    /// Share answered of the largest tenth relative to all, in the kind of
    /// request with the least of it.
    pub largest: f64,
}

impl Summary {
    /// The figures as one result line.
    pub fn json(&self, policy: &str, pattern: &str, seed: u64) -> Value {
        let round = |v: f64| (v * 1_000.0).round() / 1_000.0;
        json!({
            "pattern": pattern, "policy": policy, "seed": seed,
            "credit": round(self.credit), "on_time": round(self.on_time),
            "late": round(self.late), "refused": round(self.refused),
            "failed": round(self.failed), "wasted": round(self.wasted),
            "by_size_largest": round(self.largest),
        })
    }
}

/// Published figures of the emulated engines.
pub fn engine() -> Engine {
    Engine {
        slots: 16,
        step_ms: 8.87,
        request_ms: 0.0388,
        context_ms: 0.0227,
        read_rate: 19.1,
        pairs_ms: 1.47,
        stride: 5.0,
        usual: Size {
            prompt: 970.0,
            output: 95.0,
        },
        layers: 16,
        pieces: 48,
        piece_bytes: 49_152,
        models: vec![Model {
            name: "m".to_string(),
            load: Millis(300),
        }],
        delays: Vec::new(),
    }
}

#[derive(Clone, Debug)]
struct Request {
    arrival: Arrival,
    entry: usize,
    target: Option<Key<Target>>,
    call: Option<Key<Call>>,
    runner: usize,
    begun: Option<f64>,
    passed: f64,
    pause: f64,
    done: bool,
    over: bool,
    tries: u32,
}

struct World {
    policy: Policy,
    engine: Engine,
    runners: Vec<Runner>,
    entries: Vec<Placer>,
    requests: Vec<Request>,
    /// Requests to send, by time in microseconds and number.
    due: BTreeMap<(u64, usize), ()>,
    own: Vec<Vec<usize>>,
    sizes: Vec<[SizeFairness; KINDS.len()]>,
    rng: Rng,
    wasted: f64,
    made: f64,
}

/// Plays a pattern under a policy.
pub fn run(pattern: Pattern, policy: Policy, seed: u64) -> Summary {
    let mut rng = Rng::with_seed(seed);
    let engine = engine();
    let arrivals = load::arrivals(pattern, &engine, &mut rng, LENGTH);
    let mut world = World::new(policy, engine, arrivals, rng);
    world.play(pattern);
    world.summary()
}

fn id(index: usize) -> String {
    format!("u{index}")
}

fn micros(at: f64) -> u64 {
    (at * 1_000.0) as u64
}

fn millis(at: f64) -> Millis {
    Millis(1_000_000 + at as u64)
}

impl World {
    fn new(policy: Policy, engine: Engine, arrivals: Vec<Arrival>, mut rng: Rng) -> World {
        let pool = Pool {
            name: "p".to_string(),
            health_path: String::new(),
            max_connections: u32::MAX,
            engine: Some(engine.clone()),
            origin: None,
        };
        let routing = Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default());
        let member = |index: usize| Registration {
            id: id(index),
            pool: "p".to_string(),
            addr: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            zone: "z".to_string(),
            slots: engine.slots,
            draining: false,
            started: 1,
            holdings: vec![Holding {
                model: "m".to_string(),
                version: 1,
                layers: Some(engine.layers),
            }],
        };
        let members: Vec<Registration> = (0..RUNNERS).map(member).collect();
        let entries = (0..ENTRIES).map(|index| {
            let mut placer = Placer::new("z", index as u64);
            placer.set_members(&members, &routing);
            placer
        });
        let requests: Vec<Request> = arrivals
            .into_iter()
            .map(|arrival| Request {
                entry: rng.usize(0..ENTRIES),
                arrival,
                target: None,
                call: None,
                runner: 0,
                begun: None,
                passed: 0.0,
                pause: 0.0,
                done: false,
                over: false,
                tries: 0,
            })
            .collect();
        let due = requests.iter().enumerate();
        World {
            policy,
            runners: vec![Runner::new(&engine); RUNNERS],
            entries: entries.collect(),
            due: due.map(|(i, r)| ((micros(r.arrival.at), i), ())).collect(),
            own: vec![vec![0; RUNNERS]; ENTRIES],
            sizes: vec![Default::default(); ENTRIES],
            requests,
            engine,
            rng,
            wasted: 0.0,
            made: 0.0,
        }
    }

    fn play(&mut self, pattern: Pattern) {
        let mut now = 0.0;
        let mut told = 0.0;
        while now < LENGTH + PATIENCE {
            let pass = self.runners.iter().filter_map(Runner::next);
            let pass = pass.fold(f64::INFINITY, f64::min);
            let send = self
                .due
                .keys()
                .next()
                .map_or(f64::INFINITY, |(at, _)| *at as f64 / 1_000.0);
            now = pass.min(send).min(told + TELL).max(now);
            if now >= told + TELL {
                told = now;
                self.tell(pattern, now);
                self.disturb(pattern, now);
            }
            for index in 0..RUNNERS {
                if self.runners[index].next().is_some_and(|at| at <= now) {
                    let made = self.runners[index].end_pass(now);
                    self.take(now, made);
                }
            }
            while let Some(((at, request), ())) = self.due.first_key_value().map(|(k, v)| (*k, *v))
            {
                if at as f64 / 1_000.0 > now {
                    break;
                }
                self.due.remove(&(at, request));
                self.send(now, request);
            }
        }
    }

    /// Entries hear of the runners' states and of each other's calls.
    fn tell(&mut self, pattern: Pattern, now: f64) {
        let measured_at = millis(now);
        let turns = pattern == Pattern::Reload && now >= load::NAMED;
        for (index, runner) in self.runners.iter_mut().enumerate() {
            runner.tick(now);
            let status = RunnerStatus {
                holdings: vec![Holding {
                    model: "m".to_string(),
                    version: 1,
                    layers: Some(16),
                }],
                loading: runner.loading.is_some(),
                calls: runner.calls() as u32,
                pace: runner.pace,
                measured_at,
                reload_at: turns
                    .then(|| millis(load::turn(index)))
                    .filter(|turn| *turn > measured_at),
            };
            for placer in &mut self.entries {
                if !runner.down {
                    placer.on_status(&id(index), status.clone());
                }
            }
        }
        let loads: Vec<_> = self.entries.iter().map(Placer::loads).collect();
        for (index, placer) in self.entries.iter_mut().enumerate() {
            for (other, load) in loads.iter().enumerate() {
                if other != index {
                    placer.on_loads(measured_at, &other.to_string(), load);
                }
            }
        }
    }

    fn disturb(&mut self, pattern: Pattern, now: f64) {
        let mut lost = Vec::new();
        for (index, runner) in self.runners.iter_mut().enumerate() {
            // Neighbours slow a VM now and then, as the users describe.
            let flips = self.rng.f64() < TELL / 600.0;
            if flips {
                runner.pace = if self.rng.f64() < 0.15 { 2.5 } else { 1.0 };
            }
            match pattern {
                Pattern::Lost if index % 3 == 0 => {
                    let was = runner.down;
                    runner.down = (8_000.0..16_000.0).contains(&now);
                    if runner.down && !was {
                        lost.extend(runner.crash());
                    }
                }
                Pattern::Slow if index % 4 == 0 => runner.pace = 8.0,
                Pattern::Reload => {
                    let turn = load::turn(index);
                    if now >= turn && now < turn + TELL && runner.loading.is_none() {
                        runner.loading = Some(now);
                    }
                }
                _ => {}
            }
        }
        for request in lost {
            self.end(now, request, Outcome::Failed);
            self.requests[request].over = true;
        }
    }

    fn profile(&mut self, now: f64, request: &Request) -> RequestProfile {
        let spent = now - request.arrival.at;
        let read_ms = self.engine.read_ms(request.arrival.told.prompt);
        let weight = request.arrival.told.weight();
        let sizes = &mut self.sizes[request.entry][request.arrival.kind];
        if request.tries == 0 {
            sizes.on_request(millis(now), weight, self.engine.usual.weight());
        }
        let slack = KINDS[request.arrival.kind].objective - spent - 15.0;
        RequestProfile {
            pool: "p".to_string(),
            model: Some("m".to_string()),
            min_version: 0,
            size: request.arrival.told,
            slack_ms: (slack > 0.0).then_some(slack),
            max_pause: Some(PAUSE),
            time_left: PATIENCE - spent,
            read_ms,
            value_density: self.engine.value_density(request.arrival.told),
            relative_size: weight / sizes.large_weight(),
            large_preference: sizes.large_preference(),
        }
    }

    fn send(&mut self, now: f64, index: usize) {
        let request = self.requests[index].clone();
        let profile = self.profile(now, &request);
        let at = millis(now);
        let entry = request.entry;
        let chosen = match self.policy {
            Policy::Own => match self.entries[entry].choose(at, &profile, &[]) {
                Choice::Send { target, first_ms } => {
                    let name = self.entries[entry]
                        .get(target)
                        .map(|t| t.registration.id.clone());
                    let runner = name.and_then(|n| n[1..].parse().ok()).unwrap_or(0);
                    let call = self.entries[entry].on_sent(at, target, &profile, first_ms);
                    self.sizes[entry][request.arrival.kind].on_admitted(profile.size.weight());
                    self.requests[index].target = Some(target);
                    self.requests[index].call = Some(call);
                    Some(runner)
                }
                _ => None,
            },
            Policy::RandomTwo => {
                let a = self.rng.usize(0..RUNNERS);
                let b = self.rng.usize(0..RUNNERS);
                let own = &self.own[entry];
                Some(if own[a] <= own[b] { a } else { b })
            }
            Policy::LeastRequests => {
                let start = self.rng.usize(0..RUNNERS);
                let turned = (0..RUNNERS).map(|i| (start + i) % RUNNERS);
                turned.min_by_key(|i| self.own[entry][*i])
            }
        };
        let Some(runner) = chosen else {
            self.refuse(now, index);
            return;
        };
        self.own[entry][runner] += 1;
        self.requests[index].runner = runner;
        let job = Job {
            id: index,
            size: request.arrival.size,
            urgency: if profile.slack_ms.is_some() { 2 } else { 7 },
        };
        if !self.runners[runner].take(now, job) {
            self.end(now, index, Outcome::Busy);
            self.refuse(now, index);
        }
    }

    /// A refused caller comes back once, within a third of its time.
    fn refuse(&mut self, now: f64, index: usize) {
        let request = &mut self.requests[index];
        request.tries += 1;
        if request.tries > 1 {
            request.over = true;
            return;
        }
        let back = now + RETURN_MS * (1.0 + self.rng.f64());
        request.entry = self.rng.usize(0..ENTRIES);
        self.due.insert((micros(back), index), ());
    }

    fn take(&mut self, now: f64, made: Vec<Made>) {
        for event in made {
            self.made += 1.0;
            let (index, is_last) = match event {
                Made::Event(index) => (index, false),
                Made::Last(index) => (index, true),
            };
            let request = &mut self.requests[index];
            if request.over {
                self.wasted += 1.0;
                continue;
            }
            match request.begun {
                None => request.begun = Some(now),
                Some(_) => request.pause = request.pause.max(now - request.passed),
            }
            request.passed = now;
            let (call, entry) = (request.call, request.entry);
            if now - request.arrival.at > PATIENCE {
                request.over = true;
                self.end(now, index, Outcome::Dropped);
                continue;
            }
            if let Some(call) = call {
                self.entries[entry].on_begun(millis(now), call);
            }
            if is_last {
                self.requests[index].done = true;
                self.requests[index].over = true;
                self.end(now, index, Outcome::Done);
            }
        }
    }

    fn end(&mut self, now: f64, index: usize, outcome: Outcome) {
        let (entry, runner) = (self.requests[index].entry, self.requests[index].runner);
        self.own[entry][runner] = self.own[entry][runner].saturating_sub(1);
        if let Some(call) = self.requests[index].call.take() {
            self.entries[entry].on_ended(millis(now), call, outcome);
        }
    }

    fn summary(&self) -> Summary {
        let mut figures = Summary::default();
        let count = self.requests.len().max(1) as f64;
        let (mut earned, mut owed) = (0.0, 0.0);
        for request in &self.requests {
            let Arrival {
                at, worth, kind, ..
            } = request.arrival;
            owed += worth;
            if !request.done {
                if request.begun.is_some() {
                    figures.failed += 1.0 / count;
                } else {
                    figures.refused += 1.0 / count;
                }
                continue;
            }
            let first = request.begun.unwrap_or(f64::INFINITY) - at;
            if first <= KINDS[kind].objective && request.pause <= PAUSE {
                figures.on_time += 1.0 / count;
                earned += worth;
            } else {
                figures.late += 1.0 / count;
                earned += LATE_PART * worth;
            }
        }
        figures.credit = earned / owed.max(1e-9);
        figures.wasted = self.wasted / self.made.max(1.0);
        let largest = (0..KINDS.len()).map(|kind| self.largest(kind));
        figures.largest = largest.fold(f64::INFINITY, f64::min);
        figures
    }

    /// Share answered of the largest tenth of a kind, relative to all of it.
    fn largest(&self, kind: usize) -> f64 {
        let mut requests: Vec<&Request> = self.requests.iter().collect();
        requests.retain(|r| r.arrival.kind == kind);
        requests.sort_by(|a, b| a.arrival.worth.total_cmp(&b.arrival.worth));
        let share = |requests: &[&Request]| {
            let done = requests.iter().filter(|r| r.done).count();
            done as f64 / requests.len().max(1) as f64
        };
        share(&requests[requests.len() * 9 / 10..]) / share(&requests).max(1e-9)
    }
}
