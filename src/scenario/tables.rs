//! Tables in force at one process of a scenario.

use crate::prelude::*;
use crate::table::Set;
use crate::table::Stamp;

/// The set in force and why newer texts are not.
///
/// # Invariants
///
/// The stamp of the set in force never goes down.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Set in force.
    pub set: Option<Arc<Set>>,
    /// Why the newest texts are not in force, or a conflict.
    pub refused: Option<Code>,
}

impl Tables {
    /// Stamp in force; the lowest one when there is no set.
    pub fn stamp(&self) -> Stamp {
        let set = self.set.as_ref();
        set.map(|set| set.stamp.clone()).unwrap_or_default()
    }

    /// Takes over a set if it is greater; true when it did.
    pub fn offer(&mut self, set: Arc<Set>) -> bool {
        let held = self.stamp();
        if set.stamp == held {
            if self.refused != Some(Code::RevisionConflict) {
                self.refused = None;
            }
            return false;
        }
        let is_conflict = set.stamp.revision == held.revision;
        if set.stamp < held {
            self.refused = Some(if is_conflict {
                Code::RevisionConflict
            } else {
                Code::RevisionLower
            });
            return false;
        }
        self.refused = is_conflict.then_some(Code::RevisionConflict);
        self.set = Some(set);
        assert!(self.stamp() > held, "revision goes down");
        true
    }

    /// Takes over two texts if they are a valid and greater set.
    pub fn read(&mut self, routes: &str, pools: &str) -> bool {
        if routes.is_empty() || pools.is_empty() {
            return false;
        }
        match Set::parse(routes, pools) {
            Ok(set) => self.offer(Arc::new(set)),
            Err(error) => {
                self.refused = Some(error.code);
                false
            }
        }
    }
}
