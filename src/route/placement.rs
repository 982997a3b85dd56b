//! Placement of requests that an entry sends straight to upstreams.
//!
//! Answers load at and above capacity with many entries: each predicts the
//! first event of one more request at each upstream, sends to the earliest,
//! and refuses at once what would miss its objective everywhere. The
//! prediction adds the entry's own calls, what the other entries last told,
//! and the pace that the upstream reports.

use std::collections::VecDeque;

use fastrand::Rng;

use crate::member::registry;
use crate::member::registry::Registration;
use crate::prelude::*;
use crate::rollout::versions::Versions;
use crate::route::engine::Engine;
use crate::route::engine::Size;
use crate::route::notice::Notice;
use crate::route::notice::Notices;
use crate::route::notice::StartId;
use crate::route::recovery::Recovery;
use crate::table::routing::Routing;
use crate::util;

/// Age at which what another entry told of its calls no longer counts.
const LOAD_EXPIRY: Millis = Millis(1_000);

/// Own sends remembered for one upstream; more than it takes in the time after
/// which an agent's word is too old.
const MAX_RECENT: usize = 64;

/// Age at which an agent's word on its runner no longer goes before the registry's.
const STATUS_EXPIRY: Millis = Millis(1_500);

/// Age at which a reported pace no longer counts: neighbours on the VM change
/// it many times a second.
const PACE_EXPIRY: Millis = Millis(700);

/// Time for which an upstream that says it is not the one asked for is left
/// out, unless newer word on what it holds has come: after a restart under its
/// old id, the registry still lists what it held before.
const WRONG_REST: Millis = Millis(3_000);

/// Bounds of a reported or observed pace.
const PACE_RANGE: (f64, f64) = (0.5, 12.0);

/// Time in which an observed slowness is half forgotten, in milliseconds.
const SLOWNESS_HALF: f64 = 1_500.0;

/// Weight of the newest observation of slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// Predictions within this ratio of the best are equal; the draw among them
/// keeps entries with like views from choosing alike.
const TIE: f64 = 1.06;

/// Difference of predictions that is always a tie, in milliseconds.
const TIE_MS: f64 = 6.0;

/// What an upstream of another zone must be better by, in milliseconds:
/// bytes between zones are dear and links between regions narrow.
const REMOTE_MS: f64 = 35.0;

/// Work of a plain service before any was observed, in milliseconds.
const PLAIN_MS: f64 = 30.0;

/// Weight of the newest observation of a plain service's work.
const PLAIN_WEIGHT: f64 = 0.05;

/// Part of the longest pause that the reading of new prompts may take.
const PAUSE_SHARE: f64 = 0.8;

/// Part of the places that must be free for a request that will be late.
const SPARE_SHARE: f64 = 0.2;

/// Part of an upstream's own places that must be free for such a request.
const ROOM_SHARE: f64 = 0.1;

/// Predictions within this ratio of the best are of upstreams in a like state.
const COMPARABLE: f64 = 2.0;

/// Part of the time to the objective that a prediction may take; predictions
/// miss a pace that changes meanwhile.
const CAUTION: f64 = 0.92;

/// Part of the time to the objective that the wait beside the own prompt may
/// take. At 1.5 of the capacity, `bench place` serves the largest tenth 0.55
/// times as often as all with it, 0.34 times without.
const WAIT_SHARE: f64 = 0.55;

/// That part where large requests need a preference: it leaves time for prompts
/// of four times the usual length.
const FAIR_SHARE: f64 = 0.40;

/// Bounds of the factor by which the value for engine time changes the wait.
const DENSITY_RANGE: (f64, f64) = (0.75, 1.05);

/// Factors of the longest wait for the smallest and the large requests, where
/// the large ones need a preference.
const SIZE_FACTORS: (f64, f64) = (0.90, 1.20);

/// Weight of the time by which a request outlasts its runner's turn to load.
const OVERRUN_PART: f64 = 0.15;

/// Most that this adds to a prediction, in milliseconds: other runners are
/// preferred, and none is closed while it still takes work.
const MAX_OVERRUN_MS: f64 = 150.0;

/// Multiple of the predicted time within which a request begins on a runner
/// whose pace changes meanwhile.
const BEGIN_FACTOR: f64 = 2.0;

/// Time for the way to a runner, in milliseconds, before its version expires.
const BEGIN_MARGIN_MS: f64 = 400.0;

/// Time between the prediction and the caller: parsing, links, wake-ups.
const OVERHEAD_MS: f64 = 12.0;

common! { value
/// What the choice needs to know about a request.
pub struct RequestProfile {
    /// Pool that serves it.
    pub pool: String,
    /// Model that it names.
    pub model: Option<String>,
    /// Least version of the model that may run it.
    pub min_version: u64,
    /// Its size; zero for plain services.
    pub size: Size,
    /// Time that is left until its objective, in milliseconds; none when it is late.
    pub slack_ms: Option<f64>,
    /// Longest pause between events with which it is on time.
    pub max_pause: Option<f64>,
    /// Time until it is given up, in milliseconds.
    pub time_left: f64,
    /// Time for reading its prompt, in milliseconds.
    pub read_ms: f64,
    /// Value for the engine time that it takes, relative to the usual request.
    pub value_density: f64,
    /// Its weight, relative to the least of its route's large requests.
    pub relative_size: f64,
    /// How much the large ones are preferred, from 0 to 1.
    pub large_preference: f64,
}
}

/// Where a request goes, or why nowhere.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To this upstream.
    Send {
        /// The upstream.
        target: Key<Target>,
        /// Predicted time to its first event or answer, in milliseconds.
        first_ms: f64,
    },
    /// No upstream can serve it in time.
    Overloaded {
        /// Least predicted time, in milliseconds.
        first_ms: f64,
        /// Time until room is expected.
        retry_after: Millis,
    },
    /// No upstream is known that may serve it.
    NoUpstream,
}

common! { value
/// What an agent says of its runner.
pub struct RunnerStatus {
    /// Models that it holds.
    pub holdings: Vec<registry::Holding>,
    /// True while it loads and takes no work.
    pub loading: bool,
    /// Requests that run or wait.
    pub calls: u32,
    /// Time that work takes, relative to the usual.
    pub pace: f64,
    /// When it was measured.
    pub measured_at: Millis,
    /// When the runner is to load another version.
    pub reload_at: Option<Millis>,
}
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    calls: u32,
    unread: f64,
}

/// One upstream as the entry sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its entry in the registry.
    pub registration: Registration,
    id_hash: u64,
    engine: Option<Arc<Engine>>,
    delay: f64,
    remote: bool,
    leaving: bool,
    notice: Notice,
    own: Load,
    others: IndexMap<String, (Millis, Load)>,
    /// When this entry sent its latest requests there.
    recent: VecDeque<Millis>,
    status: Option<RunnerStatus>,
    pace: (f64, Millis),
    slowness: (f64, Millis),
    recovery: Recovery,
    /// When it last answered that it is not the one asked for.
    wrong: Option<Millis>,
}

common! { key
/// How a call ended.
pub enum Outcome {
    /// With a whole answer.
    Done,
    /// The upstream had no room.
    Busy,
    /// The upstream failed or did not answer.
    Failed,
    /// The connection was refused.
    Refused,
    /// The upstream is another one, or does not hold what was asked for.
    Misdirected,
    /// The caller left, or the call was given up for another reason.
    Dropped,
}
}

/// One call in progress.
#[derive(Clone, Debug)]
pub struct Call {
    target: Key<Target>,
    started: u64,
    sent: Millis,
    unread: f64,
    predicted: f64,
    begun: bool,
}

/// All upstreams of all pools, and the calls of this entry.
#[derive(Debug)]
pub struct Placer {
    zone: String,
    targets: Arena<Target>,
    ids: IndexMap<String, Key<Target>>,
    hashes: IndexMap<u64, Key<Target>>,
    calls: Arena<Call>,
    plain: IndexMap<String, f64>,
    versions: Versions,
    bound: Millis,
    notices: Notices,
    rng: Rng,
}

impl Placer {
    /// A placer for an entry in `zone`.
    pub fn new(zone: &str, seed: u64) -> Placer {
        Placer {
            zone: zone.to_string(),
            targets: Arena::default(),
            ids: IndexMap::new(),
            hashes: IndexMap::new(),
            calls: Arena::default(),
            plain: IndexMap::new(),
            versions: Versions::default(),
            bound: Millis(0),
            notices: Notices::default(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Takes over the registry; what is known of upstreams that stay is kept.
    pub fn set_members<'a>(
        &mut self,
        members: impl IntoIterator<Item = &'a Registration>,
        routing: &Routing,
    ) {
        let mut left: indexmap::IndexSet<String> = self.ids.keys().cloned().collect();
        for member in members {
            left.swap_remove(&member.id);
            self.set_member(member, routing);
        }
        for id in left {
            let Some(key) = self.ids.get(&id).copied() else {
                continue;
            };
            let Some(target) = self.targets.get_mut(key) else {
                continue;
            };
            target.leaving = true;
            if target.own.calls == 0 {
                self.hashes.swap_remove(&target.id_hash);
                self.targets.remove(key);
                self.ids.swap_remove(&id);
            }
        }
    }

    /// Takes over the versions that were named; an older one expires `bound`
    /// after the naming of the next.
    pub fn set_versions(&mut self, versions: Versions, bound: Millis) {
        self.versions = versions;
        self.bound = bound;
    }

    fn set_member(&mut self, member: &Registration, routing: &Routing) {
        let engine = routing.pool(&member.pool).and_then(|p| p.engine.clone());
        let engine = engine.map(Arc::new);
        let delay = delay(engine.as_deref(), &self.zone, &member.zone);
        if let Some(target) = self
            .ids
            .get(&member.id)
            .and_then(|k| self.targets.get_mut(*k))
        {
            if target.registration != *member {
                target.wrong = None;
            }
            if target.registration.started != member.started {
                let (id_hash, started) = (target.id_hash, member.started);
                target.notice = self.notices.get(StartId { id_hash, started });
            }
            if target.registration.started != member.started
                || target.registration.addr != member.addr
            {
                // Another incarnation owes nothing to what the earlier one did.
                target.recovery = Recovery::default();
                target.status = None;
            }
            target.registration = member.clone();
            target.engine = engine;
            target.delay = delay;
            target.leaving = member.draining;
            return;
        }
        let id_hash = util::stable_hash([member.id.as_str()]);
        let started = member.started;
        let key = self.targets.insert(Target {
            registration: member.clone(),
            id_hash,
            engine,
            delay,
            remote: member.zone != self.zone,
            leaving: member.draining,
            notice: self.notices.get(StartId { id_hash, started }),
            own: Load::default(),
            others: IndexMap::new(),
            recent: VecDeque::new(),
            status: None,
            pace: (1.0, Millis(0)),
            slowness: (1.0, Millis(0)),
            recovery: Recovery::default(),
            wrong: None,
        });
        self.ids.insert(member.id.clone(), key);
        self.hashes.insert(id_hash, key);
    }

    /// The upstream of a key.
    pub fn get(&self, key: Key<Target>) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The upstream with an id.
    pub fn find(&self, id: &str) -> Option<Key<Target>> {
        self.ids.get(id).copied()
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (Key<Target>, &Target)> {
        self.targets.iter()
    }

    /// Takes an agent's word on its runner.
    pub fn on_status(&mut self, id: &str, status: RunnerStatus) {
        let Some(target) = self.ids.get(id).and_then(|k| self.targets.get_mut(*k)) else {
            return;
        };
        target.pace = (
            status.pace.clamp(PACE_RANGE.0, PACE_RANGE.1),
            status.measured_at,
        );
        target.status = Some(status);
    }

    /// Takes the pace that came with an answer.
    pub fn on_pace(&mut self, now: Millis, key: Key<Target>, pace: f64) {
        if let Some(target) = self.targets.get_mut(key) {
            target.pace = (pace.clamp(PACE_RANGE.0, PACE_RANGE.1), now);
        }
    }

    /// Takes the word that came with an answer to a call: that its upstream is
    /// leaving. Returns its id when that is new.
    pub fn on_leaving(&mut self, key: Key<Call>) -> Option<String> {
        let (target, was) = self.note(key, |notice| notice.leaving = true)?;
        (!was.leaving).then(|| target.registration.id.clone())
    }

    /// Takes the word that came with an answer to a call: that its upstream wants
    /// no requests for `span`. Returns its id when none such word was in force.
    pub fn on_back_off(&mut self, now: Millis, key: Key<Call>, span: Millis) -> Option<String> {
        let (target, was) = self.note(key, |notice| notice.back_off(now, span))?;
        (was.back_off_left(now) == Millis(0)).then(|| target.registration.id.clone())
    }

    /// Changes what is known of the incarnation that a call was sent to; the
    /// entry may be of a later one by now. Returns what was known before.
    fn note(
        &mut self,
        key: Key<Call>,
        change: impl FnOnce(&mut Notice),
    ) -> Option<(&Target, Notice)> {
        let call = self.calls.get(key)?;
        let target = self.targets.get_mut(call.target)?;
        let (id_hash, started) = (target.id_hash, call.started);
        let is_current = target.registration.started == started;
        let was = if is_current {
            target.notice
        } else {
            self.notices.get(StartId { id_hash, started })
        };
        let mut notice = was;
        change(&mut notice);
        if is_current {
            target.notice = notice;
        }
        self.notices.set(StartId { id_hash, started }, notice);
        Some((target, was))
    }

    /// Takes the calls of another entry, as pairs of an upstream's hash and
    /// its calls with the reading time that they have left.
    pub fn on_loads(&mut self, now: Millis, peer: &str, loads: &[(u64, u32, f64)]) {
        for (_, target) in self.targets.iter_mut() {
            let told = loads
                .iter()
                .find(|(id_hash, _, _)| *id_hash == target.id_hash);
            match told {
                Some((_, calls, unread)) => {
                    let load = Load {
                        calls: *calls,
                        unread: *unread,
                    };
                    target.others.insert(peer.to_string(), (now, load));
                }
                None => {
                    target.others.swap_remove(peer);
                }
            }
        }
    }

    /// The own calls, for the other entries.
    pub fn loads(&self) -> Vec<(u64, u32, f64)> {
        let busy = self.targets.iter().filter(|(_, t)| t.own.calls > 0);
        busy.map(|(_, t)| (t.id_hash, t.own.calls, t.own.unread))
            .collect()
    }

    /// Chooses an upstream that is not in `without`.
    pub fn choose(
        &mut self,
        now: Millis,
        profile: &RequestProfile,
        without: &[Key<Target>],
    ) -> Choice {
        let mut found: Vec<(f64, Key<Target>)> = Vec::new();
        let mut resting: Option<(Millis, f64, Key<Target>)> = None;
        let mut asked: Option<(Millis, f64)> = None;
        let work = self.plain.get(&profile.pool).copied().unwrap_or(PLAIN_MS);
        for (key, target) in self.targets.iter() {
            if !target.serves(now, profile) {
                continue;
            }
            let left = target.notice.back_off_left(now);
            if left > Millis(0) {
                // One that was tried counts too: the caller may come back to it.
                if asked.is_none_or(|(least, _)| left < least) {
                    asked = Some((left, target.predict(now, profile, work)));
                }
                continue;
            }
            if without.contains(&key) {
                continue;
            }
            let first_ms = target.predict(now, profile, work);
            if !self.begins(now, profile, target, first_ms) {
                continue;
            }
            if target.recovery.is_open(now, target.own.calls) {
                found.push((first_ms, key));
            } else if resting.is_none_or(|(until, _, _)| target.recovery.until() < until) {
                resting = Some((target.recovery.until(), first_ms, key));
            }
        }
        if found.is_empty() {
            // Every upstream has failed lately; the one that has rested longest
            // is the best that is left. None that wants no requests is tried.
            return match (resting, asked) {
                (Some((_, first_ms, target)), _) => Choice::Send { target, first_ms },
                (None, Some((retry_after, first_ms))) => Choice::Overloaded {
                    first_ms: retry_after.0 as f64 + first_ms,
                    retry_after,
                },
                (None, None) => Choice::NoUpstream,
            };
        }
        let least = |found: &[(f64, Key<Target>)]| {
            let firsts = found.iter().map(|(first_ms, _)| *first_ms);
            firsts.fold(f64::INFINITY, f64::min)
        };
        let mut best = least(&found);
        if !is_timely(profile, best) {
            // A late answer is worth a place that would stay empty, and no other.
            // The free places of slow upstreams are no sign of room.
            found.retain(|(first_ms, _)| *first_ms <= COMPARABLE * best);
            let has_room = self.spare_share(now, &found) >= SPARE_SHARE;
            found.retain(|(first_ms, key)| {
                let target = self.targets.get(*key);
                let is_spare = target.is_some_and(|t| t.is_spare(now));
                has_room && is_spare && *first_ms <= profile.time_left
            });
            if found.is_empty() {
                let over = best - profile.slack_ms.unwrap_or(0.0);
                return Choice::Overloaded {
                    first_ms: best,
                    retry_after: Millis(over.clamp(50.0, 5_000.0) as u64),
                };
            }
            best = least(&found);
        }
        found.retain(|(first_ms, _)| *first_ms <= (best * TIE).max(best + TIE_MS));
        let (first_ms, target) = found[self.rng.usize(0..found.len())];
        Choice::Send { target, first_ms }
    }

    /// True when a request begins at an upstream before its version expires.
    ///
    /// A request that waits there cannot always be taken back: some runners do
    /// not notice that its connection was closed.
    fn begins(
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
        let expiry = held.and_then(|held| self.versions.expires_at(self.bound, model, held));
        let span = BEGIN_MARGIN_MS + BEGIN_FACTOR * first_ms;
        expiry.is_none_or(|at| at.since(now).0 as f64 >= span)
    }

    /// Share of the places of these upstreams that are free.
    fn spare_share(&self, now: Millis, found: &[(f64, Key<Target>)]) -> f64 {
        let targets = found.iter().filter_map(|(_, key)| self.targets.get(*key));
        let (free, all) = targets.fold((0.0, 0.0), |(free, all), t| {
            let room = t.room(now).max(0.0);
            (free + room, all + f64::from(t.registration.slots))
        });
        free / f64::max(all, 1.0)
    }

    /// Counts a call that is sent.
    pub fn on_sent(
        &mut self,
        now: Millis,
        key: Key<Target>,
        profile: &RequestProfile,
        first_ms: f64,
    ) -> Key<Call> {
        let (mut unread, mut started) = (0.0, 0);
        if let Some(target) = self.targets.get_mut(key) {
            started = target.registration.started;
            unread = target
                .engine
                .as_ref()
                .map_or(0.0, |e| e.read_ms(profile.size.prompt));
            target.own.calls += 1;
            target.own.unread += unread;
            if target.recent.len() >= MAX_RECENT {
                target.recent.pop_front();
            }
            target.recent.push_back(now);
        }
        self.calls.insert(Call {
            target: key,
            started,
            sent: now,
            unread,
            predicted: first_ms,
            begun: false,
        })
    }

    /// Counts the first event or the whole answer of a call.
    pub fn on_begun(&mut self, now: Millis, key: Key<Call>) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut call.begun, true) {
            return;
        }
        let took = now.since(call.sent).0 as f64;
        let (unread, predicted) = (call.unread, call.predicted);
        let Some(target) = self.targets.get_mut(call.target) else {
            return;
        };
        target.own.unread = (target.own.unread - unread).max(0.0);
        target.observe(now, took, predicted);
        if target.engine.is_none() {
            let work = self.plain.entry(target.registration.pool.clone());
            let work = work.or_insert(PLAIN_MS);
            *work += PLAIN_WEIGHT * (took - *work);
        }
    }

    /// Counts the end of a call.
    pub fn on_ended(&mut self, now: Millis, key: Key<Call>, outcome: Outcome) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        let Some(target) = self.targets.get_mut(call.target) else {
            return;
        };
        assert!(target.own.calls > 0, "a call ends once");
        target.own.calls -= 1;
        if !call.begun {
            target.own.unread = (target.own.unread - call.unread).max(0.0);
        }
        if outcome == Outcome::Misdirected {
            target.wrong = Some(now);
        }
        target.recovery.on_ended(now, outcome);
    }

    /// Calls of this entry in progress.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }
}

/// True when the best prediction is good enough to take a place.
///
/// A request that can be on time may wait for a place; the less it is worth for
/// the engine time that it takes, the shorter. The bound is on the wait beside
/// the reading of its own prompt: with one bound on the whole time, small
/// requests would fill the queues up to a length at which no large one can ever
/// be on time. Where the large ones of a route get too few places, the bound
/// leaves time for their prompts, and theirs is the longest.
fn is_timely(profile: &RequestProfile, best: f64) -> bool {
    let Some(slack) = profile.slack_ms else {
        return false;
    };
    let dense = WAIT_SHARE
        * slack
        * profile
            .value_density
            .clamp(DENSITY_RANGE.0, DENSITY_RANGE.1);
    let factor =
        SIZE_FACTORS.0 + (SIZE_FACTORS.1 - SIZE_FACTORS.0) * profile.relative_size.min(1.0);
    let fair = FAIR_SHARE * slack * factor;
    let bound = dense + profile.large_preference * (fair - dense);
    best <= CAUTION * slack && best - profile.read_ms <= bound
}

/// One-way delay between two zones, in milliseconds.
fn delay(engine: Option<&Engine>, from: &str, to: &str) -> f64 {
    /// Delay where none is published.
    const UNKNOWN: f64 = 3.0;
    if from == to {
        return 0.0;
    }
    let listed = engine.into_iter().flat_map(|e| e.delays.iter());
    let mut listed = listed.filter(|(a, b, _)| (a == from && b == to) || (a == to && b == from));
    listed.next().map_or(UNKNOWN, |(_, _, delay)| *delay)
}

impl Target {
    /// True when it takes requests now.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.is_leaving() && !self.is_resting(now)
    }

    /// True while it rests after failures, or wants no requests.
    fn is_resting(&self, now: Millis) -> bool {
        self.notice.back_off_left(now) > Millis(0) || !self.recovery.is_open(now, self.own.calls)
    }

    /// What the prediction was made from, for the log.
    pub fn describe(&self, now: Millis) -> String {
        let load = self.load(now);
        let known = self.status(now).map_or(0, |s| s.calls);
        format!(
            "{} calls {} own {} reported {known} unread {:.0} pace {:.2} slowness {:.2}",
            self.registration.id,
            load.calls,
            self.own.calls,
            load.unread,
            self.pace(now),
            self.slowness(now)
        )
    }

    /// State for operators.
    pub fn dump(&self, now: Millis) -> serde_json::Value {
        let load = self.load(now);
        serde_json::json!({
            "id": self.registration.id,
            "pool": self.registration.pool,
            "zone": self.registration.zone,
            "leaving": self.is_leaving(),
            "own": self.own.calls,
            "calls": load.calls,
            "unread_ms": load.unread,
            "pace": self.pace(now),
            "resting": self.is_resting(now),
            "status": self.status(now).map(|s| serde_json::json!({
                "busy": s.loading, "calls": s.calls, "age_ms": now.since(s.measured_at).0,
            })),
        })
    }

    /// True when the registry or its own answers say that it is leaving.
    fn is_leaving(&self) -> bool {
        self.leaving || self.notice.leaving
    }

    /// True when it may take the request at all.
    fn serves(&self, now: Millis, profile: &RequestProfile) -> bool {
        if self.registration.pool != profile.pool || self.is_leaving() {
            return false;
        }
        let Some(engine) = &self.engine else {
            return !self.is_wrong(now);
        };
        let status = self.status(now);
        if status.is_some_and(|s| s.loading) || self.is_wrong(now) {
            return false;
        }
        let Some(model) = &profile.model else {
            return true;
        };
        let holdings = status.map_or(&self.registration.holdings, |s| &s.holdings);
        let held = registry::complete_version(holdings, model, engine.layers);
        held.is_some_and(|version| version >= profile.min_version)
    }

    /// True while nothing newer than its own denial is known of it.
    fn is_wrong(&self, now: Millis) -> bool {
        let Some(at) = self.wrong else {
            return false;
        };
        let is_newer = self.status(now).is_some_and(|s| s.measured_at > at);
        !is_newer && now.since(at) < WRONG_REST
    }

    /// The agent's word, while it is fresh.
    fn status(&self, now: Millis) -> Option<&RunnerStatus> {
        let status = self.status.as_ref()?;
        (now.since(status.measured_at) < STATUS_EXPIRY).then_some(status)
    }

    /// Version of `model` that it answers from.
    pub fn version(&self, now: Millis, model: &str) -> Option<u64> {
        let holdings = self
            .status(now)
            .map_or(&self.registration.holdings, |s| &s.holdings);
        let layers = self.engine.as_ref().map_or(0, |e| e.layers);
        registry::complete_version(holdings, model, layers)
    }

    /// Load as told by the entries of the zone, or as its agent reports it with
    /// what was sent since: entries of other zones tell nothing.
    fn load(&self, now: Millis) -> Load {
        let told = self.told(now);
        let Some(status) = self.status(now) else {
            return told;
        };
        let sent = self
            .recent
            .iter()
            .rev()
            .take_while(|at| **at > status.measured_at);
        Load {
            calls: told.calls.max(status.calls + sent.count() as u32),
            ..told
        }
    }

    fn told(&self, now: Millis) -> Load {
        let fresh = self
            .others
            .values()
            .filter(|(at, _)| now.since(*at) < LOAD_EXPIRY);
        fresh.fold(self.own, |sum, (_, load)| Load {
            calls: sum.calls + load.calls,
            unread: sum.unread + load.unread,
        })
    }

    /// Places that are free; negative when requests wait.
    fn room(&self, now: Millis) -> f64 {
        f64::from(self.registration.slots) - f64::from(self.load(now).calls)
    }

    /// True when enough places are free for a request that will be late.
    fn is_spare(&self, now: Millis) -> bool {
        let slots = f64::from(self.registration.slots);
        self.room(now) >= (ROOM_SHARE * slots).max(1.0)
    }

    fn pace(&self, now: Millis) -> f64 {
        let reported = if now.since(self.pace.1) < PACE_EXPIRY {
            self.pace.0
        } else {
            1.0
        };
        reported * self.slowness(now)
    }

    /// Slowness beyond what was reported, fading while nothing is observed.
    fn slowness(&self, now: Millis) -> f64 {
        let (value, at) = self.slowness;
        let age = now.since(at).0 as f64;
        1.0 + (value - 1.0) * 0.5_f64.powf(age / SLOWNESS_HALF)
    }

    fn observe(&mut self, now: Millis, took: f64, predicted: f64) {
        let held = self.slowness(now);
        // Short answers vary by more than they tell.
        let ratio = (held * took / predicted.max(20.0)).clamp(1.0, PACE_RANGE.1);
        self.slowness = (held + SLOWNESS_WEIGHT * (ratio - held), now);
    }

    /// Penalty for a request that would hold up a load, in milliseconds.
    ///
    /// A runner loads only after its last request has ended, so each request
    /// that outlasts the turn keeps the places of all others empty.
    fn overrun(&self, now: Millis, engine: &Engine, profile: &RequestProfile, pass: f64) -> f64 {
        let Some(turn) = self.status(now).and_then(|s| s.reload_at) else {
            return 0.0;
        };
        let span = profile.size.output / engine.stride * pass;
        let over = span - turn.since(now).0 as f64;
        (OVERRUN_PART * over).clamp(0.0, MAX_OVERRUN_MS)
    }

    /// Predicted time to the first event of one more request, in milliseconds.
    fn predict(&self, now: Millis, profile: &RequestProfile, work: f64) -> f64 {
        let away = 2.0 * self.delay + if self.remote { REMOTE_MS } else { 0.0 };
        let load = self.load(now);
        let slots = f64::from(self.registration.slots.max(1));
        let calls = f64::from(load.calls);
        let Some(engine) = &self.engine else {
            let turns = ((calls + 1.0) / slots).max(1.0);
            return work * turns * self.pace(now) + away;
        };
        let read = engine.read_ms(profile.size.prompt);
        let batch = (calls + 1.0).min(slots);
        let pass = engine.pass_time(batch);
        // A request that arrives in the middle of a pass waits for its end.
        let mut first_ms = 0.5 * pass + read + pass;
        if calls + 1.0 > slots {
            first_ms += (calls + 1.0 - slots) * engine.completion_interval();
        } else {
            first_ms += load.unread;
            let pause = (pass + load.unread + read) * self.pace(now);
            if profile
                .max_pause
                .is_some_and(|most| pause > PAUSE_SHARE * most)
            {
                // The streams of the batch would stand still for too long.
                first_ms += pause;
            }
        }
        first_ms * self.pace(now) + away + OVERHEAD_MS + self.overrun(now, engine, profile, pass)
    }
}
