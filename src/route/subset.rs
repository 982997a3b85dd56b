//! Which upstreams of a pool one entry uses.

use crate::common;
use crate::util;

/// Upstreams of the entry's own zone in its subset.
pub const MAX_LOCAL: usize = 16;

/// Upstreams of other zones in its subset, for spilling over.
pub const MAX_REMOTE: usize = 8;

common! { value
/// An upstream as the tables and the live list give it.
pub struct Member {
    /// Name, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// False when it is leaving or not serving.
    pub ready: bool,
}
}

/// The subset of `members` for the entry `entry` in `zone`.
///
/// The rank of an upstream depends on both names only, so a change of the
/// member list moves no more than the places that it concerns.
pub fn subset(entry: &str, zone: &str, members: &[Member]) -> Vec<Member> {
    let mut local = ranked(entry, members.iter().filter(|m| m.zone == zone));
    let mut remote = ranked(entry, members.iter().filter(|m| m.zone != zone));
    local.truncate(MAX_LOCAL);
    remote.truncate(MAX_REMOTE);
    local.extend(remote);
    local
}

fn ranked<'a>(entry: &str, members: impl Iterator<Item = &'a Member>) -> Vec<Member> {
    let mut list: Vec<Member> = members.cloned().collect();
    // Members that are not ready rank last, so that they fill no place in vain.
    list.sort_by_cached_key(|m| {
        let rank = util::stable_hash([entry, m.name.as_str()]);
        (!m.ready, std::cmp::Reverse(rank), m.name.clone())
    });
    list
}
