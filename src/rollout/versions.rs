//! Versions that the operator named, and which may still answer requests.

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

/// The versions of all models.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    named: IndexMap<String, Vec<(u64, Millis)>>,
}

impl Versions {
    /// Takes a version that was named for `model`.
    pub fn name(&mut self, now: Millis, bound: Millis, is_start: bool, model: &str, version: u64) {
        let list = self.named.entry(model.to_string()).or_default();
        if list.iter().any(|(held, _)| *held >= version) {
            return;
        }
        let seen = if is_start && list.is_empty() {
            now.since(bound.since(MARGIN).since(LEFT_AT_START))
        } else {
            now
        };
        list.push((version, seen));
        if list.len() > MAX_NAMED {
            list.remove(0);
        }
    }

    /// The newest version, and when it was named; versions begin at 1.
    pub fn newest(&self, model: &str) -> (u64, Millis) {
        let list = self.named.get(model);
        list.and_then(|l| l.last().copied())
            .unwrap_or((1, Millis(0)))
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
        newer.map(|(_, seen)| seen.plus(bound)).min()
    }

    /// The least version that may begin requests now.
    pub fn least(&self, now: Millis, bound: Millis, model: &str) -> u64 {
        let Some(list) = self.named.get(model) else {
            return 0;
        };
        let expired = list
            .iter()
            .filter(|(_, seen)| now.plus(MARGIN) >= seen.plus(bound));
        expired.map(|(version, _)| *version).max().unwrap_or(0)
    }
}
