//! Prefix affinity: which upstreams probably hold the prompt prefix of a request
//! in their cache.

use indexmap::IndexMap;

use crate::arena::Key;
use crate::common;
use crate::route::upstream::Upstream;
use crate::time::Millis;

/// Prefixes remembered; the oldest is dropped first.
const MAX_PREFIXES: usize = 4_096;

/// Upstreams remembered for one prefix.
const MAX_HOLDERS: usize = 3;

/// Age at which a remembered holder is ignored, since caches are small and events
/// get lost.
const HOLDER_EXPIRY: Millis = Millis(60_000);

/// Factor on the likelihood of holders that were remembered before a gap in the
/// events of their upstream.
const GAP_FACTOR: f64 = 0.5;

common! { key
/// What a cache event reports.
pub enum CacheChange {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
    /// Everything was evicted.
    Cleared,
}
}

common! { key
/// One event of an engine's cache; events come late and some are missing.
pub struct CacheEvent {
    /// Sequence number, counted by the engine.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// What happened to the prefix.
    pub change: CacheChange,
}
}

/// An upstream that stored a prefix.
#[derive(Clone, Debug)]
struct Holder {
    upstream: Key<Upstream>,
    at: Millis,
}

/// Position in the cache events of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct EventFeed {
    next_seq: u64,
    gap_at: Millis,
}

/// Bounded memory of prefixes and their likely holders.
#[derive(Debug, Default)]
pub struct Affinity {
    holders: IndexMap<u64, Vec<Holder>>,
    event_feeds: IndexMap<Key<Upstream>, EventFeed>,
}

impl Affinity {
    /// Records that `upstream` has run a request with this prefix.
    pub fn on_served(&mut self, now: Millis, prefix: u64, upstream: Key<Upstream>) {
        let list = self.holders.entry(prefix).or_default();
        list.retain(|holder| holder.upstream != upstream);
        list.insert(0, Holder { upstream, at: now });
        list.truncate(MAX_HOLDERS);
        while self.holders.len() > MAX_PREFIXES {
            self.holders.shift_remove_index(0);
        }
    }

    /// Applies a cache event. After a gap in the sequence numbers, holders that were
    /// remembered before count as less likely.
    pub fn on_event(&mut self, now: Millis, upstream: Key<Upstream>, event: CacheEvent) {
        let feed = self.event_feeds.entry(upstream).or_default();
        if event.seq < feed.next_seq {
            return;
        }
        if event.seq > feed.next_seq {
            feed.gap_at = now;
        }
        feed.next_seq = event.seq + 1;
        match event.change {
            CacheChange::Stored => self.on_served(now, event.prefix, upstream),
            CacheChange::Evicted => self.remove_holder(event.prefix, upstream),
            CacheChange::Cleared => self.forget(upstream),
        }
    }

    /// Returns how likely `upstream` holds `prefix`, from 0 to 1.
    pub fn likelihood(&self, now: Millis, prefix: u64, upstream: Key<Upstream>) -> f64 {
        let Some(list) = self.holders.get(&prefix) else {
            return 0.0;
        };
        let Some(holder) = list.iter().find(|holder| holder.upstream == upstream) else {
            return 0.0;
        };
        let age = now.since(holder.at);
        if age >= HOLDER_EXPIRY {
            return 0.0;
        }
        let fresh = 1.0 - age.0 as f64 / HOLDER_EXPIRY.0 as f64;
        let before_gap = self
            .event_feeds
            .get(&upstream)
            .is_some_and(|feed| feed.gap_at > holder.at);
        if before_gap {
            fresh * GAP_FACTOR
        } else {
            fresh
        }
    }

    /// Forgets everything about an upstream, for instance after its restart.
    pub fn forget(&mut self, upstream: Key<Upstream>) {
        for list in self.holders.values_mut() {
            list.retain(|holder| holder.upstream != upstream);
        }
        self.holders.retain(|_, list| !list.is_empty());
    }

    /// Returns the number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns true when no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn remove_holder(&mut self, prefix: u64, upstream: Key<Upstream>) {
        if let Some(list) = self.holders.get_mut(&prefix) {
            list.retain(|holder| holder.upstream != upstream);
        }
    }
}
