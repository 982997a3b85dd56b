//! Start of a process without tables: it asks peers, then the platform, before it
//! serves.

use std::net::SocketAddr;

use crate::common;
use crate::table::sync::Action;
use crate::table::sync::Core;
use crate::table::sync::FetchKind;
use crate::table::sync::SyncMode;
use crate::time::Millis;

/// Number of peers asked at once.
const PEERS_ASKED: usize = 3;

/// Interval at which a process without tables asks another peer.
pub(super) const EMPTY_INTERVAL: Millis = Millis(1_000);

/// Longest time until the platform is read when no peer is known.
const ALONE_JITTER: Millis = Millis(200);

/// Time that peers get to answer before the platform is read.
const PEER_LEAD: Millis = Millis(1_000);

/// Longest time until a seed reads the platform. It is short, as other processes
/// get their tables from the seeds.
const SEED_JITTER: Millis = Millis(500);

/// Jitter of the first read of the platform.
///
/// When all of 2,400 processes restart without tables, their first reads are
/// distributed over this time, and most get their tables from a peer before.
const FLEET_JITTER: Millis = Millis(10_000);

/// Longest pause between reads of a process that gets no tables.
const MAX_RETRY_PAUSE: Millis = Millis(30_000);

common! { key
/// Where a process got its first tables.
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// From the peer at this address.
    Peer(SocketAddr),
    /// From the platform's configuration service.
    Platform,
}
}

/// Progress of the start.
#[derive(Clone, Debug, Default)]
pub(super) struct Start {
    /// Time of the first tick.
    pub began_at: Option<Millis>,
    /// Exchanges of the start that have not been answered yet.
    pub open_calls: Vec<u64>,
    /// When the platform is read if the process still has no tables.
    read_at: Millis,
    /// Times that the platform was due to be read.
    tries: u32,
    /// True once the process may serve; it stays true.
    pub ready: bool,
    /// Where the first set came from.
    pub source: Option<Source>,
}

impl Core {
    /// Asks peers and schedules the first read of the platform.
    pub(super) fn begin_start(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.start.began_at = Some(now);
        self.peers.start(now, &mut self.rng);
        self.choose_peers(now);
        self.schedule_isolated_read(now);
        if self.settings.sync_mode == SyncMode::Poll || self.peers.len() == 0 {
            self.start.read_at = now.plus(Millis(self.rng.u64(0..=ALONE_JITTER.0)));
            return;
        }
        let is_seed = self.settings.seeds.contains(&self.settings.addr);
        self.start.read_at = if is_seed {
            now.plus(Millis(self.rng.u64(SEED_JITTER.0 / 2..=SEED_JITTER.0)))
        } else {
            let jitter = self.rng.u64(0..=FLEET_JITTER.0);
            now.plus(PEER_LEAD).plus(Millis(jitter))
        };
        for to in self.peers.random_peers(PEERS_ASKED, &mut self.rng) {
            if let Some(call) = self.exchange(now, to, out) {
                self.start.open_calls.push(call);
            }
        }
    }

    /// Reads the platform if it is due and the process still has no tables.
    pub(super) fn start_tick(&mut self, now: Millis) {
        if self.active.set().is_none() && now >= self.start.read_at {
            let is_fetching = self.fetches[FetchKind::Tables as usize].is_open();
            if !is_fetching {
                self.request_reads(now);
            }
            let limit = (2_000 << self.start.tries.min(8)).min(MAX_RETRY_PAUSE.0);
            self.start.tries += 1;
            let pause = self.rng.u64(limit / 2..=limit);
            self.start.read_at = now.plus(Millis(pause));
        }
        self.check_ready();
    }

    /// Checks whether the process may serve: it has tables, each peer asked at the
    /// start has answered or timed out, and no greater set is being fetched.
    pub(super) fn check_ready(&mut self) {
        if self.start.ready || self.active.set().is_none() {
            return;
        }
        let is_fetching = self.fetches[FetchKind::Tables as usize].is_open();
        self.start.ready = self.start.open_calls.is_empty() && !is_fetching;
    }

    /// Requests a single read of each key.
    pub(super) fn request_reads(&mut self, now: Millis) {
        for watch in &mut self.watches {
            watch.read_once(now);
        }
    }
}
