//! Recognises requests that come again after a refusal.
//!
//! Answers the load pattern in which callers are refused, return at another
//! entry and have lost part of their time: without it, each such request is
//! placed as if its whole objective were left, before those that can still
//! meet theirs. What an attempt says of its deadline alone is no evidence:
//! first attempts differ in it by more than a second.

use crate::prelude::*;

/// Requests that are remembered; a second of refusals at twice the capacity.
const MAX_HELD: usize = 4_096;

/// Difference of deadlines up to which two attempts are of one request: callers
/// count their time down, so its attempts have the same deadline but for the
/// time on the way.
const SPREAD: Millis = Millis(200);

/// Time after a refusal in which other entries are told of it: somewhat longer
/// than the longest interval between two datagrams to an entry.
const TOLD: Millis = Millis(300);

/// Requests told in one datagram.
const MAX_TOLD: usize = 24;

common! { key
/// A request that was refused.
pub struct Refusal {
    /// Hash of its fingerprint.
    pub fingerprint: u64,
    /// When its first attempt arrived.
    pub first_arrival: Millis,
    /// When its caller gives up.
    pub deadline: Millis,
}
}

/// Requests that may come again.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    held: IndexMap<u64, Refusal>,
    /// When this entry refused them, the latest last.
    own: Vec<(Millis, u64)>,
}

impl Refusals {
    /// Notes a refusal of this entry.
    pub fn record(&mut self, now: Millis, refused: Refusal) {
        self.merge(now, refused);
        self.own.retain(|(at, _)| now.since(*at) < TOLD);
        self.own.push((now, refused.fingerprint));
    }

    /// Notes a refusal that another entry told.
    pub fn merge(&mut self, now: Millis, refused: Refusal) {
        if let Some(first) = self.first_arrival(refused.fingerprint, refused.deadline) {
            // The first attempt is the one that counts.
            if first <= refused.first_arrival {
                return;
            }
        }
        if self.held.len() >= MAX_HELD {
            self.held.retain(|_, held| held.deadline > now);
        }
        if self.held.len() >= MAX_HELD {
            self.held.clear();
        }
        self.held.insert(refused.fingerprint, refused);
    }

    /// When the first attempt of a request arrived, if it came before.
    pub fn first_arrival(&self, print: u64, deadline: Millis) -> Option<Millis> {
        let held = self.held.get(&print)?;
        let spread = held
            .deadline
            .since(deadline)
            .max(deadline.since(held.deadline));
        (spread <= SPREAD).then_some(held.first_arrival)
    }

    /// Refusals of this entry that others may not know yet, the latest first.
    pub fn recent(&self, now: Millis) -> Vec<Refusal> {
        let fresh = self.own.iter().rev();
        let fresh = fresh.take_while(|(at, _)| now.since(*at) < TOLD);
        fresh
            .filter_map(|(_, print)| self.held.get(print).copied())
            .take(MAX_TOLD)
            .collect()
    }
}
