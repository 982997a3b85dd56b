//! The other members of the pool as sources: pulls outstanding and pauses after failures.

use crate::common;
use crate::time::Millis;

/// Longest time for which a source is avoided, so that one that recovers is used again
/// within the same rollout.
const MAX_AVOID: Millis = Millis(60_000);

common! { value
/// A live upstream of the pool, whose agent pulls and sends chunks.
pub struct Member {
    /// Its name, unique in the pool.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// RPC address of its agent.
    pub rpc: std::net::SocketAddr,
}
}

/// Another member and the state of the pulls from it.
#[derive(Debug)]
pub struct Peer {
    pub(super) member: Member,
    pub(super) outstanding: usize,
    avoided_until: Millis,
    paused_until: Millis,
    failures: u32,
}

impl Peer {
    pub(super) fn new(member: Member) -> Peer {
        Peer {
            member,
            outstanding: 0,
            avoided_until: Millis(0),
            paused_until: Millis(0),
            failures: 0,
        }
    }

    /// Avoids the member for the time `first`, doubled for each failure since its last
    /// success.
    pub(super) fn avoid(&mut self, now: Millis, first: Millis) {
        let time = first.0.saturating_mul(1 << self.failures.min(10));
        self.avoided_until = now.plus(Millis(time.min(MAX_AVOID.0)));
        self.failures += 1;
    }

    /// Notes a successful pull.
    pub(super) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Starts no pull from the member until `until`; that does not count as a failure.
    pub(super) fn pause(&mut self, until: Millis) {
        self.paused_until = until;
    }

    /// True while no pull is started from the member because it had nothing new.
    pub(super) fn is_paused(&self, now: Millis) -> bool {
        self.paused_until > now
    }

    /// True while the member is avoided because of a failure.
    pub(super) fn is_avoided(&self, now: Millis) -> bool {
        self.avoided_until > now
    }
}
