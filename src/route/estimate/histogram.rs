//! Histograms of observations that decay, and how they are blended.
//!
//! Crates of histograms count whole events. Here weights decay, are spread over buckets for
//! requests that were cut off, and are stated to other entries in a few bytes.

use crate::prelude::*;
use crate::route::estimate::POINTS;

/// Buckets of a histogram: bucket `i` is at the value 2^(i / 4), up to 55,000.
pub(super) const BUCKETS: usize = 64;

const PER_DOUBLING: f64 = 4.0;

/// Half-life of an observation, in milliseconds.
const HALF_LIFE_MS: f64 = 60_000.0;

/// Half-life of an error in [`Drift`], in milliseconds. It is about the time in which an
/// entry completes the ten generations of a route that show a shift.
const DRIFT_HALF_LIFE_MS: f64 = 2_500.0;

/// Weight below which a histogram counts as empty.
const MIN_WEIGHT: f64 = 0.05;

/// Number of observations of a wider group that a narrow one is filled up with.
const FILL: f64 = 3.0;

/// Least weight of recent errors, and least mean error as a logarithm, that are a shift.
const SHIFT_WEIGHT: f64 = 5.0;
const SHIFT_ERROR: f64 = 0.3;

/// Number of standard errors by which the mean error of a shift differs from zero.
const SHIFT_SIGNIFICANCE: f64 = 3.5;

/// Resolution of the logarithms in a [`Summary`].
const LOG_UNITS: f64 = 100.0;

/// Resolution of the weights in a [`Summary`].
const WEIGHT_UNITS: f64 = 16.0;

fn decay(now: Millis, at: Millis, half_life: f64) -> f64 {
    0.5_f64.powf(now.since(at).0 as f64 / half_life)
}

fn value(bucket: usize) -> f64 {
    (bucket as f64 / PER_DOUBLING).exp2()
}

fn log_value(bucket: usize) -> f64 {
    bucket as f64 / PER_DOUBLING * std::f64::consts::LN_2
}

/// Returns the position of a value among the buckets.
fn position(value: f64) -> f64 {
    (value.max(1.0).log2() * PER_DOUBLING).min((BUCKETS - 1) as f64)
}

/// Adds a value of weight 1, divided between the two nearest buckets.
pub(super) fn put(shares: &mut [f64; BUCKETS], value: f64) {
    let position = position(value);
    let below = position as usize;
    let part = position - below as f64;
    shares[below] += 1.0 - part;
    shares[(below + 1).min(BUCKETS - 1)] += part;
}

/// Adds a weight of 1 to the buckets beyond `value`, in proportion to `expected`.
pub(super) fn put_beyond(shares: &mut [f64; BUCKETS], expected: &[f64; BUCKETS], value: f64) {
    /// Factor by which the value exceeds `value` when nothing larger is expected.
    const NEXT: f64 = 1.25;
    /// Least share beyond the value that is relied on.
    const MIN_SHARE: f64 = 1e-3;
    let from = position(value).ceil() as usize;
    let beyond: f64 = expected.iter().skip(from).sum();
    if beyond < MIN_SHARE {
        put(shares, value * NEXT);
        return;
    }
    for (share, expected) in shares.iter_mut().zip(expected).skip(from) {
        *share += expected / beyond;
    }
}

/// Returns the mean value.
pub(super) fn mean(shares: &[f64; BUCKETS]) -> f64 {
    shares.iter().enumerate().map(|(i, s)| s * value(i)).sum()
}

/// Returns the mean of the logarithm.
pub(super) fn log_mean(shares: &[f64; BUCKETS]) -> f64 {
    let logs = shares.iter().enumerate();
    logs.map(|(i, s)| s * log_value(i)).sum()
}

/// Returns equally likely values: the middles of equal parts.
pub(super) fn points(shares: &[f64; BUCKETS]) -> [f32; POINTS] {
    let mut points = [0.0; POINTS];
    let (mut bucket, mut below) = (0, 0.0);
    for (index, point) in points.iter_mut().enumerate() {
        let wanted = (index as f64 + 0.5) / POINTS as f64;
        while bucket < BUCKETS - 1 && below + shares[bucket] < wanted {
            below += shares[bucket];
            bucket += 1;
        }
        // The weight of a bucket lies half a bucket to both sides.
        let part = (wanted - below) / shares[bucket].max(1e-9) - 0.5;
        let position = bucket as f64 + part.clamp(-0.5, 0.5);
        *point = (position / PER_DOUBLING).exp2() as f32;
    }
    points
}

/// Means of the logarithms of values and callers' estimates, of their squares and of their
/// product.
type Moments = [f64; 5];

/// Decaying observations.
#[derive(Clone, Debug)]
pub(super) struct Histogram {
    weights: [f32; BUCKETS],
    total: f64,
    /// Weight of the observations with a caller's estimate.
    hinted: f64,
    /// Sums, not means.
    moments: Moments,
    at: Millis,
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram {
            weights: [0.0; BUCKETS],
            total: 0.0,
            hinted: 0.0,
            moments: Moments::default(),
            at: Millis(0),
        }
    }
}

impl Histogram {
    pub(super) fn is_empty(&self) -> bool {
        self.total < MIN_WEIGHT
    }

    pub(super) fn weight(&self, now: Millis) -> f64 {
        self.total * decay(now, self.at, HALF_LIFE_MS)
    }

    /// Returns when it was last changed.
    pub(super) fn updated(&self) -> Millis {
        self.at
    }

    /// Multiplies the weight of all observations.
    pub(super) fn scale(&mut self, factor: f64) {
        self.total *= factor;
        self.hinted *= factor;
        self.moments = self.moments.map(|m| m * factor);
        self.weights = self.weights.map(|w| w * factor as f32);
    }

    /// Reduces the weight of all observations to `most` at most.
    pub(super) fn shrink(&mut self, most: f64) {
        self.scale((most / self.total.max(most)).min(1.0));
    }

    /// Returns the mean of the logarithm with the observations of `others`; none while these
    /// are too few to tell a shift.
    pub(super) fn log_mean(&self, now: Millis, others: &Histogram) -> Option<f64> {
        /// Least weight from which a mean is relied on.
        const KNOWN: f64 = 8.0;
        let parts = [self, others].map(|h| (h, decay(now, h.at, HALF_LIFE_MS)));
        let total: f64 = parts.iter().map(|(h, factor)| h.total * factor).sum();
        let sum = parts.iter().map(|(h, factor)| {
            let logs = h.weights.iter().enumerate();
            let logs = logs.map(|(i, w)| f64::from(*w) * log_value(i));
            factor * logs.sum::<f64>()
        });
        (total >= KNOWN).then(|| sum.sum::<f64>() / total)
    }

    fn decay_to(&mut self, now: Millis) {
        self.scale(decay(now, self.at, HALF_LIFE_MS));
        self.at = self.at.max(now);
    }

    /// Adds an observation.
    pub(super) fn add(&mut self, now: Millis, shares: &[f64; BUCKETS], hint: Option<f64>) {
        self.decay_to(now);
        self.total += 1.0;
        for (weight, share) in self.weights.iter_mut().zip(shares) {
            *weight += *share as f32;
        }
        if let Some(hint) = hint {
            let (truth, hint) = (log_mean(shares), hint.max(1.0).ln());
            let added = [truth, hint, truth * truth, hint * hint, truth * hint];
            self.hinted += 1.0;
            for (sum, added) in self.moments.iter_mut().zip(added) {
                *sum += added;
            }
        }
    }

    /// Returns what is told to other entries.
    pub(super) fn summary(&self, now: Millis, group: u64, number: u64) -> Summary {
        let first = self.weights.iter().position(|w| *w > 0.0).unwrap_or(0);
        let last = self.weights.iter().rposition(|w| *w > 0.0).unwrap_or(0);
        let most = self.weights.iter().fold(1e-9_f32, |most, w| most.max(*w));
        let shares = self.weights[first..=last].iter();
        let factor = decay(now, self.at, HALF_LIFE_MS);
        let [truth, hint, truth2, hint2, both] = self.moments.map(|m| m / self.hinted.max(1e-9));
        let logs = [
            truth,
            hint,
            truth2 - truth * truth,
            hint2 - hint * hint,
            both - truth * hint,
        ];
        Summary {
            group,
            number,
            weight: (self.total * factor * WEIGHT_UNITS) as u32,
            hinted: (self.hinted * factor * WEIGHT_UNITS) as u32,
            first: first as u32,
            shares: shares.map(|w| (w / most * 255.0).round() as u8).collect(),
            logs: logs.map(|l| (l * LOG_UNITS).round() as i32).to_vec(),
        }
    }

    /// Adds a summary that arrived at `at`.
    pub(super) fn add_summary(&mut self, now: Millis, at: Millis, summary: &Summary) {
        /// Largest weight that is believed.
        const MAX_WEIGHT: f64 = 10_000.0;
        self.decay_to(now);
        let age = decay(now, at, HALF_LIFE_MS);
        let weight = |units: u32| (f64::from(units) / WEIGHT_UNITS).min(MAX_WEIGHT) * age;
        let sum: f64 = summary.shares.iter().map(|s| f64::from(*s)).sum();
        if sum <= 0.0 {
            return;
        }
        let total = weight(summary.weight);
        self.total += total;
        let buckets = self.weights.iter_mut().skip(summary.first as usize);
        for (bucket, share) in buckets.zip(&summary.shares) {
            *bucket += (f64::from(*share) / sum * total) as f32;
        }
        let logs = summary.logs.iter().map(|l| f64::from(*l) / LOG_UNITS);
        if let [truth, hint, truth2, hint2, both] = *logs.collect::<Vec<f64>>() {
            let hinted = weight(summary.hinted);
            let means = [
                truth,
                hint,
                truth2 + truth * truth,
                hint2 + hint * hint,
                both + truth * hint,
            ];
            self.hinted += hinted;
            for (sum, mean) in self.moments.iter_mut().zip(means) {
                *sum += hinted * mean;
            }
        }
    }
}

common! { value
/// Observations of one group by one entry, in a few bytes.
pub struct Summary {
    /// The group.
    pub group: u64,
    /// Number of the latest observation among all of the entry.
    pub number: u64,
    /// Weight of all observations, in sixteenths.
    pub weight: u32,
    /// Weight of those with a caller's estimate, in sixteenths.
    pub hinted: u32,
    /// First bucket with a share.
    pub first: u32,
    /// Shares of the buckets, relative to the largest as 255.
    pub shares: Vec<u8>,
    /// Means, variances and covariance of the logarithms of values and estimates, in
    /// hundredths.
    pub logs: Vec<i32>,
}
}

/// Shares of a distribution and what estimates say about it.
#[derive(Clone, Debug)]
pub(super) struct Mix {
    shares: [f64; BUCKETS],
    moments: Moments,
}

impl Mix {
    /// Returns what is assumed without observations: values around `usual`, and estimates
    /// that are as far from the truth as the truth is from the usual value, so that both count
    /// the same.
    pub(super) fn prior(usual: f64, spread: f64) -> Mix {
        let center = usual.max(1.0).ln();
        let mut shares = [0.0; BUCKETS];
        for (bucket, share) in shares.iter_mut().enumerate() {
            let z = (log_value(bucket) - center) / spread;
            *share = (-0.5 * z * z).exp();
        }
        normalise(&mut shares);
        let square = center * center + spread * spread;
        Mix {
            shares,
            moments: [center, center, square, square + spread * spread, square],
        }
    }

    /// Fills up a narrower group with these shares.
    pub(super) fn blend(mut self, now: Millis, own: &Histogram, others: &Histogram) -> Mix {
        let factors = [own, others].map(|h| decay(now, h.at, HALF_LIFE_MS));
        let sum = |of: fn(&Histogram) -> f64| factors[0] * of(own) + factors[1] * of(others);
        let total = FILL + sum(|h| h.total);
        for (bucket, share) in self.shares.iter_mut().enumerate() {
            let own = factors[0] * f64::from(own.weights[bucket]);
            let others = factors[1] * f64::from(others.weights[bucket]);
            *share = (FILL * *share + own + others) / total;
        }
        let hinted = FILL + sum(|h| h.hinted);
        for (index, moment) in self.moments.iter_mut().enumerate() {
            let sum = factors[0] * own.moments[index] + factors[1] * others.moments[index];
            *moment = (FILL * *moment + sum) / hinted;
        }
        self
    }

    /// Returns the average of two, the one whose values lie closer together counting more.
    pub(super) fn closer(one: Mix, other: Mix) -> Mix {
        let weight = |mix: &Mix| mix.log_variance().max(0.01).powi(-2);
        let (a, b) = (weight(&one), weight(&other));
        let part = a / (a + b);
        let mut mix = one;
        for (share, other) in mix.shares.iter_mut().zip(other.shares) {
            *share = part * *share + (1.0 - part) * other;
        }
        for (moment, other) in mix.moments.iter_mut().zip(other.moments) {
            *moment = part * *moment + (1.0 - part) * other;
        }
        mix
    }

    fn log_variance(&self) -> f64 {
        let center = log_mean(&self.shares);
        let shares = self.shares.iter().enumerate();
        let squares = shares.map(|(i, s)| s * (log_value(i) - center).powi(2));
        squares.sum()
    }

    /// Returns the shares for a request whose caller estimates `hint`.
    ///
    /// The estimate is taken as normally distributed around a line over the truth, both as
    /// logarithms. Its slope is zero where estimates say nothing of the truth.
    pub(super) fn given(&self, hint: Option<f64>) -> [f64; BUCKETS] {
        /// Least variance of an estimate, as callers round.
        const MIN_VARIANCE: f64 = 0.01;
        let mut shares = self.shares;
        let Some(hint) = hint.map(|hint| hint.max(1.0).ln()) else {
            return shares;
        };
        let [truth, mean, truth2, mean2, both] = self.moments;
        let truth_variance = (truth2 - truth * truth).max(MIN_VARIANCE);
        let hint_variance = mean2 - mean * mean;
        let slope = ((both - truth * mean) / truth_variance).clamp(0.0, 2.0);
        let variance = (hint_variance - slope * slope * truth_variance).max(MIN_VARIANCE);
        let expected = |bucket: usize| mean + slope * (log_value(bucket) - truth);
        let error = |bucket: usize| (hint - expected(bucket)).powi(2) / (2.0 * variance);
        let known = (0..BUCKETS).filter(|i| self.shares[*i] > 1e-6);
        let least = known.map(error).fold(f64::INFINITY, f64::min);
        for (bucket, share) in shares.iter_mut().enumerate() {
            *share *= (least - error(bucket)).min(0.0).exp();
        }
        normalise(&mut shares);
        shares
    }
}

fn normalise(shares: &mut [f64; BUCKETS]) {
    let sum: f64 = shares.iter().sum();
    if sum > 0.0 {
        for share in shares {
            *share /= sum;
        }
    }
}

/// Differences of recent observations to the mean before, as logarithms, which show a shift
/// within seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Drift {
    weight: f64,
    sum: f64,
    squares: f64,
    at: Millis,
}

impl Drift {
    /// Adds the difference of an observation.
    pub(super) fn add(&mut self, now: Millis, error: f64) {
        let factor = decay(now, self.at, DRIFT_HALF_LIFE_MS);
        self.weight = factor * self.weight + 1.0;
        self.sum = factor * self.sum + error;
        self.squares = factor * self.squares + error * error;
        self.at = self.at.max(now);
    }

    fn mean(&self) -> f64 {
        self.sum / self.weight.max(1e-9)
    }

    /// Returns the mean error when it cannot be chance.
    pub(super) fn shift(&self) -> Option<f64> {
        let mean = self.mean();
        let variance = (self.squares / self.weight.max(1e-9) - mean * mean).max(0.01);
        let bound = SHIFT_SIGNIFICANCE * (variance / self.weight.max(1e-9)).sqrt();
        let is_shift = self.weight >= SHIFT_WEIGHT && mean.abs() >= bound.max(SHIFT_ERROR);
        is_shift.then_some(mean)
    }

    /// Returns true unless the recent errors speak against a shift.
    pub(super) fn agrees(&self, shift: f64) -> bool {
        /// Least weight of errors that say something.
        const KNOWN: f64 = 1.5;
        self.weight < KNOWN || self.mean() / shift >= 0.5
    }
}
