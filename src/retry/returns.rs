//! Plan of the times at which refused callers return.
//!
//! It is made for bursts of some seconds and for load that lasts above the capacity. A
//! caller returns once. If all are told the time at which the next slot becomes free,
//! they return during the same burst, compete with newcomers, and are refused again. So
//! a caller is told a time slot with room for it, while the callers told earlier keep
//! theirs; without such a slot it is told the longest time that it accepts, after which
//! the burst has most likely ended.

use std::collections::VecDeque;

use fastrand::Rng;

use crate::prelude::*;

/// Length of a time slot.
const SLOT: Millis = Millis(100);

/// Longest time until a refused caller retries, as a part of its patience. Callers wait
/// for at most a third of what is left of it when the refusal arrives.
const MAX_RETRY_SHARE: f64 = 0.325;

/// Least time after which a refused caller retries. Nine runners free a place
/// every dozen milliseconds, and a caller that retries soon can still be on
/// time: in `bench place`, 350 ms earns 0.04 less credit while a third of the
/// runners is lost, and no more under any load pattern.
const MIN_RETRY: Millis = Millis(120);

/// Part of the longest time over which callers are spread that are told it, so that
/// those refused in one moment do not return in one moment.
const LAST_SPREAD: f64 = 0.1;

/// Part of the time left until the objective within which a caller must return to be
/// served in time. The rest is for the wait and the reading of the prompt.
const TIMELY_SHARE: f64 = 0.5;

/// Returns the time within which a caller must return so that its objective, `left`
/// milliseconds away, can still be met.
pub fn timely_return(left: f64) -> f64 {
    (left * TIMELY_SHARE).max(0.0)
}

/// What a return time is planned from.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Time after which a slot is expected for a request like this, by the predictions.
    pub after: Millis,
    /// Time for which the caller waits, in milliseconds; none when it is not known.
    pub patience: Option<f64>,
    /// Time in which the caller must return so that its objective can still be met, in
    /// milliseconds; 0 when it cannot.
    pub timely: f64,
    /// State of its pool.
    pub pool: PoolState,
}

/// State of a pool, from the counts of the entries of the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolState {
    /// True while so much is refused that the load lies above the capacity.
    pub overloaded: bool,
    /// Requests that this entry may expect to place for callers who return, in a second.
    pub return_rate: f64,
}

/// Callers that this entry has told when to return.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// Time from which there is room for another caller that returns in time, in
    /// milliseconds.
    next_at: f64,
    /// Number of the first time slot that is kept.
    first: u64,
    /// Callers told to return, by time slot.
    told: VecDeque<f64>,
}

impl Returns {
    /// Returns the time after which a refused caller should retry.
    pub fn plan(&mut self, now: Millis, refused: &Refused, rng: &mut Rng) -> Millis {
        let most = refused
            .patience
            .map_or(f64::INFINITY, |patience| patience * MAX_RETRY_SHARE);
        let least = refused.after.max(MIN_RETRY).0 as f64;
        let spread = least * (1.0 + rng.f64());
        if !refused.pool.overloaded || most.is_infinite() {
            return self.tell(now, spread.min(most));
        }
        let at = least.max(self.next_at - now.0 as f64);
        if refused.pool.return_rate > 0.0 && at <= refused.timely.min(most) {
            self.next_at = now.0 as f64 + at + 1_000.0 / refused.pool.return_rate;
            let within = at + rng.f64() * SLOT.0 as f64;
            return self.tell(now, within.min(most));
        }
        let last = most * (1.0 - LAST_SPREAD * rng.f64());
        self.tell(now, last.max(least.min(most)))
    }

    /// Returns the number of callers that are expected to return.
    pub fn backlog(&self, now: Millis) -> f64 {
        let passed = (now.0 / SLOT.0).saturating_sub(self.first) as usize;
        self.told.iter().skip(passed).sum()
    }

    /// Records a caller as told this time, in milliseconds from now, and returns it.
    fn tell(&mut self, now: Millis, after: f64) -> Millis {
        /// Most time slots that are kept; longer than any caller waits.
        const MAX_SLOTS: usize = 600;
        let current = now.0 / SLOT.0;
        while self.first < current && !self.told.is_empty() {
            self.told.pop_front();
            self.first += 1;
        }
        if self.told.is_empty() {
            self.first = current;
        }
        let index = ((now.0 + after as u64) / SLOT.0).saturating_sub(self.first) as usize;
        let index = index.min(MAX_SLOTS - 1);
        if self.told.len() <= index {
            self.told.resize(index + 1, 0.0);
        }
        self.told[index] += 1.0;
        Millis(after as u64)
    }
}
