//! State of one upstream as one entry sees it: its registration, what its agent and the
//! other entries report, and what its answers show.

use std::collections::VecDeque;

use crate::member::registry;
use crate::member::registry::Registration;
use crate::prelude::*;
use crate::route::cold::Cold;
use crate::route::cold::ColdLimit;
use crate::route::cold::Places;
use crate::route::engine::Engine;
use crate::route::notice::Notice;
use crate::route::predict::View;
use crate::route::profile::RequestProfile;
use crate::route::rate_share::RateLimit;
use crate::route::recovery::Recovery;
use crate::route::regions::AllowedRegions;
use crate::route::work::Load;
use crate::route::work::Memory;

/// Age at which another entry's report of its calls is ignored.
pub(super) const LOAD_EXPIRY: Millis = Millis(1_000);

/// Age at which an agent's status report is ignored and the registry is used instead.
const STATUS_EXPIRY: Millis = Millis(1_500);

/// Age at which a reported pace is ignored. Other workloads on the same host
/// change it many times a second.
const PACE_EXPIRY: Millis = Millis(700);

/// Time for which an upstream that answered "misdirected" gets no requests, unless
/// a newer report on what it holds arrives. After a restart under the same id, the
/// registry still lists what the upstream held before the restart.
const MISDIRECTED_EXPIRY: Millis = Millis(3_000);

/// Half-life of an observed slowness, in milliseconds.
const SLOWNESS_HALF_LIFE_MS: f64 = 1_500.0;

/// Weight of the newest observation in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// Share of an upstream's own slots that must be free before it gets such a request.
const MIN_FREE_SHARE: f64 = 0.1;

/// Range to which a reported or observed pace is clamped; 1 is the usual pace.
pub(super) const PACE_RANGE: (f64, f64) = (0.5, 12.0);

common! { value
/// State of a runner as its agent reports it.
pub struct RunnerStatus {
    /// Versions of models that it holds.
    pub holdings: Vec<registry::Holding>,
    /// True while it loads a version and accepts no work.
    pub loading: bool,
    /// Requests that run or wait in its queue.
    pub calls: u32,
    /// Time that its work takes, relative to the usual time; 2 is half as fast.
    pub pace: f64,
    /// When the state was measured.
    pub measured_at: Millis,
    /// When the runner is going to load another version, if that is planned.
    pub reload_at: Option<Millis>,
}
}

/// One upstream as this entry sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its registration in the registry.
    pub registration: Registration,
    /// Hash of its id, by which entries name it to each other.
    pub(super) id_hash: u64,
    /// Cost figures of its pool's engines; none for a plain service.
    pub(super) engine: Option<Arc<Engine>>,
    /// One-way network delay to it, in milliseconds.
    pub(super) delay_ms: f64,
    /// True when it is in another zone than this entry.
    pub(super) remote: bool,
    /// Number of its zone's region; none when that is unknown.
    pub(super) region: Option<usize>,
    /// True while its zone is evacuated.
    pub(super) evacuated: bool,
    /// True when the registry lists it as draining, or no longer lists it.
    pub(super) leaving: bool,
    /// What its answers said about itself.
    pub(super) notice: Notice,
    /// Calls of this entry there.
    pub(super) own_load: Load,
    /// Loads of the other entries of the zone by name, and when they were reported.
    pub(super) peer_loads: IndexMap<String, (Millis, Load)>,
    /// When this entry sent its latest requests there.
    pub(super) recent_sends: VecDeque<Millis>,
    /// Latest status report of its agent.
    pub(super) status: Option<RunnerStatus>,
    /// Latest reported pace, and when it was measured.
    pub(super) pace: (f64, Millis),
    /// Observed slowness beyond the reported pace, and when it was updated.
    pub(super) slowness: (f64, Millis),
    pub(super) recovery: Recovery,
    /// When it last answered that the request was meant for another upstream.
    pub(super) misdirected_at: Option<Millis>,
    /// Its memory.
    pub(super) memory: Memory,
    /// When a call of this entry last brought an event, or the first of them was sent.
    pub(super) heard: Millis,
    /// What the predictions of one choice are made from.
    pub(super) view: View,
    /// Requests a second that it takes from all entries.
    pub(super) rate_limit: RateLimit,
    /// State of an upstream that started a short time ago.
    pub(super) cold: ColdState,
}

/// What one entry knows of an upstream as a cold one.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdState {
    /// Limit of its pool; none when the pool sets none.
    pub(super) limit: Option<ColdLimit>,
    /// Whether it is cold.
    pub(super) state: Cold,
    /// Places of this entry.
    pub(super) places: u32,
    /// Requests that hold places.
    pub(super) held: Places,
    /// Observed slowness of the cold upstreams of its pool; 0 before any was observed.
    pub(super) factor: f64,
}

impl ColdState {
    /// Returns its limit while it is cold.
    pub(super) fn limit(&self, now: Millis) -> Option<&ColdLimit> {
        self.limit.as_ref().filter(|_| self.state.is_cold(now))
    }
}

impl Target {
    /// Returns true when it may get requests now.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.evacuated && !self.is_leaving() && !self.is_avoided(now)
    }

    /// Returns true when requests that may use the regions `allowed` may be sent to it,
    /// however few others are left.
    pub(super) fn is_permitted(&self, allowed: &AllowedRegions) -> bool {
        !self.evacuated && allowed.includes(self.region)
    }

    /// Returns true while it cools down after failures or asked for no requests.
    pub(super) fn is_avoided(&self, now: Millis) -> bool {
        self.notice.back_off_left(now) > Millis(0)
            || !self.recovery.admits(now, self.own_load.calls)
    }

    /// Describes the values that a prediction is made from, for the log.
    pub fn describe(&self, now: Millis) -> String {
        let load = self.load(now);
        let known = self.status(now).map_or(0, |s| s.calls);
        format!(
            "{} calls {} own {} reported {known} unread {:.0} pace {:.2} slowness {:.2}",
            self.registration.id,
            load.calls,
            self.own_load.calls,
            load.unread_ms,
            self.pace(now),
            self.slowness(now)
        )
    }

    /// Returns the state that is shown to operators.
    pub fn dump(&self, now: Millis) -> serde_json::Value {
        let load = self.load(now);
        serde_json::json!({
            "id": self.registration.id,
            "pool": self.registration.pool,
            "zone": self.registration.zone,
            "leaving": self.is_leaving(),
            "evacuated": self.evacuated,
            "own": self.own_load.calls,
            "calls": load.calls,
            "unread_ms": load.unread_ms,
            "left_tokens": load.left + load.fresh,
            "memory_tokens": load.memory,
            "pace": self.pace(now),
            "resting": self.is_avoided(now),
            "rate_limit": self.rate_limit.rate(),
            "cold": self.cold.limit(now).map(|limit| serde_json::json!({
                "left_ms": self.cold.state.left(now).0, "age_ms": self.cold.state.age(now).map(|a| a.0),
                "places": self.cold.places, "held": self.cold.held.held(now, limit),
                "slowness": self.cold.factor.max(1.0),
            })),
            "status": self.status(now).map(|s| serde_json::json!({
                "busy": s.loading, "calls": s.calls, "age_ms": now.since(s.measured_at).0,
            })),
        })
    }

    /// Returns true while it limits the requests of all entries together.
    pub(super) fn is_limited(&self) -> bool {
        self.rate_limit.rate().is_some()
    }

    /// Returns true when the registry or its own answers say that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving || self.notice.leaving
    }

    /// Returns true when it is able to serve the request, whatever its load.
    pub(super) fn serves(&self, now: Millis, profile: &RequestProfile) -> bool {
        if self.registration.pool != profile.pool || self.is_leaving() {
            return false;
        }
        let Some(engine) = &self.engine else {
            return !self.is_misdirected(now);
        };
        let status = self.status(now);
        if status.is_some_and(|s| s.loading) || self.is_misdirected(now) {
            return false;
        }
        let Some(model) = &profile.model else {
            return true;
        };
        let holdings = status.map_or(&self.registration.holdings, |s| &s.holdings);
        let held = registry::complete_version(holdings, model, engine.layers);
        held.is_some_and(|version| version >= profile.min_version)
    }

    /// Returns true when it lately answered "misdirected" and no newer status
    /// report has arrived.
    pub(super) fn is_misdirected(&self, now: Millis) -> bool {
        let Some(at) = self.misdirected_at else {
            return false;
        };
        let is_newer = self.status(now).is_some_and(|s| s.measured_at > at);
        !is_newer && now.since(at) < MISDIRECTED_EXPIRY
    }

    /// Returns true for a runner of another zone whose agent does not report to this
    /// entry: how many calls it has is not known.
    pub(super) fn is_unreported(&self, now: Millis) -> bool {
        self.remote && self.engine.is_some() && self.status(now).is_none()
    }

    /// Returns the latest status report, unless it is too old.
    pub(super) fn status(&self, now: Millis) -> Option<&RunnerStatus> {
        let status = self.status.as_ref()?;
        (now.since(status.measured_at) < STATUS_EXPIRY).then_some(status)
    }

    /// Returns the version of `model` that it answers from.
    pub fn version(&self, now: Millis, model: &str) -> Option<u64> {
        let holdings = self
            .status(now)
            .map_or(&self.registration.holdings, |s| &s.holdings);
        let layers = self.engine.as_ref().map_or(0, |e| e.layers);
        registry::complete_version(holdings, model, layers)
    }

    /// Returns the load as the entries of the zone report it. The calls are at
    /// least those that its agent reported plus those sent since, because entries
    /// of other zones do not report their calls here.
    pub(super) fn load(&self, now: Millis) -> Load {
        let zone_load = self.zone_load(now);
        let Some(status) = self.status(now) else {
            return zone_load;
        };
        let sent = self
            .recent_sends
            .iter()
            .rev()
            .take_while(|at| **at > status.measured_at);
        let known = status.calls + sent.count() as u32;
        let mut load = zone_load;
        let hidden = known.saturating_sub(load.calls);
        match &self.engine {
            Some(engine) => load.add(&Load::usual(engine, hidden, 0.0)),
            None => load.calls += hidden,
        }
        load
    }

    /// Returns the sum of the loads from this entry and the other entries of its zone.
    pub(super) fn zone_load(&self, now: Millis) -> Load {
        let fresh = self
            .peer_loads
            .values()
            .filter(|(at, _)| now.since(*at) < LOAD_EXPIRY);
        fresh.fold(self.own_load, |mut sum, (_, load)| {
            sum.add(load);
            sum
        })
    }

    /// Returns the number of free slots; negative when requests wait.
    pub(super) fn free_slots(&self, now: Millis) -> f64 {
        f64::from(self.registration.slots) - f64::from(self.load(now).calls)
    }

    /// Returns true when enough slots are free for a request that will be late.
    pub(super) fn has_spare_slots(&self, now: Millis) -> bool {
        let slots = f64::from(self.registration.slots);
        self.free_slots(now) >= (MIN_FREE_SHARE * slots).max(1.0)
    }

    /// Returns the factor by which its work takes longer than usual.
    pub(super) fn pace(&self, now: Millis) -> f64 {
        let reported = if now.since(self.pace.1) < PACE_EXPIRY {
            self.pace.0
        } else {
            1.0
        };
        reported * self.slowness(now).max(self.cold_factor(now))
    }

    /// Returns the factor by which its work takes longer than usual as it is cold; 1 when
    /// it is not, or before any cold upstream of its pool was observed.
    pub(super) fn cold_factor(&self, now: Millis) -> f64 {
        self.cold
            .limit(now)
            .map_or(1.0, |_| self.cold.factor.max(1.0))
    }

    /// Returns the observed slowness beyond the reported pace. It decays towards 1
    /// while nothing is observed.
    pub(super) fn slowness(&self, now: Millis) -> f64 {
        let (value, at) = self.slowness;
        let age = now.since(at).0 as f64;
        1.0 + (value - 1.0) * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE_MS)
    }

    /// Updates the slowness from the time to a first event and its prediction.
    pub(super) fn update_slowness(&mut self, now: Millis, took: f64, predicted_ms: f64) {
        let current = self.slowness(now);
        // Very short answer times vary too much to be compared.
        let ratio = (current * took / predicted_ms.max(20.0)).clamp(1.0, PACE_RANGE.1);
        self.slowness = (current + SLOWNESS_WEIGHT * (ratio - current), now);
    }
}
