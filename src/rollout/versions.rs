//! Versions that the operator named, and which may still answer requests.
//!
//! The bound on an older version counts from the acknowledgement of the newer
//! one. A process that hears late must not count from its hearing, so each
//! naming carries the earliest time at which it may have been acknowledged,
//! and processes pass its age on.

use crate::prelude::*;

/// Time before the bound from which only the newer version may run: a request
/// may wait in a runner's queue before it begins.
const MARGIN: Millis = Millis(800);

/// Time before the bound at which requests that have not begun are cancelled:
/// the version was acknowledged up to 150 ms before it was heard of, and a busy
/// VM's cancel reaches its runner up to 100 ms later.
const CANCEL_MARGIN: Millis = Millis(400);

/// Time that is left to versions that were named before this process started.
///
/// When they were named is not known.
const LEFT_AT_START: Millis = Millis(2_500);

/// Versions of a model that are remembered.
const MAX_NAMED: usize = 16;

common! { value
/// When a version was named, by the own clock.
pub struct Naming {
    /// Earliest time at which it may have been acknowledged.
    pub at: Millis,
    /// True when that is right to a few tenths of a second; else the version
    /// may have been named at any time since.
    pub exact: bool,
}
}

common! { value
/// A version as one process tells another of it.
pub struct Named {
    /// Name of the model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When it was named.
    pub naming: Naming,
}
}

/// The versions of all models.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    named: IndexMap<String, Vec<(u64, Naming)>>,
}

impl Versions {
    /// Takes a version that was named for `model`.
    pub fn name(&mut self, now: Millis, bound: Millis, is_start: bool, model: &str, version: u64) {
        let at = if is_start && !self.named.contains_key(model) {
            now.since(bound.since(MARGIN).since(LEFT_AT_START))
        } else {
            now
        };
        let naming = Naming { at, exact: false };
        self.insert(model, version, naming);
    }

    /// Takes a version with the time of its naming.
    pub fn insert(&mut self, model: &str, version: u64, naming: Naming) {
        let list = self.named.entry(model.to_string()).or_default();
        if list.iter().any(|(held, _)| *held >= version) {
            return;
        }
        list.push((version, naming));
        if list.len() > MAX_NAMED {
            list.remove(0);
        }
    }

    /// Takes another process's word on a version that is known here; true when
    /// it tells more. An exact time goes before an estimate, else the earlier.
    pub fn merge(&mut self, named: &Named) -> bool {
        let list = self.named.get_mut(&named.model);
        let mut held = list.into_iter().flatten();
        let Some((_, held)) = held.find(|(version, _)| *version == named.version) else {
            return false;
        };
        let told = &named.naming;
        let is_better = if told.exact == held.exact {
            told.at < held.at
        } else {
            told.exact
        };
        if is_better {
            *held = told.clone();
        }
        is_better
    }

    /// Namings since `from`, for other processes.
    pub fn since(&self, from: Millis) -> impl Iterator<Item = Named> {
        let all = self.named.iter().flat_map(|(model, list)| {
            list.iter().map(move |(version, naming)| Named {
                model: model.clone(),
                version: *version,
                naming: naming.clone(),
            })
        });
        all.filter(move |named| named.naming.at >= from)
    }

    /// The newest version, and when it was named; versions begin at 1.
    pub fn newest(&self, model: &str) -> (u64, Millis) {
        let list = self.named.get(model);
        list.and_then(|l| l.last())
            .map_or((1, Millis(0)), |(version, naming)| (*version, naming.at))
    }

    /// When requests that have not begun on `held` are cancelled; none when it
    /// is the newest.
    pub fn cancel_at(&self, bound: Millis, model: &str, held: u64) -> Option<Millis> {
        let expiry = self.expiry(bound, model, held);
        expiry.map(|at| at.since(CANCEL_MARGIN))
    }

    /// When `held` must no longer begin requests, as the earliest bound of the
    /// versions after it; none when it is the newest.
    pub fn expiry(&self, bound: Millis, model: &str, held: u64) -> Option<Millis> {
        let list = self.named.get(model)?;
        let newer = list.iter().filter(|(version, _)| *version > held);
        newer.map(|(_, naming)| naming.at.plus(bound)).min()
    }

    /// The least version that may begin requests now.
    pub fn least(&self, now: Millis, bound: Millis, model: &str) -> u64 {
        let Some(list) = self.named.get(model) else {
            return 0;
        };
        let expired = list
            .iter()
            .filter(|(_, naming)| now.plus(MARGIN) >= naming.at.plus(bound));
        expired.map(|(version, _)| *version).max().unwrap_or(0)
    }
}
