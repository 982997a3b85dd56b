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

/// Time before the bound at which requests that have not begun are cancelled: a
/// date is late by the way of the message that told it, and a busy VM's cancel
/// reaches its runner up to 100 ms later.
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
    /// True when that is only assumed, by a process that started since.
    pub assumed: bool,
}
}

common! { value
/// A version as one process tells another of it.
pub struct NamedVersion {
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
    pub fn record(
        &mut self,
        now: Millis,
        bound: Millis,
        is_start: bool,
        model: &str,
        version: u64,
    ) {
        let assumed = is_start && !self.named.contains_key(model);
        let at = if assumed {
            now.since(bound.since(MARGIN).since(LEFT_AT_START))
        } else {
            now
        };
        let naming = Naming { at, assumed };
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

    /// Takes another process's word on a version; true when it tells more.
    ///
    /// The earliest time counts, except that any goes before an assumed one. A
    /// version between those that are known was missed: the store keeps only
    /// the newest. One that is newer than all comes with the replica.
    pub fn merge(&mut self, named: &NamedVersion) -> bool {
        let Some(list) = self.named.get_mut(&named.model) else {
            return false;
        };
        let place = list.partition_point(|(version, _)| *version < named.version);
        let is_full = list.len() >= MAX_NAMED;
        let told = &named.naming;
        match list.get_mut(place) {
            None => false,
            Some((version, held)) if *version == named.version => {
                let is_better = held.assumed || told.at < held.at;
                if is_better {
                    *held = told.clone();
                }
                is_better
            }
            Some(_) if is_full => false,
            Some(_) => {
                list.insert(place, (named.version, told.clone()));
                true
            }
        }
    }

    /// Namings since `from`, for other processes; what is only assumed is not
    /// passed on.
    pub fn named_since(&self, from: Millis) -> impl Iterator<Item = NamedVersion> {
        let all = self.named.iter().flat_map(|(model, list)| {
            list.iter().map(move |(version, naming)| NamedVersion {
                model: model.clone(),
                version: *version,
                naming: naming.clone(),
            })
        });
        all.filter(move |named| named.naming.at >= from && !named.naming.assumed)
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
        let expiry = self.expires_at(bound, model, held);
        expiry.map(|at| at.since(CANCEL_MARGIN))
    }

    /// When `held` must no longer begin requests, as the earliest bound of the
    /// versions after it; none when it is the newest.
    pub fn expires_at(&self, bound: Millis, model: &str, held: u64) -> Option<Millis> {
        let list = self.named.get(model)?;
        let newer = list.iter().filter(|(version, _)| *version > held);
        newer.map(|(_, naming)| naming.at.plus(bound)).min()
    }

    /// The least version that may begin requests now.
    pub fn oldest_allowed(&self, now: Millis, bound: Millis, model: &str) -> u64 {
        let Some(list) = self.named.get(model) else {
            return 0;
        };
        let expired = list
            .iter()
            .filter(|(_, naming)| now.plus(MARGIN) >= naming.at.plus(bound));
        expired.map(|(version, _)| *version).max().unwrap_or(0)
    }
}
