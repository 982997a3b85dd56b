//! Which versions of a model may still begin requests.
//!
//! The operator names a version by writing it to the platform's store. Within a
//! bounded time after the store has acknowledged that, no request may begin on
//! an older version any more.
//!
//! A process that learns late of a version must not count from when it learnt of
//! it. Each version therefore carries the earliest time at which it may have been
//! acknowledged, and processes tell each other its age.

use crate::prelude::*;

/// Time before the bound from which no request is sent to an older version, because a
/// request may wait in a runner's queue before it begins.
const QUEUE_MARGIN: Millis = Millis(800);

/// Time before the bound at which requests that have not begun are cancelled.
///
/// It covers the delay of the message by which this process learnt of the newer version,
/// and the up to 100 ms until a cancel from a busy VM reaches its runner.
const CANCEL_MARGIN: Millis = Millis(400);

/// Time for which requests may still begin on older versions after the start of this
/// process, which cannot know when the newest version was named.
const TIME_LEFT_AT_START: Millis = Millis(2_500);

/// Least difference by which an earliest time has to be later than a known one to replace it.
/// Messages date what they tell later by their delay.
const MIN_GAIN: Millis = Millis(1_000);

/// Number of versions that are remembered for each model; older ones are forgotten.
const MAX_REMEMBERED: usize = 16;

common! { key
/// How a process knows when a version was named.
pub enum Dating {
    /// It is assumed here, because this process started after it or was told only of an
    /// earliest time.
    Assumed,
    /// It is the last time at which the store is known not to have had the version: nobody
    /// read it here, so it may have been named much later.
    Earliest,
    /// The store was read at that time.
    Exact,
}
}

common! { value
/// When the operator named a version, by the own clock.
pub struct Naming {
    /// Earliest time at which the store may have acknowledged it.
    pub at: Millis,
    /// How that is known.
    pub dating: Dating,
}
}

impl Naming {
    /// Returns the time as the process holds it that it was told to.
    fn told(self) -> Naming {
        match self.dating {
            Dating::Exact => self,
            Dating::Earliest | Dating::Assumed => Naming {
                dating: Dating::Assumed,
                ..self
            },
        }
    }
}

common! { value
/// A named version, as processes tell each other of it.
pub struct NamedVersion {
    /// Name of the model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When it was named.
    pub naming: Naming,
}
}

/// The named versions of all models.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    named: IndexMap<String, Vec<(u64, Naming)>>,
}

impl Versions {
    /// Records that `version` was named for `model`, as read from the store.
    ///
    /// `bound` is the time after which older versions may begin no requests. `is_start`
    /// tells that this process knows nothing of the time before, as one that has just
    /// started, so that the time must be assumed.
    pub fn record(
        &mut self,
        now: Millis,
        bound: Millis,
        is_start: bool,
        model: &str,
        version: u64,
    ) {
        let naming = if is_start {
            Naming {
                at: now.since(bound.since(QUEUE_MARGIN).since(TIME_LEFT_AT_START)),
                dating: Dating::Assumed,
            }
        } else {
            Naming {
                at: now,
                dating: Dating::Exact,
            }
        };
        self.insert(model, version, naming);
    }

    /// Records a version with the time at which it was named; ignored unless it is the newest.
    pub fn insert(&mut self, model: &str, version: u64, naming: Naming) {
        let list = self.named.entry(model.to_string()).or_default();
        if list.iter().any(|(held, _)| *held >= version) {
            return;
        }
        list.push((version, naming));
        if list.len() > MAX_REMEMBERED {
            list.remove(0);
        }
    }

    /// Merges what another process reports of a version; true when that changed anything.
    ///
    /// An exact time goes before all others, and the earliest of these counts. Of times before
    /// which the version was not named, the latest counts: each of them holds. Such a time is
    /// not passed on, as each process would date it later.
    ///
    /// A version between the known ones is added: this process missed it, as the store
    /// keeps only the newest. A version that is newer than all known ones is ignored,
    /// because it arrives with the replica of the store.
    pub fn merge(&mut self, named: &NamedVersion) -> bool {
        let Some(list) = self.named.get_mut(&named.model) else {
            return false;
        };
        let position = list.partition_point(|(version, _)| *version < named.version);
        let is_full = list.len() >= MAX_REMEMBERED;
        let reported = &named.naming;
        match list.get_mut(position) {
            None => false,
            Some((version, held)) if *version == named.version => {
                let is_better = match (held.dating, reported.dating) {
                    (Dating::Exact, Dating::Exact) => reported.at < held.at,
                    (_, Dating::Exact) => true,
                    (Dating::Exact, _) => false,
                    _ => reported.at > held.at.plus(MIN_GAIN),
                };
                if is_better {
                    *held = reported.clone().told();
                }
                is_better
            }
            Some(_) if is_full => false,
            Some(_) => {
                list.insert(position, (named.version, reported.clone().told()));
                true
            }
        }
    }

    /// Versions named since `from`, to report to other processes; those whose time is only
    /// assumed are left out.
    pub fn named_since(&self, from: Millis) -> impl Iterator<Item = NamedVersion> {
        let all = self.named.iter().flat_map(|(model, list)| {
            list.iter().map(move |(version, naming)| NamedVersion {
                model: model.clone(),
                version: *version,
                naming: naming.clone(),
            })
        });
        all.filter(move |named| named.naming.at >= from && named.naming.dating != Dating::Assumed)
    }

    /// When a version was named; none when it is not known.
    pub fn naming(&self, model: &str, version: u64) -> Option<Naming> {
        let mut list = self.named.get(model)?.iter();
        let found = list.find(|(held, _)| *held == version);
        found.map(|(_, naming)| naming.clone())
    }

    /// The newest version of `model` and when it was named; version 1 when none was named.
    pub fn newest(&self, model: &str) -> (u64, Millis) {
        let list = self.named.get(model);
        list.and_then(|l| l.last())
            .map_or((1, Millis(0)), |(version, naming)| (*version, naming.at))
    }

    /// When requests that have not begun yet on the version `held` are cancelled; none when
    /// it is the newest.
    pub fn cancel_at(&self, bound: Millis, model: &str, held: u64) -> Option<Millis> {
        let expiry = self.expires_at(bound, model, held);
        expiry.map(|at| at.since(CANCEL_MARGIN))
    }

    /// From when no request may begin on the version `held`: `bound` after the earliest
    /// naming of a newer version; none when it is the newest.
    pub fn expires_at(&self, bound: Millis, model: &str, held: u64) -> Option<Millis> {
        let list = self.named.get(model)?;
        let newer = list.iter().filter(|(version, _)| *version > held);
        newer.map(|(_, naming)| naming.at.plus(bound)).min()
    }

    /// The oldest version of `model` to which requests may be sent now; 0 for any.
    pub fn oldest_allowed(&self, now: Millis, bound: Millis, model: &str) -> u64 {
        let Some(list) = self.named.get(model) else {
            return 0;
        };
        let expired = list
            .iter()
            .filter(|(_, naming)| now.plus(QUEUE_MARGIN) >= naming.at.plus(bound));
        expired.map(|(version, _)| *version).max().unwrap_or(0)
    }
}
