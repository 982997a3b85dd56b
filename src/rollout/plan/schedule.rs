//! Starting pulls, as far as limits, free memory and ranks allow.

use crate::arena::Key;
use crate::rollout::plan::Action;
use crate::rollout::plan::NewPull;
use crate::rollout::plan::Peer;
use crate::rollout::plan::Planner;
use crate::rollout::plan::Source;
use crate::rollout::plan::Topology;
use crate::rollout::plan::pull::Pull;
use crate::rollout::plan::stripe::Level;
use crate::rollout::rank;
use crate::time::Millis;

/// Most chunks that one pull names; bounds the length of a request.
const MAX_WANTED: usize = 128;

/// Pulls outstanding for a manifest.
///
/// With one pull at a time, a manifest would take as long to spread through the zone as
/// the longest chain of members that wait for each other; as manifests are small, a
/// second pull costs little.
const MANIFEST_PULLS: usize = 2;

/// Fan-out of the tree along which manifests spread in a zone.
const MANIFEST_FANOUT: usize = 2;

/// Number of held chunks below which the pulls of this member may name the same chunks.
const EARLY_CHUNKS: usize = 4;

/// Factor of the takeover time for which a member that took a stripe over goes on
/// fetching it.
const TAKEOVER_FACTOR: u64 = 10;

impl Planner {
    /// Starts all pulls that are possible now.
    pub(super) fn start_pulls(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.target.is_none() || self.is_ready || self.is_refused {
            return;
        }
        for stripe in 0..self.stripes.len() {
            self.start_stripe_pull(now, stripe, out);
        }
        if self.manifest.is_none() {
            self.start_manifest_pulls(now, out);
            return;
        }
        match self.settings.topology {
            Topology::Swarm => self.start_swarm_pulls(now, out),
            Topology::Tree(fanout) => self.start_tree_pulls(now, fanout, out),
            Topology::Direct => {}
        }
    }

    /// Missing chunks of a stripe that no pull for the stripe names yet.
    fn missing_in_stripe(&self, stripe: usize) -> Vec<usize> {
        let count = self.settings.stripes;
        let requested: Vec<usize> = self
            .pulls
            .values()
            .filter(|pull| pull.stripe == Some(stripe))
            .flat_map(|pull| pull.items.iter().copied())
            .collect();
        let missing = self.items.missing();
        missing
            .filter(|i| i % count == stripe && !requested.contains(i))
            .collect()
    }

    /// Starts a pull that brings chunks of a stripe into the zone, if that is this member's
    /// task.
    fn start_stripe_pull(&mut self, now: Millis, index: usize, out: &mut Vec<Action>) {
        let allowed = self.allowed_level(now, index);
        if self.stripes[index].outstanding >= self.settings.stripe_pulls {
            return;
        }
        if allowed == Level::Zone {
            self.probe_ranked_before(now, index, out);
            return;
        }
        let mut chunks = self.missing_in_stripe(index);
        if chunks.is_empty() {
            return;
        }
        let assigned = self.stripes[index].assigned_level();
        if allowed > assigned && self.stripes[index].taken_over.0 <= now {
            let until = now.plus(Millis(TAKEOVER_FACTOR * self.settings.takeover.0));
            self.stripes[index].taken_over = (until, allowed);
            self.stats.takeovers += 1;
        }
        if allowed > assigned {
            // The member that is replaced may only be slow; starting from the other end
            // causes the fewest duplicates.
            chunks.reverse();
        }
        let Some((source, wait)) = self.stripe_source(now, index, allowed) else {
            return;
        };
        let max_chunks = if source == Source::Origin {
            1
        } else {
            MAX_WANTED
        };
        chunks.truncate(max_chunks);
        self.start_pull(now, source, Some(index), chunks, wait, out);
    }

    /// Pulls from a member ranked before this one when no chunk of a stripe has arrived for
    /// some time.
    ///
    /// The answer tells whether that member is dead, has nothing new either, or holds chunks
    /// that have only not arrived yet, because chunks arrive in random order.
    fn probe_ranked_before(&mut self, now: Millis, index: usize, out: &mut Vec<Action>) {
        let stripe = &self.stripes[index];
        if !stripe.should_probe(now, self.settings.takeover) {
            return;
        }
        let is_usable = |p: &Peer| !p.is_avoided(now) && !p.is_paused(now);
        let is_usable = |key: &&Key<Peer>| self.peers.get(**key).is_some_and(is_usable);
        let Some(member) = stripe.ranked_before().iter().find(is_usable).copied() else {
            return;
        };
        let mut chunks = self.missing_in_stripe(index);
        chunks.truncate(MAX_WANTED);
        if !chunks.is_empty() {
            let wait = self.settings.wait;
            self.start_pull(now, Source::Peer(member), Some(index), chunks, wait, out);
        }
    }

    /// The farthest level from which this member may pull the stripe now.
    fn allowed_level(&self, now: Millis, index: usize) -> Level {
        if self.settings.topology == Topology::Direct {
            return Level::Origin;
        }
        self.stripes[index].allowed_level(now, self.settings.takeover)
    }

    /// Returns the source for a stripe and how long a pull may wait there.
    ///
    /// Nearer levels are tried first. Only at the farthest level that is allowed does the
    /// pull wait.
    fn stripe_source(
        &mut self,
        now: Millis,
        index: usize,
        allowed: Level,
    ) -> Option<(Source, Millis)> {
        let stripe = &mut self.stripes[index];
        if self.settings.topology == Topology::Direct {
            stripe.level = Level::Origin;
        }
        while stripe.level > allowed || stripe.has_no_members(stripe.level) {
            stripe.level = match stripe.level {
                _ if stripe.level > allowed => Level::Zone,
                Level::Zone => Level::Region,
                Level::Region => Level::Pool,
                Level::Pool | Level::Origin => Level::Origin,
            };
            if stripe.level >= allowed && stripe.has_no_members(stripe.level) {
                return None;
            }
        }
        let level = stripe.level;
        let wait = if level == allowed {
            self.settings.wait
        } else {
            Millis(0)
        };
        let source = match level {
            Level::Zone => self.pick_neighbour(now)?,
            Level::Region => self.pick_by_rank(now, index, &self.stripes[index].other_zones)?,
            Level::Pool => self.pick_by_rank(now, index, &self.stripes[index].other_regions)?,
            Level::Origin => self.pick_origin(now, index)?,
        };
        Some((source, wait))
    }

    /// The first member in rank order that is not avoided; after each pull that brought
    /// nothing, the next one.
    fn pick_by_rank(&self, now: Millis, index: usize, ranked: &[Key<Peer>]) -> Option<Source> {
        let is_usable =
            |key: &&Key<Peer>| self.peers.get(**key).is_some_and(|p| !p.is_avoided(now));
        let usable: Vec<_> = ranked.iter().filter(is_usable).collect();
        let position = self.stripes[index].misses as usize;
        let key = usable.get(position % usable.len().max(1))?;
        Some(Source::Peer(**key))
    }

    /// The origin, unless it has enough pulls or has failed for the stripe just now.
    fn pick_origin(&self, now: Millis, index: usize) -> Option<Source> {
        let pulls = self.pulls.values().filter(|p| p.source == Source::Origin);
        let has_room = pulls.count() < self.settings.origin_pulls;
        (has_room && self.stripes[index].origin_retry <= now).then_some(Source::Origin)
    }

    /// A neighbour with the fewest pulls outstanding, chosen at random among equals.
    fn pick_neighbour(&mut self, now: Millis) -> Option<Source> {
        let peers = &self.peers;
        let is_usable = |key: &&Key<Peer>| peers.get(**key).is_some_and(|p| !p.is_avoided(now));
        let candidates = self
            .neighbours
            .iter()
            .filter(is_usable)
            .take(self.settings.neighbours);
        let load = |key: &Key<Peer>| peers.get(*key).map_or(usize::MAX, |p| p.outstanding);
        let is_ready = |key: &&Key<Peer>| peers.get(**key).is_some_and(|p| !p.is_paused(now));
        let free: Vec<_> = candidates
            .filter(is_ready)
            .filter(|k| load(k) < self.settings.source_pulls)
            .copied()
            .collect();
        let least = free.iter().map(load).min()?;
        let best: Vec<_> = free.into_iter().filter(|k| load(k) == least).collect();
        Some(Source::Peer(best[self.rng.usize(..best.len())]))
    }

    /// Starts the pulls of the manifest: from the parent in the tree and from a neighbour.
    fn start_manifest_pulls(&mut self, now: Millis, out: &mut Vec<Action>) {
        let running = self.pulls.values().filter(|p| p.stripe.is_none()).count();
        for slot in running..MANIFEST_PULLS {
            let parent = (slot == 0).then(|| self.pick_parent(now, 0, MANIFEST_FANOUT));
            let source = parent.flatten().or_else(|| self.pick_neighbour(now));
            let Some(source) = source else {
                return;
            };
            let wait = self.settings.wait;
            self.start_pull(now, source, None, vec![0], wait, out);
        }
    }

    /// The nearest ancestor in the stripe's tree that is neither avoided nor paused.
    fn pick_parent(&self, now: Millis, index: usize, fanout: usize) -> Option<Source> {
        let stripe = &self.stripes[index];
        let mut rank = stripe.ranks[0];
        loop {
            rank = rank::parent(rank, fanout)?;
            let key = *stripe.zone.get(rank)?;
            let peer = self.peers.get(key)?;
            if !peer.is_avoided(now) && !peer.is_paused(now) {
                return Some(Source::Peer(key));
            }
        }
    }

    /// Missing chunks that neighbours may have and that no pull names.
    ///
    /// Early in a rollout, chunks that other pulls name are included: few chunks are held
    /// anywhere, so a source rarely holds one of a small selection. Duplicates are stopped
    /// when their first bytes arrive.
    fn unrequested(&self, now: Millis, is_early: bool) -> Vec<usize> {
        let count = self.settings.stripes;
        let from_outside: Vec<bool> = (0..count)
            .map(|s| {
                self.allowed_level(now, s) > Level::Zone && self.stripes[s].level > Level::Zone
            })
            .collect();
        if is_early {
            let sent: Vec<_> = self.pulls.values().filter_map(|p| p.sending).collect();
            let is_free = |i: &usize| !from_outside[i % count] && !sent.contains(i);
            return self.items.missing().filter(is_free).collect();
        }
        let unrequested = self.items.unrequested();
        unrequested.filter(|i| !from_outside[i % count]).collect()
    }

    /// Spreads the missing chunks over as many pulls from neighbours as may be started.
    fn start_swarm_pulls(&mut self, now: Millis, out: &mut Vec<Action>) {
        let running = self.pulls.values().filter(|p| p.stripe.is_none()).count();
        let free = self.settings.zone_pulls.saturating_sub(running);
        if free == 0 {
            return;
        }
        let is_early = self.items.held() < EARLY_CHUNKS;
        let mut unrequested = self.unrequested(now, is_early);
        self.rng.shuffle(&mut unrequested);
        // A pull that named all that is left would leave nothing for the others.
        let missing = self.items.len() - self.items.held();
        let share = missing.div_ceil(self.settings.zone_pulls).min(MAX_WANTED);
        for _ in 0..free {
            let share = share.min(unrequested.len());
            if share == 0 {
                break;
            }
            let Some(source) = self.pick_neighbour(now) else {
                return;
            };
            let items = if is_early {
                self.rng.shuffle(&mut unrequested);
                unrequested.iter().copied().take(MAX_WANTED).collect()
            } else {
                unrequested.split_off(unrequested.len() - share)
            };
            let wait = self.settings.wait;
            self.start_pull(now, source, None, items, wait, out);
        }
        if unrequested.is_empty() {
            self.start_backup_pull(now, out);
        }
    }

    /// Pulls the chunks of a slow pull from a second source as well.
    ///
    /// Towards the end pulls name all chunks that are missing, and one slow source would
    /// decide when the version is complete.
    fn start_backup_pull(&mut self, now: Millis, out: &mut Vec<Action>) {
        let running = self.pulls.values().filter(|p| p.stripe.is_none()).count();
        if running >= self.settings.zone_pulls {
            return;
        }
        let late = Millis(self.settings.stall_timeout.0 / 2);
        let slow = self.pulls.values().find(|pull| {
            let items = pull.items.iter().filter(|i| !self.items.is_held(**i));
            let is_single = |i: &usize| self.items.requests(*i) == 1;
            now.since(pull.started_at) > late && items.copied().any(|i| is_single(&i))
        });
        let Some(slow) = slow else {
            return;
        };
        let is_single = |i: &usize| !self.items.is_held(*i) && self.items.requests(*i) == 1;
        let items: Vec<_> = slow.items.iter().copied().filter(is_single).collect();
        let Some(source) = self.pick_neighbour(now) else {
            return;
        };
        let wait = self.settings.wait;
        self.start_pull(now, source, None, items, wait, out);
    }

    /// Starts pulls from the parent in the tree of each stripe.
    fn start_tree_pulls(&mut self, now: Millis, fanout: usize, out: &mut Vec<Action>) {
        let window = (self.settings.zone_pulls / self.settings.stripes).max(1);
        for index in 0..self.settings.stripes {
            let Some(source) = self.pick_parent(now, index, fanout) else {
                continue;
            };
            let count = self.settings.stripes;
            let unrequested: Vec<_> = self.unrequested(now, false);
            let mut unrequested: Vec<_> = unrequested
                .into_iter()
                .filter(|i| i % count == index)
                .collect();
            let is_running =
                |p: &&Pull| p.stripe.is_none() && p.items.iter().all(|i| i % count == index);
            let busy = self.pulls.values().filter(is_running).count();
            for slot in busy..window {
                let share = unrequested.len().div_ceil(window - slot).min(MAX_WANTED);
                if share == 0 {
                    break;
                }
                let rest = unrequested.split_off(share);
                let wait = self.settings.wait;
                self.start_pull(now, source, None, unrequested, wait, out);
                unrequested = rest;
            }
        }
    }

    /// Starts a pull, if there is room in the store for the longest of the chunks `items`.
    fn start_pull(
        &mut self,
        now: Millis,
        source: Source,
        stripe: Option<usize>,
        items: Vec<usize>,
        wait: Millis,
        out: &mut Vec<Action>,
    ) {
        let chunks: Vec<_> = items.iter().map(|i| self.items.chunk(*i)).collect();
        let limit = chunks.iter().map(|c| c.length).max().unwrap_or(0);
        if !self.store.reserve(limit) {
            return;
        }
        self.items.add_request(&items);
        if let Source::Peer(key) = source
            && let Some(peer) = self.peers.get_mut(key)
        {
            peer.outstanding += 1;
        }
        if let Some(stripe) = stripe {
            self.stripes[stripe].outstanding += 1;
        }
        let id = self.next_id;
        self.next_id += 1;
        let pull = Pull {
            source,
            stripe,
            sending: (items.len() == 1)
                .then(|| items[0])
                .filter(|_| source == Source::Origin),
            items,
            reserved: limit,
            wait,
            receiving: false,
            started_at: now,
            progress_at: now,
        };
        self.pulls.insert(id, pull);
        out.push(Action::Pull(NewPull {
            id,
            source,
            wanted: chunks.iter().map(|c| c.digest).collect(),
            wait,
            limit,
        }));
    }
}
