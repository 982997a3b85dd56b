//! Experiment on placement and admission, with emulated runners and a virtual clock.
//!
//! Drives a [`Placer`] for each of several entries, which exchange their state at an
//! interval as they do between VMs, under a named load pattern.

pub mod load;
pub mod runner;

use std::collections::BTreeMap;

use fastrand::Rng;
use serde_json::Value;
use serde_json::json;

use crate::bench::place::load::Arrival;
use crate::bench::place::load::Kind;
use crate::bench::place::load::Pattern;
use crate::bench::place::runner::AnswerEvent;
use crate::bench::place::runner::Runner;
use crate::bench::place::runner::RunnerRequest;
use crate::member::registry::Holding;
use crate::member::registry::Registration;
use crate::prelude::*;
use crate::retry::Returns;
use crate::retry::returns;
use crate::retry::returns::Refused;
use crate::route::admission::Admission;
use crate::route::admission::KindId;
use crate::route::admission::Offer;
use crate::route::engine::Engine;
use crate::route::engine::Model;
use crate::route::engine::Size;
use crate::route::estimate;
use crate::route::estimate::Estimates;
use crate::route::estimate::Forecast;
use crate::route::placement::Call;
use crate::route::placement::Choice;
use crate::route::placement::Placer;
use crate::route::profile::RequestProfile;
use crate::route::recovery::Outcome;
use crate::route::regions::Regions;
use crate::route::target::RunnerStatus;
use crate::route::target::Target;
use crate::table::routing::Limits;
use crate::table::routing::Pool;
use crate::table::routing::Routing;

/// Time in which requests arrive, in milliseconds.
const RUN_MS: f64 = 30_000.0;

/// Interval at which faults are applied, in milliseconds.
const FAULT_INTERVAL_MS: f64 = 25.0;

/// Share of a request's worth that a late answer earns.
const LATE_SHARE: f64 = 0.25;

/// Longest pause between events with which an answer is on time, in milliseconds.
const MAX_PAUSE_MS: f64 = 400.0;

/// Interval at which entries receive each other's counts of admitted requests, in
/// milliseconds.
const COUNTS_INTERVAL_MS: f64 = 250.0;

/// Interval at which a runner reports to entries of other zones, in milliseconds.
const REMOTE_INTERVAL_MS: f64 = 500.0;

/// Entries of each other zone to which a runner reports.
const REMOTE_REPORTS: usize = 4;

/// Time since arrival after which a caller leaves its request, in milliseconds.
const CALLER_WAIT_MS: f64 = 6_000.0;

common! { key
/// How requests are placed; all but the first are baselines.
pub enum Policy {
    /// The system's own prediction and admission.
    Own,
    /// Of two runners drawn at random, the one with fewer open calls from the same entry.
    RandomTwo,
    /// The runner with the fewest open calls from the same entry.
    LeastRequests,
    /// The runner with the least work of open calls from the same entry, by their estimates.
    LeastWork,
    /// The runner with the fewest calls, by its last report and the sends of the same entry
    /// since; the reported ones count less the older the report is.
    ShortestAged,
    /// The system's own prediction and admission, by the callers' estimates alone.
    Hints,
}
}

common! { value
/// Entries and runners of a run, and how often entries learn of each other's calls.
pub struct Fleet {
    /// Number of entries that share the load.
    pub entries: usize,
    /// Number of runners in the pool.
    pub runners: usize,
    /// Interval at which entries receive the states of runners and each other's calls,
    /// in milliseconds.
    pub exchange_ms: f64,
    /// Groups of entries and runners that report in turn within an interval.
    pub phases: usize,
}
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            entries: 7,
            runners: 9,
            exchange_ms: 25.0,
            phases: 1,
        }
    }
}

/// Every policy with its name, the system's own first.
pub const POLICIES: [(&str, Policy); 6] = [
    ("chervilquay", Policy::Own),
    ("random-two", Policy::RandomTwo),
    ("least-requests", Policy::LeastRequests),
    ("least-work", Policy::LeastWork),
    ("shortest-aged", Policy::ShortestAged),
    ("hints-alone", Policy::Hints),
];

/// Results of one run; all are ratios.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Worth earned by answers, relative to the worth of all requests.
    pub credit: f64,
    /// Share of requests answered on time.
    pub on_time: f64,
    /// Share of requests answered late.
    pub late: f64,
    /// Share of requests that got no event of an answer, as refused ones.
    pub refused: f64,
    /// Share of requests that got events of an answer, but not its last one in time.
    pub failed: f64,
    /// Share of output events that were made after their request had ended.
    pub wasted: f64,
    /// Share answered of the tenth of a kind with the greatest worth, relative to the share
    /// answered of the whole kind; the least among the kinds of request.
    pub largest: f64,
    /// Figures of each kind of request.
    pub kinds: Vec<GroupSummary>,
    /// Figures of the callers of each zone.
    pub zones: Vec<GroupSummary>,
    /// Share of the callers that came back after a refusal and were refused again.
    pub refused_again: f64,
}

/// Results of the requests of one kind or zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupSummary {
    /// Share of the requests that was answered.
    pub served: f64,
    /// Worth earned, relative to the worth of the requests.
    pub credit: f64,
}

impl GroupSummary {
    fn json(groups: &[GroupSummary]) -> Value {
        let round = |v: f64| (v * 1_000.0).round() / 1_000.0;
        let figures = |f: fn(&GroupSummary) -> f64| -> Vec<f64> {
            groups.iter().map(|g| round(f(g))).collect()
        };
        json!({"served": figures(|g| g.served), "credit": figures(|g| g.credit)})
    }
}

impl Summary {
    /// Results as one line of output, rounded to three decimals.
    pub fn json(&self, policy: &str, pattern: &str, seed: u64) -> Value {
        let round = |v: f64| (v * 1_000.0).round() / 1_000.0;
        json!({
            "pattern": pattern, "policy": policy, "seed": seed,
            "credit": round(self.credit), "on_time": round(self.on_time),
            "late": round(self.late), "refused": round(self.refused),
            "failed": round(self.failed), "wasted": round(self.wasted),
            "by_size_largest": round(self.largest),
            "by_kind": GroupSummary::json(&self.kinds),
            "by_zone": GroupSummary::json(&self.zones),
            "refused_again": round(self.refused_again),
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

/// Figures of the engines that serve kinds of several ranks.
pub fn ranked_engine() -> Engine {
    Engine {
        slots: 12,
        step_ms: 7.4,
        request_ms: 0.0387,
        context_ms: 0.0203,
        read_rate: 31.9,
        stride: 7.0,
        usual: Size {
            prompt: 909.0,
            output: 111.0,
        },
        ..engine()
    }
}

/// One request and what has become of it; times are in milliseconds.
#[derive(Clone, Debug)]
struct Request {
    arrival: Arrival,
    /// Zone of its caller.
    zone: usize,
    entry: usize,
    /// Upstream that the placer chose; `None` under the baselines.
    target: Option<Key<Target>>,
    /// Open call of the placer; `None` under the baselines.
    call: Option<Key<Call>>,
    runner: usize,
    /// Time of the first event of the answer.
    first_at: Option<f64>,
    /// Time of the last event so far.
    last_at: f64,
    /// Longest time between two events.
    longest_pause: f64,
    /// True when the answer is complete.
    is_answered: bool,
    /// True when no more is expected: answered, refused twice, lost or left by its caller.
    is_over: bool,
    /// Number of times that it was refused.
    refusals: u32,
    /// Events of its answer so far.
    events: u64,
}

/// State of a run.
struct Simulation {
    fleet: Fleet,
    policy: Policy,
    engine: Engine,
    runners: Vec<Runner>,
    entries: Vec<Placer>,
    requests: Vec<Request>,
    /// Requests to send, by time in microseconds and number.
    to_send: BTreeMap<(u64, usize), ()>,
    /// Open calls by entry and runner, which the baselines place by.
    open_calls: Vec<Vec<usize>>,
    pattern: Pattern,
    /// When runners last reported to entries of other zones, in milliseconds.
    remote_at: f64,
    /// Kinds of request.
    kinds: &'static [Kind; 3],
    /// Requests offered and admitted, by entry.
    admissions: Vec<Admission>,
    /// Callers told to return, by entry.
    returns: Vec<Returns>,
    /// Work of open calls by entry and runner, in milliseconds.
    open_work: Vec<Vec<f64>>,
    /// Calls that a runner last reported, when, and the sends of each entry since.
    reports: Vec<(usize, f64, Vec<usize>)>,
    /// What each entry has learned of the output of requests.
    estimates: Vec<Estimates>,
    rng: Rng,
    /// Events of answers whose request had ended.
    wasted_events: f64,
    /// Events of all answers.
    event_count: f64,
}

/// Runs a load pattern under a policy before the usual fleet; a seed gives the same
/// results each time.
pub fn run(pattern: Pattern, policy: Policy, seed: u64) -> Summary {
    run_fleet(Fleet::default(), pattern, policy, seed)
}

/// Runs a load pattern under a policy before this fleet.
pub fn run_fleet(fleet: Fleet, pattern: Pattern, policy: Policy, seed: u64) -> Summary {
    let mut rng = Rng::with_seed(seed);
    let engine = match pattern.is_ranked() {
        true => ranked_engine(),
        false => engine(),
    };
    let arrivals = load::arrivals(pattern, &engine, fleet.runners, &mut rng, RUN_MS);
    let mut simulation = Simulation::new(fleet, policy, pattern, engine, arrivals, rng);
    simulation.simulate(pattern);
    simulation.summary()
}

/// Name of a runner as an upstream.
fn upstream_id(index: usize) -> String {
    format!("u{index}")
}

/// Name of a zone.
fn zone_name(index: usize) -> String {
    format!("z{index}")
}

/// Returns true when a runner reports to an entry of another zone that has `count` entries.
fn is_reader(entry: usize, runner: usize, count: usize) -> bool {
    (entry + count - runner % count.max(1)) % count.max(1) < REMOTE_REPORTS
}

/// Microseconds of a time in milliseconds, as a key of the requests to send.
fn micros(at: f64) -> u64 {
    (at * 1_000.0) as u64
}

/// Time as the placers take it: 1,000 s later than the virtual clock.
fn millis(at: f64) -> Millis {
    Millis(1_000_000 + at as u64)
}

impl Simulation {
    /// Creates idle runners, entries that know them all, and the requests to send.
    fn new(
        fleet: Fleet,
        policy: Policy,
        pattern: Pattern,
        engine: Engine,
        arrivals: Vec<Arrival>,
        mut rng: Rng,
    ) -> Simulation {
        let Fleet {
            entries: entry_count,
            runners: runner_count,
            ..
        } = fleet;
        let pool = Pool {
            name: "p".to_string(),
            health_path: String::new(),
            max_connections: u32::MAX,
            engine: Some(Arc::new(engine.clone())),
            origin: None,
            cold_span: Millis(0),
            cold_rate: None,
        };
        let routing = Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default());
        let registration = |index: usize| Registration {
            id: upstream_id(index),
            pool: "p".to_string(),
            addr: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            zone: zone_name(pattern.zone_of_runner(index)),
            slots: engine.slots,
            draining: false,
            started: 1,
            sequence: 0,
            cold_left: Millis(0),
            holdings: vec![Holding {
                model: "m".to_string(),
                version: 1,
                layers: Some(engine.layers),
            }],
        };
        let members: Vec<Registration> = (0..runner_count).map(registration).collect();
        let entries = (0..entry_count).map(|index| {
            let zone = zone_name(index % pattern.zones());
            let mut placer = Placer::new(&zone, index as u64);
            placer.set_members(&members, &routing);
            placer
        });
        let requests: Vec<Request> = arrivals
            .into_iter()
            .map(|arrival| (arrival, rng.usize(0..entry_count)))
            .map(|(arrival, entry)| Request {
                entry,
                zone: entry % pattern.zones(),
                arrival,
                target: None,
                call: None,
                runner: 0,
                first_at: None,
                last_at: 0.0,
                longest_pause: 0.0,
                is_answered: false,
                is_over: false,
                refusals: 0,
                events: 0,
            })
            .collect();
        let numbered = requests.iter().enumerate();
        Simulation {
            fleet,
            policy,
            runners: vec![Runner::new(&engine); runner_count],
            entries: entries.collect(),
            to_send: numbered
                .map(|(i, r)| ((micros(r.arrival.at), i), ()))
                .collect(),
            open_calls: vec![vec![0; runner_count]; entry_count],
            pattern,
            kinds: pattern.kinds(),
            remote_at: 0.0,
            admissions: vec![Admission::default(); entry_count],
            returns: vec![Returns::default(); entry_count],
            open_work: vec![vec![0.0; runner_count]; entry_count],
            reports: vec![(0, 0.0, vec![0; entry_count]); runner_count],
            estimates: vec![Estimates::default(); entry_count],
            requests,
            engine,
            rng,
            wasted_events: 0.0,
            event_count: 0.0,
        }
    }

    /// Advances the clock from event to event until the last caller has left.
    fn simulate(&mut self, pattern: Pattern) {
        let mut now = 0.0;
        let (mut exchanged_at, mut fault_at) = (0.0, 0.0);
        let interval = self.fleet.exchange_ms / self.fleet.phases as f64;
        let mut phase = 0;
        let mut counts_at = 0.0;
        while now < RUN_MS + CALLER_WAIT_MS {
            let pass_end = self.runners.iter().filter_map(Runner::pass_end);
            let pass_end = pass_end.fold(f64::INFINITY, f64::min);
            let send_at = self
                .to_send
                .keys()
                .next()
                .map_or(f64::INFINITY, |(at, _)| *at as f64 / 1_000.0);
            now = pass_end
                .min(send_at)
                .min(exchanged_at + interval)
                .min(fault_at + FAULT_INTERVAL_MS)
                .max(now);
            if now >= exchanged_at + interval {
                exchanged_at = now;
                self.exchange_status(pattern, phase, now);
                phase = (phase + 1) % self.fleet.phases;
            }
            if now >= counts_at + COUNTS_INTERVAL_MS {
                counts_at = now;
                self.exchange_counts(now);
            }
            if now >= fault_at + FAULT_INTERVAL_MS {
                fault_at = now;
                self.apply_faults(pattern, now);
            }
            for index in 0..self.fleet.runners {
                if self.runners[index].pass_end().is_some_and(|at| at <= now) {
                    let events = self.runners[index].end_pass(now);
                    self.on_events(now, events);
                }
            }
            while let Some(((at, request), ())) =
                self.to_send.first_key_value().map(|(k, v)| (*k, *v))
            {
                if at as f64 / 1_000.0 > now {
                    break;
                }
                self.to_send.remove(&(at, request));
                self.send(now, request);
            }
        }
    }

    /// Gives each entry the states of the runners of one phase that are up, and the calls
    /// of the entries of that phase.
    fn exchange_status(&mut self, pattern: Pattern, phase: usize, now: f64) {
        let phases = self.fleet.phases;
        let measured_at = millis(now);
        let zones = pattern.zones();
        let is_remote_due = now >= self.remote_at + REMOTE_INTERVAL_MS;
        if is_remote_due {
            self.remote_at = now;
        }
        let has_reloads = pattern == Pattern::Reload && now >= load::NAMED_MS;
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
                reload_at: has_reloads
                    .then(|| millis(load::load_order_at(index)))
                    .filter(|at| *at > measured_at),
            };
            if !runner.down && index % phases == phase {
                self.reports[index] = (runner.calls(), now, vec![0; self.entries.len()]);
            }
            for (entry, placer) in self.entries.iter_mut().enumerate() {
                let is_due = if entry % zones == pattern.zone_of_runner(index) {
                    index % phases == phase
                } else {
                    is_remote_due && is_reader(entry / zones, index, self.fleet.entries / zones)
                };
                if !runner.down && is_due {
                    placer.on_status(&upstream_id(index), status.clone());
                }
            }
        }
        for index in (0..self.estimates.len()).filter(|index| index % phases == phase) {
            let told = self.estimates[index].told(measured_at).to_vec();
            for other in (0..self.estimates.len()).filter(|other| *other != index) {
                let told = told.iter().cloned();
                self.estimates[other].merge(measured_at, &index.to_string(), told);
            }
        }
        let loads: Vec<_> = self.entries.iter().map(Placer::loads).collect();
        for (index, placer) in self.entries.iter_mut().enumerate() {
            for (other, load) in loads.iter().enumerate() {
                let is_near = other % zones == index % zones;
                if other != index && is_near && other / zones % phases == phase {
                    placer.on_loads(measured_at, &other.to_string(), load);
                }
            }
        }
    }

    /// Gives each entry the counts of all others of its zone.
    fn exchange_counts(&mut self, now: f64) {
        let zones = self.pattern.zones();
        let reports: Vec<_> = self.admissions[..zones]
            .iter()
            .map(|a| a.zone_report(millis(now)))
            .collect();
        let at = millis(now);
        let counts: Vec<_> = self.admissions.iter().map(|a| a.counts(at)).collect();
        for (index, admission) in self.admissions.iter_mut().enumerate() {
            for (zone, report) in reports.iter().enumerate() {
                if zone != index % zones {
                    admission.on_zone(at, &zone_name(zone), report.clone());
                }
            }
            for (other, counts) in counts.iter().enumerate() {
                if other != index && other % zones == index % zones {
                    admission.on_peer(at, &other.to_string(), counts.clone());
                }
            }
        }
    }

    /// Kind of a request as entries count it.
    fn kind_id(&self, kind: usize) -> KindId {
        KindId {
            route: kind as u64,
            pool: 0,
            rank: self.kinds[kind].rank,
        }
    }

    /// Changes the pace of runners at random and applies the faults of the pattern.
    fn apply_faults(&mut self, pattern: Pattern, now: f64) {
        let mut lost = Vec::new();
        for (index, runner) in self.runners.iter_mut().enumerate() {
            // Other VMs on the same host slow a runner now and then, as users report.
            let changes_pace = self.rng.f64() < FAULT_INTERVAL_MS / 600.0;
            if changes_pace {
                runner.pace = if self.rng.f64() < 0.15 { 2.5 } else { 1.0 };
            }
            match pattern {
                Pattern::Lost if index % 3 == 0 => {
                    let was_down = runner.down;
                    runner.down = (8_000.0..16_000.0).contains(&now);
                    if runner.down && !was_down {
                        lost.extend(runner.crash());
                    }
                }
                Pattern::Slow if index % 4 == 0 => runner.pace = 8.0,
                Pattern::Reload => {
                    let order_at = load::load_order_at(index);
                    if now >= order_at
                        && now < order_at + FAULT_INTERVAL_MS
                        && runner.loading.is_none()
                    {
                        runner.loading = Some(now);
                    }
                }
                _ => {}
            }
        }
        for request in lost {
            self.end_call(now, request, Outcome::Failed);
            self.requests[request].is_over = true;
        }
    }

    /// Profile of a request for the placer, at the time that is left to it.
    fn profile(&mut self, now: f64, request: &Request, output: f64) -> RequestProfile {
        let spent = now - request.arrival.at;
        let size = Size {
            output,
            ..request.arrival.estimate
        };
        let read_ms = self.engine.read_ms(size.prompt);
        let weight = size.weight();
        let Kind {
            objective, rank, ..
        } = self.kinds[request.arrival.kind];
        let offer = Offer {
            kind: self.kind_id(request.arrival.kind),
            objective,
            weight,
            usual: self.engine.usual.weight(),
            returning: request.refusals > 0,
        };
        let standing = self.admissions[request.entry].on_offered(millis(now), &offer);
        let slack = objective - spent - 15.0;
        RequestProfile {
            pool: "p".to_string(),
            model: Some("m".to_string()),
            regions: Regions::Any,
            min_version: 0,
            rank,
            size,
            slack_ms: (slack > 0.0).then_some(slack),
            max_pause: Some(MAX_PAUSE_MS),
            time_left: CALLER_WAIT_MS - spent,
            read_ms,
            value_density: self.engine.value_density(size),
            relative_size: weight / standing.large_weight,
            large_preference: standing.large_preference,
            allowance: standing.allowance,
        }
    }

    /// Places a request by the policy and sends it, or has it refused.
    fn send(&mut self, now: f64, index: usize) {
        let request = self.requests[index].clone();
        let forecast = self.forecast(now, &request);
        let profile = self.profile(now, &request, forecast.mean());
        let at = millis(now);
        let entry = request.entry;
        let mut after = Millis(0);
        let chosen = match self.policy {
            Policy::Own | Policy::Hints => match self.entries[entry].choose(at, &profile, &[]) {
                Choice::Send { target, first_ms } => {
                    let name = self.entries[entry]
                        .get(target)
                        .map(|t| t.registration.id.clone());
                    let runner = name.and_then(|n| n[1..].parse().ok()).unwrap_or(0);
                    let call = self.entries[entry].on_sent(at, target, &profile, first_ms);
                    let kind = self.kind_id(request.arrival.kind);
                    self.admissions[entry].on_admitted(at, kind, profile.size.weight());
                    self.entries[entry].set_forecast(call, forecast, 0.0);
                    self.requests[index].target = Some(target);
                    self.requests[index].call = Some(call);
                    Some(runner)
                }
                Choice::Overloaded { retry_after, .. } => {
                    after = retry_after;
                    None
                }
                Choice::NoUpstream => None,
            },
            Policy::RandomTwo => {
                let a = self.rng.usize(0..self.fleet.runners);
                let b = self.rng.usize(0..self.fleet.runners);
                let open = &self.open_calls[entry];
                Some(if open[a] <= open[b] { a } else { b })
            }
            Policy::LeastRequests => {
                let start = self.rng.usize(0..self.fleet.runners);
                let rotated = (0..self.fleet.runners).map(|i| (start + i) % self.fleet.runners);
                rotated.min_by_key(|i| self.open_calls[entry][*i])
            }
            Policy::LeastWork => self.least(|i| self.open_work[entry][i]),
            Policy::ShortestAged => {
                let service_ms = self.engine.service_time();
                self.least(|i| {
                    let (calls, at, sends) = &self.reports[i];
                    let age = ((now - at) / service_ms).min(1.0);
                    *calls as f64 * (1.0 - age) + sends[entry] as f64
                })
            }
        };
        let Some(runner) = chosen else {
            self.on_refused(now, index, after);
            return;
        };
        self.open_calls[entry][runner] += 1;
        self.open_work[entry][runner] += self.engine.cost(request.arrival.estimate);
        self.reports[runner].2[entry] += 1;
        self.requests[index].runner = runner;
        let sent = RunnerRequest {
            id: index,
            size: request.arrival.size,
            urgency: profile.rank + if profile.slack_ms.is_some() { 1 } else { 6 },
        };
        if !self.runners[runner].accept(now, sent) {
            self.end_call(now, index, Outcome::Busy);
            self.on_refused(now, index, after);
        }
    }

    /// Runner with the least value; of several, one at random.
    fn least(&self, value: impl Fn(usize) -> f64) -> Option<usize> {
        let start = Rng::with_seed(self.event_count as u64).usize(0..self.fleet.runners);
        let rotated = (0..self.fleet.runners).map(|i| (start + i) % self.fleet.runners);
        rotated.min_by(|a, b| value(*a).total_cmp(&value(*b)))
    }

    /// Groups of alike requests that a request belongs to.
    fn kind(request: &Request) -> estimate::Kind {
        let Arrival {
            kind,
            organisation,
            part,
            ..
        } = request.arrival;
        let (organisation, part) = (organisation.to_string(), part.to_string());
        let route = kind.to_string();
        estimate::Kind::new(&route, Some("m"), Some(&organisation), [part.as_str()])
    }

    /// Forecast of the output of a request.
    fn forecast(&self, now: f64, request: &Request) -> Forecast {
        let hint = request.arrival.estimate.output;
        let kind = Simulation::kind(request);
        let usual = self.engine.usual.output;
        let learned = match self.policy {
            Policy::Own => {
                self.estimates[request.entry].forecast(millis(now), &kind, usual, Some(hint))
            }
            _ => None,
        };
        learned.unwrap_or_else(|| Forecast::around(hint))
    }

    /// Lets the entry of a request learn from its answer, which is over.
    fn learn(&mut self, now: f64, index: usize, is_whole: bool) {
        let request = &self.requests[index];
        let hint = request.arrival.estimate.output;
        let tokens = self.engine.tokens(request.events, is_whole);
        let (kind, usual) = (Simulation::kind(request), self.engine.usual.output);
        let estimates = &mut self.estimates[request.entry];
        estimates.learn(millis(now), &kind, usual, Some(hint), tokens, is_whole);
    }

    /// Handles a refusal: the caller retries once, at a random entry, when its entry tells
    /// it. `after` is the time after which the placement expects a slot.
    fn on_refused(&mut self, now: f64, index: usize, after: Millis) {
        let at = millis(now);
        let request = &mut self.requests[index];
        request.refusals += 1;
        if request.refusals > 1 {
            request.is_over = true;
            return;
        }
        let objective = self.kinds[request.arrival.kind].objective;
        let refused = Refused {
            after,
            patience: Some(CALLER_WAIT_MS - (now - request.arrival.at)),
            timely: returns::timely_return(objective - (now - request.arrival.at)),
            pool: self.admissions[request.entry].pool_state(at, 0),
        };
        let retry = self.returns[request.entry].plan(at, &refused, &mut self.rng);
        let zones = self.pattern.zones();
        let count = self.fleet.entries / zones;
        request.entry = match zones {
            1 => self.rng.usize(0..self.fleet.entries),
            _ => request.zone + zones * self.rng.usize(0..count),
        };
        let retry_at = now + retry.0 as f64;
        self.to_send.insert((micros(retry_at), index), ());
    }

    /// Handles events of answers.
    fn on_events(&mut self, now: f64, events: Vec<AnswerEvent>) {
        for event in events {
            self.event_count += 1.0;
            let (index, is_last) = match event {
                AnswerEvent::Event(index) => (index, false),
                AnswerEvent::Last(index) => (index, true),
            };
            let request = &mut self.requests[index];
            if request.is_over {
                self.wasted_events += 1.0;
                continue;
            }
            match request.first_at {
                None => request.first_at = Some(now),
                Some(_) => request.longest_pause = request.longest_pause.max(now - request.last_at),
            }
            request.last_at = now;
            request.events += 1;
            let (call, entry) = (request.call, request.entry);
            if now - request.arrival.at > CALLER_WAIT_MS {
                request.is_over = true;
                self.learn(now, index, false);
                self.end_call(now, index, Outcome::Dropped);
                continue;
            }
            if let Some(call) = call {
                self.entries[entry].on_begun(millis(now), call);
                self.entries[entry].on_event(millis(now), call);
            }
            if is_last {
                self.requests[index].is_answered = true;
                self.requests[index].is_over = true;
                self.learn(now, index, true);
                self.end_call(now, index, Outcome::Done);
            }
        }
    }

    /// Ends the call of a request at its entry.
    fn end_call(&mut self, now: f64, index: usize, outcome: Outcome) {
        let (entry, runner) = (self.requests[index].entry, self.requests[index].runner);
        self.open_calls[entry][runner] = self.open_calls[entry][runner].saturating_sub(1);
        let work = self.engine.cost(self.requests[index].arrival.estimate);
        let held = &mut self.open_work[entry][runner];
        *held = (*held - work).max(0.0);
        if let Some(call) = self.requests[index].call.take() {
            self.entries[entry].on_ended(millis(now), call, outcome);
        }
    }

    /// Computes the results from all requests.
    fn summary(&self) -> Summary {
        let mut figures = Summary::default();
        let count = self.requests.len().max(1) as f64;
        let (mut earned, mut offered) = (0.0, 0.0);
        for request in &self.requests {
            let credit = self.credit(request);
            offered += request.arrival.worth;
            earned += credit * request.arrival.worth;
            let share = match (request.is_answered, request.first_at) {
                (true, _) if credit >= 1.0 => &mut figures.on_time,
                (true, _) => &mut figures.late,
                (false, Some(_)) => &mut figures.failed,
                (false, None) => &mut figures.refused,
            };
            *share += 1.0 / count;
        }
        figures.credit = earned / offered.max(1e-9);
        figures.wasted = self.wasted_events / self.event_count.max(1.0);
        figures.kinds = (0..self.kinds.len())
            .map(|kind| self.group(|r| r.arrival.kind == kind))
            .collect();
        let zones = self.pattern.zones();
        figures.zones = (0..zones)
            .map(|zone| self.group(|r| r.zone == zone))
            .collect();
        let returned = self.requests.iter().filter(|r| r.refusals > 0);
        let again = self.requests.iter().filter(|r| r.refusals > 1);
        figures.refused_again = again.count() as f64 / (returned.count() as f64).max(1.0);
        let largest = (0..self.kinds.len()).map(|kind| self.largest_share(kind));
        figures.largest = largest.fold(f64::INFINITY, f64::min);
        figures
    }

    /// Share of its worth that a request has earned.
    fn credit(&self, request: &Request) -> f64 {
        let Arrival { at, kind, .. } = request.arrival;
        let first = request.first_at.unwrap_or(f64::INFINITY) - at;
        match request.is_answered {
            false => 0.0,
            true if first <= self.kinds[kind].objective
                && request.longest_pause <= MAX_PAUSE_MS =>
            {
                1.0
            }
            true => LATE_SHARE,
        }
    }

    /// Results of some of the requests.
    fn group(&self, belongs: impl Fn(&Request) -> bool) -> GroupSummary {
        let (mut count, mut served, mut offered, mut earned) = (0.0, 0.0, 0.0, 0.0);
        for request in self.requests.iter().filter(|r| belongs(r)) {
            count += 1.0;
            served += f64::from(u8::from(request.is_answered));
            offered += request.arrival.worth;
            earned += self.credit(request) * request.arrival.worth;
        }
        GroupSummary {
            served: served / f64::max(count, 1.0),
            credit: earned / f64::max(offered, 1e-9),
        }
    }

    /// Share answered of the tenth of a kind with the greatest worth, relative to the whole kind.
    fn largest_share(&self, kind: usize) -> f64 {
        let mut requests: Vec<&Request> = self.requests.iter().collect();
        requests.retain(|r| r.arrival.kind == kind);
        requests.sort_by(|a, b| a.arrival.worth.total_cmp(&b.arrival.worth));
        let share = |requests: &[&Request]| {
            let answered = requests.iter().filter(|r| r.is_answered).count();
            answered as f64 / requests.len().max(1) as f64
        };
        share(&requests[requests.len() * 9 / 10..]) / share(&requests).max(1e-9)
    }
}
