//! Subset of the upstreams of a pool that one entry uses.

use crate::common;
use crate::util;

/// Most upstreams of the entry's own zone in its subset.
pub const MAX_LOCAL: usize = 16;

/// Most upstreams of other zones in its subset, which take load that the own zone
/// cannot.
pub const MAX_REMOTE: usize = 8;

common! { value
/// An upstream as listed in the tables and the live list.
pub struct Member {
    /// Name, unique among all upstreams.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// False when it is leaving or does not serve.
    pub ready: bool,
}
}

/// Returns the subset of `members` for the entry `entry` in `zone`.
///
/// The rank of an upstream depends only on its name and on that of the entry
/// (rendezvous hashing). A change of the member list therefore replaces only the
/// members of the subset that it concerns.
pub fn subset(entry: &str, zone: &str, members: &[Member]) -> Vec<Member> {
    let mut local = ranked(entry, members.iter().filter(|m| m.zone == zone));
    let mut remote = ranked(entry, members.iter().filter(|m| m.zone != zone));
    local.truncate(MAX_LOCAL);
    remote.truncate(MAX_REMOTE);
    local.extend(remote);
    local
}

/// Sorts members by their rank for `entry`, the highest first.
fn ranked<'a>(entry: &str, members: impl Iterator<Item = &'a Member>) -> Vec<Member> {
    let mut list: Vec<Member> = members.cloned().collect();
    // Members that are not ready rank last, so that they do not take up the subset.
    list.sort_by_cached_key(|m| {
        let rank = util::stable_hash([entry, m.name.as_str()]);
        (!m.ready, std::cmp::Reverse(rank), m.name.clone())
    });
    list
}
