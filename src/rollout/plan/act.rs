//! Starts pulls wherever windows, budgets of memory and ranks allow.

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

/// Most chunks that one pull names; bounds the size of requests.
const MAX_WANTED: usize = 128;

/// Pulls outstanding for a manifest.
///
/// A manifest is small, and waiting at one source only would make its way
/// through the zone as long as the unluckiest chain of waits.
const MANIFEST_PULLS: usize = 2;

/// Fan-out of the tree on which manifests travel.
const MANIFEST_FANOUT: usize = 2;

/// Chunks held until which pulls name the same chunks.
const EARLY_CHUNKS: usize = 4;

/// Takeover times for which a member that stepped in goes on fetching a stripe.
const ACTING_FACTOR: u64 = 10;

impl Planner {
    /// Starts all pulls that are possible now.
    pub(super) fn fill(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.target.is_none() || self.ready || self.refused {
            return;
        }
        for stripe in 0..self.stripes.len() {
            self.fill_outer(now, stripe, out);
        }
        if self.manifest.is_none() {
            self.fill_manifest(now, out);
            return;
        }
        match self.settings.topology {
            Topology::Swarm => self.fill_swarm(now, out),
            Topology::Tree(fanout) => self.fill_tree(now, fanout, out),
            Topology::Direct => {}
        }
    }

    /// Missing chunks of a stripe that no pull from outside the zone names.
    fn open(&self, stripe: usize) -> Vec<usize> {
        let count = self.settings.stripes;
        let asked: Vec<usize> = self
            .pulls
            .values()
            .filter(|pull| pull.stripe == Some(stripe))
            .flat_map(|pull| pull.items.iter().copied())
            .collect();
        let missing = self.items.missing();
        missing
            .filter(|i| i % count == stripe && !asked.contains(i))
            .collect()
    }

    /// Starts pulls that bring a stripe into the zone, if that is this member's part.
    fn fill_outer(&mut self, now: Millis, index: usize, out: &mut Vec<Action>) {
        let reach = self.reach(now, index);
        if self.stripes[index].outstanding >= self.settings.stripe_pulls {
            return;
        }
        if reach == Level::Zone {
            self.ask_elder(now, index, out);
            return;
        }
        let mut open = self.open(index);
        if open.is_empty() {
            return;
        }
        let duty = self.stripes[index].duty();
        if reach > duty && self.stripes[index].acting.0 <= now {
            let until = now.plus(Millis(ACTING_FACTOR * self.settings.takeover.0));
            self.stripes[index].acting = (until, reach);
            self.stats.takeovers += 1;
        }
        if reach > duty {
            // The silent member may only be slow; starting from the other end
            // costs the fewest duplicates.
            open.reverse();
        }
        let Some((source, wait)) = self.outer_source(now, index, reach) else {
            return;
        };
        let most = if source == Source::Origin {
            1
        } else {
            MAX_WANTED
        };
        open.truncate(most);
        self.start(now, source, Some(index), open, wait, out);
    }

    /// Asks a member ranked before this one for a stripe that has gone quiet.
    ///
    /// Its answer tells a dead member from one that has nothing new, and the
    /// random order in which chunks arrive from one that is silent.
    fn ask_elder(&mut self, now: Millis, index: usize, out: &mut Vec<Action>) {
        let stripe = &self.stripes[index];
        if !stripe.is_due(now, self.settings.takeover) {
            return;
        }
        let fit = |p: &Peer| !p.avoided(now) && !p.resting(now);
        let fit = |key: &&Key<Peer>| self.peers.get(**key).is_some_and(fit);
        let Some(elder) = stripe.elders().iter().find(fit).copied() else {
            return;
        };
        let mut open = self.open(index);
        open.truncate(MAX_WANTED);
        if !open.is_empty() {
            let wait = self.settings.wait;
            self.start(now, Source::Peer(elder), Some(index), open, wait, out);
        }
    }

    fn reach(&self, now: Millis, index: usize) -> Level {
        if self.settings.topology == Topology::Direct {
            return Level::Origin;
        }
        self.stripes[index].reach(now, self.settings.takeover)
    }

    /// The source at the stripe's level, and how long a pull may wait there.
    fn outer_source(
        &mut self,
        now: Millis,
        index: usize,
        reach: Level,
    ) -> Option<(Source, Millis)> {
        let stripe = &mut self.stripes[index];
        if self.settings.topology == Topology::Direct {
            stripe.level = Level::Origin;
        }
        while stripe.level > reach || stripe.is_empty(stripe.level) {
            stripe.level = match stripe.level {
                _ if stripe.level > reach => Level::Zone,
                Level::Zone => Level::Region,
                Level::Region => Level::Fleet,
                Level::Fleet | Level::Origin => Level::Origin,
            };
            if stripe.level >= reach && stripe.is_empty(stripe.level) {
                return None;
            }
        }
        let level = stripe.level;
        let wait = if level == reach {
            self.settings.wait
        } else {
            Millis(0)
        };
        let source = match level {
            Level::Zone => self.neighbour(now)?,
            Level::Region => self.by_rank(now, index, &self.stripes[index].region)?,
            Level::Fleet => self.by_rank(now, index, &self.stripes[index].fleet)?,
            Level::Origin => self.origin(now, index)?,
        };
        Some((source, wait))
    }

    /// The first member in rank order that is not avoided; the next one after a miss.
    fn by_rank(&self, now: Millis, index: usize, ranked: &[Key<Peer>]) -> Option<Source> {
        let fit = |key: &&Key<Peer>| self.peers.get(**key).is_some_and(|p| !p.avoided(now));
        let fit: Vec<_> = ranked.iter().filter(fit).collect();
        let turn = self.stripes[index].misses as usize;
        let key = fit.get(turn % fit.len().max(1))?;
        Some(Source::Peer(**key))
    }

    fn origin(&self, now: Millis, index: usize) -> Option<Source> {
        let pulls = self.pulls.values().filter(|p| p.source == Source::Origin);
        let room = pulls.count() < self.settings.origin_pulls;
        (room && self.stripes[index].backoff <= now).then_some(Source::Origin)
    }

    /// A neighbour with the fewest pulls outstanding, at random among equals.
    fn neighbour(&mut self, now: Millis) -> Option<Source> {
        let peers = &self.peers;
        let fit = |key: &&Key<Peer>| peers.get(**key).is_some_and(|p| !p.avoided(now));
        let near = self
            .neighbours
            .iter()
            .filter(fit)
            .take(self.settings.neighbours);
        let load = |key: &Key<Peer>| peers.get(*key).map_or(usize::MAX, |p| p.outstanding);
        let ready = |key: &&Key<Peer>| peers.get(**key).is_some_and(|p| !p.resting(now));
        let free: Vec<_> = near
            .filter(ready)
            .filter(|k| load(k) < self.settings.source_pulls)
            .copied()
            .collect();
        let least = free.iter().map(load).min()?;
        let best: Vec<_> = free.into_iter().filter(|k| load(k) == least).collect();
        Some(Source::Peer(best[self.rng.usize(..best.len())]))
    }

    /// Asks for the manifest: the parent in a tree, and a neighbour.
    fn fill_manifest(&mut self, now: Millis, out: &mut Vec<Action>) {
        let inner = self.pulls.values().filter(|p| p.stripe.is_none()).count();
        for lane in inner..MANIFEST_PULLS {
            let parent = (lane == 0).then(|| self.parent(now, 0, MANIFEST_FANOUT));
            let source = parent.flatten().or_else(|| self.neighbour(now));
            let Some(source) = source else {
                return;
            };
            let wait = self.settings.wait;
            self.start(now, source, None, vec![0], wait, out);
        }
    }

    /// The nearest ancestor in the stripe's tree that is not avoided.
    fn parent(&self, now: Millis, index: usize, fanout: usize) -> Option<Source> {
        let stripe = &self.stripes[index];
        let mut rank = stripe.ranks[0];
        loop {
            rank = rank::parent(rank, fanout)?;
            let key = *stripe.zone.get(rank)?;
            let peer = self.peers.get(key)?;
            if !peer.avoided(now) && !peer.resting(now) {
                return Some(Source::Peer(key));
            }
        }
    }

    /// Missing chunks that neighbours may have and that no pull names.
    ///
    /// While little is held anywhere, pulls name the same chunks: a source
    /// rarely holds any of a small share, and doubles are stopped when they start.
    fn unasked(&self, now: Millis, early: bool) -> Vec<usize> {
        let count = self.settings.stripes;
        let outer: Vec<bool> = (0..count)
            .map(|s| self.reach(now, s) > Level::Zone && self.stripes[s].level > Level::Zone)
            .collect();
        if early {
            let sent: Vec<_> = self.pulls.values().filter_map(|p| p.sends).collect();
            let free = |i: &usize| !outer[i % count] && !sent.contains(i);
            return self.items.missing().filter(free).collect();
        }
        let unasked = self.items.unasked();
        unasked.filter(|i| !outer[i % count]).collect()
    }

    /// Spreads what is missing over the free lanes.
    fn fill_swarm(&mut self, now: Millis, out: &mut Vec<Action>) {
        let inner = self.pulls.values().filter(|p| p.stripe.is_none()).count();
        let free = self.settings.zone_pulls.saturating_sub(inner);
        if free == 0 {
            return;
        }
        let early = self.items.held() < EARLY_CHUNKS;
        let mut unasked = self.unasked(now, early);
        self.rng.shuffle(&mut unasked);
        // A pull that named all that is left would leave the other lanes idle.
        let missing = self.items.len() - self.items.held();
        let share = missing.div_ceil(self.settings.zone_pulls).min(MAX_WANTED);
        for _ in 0..free {
            let share = share.min(unasked.len());
            if share == 0 {
                break;
            }
            let Some(source) = self.neighbour(now) else {
                return;
            };
            let items = if early {
                self.rng.shuffle(&mut unasked);
                unasked.iter().copied().take(MAX_WANTED).collect()
            } else {
                unasked.split_off(unasked.len() - share)
            };
            let wait = self.settings.wait;
            self.start(now, source, None, items, wait, out);
        }
        if unasked.is_empty() {
            self.hurry(now, out);
        }
    }

    /// Asks a second source for a chunk whose pull has gone on for long.
    ///
    /// Near the end all chunks are asked for, and one slow source would
    /// decide when the version is whole.
    fn hurry(&mut self, now: Millis, out: &mut Vec<Action>) {
        let inner = self.pulls.values().filter(|p| p.stripe.is_none()).count();
        if inner >= self.settings.zone_pulls {
            return;
        }
        let late = Millis(self.settings.stall_timeout.0 / 2);
        let slow = self.pulls.values().find(|pull| {
            let items = pull.items.iter().filter(|i| !self.items.is_held(**i));
            let once = |i: &usize| self.items.asked(*i) == 1;
            now.since(pull.asked) > late && items.copied().any(|i| once(&i))
        });
        let Some(slow) = slow else {
            return;
        };
        let first = |i: &usize| !self.items.is_held(*i) && self.items.asked(*i) == 1;
        let items: Vec<_> = slow.items.iter().copied().filter(first).collect();
        let Some(source) = self.neighbour(now) else {
            return;
        };
        let wait = self.settings.wait;
        self.start(now, source, None, items, wait, out);
    }

    /// Asks the parent in each stripe's tree.
    fn fill_tree(&mut self, now: Millis, fanout: usize, out: &mut Vec<Action>) {
        let window = (self.settings.zone_pulls / self.settings.stripes).max(1);
        for index in 0..self.settings.stripes {
            let Some(source) = self.parent(now, index, fanout) else {
                continue;
            };
            let count = self.settings.stripes;
            let unasked: Vec<_> = self.unasked(now, false);
            let mut unasked: Vec<_> = unasked.into_iter().filter(|i| i % count == index).collect();
            let inner =
                |p: &&Pull| p.stripe.is_none() && p.items.iter().all(|i| i % count == index);
            let busy = self.pulls.values().filter(inner).count();
            for lane in busy..window {
                let share = unasked.len().div_ceil(window - lane).min(MAX_WANTED);
                if share == 0 {
                    break;
                }
                let rest = unasked.split_off(share);
                let wait = self.settings.wait;
                self.start(now, source, None, unasked, wait, out);
                unasked = rest;
            }
        }
    }

    /// Starts one pull, if there is room for what it may bring.
    fn start(
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
        self.items.ask(&items);
        if let Source::Peer(key) = source
            && let Some(peer) = self.peers.get_mut(key)
        {
            peer.outstanding += 1;
        }
        if let Some(stripe) = stripe {
            self.stripes[stripe].outstanding += 1;
        }
        let id = self.next;
        self.next += 1;
        let pull = Pull {
            source,
            stripe,
            sends: (items.len() == 1)
                .then(|| items[0])
                .filter(|_| source == Source::Origin),
            items,
            reserved: limit,
            wait,
            started: false,
            asked: now,
            progress: now,
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
