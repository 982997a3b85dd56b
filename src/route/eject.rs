//! Ejection of slow or failing upstreams, and their readmission after probes.

use crate::arena::Arena;
use crate::arena::Key;
use crate::common;
use crate::route::upstream::Upstream;
use crate::time::Millis;

/// Length of one bucket of a sample window.
const BUCKET: Millis = Millis(250);

/// Buckets in a sample window; a slow upstream is detected within about one second.
const BUCKETS: usize = 4;

/// Samples needed before an upstream is judged; a mean of fewer is too noisy.
const MIN_SAMPLES: u32 = 6;

/// An upstream is slow when its mean is this many times the median of the pool.
const SLOW_RATIO: f64 = 2.2;

/// An upstream is stuck when its oldest unanswered call is this many times as old
/// as the median of the oldest unanswered calls of all upstreams.
const STUCK_RATIO: f64 = 8.0;

/// Least age of an unanswered call at which an upstream may be stuck, in
/// milliseconds.
const MIN_STUCK_MS: f64 = 500.0;

/// Failures in a row after which an upstream is ejected.
const MAX_FAILURES: u32 = 3;

/// Largest share of the upstreams that may be out of service at once.
const MAX_EJECTED_SHARE: f64 = 1.0 / 3.0;

/// Length of the first ejection.
const FIRST_EJECTION: Millis = Millis(2_000);

/// Longest ejection; each one in a row is twice as long as the one before.
const MAX_EJECTION: Millis = Millis(30_000);

/// Whole answers in a row after which probing ends.
const MIN_PROBES: u32 = 3;

common! { key
/// What is measured at an upstream.
pub enum Signal {
    /// Time between two frames of an answer, in milliseconds.
    Gap,
    /// Response time divided by the expected response time.
    Response,
}
}

common! { key
/// Ejection state of one upstream.
pub enum Health {
    /// Gets requests.
    Serving,
    /// Gets no requests until the ejection ends.
    Ejected {
        /// End of the ejection.
        until: Millis,
        /// Length of the ejection.
        span: Millis,
    },
    /// Gets one repeatable request at a time.
    Probing {
        /// Whole answers in a row so far.
        good: u32,
        /// Length of the ejection before the probes.
        span: Millis,
    },
}
}

impl Health {
    /// Returns true when a request may be sent.
    pub fn admits(self, repeatable: bool) -> bool {
        match self {
            Health::Serving => true,
            Health::Ejected { .. } => false,
            Health::Probing { .. } => repeatable,
        }
    }

    /// Returns true while the upstream is probed.
    pub fn is_probing(self) -> bool {
        matches!(self, Health::Probing { .. })
    }

    /// Ends an ejection early, because no other upstream is left to try.
    pub(crate) fn probe_now(&mut self) {
        if let Health::Ejected { span, .. } = *self {
            *self = Health::Probing { good: 0, span };
        }
    }

    /// Checks that a call may be sent.
    ///
    /// # Panics
    ///
    /// When the upstream is ejected.
    pub(crate) fn on_sent(self) {
        assert!(
            !matches!(self, Health::Ejected { .. }),
            "an ejected upstream gets no requests"
        );
    }

    /// Counts the end of a probe; `good` is true when the answer was whole.
    pub(crate) fn on_ended(&mut self, good: bool) {
        if let Health::Probing { good: count, .. } = self {
            *count = if good { *count + 1 } else { 0 };
        }
    }
}

/// Sums and counts of one signal in the last second, by bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Series {
    sum: [f64; BUCKETS],
    count: [u32; BUCKETS],
}

impl Series {
    fn mean(&self, min_samples: u32) -> Option<f64> {
        let count: u32 = self.count.iter().sum();
        let sum: f64 = self.sum.iter().sum();
        (count >= min_samples).then(|| sum / f64::from(count))
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

    fn mean(&self, signal: Signal, min_samples: u32) -> Option<f64> {
        match signal {
            Signal::Gap => self.gap.mean(min_samples),
            Signal::Response => self.response.mean(min_samples),
        }
    }

    /// Returns how many times as slow as the medians the upstream is; 0 when there
    /// are too few samples.
    ///
    /// The interval between frames does not depend on the queue or on the kind of
    /// request. The response time is used only when there are no intervals.
    fn slowness(&self, medians: &Medians, min_samples: u32) -> f64 {
        if let (Some(gap), Some(median)) = (self.mean(Signal::Gap, min_samples), medians.gap) {
            return gap / median;
        }
        match (self.mean(Signal::Response, min_samples), medians.response) {
            (Some(response), Some(median)) => response / median,
            _ => 0.0,
        }
    }

    fn rotate(&mut self) {
        self.gap.rotate();
        self.response.rotate();
    }
}

/// Medians of the signals over the pool.
#[derive(Clone, Copy, Debug, Default)]
struct Medians {
    gap: Option<f64>,
    response: Option<f64>,
}

/// Ejects and readmits the upstreams of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejector {
    rotated: Millis,
}

impl Ejector {
    /// Ejects and readmits upstreams. `overdue` lists the calls without a first frame
    /// with their ages in milliseconds.
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
        let medians = Medians {
            gap: median(upstreams, Signal::Gap),
            response: median(upstreams, Signal::Response),
        };
        end_probes(now, upstreams, &medians);
        for key in find_slow(upstreams, &medians, &find_stuck(upstreams, overdue)) {
            eject(now, upstreams, key);
        }
        for (_, upstream) in upstreams.iter_mut() {
            // Probes are few, so all of their samples are kept until probing ends.
            if !upstream.health.is_probing() {
                upstream.window.rotate();
            }
        }
    }
}

/// Starts to probe the upstreams whose ejection has ended.
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

/// Readmits probed upstreams that answered well, and ejects slow ones again.
fn end_probes(now: Millis, upstreams: &mut Arena<Upstream>, medians: &Medians) {
    let mut failed = Vec::new();
    for (key, upstream) in upstreams.iter_mut() {
        let Health::Probing { good, .. } = upstream.health else {
            continue;
        };
        if upstream.window.slowness(medians, MIN_PROBES) >= SLOW_RATIO {
            failed.push(key);
        } else if good >= MIN_PROBES {
            upstream.health = Health::Serving;
        }
    }
    for key in failed {
        eject(now, upstreams, key);
    }
}

/// Returns the upstreams to eject, the slowest first.
fn find_slow(
    upstreams: &Arena<Upstream>,
    medians: &Medians,
    stuck: &[Key<Upstream>],
) -> Vec<Key<Upstream>> {
    let mut found: Vec<(f64, Key<Upstream>)> = Vec::new();
    for (key, upstream) in upstreams.iter() {
        let ratio = upstream.window.slowness(medians, MIN_SAMPLES);
        let failed = upstream.failures >= MAX_FAILURES;
        if ratio >= SLOW_RATIO || failed || stuck.contains(&key) {
            found.push((ratio, key));
        }
    }
    found.sort_by(|a, b| b.0.total_cmp(&a.0));
    found.into_iter().map(|(_, key)| key).collect()
}

/// Returns the median of a signal over the upstreams with enough samples; none when
/// there are fewer than three of them.
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

/// Returns the upstreams whose oldest unanswered call is far older than those of
/// the others.
fn find_stuck(upstreams: &Arena<Upstream>, overdue: &[(Key<Upstream>, f64)]) -> Vec<Key<Upstream>> {
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
    let bound = MIN_STUCK_MS.max(STUCK_RATIO * middle.0);
    let late = ages.iter().filter(|(age, _)| *age > bound);
    late.map(|(_, key)| *key).collect()
}

/// Ejects an upstream, unless too many are ejected or probed already.
fn eject(now: Millis, upstreams: &mut Arena<Upstream>, key: Key<Upstream>) {
    let total = upstreams.iter().filter(|(_, u)| u.ready).count();
    let is_out = |u: &Upstream| u.ready && u.health != Health::Serving;
    let out = upstreams.iter().filter(|(_, u)| is_out(u)).count();
    let Some(upstream) = upstreams.get_mut(key) else {
        return;
    };
    let span = match upstream.health {
        Health::Ejected { .. } => return,
        Health::Probing { span, .. } => Millis((span.0 * 2).min(MAX_EJECTION.0)),
        Health::Serving if (out + 1) as f64 > MAX_EJECTED_SHARE * total as f64 => return,
        Health::Serving => FIRST_EJECTION,
    };
    let until = now.plus(span);
    upstream.health = Health::Ejected { until, span };
}
