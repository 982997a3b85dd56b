//! Stripes: who brings a part of the version into a zone, a region and the pool.

use crate::arena::Key;
use crate::common;
use crate::rollout::plan::Member;
use crate::rollout::plan::Peer;
use crate::rollout::rank;
use crate::time::Millis;

/// Ranks that wait one takeover time each; later ranks share one more with jitter.
const PATIENT_RANKS: usize = 6;

/// Candidates outside the zone that are kept for each stripe.
const MAX_OUTER: usize = 16;

/// Factor by which a member waits longer for one ranked before it that answers.
///
/// A slow origin keeps first ranks empty-handed as well; replacing them would
/// only add to its load.
const PATIENCE: u64 = 4;

/// Answers without a chunk after which the next level is asked.
const MAX_MISSES: u32 = 2;

common! { key
/// How far from the zone a source is; nearer ones are asked first.
pub(super) enum Level {
    /// Neighbours in the zone.
    Zone,
    /// Other zones of the region.
    Region,
    /// Other regions.
    Fleet,
    /// The origin of weights.
    Origin,
}
}

/// One stripe as this member sees it.
#[derive(Clone, Debug)]
pub(super) struct Stripe {
    /// Rank of this member in its zone, its region and the pool.
    pub(super) ranks: [usize; 3],
    /// Members of the zone, by rank.
    pub(super) zone: Vec<Key<Peer>>,
    /// Members of other zones of the region, by rank.
    pub(super) region: Vec<Key<Peer>>,
    /// Members of other regions, by rank.
    pub(super) fleet: Vec<Key<Peer>>,
    /// Level asked now.
    pub(super) level: Level,
    /// Answers without a chunk at this level in a row.
    pub(super) misses: u32,
    /// First members of the pool that rank before this one.
    ahead: Vec<Key<Peer>>,
    /// Last time that a chunk of the stripe arrived.
    pub(super) news: Millis,
    /// Last time that a member ranked before this one said that it has nothing new.
    heard: Millis,
    /// Until when this member fetches in place of a silent one, and how far.
    pub(super) acting: (Millis, Level),
    /// No pull to the origin before this time.
    pub(super) backoff: Millis,
    /// Pulls outstanding outside the zone.
    pub(super) outstanding: usize,
    jitter: u64,
}

impl Stripe {
    /// The stripe with ranks under `key`.
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
        let before = |near: &dyn Fn(&Member) -> bool| {
            let first = ranked.iter().take_while(|r| (r.0, r.1) < own);
            first.filter(|r| near(r.3)).count()
        };
        let keys = |near: &dyn Fn(&Member) -> bool, most: usize| {
            let near = ranked.iter().filter(|r| near(r.3)).take(most);
            near.map(|r| r.2).collect::<Vec<_>>()
        };
        Stripe {
            ranks: [before(&same_zone), before(&same_region), before(&|_| true)],
            zone: keys(&same_zone, usize::MAX),
            region: keys(&|m| same_region(m) && !same_zone(m), MAX_OUTER),
            fleet: keys(&|m| !same_region(m), MAX_OUTER),
            ahead: ranked
                .iter()
                .take_while(|r| (r.0, r.1) < own)
                .take(MAX_OUTER)
                .map(|r| r.2)
                .collect(),
            level: Level::Zone,
            misses: 0,
            news: now,
            heard: Millis(0),
            acting: (Millis(0), Level::Zone),
            backoff: Millis(0),
            outstanding: 0,
            jitter,
        }
    }

    /// How far this member goes for the stripe by its ranks alone.
    pub(super) fn duty(&self) -> Level {
        match self.ranks {
            [_, _, 0] => Level::Origin,
            [_, 0, _] => Level::Fleet,
            [0, _, _] => Level::Region,
            _ => Level::Zone,
        }
    }

    /// How far this member goes now.
    ///
    /// Ranks step in one after the other while no chunk of the stripe
    /// arrives, so that a dead first rank is replaced by one member, not by all.
    pub(super) fn reach(&self, now: Millis, takeover: Millis) -> Level {
        let levels = [Level::Region, Level::Fleet, Level::Origin];
        let silent = now.since(self.news.max(self.heard)).0;
        let quiet = now.since(self.news).0;
        let due = |rank: usize| {
            let delay = self.delay(rank, takeover);
            silent >= delay || quiet >= PATIENCE * delay
        };
        let called = levels
            .into_iter()
            .zip(self.ranks)
            .filter(|(_, rank)| *rank > 0 && due(*rank))
            .map(|(level, _)| level)
            .max();
        let acting = if self.acting.0 > now {
            self.acting.1
        } else {
            Level::Zone
        };
        self.duty().max(acting).max(called.unwrap_or(Level::Zone))
    }

    /// True when members ranked before this one should be asked for a sign of life.
    pub(super) fn is_due(&self, now: Millis, takeover: Millis) -> bool {
        let silent = now.since(self.news.max(self.heard)).0;
        silent + takeover.0 / 2 >= self.delay(self.ranks[0], takeover)
    }

    /// Members of the zone that rank before this one.
    pub(super) fn elders(&self) -> &[Key<Peer>] {
        &self.zone[..self.ranks[0].min(self.zone.len())]
    }

    /// Notes that `key` has nothing new, which matters when it ranks before this member.
    pub(super) fn hear(&mut self, now: Millis, key: Key<Peer>) {
        if self.elders().contains(&key) || self.ahead.contains(&key) {
            self.heard = now;
        }
    }

    fn delay(&self, rank: usize, takeover: Millis) -> u64 {
        let base = rank.min(PATIENT_RANKS) as u64 * takeover.0;
        if rank < PATIENT_RANKS {
            return base;
        }
        let spread = (rank - PATIENT_RANKS + 1) as u64 * takeover.0 / 4;
        base + self.jitter % spread.max(1)
    }

    /// Starts again at the zone, for the chunks of a manifest just read.
    pub(super) fn restart(&mut self, now: Millis) {
        self.level = Level::Zone;
        self.misses = 0;
        self.news = now;
    }

    /// Takes over what `old` knew beside ranks.
    pub(super) fn inherit(&mut self, old: &Stripe) {
        self.level = old.level;
        self.misses = old.misses;
        self.news = old.news;
        self.heard = old.heard;
        self.acting = old.acting;
        self.backoff = old.backoff;
        self.outstanding = old.outstanding;
    }

    /// Notes an answer without a chunk and moves outwards, up to `reach`.
    pub(super) fn miss(&mut self, reach: Level) {
        self.misses += 1;
        let enough = self.misses >= MAX_MISSES || self.is_empty(self.level);
        if !enough {
            return;
        }
        self.misses = 0;
        self.level = match self.level {
            Level::Zone => Level::Region,
            Level::Region => Level::Fleet,
            Level::Fleet => Level::Origin,
            Level::Origin => Level::Zone,
        };
        if self.level > reach {
            self.level = Level::Zone;
        }
    }

    /// True when no member is at this level.
    pub(super) fn is_empty(&self, level: Level) -> bool {
        match level {
            Level::Zone => self.zone.is_empty(),
            Level::Region => self.region.is_empty(),
            Level::Fleet => self.fleet.is_empty(),
            Level::Origin => false,
        }
    }
}
