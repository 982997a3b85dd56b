//! Overload control at the entry: refuses requests early that the pool cannot finish.

use indexmap::IndexMap;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::time::Millis;

/// Interval at which rates and shares are recomputed.
const ROUND: Millis = Millis(200);

/// Weight of the newest round in the rates.
const NEWEST_WEIGHT: f64 = 0.2;

/// Ratio of requests refused by busy upstreams to requests sent, above which the pool
/// is overloaded.
const BUSY_LIMIT: f64 = 0.01;

/// Rounds in a row without overload after which the control ends.
const QUIET_ROUNDS: u32 = 15;

/// Ratio of the admitted work to the finished work. It is a little above 1, so that the
/// queues of the pool stay filled and a growing capacity is noticed.
const HEADROOM: f64 = 1.05;

/// Seconds of its share that an organisation may use at once.
const BURST_S: f64 = 0.3;

/// Part of the burst that only short requests may use.
const SHORT_PART: f64 = 0.5;

/// Most organisations remembered; the oldest is dropped first.
const MAX_ORGS: usize = 1_024;

/// Share per unit of weight when the whole demand can be served, in milliseconds of
/// work per second.
const UNBOUNDED: f64 = 1e12;

/// Shortest and longest time after which a refused caller comes back, in milliseconds.
const RETRY_MS: (f64, f64) = (200.0, 5_000.0);

/// Demand and share of one organisation. Work is counted in milliseconds of expected
/// service time.
#[derive(Clone, Debug, Default)]
struct Account {
    weight: f64,
    /// Work that arrived in this round.
    offered: f64,
    /// Average work per second that arrives.
    demand: f64,
    /// Work per second that is admitted under overload.
    share: f64,
    /// Work that may be admitted at once; negative after a burst.
    tokens: f64,
}

/// Admission of the requests to one pool.
///
/// While the pool is not overloaded, all requests are admitted. Under overload, the
/// work that the pool finishes is divided among the organisations by weighted max-min
/// fairness. Within the share of an organisation, short requests go first.
#[derive(Debug)]
pub struct OverloadControl {
    accounts: IndexMap<String, Account>,
    round: Millis,
    /// Work finished in this round, in milliseconds.
    finished: f64,
    /// Average work that the pool finishes, in milliseconds per second.
    capacity: f64,
    /// Requests sent in this round.
    sent: u32,
    /// Requests refused by busy upstreams in this round.
    busy: u32,
    /// Rounds in a row without overload.
    quiet: u32,
    active: bool,
}

impl OverloadControl {
    /// Creates a control that admits all requests until upstreams refuse some.
    pub fn new(now: Millis) -> OverloadControl {
        OverloadControl {
            accounts: IndexMap::new(),
            round: now,
            finished: 0.0,
            capacity: 0.0,
            sent: 0,
            busy: 0,
            quiet: 0,
            active: false,
        }
    }

    /// Returns true while requests may be refused.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Admits a request of `cost` milliseconds of expected service time.
    ///
    /// # Errors
    ///
    /// [`Code::Overloaded`] with the time after which to come back, when the organisation
    /// is over its share.
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
        let min_tokens = if short {
            0.0
        } else {
            SHORT_PART * BURST_S * account.share
        };
        if account.tokens < min_tokens {
            let wait = (min_tokens + cost - account.tokens) / account.share.max(1e-3) * 1_000.0;
            let error = Error::new(Code::Overloaded, format!("{org} is over its share"));
            return Err(error.with_retry(Millis(wait.clamp(RETRY_MS.0, RETRY_MS.1) as u64)));
        }
        account.tokens -= cost;
        self.sent += 1;
        Ok(())
    }

    /// Counts a request that a busy upstream refused.
    pub fn on_busy(&mut self) {
        self.busy += 1;
    }

    /// Counts a request of this cost that was answered whole.
    pub fn on_done(&mut self, cost: f64) {
        self.finished += cost;
    }

    /// Recomputes the rates and shares once a round.
    pub fn tick(&mut self, now: Millis) {
        let elapsed = now.since(self.round);
        if elapsed < ROUND {
            return;
        }
        self.round = now;
        let seconds = elapsed.0 as f64 / 1_000.0;
        let finished = std::mem::take(&mut self.finished) / seconds;
        self.capacity += NEWEST_WEIGHT * (finished - self.capacity);
        for account in self.accounts.values_mut() {
            let offered = std::mem::take(&mut account.offered) / seconds;
            account.demand += NEWEST_WEIGHT * (offered - account.demand);
        }
        self.update_active();
        self.divide(seconds);
    }

    /// Starts or ends the control by the refusals of the last round.
    fn update_active(&mut self) {
        let (sent, busy) = (self.sent, self.busy);
        (self.sent, self.busy) = (0, 0);
        if f64::from(busy) > BUSY_LIMIT * f64::from(sent.max(1)) {
            self.active = true;
            self.quiet = 0;
            return;
        }
        self.quiet += 1;
        if self.quiet >= QUIET_ROUNDS {
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

    /// Returns the work per second for each unit of weight at which the whole capacity is
    /// used, in milliseconds.
    fn level(&self) -> f64 {
        let mut remaining = HEADROOM * self.capacity;
        let mut weight: f64 = self.accounts.values().map(|a| a.weight).sum();
        let mut demands: Vec<(f64, f64)> = Vec::new();
        for account in self.accounts.values() {
            demands.push((account.demand / account.weight, account.weight));
        }
        demands.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (demand, account_weight) in demands {
            if demand * weight >= remaining {
                break;
            }
            remaining -= demand * account_weight;
            weight -= account_weight;
        }
        // The whole demand can be served, so the shares need no bound.
        if weight < 1e-9 {
            UNBOUNDED
        } else {
            remaining / weight
        }
    }
}
