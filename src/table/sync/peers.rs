//! The bounded set of peers, and exchanges in progress.

use std::net::SocketAddr;

use crate::member::FailureDetector;
use crate::member::Live;
use crate::table::TableSet;
use crate::table::sync::ANTI_ENTROPY;
use crate::table::sync::EXCHANGE_TIMEOUT;
use crate::time::Millis;

/// Peers in the own zone.
///
/// A random graph of this degree stays connected with a third of its nodes
/// gone, and bounds the connections that a process keeps.
const INSIDE: usize = 12;

/// Peers in other zones.
const OUTSIDE: usize = 8;

/// Processes of other zones kept beside the peers, whether they answer or not.
///
/// In a long partition peers that don't answer are all replaced by ones on
/// the same side; these links find the other side when it is back.
const FAR: usize = 4;

/// Share of rounds, one in this number, that go to a far process.
const FAR_ROUNDS: u32 = 8;

/// Callers remembered, as a way to processes that no list names yet.
const RECENT: usize = 8;

/// Peers of the own zone notified of a change.
const NOTIFY_INSIDE: usize = 3;

/// Peers of other zones notified of a change.
const NOTIFY_OUTSIDE: usize = 1;

/// Interval at which one peer inside and one outside is replaced, so that the graph mixes.
const ROTATE: Millis = Millis(60_000);

/// Misses in a row after which a peer is replaced.
const MAX_MISSES: u32 = 3;

/// Exchanges in progress.
const MAX_OPEN: usize = 64;

/// An exchange without an answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Open {
    pub call: u64,
    pub to: SocketAddr,
    pub sent: Millis,
}

/// Where candidates come from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lists<'a> {
    pub live: &'a Live,
    pub set: Option<&'a TableSet>,
    pub seeds: &'a [SocketAddr],
    pub zone: &'a str,
    pub own: SocketAddr,
}

/// Peers of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    inside: Vec<SocketAddr>,
    outside: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    recent: Vec<SocketAddr>,
    open: Vec<Open>,
    next_round: Millis,
    next_rotate: Millis,
    dirty: bool,
    /// Peers come from tables or live list, no longer from the seeds.
    listed: bool,
}

impl Peers {
    /// Schedules the first round and rotation at random, so that processes
    /// that start together do not stay in step.
    pub fn begin(&mut self, now: Millis, rng: &mut fastrand::Rng) {
        self.next_round = now.plus(Millis(rng.u64(0..=ANTI_ENTROPY.0)));
        self.next_rotate = now.plus(Millis(rng.u64(ROTATE.0 / 2..=ROTATE.0)));
    }

    /// Lists have changed; peers are chosen anew with the next rotation.
    pub fn mark(&mut self) {
        self.dirty = true;
    }

    /// True when the peers should be chosen anew.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.next_rotate || (self.dirty && self.inside.len() + self.outside.len() < INSIDE)
    }

    /// Chooses peers from the lists and keeps those that still stand there.
    pub fn choose(
        &mut self,
        now: Millis,
        lists: Lists<'_>,
        detector: &FailureDetector,
        rng: &mut fastrand::Rng,
    ) {
        self.dirty = false;
        let rotate = now >= self.next_rotate;
        if rotate {
            self.next_rotate = now.plus(Millis(rng.u64(ROTATE.0 / 2..=ROTATE.0 * 3 / 2)));
        }
        if !self.listed && (lists.set.is_some() || !lists.live.vms.is_empty()) {
            // Else all processes would keep the few seeds as peers.
            self.listed = true;
            self.inside.clear();
            self.outside.clear();
        }
        let (mut inside, mut outside) = candidates(lists);
        self.far = rng.choose_multiple(outside.iter().copied(), FAR);
        fill(&mut self.inside, &mut inside, INSIDE, rotate, detector, rng);
        fill(
            &mut self.outside,
            &mut outside,
            OUTSIDE,
            false,
            detector,
            rng,
        );
    }

    /// Remembers a caller.
    pub fn note_caller(&mut self, addr: SocketAddr) {
        if self.recent.contains(&addr) {
            return;
        }
        if self.recent.len() >= RECENT {
            self.recent.remove(0);
        }
        self.recent.push(addr);
    }

    /// Number of peers.
    pub fn len(&self) -> usize {
        self.inside.len() + self.outside.len()
    }

    /// All peers, chosen ones first.
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let chosen = self.inside.iter().chain(&self.outside);
        chosen.chain(&self.recent).copied()
    }

    /// One peer at random, a recent caller among them.
    pub fn any(&self, rng: &mut fastrand::Rng) -> Option<SocketAddr> {
        let count = self.len() + self.recent.len().min(1);
        if count == 0 {
            return None;
        }
        let turn = rng.usize(..count);
        if turn >= self.len() {
            return Some(self.recent[rng.usize(..self.recent.len())]);
        }
        self.all().nth(turn)
    }

    /// Up to `count` different peers at random.
    pub fn some(&self, count: usize, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.all().collect();
        all.sort_unstable();
        all.dedup();
        rng.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// The peers to notify of a change that came from `source`.
    pub fn to_notify(
        &self,
        source: Option<SocketAddr>,
        detector: &FailureDetector,
        rng: &mut fastrand::Rng,
    ) -> Vec<SocketAddr> {
        let pick = |from: &[SocketAddr], count: usize, rng: &mut fastrand::Rng| {
            let fit = |addr: &&SocketAddr| Some(**addr) != source && !detector.is_suspected(**addr);
            let fit: Vec<SocketAddr> = from.iter().filter(fit).copied().collect();
            rng.choose_multiple(fit, count)
        };
        let mut chosen = pick(&self.inside, NOTIFY_INSIDE, rng);
        chosen.extend(pick(&self.outside, NOTIFY_OUTSIDE, rng));
        chosen
    }

    /// The peer of the next anti-entropy round, if it is due.
    pub fn round(
        &mut self,
        now: Millis,
        interval: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        if now < self.next_round {
            return None;
        }
        // The mean stays at the interval; jitter keeps rounds from falling into step.
        let tenth = interval.0 / 10;
        self.next_round = now.plus(Millis(interval.0 - tenth + rng.u64(0..=2 * tenth)));
        if !self.far.is_empty() && rng.u32(..FAR_ROUNDS) == 0 {
            return Some(self.far[rng.usize(..self.far.len())]);
        }
        self.any(rng)
    }

    /// Notes an exchange; false when it is in progress or too many are.
    pub fn open(&mut self, open: Open) -> bool {
        let known = self.open.iter().any(|o| o.to == open.to);
        if known || self.open.len() >= MAX_OPEN {
            return false;
        }
        self.open.push(open);
        true
    }

    /// Ends the exchange of this number.
    pub fn close(&mut self, call: u64) -> Option<Open> {
        let place = self.open.iter().position(|open| open.call == call)?;
        Some(self.open.swap_remove(place))
    }

    /// Ends the exchanges that have timed out.
    pub fn expire(&mut self, now: Millis) -> Vec<Open> {
        let late = |open: &Open| now.since(open.sent) > EXCHANGE_TIMEOUT;
        let expired: Vec<Open> = self.open.iter().copied().filter(late).collect();
        self.open.retain(|open| !late(open));
        expired
    }

    /// Forgets all exchanges, after a pause.
    pub fn clear_open(&mut self) {
        self.open.clear();
    }
}

/// Other processes of the own zone and of other zones.
fn candidates(lists: Lists<'_>) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let mut inside = Vec::new();
    let mut outside = Vec::new();
    let mut add = |addr: SocketAddr, zone: &str| {
        if addr == lists.own {
            return;
        }
        if zone == lists.zone {
            inside.push(addr);
        } else {
            outside.push(addr);
        }
    };
    for vm in lists.live.vms.values() {
        add(vm.rpc, &vm.zone);
    }
    if let Some(set) = lists.set {
        let pools = set.pools.pools.values();
        for upstream in pools.flat_map(|pool| pool.upstreams.values()) {
            add(upstream.rpc, &upstream.zone);
        }
    }
    for list in [&mut inside, &mut outside] {
        list.sort_unstable();
        list.dedup();
    }
    // Seeds carry no zone; those that no list names are taken as outside.
    for seed in lists.seeds {
        let listed = inside.binary_search(seed).is_ok() || outside.contains(seed);
        if *seed != lists.own && !listed {
            outside.push(*seed);
        }
    }
    (inside, outside)
}

/// Keeps held peers that are still candidates and progress, then fills up at random.
fn fill(
    held: &mut Vec<SocketAddr>,
    candidates: &mut [SocketAddr],
    count: usize,
    rotate: bool,
    detector: &FailureDetector,
    rng: &mut fastrand::Rng,
) {
    held.retain(|addr| candidates.contains(addr) && detector.failures(*addr) < MAX_MISSES);
    if rotate && held.len() >= count {
        held.swap_remove(rng.usize(..held.len()));
    }
    // A bounded number of draws: with few candidates, all are taken below.
    let draws = if candidates.len() <= 2 * count {
        rng.shuffle(candidates);
        candidates.len()
    } else {
        8 * count
    };
    for turn in 0..draws {
        if held.len() >= count {
            return;
        }
        let place = if candidates.len() <= 2 * count {
            turn
        } else {
            rng.usize(..candidates.len())
        };
        if !held.contains(&candidates[place]) {
            held.push(candidates[place]);
        }
    }
}
