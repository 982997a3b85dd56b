//! Placement at cold upstreams; see [`crate::route::cold`].

use crate::member::registry::Registration;
use crate::prelude::*;
use crate::route::cold;
use crate::route::cold::Cold;
use crate::route::cold::ColdLimit;
use crate::route::placement::Call;
use crate::route::placement::Placer;
use crate::route::profile::RequestProfile;
use crate::route::recovery::Outcome;
use crate::route::target::Target;
use crate::table::routing::Pool;
use crate::table::routing::Routing;

impl Placer {
    /// Applies what the registrations and the configuration say of cold upstreams, after
    /// [`Placer::set_members`]. `overshoot` and `slack` are the operator's bounds of the
    /// requests in a second. Returns the ids of the upstreams that have turned cold.
    pub fn set_cold<'a>(
        &mut self,
        now: Millis,
        members: impl IntoIterator<Item = &'a Registration>,
        routing: &Routing,
        (overshoot, slack): (f64, f64),
    ) -> Vec<String> {
        let pool_limit =
            |pool: &Arc<Pool>| ColdLimit::new(pool.cold_span, pool.cold_rate, overshoot, slack);
        let mut turned = Vec::new();
        let mut is_changed = self.targets.len() != self.cold_total;
        for member in members {
            let limit = routing.pool(&member.pool).and_then(pool_limit);
            let key = self.by_id.get(&member.id).copied();
            let Some(target) = key.and_then(|key| self.targets.get_mut(key)) else {
                continue;
            };
            is_changed |= target.cold.limit != limit;
            target.cold.limit = limit;
            if limit.is_none() {
                continue;
            }
            if let Some(factor) = self.cold_factors.get(&member.pool) {
                target.cold.factor = *factor;
            }
            let (started, sequence) = (member.started, member.sequence);
            let state = &mut target.cold.state;
            if state.on_registration(now, started, sequence, member.cold_left) {
                turned.push(member.id.clone());
            }
        }
        if is_changed {
            self.update_places();
        }
        turned
    }

    /// Returns true when a pool limits the requests to its cold upstreams and the list of
    /// entries is to be applied again.
    pub fn needs_sharers(&self, now: Millis) -> bool {
        let mut targets = self.targets.iter();
        self.sharers.is_due(now) && targets.any(|(_, t)| t.cold.limit.is_some())
    }

    /// Returns the number of cold upstreams.
    pub fn cold(&self, now: Millis) -> usize {
        let cold = self.targets.iter();
        cold.filter(|(_, t)| t.cold.limit(now).is_some()).count()
    }

    /// Applies the list of all entries with their zones, this one included, to the limits
    /// of cold upstreams.
    pub fn set_sharers(
        &mut self,
        now: Millis,
        own: &str,
        entries: impl IntoIterator<Item = (String, String)>,
    ) {
        if self.sharers.update(now, own, entries) {
            self.update_places();
        }
    }

    /// Records the time left that the answer to a call states. Returns the upstream's id
    /// when it has turned cold.
    pub fn on_cold_answer(&mut self, now: Millis, key: Key<Call>, left: Millis) -> Option<String> {
        let call = self.calls.get(key)?;
        let sent = call.sent;
        let target = self.targets.get_mut(call.target)?;
        let is_current = target.registration.started == call.started;
        (is_current && target.set_cold(|state| state.on_answer(now, sent, left)))
            .then(|| target.registration.id.clone())
    }

    /// Records the time left that the agent of upstream `id` states. Returns the upstream's
    /// id when it has turned cold.
    pub fn on_cold_agent(&mut self, now: Millis, id: &str, left: Millis) -> Option<String> {
        let key = self.by_id.get(id)?;
        let target = self.targets.get_mut(*key)?;
        target
            .set_cold(|state| state.on_agent(now, left))
            .then(|| target.registration.id.clone())
    }

    /// Updates the slowness of the cold upstreams of a pool from a call that has begun.
    pub(super) fn learn_cold(
        &mut self,
        now: Millis,
        key: Key<Target>,
        took: f64,
        predicted_ms: f64,
    ) {
        let Some(target) = self.targets.get(key) else {
            return;
        };
        if target.cold.limit(now).is_none() {
            return;
        }
        let assumed = target.slowness(now).max(target.cold_factor(now));
        let pool = target.registration.pool.clone();
        let factor = self.cold_factors.entry(pool.clone()).or_insert(1.0);
        *factor = cold::learn_factor(*factor, took, predicted_ms, assumed);
        let of_pool = self.targets.iter_mut();
        for (_, target) in of_pool.filter(|(_, t)| t.registration.pool == pool) {
            target.cold.factor = *factor;
        }
    }

    /// Returns true when the free places at cold upstreams of the pool are left for more
    /// urgent or cheaper requests.
    pub(super) fn is_cold_reserved(&self, now: Millis, profile: &RequestProfile) -> bool {
        if cold::reserve(profile, u32::MAX) == 0 {
            return false;
        }
        let of_pool = self.targets.iter().map(|(_, t)| t);
        let of_pool = of_pool.filter(|t| t.registration.pool == profile.pool && !t.is_leaving());
        let (free, total) = of_pool.fold((0, 0), |(free, total), target| {
            let Some(limit) = target.cold.limit(now) else {
                return (free, total);
            };
            let held = target.cold.held.held(now, limit);
            let places = target.cold.places;
            (free + places.saturating_sub(held), total + places)
        });
        total > 0 && free <= cold::reserve(profile, total)
    }

    fn update_places(&mut self) {
        let zones = self.zone_sizes();
        let all = self.targets.len();
        self.cold_total = all;
        for (_, target) in self.targets.iter_mut() {
            let Some(limit) = &target.cold.limit else {
                continue;
            };
            let zone = &target.registration.zone;
            let near = zones.get(zone).copied().unwrap_or(0);
            let sizes = (near, all - near);
            target.cold.places = self.sharers.places(limit, target.id_hash, zone, sizes);
        }
    }

    /// Returns the number of upstreams in each zone.
    fn zone_sizes(&self) -> IndexMap<String, usize> {
        let mut sizes = IndexMap::new();
        for (_, target) in self.targets.iter() {
            let zone = target.registration.zone.as_str();
            match sizes.get_mut(zone) {
                Some(size) => *size += 1,
                None => {
                    sizes.insert(zone.to_string(), 1);
                }
            }
        }
        sizes
    }
}

impl Target {
    /// Changes the state of an upstream whose pool limits its requests while it is cold.
    fn set_cold(&mut self, change: impl FnOnce(&mut Cold) -> bool) -> bool {
        self.cold.limit.is_some() && change(&mut self.cold.state)
    }

    /// Returns the time until this entry may send a request to it, as far as it is cold;
    /// `is_reserved` is true when free places are left for other requests.
    pub(super) fn cold_wait(&self, now: Millis, is_reserved: bool) -> Millis {
        let Some(limit) = self.cold.limit(now) else {
            return Millis(0);
        };
        let left = self.cold.state.left(now);
        if self.cold.places == 0 {
            return left;
        }
        let is_free = self.cold.held.held(now, limit) < self.cold.places;
        match is_free && !is_reserved {
            true => Millis(0),
            false => left.min(self.cold.held.next_free(now, limit)),
        }
    }

    /// Counts a call that has begun or, with an outcome, has ended before that.
    pub(super) fn release_place(&mut self, now: Millis, outcome: Option<Outcome>) {
        self.cold
            .held
            .release(now, self.cold.limit.as_ref(), outcome);
    }
}
