//! Requests a second of an organisation over all entries, from exchanged counts.
//!
//! docs/operations/limits.md derives the bound on what is admitted in excess.

use indexmap::IndexMap;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::time::Millis;

/// Age at which counts of a peer are no longer believed.
pub const COUNT_EXPIRY: Millis = Millis(10_000);

/// Interval at which allowances are recomputed.
pub const ROUND: Millis = Millis(2_000);

/// Most that an allowance grows in one round, as a share of the safe share.
pub const GROWTH: f64 = 0.25;

/// An entry counts as busy above this share of the safe share.
const BUSY: f64 = 0.5;

/// An allowance counts as used above this share of it.
const USED: f64 = 0.9;

/// Time whose allowance may be used at once.
const BURST_S: f64 = 0.5;

common! { value
/// Requests of one organisation admitted at one entry.
pub struct Count {
    /// Organisation.
    pub org: String,
    /// Requests a second.
    pub rate: f64,
}
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    rate: f64,
    at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Account {
    limit: Option<f64>,
    tokens: f64,
    filled: Millis,
    extra: f64,
    admitted: u64,
    rate: f64,
    peers: IndexMap<String, Heard>,
}

/// Limits of all organisations at one entry.
#[derive(Debug)]
pub struct Limiter {
    entries: usize,
    accounts: IndexMap<String, Account>,
    round: Millis,
}

impl Limiter {
    /// A limiter without limits, for a system of `entries` entries.
    pub fn new(now: Millis, entries: usize) -> Limiter {
        Limiter {
            entries: entries.max(1),
            accounts: IndexMap::new(),
            round: now,
        }
    }

    /// Sets the limit of an organisation, in requests a second.
    pub fn set_limit(&mut self, now: Millis, org: &str, limit: Option<f64>) {
        let safe = limit.map_or(0.0, |limit| limit / self.entries as f64);
        let account = self.accounts.entry(org.to_string()).or_default();
        if account.limit == limit {
            return;
        }
        account.limit = limit;
        account.extra = 0.0;
        account.tokens = burst(safe);
        account.filled = now;
    }

    /// Admits a request or refuses it with the time to come back.
    pub fn admit(&mut self, now: Millis, org: &str) -> Result<()> {
        let allowance = self.allowance(org);
        let Some(account) = self.accounts.get_mut(org) else {
            return Ok(());
        };
        let Some(allowance) = allowance else {
            return Ok(());
        };
        let elapsed = now.since(account.filled).0 as f64 / 1_000.0;
        account.filled = now.max(account.filled);
        account.tokens = (account.tokens + allowance * elapsed).min(burst(allowance));
        if account.tokens < 1.0 {
            let wait = (1.0 - account.tokens) / allowance.max(1e-3) * 1_000.0;
            let error = Error::new(Code::LimitExceeded, format!("{org}: {allowance:.1}/s here"));
            return Err(error.with_retry(Millis(wait.ceil() as u64)));
        }
        account.tokens -= 1.0;
        account.admitted += 1;
        Ok(())
    }

    /// Requests a second that this entry admits for `org`; none without a limit.
    pub fn allowance(&self, org: &str) -> Option<f64> {
        let account = self.accounts.get(org)?;
        let limit = account.limit?;
        let allowance = (limit / self.entries as f64 + account.extra).min(limit);
        assert!(
            allowance <= limit,
            "one entry never admits more than the limit"
        );
        Some(allowance)
    }

    /// Takes over counts that a peer sent.
    pub fn on_counts(&mut self, now: Millis, peer: &str, counts: &[Count]) {
        for (org, account) in &mut self.accounts {
            if account.limit.is_none() {
                continue;
            }
            let rate = counts
                .iter()
                .find(|c| c.org == *org)
                .map_or(0.0, |c| c.rate);
            // Names of replaced entries would otherwise pile up.
            account
                .peers
                .retain(|_, heard| now.since(heard.at) < COUNT_EXPIRY);
            account
                .peers
                .insert(peer.to_string(), Heard { rate, at: now });
        }
    }

    /// Counts to send to peers; an organisation that is left out had none.
    pub fn counts(&self) -> Vec<Count> {
        let used = self.accounts.iter().filter(|(_, a)| a.rate > 0.0);
        used.map(|(org, a)| Count {
            org: org.clone(),
            rate: a.rate,
        })
        .collect()
    }

    /// Recomputes rates and allowances once a round.
    pub fn tick(&mut self, now: Millis) {
        let elapsed = now.since(self.round);
        if elapsed < ROUND {
            return;
        }
        self.round = now;
        for account in self.accounts.values_mut() {
            account.rate = account.admitted as f64 * 1_000.0 / elapsed.0 as f64;
            account.admitted = 0;
            account.extra = extra(now, account, self.entries);
        }
    }
}

/// Allowance beyond the safe share: part of what fresh peers leave unused.
fn extra(now: Millis, account: &Account, entries: usize) -> f64 {
    let Some(limit) = account.limit else {
        return 0.0;
    };
    let safe = limit / entries as f64;
    let fresh = account
        .peers
        .values()
        .filter(|h| now.since(h.at) < COUNT_EXPIRY);
    let rates: Vec<f64> = fresh.take(entries - 1).map(|h| h.rate).collect();
    // A peer that becomes busy needs room at once, so twice its rate is left to it.
    let unused: f64 = rates.iter().map(|r| (safe - 2.0 * r).max(0.0)).sum();
    let busy = rates.iter().filter(|r| **r >= BUSY * safe).count();
    let part = unused / (busy + 1) as f64;
    // Room is taken only while it is used, or idle entries would all hold it
    // and exceed the limit when they become busy together.
    let is_used = account.rate >= USED * (safe + account.extra);
    let wanted = if is_used {
        account.extra + GROWTH * safe
    } else {
        (account.rate / USED - safe).max(0.0)
    };
    part.min(wanted)
}

/// Bucket size: half a second of the allowance, at least one request.
fn burst(allowance: f64) -> f64 {
    (allowance * BURST_S).max(1.0)
}
