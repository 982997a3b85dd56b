//! Placement of requests that an entry sends straight to upstreams.
//!
//! It is made for load at and above capacity with many entries. For each
//! upstream, an entry predicts the time to the first event of one more request.
//! It sends the request to the upstream with the shortest predicted time, and
//! refuses at once a request that would miss its objective at every upstream.
//! The prediction uses the entry's own calls, the calls that the other entries
//! last reported, and the pace that the upstream reports.

use std::collections::VecDeque;

use fastrand::Rng;

use crate::member::evacuation::Evacuations;
use crate::member::registry::Registration;
use crate::prelude::*;
use crate::rollout::versions::Versions;
use crate::route::admit;
use crate::route::cold::Sharers;
use crate::route::engine::Engine;
use crate::route::estimate::Forecast;
use crate::route::notice::Notice;
use crate::route::notice::Notices;
use crate::route::notice::StartId;
use crate::route::predict::View;
use crate::route::profile::RequestProfile;
use crate::route::rate_share;
use crate::route::rate_share::RateLimit;
use crate::route::rate_share::Statement;
use crate::route::recovery::Outcome;
use crate::route::recovery::Recovery;
use crate::route::regions::Regions;
use crate::route::regions::ZoneRegions;
use crate::route::spread;
use crate::route::spread::Candidate;
use crate::route::target::ColdState;
use crate::route::target::PACE_RANGE;
use crate::route::target::RunnerStatus;
use crate::route::target::Target;
use crate::route::work::Job;
use crate::route::work::Load;
use crate::route::work::Memory;
use crate::table::routing::Routing;
use crate::util;

/// Own sends remembered for one upstream. This is more than an upstream accepts
/// within [`STATUS_EXPIRY`].
const MAX_RECENT_SENDS: usize = 64;

/// Assumed service time of a plain service (a pool without engine figures)
/// before any answer was observed, in milliseconds.
const INITIAL_PLAIN_MS: f64 = 30.0;

/// Weight of the newest observation in the average service time of a plain service.
const PLAIN_WEIGHT: f64 = 0.05;

/// Multiple of the predicted time within which a request is expected to begin, even
/// if the pace of the runner changes after the prediction.
const BEGIN_FACTOR: f64 = 2.0;

/// Time to reach a runner before its version expires, in milliseconds.
const BEGIN_MARGIN_MS: f64 = 400.0;

/// Time for which other entries are told of a limit after an answer has named or ended it.
const LIMIT_TELL_TIME: Millis = Millis(10_000);

/// Time after which a caller is told to retry when no upstream has memory for its request.
const MEMORY_RETRY: Millis = Millis(300);

/// Result of a placement.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The request goes to this upstream.
    Send {
        /// The upstream.
        target: Key<Target>,
        /// Predicted time to its first event or answer, in milliseconds.
        first_ms: f64,
    },
    /// No upstream can serve the request in time.
    Overloaded {
        /// Shortest predicted time to the first event, in milliseconds.
        first_ms: f64,
        /// Time after which an upstream is expected to have a free slot.
        retry_after: Millis,
    },
    /// No known upstream may serve the request.
    NoUpstream,
}

/// One call in progress.
#[derive(Clone, Debug)]
pub struct Call {
    pub(super) target: Key<Target>,
    /// Start time of the upstream that the call was sent to.
    pub(super) started: u64,
    pub(super) sent: Millis,
    predicted_ms: f64,
    job: Job,
}

/// Chooses upstreams for requests; holds the upstreams of all pools and the calls
/// that this entry has in progress.
#[derive(Debug)]
pub struct Placer {
    zone: String,
    regions: ZoneRegions,
    evacuations: Evacuations,
    /// True when the configuration restricts requests to regions.
    restricted: bool,
    pub(super) targets: Arena<Target>,
    pub(super) by_id: IndexMap<String, Key<Target>>,
    by_hash: IndexMap<u64, Key<Target>>,
    pub(super) calls: Arena<Call>,
    /// Average service time of plain services by pool, in milliseconds.
    plain_ms: IndexMap<String, f64>,
    versions: Versions,
    /// Time after which a replaced version expires.
    version_bound: Millis,
    notices: Notices,
    /// Name of this entry.
    own_name: String,
    /// Zones of all entries, this one included, by name.
    entries: IndexMap<String, String>,
    /// Entries that share the limits of cold upstreams.
    pub(super) sharers: Sharers,
    /// Number of upstreams for which the places at cold ones were computed.
    pub(super) cold_total: usize,
    /// Slowness of cold upstreams by pool.
    pub(super) cold_factors: IndexMap<String, f64>,
    rng: Rng,
}

impl Placer {
    /// Creates a placer without upstreams for an entry in `zone`.
    pub fn new(zone: &str, seed: u64) -> Placer {
        Placer {
            zone: zone.to_string(),
            regions: ZoneRegions::default(),
            evacuations: Evacuations::default(),
            restricted: false,
            targets: Arena::default(),
            by_id: IndexMap::new(),
            by_hash: IndexMap::new(),
            calls: Arena::default(),
            plain_ms: IndexMap::new(),
            versions: Versions::default(),
            version_bound: Millis(0),
            notices: Notices::default(),
            own_name: String::new(),
            entries: IndexMap::new(),
            sharers: Sharers::default(),
            cold_total: 0,
            cold_factors: IndexMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Sets the regions of the availability zones, by name of the zone.
    pub fn set_zones(&mut self, zones: &IndexMap<String, String>) {
        self.regions = ZoneRegions::new(zones);
        for (_, target) in self.targets.iter_mut() {
            target.region = self.regions.number(&target.registration.zone);
        }
    }

    /// Sets the evacuated zones. Their upstreams get nothing new; calls go on.
    pub fn set_evacuated(&mut self, evacuations: &Evacuations) {
        if self.evacuations == *evacuations {
            return;
        }
        self.evacuations = evacuations.clone();
        for (_, target) in self.targets.iter_mut() {
            target.evacuated = evacuations.contains(&target.registration.zone);
        }
    }

    /// Applies a new list of registered upstreams.
    ///
    /// What is known about upstreams that stay is kept. One that is no longer
    /// listed is marked as leaving, and removed when it has no calls of this entry.
    pub fn set_members<'a>(
        &mut self,
        members: impl IntoIterator<Item = &'a Registration>,
        routing: &Routing,
    ) {
        self.restricted = routing.is_restricted();
        let mut listed = indexmap::IndexSet::new();
        for member in members {
            listed.insert(member.id.as_str());
            self.set_member(member, routing);
        }
        let left = self.by_id.keys().filter(|id| !listed.contains(id.as_str()));
        let left: Vec<String> = left.cloned().collect();
        for id in left {
            let Some(key) = self.by_id.get(&id).copied() else {
                continue;
            };
            let Some(target) = self.targets.get_mut(key) else {
                continue;
            };
            target.leaving = true;
            if target.own_load.calls == 0 {
                self.by_hash.swap_remove(&target.id_hash);
                self.targets.remove(key);
                self.by_id.swap_remove(&id);
            }
        }
    }

    /// Sets the named versions of all models. A version expires when `bound` has
    /// passed since the next one was named.
    pub fn set_versions(&mut self, versions: Versions, bound: Millis) {
        self.versions = versions;
        self.version_bound = bound;
    }

    /// Adds an upstream, or updates the one with the same id.
    fn set_member(&mut self, member: &Registration, routing: &Routing) {
        let engine = routing.pool(&member.pool).and_then(|p| p.engine.clone());
        let capacity = routing.memory(&member.pool);
        if let Some(target) = self
            .by_id
            .get(&member.id)
            .and_then(|k| self.targets.get_mut(*k))
        {
            if target.registration == *member
                && target.leaving == member.draining
                && target.memory.capacity == capacity
                && has_same_engine(target.engine.as_ref(), engine.as_ref())
            {
                return;
            }
            if target.registration != *member {
                target.misdirected_at = None;
            }
            if target.registration.started != member.started {
                let (id_hash, started) = (target.id_hash, member.started);
                target.notice = self.notices.get(StartId { id_hash, started });
            }
            if target.registration.started != member.started
                || target.registration.addr != member.addr
            {
                // What the earlier incarnation did says nothing about this one.
                target.recovery = Recovery::default();
                target.rate_limit = RateLimit::default();
                target.status = None;
                target.memory.used = None;
            }
            target.registration = member.clone();
            target.region = self.regions.number(&member.zone);
            target.evacuated = self.evacuations.contains(&member.zone);
            target.delay_ms = delay_ms(engine.as_deref(), &self.zone, &member.zone);
            target.engine = engine;
            target.memory.capacity = capacity;
            target.leaving = member.draining;
            return;
        }
        let id_hash = util::stable_hash([member.id.as_str()]);
        let started = member.started;
        let key = self.targets.insert(Target {
            registration: member.clone(),
            id_hash,
            delay_ms: delay_ms(engine.as_deref(), &self.zone, &member.zone),
            engine,
            remote: member.zone != self.zone,
            region: self.regions.number(&member.zone),
            evacuated: self.evacuations.contains(&member.zone),
            leaving: member.draining,
            notice: self.notices.get(StartId { id_hash, started }),
            own_load: Load::default(),
            peer_loads: IndexMap::new(),
            recent_sends: VecDeque::new(),
            status: None,
            pace: (1.0, Millis(0)),
            slowness: (1.0, Millis(0)),
            recovery: Recovery::default(),
            misdirected_at: None,
            memory: Memory {
                capacity,
                used: None,
            },
            heard: Millis(0),
            view: View::default(),
            rate_limit: RateLimit::default(),
            cold: ColdState::default(),
        });
        self.by_id.insert(member.id.clone(), key);
        self.by_hash.insert(id_hash, key);
    }

    /// Returns the upstream with this key; none when it was removed.
    pub fn get(&self, key: Key<Target>) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns true when requests that may use `regions` may be sent to this upstream: it
    /// was not removed and its zone is neither excluded nor evacuated.
    pub fn permits(&self, key: Key<Target>, regions: &Regions) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|t| t.is_permitted(&self.regions.resolve(regions)))
    }

    /// Returns the key of the upstream with this id.
    pub fn find(&self, id: &str) -> Option<Key<Target>> {
        self.by_id.get(id).copied()
    }

    /// Iterates over the upstreams of all pools.
    pub fn iter(&self) -> impl Iterator<Item = (Key<Target>, &Target)> {
        self.targets.iter()
    }

    /// Records a status report of the agent of upstream `id`.
    pub fn on_status(&mut self, id: &str, status: RunnerStatus) {
        let Some(target) = self.by_id.get(id).and_then(|k| self.targets.get_mut(*k)) else {
            return;
        };
        target.pace = (
            status.pace.clamp(PACE_RANGE.0, PACE_RANGE.1),
            status.measured_at,
        );
        target.status = Some(status);
    }

    /// Records the tokens that the requests at upstream `id` held in memory at a time.
    pub fn on_memory(&mut self, id: &str, used: f64, at: Millis) {
        if let Some(target) = self.by_id.get(id).and_then(|k| self.targets.get_mut(*k)) {
            target.memory.used = Some((used, at));
        }
    }

    /// Records the pace that an upstream reported with an answer.
    pub fn on_pace(&mut self, now: Millis, key: Key<Target>, pace: f64) {
        if let Some(target) = self.targets.get_mut(key) {
            target.pace = (pace.clamp(PACE_RANGE.0, PACE_RANGE.1), now);
        }
    }

    /// Records that the answer to a call announced the departure of its upstream.
    /// Returns the upstream's id when this was not known before.
    pub fn on_leaving(&mut self, key: Key<Call>) -> Option<String> {
        let (target, previous) = self.update_notice(key, |notice| notice.leaving = true)?;
        (!previous.leaving).then(|| target.registration.id.clone())
    }

    /// Records that the answer to a call asked for no requests for `span`.
    /// Returns the upstream's id when no such back-off was in force.
    pub fn on_back_off(&mut self, now: Millis, key: Key<Call>, span: Millis) -> Option<String> {
        let (target, previous) = self.update_notice(key, |notice| notice.back_off(now, span))?;
        (previous.back_off_left(now) == Millis(0)).then(|| target.registration.id.clone())
    }

    /// Records the requests a second that the answer to a call names as the limit of its
    /// upstream. Returns the upstream's id when the limit has changed.
    pub fn on_rate_limit(
        &mut self,
        now: Millis,
        key: Key<Call>,
        rate: Option<f64>,
    ) -> Option<String> {
        let call = self.calls.get(key)?;
        let target = self.targets.get_mut(call.target)?;
        let is_current = target.registration.started == call.started;
        let is_changed = is_current && target.rate_limit.on_answer(now, call.sent, rate);
        is_changed.then(|| target.registration.id.clone())
    }

    /// Records a limit that another entry has read in an answer of the upstream whose id
    /// has this hash. Returns the upstream's id when the limit has changed.
    pub fn on_peer_limit(&mut self, id_hash: u64, rate: Option<f64>, at: Millis) -> Option<String> {
        let key = self.by_hash.get(&id_hash)?;
        let target = self.targets.get_mut(*key)?;
        let is_changed = target.rate_limit.merge(rate, at);
        is_changed.then(|| target.registration.id.clone())
    }

    /// Returns the limits that this entry has read in answers lately, by the hash of the
    /// upstream's id, for [`Placer::on_peer_limit`] of the other entries.
    pub fn limits(&self, now: Millis) -> Vec<(u64, Statement)> {
        let targets = self.targets.iter().map(|(_, t)| t);
        let told = targets.filter_map(|t| {
            let statement = t.rate_limit.own_statement(now, LIMIT_TELL_TIME)?;
            Some((t.id_hash, statement))
        });
        told.collect()
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited(&self) -> usize {
        let limited = self.targets.iter().filter(|(_, t)| t.is_limited());
        limited.count()
    }

    /// Sets the names and zones of all entries, this one included, and its own name. They
    /// share the limits of upstreams.
    pub fn set_entries(&mut self, own: &str, entries: IndexMap<String, String>) {
        self.own_name = own.to_string();
        self.entries = entries;
    }

    /// Returns the part of this entry of the limit of an upstream, in requests a second.
    ///
    /// The entries of the upstream's zone share the limit, since the others use upstreams of
    /// their own zones. All entries share it when that zone has none, or when its pool has no
    /// upstream without a limit that serves the same requests. Entries of other zones need
    /// one in the same region for requests that are restricted to it.
    fn limit_share(&self, target: &Target) -> f64 {
        let Some(rate) = target.rate_limit.rate() else {
            return f64::INFINITY;
        };
        let zone = target.registration.zone.as_str();
        let pool = target.registration.pool.as_str();
        let has_other = self.targets.iter().any(|(_, t)| {
            t.registration.pool == pool
                && !t.is_limited()
                && !t.is_leaving()
                && !t.evacuated
                && (!self.restricted || t.region == target.region)
        });
        let has_near = self.entries.values().any(|z| z == zone);
        let is_near_only = has_other && has_near;
        let users = self.entries.iter();
        let users = users.filter(|(_, z)| !is_near_only || z.as_str() == zone);
        let users = users.map(|(name, _)| name.as_str());
        rate_share::share(rate, target.id_hash, &self.own_name, users)
    }

    /// Changes the notice of the incarnation that a call was sent to, and returns
    /// the notice before the change. The registration may belong to a later
    /// incarnation by now.
    fn update_notice(
        &mut self,
        key: Key<Call>,
        change: impl FnOnce(&mut Notice),
    ) -> Option<(&Target, Notice)> {
        let call = self.calls.get(key)?;
        let target = self.targets.get_mut(call.target)?;
        let (id_hash, started) = (target.id_hash, call.started);
        let is_current = target.registration.started == started;
        let previous = if is_current {
            target.notice
        } else {
            self.notices.get(StartId { id_hash, started })
        };
        let mut notice = previous;
        change(&mut notice);
        if is_current {
            target.notice = notice;
        }
        self.notices.set(StartId { id_hash, started }, notice);
        Some((target, previous))
    }

    /// Records the calls that another entry has in progress, by the hash of the upstream's
    /// id.
    pub fn on_loads(&mut self, now: Millis, peer: &str, loads: &[(u64, Load)]) {
        for (_, target) in self.targets.iter_mut() {
            let reported = loads.iter().find(|(id_hash, _)| *id_hash == target.id_hash);
            match reported {
                Some((_, load)) => {
                    let load = load.or_usual(target.engine.as_deref());
                    target.peer_loads.insert(peer.to_string(), (now, load));
                }
                None => {
                    target.peer_loads.swap_remove(peer);
                }
            }
        }
    }

    /// Returns the calls of this entry, as the other entries take them in
    /// [`Placer::on_loads`].
    pub fn loads(&self) -> Vec<(u64, Load)> {
        let busy = self.targets.iter().filter(|(_, t)| t.own_load.calls > 0);
        busy.map(|(_, t)| (t.id_hash, t.own_load)).collect()
    }

    /// Chooses an upstream that is not in `without`.
    ///
    /// Upstreams of evacuated zones and of regions that the request may not use are never
    /// chosen, even when no other is left. Each send of a request is chosen here.
    ///
    /// Runners of other zones that do not report to this entry are used only when no
    /// other is left, and after them upstreams that cool down after failures. Upstreams
    /// that asked for no requests are never used, and those that named a limit, or are
    /// cold, only within the part of this entry.
    pub fn choose(
        &mut self,
        now: Millis,
        profile: &RequestProfile,
        without: &[Key<Target>],
    ) -> Choice {
        let mut found: Vec<Candidate<Target>> = Vec::new();
        let mut unreported: Vec<Candidate<Target>> = Vec::new();
        let mut cooling: Option<(Millis, f64, Key<Target>)> = None;
        let mut backing_off: Option<(Millis, f64)> = None;
        let work_ms = self
            .plain_ms
            .get(&profile.pool)
            .copied()
            .unwrap_or(INITIAL_PLAIN_MS);
        let allowed = self.regions.resolve(&profile.regions);
        let is_reserved = self.is_cold_reserved(now, profile);
        let mut short_memory: Option<f64> = None;
        let users = self.targets.iter_mut().map(|(_, t)| t);
        for target in users.filter(|t| t.registration.pool == profile.pool) {
            target.refresh(now, work_ms);
        }
        for (key, target) in self.targets.iter() {
            if !target.is_permitted(&allowed) || !target.serves(now, profile) {
                continue;
            }
            let mut left = target.notice.back_off_left(now);
            if target.is_limited() {
                match target.rate_limit.wait(now, self.limit_share(target)) {
                    Some(wait) => left = left.max(wait),
                    None => continue,
                }
            }
            left = left.max(target.cold_wait(now, is_reserved));
            if left > Millis(0) {
                // An upstream that was tried counts too, since the caller may
                // come back to it.
                if backing_off.is_none_or(|(least, _)| left < least) {
                    backing_off =
                        Some((left, target.predict_first(now, profile, work_ms, 0.0, 0.0)));
                }
                continue;
            }
            if without.contains(&key) {
                continue;
            }
            let first_ms = target.predict_first(now, profile, work_ms, 0.0, 0.0);
            if !target.has_memory(now, profile) {
                short_memory = Some(short_memory.map_or(first_ms, |least| least.min(first_ms)));
                continue;
            }
            if !self.begins_before_expiry(now, profile, target, first_ms) {
                continue;
            }
            if target.recovery.admits(now, target.own_load.calls) {
                let list = if target.is_unreported(now) {
                    &mut unreported
                } else {
                    &mut found
                };
                list.push(Candidate {
                    target: key,
                    first_ms,
                    unseen: 0.0,
                    added: 0.0,
                });
            } else if cooling.is_none_or(|(until, _, _)| target.recovery.cooldown_end() < until) {
                cooling = Some((target.recovery.cooldown_end(), first_ms, key));
            }
        }
        if found.is_empty() {
            found = std::mem::take(&mut unreported);
        }
        if found.is_empty() {
            // Every other upstream has failed lately. The one whose cooldown
            // ends first is the best that is left.
            return match (cooling, backing_off) {
                (Some((_, first_ms, target)), _) => Choice::Send { target, first_ms },
                (None, Some((retry_after, first_ms))) => Choice::Overloaded {
                    first_ms: retry_after.0 as f64 + first_ms,
                    retry_after,
                },
                (None, None) => {
                    short_memory.map_or(Choice::NoUpstream, |first_ms| Choice::Overloaded {
                        first_ms,
                        retry_after: MEMORY_RETRY,
                    })
                }
            };
        }
        self.add_unseen(now, profile, work_ms, &mut found);
        let best = least_predicted(&found);
        if !profile.allowance.open_zones.is_empty() && !admit::is_timely(profile, best) {
            let known = found.iter().map(|c| Candidate { ..*c });
            unreported
                .extend(known.filter(|c| self.targets.get(c.target).is_some_and(|t| t.remote)));
            if let Some(choice) = self.choose_elsewhere(now, profile, &unreported) {
                return choice;
            }
        }
        // Slots of other zones that a request leaves free go to the entries there, and not to
        // the more urgent kinds of this zone.
        let is_near = |c: &Candidate<Target>| self.targets.get(c.target).is_some_and(|t| !t.remote);
        let refuse = profile.allowance.refuse;
        let exceeds_share = refuse > 0.0 && found.iter().any(is_near) && self.rng.f64() < refuse;
        if exceeds_share || !admit::is_timely(profile, best) {
            // A late answer, or one beyond the share of its kind, may only use a slot
            // that would stay empty. Free slots of slow upstreams do not show that the
            // pool has spare capacity.
            found.retain(|c| c.first_ms <= admit::COMPARABLE_RATIO * best);
            let has_capacity = self.free_share(now, &found) >= profile.allowance.free_share;
            found.retain(|c| {
                let target = self.targets.get(c.target);
                let has_spare_slots = target.is_some_and(|t| t.has_spare_slots(now));
                has_capacity && has_spare_slots && c.first_ms <= profile.time_left
            });
        }
        match spread::draw(&found, &mut self.rng).and_then(|index| found.get(index)) {
            Some(chosen) => Choice::Send {
                target: chosen.target,
                first_ms: chosen.first_ms,
            },
            None => {
                let over = best - profile.slack_ms.unwrap_or(0.0);
                Choice::Overloaded {
                    first_ms: best,
                    retry_after: Millis(over.clamp(50.0, 5_000.0) as u64),
                }
            }
        }
    }

    /// Chooses an upstream of a zone that refuses less than the own one, if the request can
    /// be in time there. The wait is not bounded further: entries of that zone come first
    /// by the penalty of the link, and hold back for this one.
    ///
    /// How many calls an unreported upstream has is not known. Its slots are taken as full
    /// and its queue as empty. When such upstreams get too many requests, the entries of
    /// their zone refuse more, and this one turns to them less often.
    fn choose_elsewhere(
        &mut self,
        now: Millis,
        profile: &RequestProfile,
        candidates: &[Candidate<Target>],
    ) -> Option<Choice> {
        let zones = &profile.allowance.open_zones;
        let (zone, chance) = zones.get(self.rng.usize(0..zones.len().max(1)))?;
        if self.rng.f64() >= *chance {
            return None;
        }
        let candidates = candidates.iter().filter_map(|c| {
            let target = self.targets.get(c.target)?;
            let mut candidate = Candidate { ..*c };
            if target.is_unreported(now) {
                let unseen = target.free_slots(now).max(0.0);
                candidate.first_ms = target.predict_first(now, profile, 0.0, unseen, 0.0);
            }
            (target.registration.zone == *zone).then_some(candidate)
        });
        let candidates: Vec<Candidate<Target>> = candidates.collect();
        let index = spread::draw(&candidates, &mut self.rng)?;
        let Candidate {
            target, first_ms, ..
        } = *candidates.get(index)?;
        admit::is_on_time(profile, first_ms).then_some(Choice::Send { target, first_ms })
    }

    /// Adds the calls that other entries of the zone are expected to have started
    /// and ended at the candidates since they reported.
    ///
    /// As many calls are assumed to start as end.
    fn add_unseen(
        &self,
        now: Millis,
        profile: &RequestProfile,
        work_ms: f64,
        found: &mut [Candidate<Target>],
    ) {
        let predict = |c: &Candidate<Target>| {
            self.targets.get(c.target).map_or(f64::INFINITY, |t| {
                t.predict_first(now, profile, work_ms, c.added, c.added - c.unseen)
            })
        };
        let mut count = 0.0;
        for candidate in found.iter_mut() {
            let Some(target) = self.targets.get(candidate.target) else {
                continue;
            };
            let ended = target.view.ended;
            candidate.unseen = -ended;
            candidate.first_ms = predict(candidate);
            count += ended;
        }
        spread::add_unseen(found, count, predict);
    }

    /// Returns true when a request will begin at an upstream before the version
    /// that the upstream holds expires.
    ///
    /// A request that waits there cannot always be cancelled, since some runners
    /// do not notice that its connection was closed.
    fn begins_before_expiry(
        &self,
        now: Millis,
        profile: &RequestProfile,
        target: &Target,
        first_ms: f64,
    ) -> bool {
        let Some(model) = &profile.model else {
            return true;
        };
        let held = target.version(now, model);
        let expiry =
            held.and_then(|held| self.versions.expires_at(self.version_bound, model, held));
        let span = BEGIN_MARGIN_MS + BEGIN_FACTOR * first_ms;
        expiry.is_none_or(|at| at.since(now).0 as f64 >= span)
    }

    /// Returns the share of the slots of these upstreams that are free, from 0 to 1.
    fn free_share(&self, now: Millis, found: &[Candidate<Target>]) -> f64 {
        let targets = found.iter().filter_map(|c| self.targets.get(c.target));
        let (free, all) = targets.fold((0.0, 0.0), |(free, all), t| {
            let free_slots = t.free_slots(now).max(0.0);
            (free + free_slots, all + f64::from(t.registration.slots))
        });
        free / f64::max(all, 1.0)
    }

    /// Counts a call that is sent; `first_ms` is its predicted time to the first event.
    pub fn on_sent(
        &mut self,
        now: Millis,
        key: Key<Target>,
        profile: &RequestProfile,
        first_ms: f64,
    ) -> Key<Call> {
        let mut started = 0;
        let engine = self.targets.get(key).and_then(|t| t.engine.as_deref());
        let job = Job::new(engine, profile.size);
        let share = self.targets.get(key).map_or(0.0, |t| self.limit_share(t));
        if let Some(target) = self.targets.get_mut(key) {
            target.rate_limit.on_sent(now, share);
            target.cold.held.on_sent();
            started = target.registration.started;
            if target.own_load.calls == target.own_load.waiting {
                target.heard = now;
            }
            target.own_load.add(&job.load());
            if target.recent_sends.len() >= MAX_RECENT_SENDS {
                target.recent_sends.pop_front();
            }
            target.recent_sends.push_back(now);
        }
        self.calls.insert(Call {
            target: key,
            started,
            sent: now,
            predicted_ms: first_ms,
            job,
        })
    }

    /// Sets the forecast of the output of a call, of which `written` tokens were made by
    /// another upstream.
    pub fn set_forecast(&mut self, key: Key<Call>, forecast: Forecast, written: f64) {
        self.update_job(key, |job| job.expect(forecast, written));
    }

    /// Counts an event of a call.
    pub fn on_event(&mut self, now: Millis, key: Key<Call>) {
        let target = self.calls.get(key).map(|call| call.target);
        let Some(target) = target.and_then(|target| self.targets.get_mut(target)) else {
            return;
        };
        target.heard = now;
        let tokens = target.engine.as_ref().map_or(0.0, |e| e.stride);
        self.update_job(key, |job| job.on_output(tokens));
    }

    /// Changes what is left of a call, and the load of its upstream with it.
    fn update_job(&mut self, key: Key<Call>, change: impl FnOnce(&mut Job)) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let before = call.job.load();
        change(&mut call.job);
        if let Some(target) = self.targets.get_mut(call.target) {
            target.own_load.add(&call.job.load());
            target.own_load.subtract(&before);
        }
    }

    /// Counts the first event or the whole answer of a call.
    pub fn on_begun(&mut self, now: Millis, key: Key<Call>) {
        let Some(call) = self.calls.get(key).filter(|call| !call.job.begun) else {
            return;
        };
        let took = now.since(call.sent).0 as f64;
        let (predicted_ms, target) = (call.predicted_ms, call.target);
        self.update_job(key, |job| job.begun = true);
        self.learn_cold(now, target, took, predicted_ms);
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        target.heard = now;
        target.release_place(now, None);
        target.update_slowness(now, took, predicted_ms);
        if target.engine.is_none() {
            let work_ms = self.plain_ms.entry(target.registration.pool.clone());
            let work_ms = work_ms.or_insert(INITIAL_PLAIN_MS);
            *work_ms += PLAIN_WEIGHT * (took - *work_ms);
        }
    }

    /// Counts the end of a call and forgets the call.
    pub fn on_ended(&mut self, now: Millis, key: Key<Call>, outcome: Outcome) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        let Some(target) = self.targets.get_mut(call.target) else {
            return;
        };
        assert!(target.own_load.calls > 0, "a call ends once");
        target.own_load.subtract(&call.job.load());
        if !call.job.begun {
            target.release_place(now, Some(outcome));
        }
        if outcome == Outcome::Misdirected {
            target.misdirected_at = Some(now);
        }
        target.recovery.on_ended(now, outcome);
    }

    /// Returns the number of calls that this entry has in progress.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }
}

/// Returns the shortest predicted time of the candidates, in milliseconds.
fn least_predicted(found: &[Candidate<Target>]) -> f64 {
    let firsts = found.iter().map(|c| c.first_ms);
    firsts.fold(f64::INFINITY, f64::min)
}

/// Returns true when both pools have the engine of the same configuration, or none.
fn has_same_engine(one: Option<&Arc<Engine>>, other: Option<&Arc<Engine>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => Arc::ptr_eq(one, other),
        (None, None) => true,
        _ => false,
    }
}

/// Returns the one-way network delay between two zones, in milliseconds.
fn delay_ms(engine: Option<&Engine>, from: &str, to: &str) -> f64 {
    /// Delay between zones for which none is published.
    const UNKNOWN: f64 = 3.0;
    if from == to {
        return 0.0;
    }
    let listed = engine.into_iter().flat_map(|e| e.delays.iter());
    let mut listed = listed.filter(|(a, b, _)| (a == from && b == to) || (a == to && b == from));
    listed.next().map_or(UNKNOWN, |(_, _, delay_ms)| *delay_ms)
}
