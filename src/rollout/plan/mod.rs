//! Planner: decides which chunk of a version to pull from which source.
//!
//! The chunks are divided into stripes. For each stripe, the members of a zone, a
//! region and the whole pool are ordered by their rendezvous ranks. The first member
//! of a zone brings the stripe into its zone, the first of a region into its
//! region, and the first of the pool pulls it from the origin. Inside a zone, every
//! member pulls from a few other members, its neighbours. A pull names all chunks that
//! are welcome, and the source sends the one that it has sent least often, so that no
//! member needs to know what others hold.

mod item;
mod peer;
mod pull;
mod schedule;
mod stripe;

use indexmap::IndexMap;

use crate::arena::Arena;
use crate::arena::Key;
use crate::common;
use crate::error::Error;
use crate::rollout::manifest::Digest;
use crate::rollout::manifest::Manifest;
use crate::rollout::plan::item::Items;
use crate::rollout::plan::stripe::Stripe;
use crate::rollout::store::Blob;
use crate::rollout::store::ChunkStore;
use crate::time::Millis;

pub use crate::rollout::plan::peer::Member;
pub use crate::rollout::plan::peer::Peer;
pub use crate::rollout::plan::pull::Pull;

common! { key
/// How members of a zone get a stripe that is already in the zone.
pub enum Topology {
    /// From any of a few neighbours.
    Swarm,
    /// From the parent in a tree with this fan-out, one tree for each stripe; 1 makes a
    /// chain.
    Tree(usize),
    /// Every member pulls everything from the origin; a baseline for benchmarks.
    Direct,
}
}

common! { value
/// Limits and times of a planner.
pub struct Settings {
    /// How chunks spread inside a zone.
    pub topology: Topology,
    /// Most pulls outstanding inside the zone.
    pub zone_pulls: usize,
    /// Most pulls outstanding at one member of the zone.
    pub source_pulls: usize,
    /// Number of members of the zone from which this one pulls.
    pub neighbours: usize,
    /// Number of stripes into which a version is divided; at least 1.
    pub stripes: usize,
    /// Most pulls outstanding from outside the zone, for each stripe.
    pub stripe_pulls: usize,
    /// Most pulls outstanding from the origin.
    pub origin_pulls: usize,
    /// Time for which a pull may wait at a source that holds none of the wanted chunks.
    pub wait: Millis,
    /// Time without progress, beyond `wait`, after which a pull is given up and its source
    /// avoided.
    pub stall_timeout: Millis,
    /// Time without a chunk of a stripe after which the member of the next rank fetches the
    /// stripe.
    pub takeover: Millis,
    /// Time for which a source is avoided after its first failure; doubles with each
    /// further one.
    pub avoid_time: Millis,
}
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            topology: Topology::Swarm,
            zone_pulls: 16,
            source_pulls: 3,
            neighbours: 16,
            stripes: 8,
            stripe_pulls: 1,
            origin_pulls: 4,
            wait: Millis(500),
            stall_timeout: Millis(1_500),
            takeover: Millis(2_000),
            avoid_time: Millis(4_000),
        }
    }
}

/// Where a pull goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The agent of another member.
    Peer(Key<Peer>),
    /// The origin of weights.
    Origin,
}

/// Input of the planner; numbers are those of pulls.
#[derive(Clone, Debug)]
pub enum Event {
    /// The tables name this version for the pool, or none.
    Target(Option<Digest>),
    /// The live members of the pool, without this one.
    Members(Vec<Member>),
    /// Bytes of a pull have arrived.
    Progress(u64),
    /// The first bytes of a pull have arrived; the source has chosen to send this chunk.
    FirstBytes(u64, Digest),
    /// A pull has ended with complete content.
    Arrived(u64, Blob),
    /// The source of a pull holds none of the wanted chunks, or has too many pulls.
    Unavailable(u64),
    /// A pull has failed.
    Failed(u64),
}

/// Output of the planner, for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a pull.
    Pull(NewPull),
    /// Stop a pull; the planner ignores events of it that still arrive.
    Cancel(u64),
    /// The manifest and every chunk of this version are held and verified.
    Ready(Digest),
    /// The version cannot be fetched.
    Refused(Digest, Error),
}

common! { value
/// A pull to start.
pub struct NewPull {
    /// Its number, never used again.
    pub id: u64,
    /// Where to pull from.
    pub source: Source,
    /// Chunks of which the source may send any; just one for the origin.
    pub wanted: Vec<Digest>,
    /// Time for which the source may wait until it holds one of them.
    pub wait: Millis,
    /// Longest content that may arrive, in bytes.
    pub limit: u64,
}
}

common! { value
/// Counters since start.
#[derive(Default, serde::Serialize)]
pub struct Stats {
    /// Bytes of chunks accepted.
    pub accepted: u64,
    /// Bytes of complete chunks that were held already.
    pub wasted: u64,
    /// Number of chunks and manifests with a wrong digest.
    pub corrupt: u64,
    /// Number of pulls stopped because another one already brings the same chunk.
    pub doubled: u64,
    /// Number of pulls given up for lack of progress.
    pub stalled: u64,
    /// Number of times that this member took over the fetching of a stripe from another.
    pub takeovers: u64,
}
}

/// Planner of one agent; holds its chunk store and the state of its pulls.
#[derive(Debug)]
pub struct Planner {
    me: Member,
    settings: Settings,
    rng: fastrand::Rng,
    store: ChunkStore,
    target: Option<Digest>,
    manifest: Option<Manifest>,
    is_refused: bool,
    is_ready: bool,
    items: Items,
    peers: Arena<Peer>,
    peer_keys: IndexMap<String, Key<Peer>>,
    neighbours: Vec<Key<Peer>>,
    stripes: Vec<Stripe>,
    pulls: IndexMap<u64, Pull>,
    next_id: u64,
    last_tick: Millis,
    stats: Stats,
}

impl Planner {
    /// Creates a planner for the member `me` with `staging` bytes of memory for chunks.
    ///
    /// `seed` makes its random choices repeatable.
    ///
    /// # Panics
    ///
    /// When the settings have no stripe.
    pub fn new(me: Member, settings: Settings, staging: u64, seed: u64) -> Planner {
        assert!(settings.stripes > 0, "a version has at least one stripe");
        Planner {
            me,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            store: ChunkStore::new(staging),
            target: None,
            manifest: None,
            is_refused: false,
            is_ready: false,
            items: Items::default(),
            peers: Arena::default(),
            peer_keys: IndexMap::new(),
            neighbours: Vec::new(),
            stripes: Vec::new(),
            pulls: IndexMap::new(),
            next_id: 0,
            last_tick: Millis(0),
            stats: Stats::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Target(target) => self.set_target(now, target, out),
            Event::Members(members) => self.set_members(now, members, out),
            Event::Progress(id) => self.record_progress(now, id),
            Event::FirstBytes(id, digest) => self.on_first_bytes(now, id, digest, out),
            Event::Arrived(id, blob) => self.on_arrived(now, id, blob, out),
            Event::Unavailable(id) => self.on_unavailable(now, id),
            Event::Failed(id) => self.on_failed(now, id),
        }
        self.start_pulls(now, out);
    }

    /// Gives up pulls without progress and starts those that have become possible; to be
    /// called regularly.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.cancel_stalled(now, out);
        self.start_pulls(now, out);
    }

    /// The chunk store.
    pub fn store(&self) -> &ChunkStore {
        &self.store
    }

    /// The wanted version, by the digest of its manifest.
    pub fn target(&self) -> Option<Digest> {
        self.target
    }

    /// The manifest of the wanted version, once it is held.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// The wanted version, once its manifest and all its chunks are held and verified.
    pub fn ready(&self) -> Option<Digest> {
        self.target.filter(|_| self.is_ready)
    }

    /// This member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// True when the manifest and all chunks of this version are held and verified.
    pub fn is_complete(&self, version: Digest) -> bool {
        let Some(bytes) = self.store.get(version) else {
            return false;
        };
        Manifest::parse(bytes, version).is_ok_and(|m| self.store.holds(&m))
    }

    /// Records that bytes of a pull have arrived; cheaper than [`Event::Progress`], which
    /// also starts pulls.
    pub fn record_progress(&mut self, now: Millis, id: u64) {
        if let Some(pull) = self.pulls.get_mut(&id) {
            pull.progress_at = now;
            pull.receiving = true;
        }
    }

    /// Number of chunks of the wanted version that are held, and of all its chunks.
    pub fn counts(&self) -> (usize, usize) {
        (self.items.held(), self.items.len())
    }

    /// Counters since start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The member with this key; none once it is no longer live.
    pub fn peer(&self, key: Key<Peer>) -> Option<&Member> {
        self.peers.get(key).map(|peer| &peer.member)
    }

    /// Number of pulls outstanding.
    pub fn pulls(&self) -> usize {
        self.pulls.len()
    }
}
