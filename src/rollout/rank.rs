//! Rendezvous hashing: an order of members that all processes compute alike, without
//! exchanging messages.
//!
//! Processes with differing lists of members disagree only about the members
//! in which the lists differ. That costs duplicate transfers and nothing else.

use crate::util;

/// Returns the rendezvous weight of `name` for `key`; lower weights rank first.
pub fn weight(key: &str, name: &str) -> u64 {
    util::stable_hash([key, name])
}

/// Returns the names in the order of their ranks for `key`.
pub fn order<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = names.into_iter().map(|n| (weight(key, n), n)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Returns the rank of the parent of `rank` in a tree with this fan-out; none for the
/// root, which has rank 0.
pub fn parent(rank: usize, fanout: usize) -> Option<usize> {
    assert!(fanout > 0, "a tree needs a fan-out of at least 1");
    Some(rank.checked_sub(1)? / fanout)
}
