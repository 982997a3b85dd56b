//! Limits the requests per second of an organisation over all entries, by counts that
//! the entries exchange.
//!
//! Each entry always admits the safe share: the limit divided by the number of
//! entries. It admits more while its peers leave a part of their shares unused.
//! docs/operations/limits.md derives the bound on what is admitted in excess.

use indexmap::IndexMap;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::time::Millis;

/// Age at which the counts of a peer are ignored.
pub const COUNT_EXPIRY: Millis = Millis(10_000);

/// Interval at which allowances are recomputed.
pub const ROUND: Millis = Millis(2_000);

/// Most that an allowance grows in one round, relative to the safe share.
pub const GROWTH: f64 = 0.25;

/// A peer counts as busy from this ratio of its rate to the safe share.
const BUSY_RATIO: f64 = 0.5;

/// An allowance counts as used up from this ratio of the rate to it.
const USED_RATIO: f64 = 0.9;

/// Seconds of the allowance that may be used at once.
const BURST_S: f64 = 0.5;

common! { value
/// Rate of the requests of one organisation that one entry admits.
pub struct Count {
    /// Name of the organisation.
    pub org: String,
    /// Requests per second in the last round.
    pub rate: f64,
}
}

/// Rate that a peer reported, in requests per second.
#[derive(Clone, Copy, Debug)]
struct PeerRate {
    rate: f64,
    at: Millis,
}

/// Token bucket and counts of one organisation.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Limit over all entries, in requests per second.
    limit: Option<f64>,
    tokens: f64,
    /// When the tokens were last refilled.
    filled: Millis,
    /// Allowance beyond the safe share, in requests per second.
    extra: f64,
    /// Requests admitted in this round.
    admitted: u64,
    /// Requests per second that were admitted in the last round.
    rate: f64,
    /// Rates of the peers by name.
    peers: IndexMap<String, PeerRate>,
}

/// Limits of all organisations at one entry.
#[derive(Debug)]
pub struct Limiter {
    entries: usize,
    accounts: IndexMap<String, Account>,
    round: Millis,
}

impl Limiter {
    /// Creates a limiter without limits, for a system of `entries` entries.
    pub fn new(now: Millis, entries: usize) -> Limiter {
        Limiter {
            entries: entries.max(1),
            accounts: IndexMap::new(),
            round: now,
        }
    }

    /// Sets the limit of an organisation over all entries, in requests per second; none
    /// removes the limit.
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

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// [`Code::LimitExceeded`] with the time after which to come back.
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

    /// Returns the requests per second that this entry admits for `org`; none without a
    /// limit.
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

    /// Records the rates that a peer sent; an organisation that is left out had none.
    pub fn on_counts(&mut self, now: Millis, peer: &str, counts: &[Count]) {
        for (org, account) in &mut self.accounts {
            if account.limit.is_none() {
                continue;
            }
            let rate = counts
                .iter()
                .find(|c| c.org == *org)
                .map_or(0.0, |c| c.rate);
            // The names of replaced entries must not accumulate.
            account
                .peers
                .retain(|_, peer_rate| now.since(peer_rate.at) < COUNT_EXPIRY);
            account
                .peers
                .insert(peer.to_string(), PeerRate { rate, at: now });
        }
    }

    /// Returns the rates to send to peers; organisations without requests are left out.
    pub fn counts(&self) -> Vec<Count> {
        let active = self.accounts.iter().filter(|(_, a)| a.rate > 0.0);
        active
            .map(|(org, a)| Count {
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

/// Returns the allowance beyond the safe share: a part of what the peers leave unused.
///
/// Only peers whose rates are not too old are counted.
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
    // A peer that becomes busy needs its share at once, so twice its rate is left to it.
    let unused: f64 = rates.iter().map(|r| (safe - 2.0 * r).max(0.0)).sum();
    let busy = rates.iter().filter(|r| **r >= BUSY_RATIO * safe).count();
    let part = unused / (busy + 1) as f64;
    // An entry takes more only while it uses what it has. Otherwise all idle entries
    // would hold an extra allowance, and exceed the limit when they become busy together.
    let is_used = account.rate >= USED_RATIO * (safe + account.extra);
    let wanted = if is_used {
        account.extra + GROWTH * safe
    } else {
        (account.rate / USED_RATIO - safe).max(0.0)
    };
    part.min(wanted)
}

/// Returns the size of the token bucket: half a second of the allowance, at least one
/// request.
fn burst(allowance: f64) -> f64 {
    (allowance * BURST_S).max(1.0)
}
