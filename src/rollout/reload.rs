//! When a runner is ordered to load the version that is staged for it.
//!
//! To load a new version, each runner takes no new requests until its batch has
//! ended and the load is done, and all of them must do so within a bounded time,
//! also under full load. Their turns are therefore spread over that time, in an
//! order that all agents compute alike, so that most runners keep serving.

use crate::prelude::*;
use crate::rollout::rank;

/// Time from the naming of a version to the first turn; staging takes about this long.
const FIRST_TURN: Millis = Millis(2_600);

/// Time between the end of the turns and the bound.
///
/// A runner takes no new requests from the order on, so it may still be
/// finishing old ones at the bound.
const LAST_TURN_MARGIN: Millis = Millis(1_300);

/// Time after which an order that had no effect is given again.
const ORDER_TIMEOUT: Millis = Millis(1_500);

common! { value
/// State of a runner, as it reports it to its agent.
pub struct RunnerState {
    /// Version that it holds with all layers; none when it is empty.
    pub held: Option<u64>,
    /// True while it carries out an order to load.
    pub busy: bool,
    /// Number of requests that run or wait at it.
    pub requests: u32,
}
}

/// Decides when to order a runner to load; remembers the last order.
#[derive(Clone, Debug, Default)]
pub struct Reload {
    ordered: Option<(u64, Millis)>,
}

impl Reload {
    /// Returns when it is the turn of the runner `id` among `all` to load `version`.
    ///
    /// `bound` is the time after `named_at` from which no request may begin on an
    /// older version.
    pub fn turn_at(
        named_at: Millis,
        bound: Millis,
        version: u64,
        id: &str,
        all: &[&str],
    ) -> Millis {
        let key = version.to_string();
        let order = rank::order(&key, all.iter().copied());
        let position = order.iter().position(|name| *name == id).unwrap_or(0);
        let span = bound.since(FIRST_TURN).since(LAST_TURN_MARGIN).0 as f64;
        let share = position as f64 / order.len().max(1) as f64;
        named_at
            .plus(FIRST_TURN)
            .plus(Millis((span * share) as u64))
    }

    /// Returns true when the runner should be ordered to load `version` now.
    ///
    /// A runner that is empty or has no requests need not wait for its turn.
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

    /// Records that the runner has been ordered to load `version`.
    pub fn record_order(&mut self, now: Millis, version: u64) {
        self.ordered = Some((version, now));
    }
}
