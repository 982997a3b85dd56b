//! What a process knows of the cluster: configuration, upstreams and versions
//! of weights, decoded from the replica of the store. No I/O and no clock.

use crate::member::StoreWatch;
use crate::member::evacuation::Evacuations;
use crate::member::registry::Registration;
use crate::platform::config;
use crate::platform::registry;
use crate::prelude::*;
use crate::rollout::versions::NamedVersion;
use crate::rollout::versions::Naming;
use crate::rollout::versions::Versions;
use crate::table::replica::Delta;
use crate::table::replica::Doc;
use crate::table::replica::Position;
use crate::table::replica::Replica;
use crate::table::routing::Routing;

/// Time after the store's return in which an upstream whose registration
/// expired during the outage registers again; one that is still missing then
/// is gone.
const GRACE: Millis = Millis(2_000);

/// Pairs of a route and an organisation without a common region that are reported of one
/// configuration.
const MAX_REPORTED_PAIRS: usize = 8;

/// Removed registrations that are remembered; the oldest are dropped beyond it.
const MAX_REMOVED: usize = 1_024;

common! { value
/// A change of what is known, for the log.
pub enum Change {
    /// The configuration of this version is in force.
    Config(u64),
    /// The configuration in force allows this route and this organisation no common region.
    NoRegion(String, String),
    /// The upstream with this id registered or changed its registration.
    Registered(String),
    /// The upstream with this id is gone.
    Gone(String),
    /// The registration of the upstream with this id is missing, perhaps
    /// because it expired while the store was away.
    Missing(String),
    /// The operator evacuated this zone (true), or revoked its evacuation.
    Evacuation(String, bool),
    /// The operator named this version of a model's weights; none if it is not the newest.
    VersionNamed(String, u64, Option<Naming>),
    /// A peer told when a version was named: it was unknown here, or dated later.
    VersionDated(String, u64, Millis),
    /// The store was restored from an older copy, in this era; holds the former position too.
    Restored(u64, Position),
    /// A document could not be decoded and is left out; holds the reason.
    Undecoded(String),
}
}

/// The cluster as one process knows it.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Copy of the documents in the store.
    pub replica: Replica,
    /// Upstreams by id.
    pub members: IndexMap<String, Registration>,
    /// State of this process's own reading of the store.
    pub watch: StoreWatch,
    /// Versions of weights that were named, with their times.
    pub versions: Versions,
    /// Availability zones that are evacuated.
    pub evacuations: Evacuations,
    routing: Option<Arc<Routing>>,
    /// Upstreams without a registration, with the end of their grace period.
    missing: IndexMap<String, Millis>,
    /// Incarnations whose registrations were removed, by id. A store that is restored lists
    /// them again.
    removed: IndexMap<String, Incarnation>,
    /// Time until which a registration that is found missing counts as expired
    /// rather than removed.
    grace_end: Millis,
    /// Time before which no registration can have expired, as peers had
    /// changes from the store meanwhile.
    no_expiry_until: Millis,
    /// When the store last answered this process.
    answered: Option<Millis>,
    /// Since when the store has answered this process without an outage.
    answered_since: Millis,
    /// True after a failed call, until the store answers again.
    is_store_away: bool,
}

common! { key
/// How recent a registration is: later starts and, within one, later writes are greater.
struct Incarnation {
    started: u64,
    sequence: u64,
}
}

impl Incarnation {
    fn of(registration: &Registration) -> Incarnation {
        Incarnation {
            started: registration.started,
            sequence: registration.sequence,
        }
    }
}

/// How changes of the replica are applied.
struct Context {
    now: Millis,
    /// Time for which a version of weights may answer after the next one was named.
    bound: Millis,
    /// Time for which upstreams whose registrations are missing are kept.
    grace: Millis,
    /// True for the first changes of this process.
    is_start: bool,
    /// True for the listing of a store that was restored from an older copy.
    is_restored: bool,
}

impl ClusterView {
    /// Returns the configuration in force; none before the first was read.
    pub fn routing(&self) -> Option<&Arc<Routing>> {
        self.routing.as_ref()
    }

    /// Records that a call to the store, made at `asked`, failed.
    pub fn store_failed(&mut self, now: Millis, asked: Millis) {
        self.watch.on_failure(now, asked);
        self.is_store_away = true;
    }

    /// Records that the store answered; returns true if the call before failed.
    ///
    /// After an outage of the store, registrations that are missing get a grace
    /// period, as they may have expired during it. There is none if the store
    /// served others meanwhile: only this process was cut off from it, and what
    /// is missing was removed. There is none either if the last answer is less
    /// than `least_outage` old, the shortest outage in which a registration can
    /// expire: a store that drops its history cuts all watches for a moment.
    pub fn store_answered(&mut self, now: Millis, least_outage: Millis) -> bool {
        self.watch.on_answer(now);
        let answered = self.answered.replace(now);
        let was_short_outage = answered.is_some_and(|at| now.since(at) < least_outage);
        if !was_short_outage {
            self.answered_since = now;
        }
        let is_back = std::mem::take(&mut self.is_store_away);
        // A process that has just started cannot know whether the store was away.
        let may_have_expired = is_back || !self.replica.is_synced();
        if may_have_expired && now >= self.no_expiry_until && !was_short_outage {
            self.grace_end = now.plus(GRACE);
        }
        is_back
    }

    /// Records that the store has been restored from an older copy, which this process is about
    /// to apply.
    ///
    /// Upstreams that registered after the copy was made are missing there until they write
    /// again, however short the outage was.
    pub fn store_restored(&mut self, now: Millis) {
        self.answered_since = now;
        self.no_expiry_until = now;
        self.grace_end = now.plus(GRACE);
    }

    /// Records that a peer, itself in no grace period, had changes from the store.
    ///
    /// A registration lives for `lifetime` without the store, so none can have
    /// expired before that has passed.
    pub fn peer_had_changes(&mut self, now: Millis, lifetime: Millis) {
        self.no_expiry_until = now.plus(lifetime);
    }

    /// Returns for how long the store has answered this process without an
    /// outage; 0 while other processes may not rely on it for changes.
    pub fn store_uptime(&self, now: Millis) -> Millis {
        if self.watch.is_reliable(now) {
            now.since(self.answered_since)
        } else {
            Millis(0)
        }
    }

    /// Records for how long the store has answered a peer without an outage;
    /// 0 when the peer does not read the store.
    ///
    /// The store was back by the start of that time, so the grace period ends
    /// `GRACE` after it. A process that sees the store return later, or was
    /// alone cut off from it, would otherwise keep upstreams that were removed.
    pub fn peer_store_uptime(&mut self, now: Millis, uptime: Millis) {
        if uptime == Millis(0) {
            return;
        }
        let end = now.plus(GRACE).since(uptime);
        self.grace_end = self.grace_end.min(end);
        for until in self.missing.values_mut() {
            *until = (*until).min(end);
        }
    }

    /// Returns what is left of the grace period, in which upstreams whose
    /// registration is missing are kept; 0 when there is none.
    pub fn grace_left(&self, now: Millis) -> Millis {
        self.grace_end.since(now)
    }

    /// Applies changes of the replica and returns what they changed here.
    ///
    /// Upstreams whose registrations are missing are kept for `grace`, the rest
    /// of the grace period at the process that the changes come from. `bound` is
    /// the time for which a version may answer after the next one was named.
    pub fn apply(
        &mut self,
        now: Millis,
        bound: Millis,
        delta: Delta,
        grace: Millis,
    ) -> Vec<Change> {
        let is_start = !self.replica.is_synced();
        let former = self.replica.position();
        let position = Position {
            era: delta.era,
            revision: delta.upto,
        };
        if position > former {
            self.watch.on_progress();
        }
        // Peers that fetch these changes from here get the same grace period.
        self.grace_end = self.grace_end.max(now.plus(grace));
        let mut changes = Vec::new();
        let is_restored = self.replica.is_replaced_by(&delta);
        if is_restored {
            changes.push(Change::Restored(position.era, former));
        }
        let context = Context {
            now,
            bound,
            grace,
            is_start,
            is_restored,
        };
        for doc in self.replica.apply(delta) {
            self.apply_doc(&context, &doc, &mut changes);
        }
        changes
    }

    /// Merges what another process knows of the versions; returns a change for
    /// each that was unknown or is now dated earlier.
    pub fn merge_versions(&mut self, named: &[NamedVersion]) -> Vec<Change> {
        let updated = named.iter().filter(|named| self.versions.merge(named));
        updated
            .map(|n| Change::VersionDated(n.model.clone(), n.version, n.naming.at))
            .collect()
    }

    /// Drops upstreams that did not register again within the grace period.
    pub fn drop_missing(&mut self, now: Millis) -> Vec<Change> {
        let expired = self.missing.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.missing.swap_remove(id);
            self.members.swap_remove(id);
        }
        expired.into_iter().map(Change::Gone).collect()
    }

    /// Applies one changed document. A configuration that is not newer than the one
    /// in force is ignored, and so is the removal of any but a registration or an evacuation.
    ///
    /// When a version was named is not known at the first read (`is_start`), nor before the
    /// replica was complete; later it is derived from the reading of the store.
    fn apply_doc(&mut self, context: &Context, doc: &Doc, changes: &mut Vec<Change>) {
        let (now, is_start) = (context.now, context.is_start);
        let key = &*doc.key;
        if key.starts_with(registry::PREFIX) {
            let change = self.apply_member(context, key, doc.value.as_ref());
            changes.extend(change);
            return;
        }
        if let Some(zone) = registry::evacuated_zone(key) {
            let is_evacuated = doc.value.is_some();
            if self.evacuations.set(zone, is_evacuated) {
                changes.push(Change::Evacuation(zone.to_string(), is_evacuated));
            }
            return;
        }
        let Some(value) = &doc.value else {
            return;
        };
        if key == config::KEY {
            match config::decode(value) {
                Ok(routing) => {
                    let held = self.routing.as_ref().map_or(0, |r| r.version());
                    if self.routing.is_none() || routing.version() > held {
                        changes.push(Change::Config(routing.version()));
                        let pairs = routing.without_region().take(MAX_REPORTED_PAIRS);
                        changes.extend(pairs.map(|(route, organisation)| {
                            Change::NoRegion(route.name.clone(), organisation.name.clone())
                        }));
                        self.routing = Some(Arc::new(routing));
                    }
                }
                Err(error) => changes.push(Change::Undecoded(error.detail)),
            }
        } else if key.starts_with(registry::WEIGHTS_PREFIX) {
            match registry::decode_version(key, value) {
                Ok((model, version)) => {
                    match self.watch.change_time(now).filter(|_| !is_start) {
                        Some(naming) => self.versions.insert(&model, version, naming),
                        None => {
                            self.versions
                                .record(now, context.bound, true, &model, version);
                        }
                    }
                    let naming = self.versions.naming(&model, version);
                    changes.push(Change::VersionNamed(model, version, naming));
                }
                Err(error) => changes.push(Change::Undecoded(error.detail)),
            }
        }
    }

    /// Applies a changed registration, or a missing one if `value` is none. An
    /// upstream that was leaving gets no grace period.
    fn apply_member(
        &mut self,
        context: &Context,
        key: &str,
        value: Option<&Bytes>,
    ) -> Option<Change> {
        let id = key.strip_prefix(registry::PREFIX)?.to_string();
        let Some(value) = value else {
            let was = self.members.get(&id)?;
            if context.grace > Millis(0) && !was.draining {
                let until = context.now.plus(context.grace);
                self.missing.insert(id.clone(), until);
                return Some(Change::Missing(id));
            }
            let was = self.members.swap_remove(&id)?;
            if !context.is_restored {
                self.note_removed(&was);
            }
            return Some(Change::Gone(id));
        };
        match registry::decode(key, value) {
            Ok(registration) if context.is_restored && self.is_outdated(&registration) => None,
            Ok(registration) => {
                self.missing.swap_remove(&id);
                self.members.insert(id.clone(), registration);
                Some(Change::Registered(id))
            }
            Err(error) => {
                self.missing.swap_remove(&id);
                self.members.swap_remove(&id);
                Some(Change::Undecoded(error.detail))
            }
        }
    }

    /// Remembers a registration that was removed.
    fn note_removed(&mut self, registration: &Registration) {
        if self.removed.len() >= MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
        let id = registration.id.clone();
        self.removed.insert(id, Incarnation::of(registration));
    }

    /// Returns true for a registration from a copy of the store that is older than what is
    /// known of the upstream: its later state, or its removal.
    fn is_outdated(&self, registration: &Registration) -> bool {
        let copied = Incarnation::of(registration);
        let held = self.members.get(&registration.id).map(Incarnation::of);
        let removed = self.removed.get(&registration.id);
        held.is_some_and(|held| copied < held) || removed.is_some_and(|removed| copied <= *removed)
    }
}
