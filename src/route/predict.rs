//! Prediction of the time to the first event of one more request at an upstream.
//!
//! It is made from the figures that the operator publishes for the engines, the calls that
//! the upstream has, and the pace that it reports.

use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::profile::RequestProfile;
use crate::route::target::LOAD_EXPIRY;
use crate::route::target::Target;

/// Penalty for an upstream in another zone, in milliseconds. Traffic between
/// zones is expensive, and links between regions have little bandwidth.
const REMOTE_PENALTY_MS: f64 = 35.0;

/// Share of a stream's longest allowed pause that the reading of new prompts may take.
const PAUSE_SHARE: f64 = 0.8;

/// Weight of the time by which a request would delay a planned load of its runner.
const OVERRUN_WEIGHT: f64 = 0.15;

/// Largest penalty for delaying a planned load, in milliseconds. It makes other
/// runners preferable, but does not exclude a runner that still accepts work.
const MAX_OVERRUN_MS: f64 = 150.0;

/// Time that the prediction does not cover, in milliseconds: parsing, network
/// links and scheduling delays.
const OVERHEAD_MS: f64 = 12.0;

impl Target {
    /// Returns the number of calls of other entries that are expected to have ended
    /// since they were reported. `work_ms` is the average service time, used for plain
    /// services.
    pub(super) fn unseen_ends(&self, now: Millis, work_ms: f64) -> f64 {
        let engine_ms = self.engine.as_ref().map(|e| e.service_time());
        let service_ms = engine_ms.unwrap_or(work_ms).max(1.0);
        let fresh = self
            .peer_loads
            .values()
            .map(|(at, load)| (now.since(*at), load))
            .filter(|(age, _)| *age < LOAD_EXPIRY);
        let ends = fresh.map(|(age, load)| {
            let share = (age.0 as f64 / service_ms).min(1.0);
            f64::from(load.calls) * share
        });
        ends.sum()
    }

    /// Returns the penalty for a request that would delay a planned load, in
    /// milliseconds.
    ///
    /// A runner loads a version only after its last request has ended. A request
    /// that runs past the planned time leaves all other slots idle until it ends.
    pub(super) fn overrun_penalty(
        &self,
        now: Millis,
        engine: &Engine,
        profile: &RequestProfile,
        pass_ms: f64,
    ) -> f64 {
        let Some(reload_at) = self.status(now).and_then(|s| s.reload_at) else {
            return 0.0;
        };
        let span = profile.size.output / engine.stride * pass_ms;
        let over = span - reload_at.since(now).0 as f64;
        (OVERRUN_WEIGHT * over).clamp(0.0, MAX_OVERRUN_MS)
    }

    /// Predicts the time to the first event of one more request, in milliseconds.
    ///
    /// `work_ms` is the average service time, used for plain services; `unseen` is the
    /// number of requests of the usual size that it is expected to have got from other
    /// entries since they reported.
    pub(super) fn predict_first(
        &self,
        now: Millis,
        profile: &RequestProfile,
        work_ms: f64,
        unseen: f64,
    ) -> f64 {
        let zone_ms = 2.0 * self.delay_ms + if self.remote { REMOTE_PENALTY_MS } else { 0.0 };
        let load = self.load(now);
        let slots = f64::from(self.registration.slots.max(1));
        let calls = f64::from(load.calls) + unseen;
        let Some(engine) = &self.engine else {
            let turns = ((calls + 1.0) / slots).max(1.0);
            return work_ms * turns * self.pace(now) + zone_ms;
        };
        let prompt_ms = engine.read_ms(profile.size.prompt);
        let unread_ms = load.unread_ms + unseen * engine.read_ms(engine.usual.prompt);
        let batch = (calls + 1.0).min(slots);
        let pass_ms = engine.pass_time(batch);
        // A request arrives in the middle of a pass on average, and waits for the
        // end of that pass.
        let mut first_ms = 0.5 * pass_ms + prompt_ms + pass_ms;
        if calls + 1.0 > slots {
            first_ms += (calls + 1.0 - slots) * engine.completion_interval();
        } else {
            first_ms += unread_ms;
            let pause = (pass_ms + unread_ms + prompt_ms) * self.pace(now);
            if profile
                .max_pause
                .is_some_and(|most| pause > PAUSE_SHARE * most)
            {
                // The running streams would pause for too long.
                first_ms += pause;
            }
        }
        first_ms * self.pace(now)
            + zone_ms
            + OVERHEAD_MS
            + self.overrun_penalty(now, engine, profile, pass_ms)
    }
}
