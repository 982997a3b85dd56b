//! Figures of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use crate::bench::requests::Run;
use crate::bench::requests::TOKEN_US;
use crate::bench::requests::deadline;
use crate::bench::requests::load::Outcome;
use crate::bench::requests::mix;
use crate::bench::requests::mix::Work;

/// Longest time that is told apart, in microseconds.
const MAX_VALUE: u64 = 60_000_000;

/// Figures of a run under one policy.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Quantiles of the whole latency of answered requests, in milliseconds.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// 99th percentile of the wait of short work before its first token.
    pub short_wait: f64,
    /// 99th percentile of the whole latency of short work.
    pub short_p99: f64,
    /// Whole answers within their deadline, a second.
    pub goodput: f64,
    /// Tokens of these answers, a second.
    pub work: f64,
    /// Share of requests answered whole and in time.
    pub answered: f64,
    /// Attempts for each request.
    pub attempts: f64,
    /// Share of attempts that were retries or hedges.
    pub extra: f64,
    /// Jain's index over organisations.
    pub fairness: f64,
    /// Requests measured.
    pub requests: usize,
    /// 99th percentile of the time until a refusal.
    pub refused_p99: f64,
}

/// Computes the figures of a run.
///
/// The wait of short work is the time from the intended send to the first part
/// of the answer, less the time of one token. Stragglers among short requests
/// count, since nobody knows them before.
pub fn summarise(run: &Run) -> Summary {
    let good = |o: &&Outcome| o.is_whole() && o.total.as_millis() as u64 <= deadline(&o.shot);
    let all = quantiles(run.outcomes.iter().filter(|o| o.is_whole()), |o| o.total);
    let is_short = |o: &&Outcome| o.is_whole() && o.shot.work == Work::Short;
    let token = Duration::from_micros(TOKEN_US);
    let wait = quantiles(run.outcomes.iter().filter(is_short), |o| {
        o.first.saturating_sub(token)
    });
    let short = quantiles(run.outcomes.iter().filter(is_short), |o| o.total);
    let refused = quantiles(run.outcomes.iter().filter(|o| !o.is_whole()), |o| o.total);
    let count = run.outcomes.iter().filter(good).count() as f64;
    let tokens: u64 = run
        .outcomes
        .iter()
        .filter(good)
        .map(|o| o.shot.tokens)
        .sum();
    let seconds = run.window.as_secs_f64();
    let (requests, retries, hedges) = run.attempts;
    let extra = (retries + hedges) as f64;
    Summary {
        p50: at(&all, 0.5),
        p99: at(&all, 0.99),
        p999: at(&all, 0.999),
        short_wait: at(&wait, 0.99),
        short_p99: at(&short, 0.99),
        goodput: count / seconds,
        work: tokens as f64 / seconds,
        answered: count / run.outcomes.len().max(1) as f64,
        attempts: 1.0 + extra / requests.max(1) as f64,
        extra: extra / (requests as f64 + extra).max(1.0),
        fairness: fairness(&run.outcomes),
        requests: run.outcomes.len(),
        refused_p99: at(&refused, 0.99),
    }
}

impl Summary {
    /// The figures as one JSON object; `goodput` is relative to `base` a second.
    pub fn json(&self, policy: &str, base: f64) -> Value {
        json!({
            "policy": policy,
            "p50_ms": round(self.p50),
            "p99_ms": round(self.p99),
            "p999_ms": round(self.p999),
            "short_wait_p99_ms": round(self.short_wait),
            "short_p99_ms": round(self.short_p99),
            "goodput_ratio": round(self.goodput / base),
            "attempts_per_request": round(self.attempts),
            "extra_attempts_ratio": round(self.extra),
            "fairness": round(self.fairness),
            "answered_ratio": round(self.answered),
            "refused_p99_ms": round(self.refused_p99),
            "requests": self.requests,
        })
    }
}

/// Three decimals are more than a shared machine gives.
pub fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn quantiles<'a>(
    outcomes: impl Iterator<Item = &'a Outcome>,
    value: impl Fn(&Outcome) -> Duration,
) -> Histogram<u64> {
    // The bounds are constant and valid.
    let mut histogram = Histogram::new_with_bounds(1, MAX_VALUE, 3)
        .unwrap_or_else(|_| unreachable!("valid bounds"));
    for outcome in outcomes {
        histogram.saturating_record(value(outcome).as_micros() as u64);
    }
    histogram
}

fn at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Jain's index of the work done for each organisation, relative to its
/// max-min share of all work done.
fn fairness(outcomes: &[Outcome]) -> f64 {
    let mut asked = vec![0.0; mix::orgs()];
    let mut done = vec![0.0; mix::orgs()];
    for outcome in outcomes.iter().filter(|o| !o.shot.straggler) {
        let tokens = outcome.shot.tokens as f64;
        asked[outcome.shot.org] += tokens;
        if outcome.is_whole() {
            done[outcome.shot.org] += tokens;
        }
    }
    let shares = max_min(&asked, done.iter().sum());
    let ratios = done.iter().zip(&shares).map(|(d, s)| d / s.max(1.0));
    let ratios: Vec<f64> = ratios.collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|r| r * r).sum();
    sum * sum / (ratios.len() as f64 * squares.max(1e-9))
}

/// Divides `total` so that no share exceeds its demand and the rest is equal.
fn max_min(demands: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut rest = total;
    for (taken, index) in order.iter().enumerate() {
        let equal = rest / (demands.len() - taken) as f64;
        shares[*index] = demands[*index].min(equal);
        rest -= shares[*index];
    }
    shares
}
