//! The bounded set of peers of a process, and its open exchanges.

use std::net::SocketAddr;

use crate::member::FailureDetector;
use crate::member::Live;
use crate::table::TableSet;
use crate::table::sync::ANTI_ENTROPY;
use crate::table::sync::EXCHANGE_TIMEOUT;
use crate::time::Millis;

/// Number of peers in the own zone.
///
/// A random graph of this degree stays connected when a third of its nodes fail.
/// The number also bounds the connections that a process keeps.
const SAME_ZONE_PEERS: usize = 12;

/// Number of peers in other zones.
const OTHER_ZONE_PEERS: usize = 8;

/// Number of processes of other zones that are called now and then beside the
/// peers, whether they answer or not.
///
/// In a long network partition all peers on the other side are replaced, as they
/// do not answer. Calls to these processes reconnect the sides after its end.
const RECONNECT_COUNT: usize = 4;

/// One in this number of anti-entropy rounds calls such a process.
const RECONNECT_ROUNDS: u32 = 8;

/// Number of recent callers kept, to reach processes that no list names yet.
const MAX_RECENT: usize = 8;

/// Number of peers of the own zone that are notified of a change.
const NOTIFY_SAME_ZONE: usize = 3;

/// Number of peers of other zones that are notified of a change.
const NOTIFY_OTHER_ZONES: usize = 1;

/// Mean interval at which peers are chosen again and one in the own zone is
/// replaced, so that the graph of peers keeps changing.
const ROTATE_INTERVAL: Millis = Millis(60_000);

/// Failed calls since the last answer after which a peer is replaced.
const MAX_FAILURES: u32 = 3;

/// Maximum number of open exchanges.
const MAX_OPEN: usize = 64;

/// An exchange that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenExchange {
    pub call: u64,
    pub to: SocketAddr,
    pub sent: Millis,
}

/// Lists of processes that can be peers, and the address and zone of this process.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerSources<'a> {
    pub live: &'a Live,
    pub set: Option<&'a TableSet>,
    pub seeds: &'a [SocketAddr],
    pub zone: &'a str,
    pub own: SocketAddr,
}

/// Peers of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    same_zone: Vec<SocketAddr>,
    other_zones: Vec<SocketAddr>,
    /// Processes of other zones that are called beside the peers.
    reconnect: Vec<SocketAddr>,
    recent_callers: Vec<SocketAddr>,
    open_exchanges: Vec<OpenExchange>,
    next_round: Millis,
    next_rotate: Millis,
    /// True when processes failed or the tables changed since peers were chosen.
    is_changed: bool,
    /// True once peers come from the tables or the live list, not from the seeds.
    from_lists: bool,
}

impl Peers {
    /// Schedules the first round and the first choice of peers at random times, so
    /// that processes that start together do not act at the same time.
    pub fn start(&mut self, now: Millis, rng: &mut fastrand::Rng) {
        self.next_round = now.plus(Millis(rng.u64(0..=ANTI_ENTROPY.0)));
        self.next_rotate = now.plus(Millis(rng.u64(ROTATE_INTERVAL.0 / 2..=ROTATE_INTERVAL.0)));
    }

    /// Marks that the tables have changed or a peer fails, so that peers are chosen
    /// again at the next tick if there are few.
    pub fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns true when peers should be chosen again.
    pub fn is_choice_due(&self, now: Millis) -> bool {
        now >= self.next_rotate
            || (self.is_changed && self.same_zone.len() + self.other_zones.len() < SAME_ZONE_PEERS)
    }

    /// Chooses peers from the lists. Peers that are still listed and answer are
    /// kept.
    pub fn choose(
        &mut self,
        now: Millis,
        sources: PeerSources<'_>,
        detector: &FailureDetector,
        rng: &mut fastrand::Rng,
    ) {
        self.is_changed = false;
        let rotate = now >= self.next_rotate;
        if rotate {
            self.next_rotate = now.plus(Millis(
                rng.u64(ROTATE_INTERVAL.0 / 2..=ROTATE_INTERVAL.0 * 3 / 2),
            ));
        }
        if !self.from_lists && (sources.set.is_some() || !sources.live.vms.is_empty()) {
            // Otherwise all processes would keep the few seeds as peers.
            self.from_lists = true;
            self.same_zone.clear();
            self.other_zones.clear();
        }
        let (mut same_zone, mut other_zones) = candidates(sources);
        self.reconnect = rng.choose_multiple(other_zones.iter().copied(), RECONNECT_COUNT);
        refill(
            &mut self.same_zone,
            &mut same_zone,
            SAME_ZONE_PEERS,
            rotate,
            detector,
            rng,
        );
        refill(
            &mut self.other_zones,
            &mut other_zones,
            OTHER_ZONE_PEERS,
            false,
            detector,
            rng,
        );
    }

    /// Records a caller as a process that can be called.
    pub fn record_caller(&mut self, addr: SocketAddr) {
        if self.recent_callers.contains(&addr) {
            return;
        }
        if self.recent_callers.len() >= MAX_RECENT {
            self.recent_callers.remove(0);
        }
        self.recent_callers.push(addr);
    }

    /// Returns the number of peers.
    pub fn len(&self) -> usize {
        self.same_zone.len() + self.other_zones.len()
    }

    /// Iterates over the chosen peers, then the recent callers.
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let chosen = self.same_zone.iter().chain(&self.other_zones);
        chosen.chain(&self.recent_callers).copied()
    }

    /// Returns a random peer or recent caller. All recent callers together count as
    /// one peer.
    pub fn random_peer(&self, rng: &mut fastrand::Rng) -> Option<SocketAddr> {
        let count = self.len() + self.recent_callers.len().min(1);
        if count == 0 {
            return None;
        }
        let index = rng.usize(..count);
        if index >= self.len() {
            return Some(self.recent_callers[rng.usize(..self.recent_callers.len())]);
        }
        self.all().nth(index)
    }

    /// Returns up to `count` different peers and recent callers at random.
    pub fn random_peers(&self, count: usize, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.all().collect();
        all.sort_unstable();
        all.dedup();
        rng.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// Returns the peers to notify of a change that came from `source`.
    pub fn to_notify(
        &self,
        source: Option<SocketAddr>,
        detector: &FailureDetector,
        rng: &mut fastrand::Rng,
    ) -> Vec<SocketAddr> {
        let pick = |from: &[SocketAddr], count: usize, rng: &mut fastrand::Rng| {
            let is_fit =
                |addr: &&SocketAddr| Some(**addr) != source && !detector.is_suspected(**addr);
            let fit: Vec<SocketAddr> = from.iter().filter(is_fit).copied().collect();
            rng.choose_multiple(fit, count)
        };
        let mut chosen = pick(&self.same_zone, NOTIFY_SAME_ZONE, rng);
        chosen.extend(pick(&self.other_zones, NOTIFY_OTHER_ZONES, rng));
        chosen
    }

    /// Returns the process to call in a round of anti-entropy, if one is due.
    pub fn round_peer(
        &mut self,
        now: Millis,
        interval: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        if now < self.next_round {
            return None;
        }
        // Jitter around the interval keeps the rounds of processes apart.
        let tenth = interval.0 / 10;
        self.next_round = now.plus(Millis(interval.0 - tenth + rng.u64(0..=2 * tenth)));
        if !self.reconnect.is_empty() && rng.u32(..RECONNECT_ROUNDS) == 0 {
            return Some(self.reconnect[rng.usize(..self.reconnect.len())]);
        }
        self.random_peer(rng)
    }

    /// Records a new exchange. Returns false when one with this peer is open
    /// already, or too many are.
    pub fn open(&mut self, open: OpenExchange) -> bool {
        let is_open = self.open_exchanges.iter().any(|o| o.to == open.to);
        if is_open || self.open_exchanges.len() >= MAX_OPEN {
            return false;
        }
        self.open_exchanges.push(open);
        true
    }

    /// Removes and returns the open exchange with this number.
    pub fn close(&mut self, call: u64) -> Option<OpenExchange> {
        let index = self
            .open_exchanges
            .iter()
            .position(|open| open.call == call)?;
        Some(self.open_exchanges.swap_remove(index))
    }

    /// Removes and returns the exchanges that have timed out.
    pub fn expire(&mut self, now: Millis) -> Vec<OpenExchange> {
        let is_late = |open: &OpenExchange| now.since(open.sent) > EXCHANGE_TIMEOUT;
        let expired: Vec<OpenExchange> = self
            .open_exchanges
            .iter()
            .copied()
            .filter(is_late)
            .collect();
        self.open_exchanges.retain(|open| !is_late(open));
        expired
    }

    /// Drops all open exchanges, after a pause of this process.
    pub fn clear_open(&mut self) {
        self.open_exchanges.clear();
    }
}

/// Returns all processes that can be peers: those of the own zone, and the others.
fn candidates(sources: PeerSources<'_>) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let mut same_zone = Vec::new();
    let mut other_zones = Vec::new();
    let mut add = |addr: SocketAddr, zone: &str| {
        if addr == sources.own {
            return;
        }
        if zone == sources.zone {
            same_zone.push(addr);
        } else {
            other_zones.push(addr);
        }
    };
    for vm in sources.live.vms.values() {
        add(vm.rpc, &vm.zone);
    }
    if let Some(set) = sources.set {
        let pools = set.pools.pools.values();
        for upstream in pools.flat_map(|pool| pool.upstreams.values()) {
            add(upstream.rpc, &upstream.zone);
        }
    }
    for list in [&mut same_zone, &mut other_zones] {
        list.sort_unstable();
        list.dedup();
    }
    // The zone of a seed is unknown; one that no list names counts as another zone.
    for seed in sources.seeds {
        let is_listed = same_zone.binary_search(seed).is_ok() || other_zones.contains(seed);
        if *seed != sources.own && !is_listed {
            other_zones.push(*seed);
        }
    }
    (same_zone, other_zones)
}

/// Drops peers that are no longer candidates or do not answer, and one more if
/// `rotate` is set, then adds random candidates up to `count` peers.
fn refill(
    chosen: &mut Vec<SocketAddr>,
    candidates: &mut [SocketAddr],
    count: usize,
    rotate: bool,
    detector: &FailureDetector,
    rng: &mut fastrand::Rng,
) {
    chosen.retain(|addr| candidates.contains(addr) && detector.failures(*addr) < MAX_FAILURES);
    if rotate && chosen.len() >= count {
        chosen.swap_remove(rng.usize(..chosen.len()));
    }
    // The number of draws is bounded. Few candidates are all tried, in random order.
    let draws = if candidates.len() <= 2 * count {
        rng.shuffle(candidates);
        candidates.len()
    } else {
        8 * count
    };
    for draw in 0..draws {
        if chosen.len() >= count {
            return;
        }
        let index = if candidates.len() <= 2 * count {
            draw
        } else {
            rng.usize(..candidates.len())
        };
        if !chosen.contains(&candidates[index]) {
            chosen.push(candidates[index]);
        }
    }
}
