//! Replica of the documents in the platform's store.
//!
//! The store numbers all changes in one sequence of revisions. A replica that has
//! applied every change up to a revision is complete at that revision, whatever
//! process the changes came from. So processes can take changes from each other
//! without a protocol for agreement.
//!
//! A store that is restored from an older copy gives out revisions again, in a new era.
//! Nothing is compared by its revision over eras.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::table::packing;

/// Earlier values of a large document that are kept: peers that lack the last changes get
/// them as differences.
const MAX_EARLIER: usize = 6;

/// Maximum number of removed keys kept. Beyond it the older half is dropped.
const MAX_REMOVED: usize = 4_096;

common! { value
/// One key of the store as of its last change.
pub struct Doc {
    /// Name of the key.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value; `None` when the last change removed the key.
    pub value: Option<Bytes>,
}
}

common! { key
/// How far a replica is complete. Positions order by era first.
#[derive(Default)]
pub struct Position {
    /// Era of the store; 0 for a store that does not name one.
    pub era: u64,
    /// Revision within the era; 0 before the first listing or changes.
    pub revision: u64,
}
}

common! { value
/// Changes after one revision up to another, or a full listing.
pub struct Delta {
    /// Era of the store to which the revisions belong.
    pub era: u64,
    /// True for a full listing: keys that are not in `docs` do not exist.
    pub full: bool,
    /// Revision up to which the changes are complete. Single documents may be newer.
    pub upto: u64,
    /// Keys that changed, or all keys of a full listing.
    pub docs: Vec<Doc>,
}
}

impl Delta {
    /// Returns the length of all values, in bytes.
    pub fn size(&self) -> usize {
        let values = self.docs.iter().filter_map(|doc| doc.value.as_ref());
        values.map(Bytes::len).sum()
    }
}

/// Copy of the store's documents in one process.
///
/// # Invariants
///
/// The position never goes back. Neither does the revision of a key within an era.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    era: u64,
    revision: u64,
    /// Revision after which every removal is kept in `docs`.
    removals_floor: u64,
    /// All keys, with the removed ones that are kept.
    docs: IndexMap<Arc<str>, Doc>,
    removed_count: usize,
    /// Earlier values of large documents with their revisions, oldest first.
    earlier: IndexMap<Arc<str>, VecDeque<(u64, Bytes)>>,
}

impl Replica {
    /// Returns the revision up to which the replica is complete; 0 before the
    /// first listing or changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the era and the revision up to which the replica is complete.
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }

    /// Returns true if applying `delta` replaces what is held, as it comes from a later era.
    pub fn is_replaced_by(&self, delta: &Delta) -> bool {
        self.is_synced() && delta.full && delta.era > self.era
    }

    /// Returns true once the replica has been complete at some revision.
    pub fn is_synced(&self) -> bool {
        self.revision > 0
    }

    /// Iterates over the keys that exist.
    pub fn docs(&self) -> impl Iterator<Item = &Doc> {
        self.docs.values().filter(|doc| doc.value.is_some())
    }

    /// Returns a key that exists.
    pub fn get(&self, key: &str) -> Option<&Doc> {
        self.docs.get(key).filter(|doc| doc.value.is_some())
    }

    /// Applies changes and returns the keys that changed.
    ///
    /// Changes older than the replica's are ignored, so late and repeated deltas
    /// do no harm. A change of a key that is not in the replica, although the
    /// replica is complete up to the revision of the change, is ignored too: the
    /// key has been removed since, and its removal was never received or was
    /// dropped. Changes from an earlier era are ignored, and so are those from a later one
    /// unless they are a full listing, which replaces everything.
    pub fn apply(&mut self, delta: Delta) -> Vec<Doc> {
        if self.is_replaced_by(&delta) {
            return self.replace(delta);
        }
        if !self.is_synced() {
            self.era = delta.era;
        } else if delta.era != self.era {
            return Vec::new();
        }
        let mut changed = Vec::new();
        let complete_to = self.revision;
        if delta.full && delta.upto >= self.revision {
            self.remove_missing(&delta, &mut changed);
            // A listing names no removals, so earlier ones may be missing here.
            self.removals_floor = self.removals_floor.max(delta.upto);
        }
        for doc in delta.docs {
            let held = self.docs.get(&doc.key);
            let known_revision = held.map_or(complete_to, |held| held.revision);
            if doc.revision <= known_revision {
                continue;
            }
            self.put(doc.clone());
            changed.push(doc);
        }
        self.revision = self.revision.max(delta.upto);
        self.prune_removals();
        changed
    }

    /// Replaces everything by a full listing of a later era, and returns the keys that have
    /// another value there or are missing.
    fn replace(&mut self, delta: Delta) -> Vec<Doc> {
        let former = std::mem::take(self);
        self.era = delta.era;
        self.revision = delta.upto;
        self.removals_floor = delta.upto;
        let mut changed = Vec::new();
        for doc in delta.docs {
            let held = former.docs.get(&doc.key);
            if held.is_none_or(|held| held.value != doc.value) {
                changed.push(doc.clone());
            }
            self.put(doc);
        }
        let missing = former
            .docs()
            .filter(|doc| !self.docs.contains_key(&doc.key));
        let missing: Vec<Doc> = missing
            .map(|doc| Doc {
                key: doc.key.clone(),
                revision: delta.upto,
                value: None,
            })
            .collect();
        for doc in missing {
            self.put(doc.clone());
            changed.push(doc);
        }
        changed
    }

    /// Returns the changes after a position, or a full listing when it is in another era or
    /// not all removals since then are known.
    pub fn changes_after(&self, position: Position) -> Delta {
        if position.era == self.era {
            self.since(position.revision)
        } else {
            self.since(0)
        }
    }

    /// Returns the changes after `revision`, or a full listing when not all
    /// removals since then are known.
    pub fn since(&self, revision: u64) -> Delta {
        let full = revision < self.removals_floor || revision == 0;
        let is_wanted = |doc: &&Doc| {
            if full {
                doc.value.is_some()
            } else {
                doc.revision > revision
            }
        };
        Delta {
            era: self.era,
            full,
            upto: self.revision,
            docs: self.docs.values().filter(is_wanted).cloned().collect(),
        }
    }

    /// Returns the newest value of a key at or before a revision, with its own revision, if
    /// it is kept.
    pub fn value_at(&self, key: &str, revision: u64) -> Option<(u64, Bytes)> {
        let held = self.get(key).filter(|doc| doc.revision <= revision);
        if let Some(doc) = held {
            return Some((doc.revision, doc.value.clone()?));
        }
        let earlier = self.earlier.get(key)?.iter().rev();
        earlier.clone().find(|(at, _)| *at <= revision).cloned()
    }

    fn put(&mut self, doc: Doc) {
        self.keep_earlier(&doc.key);
        let was_removed = self.docs.get(&doc.key).map(|held| held.value.is_none());
        let is_removed = doc.value.is_none();
        self.removed_count -= usize::from(was_removed == Some(true));
        self.removed_count += usize::from(is_removed);
        self.docs.insert(doc.key.clone(), doc);
    }

    /// Keeps the present value of a key that is about to change, if it is large.
    fn keep_earlier(&mut self, key: &Arc<str>) {
        let Some(held) = self.docs.get(key) else {
            return;
        };
        let large = held.value.as_ref().filter(|v| v.len() >= packing::LARGE);
        if let Some(value) = large {
            let kept = self.earlier.entry(key.clone()).or_default();
            if kept.len() >= MAX_EARLIER {
                kept.pop_front();
            }
            kept.push_back((held.revision, value.clone()));
        }
    }

    /// Removes the keys that a full listing lacks, unless they are newer than it.
    fn remove_missing(&mut self, delta: &Delta, changed: &mut Vec<Doc>) {
        let named: indexmap::IndexSet<&str> = delta.docs.iter().map(|doc| &*doc.key).collect();
        let gone = self
            .docs
            .values()
            .filter(|doc| doc.value.is_some() && doc.revision <= delta.upto)
            .filter(|doc| !named.contains(&*doc.key));
        let gone: Vec<Arc<str>> = gone.map(|doc| doc.key.clone()).collect();
        for key in gone {
            let doc = Doc {
                key,
                revision: delta.upto,
                value: None,
            };
            self.put(doc.clone());
            changed.push(doc);
        }
    }

    /// Drops the older half of the removed keys when there are too many. A peer
    /// that is further behind gets a full listing.
    fn prune_removals(&mut self) {
        if self.removed_count <= MAX_REMOVED {
            return;
        }
        let removed = self.docs.values().filter(|doc| doc.value.is_none());
        let mut revisions: Vec<u64> = removed.map(|doc| doc.revision).collect();
        revisions.sort_unstable();
        self.removals_floor = revisions[revisions.len() / 2];
        let floor = self.removals_floor;
        self.docs
            .retain(|_, doc| doc.value.is_some() || doc.revision > floor);
        self.removed_count = self.docs.values().filter(|d| d.value.is_none()).count();
    }
}
