//! Limits that upstreams name for the requests of all entries together.
//!
//! It is made for upstreams in need that take a few requests a second, before many
//! entries that cannot ask each other first. The entries that may use such an upstream,
//! and the part of each, follow from the names that all entries know, so they add up to
//! the limit without an exchange of counts. [`crate::route::cold`] divides the limit of
//! cold upstreams in the same order of entries.

use crate::prelude::*;
use crate::util;

/// Least part of an entry, in requests a second. Of a smaller limit, fewer entries have a
/// part: one that may send only every few seconds leaves its part unused as a rule.
const MIN_SHARE: f64 = 0.25;

/// Entries with a part for each request a second of the limit, beyond the first two. Each
/// of them may send one request at once, and together these must not exceed the limit by
/// much.
const USERS_PER_RATE: f64 = 2.0;

/// Least limit that is kept, in requests a second. An upstream that takes none is asked as
/// often as this, as only an answer shows that it takes requests again.
const MIN_RATE: f64 = 0.2;

/// Time whose part an entry may send at once.
const BURST_S: f64 = 0.5;

/// Limit of one upstream, as one entry keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    stated: Option<Statement>,
    /// Requests that may be sent now; less than one when a request must wait.
    tokens: f64,
    /// When the tokens were last computed.
    filled: Millis,
}

common! { value
/// What an answer of an upstream said about its limit.
#[derive(Copy)]
pub struct Statement {
    /// Requests a second from all entries; none when there is no limit any more.
    pub rate: Option<f64>,
    /// When the answer arrived.
    pub at: Millis,
    /// True when the answer was to a request of this entry.
    pub is_own: bool,
}
}

impl RateLimit {
    /// Records what an answer to a request that was sent at the time `sent` says. Returns
    /// true when the limit has changed.
    ///
    /// Answers overtake each other. So one that names no limit ends it only if its request
    /// was sent after the last answer that named one.
    pub fn on_answer(&mut self, now: Millis, sent: Millis, rate: Option<f64>) -> bool {
        let is_old = |held: &Statement| rate.is_none() && sent <= held.at;
        match &self.stated {
            None if rate.is_none() => return false,
            Some(held) if held.rate.is_some() && is_old(held) => return false,
            // Nothing is to be told once all know that there is no limit.
            Some(held) if held.rate.is_none() && rate.is_none() => return false,
            _ => {}
        }
        self.set(Statement {
            rate,
            at: now,
            is_own: true,
        })
    }

    /// Records what another entry has read in an answer. Returns true when the limit has
    /// changed.
    pub fn merge(&mut self, rate: Option<f64>, at: Millis) -> bool {
        if self.stated.is_some_and(|held| held.at >= at) {
            return false;
        }
        self.set(Statement {
            rate,
            at,
            is_own: false,
        })
    }

    fn set(&mut self, next: Statement) -> bool {
        let before = self.rate();
        self.stated = Some(next);
        if before.is_none() {
            self.tokens = 0.0;
            self.filled = next.at;
        }
        before != self.rate()
    }

    /// Returns the limit in requests a second; none when there is none.
    pub fn rate(&self) -> Option<f64> {
        self.stated.and_then(|stated| stated.rate)
    }

    /// Returns what this entry has read itself, if that is not longer ago than `span`.
    pub fn own_statement(&self, now: Millis, span: Millis) -> Option<Statement> {
        let stated = self.stated.filter(|stated| stated.is_own);
        stated.filter(|stated| now.since(stated.at) < span)
    }

    /// Returns the time until this entry may send a request, when its part is `share`
    /// requests a second; none when it has no part.
    pub fn wait(&self, now: Millis, share: f64) -> Option<Millis> {
        if self.rate().is_none() {
            return Some(Millis(0));
        }
        if share <= 0.0 {
            return None;
        }
        let missing = 1.0 - self.tokens_at(now, share);
        Some(Millis((missing.max(0.0) / share * 1_000.0).ceil() as u64))
    }

    /// Counts a request that is sent now.
    pub fn on_sent(&mut self, now: Millis, share: f64) {
        if self.rate().is_some() {
            self.tokens = self.tokens_at(now, share) - 1.0;
            self.filled = now;
        }
    }

    fn tokens_at(&self, now: Millis, share: f64) -> f64 {
        let seconds = now.since(self.filled).0 as f64 / 1_000.0;
        let most = (share * BURST_S).max(1.0);
        (self.tokens + share * seconds).min(most)
    }
}

/// Returns the part of the entry `own`, in requests a second, of the limit `rate` of an
/// upstream that `entries` may use. They must include the own one, or it has no part.
pub fn share<'a>(
    rate: f64,
    upstream: u64,
    own: &str,
    entries: impl IntoIterator<Item = &'a str>,
) -> f64 {
    let rate = rate.max(MIN_RATE);
    let (position, count) = position(upstream, own, entries);
    let users = (rate / MIN_SHARE).min(2.0 + USERS_PER_RATE * rate);
    let users = (users as usize).clamp(1, count.max(1));
    if position.is_some_and(|before| before < users) {
        rate / users as f64
    } else {
        0.0
    }
}

/// Returns how many of `places` the entry `own` has at an upstream that `entries` may use.
/// They must include the own one, or it has none.
pub fn places<'a>(
    places: usize,
    upstream: u64,
    own: &str,
    entries: impl IntoIterator<Item = &'a str>,
) -> usize {
    let (position, count) = position(upstream, own, entries);
    position.map_or(0, |before| {
        places / count + usize::from(before < places % count)
    })
}

/// Returns the position of the entry `own` in the order in which `entries` use an upstream,
/// none when it is not among them, and their number. Each upstream has an order of its own.
fn position<'a>(
    upstream: u64,
    own: &str,
    entries: impl IntoIterator<Item = &'a str>,
) -> (Option<usize>, usize) {
    let upstream = upstream.to_string();
    let rank = |name: &str| util::stable_hash([upstream.as_str(), name]);
    let own_rank = rank(own);
    let (mut count, mut before, mut is_user) = (0_usize, 0_usize, false);
    for entry in entries {
        count += 1;
        is_user |= entry == own;
        before += usize::from(rank(entry) > own_rank);
    }
    (is_user.then_some(before), count)
}
