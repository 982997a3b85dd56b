//! Overload control at the entry: refuses early what the pool cannot finish.

use indexmap::IndexMap;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::time::Millis;

/// Interval at which rates and shares are recomputed.
const ROUND: Millis = Millis(200);

/// Weight of the newest round in the rates.
const WEIGHT: f64 = 0.2;

/// Share of refusals for want of room above which the pool is overloaded.
const PRESSURE: f64 = 0.01;

/// Rounds without such refusals after which control ends.
const CALM: u32 = 15;

/// Admitted work relative to the work finished. A little more than the pool
/// finishes keeps its queues filled and lets a growing capacity show.
const HEADROOM: f64 = 1.05;

/// Seconds of its share that an organisation may use at once.
const BURST_S: f64 = 0.3;

/// Part of the burst that only cheap work may use.
const CHEAP_PART: f64 = 0.5;

/// Organisations remembered.
const MAX_ORGS: usize = 1_024;

/// Share when all demand fits, in milliseconds of work a second.
const UNBOUNDED: f64 = 1e12;

/// Shortest and longest time to come back, in milliseconds.
const RETRY_MS: (f64, f64) = (200.0, 5_000.0);

#[derive(Clone, Debug, Default)]
struct Account {
    weight: f64,
    offered: f64,
    demand: f64,
    share: f64,
    tokens: f64,
}

/// Admission of the requests to one pool.
///
/// Without pressure everything is admitted. Under pressure, the work that the
/// pool finishes is divided over the organisations by weighted max-min
/// fairness; within its share, an organisation's cheap work goes first.
#[derive(Debug)]
pub struct OverloadControl {
    accounts: IndexMap<String, Account>,
    round: Millis,
    finished: f64,
    capacity: f64,
    sent: u32,
    busy: u32,
    calm: u32,
    active: bool,
}

impl OverloadControl {
    /// A gate that admits everything until it learns of refusals.
    pub fn new(now: Millis) -> OverloadControl {
        OverloadControl {
            accounts: IndexMap::new(),
            round: now,
            finished: 0.0,
            capacity: 0.0,
            sent: 0,
            busy: 0,
            calm: 0,
            active: false,
        }
    }

    /// True while work is refused.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Admits a request of expected cost `cost` or refuses it.
    pub fn admit(&mut self, org: &str, weight: u32, cost: f64, short: bool) -> Result<()> {
        if !self.accounts.contains_key(org) && self.accounts.len() >= MAX_ORGS {
            self.accounts.shift_remove_index(0);
        }
        let account = self.accounts.entry(org.to_string()).or_default();
        account.weight = f64::from(weight.max(1));
        account.offered += cost;
        if !self.active || account.demand <= account.share {
            account.tokens -= cost;
            self.sent += 1;
            return Ok(());
        }
        let kept = if short {
            0.0
        } else {
            CHEAP_PART * BURST_S * account.share
        };
        if account.tokens < kept {
            let wait = (kept + cost - account.tokens) / account.share.max(1e-3) * 1_000.0;
            let error = Error::new(Code::Overloaded, format!("{org} is over its share"));
            return Err(error.with_retry(Millis(wait.clamp(RETRY_MS.0, RETRY_MS.1) as u64)));
        }
        account.tokens -= cost;
        self.sent += 1;
        Ok(())
    }

    /// Counts a request that an upstream refused for want of room.
    pub fn on_busy(&mut self) {
        self.busy += 1;
    }

    /// Counts a request that was answered whole.
    pub fn on_done(&mut self, cost: f64) {
        self.finished += cost;
    }

    /// Recomputes rates and shares.
    pub fn tick(&mut self, now: Millis) {
        let elapsed = now.since(self.round);
        if elapsed < ROUND {
            return;
        }
        self.round = now;
        let seconds = elapsed.0 as f64 / 1_000.0;
        let finished = std::mem::take(&mut self.finished) / seconds;
        self.capacity += WEIGHT * (finished - self.capacity);
        for account in self.accounts.values_mut() {
            let offered = std::mem::take(&mut account.offered) / seconds;
            account.demand += WEIGHT * (offered - account.demand);
        }
        self.judge();
        self.divide(seconds);
    }

    fn judge(&mut self) {
        let (sent, busy) = (self.sent, self.busy);
        (self.sent, self.busy) = (0, 0);
        if f64::from(busy) > PRESSURE * f64::from(sent.max(1)) {
            self.active = true;
            self.calm = 0;
            return;
        }
        self.calm += 1;
        if self.calm >= CALM {
            self.active = false;
        }
    }

    /// Divides the capacity by weighted max-min fairness and refills the buckets.
    fn divide(&mut self, seconds: f64) {
        let level = self.level();
        for account in self.accounts.values_mut() {
            account.share = account.weight * level;
            let burst = BURST_S * account.share;
            let tokens = account.tokens + account.share * seconds;
            account.tokens = tokens.clamp(-burst, burst);
        }
        self.accounts.retain(|_, a| a.demand > 1e-3);
    }

    /// Work a second for each unit of weight, so that all of the capacity is used.
    fn level(&self) -> f64 {
        let mut rest = HEADROOM * self.capacity;
        let mut weight: f64 = self.accounts.values().map(|a| a.weight).sum();
        let mut wants: Vec<(f64, f64)> = Vec::new();
        for account in self.accounts.values() {
            wants.push((account.demand / account.weight, account.weight));
        }
        wants.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (want, of) in wants {
            if want * weight >= rest {
                break;
            }
            rest -= want * of;
            weight -= of;
        }
        // All demand fits: everyone may have the rest beside its demand.
        if weight < 1e-9 {
            UNBOUNDED
        } else {
            rest / weight
        }
    }
}
