//! Which upstreams probably hold the prompt prefix of a request in their cache.

use indexmap::IndexMap;

use crate::arena::Key;
use crate::common;
use crate::route::upstream::Upstream;
use crate::time::Millis;

/// Prefixes remembered; the oldest goes first.
const MAX_PREFIXES: usize = 4_096;

/// Upstreams remembered for one prefix.
const MAX_HOLDERS: usize = 3;

/// Age at which an entry is no longer believed; caches are small and events get lost.
const EXPIRY: Millis = Millis(60_000);

/// Belief in entries of an upstream that are older than a gap in its events.
const DOUBTED: f64 = 0.5;

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
    /// Number of the event, counted by the engine.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// What happened to it.
    pub change: CacheChange,
}
}

#[derive(Clone, Debug)]
struct Holder {
    upstream: Key<Upstream>,
    at: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Feed {
    next: u64,
    gap_at: Millis,
}

/// Bounded memory of prefixes and their likely holders.
#[derive(Debug, Default)]
pub struct Affinity {
    holders: IndexMap<u64, Vec<Holder>>,
    feeds: IndexMap<Key<Upstream>, Feed>,
}

impl Affinity {
    /// Notes that `upstream` has run a request with this prefix.
    pub fn on_served(&mut self, now: Millis, prefix: u64, upstream: Key<Upstream>) {
        let list = self.holders.entry(prefix).or_default();
        list.retain(|holder| holder.upstream != upstream);
        list.insert(0, Holder { upstream, at: now });
        list.truncate(MAX_HOLDERS);
        while self.holders.len() > MAX_PREFIXES {
            self.holders.shift_remove_index(0);
        }
    }

    /// Applies a cache event; a gap in the numbers casts doubt on older entries.
    pub fn on_event(&mut self, now: Millis, upstream: Key<Upstream>, event: CacheEvent) {
        let feed = self.feeds.entry(upstream).or_default();
        if event.seq < feed.next {
            return;
        }
        if event.seq > feed.next {
            feed.gap_at = now;
        }
        feed.next = event.seq + 1;
        match event.change {
            CacheChange::Stored => self.on_served(now, event.prefix, upstream),
            CacheChange::Evicted => self.drop_holder(event.prefix, upstream),
            CacheChange::Cleared => self.forget(upstream),
        }
    }

    /// How likely `upstream` holds `prefix`, from 0 to 1.
    pub fn likelihood(&self, now: Millis, prefix: u64, upstream: Key<Upstream>) -> f64 {
        let Some(list) = self.holders.get(&prefix) else {
            return 0.0;
        };
        let Some(holder) = list.iter().find(|holder| holder.upstream == upstream) else {
            return 0.0;
        };
        let age = now.since(holder.at);
        if age >= EXPIRY {
            return 0.0;
        }
        let fresh = 1.0 - age.0 as f64 / EXPIRY.0 as f64;
        let doubted = self
            .feeds
            .get(&upstream)
            .is_some_and(|feed| feed.gap_at > holder.at);
        if doubted { fresh * DOUBTED } else { fresh }
    }

    /// Forgets everything about an upstream, for instance after its restart.
    pub fn forget(&mut self, upstream: Key<Upstream>) {
        for list in self.holders.values_mut() {
            list.retain(|holder| holder.upstream != upstream);
        }
        self.holders.retain(|_, list| !list.is_empty());
    }

    /// Number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// True when no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn drop_holder(&mut self, prefix: u64, upstream: Key<Upstream>) {
        if let Some(list) = self.holders.get_mut(&prefix) {
            list.retain(|holder| holder.upstream != upstream);
        }
    }
}
