//! Load patterns of the placement experiment.

use fastrand::Rng;

use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::engine::Size;

/// Share of a request's worth that does not depend on its size.
const FIXED_SHARE: f64 = 0.3;

/// Worth of an output token, relative to a prompt token.
const OUTPUT_WEIGHT: f64 = 10.0;

/// Bound on a request's worth, relative to the usual request of its kind.
const MAX_WORTH: f64 = 4.0;

/// A kind of request, with its own sizes and latency objective.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Share of all requests.
    pub share: f64,
    /// Mean size, in tokens.
    pub usual: Size,
    /// Time from arrival within which the first event should come, in milliseconds.
    pub objective: f64,
    /// Worth of its usual request.
    pub worth: f64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

/// Kinds of request in the load; their shares add up to 1.
pub const KINDS: [Kind; 3] = [
    kind(0.40, 1_290.0, 105.0, 500.0, 2.4, 0),
    kind(0.31, 787.0, 105.0, 400.0, 2.0, 0),
    kind(0.29, 607.0, 70.0, 400.0, 1.5, 0),
];

/// Kinds of request of the patterns with several ranks; their shares add up to 1.
pub const RANKED_KINDS: [Kind; 3] = [
    kind(0.335, 1_290.0, 126.0, 400.0, 3.6, 0),
    kind(0.405, 787.0, 126.0, 400.0, 1.7, 1),
    kind(0.26, 607.0, 70.0, 800.0, 0.55, 2),
];

const fn kind(share: f64, prompt: f64, output: f64, objective: f64, worth: f64, rank: u8) -> Kind {
    Kind {
        share,
        usual: Size { prompt, output },
        objective,
        worth,
        rank,
    }
}

common! { key
/// A load pattern.
pub enum Pattern {
    /// Constant load, in percent of the capacity.
    Steady(u32),
    /// Load at 0.8 of the capacity, and at 2.0 for three seconds in ten.
    Burst,
    /// A third of the runners are lost for eight seconds at 0.8 of the capacity.
    Lost,
    /// A quarter of the runners are eight times as slow at 0.6 of the capacity.
    Slow,
    /// Every runner reloads in turn at 0.8 of the capacity.
    Reload,
    /// Kinds of three ranks at a constant load, in percent of the capacity.
    Ranks(u32),
    /// Kinds of three ranks at 0.9 of the capacity; 2.5 times the usual requests of the
    /// least urgent kind for 5.5 seconds in ten.
    RankBurst,
    /// The same; 1.8 times the usual requests of the most urgent kind for four seconds in
    /// ten.
    UrgentBurst,
    /// Kinds of three ranks at 1.2 times the capacity in three zones, which take equal load
    /// and have four, three and two ninths of the runners.
    Zones,
    /// Requests with alike prompts and estimates and unlike outputs, at 1.0 of the capacity.
    Alike(Cause),
}
}

common! { key
/// What the output of requests that look alike depends on.
pub enum Cause {
    /// The organisation.
    Organisation,
    /// The shared part of the prompt.
    Part,
    /// The organisation; halfway through the run, short and long outputs change places.
    Shift,
}
}

impl Pattern {
    /// Every pattern with its name.
    pub const ALL: [(&'static str, Pattern); 8] = [
        ("steady-0.6", Pattern::Steady(60)),
        ("steady-1.0", Pattern::Steady(100)),
        ("steady-1.5", Pattern::Steady(150)),
        ("steady-2.5", Pattern::Steady(250)),
        ("burst", Pattern::Burst),
        ("lost", Pattern::Lost),
        ("slow", Pattern::Slow),
        ("reload", Pattern::Reload),
    ];

    /// Every pattern with kinds of several ranks, with its name.
    pub const RANKED: [(&'static str, Pattern); 5] = [
        ("ranks-0.7", Pattern::Ranks(70)),
        ("ranks-1.5", Pattern::Ranks(150)),
        ("rank-burst", Pattern::RankBurst),
        ("urgent-burst", Pattern::UrgentBurst),
        ("zones", Pattern::Zones),
    ];

    /// The kinds of request.
    pub fn kinds(self) -> &'static [Kind; 3] {
        if self.is_ranked() {
            &RANKED_KINDS
        } else {
            &KINDS
        }
    }

    /// Returns true when its kinds have several ranks.
    pub fn is_ranked(self) -> bool {
        Pattern::RANKED.iter().any(|(_, p)| *p == self) || matches!(self, Pattern::Ranks(_))
    }

    /// Number of zones.
    pub fn zones(self) -> usize {
        if self == Pattern::Zones { 3 } else { 1 }
    }

    /// Zone of a runner.
    pub fn zone_of_runner(self, runner: usize) -> usize {
        match runner % 9 {
            _ if self.zones() == 1 => 0,
            0..4 => 0,
            4..7 => 1,
            _ => 2,
        }
    }

    /// Rate of a kind at a time in milliseconds, relative to its usual rate.
    fn kind_rate(self, kind: usize, at: f64) -> f64 {
        match self {
            Pattern::RankBurst if kind == 2 && at % 10_000.0 > 4_500.0 => 2.5,
            Pattern::UrgentBurst if kind == 0 && at % 10_000.0 > 6_000.0 => 1.8,
            _ => 1.0,
        }
    }

    /// Patterns with requests that look alike and have unlike outputs.
    pub const ALIKE: [(&'static str, Pattern); 3] = [
        ("alike-organisation", Pattern::Alike(Cause::Organisation)),
        ("alike-part", Pattern::Alike(Cause::Part)),
        ("alike-shift", Pattern::Alike(Cause::Shift)),
    ];

    /// The pattern with this name; `steady-` goes with any load from 0.01 to 10.
    pub fn named(name: &str) -> Option<Pattern> {
        let mut known = Pattern::ALL
            .iter()
            .chain(&Pattern::RANKED)
            .chain(&Pattern::ALIKE);
        let found = known.find(|(n, _)| *n == name);
        found.map(|(_, pattern)| *pattern).or_else(|| {
            let load: f64 = name.strip_prefix("steady-")?.parse().ok()?;
            let is_usable = (0.01..=10.0).contains(&load);
            is_usable.then_some(Pattern::Steady((100.0 * load).round() as u32))
        })
    }

    /// Load at a time in milliseconds, relative to the capacity.
    fn load_at(self, at: f64) -> f64 {
        match self {
            Pattern::Steady(percent) | Pattern::Ranks(percent) => f64::from(percent) / 100.0,
            Pattern::Burst if at % 10_000.0 > 7_000.0 => 2.0,
            Pattern::Slow => 0.6,
            Pattern::Zones => 1.2,
            Pattern::RankBurst | Pattern::UrgentBurst => 0.9,
            Pattern::Alike(_) => 1.0,
            Pattern::Burst | Pattern::Lost | Pattern::Reload => 0.8,
        }
    }
}

/// Time at which the pattern `reload` names a new version, in milliseconds.
pub const NAMED_MS: f64 = 6_000.0;

/// Time at which a runner is ordered to load that version, in milliseconds.
pub fn load_order_at(runner: usize) -> f64 {
    /// Time from the naming of the version to the first order.
    const FIRST_DELAY_MS: f64 = 2_600.0;
    /// Time between the orders to two runners.
    const INTERVAL_MS: f64 = 450.0;
    NAMED_MS + FIRST_DELAY_MS + INTERVAL_MS * runner as f64
}

/// One request of the load.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time of arrival, in milliseconds.
    pub at: f64,
    /// Index of its kind in [`KINDS`].
    pub kind: usize,
    /// Its real size, in tokens.
    pub size: Size,
    /// Its size as the caller estimates it; only the output differs from the real size.
    pub estimate: Size,
    /// Its worth, on the scale of [`Kind::worth`].
    pub worth: f64,
    /// Number of its organisation.
    pub organisation: usize,
    /// Number of the part that its prompt shares with others.
    pub part: usize,
}

/// Organisations, and shared parts of prompts.
const GROUPS: usize = 24;

/// Skew of the demand of organisations and shared parts.
const SKEW: f64 = 1.2;

/// Factors on the usual output of the short and the long one of two requests that look alike.
const UNLIKE: [f64; 2] = [0.3, 2.0];

/// Draws an organisation or shared part.
fn group(rng: &mut Rng) -> usize {
    let demand = |index: usize| ((index + 1) as f64).powf(-SKEW);
    let total: f64 = (0..GROUPS).map(demand).sum();
    let mut draw = rng.f64() * total;
    let found = (0..GROUPS).find(|index| {
        draw -= demand(*index);
        draw < 0.0
    });
    found.unwrap_or(0)
}

/// Requests of a run to `runners` runners, in order of arrival: a Poisson process at the
/// load of the pattern.
pub fn arrivals(
    pattern: Pattern,
    engine: &Engine,
    runners: usize,
    rng: &mut Rng,
    run_ms: f64,
) -> Vec<Arrival> {
    let capacity = runners as f64 / engine.completion_interval();
    let kinds = pattern.kinds();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let shares: [f64; 3] = std::array::from_fn(|k| kinds[k].share * pattern.kind_rate(k, at));
        let total = match pattern.is_ranked() {
            true => shares.iter().sum(),
            false => 1.0,
        };
        let rate = capacity * pattern.load_at(at) * total;
        at += -(1.0 - rng.f64()).ln() / rate;
        if at >= run_ms {
            return arrivals;
        }
        let mut arrival = arrival(at, kinds, shares.map(|s| s / total), rng);
        if let Pattern::Alike(cause) = pattern {
            arrival.make_alike(cause, rng, run_ms);
        }
        arrivals.push(arrival);
    }
}

/// Draws a request that arrives at the time `at`.
fn arrival(at: f64, kinds: &[Kind; 3], shares: [f64; 3], rng: &mut Rng) -> Arrival {
    let mut draw = rng.f64();
    let kind = shares.iter().position(|share| {
        draw -= share;
        draw < 0.0
    });
    let kind = kind.unwrap_or(0);
    let Kind { usual, worth, .. } = kinds[kind];
    let prompt = (usual.prompt * lognormal(rng, 0.9)).clamp(50.0, 3_900.0);
    let output = (usual.output * lognormal(rng, 1.0)).clamp(5.0, 260.0);
    let estimate = (output * lognormal(rng, 0.5) * 1.13).clamp(5.0, 400.0);
    let weight = |s: Size| s.prompt + OUTPUT_WEIGHT * s.output;
    let size = Size { prompt, output };
    let factor = FIXED_SHARE + (1.0 - FIXED_SHARE) * weight(size) / weight(usual);
    // Of a generator of its own, so that the loads of earlier releases stay the same.
    let mut groups = Rng::with_seed(at.to_bits());
    Arrival {
        at,
        kind,
        size,
        estimate: Size {
            prompt,
            output: estimate,
        },
        worth: worth * factor.min(MAX_WORTH),
        organisation: group(&mut groups),
        part: group(&mut groups),
    }
}

impl Arrival {
    /// Lets the output depend on the cause alone, and the estimate on nothing.
    fn make_alike(&mut self, cause: Cause, rng: &mut Rng, run_ms: f64) {
        let has_shifted = cause == Cause::Shift && self.at > run_ms / 2.0;
        let group = match cause {
            Cause::Organisation | Cause::Shift => self.organisation,
            Cause::Part => self.part,
        };
        let usual = KINDS[self.kind].usual;
        let factor = UNLIKE[(group + usize::from(has_shifted)) % 2];
        self.size.output = (usual.output * factor * lognormal(rng, 0.4)).clamp(5.0, 520.0);
        self.estimate.output = (usual.output * lognormal(rng, 0.5) * 1.13).clamp(5.0, 400.0);
        let factor = FIXED_SHARE + (1.0 - FIXED_SHARE) * self.size.weight() / usual.weight();
        self.worth = KINDS[self.kind].worth * factor.min(MAX_WORTH);
    }
}

/// Draws a log-normal factor with mean 1.
fn lognormal(rng: &mut Rng, sigma: f64) -> f64 {
    let angle = std::f64::consts::TAU * rng.f64();
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * angle.cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
