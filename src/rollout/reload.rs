//! When a runner takes the order to load the version that is staged.
//!
//! Answers the load pattern of a new version under full load: every runner
//! must stop taking work for the rest of its batch and the load, within a
//! bounded time. Turns are spread over the time that the bound leaves, in an
//! order that all agents compute alike, so that most places keep serving.

use crate::prelude::*;
use crate::rollout::rank;

/// Time from the naming of a version to the first turn: staging takes about this long.
const FIRST: Millis = Millis(2_600);

/// Time before the bound at which the last turn is taken; the runner takes no
/// new work from the order on, so it may still be finishing work at the bound.
const RESERVE: Millis = Millis(1_300);

/// Time after which an order without effect is given again.
const ORDER_TIMEOUT: Millis = Millis(1_500);

common! { value
/// What an agent knows of its runner.
pub struct RunnerState {
    /// Version that it holds whole; none when it is empty.
    pub held: Option<u64>,
    /// True while it carries out an order.
    pub busy: bool,
    /// Requests that run or wait.
    pub requests: u32,
}
}

/// Decides when to order a load.
#[derive(Clone, Debug, Default)]
pub struct Reload {
    ordered: Option<(u64, Millis)>,
}

impl Reload {
    /// Time of the turn of `own` among `all`, for a version named at `seen`.
    pub fn turn_at(seen: Millis, bound: Millis, version: u64, own: &str, all: &[&str]) -> Millis {
        let key = version.to_string();
        let order = rank::order(&key, all.iter().copied());
        let place = order.iter().position(|name| *name == own).unwrap_or(0);
        let span = bound.since(FIRST).since(RESERVE).0 as f64;
        let share = place as f64 / order.len().max(1) as f64;
        seen.plus(FIRST).plus(Millis((span * share) as u64))
    }

    /// True when the runner should be ordered to load `version` now.
    pub fn is_due(&self, now: Millis, turn: Millis, version: u64, state: &RunnerState) -> bool {
        if state.busy || state.held == Some(version) {
            return false;
        }
        if let Some((ordered, at)) = self.ordered
            && ordered == version
            && now.since(at) < ORDER_TIMEOUT
        {
            return false;
        }
        state.held.is_none() || state.requests == 0 || now >= turn
    }

    /// Notes an order.
    pub fn record_order(&mut self, now: Millis, version: u64) {
        self.ordered = Some((version, now));
    }
}
