//! Ejection of slow upstreams, and their return by probing.

use crate::arena::Arena;
use crate::arena::Key;
use crate::common;
use crate::route::upstream::Upstream;
use crate::time::Millis;

/// Length of one bucket of a sample window.
const BUCKET: Millis = Millis(250);

/// Buckets looked at: a slow upstream shows within about one second.
const BUCKETS: usize = 4;

/// Samples needed for a verdict; fewer are noise.
const MIN_SAMPLES: u32 = 6;

/// An upstream is slow at this many times the median of the pool.
const SLOW: f64 = 2.2;

/// An upstream makes no progress when its oldest unanswered call is this many
/// times as old as the median of the response times seen.
const STUCK: f64 = 8.0;

/// Shortest time after which missing progress counts.
const STUCK_MIN: f64 = 500.0;

/// Failures in a row that eject.
const FAILURES: u32 = 3;

/// Largest share of the upstreams that is ejected at once.
const MAX_SHARE: f64 = 1.0 / 3.0;

/// First ejection.
const EJECT: Millis = Millis(2_000);

/// Longest ejection; each one in a row doubles.
const EJECT_MAX: Millis = Millis(30_000);

/// Good answers in a row that end probing.
const PROBES: u32 = 3;

common! { key
/// What is measured of an upstream.
pub enum Signal {
    /// Time between two frames of an answer.
    Gap,
    /// Response time relative to the expected one.
    Response,
}
}

common! { key
/// Ejection state of one upstream.
pub enum Health {
    /// Gets work.
    Serving,
    /// Gets no work until the time given.
    Ejected {
        /// End of the ejection.
        until: Millis,
        /// Its length.
        span: Millis,
    },
    /// Gets one repeatable call at a time.
    Probing {
        /// Good answers so far.
        good: u32,
        /// Length of the ejection before.
        span: Millis,
    },
}
}

impl Health {
    /// True when a call may be sent.
    pub fn admits(self, repeatable: bool) -> bool {
        match self {
            Health::Serving => true,
            Health::Ejected { .. } => false,
            Health::Probing { .. } => repeatable,
        }
    }

    /// True while its return is tried.
    pub fn is_probing(self) -> bool {
        matches!(self, Health::Probing { .. })
    }

    /// Ends an ejection early, because nothing else is left to try.
    pub(crate) fn probe_now(&mut self) {
        if let Health::Ejected { span, .. } = *self {
            *self = Health::Probing { good: 0, span };
        }
    }

    pub(crate) fn on_sent(self) {
        assert!(
            !matches!(self, Health::Ejected { .. }),
            "an ejected upstream gets no work"
        );
    }

    pub(crate) fn on_ended(&mut self, good: bool) {
        if let Health::Probing { good: count, .. } = self {
            *count = if good { *count + 1 } else { 0 };
        }
    }
}

/// Sums of the last second of one signal.
#[derive(Clone, Copy, Debug, Default)]
struct Series {
    sum: [f64; BUCKETS],
    count: [u32; BUCKETS],
}

impl Series {
    fn mean(&self, least: u32) -> Option<f64> {
        let count: u32 = self.count.iter().sum();
        let sum: f64 = self.sum.iter().sum();
        (count >= least).then(|| sum / f64::from(count))
    }

    fn rotate(&mut self) {
        self.sum.rotate_right(1);
        self.count.rotate_right(1);
        self.sum[0] = 0.0;
        self.count[0] = 0;
    }
}

/// Samples of one upstream in the last second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    gap: Series,
    response: Series,
}

impl Window {
    /// Adds one sample.
    pub fn add(&mut self, signal: Signal, value: f64) {
        let series = match signal {
            Signal::Gap => &mut self.gap,
            Signal::Response => &mut self.response,
        };
        series.sum[0] += value;
        series.count[0] += 1;
    }

    fn mean(&self, signal: Signal, least: u32) -> Option<f64> {
        match signal {
            Signal::Gap => self.gap.mean(least),
            Signal::Response => self.response.mean(least),
        }
    }

    /// How many times as slow as the base the upstream is.
    ///
    /// The interval between frames does not depend on the queue or on the kind
    /// of work, so the response time counts only where there is no interval.
    fn slowness(&self, base: &Base, least: u32) -> f64 {
        if let (Some(gap), Some(of)) = (self.mean(Signal::Gap, least), base.gap) {
            return gap / of;
        }
        match (self.mean(Signal::Response, least), base.response) {
            (Some(response), Some(of)) => response / of,
            _ => 0.0,
        }
    }

    fn rotate(&mut self) {
        self.gap.rotate();
        self.response.rotate();
    }
}

/// Medians over the pool.
#[derive(Clone, Copy, Debug, Default)]
struct Base {
    gap: Option<f64>,
    response: Option<f64>,
}

/// The system that ejects and readmits upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejector {
    rotated: Millis,
}

impl Ejector {
    /// Judges all upstreams; `overdue` lists the ages of unanswered calls.
    pub fn tick(
        &mut self,
        now: Millis,
        upstreams: &mut Arena<Upstream>,
        overdue: &[(Key<Upstream>, f64)],
    ) {
        start_probes(now, upstreams);
        if now.since(self.rotated) < BUCKET {
            return;
        }
        self.rotated = now;
        let base = Base {
            gap: median(upstreams, Signal::Gap),
            response: median(upstreams, Signal::Response),
        };
        end_probes(now, upstreams, &base);
        for key in slow(upstreams, &base, &stuck(upstreams, overdue)) {
            eject(now, upstreams, key);
        }
        for (_, upstream) in upstreams.iter_mut() {
            // Probes are few, so all of their samples are kept until the verdict.
            if !upstream.health.is_probing() {
                upstream.window.rotate();
            }
        }
    }
}

fn start_probes(now: Millis, upstreams: &mut Arena<Upstream>) {
    for (_, upstream) in upstreams.iter_mut() {
        if let Health::Ejected { until, span } = upstream.health
            && until <= now
        {
            upstream.window = Window::default();
            upstream.failures = 0;
            upstream.health = Health::Probing { good: 0, span };
        }
    }
}

fn end_probes(now: Millis, upstreams: &mut Arena<Upstream>, base: &Base) {
    let mut failed = Vec::new();
    for (key, upstream) in upstreams.iter_mut() {
        let Health::Probing { good, .. } = upstream.health else {
            continue;
        };
        if upstream.window.slowness(base, PROBES) >= SLOW {
            failed.push(key);
        } else if good >= PROBES {
            upstream.health = Health::Serving;
        }
    }
    for key in failed {
        eject(now, upstreams, key);
    }
}

/// Upstreams to eject, the slowest first.
fn slow(upstreams: &Arena<Upstream>, base: &Base, stuck: &[Key<Upstream>]) -> Vec<Key<Upstream>> {
    let mut found: Vec<(f64, Key<Upstream>)> = Vec::new();
    for (key, upstream) in upstreams.iter() {
        let ratio = upstream.window.slowness(base, MIN_SAMPLES);
        let failed = upstream.failures >= FAILURES;
        if ratio >= SLOW || failed || stuck.contains(&key) {
            found.push((ratio, key));
        }
    }
    found.sort_by(|a, b| b.0.total_cmp(&a.0));
    found.into_iter().map(|(_, key)| key).collect()
}

/// Median over the upstreams with enough samples; none below three of them.
fn median(upstreams: &Arena<Upstream>, signal: Signal) -> Option<f64> {
    let means = upstreams
        .iter()
        .filter_map(|(_, u)| u.window.mean(signal, MIN_SAMPLES));
    let mut means: Vec<f64> = means.collect();
    if means.len() < 3 {
        return None;
    }
    means.sort_by(f64::total_cmp);
    Some(means[(means.len() - 1) / 2])
}

/// Upstreams that owe a first frame for far longer than the others.
fn stuck(upstreams: &Arena<Upstream>, overdue: &[(Key<Upstream>, f64)]) -> Vec<Key<Upstream>> {
    let oldest = |key| {
        let ages = overdue
            .iter()
            .filter(|(k, _)| *k == key)
            .map(|(_, age)| *age);
        ages.fold(0.0, f64::max)
    };
    let mut ages: Vec<(f64, Key<Upstream>)> = Vec::new();
    for (key, _) in upstreams.iter() {
        ages.push((oldest(key), key));
    }
    ages.sort_by(|a, b| a.0.total_cmp(&b.0));
    let Some(middle) = ages.get(ages.len() / 2) else {
        return Vec::new();
    };
    let bound = STUCK_MIN.max(STUCK * middle.0);
    let late = ages.iter().filter(|(age, _)| *age > bound);
    late.map(|(_, key)| *key).collect()
}

/// Ejects an upstream unless too many are ejected already.
fn eject(now: Millis, upstreams: &mut Arena<Upstream>, key: Key<Upstream>) {
    let total = upstreams.iter().filter(|(_, u)| u.ready).count();
    let is_out = |u: &Upstream| u.ready && u.health != Health::Serving;
    let out = upstreams.iter().filter(|(_, u)| is_out(u)).count();
    let Some(upstream) = upstreams.get_mut(key) else {
        return;
    };
    let span = match upstream.health {
        Health::Ejected { .. } => return,
        Health::Probing { span, .. } => Millis((span.0 * 2).min(EJECT_MAX.0)),
        Health::Serving if (out + 1) as f64 > MAX_SHARE * total as f64 => return,
        Health::Serving => EJECT,
    };
    let until = now.plus(span);
    upstream.health = Health::Ejected { until, span };
}
