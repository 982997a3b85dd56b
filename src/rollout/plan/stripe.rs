//! Stripes: which member brings a part of the version into a zone, a region and the pool.

use crate::arena::Key;
use crate::common;
use crate::rollout::plan::Member;
use crate::rollout::plan::Peer;
use crate::rollout::rank;
use crate::time::Millis;

/// Number of ranks that take over one after the other, a takeover time apart.
///
/// Later ranks wait for that many takeover times and a random time more.
const STAGGERED_RANKS: usize = 6;

/// Most members outside the zone that are kept for each stripe.
const MAX_CANDIDATES: usize = 16;

/// Factor by which a member waits longer before it takes over, while members ranked
/// before it answer that they have nothing new.
///
/// They have nothing either when the origin is slow; to replace them then would only
/// add to the load of the origin.
const ANSWERED_FACTOR: u64 = 4;

/// Pulls in a row without a chunk after which the next level is tried.
const MAX_MISSES: u32 = 2;

common! { key
/// Distance of a source; nearer ones are tried first.
pub(super) enum Level {
    /// Members of the own zone.
    Zone,
    /// Members in other zones of the region.
    Region,
    /// Members in other regions.
    Pool,
    /// The origin of weights.
    Origin,
}
}

/// State of one stripe at this member: every n-th chunk of the version, of n stripes.
///
/// Members are ranked by the rendezvous weight of their names; rank 0 comes first.
#[derive(Clone, Debug)]
pub(super) struct Stripe {
    /// Ranks of this member in its zone, in its region and in the pool.
    pub(super) ranks: [usize; 3],
    /// Members of the zone, by rank.
    pub(super) zone: Vec<Key<Peer>>,
    /// Members of other zones of the region, by rank.
    pub(super) other_zones: Vec<Key<Peer>>,
    /// Members of other regions, by rank.
    pub(super) other_regions: Vec<Key<Peer>>,
    /// Level from which the stripe is pulled now.
    pub(super) level: Level,
    /// Pulls in a row without a chunk at this level.
    pub(super) misses: u32,
    /// The first members of the pool that rank before this one.
    pool_before: Vec<Key<Peer>>,
    /// When the last chunk of the stripe arrived.
    pub(super) last_chunk: Millis,
    /// When a member ranked before this one last answered that it has nothing new.
    last_answer: Millis,
    /// Until when this member fetches the stripe in place of another one, and from which
    /// level at most.
    pub(super) taken_over: (Millis, Level),
    /// Time before which the origin is not asked again.
    pub(super) origin_retry: Millis,
    /// Pulls outstanding that bring the stripe into the zone.
    pub(super) outstanding: usize,
    /// Random number from which the time that later ranks wait is derived.
    jitter: u64,
}

impl Stripe {
    /// Creates a stripe whose members are ranked under `key`.
    pub(super) fn new(
        now: Millis,
        key: &str,
        me: &Member,
        peers: &[(Key<Peer>, &Member)],
        jitter: u64,
    ) -> Stripe {
        let own = (rank::weight(key, &me.name), me.name.as_str());
        let mut ranked: Vec<_> = peers
            .iter()
            .map(|(k, m)| (rank::weight(key, &m.name), m.name.as_str(), *k, *m))
            .collect();
        ranked.sort_by_key(|r| (r.0, r.1));
        let same_region = |m: &Member| m.region == me.region;
        let same_zone = |m: &Member| m.zone == me.zone && same_region(m);
        let count_before = |near: &dyn Fn(&Member) -> bool| {
            let first = ranked.iter().take_while(|r| (r.0, r.1) < own);
            first.filter(|r| near(r.3)).count()
        };
        let keys = |near: &dyn Fn(&Member) -> bool, max: usize| {
            let near = ranked.iter().filter(|r| near(r.3)).take(max);
            near.map(|r| r.2).collect::<Vec<_>>()
        };
        Stripe {
            ranks: [
                count_before(&same_zone),
                count_before(&same_region),
                count_before(&|_| true),
            ],
            zone: keys(&same_zone, usize::MAX),
            other_zones: keys(&|m| same_region(m) && !same_zone(m), MAX_CANDIDATES),
            other_regions: keys(&|m| !same_region(m), MAX_CANDIDATES),
            pool_before: ranked
                .iter()
                .take_while(|r| (r.0, r.1) < own)
                .take(MAX_CANDIDATES)
                .map(|r| r.2)
                .collect(),
            level: Level::Zone,
            misses: 0,
            last_chunk: now,
            last_answer: Millis(0),
            taken_over: (Millis(0), Level::Zone),
            origin_retry: Millis(0),
            outstanding: 0,
            jitter,
        }
    }

    /// The farthest level from which this member pulls by its ranks alone.
    ///
    /// The first of a zone pulls from the region, the first of a region from the pool,
    /// and the first of the pool from the origin.
    pub(super) fn assigned_level(&self) -> Level {
        match self.ranks {
            [_, _, 0] => Level::Origin,
            [_, 0, _] => Level::Pool,
            [0, _, _] => Level::Region,
            _ => Level::Zone,
        }
    }

    /// The farthest level from which this member may pull now.
    ///
    /// While no chunk of the stripe arrives, the ranks take over one after the other, so
    /// that a dead first member is replaced by one other and not by all.
    pub(super) fn allowed_level(&self, now: Millis, takeover: Millis) -> Level {
        let levels = [Level::Region, Level::Pool, Level::Origin];
        let unanswered = now.since(self.last_chunk.max(self.last_answer)).0;
        let without_chunk = now.since(self.last_chunk).0;
        let is_due = |rank: usize| {
            let delay = self.takeover_delay(rank, takeover);
            unanswered >= delay || without_chunk >= ANSWERED_FACTOR * delay
        };
        let due_level = levels
            .into_iter()
            .zip(self.ranks)
            .filter(|(_, rank)| *rank > 0 && is_due(*rank))
            .map(|(level, _)| level)
            .max();
        let taken_over = if self.taken_over.0 > now {
            self.taken_over.1
        } else {
            Level::Zone
        };
        self.assigned_level()
            .max(taken_over)
            .max(due_level.unwrap_or(Level::Zone))
    }

    /// True when a member ranked before this one should be asked, because this one would
    /// take over soon.
    pub(super) fn should_probe(&self, now: Millis, takeover: Millis) -> bool {
        let unanswered = now.since(self.last_chunk.max(self.last_answer)).0;
        unanswered + takeover.0 / 2 >= self.takeover_delay(self.ranks[0], takeover)
    }

    /// Members of the zone that rank before this one.
    pub(super) fn ranked_before(&self) -> &[Key<Peer>] {
        &self.zone[..self.ranks[0].min(self.zone.len())]
    }

    /// Records that the member `key` answered without a chunk; only members ranked before
    /// this one count.
    pub(super) fn record_answer(&mut self, now: Millis, key: Key<Peer>) {
        if self.ranked_before().contains(&key) || self.pool_before.contains(&key) {
            self.last_answer = now;
        }
    }

    /// Time without a chunk, in milliseconds, after which the member of this rank takes over.
    fn takeover_delay(&self, rank: usize, takeover: Millis) -> u64 {
        let base = rank.min(STAGGERED_RANKS) as u64 * takeover.0;
        if rank < STAGGERED_RANKS {
            return base;
        }
        let spread = (rank - STAGGERED_RANKS + 1) as u64 * takeover.0 / 4;
        base + self.jitter % spread.max(1)
    }

    /// Starts again at the nearest level, for the chunks of a manifest just read.
    pub(super) fn restart(&mut self, now: Millis) {
        self.level = Level::Zone;
        self.misses = 0;
        self.last_chunk = now;
    }

    /// Copies everything but ranks and members from `old`, after a change of members.
    pub(super) fn copy_state(&mut self, old: &Stripe) {
        self.level = old.level;
        self.misses = old.misses;
        self.last_chunk = old.last_chunk;
        self.last_answer = old.last_answer;
        self.taken_over = old.taken_over;
        self.origin_retry = old.origin_retry;
        self.outstanding = old.outstanding;
    }

    /// Counts a pull without a chunk; after enough of them, moves to the next level, up to
    /// `allowed`, and then back to the nearest.
    pub(super) fn record_miss(&mut self, allowed: Level) {
        self.misses += 1;
        let is_enough = self.misses >= MAX_MISSES || self.has_no_members(self.level);
        if !is_enough {
            return;
        }
        self.misses = 0;
        self.level = match self.level {
            Level::Zone => Level::Region,
            Level::Region => Level::Pool,
            Level::Pool => Level::Origin,
            Level::Origin => Level::Zone,
        };
        if self.level > allowed {
            self.level = Level::Zone;
        }
    }

    /// True when there is no member to pull from at this level.
    pub(super) fn has_no_members(&self, level: Level) -> bool {
        match level {
            Level::Zone => self.zone.is_empty(),
            Level::Region => self.other_zones.is_empty(),
            Level::Pool => self.other_regions.is_empty(),
            Level::Origin => false,
        }
    }
}
