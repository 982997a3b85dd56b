//! Rendezvous ranks: orders that processes agree on without talking.
//!
//! Processes with differing lists of members disagree only about the members
//! in which the lists differ, which costs duplicate bytes and nothing else.

use crate::util;

/// Weight of `name` under `key`; lower weights rank first.
pub fn weight(key: &str, name: &str) -> u64 {
    util::stable_hash([key, name])
}

/// Sorts names by their rank under `key`.
pub fn order<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = names.into_iter().map(|n| (weight(key, n), n)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Rank of the parent of rank `rank` in a tree with this fan-out; none for the root.
pub fn parent(rank: usize, fanout: usize) -> Option<usize> {
    assert!(fanout > 0, "a tree needs a fan-out");
    Some(rank.checked_sub(1)? / fanout)
}
