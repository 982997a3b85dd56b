//! Load patterns of the placement experiment.

use fastrand::Rng;

use crate::bench::place::RUNNERS;
use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::engine::Size;

/// Part of a generation's worth that does not depend on its size.
const FIXED: f64 = 0.3;

/// Weight of an output token against a prompt token.
const OUTPUT: f64 = 10.0;

/// Largest worth, relative to the usual request.
const MAX_WORTH: f64 = 4.0;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Part of the requests.
    pub part: f64,
    /// Mean size.
    pub usual: Size,
    /// Latency objective of a first event, in milliseconds.
    pub objective: f64,
    /// Worth of its usual request.
    pub worth: f64,
}

/// Kinds of request that share the runners.
pub const KINDS: [Kind; 3] = [
    kind(0.40, 1_290.0, 105.0, 500.0, 2.4),
    kind(0.31, 787.0, 105.0, 400.0, 2.0),
    kind(0.29, 607.0, 70.0, 400.0, 1.5),
];

const fn kind(part: f64, prompt: f64, output: f64, objective: f64, worth: f64) -> Kind {
    Kind {
        part,
        usual: Size { prompt, output },
        objective,
        worth,
    }
}

common! { key
/// A load pattern.
pub enum Pattern {
    /// Constant load, in hundredths of the capacity.
    Steady(u32),
    /// Load at 0.8 of the capacity, and at 2.0 for three seconds in ten.
    Burst,
    /// A third of the runners are lost for eight seconds at 0.8 of the capacity.
    Lost,
    /// A quarter of the runners are eight times as slow at 0.6 of the capacity.
    Slow,
    /// Every runner reloads in turn at 0.8 of the capacity.
    Reload,
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

    /// The pattern with this name; `steady-` goes with any load from 0.01 to 10.
    pub fn named(name: &str) -> Option<Pattern> {
        let found = Pattern::ALL.iter().find(|(n, _)| *n == name);
        found.map(|(_, pattern)| *pattern).or_else(|| {
            let load: f64 = name.strip_prefix("steady-")?.parse().ok()?;
            let is_usable = (0.01..=10.0).contains(&load);
            is_usable.then_some(Pattern::Steady((100.0 * load).round() as u32))
        })
    }

    fn load(self, at: f64) -> f64 {
        match self {
            Pattern::Steady(percent) => f64::from(percent) / 100.0,
            Pattern::Burst if at % 10_000.0 > 7_000.0 => 2.0,
            Pattern::Slow => 0.6,
            Pattern::Burst | Pattern::Lost | Pattern::Reload => 0.8,
        }
    }
}

/// When the version of the pattern `reload` is named, in milliseconds.
pub const NAMED: f64 = 6_000.0;

/// When a runner is ordered to load it, in milliseconds.
pub fn turn(runner: usize) -> f64 {
    /// Time from the naming to the first order.
    const FIRST: f64 = 2_600.0;
    /// Interval between two orders.
    const INTERVAL: f64 = 450.0;
    NAMED + FIRST + INTERVAL * runner as f64
}

/// One request of the load.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it comes, in milliseconds.
    pub at: f64,
    /// Its kind, as an index.
    pub kind: usize,
    /// Its real size.
    pub size: Size,
    /// Its size as the caller estimates it.
    pub told: Size,
    /// Its worth, relative to the usual request.
    pub worth: f64,
}

/// All requests of a run.
pub fn arrivals(pattern: Pattern, engine: &Engine, rng: &mut Rng, length: f64) -> Vec<Arrival> {
    let capacity = RUNNERS as f64 / engine.completion_interval();
    let mut found = Vec::new();
    let mut at = 0.0;
    loop {
        let rate = capacity * pattern.load(at);
        at += -(1.0 - rng.f64()).ln() / rate;
        if at >= length {
            return found;
        }
        found.push(arrival(at, rng));
    }
}

fn arrival(at: f64, rng: &mut Rng) -> Arrival {
    let mut drawn = rng.f64();
    let kind = KINDS.iter().position(|kind| {
        drawn -= kind.part;
        drawn < 0.0
    });
    let kind = kind.unwrap_or(0);
    let Kind { usual, worth, .. } = KINDS[kind];
    let prompt = (usual.prompt * spread(rng, 0.9)).clamp(50.0, 3_900.0);
    let output = (usual.output * spread(rng, 1.0)).clamp(5.0, 260.0);
    let estimate = (output * spread(rng, 0.5) * 1.13).clamp(5.0, 400.0);
    let weight = |s: Size| s.prompt + OUTPUT * s.output;
    let size = Size { prompt, output };
    let part = FIXED + (1.0 - FIXED) * weight(size) / weight(usual);
    Arrival {
        at,
        kind,
        size,
        told: Size {
            prompt,
            output: estimate,
        },
        worth: worth * part.min(MAX_WORTH),
    }
}

/// A log-normal factor with mean 1.
fn spread(rng: &mut Rng, sigma: f64) -> f64 {
    let angle = std::f64::consts::TAU * rng.f64();
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * angle.cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
