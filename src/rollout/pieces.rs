//! Pieces of a version: which are held, and where each missing one comes from.
//!
//! Answers the load pattern of a new version that every agent wants at once
//! over narrow links, and of new upstreams that want the old one. For each
//! piece the agents form a tree: the origin gives it to one agent of its zone,
//! that one to an agent of the next zone and so on, and each of these to the
//! rest of its zone. So a piece leaves the origin once, enters each zone once,
//! and no zone's links carry the copies of all others.

use crate::prelude::*;
use crate::rollout::manifest::Digest;
use crate::rollout::rank;

/// Time after which a piece is asked of any holder, also in other zones.
const TREE_TIMEOUT: Millis = Millis(1_500);

/// Time without any new piece after which missing ones are asked of the origin
/// too, whoever should give them.
///
/// Counted from the last piece and not from the start: after an outage of the
/// origin, all agents would otherwise draw everything from it at once.
const STALL_TIMEOUT: Millis = Millis(3_000);

/// Time without a new piece after which an older version goes on meanwhile.
const STUCK: Millis = Millis(1_000);

/// Pulls in progress at once. A pull waits at its source until the source has
/// the piece, so most of them cost nothing.
const MAX_PULLS: usize = 10;

/// Pulls in progress at one agent.
const MAX_AT_AGENT: usize = 3;

/// Pulls in progress at the origin, whose link all agents share.
const MAX_AT_ORIGIN: usize = 2;

/// Time for which an agent that failed is not asked again.
const SOURCE_PAUSE: Millis = Millis(1_000);

/// Time for which the origin is not asked again after a failure; nobody else
/// has what it has.
const ORIGIN_PAUSE: Millis = Millis(200);

/// Pulls of a piece that may find their source without it.
const MAX_ABSENT: u32 = 2;

/// Name of the origin among the paused sources; no VM has an empty name.
const ORIGIN: &str = "";

common! { value
/// PieceDigests of all pieces of a version.
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
/// An agent that may give pieces.
pub struct Holder {
    /// Name of its VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// True when it has said that it holds every piece of the version.
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
    /// Number of the piece.
    pub index: u32,
    /// Who is asked.
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
    /// The other agents.
    pub others: Vec<Holder>,
}

impl Group {
    /// The agent of a zone that gets a piece first, among those that can be asked.
    fn head(&self, zone: &str, key: &str, is_open: &dyn Fn(&str) -> bool) -> Option<&str> {
        let others = self.others.iter().filter(|h| h.zone == zone);
        let names = others.map(|h| h.name.as_str()).filter(|name| is_open(name));
        let own = (self.zone == zone).then_some(self.name.as_str());
        names.chain(own).min_by_key(|name| rank::weight(key, name))
    }

    /// Zone that gives the own zone its copy; none for the one that draws from
    /// the origin.
    fn zone_before(&self) -> Option<&str> {
        let others = self.others.iter().map(|h| h.zone.as_str());
        let zones = others.chain([self.zone.as_str()]);
        let mut zones: Vec<&str> = zones.collect();
        zones.sort_unstable_by_key(|zone| (*zone != self.origin_zone, *zone));
        zones.dedup();
        let own = zones.iter().position(|zone| *zone == self.zone)?;
        zones.get(own.checked_sub(1)?).copied()
    }

    /// The place in the tree that gives this agent a piece.
    fn parent(&self, key: &str, is_open: &dyn Fn(&str) -> bool) -> Source {
        match self.head(&self.zone, key, is_open) {
            Some(head) if head != self.name => return Source::Agent(head.to_string()),
            _ => {}
        }
        let before = self.zone_before();
        match before.and_then(|zone| self.head(zone, key, is_open)) {
            Some(head) => Source::Agent(head.to_string()),
            None => Source::Origin,
        }
    }
}

/// The pieces of the version that an agent wants.
#[derive(Clone, Debug)]
pub struct Pieces {
    digests: PieceDigests,
    held: Vec<Option<Bytes>>,
    pulls: IndexMap<u32, (Source, Millis)>,
    /// Sources that failed, with the end of their pause.
    paused: IndexMap<String, Millis>,
    /// Pulls that found their source without the piece.
    absents: IndexMap<u32, u32>,
    since: Millis,
    /// When the last piece came.
    progress: Millis,
}

impl Pieces {
    /// No piece is held yet; the version is wanted from `now` on.
    pub fn new(digests: PieceDigests, now: Millis) -> Pieces {
        let count = digests.pieces.len();
        Pieces {
            digests,
            held: vec![None; count],
            pulls: IndexMap::new(),
            paused: IndexMap::new(),
            absents: IndexMap::new(),
            since: now,
            progress: now,
        }
    }

    /// What is wanted.
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

    /// Time since the version was wanted.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.since(self.since)
    }

    /// True while pieces are missing and none has come for some time.
    pub fn is_stuck(&self, now: Millis) -> bool {
        !self.is_complete() && now.since(self.progress) >= STUCK
    }

    /// A piece that is held.
    pub fn get(&self, index: u32) -> Option<&Bytes> {
        self.held.get(index as usize)?.as_ref()
    }

    /// True when `bytes` is the content of the piece.
    pub fn matches(&self, index: u32, bytes: &Bytes) -> bool {
        self.digests
            .pieces
            .get(index as usize)
            .is_some_and(|digest| Digest::of(bytes) == *digest)
    }

    /// Takes a piece; false when its content is wrong.
    pub fn insert(&mut self, now: Millis, index: u32, bytes: Bytes) -> bool {
        self.pulls.swap_remove(&index);
        if !self.matches(index, &bytes) {
            return false;
        }
        self.held[index as usize] = Some(bytes);
        self.progress = now;
        true
    }

    /// Counts a pull whose source does not have the piece yet.
    ///
    /// A source that still lacks it at the second time may never get it, so
    /// its place in the tree is left out for a while.
    pub fn source_lacks(&mut self, now: Millis, index: u32) {
        let source = self.pulls.swap_remove(&index).map(|(source, _)| source);
        let count = self.absents.entry(index).or_insert(0);
        *count += 1;
        if *count < MAX_ABSENT {
            return;
        }
        *count = 0;
        if let Some(Source::Agent(name)) = source {
            self.paused.insert(name, now.plus(SOURCE_PAUSE));
        }
    }

    /// Counts a pull whose source failed or gave the wrong bytes.
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

    /// Pulls to start now.
    pub fn start_pulls(&mut self, now: Millis, group: &Group) -> Vec<Pull> {
        self.paused.retain(|_, until| *until > now);
        let mut started = Vec::new();
        let missing: Vec<u32> = (0..self.held.len() as u32)
            .filter(|i| self.held[*i as usize].is_none() && !self.pulls.contains_key(i))
            .collect();
        let mut wanted: Vec<(bool, u64, u32, Source)> = Vec::new();
        for index in missing {
            let source = self.source(now, group, index);
            let key = self.key(index);
            // Pieces that others wait for come first; the rest in an order of one's own.
            let leads = group.head(&group.zone, &key, &|_| true) == Some(group.name.as_str());
            wanted.push((!leads, rank::weight(&key, &group.name), index, source));
        }
        wanted.sort_by_key(|wanted| (wanted.0, wanted.1));
        for (_, _, index, source) in wanted {
            if self.pulls.len() >= MAX_PULLS {
                break;
            }
            if source == Source::Origin && self.paused.contains_key(ORIGIN) {
                continue;
            }
            let asked = self.pulls.values().filter(|(s, _)| *s == source).count();
            if asked >= self.most(&source) {
                continue;
            }
            self.pulls.insert(index, (source.clone(), now));
            started.push(Pull { index, source });
        }
        started
    }

    fn most(&self, source: &Source) -> usize {
        match source {
            Source::Origin => MAX_AT_ORIGIN,
            Source::Agent(_) => MAX_AT_AGENT,
        }
    }

    fn key(&self, index: u32) -> String {
        format!("{}/{}/{index}", self.digests.model, self.digests.version)
    }

    fn source(&self, now: Millis, group: &Group, index: u32) -> Source {
        let key = self.key(index);
        let waited = now.since(self.since);
        let is_open = |name: &str| !self.paused.contains_key(name);
        let near = group
            .others
            .iter()
            .filter(|h| h.complete && is_open(&h.name))
            .min_by_key(|h| (h.zone != group.zone, rank::weight(&key, &h.name)));
        if let Some(holder) = near
            && (holder.zone == group.zone || waited >= TREE_TIMEOUT)
        {
            return Source::Agent(holder.name.clone());
        }
        if now.since(self.progress) >= STALL_TIMEOUT {
            return match near {
                Some(holder) => Source::Agent(holder.name.clone()),
                None => Source::Origin,
            };
        }
        group.parent(&key, &is_open)
    }
}
