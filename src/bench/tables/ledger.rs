//! Checks over all processes of a run.

use std::collections::HashMap;

use crate::prelude::Arc;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::time::Millis;

/// What processes have held so far.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Set in force at each process, by its life.
    held: Vec<Option<(u64, Arc<TableSet>)>>,
    /// First content seen of each stamp.
    contents: HashMap<Stamp, Arc<TableSet>>,
    /// When each process moved to a revision, if that is measured.
    moves: HashMap<u64, Vec<Option<Millis>>>,
}

impl Ledger {
    /// A ledger of `nodes` processes.
    pub fn new(nodes: usize) -> Ledger {
        Ledger {
            held: vec![None; nodes],
            ..Ledger::default()
        }
    }

    /// Measures when processes get to `revision`.
    pub fn measure(&mut self, revision: u64) {
        self.moves.insert(revision, vec![None; self.held.len()]);
    }

    /// When each process first held `revision` or a greater one.
    pub fn moves(&self, revision: u64) -> &[Option<Millis>] {
        self.moves.get(&revision).map_or(&[], |times| times)
    }

    /// Notes what a process holds after an event.
    ///
    /// # Panics
    ///
    /// When the process lowered its stamp within one life, or holds other
    /// content for a stamp than another process.
    pub fn observe(&mut self, now: Millis, node: usize, life: u64, set: Option<&Arc<TableSet>>) {
        let before = self.held[node].as_ref().filter(|(held, _)| *held == life);
        let Some(set) = set else {
            assert!(before.is_none(), "process {node} lost its tables");
            return;
        };
        if let Some((_, held)) = before {
            if Arc::ptr_eq(held, set) {
                return;
            }
            assert!(
                set.stamp > held.stamp,
                "process {node} lowered its stamp from {:?} to {:?}",
                held.stamp,
                set.stamp
            );
        }
        let first = self.contents.entry(set.stamp.clone());
        let first = first.or_insert_with(|| set.clone());
        let same = Arc::ptr_eq(first, set)
            || (first.routes_text == set.routes_text && first.pools_text == set.pools_text);
        assert!(
            same,
            "process {node} holds other content for {:?}",
            set.stamp
        );
        self.held[node] = Some((life, set.clone()));
        for (revision, times) in &mut self.moves {
            if *revision <= set.stamp.revision {
                times[node].get_or_insert(now);
            }
        }
    }
}
