//! Planner: decides which chunk to pull from which source.
//!
//! Chunks are divided into stripes. For each stripe, the members of a zone, a
//! region and the whole pool are ordered by rendezvous rank. The first member
//! of a zone brings the stripe into its zone, the first of a region into its
//! region, and the first of all from the origin. Inside a zone, every member
//! pulls from a few neighbours. A pull names all chunks that would do and the
//! source picks the one it has sent least, so that no member needs to know
//! what others hold.

mod act;
mod item;
mod peer;
mod pull;
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
    /// From the parent in a tree per stripe with this fan-out; 1 makes a chain.
    Tree(usize),
    /// Each member from the origin; a baseline.
    Direct,
}
}

common! { value
/// Bounds and times of a planner.
pub struct Settings {
    /// How chunks spread inside a zone.
    pub topology: Topology,
    /// Pulls outstanding inside the zone.
    pub zone_pulls: usize,
    /// Pulls outstanding at one source.
    pub source_pulls: usize,
    /// Members of the zone that are pulled from.
    pub neighbours: usize,
    /// Stripes into which a version is divided.
    pub stripes: usize,
    /// Pulls outstanding from outside the zone for each stripe.
    pub stripe_pulls: usize,
    /// Pulls outstanding from the origin.
    pub origin_pulls: usize,
    /// Time that a pull may wait at its source.
    pub wait: Millis,
    /// Time without progress, beyond the wait, after which a source is avoided.
    pub stall_timeout: Millis,
    /// Time without news of a stripe after which the next rank fetches it.
    pub takeover: Millis,
    /// First time for which a stalled source is avoided; doubles each time.
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
    /// The agent of a member.
    Peer(Key<Peer>),
    /// The origin of weights.
    Origin,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// The pool names this version, or none.
    Target(Option<Digest>),
    /// The members of the pool that are live, without this one.
    Members(Vec<Member>),
    /// Bytes of a pull arrived.
    Progress(u64),
    /// The first bytes of a pull arrived; its source sends this chunk.
    Started(u64, Digest),
    /// A pull ended with a whole chunk.
    Arrived(u64, Blob),
    /// The source of a pull holds nothing of what was asked, or has no room.
    Unavailable(u64),
    /// A pull broke.
    Failed(u64),
}

/// What is to be done outside.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a pull.
    Pull(NewPull),
    /// Stop a pull; events of it that still arrive are ignored.
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
    /// Where it goes.
    pub source: Source,
    /// Chunks that would do; just one for the origin.
    pub wanted: Vec<Digest>,
    /// Time that the source may wait until it holds one of them.
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
    /// Bytes of whole chunks that were already held.
    pub wasted: u64,
    /// Chunks and manifests with a wrong digest.
    pub corrupt: u64,
    /// Pulls stopped because another one already brings the same chunk.
    pub doubled: u64,
    /// Pulls given up without progress.
    pub stalled: u64,
    /// Times that this member fetched a stripe in place of a silent one.
    pub takeovers: u64,
}
}

/// Planner of one agent.
#[derive(Debug)]
pub struct Planner {
    me: Member,
    settings: Settings,
    rng: fastrand::Rng,
    store: ChunkStore,
    target: Option<Digest>,
    manifest: Option<Manifest>,
    refused: bool,
    ready: bool,
    items: Items,
    peers: Arena<Peer>,
    names: IndexMap<String, Key<Peer>>,
    neighbours: Vec<Key<Peer>>,
    stripes: Vec<Stripe>,
    pulls: IndexMap<u64, Pull>,
    next: u64,
    ticked: Millis,
    stats: Stats,
}

impl Planner {
    /// A planner for the member `me` with `staging` bytes of memory for chunks.
    pub fn new(me: Member, settings: Settings, staging: u64, seed: u64) -> Planner {
        assert!(settings.stripes > 0, "a version has at least one stripe");
        Planner {
            me,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            store: ChunkStore::new(staging),
            target: None,
            manifest: None,
            refused: false,
            ready: false,
            items: Items::default(),
            peers: Arena::default(),
            names: IndexMap::new(),
            neighbours: Vec::new(),
            stripes: Vec::new(),
            pulls: IndexMap::new(),
            next: 0,
            ticked: Millis(0),
            stats: Stats::default(),
        }
    }

    /// Takes in what happened and appends what is to be done.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Target(target) => self.retarget(now, target, out),
            Event::Members(members) => self.roster(now, members, out),
            Event::Progress(id) => self.progress(now, id),
            Event::Started(id, digest) => self.started(now, id, digest, out),
            Event::Arrived(id, whole) => self.arrived(now, id, whole, out),
            Event::Unavailable(id) => self.nothing(now, id),
            Event::Failed(id) => self.failed(now, id),
        }
        self.fill(now, out);
    }

    /// Gives up pulls without progress and starts what became possible.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.expire(now, out);
        self.fill(now, out);
    }

    /// The chunk store.
    pub fn store(&self) -> &ChunkStore {
        &self.store
    }

    /// The version that is wanted.
    pub fn target(&self) -> Option<Digest> {
        self.target
    }

    /// The manifest of the wanted version, once it is held.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// The wanted version, when the manifest and all chunks are held and verified.
    pub fn ready(&self) -> Option<Digest> {
        self.target.filter(|_| self.ready)
    }

    /// This member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// True when this version's manifest and all its chunks are held and verified.
    pub fn is_whole(&self, version: Digest) -> bool {
        let Some(bytes) = self.store.get(version) else {
            return false;
        };
        Manifest::parse(bytes, version).is_ok_and(|m| self.store.holds(&m))
    }

    /// Notes that bytes of a pull arrived; cheaper than the event.
    pub fn progress(&mut self, now: Millis, id: u64) {
        if let Some(pull) = self.pulls.get_mut(&id) {
            pull.progress = now;
            pull.started = true;
        }
    }

    /// Chunks held and chunks in all of the wanted version.
    pub fn counts(&self) -> (usize, usize) {
        (self.items.held(), self.items.len())
    }

    /// Counters since start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The member behind `key`, while it is on the roster.
    pub fn peer(&self, key: Key<Peer>) -> Option<&Member> {
        self.peers.get(key).map(|peer| &peer.member)
    }

    /// Pulls outstanding.
    pub fn pulls(&self) -> usize {
        self.pulls.len()
    }
}
