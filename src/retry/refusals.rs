//! Recognises requests that callers send again after a refusal.
//!
//! Under overload, callers are refused and come back, often at another entry, after
//! they have lost a part of their time. Without this module, such a request would be
//! placed as if its whole objective were left, and before requests that can still
//! meet theirs. The deadline of an attempt alone does not show that it is a repeat:
//! the deadlines of first attempts differ by more than a second.

use crate::prelude::*;

/// Most requests remembered; about one second of refusals at twice the capacity.
const MAX_REFUSALS: usize = 4_096;

/// Largest difference of the deadlines of two attempts of one request. Callers send
/// the time that they have left, so the deadlines differ only by the time on the
/// network.
const MAX_DEADLINE_DIFF: Millis = Millis(200);

/// Time after a refusal during which it is sent to other entries. It is somewhat
/// longer than the longest interval between two datagrams to an entry.
const SHARE_TIME: Millis = Millis(300);

/// Most refusals sent in one datagram.
const MAX_SHARED: usize = 24;

common! { key
/// A request that was refused.
pub struct Refusal {
    /// Hash of the request's fingerprint.
    pub fingerprint: u64,
    /// When its first attempt arrived.
    pub first_arrival: Millis,
    /// When its caller gives up.
    pub deadline: Millis,
}
}

/// Refused requests that may come again.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Refusals by fingerprint.
    by_fingerprint: IndexMap<u64, Refusal>,
    /// Refusals of this entry: time and fingerprint, the latest last.
    own: Vec<(Millis, u64)>,
}

impl Refusals {
    /// Records a refusal by this entry.
    pub fn record(&mut self, now: Millis, refusal: Refusal) {
        self.merge(now, refusal);
        self.own.retain(|(at, _)| now.since(*at) < SHARE_TIME);
        self.own.push((now, refusal.fingerprint));
    }

    /// Records a refusal that another entry reported. Of several refusals of one
    /// request, the one with the earliest arrival is kept.
    pub fn merge(&mut self, now: Millis, refusal: Refusal) {
        if let Some(first) = self.first_arrival(refusal.fingerprint, refusal.deadline) {
            // The time that was lost counts from the first attempt.
            if first <= refusal.first_arrival {
                return;
            }
        }
        if self.by_fingerprint.len() >= MAX_REFUSALS {
            self.by_fingerprint.retain(|_, held| held.deadline > now);
        }
        if self.by_fingerprint.len() >= MAX_REFUSALS {
            self.by_fingerprint.clear();
        }
        self.by_fingerprint.insert(refusal.fingerprint, refusal);
    }

    /// Returns when the first attempt of a request arrived, if it was refused before.
    pub fn first_arrival(&self, fingerprint: u64, deadline: Millis) -> Option<Millis> {
        let held = self.by_fingerprint.get(&fingerprint)?;
        let difference = held
            .deadline
            .since(deadline)
            .max(deadline.since(held.deadline));
        (difference <= MAX_DEADLINE_DIFF).then_some(held.first_arrival)
    }

    /// Returns the refusals of this entry that other entries may not know yet, the
    /// latest first.
    pub fn recent(&self, now: Millis) -> Vec<Refusal> {
        let fresh = self.own.iter().rev();
        let fresh = fresh.take_while(|(at, _)| now.since(*at) < SHARE_TIME);
        fresh
            .filter_map(|(_, fingerprint)| self.by_fingerprint.get(fingerprint).copied())
            .take(MAX_SHARED)
            .collect()
    }
}
