//! Members of the pool as sources: outstanding pulls and avoidance.

use crate::common;
use crate::time::Millis;

/// Longest time for which a source is avoided.
///
/// A source that recovers must be found again within a rollout.
const MAX_AVOID: Millis = Millis(60_000);

common! { value
/// A live upstream of the pool.
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

/// A member and what its pulls have shown.
#[derive(Debug)]
pub struct Peer {
    pub(super) member: Member,
    pub(super) outstanding: usize,
    avoided: Millis,
    resting: Millis,
    strikes: u32,
}

impl Peer {
    pub(super) fn new(member: Member) -> Peer {
        Peer {
            member,
            outstanding: 0,
            avoided: Millis(0),
            resting: Millis(0),
            strikes: 0,
        }
    }

    /// Avoids the member for `first`, doubled for each time since its last success.
    pub(super) fn strike(&mut self, now: Millis, first: Millis) {
        let span = first.0.saturating_mul(1 << self.strikes.min(10));
        self.avoided = now.plus(Millis(span.min(MAX_AVOID.0)));
        self.strikes += 1;
    }

    pub(super) fn succeed(&mut self) {
        self.strikes = 0;
    }

    /// Leaves the member alone until `until`, without blame.
    pub(super) fn rest(&mut self, until: Millis) {
        self.resting = until;
    }

    pub(super) fn resting(&self, now: Millis) -> bool {
        self.resting > now
    }

    pub(super) fn avoided(&self, now: Millis) -> bool {
        self.avoided > now
    }
}
