//! Choice of an upstream by what the entry itself observes.

use fastrand::Rng;

use crate::arena::Arena;
use crate::arena::Key;
use crate::common;
use crate::route::affinity::Affinity;
use crate::route::eject::Ejector;
use crate::route::eject::Health;
use crate::route::eject::Signal;
use crate::route::eject::Window;
use crate::route::subset::Member;
use crate::time::Millis;

/// Requests that an upstream is taken to run side by side.
///
/// Only the ratio between upstreams matters for the choice, so one figure for
/// all pools is enough.
const WIDTH: f64 = 8.0;

/// Share of long work that delays short work: agents keep room for short work,
/// so it shares the engine's batch but not its queue.
const LONG_WEIGHT: f64 = 0.25;

/// Weight of the newest response in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.05;

/// Age at which a load report counts half.
const REPORT_HALF: f64 = 300.0;

/// Most that a prefix match may lower a score; a popular prefix must not
/// overload its holder.
const AFFINITY_BOUND: f64 = 0.3;

/// Extra score of an upstream in another zone: the round trip and the
/// engine time that its own zone then lacks.
const REMOTE_PENALTY: f64 = 10.0;

/// Scores within this ratio of the best are equal; the draw among them keeps
/// entries with like views from choosing alike.
const TIE: f64 = 1.02;

/// A call that runs this many times longer than expected is taken as long work.
const OVERRUN: f64 = 4.0;

common! { value
/// What the choice needs to know about a request.
pub struct Ask {
    /// Expected time at the upstream, in milliseconds.
    pub cost: f64,
    /// True for short work.
    pub short: bool,
    /// True when another attempt can follow if this one fails or is slow.
    pub repeatable: bool,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
}
}

common! { value
/// Load as an agent reported it.
pub struct Report {
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Expected wait of a new short request, in milliseconds.
    pub wait: f64,
    /// When the load was measured.
    pub taken: Millis,
}
}

/// One call in progress at an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    upstream: Key<Upstream>,
    cost: f64,
    short: bool,
    sent: Millis,
    overrun: bool,
    begun: bool,
    prefix: Option<u64>,
}

impl Call {
    /// Where it runs.
    pub fn upstream(&self) -> Key<Upstream> {
        self.upstream
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Whole answer.
    Done,
    /// Refused before the run for want of room.
    ///
    /// The agent divides its room by organisation, so another request may
    /// still be taken and the upstream stays open.
    Busy,
    /// Refused before the run; the upstream takes nothing until this time.
    Refused(Millis),
    /// Broken link, crash or time-out.
    Failed,
    /// Cancelled by this entry.
    Cancelled,
}

/// One upstream as this entry sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name, unique in the fleet.
    pub name: String,
    /// True in the entry's own zone.
    pub local: bool,
    /// False when it is leaving or not serving.
    pub ready: bool,
    /// Ejection state.
    pub health: Health,
    /// Calls in progress.
    pub calls: u32,
    pub(crate) window: Window,
    pub(crate) failures: u32,
    owed_short: f64,
    owed_long: f64,
    pace: f64,
    report: Option<Report>,
    busy: Millis,
}

impl Upstream {
    fn new(name: &str, local: bool) -> Upstream {
        Upstream {
            name: name.to_string(),
            local,
            ready: true,
            health: Health::Serving,
            calls: 0,
            window: Window::default(),
            failures: 0,
            owed_short: 0.0,
            owed_long: 0.0,
            pace: 1.0,
            report: None,
            busy: Millis(0),
        }
    }

    /// True when it may get a new call now.
    fn open(&self, now: Millis, ask: &Ask) -> bool {
        self.ready && self.busy <= now && self.health.admits(ask.repeatable)
    }

    /// Expected time until the request is done, in milliseconds.
    fn score(&self, now: Millis, ask: &Ask) -> f64 {
        let owed = if ask.short {
            self.owed_short + LONG_WEIGHT * self.owed_long
        } else {
            self.owed_short + self.owed_long
        };
        let mut score = self.pace * (ask.cost + owed.max(0.0) / WIDTH);
        if let Some(report) = &self.report {
            let age = now.since(report.taken).0 as f64;
            score += report.wait * REPORT_HALF / (REPORT_HALF + age);
        }
        if !self.local {
            score += REMOTE_PENALTY;
        }
        score
    }
}

common! { key
/// How an upstream is chosen; all but the first are baselines for benchmarks.
#[derive(Default)]
pub enum Policy {
    /// Lowest expected time, with ejection and affinity.
    #[default]
    Expected,
    /// In turn.
    RoundRobin,
    /// Fewest calls in progress from this entry.
    LeastRequests,
    /// The one with fewer calls in progress of two drawn at random.
    RandomTwo,
}
}

/// The upstreams of one pool in this entry's subset.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    turn: usize,
    upstreams: Arena<Upstream>,
    calls: Arena<Call>,
    /// Prefixes and their likely holders.
    pub affinity: Affinity,
    ejector: Ejector,
    rng: Rng,
}

impl Chooser {
    /// A chooser without upstreams.
    pub fn new(seed: u64) -> Chooser {
        Chooser::with_policy(seed, Policy::Expected)
    }

    /// A chooser without upstreams that chooses by `policy`.
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

    /// Takes over a new subset; what is known of upstreams that stay is kept.
    pub fn set_members(&mut self, zone: &str, members: &[Member]) {
        let held: Vec<_> = self
            .upstreams
            .iter()
            .map(|(k, u)| (k, u.name.clone()))
            .collect();
        for (key, name) in held {
            match members.iter().find(|m| m.name == name) {
                Some(member) => self.set_ready(key, member.ready),
                // Calls in progress end at their own pace; until then the entity stays.
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

    /// Marks an upstream as taking new work or not.
    pub fn set_ready(&mut self, key: Key<Upstream>, ready: bool) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.ready = ready;
        }
    }

    /// The upstream called `name`.
    pub fn find(&self, name: &str) -> Option<Key<Upstream>> {
        self.upstreams
            .iter()
            .find(|(_, u)| u.name == name)
            .map(|(key, _)| key)
    }

    /// The upstream of `key`.
    pub fn get(&self, key: Key<Upstream>) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (Key<Upstream>, &Upstream)> {
        self.upstreams.iter()
    }

    /// Calls in progress at all upstreams.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// The best upstream that is not in `without`.
    pub fn pick(
        &mut self,
        now: Millis,
        ask: &Ask,
        without: &[Key<Upstream>],
    ) -> Option<Key<Upstream>> {
        if self.policy != Policy::Expected {
            return self.pick_plain(now, ask, without);
        }
        if let Some(probe) = self.probe(now, ask, without) {
            return Some(probe);
        }
        let mut scored: Vec<(f64, Key<Upstream>)> = Vec::new();
        for (key, upstream) in self.upstreams.iter() {
            if without.contains(&key) || !upstream.open(now, ask) || upstream.health.is_probing() {
                continue;
            }
            let belief = ask
                .prefix
                .map_or(0.0, |p| self.affinity.belief(now, p, key));
            let bonus = AFFINITY_BOUND * belief * ask.cost;
            scored.push(((upstream.score(now, ask) - bonus).max(0.01), key));
        }
        let best = scored
            .iter()
            .map(|(score, _)| *score)
            .fold(f64::INFINITY, f64::min);
        scored.retain(|(score, _)| *score <= best * TIE);
        let index = (!scored.is_empty()).then(|| self.rng.usize(0..scored.len()))?;
        Some(scored[index].1)
    }

    /// The choice of a baseline policy.
    fn pick_plain(
        &mut self,
        now: Millis,
        ask: &Ask,
        without: &[Key<Upstream>],
    ) -> Option<Key<Upstream>> {
        let open = self.upstreams.iter();
        let open = open.filter(|(key, u)| !without.contains(key) && u.open(now, ask));
        let open: Vec<_> = open.map(|(key, u)| (u.calls, key)).collect();
        if open.is_empty() {
            return None;
        }
        let count = open.len();
        let least = |set: &[(u32, Key<Upstream>)]| {
            let best = set.iter().min_by_key(|(calls, _)| *calls);
            best.map(|(_, key)| *key)
        };
        self.turn += 1;
        match self.policy {
            Policy::Expected | Policy::RoundRobin => Some(open[self.turn % count].1),
            // The search starts at another place each time, so that ties are spread.
            Policy::LeastRequests => {
                let mut turned = open;
                turned.rotate_left(self.turn % count);
                least(&turned)
            }
            Policy::RandomTwo => {
                let a = self.rng.usize(0..count);
                let b = (a + self.rng.usize(1..count.max(2))) % count;
                least(&[open[a], open[b]])
            }
        }
    }

    /// An ejected upstream whose turn to be probed has come.
    fn probe(&self, now: Millis, ask: &Ask, without: &[Key<Upstream>]) -> Option<Key<Upstream>> {
        if !ask.repeatable || !ask.short {
            return None;
        }
        self.upstreams
            .iter()
            .find(|(key, u)| {
                u.health.is_probing() && u.open(now, ask) && u.calls == 0 && !without.contains(key)
            })
            .map(|(key, _)| key)
    }

    /// Counts a call that was sent.
    pub fn sent(&mut self, now: Millis, key: Key<Upstream>, ask: &Ask) -> Option<Key<Call>> {
        let upstream = self.upstreams.get_mut(key)?;
        upstream.calls += 1;
        *upstream.owed(ask.short) += ask.cost;
        upstream.health.on_sent();
        Some(self.calls.insert(Call {
            upstream: key,
            cost: ask.cost,
            short: ask.short,
            sent: now,
            overrun: false,
            begun: false,
            prefix: ask.prefix,
        }))
    }

    /// Counts the first frame of a call's answer; the result is the time it took.
    pub fn begun(&mut self, now: Millis, key: Key<Call>) -> Option<Millis> {
        let call = self.calls.get_mut(key)?;
        if std::mem::replace(&mut call.begun, true) {
            return None;
        }
        Some(now.since(call.sent))
    }

    /// Counts one interval between frames of one answer, in milliseconds.
    pub fn gap(&mut self, key: Key<Call>, gap: f64) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(call.upstream) {
            upstream.window.add(Signal::Gap, gap);
        }
    }

    /// Counts the end of a call.
    pub fn ended(&mut self, now: Millis, key: Key<Call>, outcome: Outcome) -> Option<Call> {
        let call = self.calls.remove(key)?;
        if let Some(upstream) = self.upstreams.get_mut(call.upstream) {
            assert!(upstream.calls > 0, "a call ends once");
            upstream.calls -= 1;
            *upstream.owed(call.short && !call.overrun) -= call.cost;
            if upstream.calls == 0 {
                // Sums of floats drift; an idle upstream owes nothing.
                (upstream.owed_short, upstream.owed_long) = (0.0, 0.0);
            }
            upstream.note(now, &call, outcome);
        }
        if outcome == Outcome::Done
            && let Some(prefix) = call.prefix
        {
            self.affinity.served(now, prefix, call.upstream);
        }
        Some(call)
    }

    /// Takes over a load report if it is newer than the one held.
    pub fn report(&mut self, key: Key<Upstream>, report: Report) {
        if let Some(upstream) = self.upstreams.get_mut(key)
            && upstream
                .report
                .as_ref()
                .is_none_or(|held| held.taken <= report.taken)
        {
            upstream.report = Some(report);
        }
    }

    /// Earliest time at which a ready upstream takes work, for Retry-After.
    pub fn reopens(&self, now: Millis) -> Option<Millis> {
        let ready = self.upstreams.iter().filter(|(_, u)| u.ready);
        ready.map(|(_, u)| u.busy.max(now)).min()
    }

    /// Moves costs of calls that overran to long work, and ejects and readmits.
    pub fn tick(&mut self, now: Millis) {
        for (_, call) in self.calls.iter_mut() {
            let elapsed = now.since(call.sent).0 as f64;
            if call.overrun || elapsed < OVERRUN * call.cost {
                continue;
            }
            call.overrun = true;
            let Some(upstream) = self.upstreams.get_mut(call.upstream) else {
                continue;
            };
            *upstream.owed(call.short) -= call.cost;
            // Work that has run for long will probably run as long again.
            call.cost = elapsed;
            upstream.owed_long += elapsed;
        }
        if self.policy != Policy::Expected {
            return;
        }
        let overdue = self.overdue(now);
        self.ejector.tick(now, &mut self.upstreams, &overdue);
    }

    /// Upstreams with a call that should have begun long ago, with its age.
    fn overdue(&self, now: Millis) -> Vec<(Key<Upstream>, f64)> {
        let waiting = self.calls.iter().filter(|(_, call)| !call.begun);
        waiting
            .map(|(_, call)| (call.upstream, now.since(call.sent).0 as f64))
            .collect()
    }
}

impl Upstream {
    fn owed(&mut self, short: bool) -> &mut f64 {
        if short {
            &mut self.owed_short
        } else {
            &mut self.owed_long
        }
    }

    fn note(&mut self, now: Millis, call: &Call, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                let elapsed = now.since(call.sent).0 as f64;
                let ratio = elapsed.max(0.5) / call.cost.max(0.5);
                // One straggler must not mark its upstream as slow.
                let ratio = ratio.min(OVERRUN);
                self.pace += PACE_WEIGHT * (ratio - self.pace);
                self.window.add(Signal::Response, ratio);
                self.failures = 0;
            }
            Outcome::Refused(until) => self.busy = until,
            Outcome::Failed => self.failures += 1,
            Outcome::Busy | Outcome::Cancelled => {}
        }
        self.health.on_ended(outcome == Outcome::Done);
    }
}
