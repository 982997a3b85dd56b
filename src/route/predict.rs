//! Prediction of the time to the first event of one more request at an upstream.
//!
//! It is made from the figures that the operator publishes for the engines, the calls that
//! the upstream has, and the pace that it reports.

use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::engine::Size;
use crate::route::profile::RequestProfile;
use crate::route::target::LOAD_EXPIRY;
use crate::route::target::Target;
use crate::route::work::Load;

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

/// Part of the predicted steps until a slot becomes free that is counted. In `bench place`,
/// before only the prompts of waiting requests were counted, 0.8 earned 0.769 of the credit over
/// all patterns and ten seeds, and 1 earned 0.767.
const STEPS_SHARE: f64 = 0.8;

/// Passes, and time beyond them in milliseconds, in which an upstream with running streams
/// sends an event. Reading the prompts of new requests is part of a pass.
const SILENT_PASSES: f64 = 2.5;
const SILENT_MARGIN_MS: f64 = 60.0;

/// What the predictions for one upstream are made from during one choice.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct View {
    /// Calls there and what is left of their work.
    load: Load,
    /// Expected number of calls of other entries that have ended since they were reported.
    pub(super) ended: f64,
    /// Time for which it has been silent longer than it should, in milliseconds.
    silent_ms: f64,
    pace: f64,
}

impl Target {
    /// Computes what the predictions of one choice are made from. `work_ms` is the average
    /// service time, used for plain services.
    pub(super) fn refresh(&mut self, now: Millis, work_ms: f64) {
        let pace = self.pace(now);
        let mut load = self.load(now);
        let mut ended = 0.0;
        let batch = f64::from(load.calls.min(self.registration.slots)).max(1.0);
        let step_ms = self.engine.as_ref().map(|e| e.step_time(batch) * pace);
        let fresh = self.peer_loads.values();
        let fresh = fresh.map(|(at, peer)| (now.since(*at), peer));
        for (age, peer) in fresh.filter(|(age, _)| *age < LOAD_EXPIRY) {
            let age = age.0 as f64;
            match step_ms {
                Some(step_ms) => {
                    let steps = age / step_ms.max(1e-3);
                    load.left += peer.after(steps).left - peer.left;
                    ended += peer.ends(steps);
                }
                None => ended += f64::from(peer.calls) * (age / work_ms.max(1.0)).min(1.0),
            }
        }
        let silent_ms = match (&self.engine, step_ms) {
            (Some(engine), Some(step_ms)) if self.own_load.calls > self.own_load.waiting => {
                let pass_ms = engine.stride * step_ms + load.unread_ms * pace;
                now.since(self.heard).0 as f64 - SILENT_PASSES * pass_ms - SILENT_MARGIN_MS
            }
            _ => 0.0,
        };
        self.view = View {
            load,
            ended,
            silent_ms: silent_ms.max(0.0),
            pace,
        };
    }

    /// Returns true unless one more request of this size may need more memory than there is.
    pub(super) fn has_memory(&self, now: Millis, profile: &RequestProfile) -> bool {
        let usual = self.engine.as_ref().map_or(Size::default(), |e| e.usual);
        self.memory.fits(now, &self.view.load, profile.size, usual)
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

    /// Predicts the time to the first event of one more request, in milliseconds, by what was
    /// computed in [`Target::refresh`].
    ///
    /// `work_ms` is the average service time, used for plain services. Since the other
    /// entries reported, `ended` of their calls are expected to have ended, and `added` calls
    /// of the usual size to have been added.
    pub(super) fn predict_first(
        &self,
        now: Millis,
        profile: &RequestProfile,
        work_ms: f64,
        added: f64,
        ended: f64,
    ) -> f64 {
        let zone_ms = 2.0 * self.delay_ms + if self.remote { REMOTE_PENALTY_MS } else { 0.0 };
        let View { load, pace, .. } = &self.view;
        let slots = f64::from(self.registration.slots.max(1));
        let calls = f64::from(load.calls) + added - ended;
        let Some(engine) = &self.engine else {
            let turns = ((calls + 1.0) / slots).max(1.0);
            return work_ms * turns * pace + zone_ms;
        };
        let prompt_ms = engine.read_ms(profile.size.prompt);
        let unread_ms = load.unread_ms + added * engine.read_ms(engine.usual.prompt);
        let batch = (calls + 1.0).min(slots);
        let context = load.context().min(batch * engine.usual.weight()) + profile.size.prompt;
        let step_ms = engine.step_with(batch, context);
        let pass_ms = engine.stride * step_ms;
        // A request arrives in the middle of a pass on average, and waits for the
        // end of that pass.
        let mut first_ms = 0.5 * pass_ms + prompt_ms + pass_ms;
        if calls + 1.0 > slots {
            let count = calls + 1.0 - slots;
            let steps = load.steps_until(count, slots, added, ended, engine.usual.output);
            // The prompts of those in slots are read in the passes meanwhile.
            let waiting = (f64::from(load.waiting) + added).max(count);
            first_ms += unread_ms * count / waiting + STEPS_SHARE * steps * step_ms;
        } else {
            first_ms += unread_ms;
            let pause = (pass_ms + unread_ms + prompt_ms) * pace;
            if profile
                .max_pause
                .is_some_and(|most| pause > PAUSE_SHARE * most)
            {
                // The running streams would pause for too long.
                first_ms += pause;
            }
        }
        // One that is silent is expected to stay so for as long again.
        first_ms * pace
            + self.view.silent_ms
            + zone_ms
            + OVERHEAD_MS
            + self.overrun_penalty(now, engine, profile, pass_ms)
    }
}
