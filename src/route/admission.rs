//! Shares the capacity of a pool among its kinds of request while requests are refused.
//!
//! It is made for load above the capacity on a pool that serves several ranks. Without
//! it, the kind with the longest objective tolerates the longest queues and fills them up
//! to a length at which the most urgent requests are never on time. The shares served are
//! measured by entries of a zone together, since one entry takes too few requests a
//! second. Each kind is held back to the share of the least served kind of equal or more
//! urgent rank, so shares become equal and the more urgent kinds lead slightly.

use crate::prelude::*;
use crate::retry::returns::PoolState;
use crate::route::admit;
use crate::route::regions::Regions;
use crate::route::size_fairness::SizeFairness;
use crate::util;

/// Half-life of the counts, in milliseconds. Bursts last four seconds or more, and a
/// zone takes a few hundred requests in this time.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Age at which the counts of another entry are ignored.
const PEER_EXPIRY: Millis = Millis(1_000);

/// Most kinds and routes that are counted, and most kinds that are read from one peer.
const MAX_KINDS: usize = 256;

/// Requests that each count starts with as admitted, so that a kind with few requests
/// does not hold back others after one refusal.
const PRIOR_REQUESTS: f64 = 2.0;

/// Served shares at which a kind begins to hold back others, and at which it does so
/// fully. Above the first, hardly anything is refused.
const REFUSED_RANGE: (f64, f64) = (0.98, 0.94);

/// Lead in the served share of a rank over the next less urgent one. Callers count a
/// more urgent kind that is served less as a fault, so equal shares need a margin.
const RANK_LEAD: f64 = 0.03;

/// Excess of the served share over the bound at which every request of a kind is refused.
/// Half of it earns 0.015 less credit at 1.5 times the capacity in `bench place`, since the
/// counts of other entries arrive late.
const EXCESS_BAND: f64 = 0.10;

/// Share of the requests served below which the load of a pool lies above its capacity.
const OVERLOAD_SHARE: f64 = 0.95;

/// Requests from which on the served share shows a load above the capacity. With fewer, a
/// refusal is more likely due to a fault that ends soon.
const MIN_OFFERED: f64 = 20.0;

/// Share of the admitted requests that is kept for callers who return in time for their
/// objective while the load lasts.
const RETURN_SHARE: f64 = 0.1;

/// Half-life of the counts that show whether a burst has ended, in milliseconds. An entry
/// takes ten requests in this time.
const RECENT_HALF_LIFE_MS: f64 = 500.0;

/// Share of the latest requests at an entry above which the load of a pool lies below its
/// capacity, also when more was refused shortly before.
const CALM_SHARE: f64 = 0.95;

/// Share of the slots of comparable upstreams that must be free for a caller that was
/// refused before and will be late, while hardly anything is refused. It is not served
/// after another refusal, and no newcomer needs the slot.
const RETURN_FREE_SHARE: f64 = 0.08;

/// Age at which the counts of another zone are ignored. An entry hears from those of
/// another zone together several times a second.
const ZONE_EXPIRY: Millis = Millis(3_000);

/// Lead in the served share of another zone from which its unreported upstreams are used,
/// and the further lead at which they are used for every request.
const ZONE_LEAD: f64 = 0.01;
const ZONE_BAND: f64 = 0.15;

/// Largest probability with which requests are refused for callers of another zone. These
/// may be unable to use the upstreams here, as when their regions exclude them.
const MAX_ZONE_REFUSAL: f64 = 0.25;

common! { key
/// Requests of one route and rank to one pool.
pub struct KindId {
    /// Hash of the names of the pool and of the route.
    pub route: u64,
    /// Hash of the name of the pool.
    pub pool: u64,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
}
}

impl KindId {
    /// Returns the kind of a route's requests.
    ///
    /// Only kinds that may use the same upstreams share them. A kind whose regions are
    /// evacuated is refused whatever the others leave, so kinds with different regions count
    /// as kinds of different pools.
    pub fn new(pool: &str, route: &str, rank: u8, regions: &Regions) -> KindId {
        let pool = match regions {
            Regions::Any => util::stable_hash([pool]),
            Regions::Only(_) => util::stable_hash([pool, regions.to_string().as_str()]),
        };
        let route = util::stable_hash([pool.to_string().as_str(), route]);
        KindId { route, pool, rank }
    }
}

/// Requests of one kind, decayed over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests that arrived, not counting later attempts.
    pub offered: f64,
    /// Requests that were sent to an upstream.
    pub admitted: f64,
    /// Objective of the kind, in milliseconds.
    pub objective: f64,
}

impl Counts {
    /// Returns the share of the requests that is served.
    pub fn share(&self) -> f64 {
        let share = (self.admitted + PRIOR_REQUESTS) / (self.offered + PRIOR_REQUESTS);
        share.min(1.0)
    }

    /// Returns how far the kind is refused, from 0 to 1.
    fn refused_degree(&self) -> f64 {
        let (none, full) = REFUSED_RANGE;
        ((none - self.share()) / (none - full)).clamp(0.0, 1.0)
    }

    /// Adds up the counts of several kinds.
    fn sum<'a>(counts: impl Iterator<Item = &'a Counts>) -> Counts {
        let mut all = Counts::default();
        counts.for_each(|held| all.add(held));
        all
    }

    fn add(&mut self, other: &Counts) {
        self.offered += other.offered;
        self.admitted += other.admitted;
        self.objective = self.objective.max(other.objective);
    }
}

/// What a kind of request may use of its pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowance {
    /// Bound of the time left until the objective, as far as it allows a wait, in
    /// milliseconds: the least objective of the more urgent kinds that are refused.
    pub slack_cap: f64,
    /// Probability with which a request is refused although it would be on time.
    pub refuse: f64,
    /// Share of the slots of comparable upstreams that must be free before a request that
    /// will be late is sent.
    pub free_share: f64,
    /// Other zones whose entries refuse less, with the probability at which upstreams there
    /// are used that do not report to this entry.
    pub open_zones: Vec<(String, f64)>,
}

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance {
            slack_cap: f64::INFINITY,
            refuse: 0.0,
            free_share: admit::MIN_POOL_FREE_SHARE,
            open_zones: Vec::new(),
        }
    }
}

/// One request, as it is counted.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Its kind.
    pub kind: KindId,
    /// Objective of its route, in milliseconds.
    pub objective: f64,
    /// Its weight.
    pub weight: f64,
    /// Weight of the usual request of the pool.
    pub usual: f64,
    /// True when its caller was refused before.
    pub returning: bool,
}

/// What the counts say about a request.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Smallest weight that counts as large on its route.
    pub large_weight: f64,
    /// How strongly large requests of its route are preferred, from 0 to 1.
    pub large_preference: f64,
    /// What its kind may use of the pool.
    pub allowance: Allowance,
}

/// Counts of the kinds of a pool.
pub type KindCounts = IndexMap<KindId, Counts>;

/// Counts of one entry, and the latest counts of the other entries of its zone.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    own: IndexMap<KindId, Counts>,
    decayed_at: Millis,
    /// Counts of other entries by name, and when they were received.
    peers: IndexMap<String, (Millis, Vec<(KindId, Counts)>)>,
    /// Counts of other zones by name, and when they were received.
    zones: IndexMap<String, (Millis, Vec<(KindId, Counts)>)>,
    /// Counts of the last moments at this entry, by pool, and when they were decayed.
    recent: IndexMap<u64, (Millis, Counts)>,
    /// Counts of sizes, by the hash of the route.
    sizes: IndexMap<u64, SizeFairness>,
}

impl Admission {
    /// Counts a request, unless it is a later attempt, and returns its standing.
    pub fn on_offered(&mut self, now: Millis, offer: &Offer) -> Standing {
        if self.own.len() >= MAX_KINDS && !self.own.contains_key(&offer.kind) {
            self.own.clear();
        }
        if self.sizes.len() >= MAX_KINDS && !self.sizes.contains_key(&offer.kind.route) {
            self.sizes.clear();
        }
        self.decay(now);
        let counts = self.own.entry(offer.kind).or_default();
        let sizes = self.sizes.entry(offer.kind.route).or_default();
        counts.objective = offer.objective;
        if !offer.returning {
            counts.offered += 1.0;
            sizes.on_request(now, offer.weight, offer.usual);
        }
        let (large_weight, large_preference) = (sizes.large_weight(), sizes.large_preference());
        let sums = self.zone_counts(now, offer.kind.pool);
        let mut allowance = if offer.returning {
            self.returning_allowance(now, offer.kind.pool)
        } else {
            self.recent(now, offer.kind.pool).offered += 1.0;
            self.new_allowance(now, offer.kind, &sums)
        };
        allowance.open_zones = self.open_zones(now, offer.kind.pool, &sums);
        Standing {
            large_weight,
            large_preference,
            allowance,
        }
    }

    /// Counts a request by its weight as sent to an upstream.
    pub fn on_admitted(&mut self, now: Millis, kind: KindId, weight: f64) {
        self.decay(now);
        self.recent(now, kind.pool).admitted += 1.0;
        if let Some(counts) = self.own.get_mut(&kind) {
            counts.admitted += 1.0;
        }
        if let Some(sizes) = self.sizes.get_mut(&kind.route) {
            sizes.on_admitted(weight);
        }
    }

    /// Returns what a caller may use that was refused before.
    fn returning_allowance(&mut self, now: Millis, pool: u64) -> Allowance {
        let recent = *self.recent(now, pool);
        let is_calm = recent.admitted >= CALM_SHARE * recent.offered;
        Allowance {
            free_share: if is_calm {
                RETURN_FREE_SHARE
            } else {
                admit::MIN_POOL_FREE_SHARE
            },
            ..Allowance::default()
        }
    }

    /// Returns the counts of the last moments for a pool, decayed.
    fn recent(&mut self, now: Millis, pool: u64) -> &mut Counts {
        if self.recent.len() >= MAX_KINDS && !self.recent.contains_key(&pool) {
            self.recent.clear();
        }
        let (at, counts) = self.recent.entry(pool).or_default();
        let factor = 0.5_f64.powf(now.since(*at).0 as f64 / RECENT_HALF_LIFE_MS);
        counts.offered *= factor;
        counts.admitted *= factor;
        *at = now.max(*at);
        counts
    }

    /// Returns the counts of all entries of the zone, for [`Admission::on_zone`] of the
    /// entries of other zones.
    pub fn zone_report(&self, now: Millis) -> Vec<(KindId, Counts)> {
        let pools: indexmap::IndexSet<u64> = self.own.keys().map(|kind| kind.pool).collect();
        let counts = pools.iter().flat_map(|pool| self.zone_counts(now, *pool));
        counts.collect()
    }

    /// Records the counts of all entries of another zone.
    pub fn on_zone(&mut self, now: Millis, zone: &str, mut counts: Vec<(KindId, Counts)>) {
        counts.truncate(MAX_KINDS);
        self.zones.retain(|_, (at, _)| now.since(*at) < ZONE_EXPIRY);
        self.zones.insert(zone.to_string(), (now, counts));
    }

    /// Returns the counts of the other zones for a pool.
    fn other_zones(&self, now: Millis, pool: u64) -> impl Iterator<Item = (&str, Counts)> {
        let fresh = self.zones.iter();
        let fresh = fresh.filter(move |(_, (at, _))| now.since(*at) < ZONE_EXPIRY);
        fresh.map(move |(zone, (_, counts))| {
            let counts = counts.iter().filter(|(kind, _)| kind.pool == pool);
            (zone.as_str(), Counts::sum(counts.map(|(_, held)| held)))
        })
    }

    /// Returns the zones that refuse fewer requests to a pool than this one, with the
    /// probability at which their upstreams are used beyond the usual wait.
    fn open_zones(&self, now: Millis, pool: u64, sums: &KindCounts) -> Vec<(String, f64)> {
        let own = Counts::sum(sums.values());
        if own.share() >= OVERLOAD_SHARE {
            return Vec::new();
        }
        let leads = self.other_zones(now, pool).map(|(zone, counts)| {
            let lead = (counts.share() - own.share() - ZONE_LEAD) / ZONE_BAND;
            (zone.to_string(), lead.clamp(0.0, 1.0))
        });
        leads.filter(|(_, chance)| *chance > 0.0).collect()
    }

    /// Returns the probability with which requests are refused as another zone refuses
    /// more, so that its callers find room at the upstreams of this one.
    fn zone_refusal(&self, now: Millis, pool: u64, sums: &KindCounts) -> f64 {
        let own = Counts::sum(sums.values());
        let refusals = self.other_zones(now, pool).map(|(_, counts)| {
            let lead = (own.share() - counts.share() - ZONE_LEAD) / ZONE_BAND;
            counts.refused_degree() * lead.clamp(0.0, 1.0)
        });
        refusals.fold(0.0, f64::max) * MAX_ZONE_REFUSAL
    }

    /// Returns the counts of this entry, for [`Admission::on_peer`] of the others.
    pub fn counts(&self, now: Millis) -> Vec<(KindId, Counts)> {
        let factor = self.decay_factor(now);
        let counts = self.own.iter().map(|(kind, held)| {
            let decayed = Counts {
                offered: held.offered * factor,
                admitted: held.admitted * factor,
                ..*held
            };
            (*kind, decayed)
        });
        counts.filter(|(_, held)| held.offered >= 0.05).collect()
    }

    /// Records the counts of another entry of the zone.
    pub fn on_peer(&mut self, now: Millis, name: &str, mut counts: Vec<(KindId, Counts)>) {
        counts.truncate(MAX_KINDS);
        self.peers.retain(|_, (at, _)| now.since(*at) < PEER_EXPIRY);
        self.peers.insert(name.to_string(), (now, counts));
    }

    /// Returns the counts of the kinds of a pool at all entries of the zone.
    pub fn zone_counts(&self, now: Millis, pool: u64) -> KindCounts {
        let fresh = self.peers.values();
        let fresh = fresh.filter(|(at, _)| now.since(*at) < PEER_EXPIRY);
        let peers = fresh.flat_map(|(_, counts)| counts.iter().map(|(kind, held)| (kind, held)));
        let mut sums = KindCounts::new();
        for (kind, held) in self.own.iter().chain(peers) {
            if kind.pool == pool {
                sums.entry(*kind).or_default().add(held);
            }
        }
        sums
    }

    /// Returns what a kind may use of its pool.
    ///
    /// Pools with requests of only one rank are not restricted.
    pub fn allowance(&self, now: Millis, kind: KindId) -> Allowance {
        self.new_allowance(now, kind, &self.zone_counts(now, kind.pool))
    }

    fn new_allowance(&self, now: Millis, kind: KindId, sums: &KindCounts) -> Allowance {
        let mut allowance = Allowance::default();
        let Some(own) = sums.get(&kind) else {
            return allowance;
        };
        if sums.keys().all(|other| other.rank == kind.rank) {
            return allowance;
        }
        for (other, counts) in sums {
            if other == &kind || other.rank > kind.rank {
                continue;
            }
            let degree = counts.refused_degree();
            let behind = f64::from(kind.rank - other.rank);
            let excess = own.share() - (counts.share() - RANK_LEAD * behind);
            let refuse = degree * (excess / EXCESS_BAND).clamp(0.0, 1.0);
            allowance.refuse = allowance.refuse.max(refuse);
            if degree > 0.0 && other.rank < kind.rank {
                allowance.slack_cap = allowance.slack_cap.min(counts.objective);
            }
        }
        let zone_refusal = self.zone_refusal(now, kind.pool, sums);
        allowance.refuse = 1.0 - (1.0 - allowance.refuse) * (1.0 - zone_refusal);
        allowance
    }

    /// Returns the served share of each rank, over all pools.
    pub fn rank_shares(&self, now: Millis) -> IndexMap<u8, f64> {
        let mut ranks: IndexMap<u8, Counts> = IndexMap::new();
        let pools: indexmap::IndexSet<u64> = self.own.keys().map(|kind| kind.pool).collect();
        for pool in pools {
            for (kind, counts) in self.zone_counts(now, pool) {
                ranks.entry(kind.rank).or_default().add(&counts);
            }
        }
        ranks.iter().map(|(r, c)| (*r, c.share())).collect()
    }

    /// Returns the state of a pool, by which refused callers are told when to return.
    pub fn pool_state(&self, now: Millis, pool: u64) -> PoolState {
        let sums = self.zone_counts(now, pool);
        let all = Counts::sum(sums.values());
        let fresh = self.peers.values();
        let fresh = fresh.filter(|(at, _)| now.since(*at) < PEER_EXPIRY);
        let rate = all.admitted * std::f64::consts::LN_2 / HALF_LIFE_MS * 1_000.0;
        PoolState {
            overloaded: all.offered >= MIN_OFFERED && all.share() < OVERLOAD_SHARE,
            return_rate: RETURN_SHARE * rate / (1 + fresh.count()) as f64,
        }
    }

    fn decay(&mut self, now: Millis) {
        let factor = self.decay_factor(now);
        for counts in self.own.values_mut() {
            counts.offered *= factor;
            counts.admitted *= factor;
        }
        self.decayed_at = self.decayed_at.max(now);
    }

    fn decay_factor(&self, now: Millis) -> f64 {
        0.5_f64.powf(now.since(self.decayed_at).0 as f64 / HALF_LIFE_MS)
    }
}
