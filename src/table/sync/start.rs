//! Start of an empty process: peers and the platform are asked before it serves.

use std::net::SocketAddr;

use crate::common;
use crate::table::sync::Action;
use crate::table::sync::Core;
use crate::table::sync::FetchKind;
use crate::table::sync::SyncMode;
use crate::time::Millis;

/// Peers asked at once.
const ASKED: usize = 3;

/// Interval at which an empty process asks a peer again.
pub(super) const EMPTY_ROUND: Millis = Millis(1_000);

/// Longest wait for the platform when no peer is known.
const ALONE_JITTER: Millis = Millis(200);

/// Time that peers get before the platform is asked.
const PEERS_FIRST: Millis = Millis(1_000);

/// Time that peers and jitter get at a seed, which the others wait for.
const SEED_JITTER: Millis = Millis(500);

/// Jitter of the first read of the platform.
///
/// When a whole fleet of 2,400 restarts empty, the first reads are spread over
/// this time, and most processes get their tables from a peer before theirs.
const FLEET_JITTER: Millis = Millis(10_000);

/// Longest pause between reads of a process that stays empty.
const RETRY_MAX: Millis = Millis(30_000);

common! { key
/// Where a process that started empty got its first tables.
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// From this peer.
    Peer(SocketAddr),
    /// From the configuration service.
    Platform,
}
}

/// Progress of the start.
#[derive(Clone, Debug, Default)]
pub(super) struct Start {
    /// When the process began, with its first tick.
    pub began: Option<Millis>,
    /// Exchanges of the start without an answer yet.
    pub asked: Vec<u64>,
    /// When the platform is read if the process is still empty.
    platform_at: Millis,
    tries: u32,
    pub ready: bool,
    pub source: Option<Source>,
}

impl Core {
    /// Asks peers at once and schedules the read of the platform.
    pub(super) fn begin(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.start.began = Some(now);
        self.peers.begin(now, &mut self.rng);
        self.choose_peers(now);
        self.schedule_solo(now);
        if self.settings.sync_mode == SyncMode::Poll || self.peers.len() == 0 {
            self.start.platform_at = now.plus(Millis(self.rng.u64(0..=ALONE_JITTER.0)));
            return;
        }
        let seed = self.settings.seeds.contains(&self.settings.addr);
        self.start.platform_at = if seed {
            now.plus(Millis(self.rng.u64(SEED_JITTER.0 / 2..=SEED_JITTER.0)))
        } else {
            let jitter = self.rng.u64(0..=FLEET_JITTER.0);
            now.plus(PEERS_FIRST).plus(Millis(jitter))
        };
        for to in self.peers.some(ASKED, &mut self.rng) {
            if let Some(call) = self.exchange(now, to, out) {
                self.start.asked.push(call);
            }
        }
    }

    /// Reads the platform if the process is still empty.
    pub(super) fn start_tick(&mut self, now: Millis) {
        if self.hold.set().is_none() && now >= self.start.platform_at {
            let busy = self.fetches[FetchKind::Tables as usize].is_open();
            if !busy {
                self.read_all(now);
            }
            let limit = (2_000 << self.start.tries.min(8)).min(RETRY_MAX.0);
            self.start.tries += 1;
            let pause = self.rng.u64(limit / 2..=limit);
            self.start.platform_at = now.plus(Millis(pause));
        }
        self.check_ready();
    }

    /// The process may serve once it holds tables and each peer that it asked
    /// has answered or timed out, and nothing greater is being fetched.
    pub(super) fn check_ready(&mut self) {
        if self.start.ready || self.hold.set().is_none() {
            return;
        }
        let fetching = self.fetches[FetchKind::Tables as usize].is_open();
        self.start.ready = self.start.asked.is_empty() && !fetching;
    }

    /// Asks for one read of each key.
    pub(super) fn read_all(&mut self, now: Millis) {
        for watch in &mut self.watches {
            watch.read_once(now);
        }
    }
}
