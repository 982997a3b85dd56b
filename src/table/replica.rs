//! Replica of the configuration service's documents, kept by its revision.
//!
//! The service counts all changes with one number. A replica that has applied
//! every change up to a revision is complete at that revision, wherever the
//! changes came from, so processes can feed each other without agreement.

use crate::prelude::*;

/// Removed keys remembered; more are forgotten with their history.
const MAX_REMOVED: usize = 4_096;

common! { value
/// One key at its last change.
pub struct Doc {
    /// Name of the key.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Its content; none once it was removed.
    pub value: Option<Bytes>,
}
}

common! { value
/// Changes after one revision, up to another.
pub struct Delta {
    /// True when every key that is not named does not exist.
    pub full: bool,
    /// Revision up to which the changes are complete.
    pub upto: u64,
    /// Changed keys.
    pub docs: Vec<Doc>,
}
}

/// The replica.
///
/// # Invariants
///
/// `revision` never falls, and a key never goes back to an earlier revision.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: u64,
    /// Revision from which every removal is known.
    floor: u64,
    docs: IndexMap<Arc<str>, Doc>,
    removed: usize,
}

impl Replica {
    /// Revision up to which the replica is complete; 0 before the first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// True once it has been complete at some revision.
    pub fn is_synced(&self) -> bool {
        self.revision > 0
    }

    /// Keys that exist.
    pub fn docs(&self) -> impl Iterator<Item = &Doc> {
        self.docs.values().filter(|doc| doc.value.is_some())
    }

    /// The content of a key.
    pub fn get(&self, key: &str) -> Option<&Doc> {
        self.docs.get(key).filter(|doc| doc.value.is_some())
    }

    /// Applies changes and returns the keys that changed.
    ///
    /// Changes that are older than what is held are left out, so late and
    /// repeated deltas do no harm. A key that is not held although the replica
    /// is complete up to its revision was removed; the removal is unknown here
    /// if it was never told or has been forgotten.
    pub fn apply(&mut self, delta: Delta) -> Vec<Doc> {
        let mut changed = Vec::new();
        let complete = self.revision;
        if delta.full && delta.upto >= self.revision {
            self.remove_missing(&delta, &mut changed);
            // A listing names no removals, so those before it cannot be told.
            self.floor = self.floor.max(delta.upto);
        }
        for doc in delta.docs {
            let held = self.docs.get(&doc.key);
            let known = held.map_or(complete, |held| held.revision);
            if doc.revision <= known {
                continue;
            }
            self.put(doc.clone());
            changed.push(doc);
        }
        self.revision = self.revision.max(delta.upto);
        self.forget();
        changed
    }

    /// Changes after `revision`; the whole content when the history is too short.
    pub fn since(&self, revision: u64) -> Delta {
        let full = revision < self.floor || revision == 0;
        let wanted = |doc: &&Doc| {
            if full {
                doc.value.is_some()
            } else {
                doc.revision > revision
            }
        };
        Delta {
            full,
            upto: self.revision,
            docs: self.docs.values().filter(wanted).cloned().collect(),
        }
    }

    fn put(&mut self, doc: Doc) {
        let was = self.docs.get(&doc.key).map(|held| held.value.is_none());
        let is = doc.value.is_none();
        self.removed -= usize::from(was == Some(true));
        self.removed += usize::from(is);
        self.docs.insert(doc.key.clone(), doc);
    }

    /// A complete listing shows removals by what it lacks.
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

    /// Drops the oldest removals; a peer that is further behind gets everything.
    fn forget(&mut self) {
        if self.removed <= MAX_REMOVED {
            return;
        }
        let removed = self.docs.values().filter(|doc| doc.value.is_none());
        let mut revisions: Vec<u64> = removed.map(|doc| doc.revision).collect();
        revisions.sort_unstable();
        self.floor = revisions[revisions.len() / 2];
        let floor = self.floor;
        self.docs
            .retain(|_, doc| doc.value.is_some() || doc.revision > floor);
        self.removed = self.docs.values().filter(|d| d.value.is_none()).count();
    }
}
