//! Pieces of a version: which are held, and where each missing one comes from.
//!
//! All agents want a new version at the same time, over narrow links, and new
//! upstreams want the current one. For each piece the agents form a tree: the origin
//! sends it to one agent of its zone, that one sends it to one agent of each other zone,
//! and each of these to the rest of its zone. So a piece leaves the origin once and
//! enters each zone once. The digests of the pieces take the same way.

use indexmap::IndexSet;

use crate::prelude::*;
use crate::rollout::manifest::Digest;
use crate::rollout::rank;
use crate::rollout::roots;
use crate::util;

/// Time since the version was wanted after which pieces are also pulled from agents of
/// other zones that hold all of it.
const TREE_TIMEOUT: Millis = Millis(1_500);

/// Time without any new piece after which the agent ranked first for a piece in the zone of
/// the origin pulls it from the origin, whatever the tree says.
///
/// Counted from the last piece and not from the start, and for one agent after the other:
/// after an outage of the origin, all agents would otherwise pull everything from it at
/// once, and it would send each piece many times.
const STALL_TIMEOUT: Millis = Millis(3_000);

/// Further time after which the agent of the next rank does so too. Agents of other zones
/// follow after [`FAR_RANKS`] of these.
const STALL_STEP: Millis = Millis(2_000);

/// Ranks by which agents outside the zone of the origin follow those inside.
const FAR_RANKS: u64 = 3;

/// Time without a new piece after which the transfer of an older version continues
/// meanwhile.
const STUCK_TIMEOUT: Millis = Millis(1_000);

/// Most pulls in progress at once.
///
/// A pull waits at its source until the source has the piece, so most of them use no
/// bandwidth. With fewer, pulls of pieces that the origin sends last keep back others.
const MAX_PULLS: usize = 40;

/// Most pulls in progress at one agent.
const MAX_PULLS_AT_AGENT: usize = 3;

/// Number of ranked agents of each zone that are tried as sources of digests, before the
/// origin is asked.
const DIGEST_SOURCES: u32 = 7;

/// Pulls in progress at the origin that the agents of its zone share: enough to keep its
/// link full, and few of the connections that it accepts.
const PULLS_AT_ORIGIN: usize = 24;

/// Most of these that one agent starts.
const MAX_PULLS_AT_ORIGIN: usize = 2;

/// Time for which an agent that failed is not used as a source.
const SOURCE_PAUSE: Millis = Millis(1_000);

/// Time for which the origin is not used after a failure; short, because nobody else may
/// have the pieces.
const ORIGIN_PAUSE: Millis = Millis(200);

/// Number of pulls of a piece that find their source without it, after which the source
/// is paused.
const MAX_ABSENT: u32 = 3;

/// Name of the origin among the paused sources; VMs never have an empty name.
const ORIGIN: &str = "";

common! { value
/// Digests of all pieces of a version.
pub struct PieceDigests {
    /// Name of the model.
    pub model: String,
    /// Its version.
    pub version: u64,
    /// Digest of each piece.
    pub pieces: Vec<Digest>,
}
}

common! { value
/// Another agent that may hold pieces.
pub struct Holder {
    /// Name of its VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// True when it has reported that it holds every piece of the version.
    pub complete: bool,
}
}

common! { value
/// Where a piece is pulled from.
pub enum Source {
    /// The origin of weights.
    Origin,
    /// The agent on the VM of this name.
    Agent(String),
}
}

common! { value
/// One pull to start.
pub struct Pull {
    /// Index of the piece in [`PieceDigests::pieces`].
    pub index: u32,
    /// Where to pull it from.
    pub source: Source,
}
}

/// The agents of a pool as this agent knows them.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name of the own VM.
    pub name: String,
    /// The own availability zone.
    pub zone: String,
    /// Zone of the origin; empty when unknown.
    pub origin_zone: String,
    /// The other agents of the pool.
    pub others: Vec<Holder>,
}

impl Group {
    /// Returns the agent of `zone` that gets a piece before the others there, by rank
    /// among the own one and those that are usable as sources.
    fn zone_root(&self, zone: &str, key: &str, is_usable: &dyn Fn(&str) -> bool) -> Option<&str> {
        let others = self.others.iter().filter(|h| h.zone == zone);
        let names = others
            .map(|h| h.name.as_str())
            .filter(|name| is_usable(name));
        let own = (self.zone == zone).then_some(self.name.as_str());
        names.chain(own).min_by_key(|name| rank::weight(key, name))
    }

    /// Zone from which the own zone gets its copy: that of the origin, or the first by
    /// name if no agent is there; none for that zone itself, which pulls from the origin.
    fn parent_zone(&self) -> Option<&str> {
        let others = self.others.iter().map(|h| h.zone.as_str());
        let zones = others.chain([self.zone.as_str()]);
        let first = zones.min_by_key(|zone| (*zone != self.origin_zone, *zone))?;
        (first != self.zone).then_some(first)
    }

    /// Returns the source of the digests of a version; `tries` is the number of earlier
    /// tries that failed. Each try leaves out one more agent of each zone, and the origin
    /// is asked after some of them.
    pub fn digest_source(&self, model: &str, version: u64, tries: u32) -> Source {
        let key = format!("{model}/{version}/digests");
        let skipped = tries % (DIGEST_SOURCES + 1);
        if skipped == DIGEST_SOURCES {
            return Source::Origin;
        }
        let own = (self.name.as_str(), self.zone.as_str());
        let others = self
            .others
            .iter()
            .map(|h| (h.name.as_str(), h.zone.as_str()));
        let mut ranked: Vec<_> = others.chain([own]).collect();
        ranked.sort_by_cached_key(|(name, _)| rank::weight(&key, name));
        let mut seen: IndexMap<&str, u32> = IndexMap::new();
        let mut skip = IndexSet::new();
        for (name, zone) in ranked {
            let rank = seen.entry(zone).or_insert(0);
            if *rank < skipped {
                skip.insert(name);
            }
            *rank += 1;
        }
        self.parent(&key, &|name| !skip.contains(name))
    }

    /// Returns the names of the agents of `zone`, the own one included.
    fn names(&self, zone: &str) -> Vec<&str> {
        let others = self.others.iter().filter(|h| h.zone == zone);
        let others = others.map(|h| h.name.as_str());
        let own = (self.zone == zone).then_some(self.name.as_str());
        others.chain(own).collect()
    }

    /// Returns the source in the tree from which this agent gets the digests.
    fn parent(&self, key: &str, is_usable: &dyn Fn(&str) -> bool) -> Source {
        match self.zone_root(&self.zone, key, is_usable) {
            Some(root) if root != self.name => return Source::Agent(root.to_string()),
            _ => {}
        }
        let parent_zone = self.parent_zone();
        match parent_zone.and_then(|zone| self.zone_root(zone, key, is_usable)) {
            Some(root) => Source::Agent(root.to_string()),
            None => Source::Origin,
        }
    }
}

/// The part of the tree above one agent.
#[derive(Clone, Debug)]
struct Tree {
    /// Hash of the agents from which it was formed.
    members: u64,
    /// Source of each piece.
    parents: Vec<Source>,
}

impl Tree {
    /// Returns the hash of the agents and of which are usable, from which the tree follows.
    fn members(group: &Group, is_usable: &dyn Fn(&str) -> bool) -> u64 {
        let others = group.others.iter().flat_map(|h| {
            let state = if is_usable(&h.name) { "" } else { "paused" };
            [h.name.as_str(), h.zone.as_str(), state]
        });
        util::stable_hash(others.chain([group.origin_zone.as_str()]))
    }

    /// Forms the tree of `count` pieces.
    fn new(key: &str, count: usize, group: &Group, is_usable: &dyn Fn(&str) -> bool) -> Tree {
        let near = roots::choose(key, count, &group.names(&group.zone), is_usable);
        let far = group.parent_zone().map_or_else(Vec::new, |zone| {
            roots::choose(key, count, &group.names(zone), is_usable)
        });
        let parent = |index: usize| match (near.get(index), far.get(index)) {
            (Some(Some(root)), _) if *root != group.name => Source::Agent((*root).to_string()),
            (_, Some(Some(root))) => Source::Agent((*root).to_string()),
            _ => Source::Origin,
        };
        Tree {
            members: Tree::members(group, is_usable),
            parents: (0..count).map(parent).collect(),
        }
    }
}

/// State of the transfer of one version to an agent.
#[derive(Clone, Debug)]
pub struct Pieces {
    digests: PieceDigests,
    held: Vec<Option<Bytes>>,
    pulls: IndexMap<u32, (Source, Millis)>,
    /// Sources that are not used for a while, with the end of that time.
    paused: IndexMap<String, Millis>,
    /// Number of pulls of a piece that found their source without it.
    absent_counts: IndexMap<u32, u32>,
    wanted_at: Millis,
    /// When the last piece arrived, or the version was first wanted.
    last_piece: Millis,
    /// Sources of the pieces; none before the first pull.
    tree: Option<Tree>,
}

impl Pieces {
    /// Creates the state of a version that is wanted from `now` on and of which no piece is
    /// held yet.
    pub fn new(digests: PieceDigests, now: Millis) -> Pieces {
        let count = digests.pieces.len();
        Pieces {
            digests,
            held: vec![None; count],
            pulls: IndexMap::new(),
            paused: IndexMap::new(),
            absent_counts: IndexMap::new(),
            wanted_at: now,
            last_piece: now,
            tree: None,
        }
    }

    /// The wanted version and the digests of its pieces.
    pub fn digests(&self) -> &PieceDigests {
        &self.digests
    }

    /// Number of pieces held.
    pub fn count(&self) -> usize {
        self.held.iter().flatten().count()
    }

    /// True when every piece is held.
    pub fn is_complete(&self) -> bool {
        self.held.iter().all(Option::is_some)
    }

    /// Time since the version was first wanted.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.since(self.wanted_at)
    }

    /// True while pieces are missing and none has arrived for 1 s.
    pub fn is_stuck(&self, now: Millis) -> bool {
        !self.is_complete() && now.since(self.last_piece) >= STUCK_TIMEOUT
    }

    /// The content of a piece; none when it is not held.
    pub fn get(&self, index: u32) -> Option<&Bytes> {
        self.held.get(index as usize)?.as_ref()
    }

    /// True when `bytes` has the digest of the piece.
    pub fn matches(&self, index: u32, bytes: &Bytes) -> bool {
        self.digests
            .pieces
            .get(index as usize)
            .is_some_and(|digest| Digest::of(bytes) == *digest)
    }

    /// Ends the pull of a piece and stores its content; false when that is wrong.
    pub fn insert(&mut self, now: Millis, index: u32, bytes: Bytes) -> bool {
        self.pulls.swap_remove(&index);
        if !self.matches(index, &bytes) {
            return false;
        }
        self.held[index as usize] = Some(bytes);
        self.last_piece = now;
        true
    }

    /// Ends a pull whose source does not have the piece yet.
    ///
    /// A source that lacks it for the third time may never get it, so it is not used
    /// for a while, and the tree is formed without it.
    pub fn source_lacks(&mut self, now: Millis, index: u32) {
        let source = self.pulls.swap_remove(&index).map(|(source, _)| source);
        let count = self.absent_counts.entry(index).or_insert(0);
        *count += 1;
        if *count < MAX_ABSENT {
            return;
        }
        *count = 0;
        if let Some(Source::Agent(name)) = source {
            self.paused.insert(name, now.plus(SOURCE_PAUSE));
        }
    }

    /// Ends a pull whose source failed or sent wrong content; pauses the source.
    pub fn source_failed(&mut self, now: Millis, index: u32) {
        match self.pulls.swap_remove(&index) {
            Some((Source::Agent(name), _)) => {
                self.paused.insert(name, now.plus(SOURCE_PAUSE));
            }
            Some((Source::Origin, _)) => {
                self.paused
                    .insert(ORIGIN.to_string(), now.plus(ORIGIN_PAUSE));
            }
            None => {}
        }
    }

    /// Returns true when a piece is missing that is not being pulled, and another pull
    /// may run.
    pub fn can_pull(&self) -> bool {
        let missing = self.held.iter().filter(|piece| piece.is_none()).count();
        self.pulls.len() < missing.min(MAX_PULLS)
    }

    /// Starts the pulls that are possible now and returns them.
    pub fn start_pulls(&mut self, now: Millis, group: &Group) -> Vec<Pull> {
        self.paused.retain(|_, until| *until > now);
        if !self.can_pull() {
            return Vec::new();
        }
        self.form_tree(group);
        let mut started = Vec::new();
        let missing: Vec<u32> = (0..self.held.len() as u32)
            .filter(|i| self.held[*i as usize].is_none() && !self.pulls.contains_key(i))
            .collect();
        let mut wanted: Vec<(bool, u64, u32, Source)> = Vec::new();
        for index in missing {
            let source = self.choose_source(now, group, index);
            // Pieces that the rest of the zone gets from this agent come first, in the order
            // in which the other zones pass them on too. Otherwise each agent has an order
            // of its own, so that all pull different pieces.
            let is_root = self.is_root(group, index);
            let order = match is_root {
                true => u64::from(index),
                false => rank::weight(&self.rank_key(index), &group.name),
            };
            wanted.push((!is_root, order, index, source));
        }
        wanted.sort_by_key(|wanted| (wanted.0, wanted.1));
        for (_, _, index, source) in wanted {
            if self.pulls.len() >= MAX_PULLS {
                break;
            }
            if source == Source::Origin && self.paused.contains_key(ORIGIN) {
                continue;
            }
            let running = self.pulls.values().filter(|(s, _)| *s == source).count();
            if running >= max_pulls(&source, group) {
                continue;
            }
            self.pulls.insert(index, (source.clone(), now));
            started.push(Pull { index, source });
        }
        started
    }

    /// Key under which agents are ranked for a piece.
    fn rank_key(&self, index: u32) -> String {
        format!("{}/{}/{index}", self.digests.model, self.digests.version)
    }

    /// Forms the tree again when the usable agents have changed.
    fn form_tree(&mut self, group: &Group) {
        let is_usable = |name: &str| !self.paused.contains_key(name);
        let members = Tree::members(group, &is_usable);
        if self.tree.as_ref().is_some_and(|t| t.members == members) {
            return;
        }
        let key = format!("{}/{}", self.digests.model, self.digests.version);
        let tree = Tree::new(&key, self.held.len(), group, &is_usable);
        self.tree = Some(tree);
    }

    /// Returns the source of a piece in the tree.
    fn parent(&self, index: u32) -> Source {
        let tree = self.tree.as_ref();
        let parent = tree.and_then(|t| t.parents.get(index as usize));
        parent.cloned().unwrap_or(Source::Origin)
    }

    /// Returns true for a piece that the rest of the zone gets from this agent.
    fn is_root(&self, group: &Group, index: u32) -> bool {
        match self.parent(index) {
            Source::Origin => true,
            Source::Agent(name) => group
                .others
                .iter()
                .any(|h| h.name == name && h.zone != group.zone),
        }
    }

    /// Returns the source from which a piece is to be pulled now.
    ///
    /// An agent that holds the complete version comes first, in another zone only after
    /// [`TREE_TIMEOUT`]. Next is the source in the tree, or the origin for
    /// the agents whose turn has come after [`STALL_TIMEOUT`].
    fn choose_source(&self, now: Millis, group: &Group, index: u32) -> Source {
        let key = self.rank_key(index);
        let waited = now.since(self.wanted_at);
        let is_usable = |name: &str| !self.paused.contains_key(name);
        let nearest = group
            .others
            .iter()
            .filter(|h| h.complete && is_usable(&h.name))
            .min_by_key(|h| (h.zone != group.zone, rank::weight(&key, &h.name)));
        if let Some(holder) = nearest
            && (holder.zone == group.zone || waited >= TREE_TIMEOUT)
        {
            return Source::Agent(holder.name.clone());
        }
        let idle = now.since(self.last_piece);
        let steps = idle.since(STALL_TIMEOUT).0 / STALL_STEP.0;
        if idle >= STALL_TIMEOUT && steps >= stall_rank(group, &key) {
            return Source::Origin;
        }
        self.parent(index)
    }
}

/// Returns the rank of this agent in its zone for a piece, from 0, among those that pull it
/// from the origin when nothing arrives.
fn stall_rank(group: &Group, key: &str) -> u64 {
    let own = rank::weight(key, &group.name);
    let zone = group.others.iter().filter(|h| h.zone == group.zone);
    let before = zone.filter(|h| rank::weight(key, &h.name) < own).count() as u64;
    match group.parent_zone() {
        None => before,
        Some(_) => before + FAR_RANKS,
    }
}

/// Most pulls of an agent in progress at a source.
fn max_pulls(source: &Source, group: &Group) -> usize {
    match source {
        Source::Origin => {
            let zone = group.others.iter().filter(|h| h.zone == group.zone);
            (PULLS_AT_ORIGIN / (1 + zone.count())).clamp(1, MAX_PULLS_AT_ORIGIN)
        }
        Source::Agent(_) => MAX_PULLS_AT_AGENT,
    }
}
