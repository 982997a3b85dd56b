//! Choice of an upstream by what the entry itself observes, for requests that are
//! sent to agents.

use fastrand::Rng;

use crate::arena::Arena;
use crate::arena::Key;
use crate::common;
use crate::route::affinity::Affinity;
use crate::route::eject::Ejector;
use crate::route::eject::Signal;
use crate::route::subset::Member;
use crate::route::upstream::Call;
use crate::route::upstream::LoadReport;
use crate::route::upstream::Outcome;
use crate::route::upstream::RequestTraits;
use crate::route::upstream::Upstream;
use crate::time::Millis;

/// Largest part by which a prefix match lowers a score. It is small so that a
/// popular prefix does not overload its holder.
const MAX_AFFINITY: f64 = 0.3;

/// Scores within this ratio of the best count as equal. The upstream is drawn at
/// random among them, so that entries with the same view of the load do not all
/// choose the same upstream.
const TIE_RATIO: f64 = 1.02;

common! { key
/// How an upstream is chosen. All but the first are baselines for benchmarks.
#[derive(Default)]
pub enum Policy {
    /// The upstream with the lowest expected time, with ejection and affinity.
    #[default]
    Expected,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest calls in progress from this entry.
    LeastRequests,
    /// Of two upstreams drawn at random, the one with fewer calls in progress.
    RandomTwo,
}
}

/// The upstreams of one pool in this entry's subset, and the calls in progress there.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    /// Choices made so far by a baseline policy.
    turn: usize,
    upstreams: Arena<Upstream>,
    calls: Arena<Call>,
    /// Prefixes and their likely holders.
    pub affinity: Affinity,
    ejector: Ejector,
    rng: Rng,
}

impl Chooser {
    /// Creates a chooser without upstreams.
    pub fn new(seed: u64) -> Chooser {
        Chooser::with_policy(seed, Policy::Expected)
    }

    /// Creates a chooser without upstreams that chooses by `policy`.
    pub fn with_policy(seed: u64, policy: Policy) -> Chooser {
        Chooser {
            policy,
            turn: 0,
            upstreams: Arena::default(),
            calls: Arena::default(),
            affinity: Affinity::default(),
            ejector: Ejector::default(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Applies a new subset. What is known about upstreams that stay is kept.
    pub fn set_members(&mut self, zone: &str, members: &[Member]) {
        let known: Vec<_> = self
            .upstreams
            .iter()
            .map(|(k, u)| (k, u.name.clone()))
            .collect();
        for (key, name) in known {
            match members.iter().find(|m| m.name == name) {
                Some(member) => self.set_ready(key, member.ready),
                // The upstream is kept until its calls in progress have ended.
                None => self.set_ready(key, false),
            }
            let gone = members.iter().all(|m| m.name != name);
            let idle = self.upstreams.get(key).is_some_and(|u| u.calls == 0);
            if gone && idle {
                self.upstreams.remove(key);
                self.affinity.forget(key);
            }
        }
        for member in members {
            if self.find(&member.name).is_none() {
                let mut upstream = Upstream::new(&member.name, member.zone == zone);
                upstream.ready = member.ready;
                self.upstreams.insert(upstream);
            }
        }
    }

    /// Sets whether an upstream accepts new requests.
    pub fn set_ready(&mut self, key: Key<Upstream>, ready: bool) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.ready = ready;
        }
    }

    /// Returns the key of the upstream called `name`.
    pub fn find(&self, name: &str) -> Option<Key<Upstream>> {
        self.upstreams
            .iter()
            .find(|(_, u)| u.name == name)
            .map(|(key, _)| key)
    }

    /// Returns the upstream of `key`; none when it was removed.
    pub fn get(&self, key: Key<Upstream>) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Iterates over all upstreams of the subset.
    pub fn iter(&self) -> impl Iterator<Item = (Key<Upstream>, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns the number of calls in progress at all upstreams.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns the best upstream that is not in `without`; none when no upstream is
    /// left that accepts requests.
    pub fn pick(
        &mut self,
        now: Millis,
        traits: &RequestTraits,
        without: &[Key<Upstream>],
    ) -> Option<Key<Upstream>> {
        if self.policy != Policy::Expected {
            return self.pick_baseline(now, traits, without);
        }
        if let Some(probe) = self.next_probe(now, traits, without) {
            return Some(probe);
        }
        let mut scored: Vec<(f64, Key<Upstream>)> = Vec::new();
        for (key, upstream) in self.upstreams.iter() {
            if without.contains(&key)
                || !upstream.is_open(now, traits)
                || upstream.health.is_probing()
            {
                continue;
            }
            let likelihood = traits
                .prefix
                .map_or(0.0, |p| self.affinity.likelihood(now, p, key));
            let factor = 1.0 - MAX_AFFINITY * likelihood;
            scored.push((upstream.score(now, traits) * factor, key));
        }
        let best = scored
            .iter()
            .map(|(score, _)| *score)
            .fold(f64::INFINITY, f64::min);
        scored.retain(|(score, _)| *score <= best * TIE_RATIO);
        if scored.is_empty() {
            return self.last_resort(now, traits, without);
        }
        let index = self.rng.usize(0..scored.len());
        Some(scored[index].1)
    }

    /// Returns the upstream with the lowest score among those that are ejected or
    /// probed.
    ///
    /// An upstream that was restarted may still be ejected when the last other
    /// upstream fails. Refusing the request without an attempt would lose it.
    fn last_resort(
        &mut self,
        now: Millis,
        traits: &RequestTraits,
        without: &[Key<Upstream>],
    ) -> Option<Key<Upstream>> {
        let candidates = self.upstreams.iter();
        let candidates = candidates
            .filter(|(key, u)| u.ready && u.closed_until <= now && !without.contains(key));
        let best = candidates
            .min_by(|(_, a), (_, b)| a.score(now, traits).total_cmp(&b.score(now, traits)));
        let key = best.map(|(key, _)| key)?;
        self.upstreams.get_mut(key)?.health.probe_now();
        Some(key)
    }

    /// Returns the choice of a baseline policy.
    fn pick_baseline(
        &mut self,
        now: Millis,
        traits: &RequestTraits,
        without: &[Key<Upstream>],
    ) -> Option<Key<Upstream>> {
        let open = self.upstreams.iter();
        let open = open.filter(|(key, u)| !without.contains(key) && u.is_open(now, traits));
        let open: Vec<_> = open.map(|(key, u)| (u.calls, key)).collect();
        if open.is_empty() {
            return None;
        }
        let count = open.len();
        let fewest_calls = |set: &[(u32, Key<Upstream>)]| {
            let best = set.iter().min_by_key(|(calls, _)| *calls);
            best.map(|(_, key)| *key)
        };
        self.turn += 1;
        match self.policy {
            Policy::Expected | Policy::RoundRobin => Some(open[self.turn % count].1),
            // The search starts at another upstream each time, so that ties are
            // spread over all upstreams.
            Policy::LeastRequests => {
                let mut turned = open;
                turned.rotate_left(self.turn % count);
                fewest_calls(&turned)
            }
            Policy::RandomTwo => {
                let a = self.rng.usize(0..count);
                let b = (a + self.rng.usize(1..count.max(2))) % count;
                fewest_calls(&[open[a], open[b]])
            }
        }
    }

    /// Returns an upstream that should be probed with this request.
    ///
    /// Only short requests that may be repeated are used as probes.
    fn next_probe(
        &self,
        now: Millis,
        traits: &RequestTraits,
        without: &[Key<Upstream>],
    ) -> Option<Key<Upstream>> {
        if !traits.repeatable || !traits.short {
            return None;
        }
        self.upstreams
            .iter()
            .find(|(key, u)| {
                u.health.is_probing()
                    && u.is_open(now, traits)
                    && u.calls == 0
                    && !without.contains(key)
            })
            .map(|(key, _)| key)
    }

    /// Counts a call that was sent; none when the upstream was removed.
    pub fn on_sent(
        &mut self,
        now: Millis,
        key: Key<Upstream>,
        traits: &RequestTraits,
    ) -> Option<Key<Call>> {
        let upstream = self.upstreams.get_mut(key)?;
        upstream.calls += 1;
        upstream.long_calls += u32::from(!traits.short);
        upstream.health.on_sent();
        Some(self.calls.insert(Call {
            upstream: key,
            cost: traits.cost,
            short: traits.short,
            sent: now,
            begun: false,
            prefix: traits.prefix,
        }))
    }

    /// Counts the first frame of a call's answer and returns the time it took; none
    /// when it was counted before.
    pub fn on_begun(&mut self, now: Millis, key: Key<Call>) -> Option<Millis> {
        let call = self.calls.get_mut(key)?;
        if std::mem::replace(&mut call.begun, true) {
            return None;
        }
        Some(now.since(call.sent))
    }

    /// Counts one interval between two frames of an answer, in milliseconds.
    pub fn on_gap(&mut self, key: Key<Call>, gap: f64) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(call.upstream) {
            upstream.window.add(Signal::Gap, gap);
        }
    }

    /// Counts the end of a call and returns the call.
    pub fn on_ended(&mut self, now: Millis, key: Key<Call>, outcome: Outcome) -> Option<Call> {
        let call = self.calls.remove(key)?;
        if let Some(upstream) = self.upstreams.get_mut(call.upstream) {
            assert!(upstream.calls > 0, "a call ends once");
            upstream.calls -= 1;
            upstream.long_calls -= u32::from(!call.short);
            upstream.record_outcome(now, &call, outcome);
        }
        if outcome == Outcome::Done
            && let Some(prefix) = call.prefix
        {
            self.affinity.on_served(now, prefix, call.upstream);
        }
        Some(call)
    }

    /// Records a load report unless it is older than the last one. Requests beyond
    /// the own calls count as the load of other entries.
    pub fn on_report(&mut self, key: Key<Upstream>, report: LoadReport) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.reported_at <= report.measured_at {
            let all = report.running + report.queued;
            upstream.other_calls = f64::from(all.saturating_sub(upstream.calls));
            upstream.reported_at = report.measured_at;
        }
    }

    /// Returns the earliest time at which a ready upstream accepts requests, for
    /// `Retry-After`.
    pub fn reopens(&self, now: Millis) -> Option<Millis> {
        let ready = self.upstreams.iter().filter(|(_, u)| u.ready);
        ready.map(|(_, u)| u.closed_until.max(now)).min()
    }

    /// Ejects slow upstreams and readmits those that have recovered.
    pub fn tick(&mut self, now: Millis) {
        if self.policy != Policy::Expected {
            return;
        }
        let overdue = self.overdue(now);
        self.ejector.tick(now, &mut self.upstreams, &overdue);
    }

    /// Returns the upstream and the age in milliseconds of each call without a first
    /// frame.
    fn overdue(&self, now: Millis) -> Vec<(Key<Upstream>, f64)> {
        let waiting = self.calls.iter().filter(|(_, call)| !call.begun);
        waiting
            .map(|(_, call)| (call.upstream, now.since(call.sent).0 as f64))
            .collect()
    }
}
