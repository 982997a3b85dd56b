//! Statistics of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use crate::bench::requests::Run;
use crate::bench::requests::TOKEN_US;
use crate::bench::requests::deadline_ms;
use crate::bench::requests::load::Outcome;
use crate::bench::requests::mix;
use crate::bench::requests::mix::RequestKind;

/// Upper bound of the histograms, in microseconds; longer times are counted in the highest bucket.
const MAX_TIME_US: u64 = 60_000_000;

/// Statistics of a run with one policy; all times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Median time from the scheduled send to the end of a complete answer.
    pub p50: f64,
    /// 99th percentile of the same time.
    pub p99: f64,
    /// 99.9th percentile of the same time.
    pub p999: f64,
    /// 99th percentile of the wait of short requests before their first token.
    pub short_wait: f64,
    /// 99th percentile of the time to the end of complete answers to short requests.
    pub short_p99: f64,
    /// Complete answers within their deadline, a second.
    pub goodput: f64,
    /// Tokens of the answers in `goodput`, a second.
    pub token_rate: f64,
    /// Share of the requests that were answered completely and within their deadline.
    pub answered_ratio: f64,
    /// Mean number of attempts for a request.
    pub attempts: f64,
    /// Share of the attempts that were retries or hedges.
    pub extra_ratio: f64,
    /// Jain's fairness index over the organisations, at most 1.
    pub fairness: f64,
    /// Number of requests measured.
    pub requests: usize,
    /// 99th percentile of the time until a request was refused or failed.
    pub refused_p99: f64,
}

/// Computes the statistics of a run.
///
/// The wait of a short request is the time from its scheduled send to the first part of the
/// answer, less the time of one token. Stragglers among the short requests count too, since
/// the system can't tell them apart in advance.
pub fn summarise(run: &Run) -> Summary {
    let good =
        |o: &&Outcome| o.is_complete() && o.total.as_millis() as u64 <= deadline_ms(&o.planned);
    let all = histogram(run.outcomes.iter().filter(|o| o.is_complete()), |o| o.total);
    let is_short = |o: &&Outcome| o.is_complete() && o.planned.kind == RequestKind::Short;
    let token = Duration::from_micros(TOKEN_US);
    let wait = histogram(run.outcomes.iter().filter(is_short), |o| {
        o.first_part.saturating_sub(token)
    });
    let short = histogram(run.outcomes.iter().filter(is_short), |o| o.total);
    let refused = histogram(run.outcomes.iter().filter(|o| !o.is_complete()), |o| {
        o.total
    });
    let count = run.outcomes.iter().filter(good).count() as f64;
    let tokens: u64 = run
        .outcomes
        .iter()
        .filter(good)
        .map(|o| o.planned.tokens)
        .sum();
    let seconds = run.window.as_secs_f64();
    let (requests, retries, hedges) = run.attempts;
    let extra = (retries + hedges) as f64;
    Summary {
        p50: quantile_ms(&all, 0.5),
        p99: quantile_ms(&all, 0.99),
        p999: quantile_ms(&all, 0.999),
        short_wait: quantile_ms(&wait, 0.99),
        short_p99: quantile_ms(&short, 0.99),
        goodput: count / seconds,
        token_rate: tokens as f64 / seconds,
        answered_ratio: count / run.outcomes.len().max(1) as f64,
        attempts: 1.0 + extra / requests.max(1) as f64,
        extra_ratio: extra / (requests as f64 + extra).max(1.0),
        fairness: fairness(&run.outcomes),
        requests: run.outcomes.len(),
        refused_p99: quantile_ms(&refused, 0.99),
    }
}

impl Summary {
    /// Returns the statistics as one JSON object; goodput is divided by `base`, a number of answers
    /// a second.
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
            "extra_attempts_ratio": round(self.extra_ratio),
            "fairness": round(self.fairness),
            "answered_ratio": round(self.answered_ratio),
            "refused_p99_ms": round(self.refused_p99),
            "requests": self.requests,
        })
    }
}

/// Rounds to three decimals, which is more than measurements on a shared machine are accurate to.
pub fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// Collects a time of each outcome in a histogram, in microseconds.
fn histogram<'a>(
    outcomes: impl Iterator<Item = &'a Outcome>,
    value: impl Fn(&Outcome) -> Duration,
) -> Histogram<u64> {
    // The bounds are constant and valid.
    let mut histogram = Histogram::new_with_bounds(1, MAX_TIME_US, 3)
        .unwrap_or_else(|_| unreachable!("valid bounds"));
    for outcome in outcomes {
        histogram.saturating_record(value(outcome).as_micros() as u64);
    }
    histogram
}

/// Returns a quantile of a histogram in microseconds, in milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Computes Jain's index over the organisations: of the tokens that each was answered with,
/// relative to its max-min fair share of all these tokens. Stragglers don't count.
fn fairness(outcomes: &[Outcome]) -> f64 {
    let mut demanded = vec![0.0; mix::org_count()];
    let mut done = vec![0.0; mix::org_count()];
    for outcome in outcomes.iter().filter(|o| !o.planned.straggler) {
        let tokens = outcome.planned.tokens as f64;
        demanded[outcome.planned.org] += tokens;
        if outcome.is_complete() {
            done[outcome.planned.org] += tokens;
        }
    }
    let shares = max_min_shares(&demanded, done.iter().sum());
    let ratios = done.iter().zip(&shares).map(|(d, s)| d / s.max(1.0));
    let ratios: Vec<f64> = ratios.collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|r| r * r).sum();
    sum * sum / (ratios.len() as f64 * squares.max(1e-9))
}

/// Divides `total` by max-min fairness: no share exceeds its demand, and those below it are equal.
fn max_min_shares(demands: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut rest = total;
    for (assigned, index) in order.iter().enumerate() {
        let equal = rest / (demands.len() - assigned) as f64;
        shares[*index] = demands[*index].min(equal);
        rest -= shares[*index];
    }
    shares
}
