//! State of upstreams that started a short time ago, and the limit on their requests.
//!
//! It is made for many entries that send to an upstream that looks empty: after its start,
//! or when a zone returns. A cold upstream takes only some requests a second from all
//! entries together. Each entry has a number of places at it; the places follow from the
//! names that all entries know and add up to the limit, as in [`crate::route::rate_share`].
//! A request holds its place from the time when it is sent until one second after it is
//! known to have arrived. So in any second no more requests arrive than there are places,
//! however long a link delays them.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::route::profile::RequestProfile;
use crate::route::rate_share;
use crate::route::recovery::Outcome;

/// Window of the limit.
const WINDOW: Millis = Millis(1_000);

/// Time after an answer that states the time left in which a registration does not shorten
/// it: it may have been written before the answer and applied after it.
const ANSWER_TIME: Millis = Millis(3_000);

/// Part of the places that the entries of the upstream's zone have. The other entries have
/// the rest, for callers whose own zone is full.
const NEAR_PART: f64 = 0.6;

/// Time for which an entry that is no longer listed keeps its places. Both sides of a
/// partition would use them otherwise. An upstream completes fewer requests than the
/// limit allows, so unused places cost little.
const ENTRY_MEMORY: Millis = Millis(60_000);

/// Time after the start of an entry in which it may know few of the others.
const START_TIME: Millis = Millis(10_000);

/// Least number of entries that are assumed in a zone for each of its upstreams, in the
/// time after the start and later. Deployments have about as many entries as upstreams, and
/// an entry that knows fewer would take their places.
const START_ENTRIES: f64 = 1.5;
const LEAST_ENTRIES: f64 = 0.5;

/// Part of the margin of the limit that one entry may use. Two entries with a wrong list
/// are covered then.
const ENTRY_PART: f64 = 0.5;

/// Part of an entry's places that a request leaves free for each level at which it is less
/// urgent or more expensive.
const RESERVE: f64 = 0.1;

/// Value density below which a request is expensive.
const EXPENSIVE: f64 = 0.75;

/// Weight of the newest observation in the average slowness of cold upstreams.
const FACTOR_WEIGHT: f64 = 0.1;

/// Longest time for which a statement is believed.
const MAX_COLD: Millis = Millis(600_000);

common! { value
/// Limit of a pool for its cold upstreams.
#[derive(Copy)]
pub struct ColdLimit {
    /// Requests a second that an upstream takes from all entries together.
    pub rate: f64,
    /// Requests in a second beyond that which do no harm.
    pub margin: f64,
}
}

impl ColdLimit {
    /// Creates the limit of a pool; none when the pool has no cold time or no rate.
    /// `overshoot` and `slack` are the operator's bounds of the requests in a second.
    pub fn new(span: Millis, rate: Option<f64>, overshoot: f64, slack: f64) -> Option<ColdLimit> {
        let rate = rate.filter(|r| r.is_finite() && *r > 0.0 && span > Millis(0))?;
        let margin = (rate * (overshoot - 1.0) + slack).max(0.0);
        Some(ColdLimit { rate, margin })
    }

    /// Returns the number of places at one upstream.
    fn places(&self) -> usize {
        (self.rate as usize).max(1)
    }

    /// Returns for how long a request holds its place after its arrival.
    fn hold(&self) -> Millis {
        WINDOW.max(Millis((1_000.0 / self.rate) as u64))
    }
}

/// Whether one upstream is cold, as one entry knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cold {
    started: u64,
    /// Until when it is cold.
    end: Millis,
    /// When an answer last stated the time left.
    answered: Option<Millis>,
    /// Registration that was last applied, as its number of writes and the time left.
    applied: Option<(u64, Millis)>,
    /// When a source last stated the time left.
    stated: Option<Millis>,
}

impl Cold {
    /// Applies a registration of the incarnation that started at `started`, which the
    /// upstream wrote as its write number `sequence`. Returns true when it has turned cold.
    pub fn on_registration(
        &mut self,
        now: Millis,
        started: u64,
        sequence: u64,
        left: Millis,
    ) -> bool {
        if self.started != started {
            // What is known of another incarnation says nothing of this one.
            *self = Cold {
                started,
                ..Cold::default()
            };
        }
        if self.applied.replace((sequence, left)) == Some((sequence, left)) {
            return false;
        }
        let may_shorten = !self.is_answered(now);
        self.set(now, left, may_shorten)
    }

    /// Records what an answer to a request that was sent at the time `sent` says. Returns
    /// true when the upstream has turned cold.
    ///
    /// Answers overtake each other, so one shortens the time only if its request was sent
    /// after the last answer that stated it.
    pub fn on_answer(&mut self, now: Millis, sent: Millis, left: Millis) -> bool {
        let is_newer = self.answered.is_none_or(|at| sent > at);
        self.answered = Some(now);
        self.set(now, left, is_newer)
    }

    /// Records what the agent derives from the start of its runner. Returns true when the
    /// upstream has turned cold. An upstream may turn cold without a start, so this never
    /// shortens the time, and what the upstream itself has said lately takes precedence.
    pub fn on_agent(&mut self, now: Millis, left: Millis) -> bool {
        if self.is_answered(now) {
            return false;
        }
        self.set(now, left, false)
    }

    /// Returns true when an answer has stated the time left a short time ago.
    fn is_answered(&self, now: Millis) -> bool {
        let answered = self.answered;
        answered.is_some_and(|at| now.since(at) < ANSWER_TIME)
    }

    fn set(&mut self, now: Millis, left: Millis, may_shorten: bool) -> bool {
        let was_cold = self.is_cold(now);
        let end = now.plus(left.min(MAX_COLD));
        if may_shorten || end > self.end {
            self.end = end;
        }
        self.stated = Some(now);
        !was_cold && self.is_cold(now)
    }

    /// Returns true while the upstream is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.end
    }

    /// Returns the time for which it is still cold.
    pub fn left(&self, now: Millis) -> Millis {
        self.end.since(now)
    }

    /// Returns the age of the last statement; none before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.stated.map(|at| now.since(at))
    }
}

/// Requests of one entry that hold places at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// Requests that may still be on the way.
    open: u32,
    /// When the others were known to have arrived.
    arrived: VecDeque<Millis>,
}

impl Places {
    /// Counts a request that is sent.
    pub fn on_sent(&mut self) {
        self.open += 1;
    }

    /// Counts a request that has begun to be answered or, with an outcome, has ended before
    /// that. One that another instance got, or none, does not count as arrived.
    pub fn release(&mut self, now: Millis, limit: Option<&ColdLimit>, outcome: Option<Outcome>) {
        self.open = self.open.saturating_sub(1);
        let has_arrived = !matches!(outcome, Some(Outcome::Misdirected | Outcome::Refused));
        let Some(limit) = limit.filter(|_| has_arrived) else {
            return;
        };
        let hold = limit.hold();
        while self
            .arrived
            .front()
            .is_some_and(|at| now.since(*at) >= hold)
        {
            self.arrived.pop_front();
        }
        self.arrived.push_back(now);
    }

    /// Returns the number of places that are held now.
    pub fn held(&self, now: Millis, limit: &ColdLimit) -> u32 {
        let hold = limit.hold();
        let recent = self.arrived.iter().rev();
        let recent = recent.take_while(|at| now.since(**at) < hold);
        self.open + recent.count() as u32
    }

    /// Returns the time until the next place is free, if all that are held now are taken.
    pub fn next_free(&self, now: Millis, limit: &ColdLimit) -> Millis {
        let hold = limit.hold();
        let ends = self.arrived.iter().map(|at| at.plus(hold).since(now));
        ends.filter(|left| *left > Millis(0)).min().unwrap_or(hold)
    }
}

/// The entries that share the places, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Sharers {
    own: String,
    /// Zone of each entry, and when it was last listed.
    entries: IndexMap<String, (String, Millis)>,
    /// When this entry started to know others.
    since: Option<Millis>,
    /// When the list was last applied.
    updated: Millis,
    /// True in the time after the start.
    is_new: bool,
}

impl Sharers {
    /// Returns true when the list is to be applied again.
    pub fn is_due(&self, now: Millis) -> bool {
        /// Least time between two updates: entries write many datagrams a second.
        const INTERVAL: Millis = Millis(200);
        self.since.is_none() || now.since(self.updated) >= INTERVAL
    }

    /// Applies the list of all entries with their zones, this one included. Returns true
    /// when places may have changed.
    pub fn update(
        &mut self,
        now: Millis,
        own: &str,
        entries: impl IntoIterator<Item = (String, String)>,
    ) -> bool {
        let since = *self.since.get_or_insert(now);
        self.updated = now;
        let was_new = self.is_new || self.own.is_empty();
        self.own = own.to_string();
        self.is_new = now.since(since) < START_TIME;
        let mut is_changed = was_new != self.is_new;
        for (name, zone) in entries {
            let held = self.entries.insert(name, (zone.clone(), now));
            is_changed |= held.is_none_or(|(held, _)| held != zone);
        }
        let before = self.entries.len();
        self.entries
            .retain(|_, (_, listed)| now.since(*listed) < ENTRY_MEMORY);
        is_changed || before != self.entries.len()
    }

    /// Returns the number of places of this entry at the upstream with this hash of its id
    /// in `zone`; `near` and `far` are the numbers of upstreams in that zone and elsewhere.
    pub fn places(
        &self,
        limit: &ColdLimit,
        upstream: u64,
        zone: &str,
        (near, far): (usize, usize),
    ) -> u32 {
        let Some((own_zone, _)) = self.entries.get(&self.own) else {
            return 0;
        };
        let is_near = own_zone == zone;
        let in_group = |group: bool| {
            let listed = self.entries.iter();
            listed.filter_map(move |(name, (z, _))| ((z == zone) == group).then_some(name.as_str()))
        };
        let factor = if self.is_new {
            START_ENTRIES
        } else {
            LEAST_ENTRIES
        };
        let assumed = |upstreams: usize| (upstreams as f64 * factor).ceil() as usize;
        let (own_count, other_count) = if is_near { (near, far) } else { (far, near) };
        let all = limit.places();
        let has_others = in_group(!is_near).next().is_some() || assumed(other_count) > 0;
        let near_places = (all as f64 * NEAR_PART).ceil() as usize;
        let places = match (has_others, is_near) {
            (false, _) => all,
            (true, true) => near_places,
            (true, false) => all - near_places,
        };
        // Entries that are not known yet stand in the list under numbers.
        let unknown = assumed(own_count).saturating_sub(in_group(is_near).count());
        let unknown: Vec<String> = (0..unknown).map(|n| n.to_string()).collect();
        let entries = in_group(is_near).chain(unknown.iter().map(String::as_str));
        let own_places = rate_share::places(places, upstream, &self.own, entries);
        let most = ((limit.margin * ENTRY_PART) as usize).max(1);
        own_places.min(most) as u32
    }
}

/// Returns how many of `total` places a request leaves free for more urgent and cheaper ones.
pub fn reserve(profile: &RequestProfile, total: u32) -> u32 {
    let expensive = u8::from(profile.value_density < EXPENSIVE);
    let level = f64::from(profile.rank.min(2) + expensive);
    (RESERVE * level * f64::from(total)) as u32
}

/// Updates the average slowness `factor` of the cold upstreams of a pool from the time to a
/// first event, its prediction, and the slowness `assumed` in the prediction.
pub fn learn_factor(factor: f64, took: f64, predicted_ms: f64, assumed: f64) -> f64 {
    /// Largest slowness that is assumed.
    const MOST: f64 = 8.0;
    let observed = (assumed * took / predicted_ms.max(20.0)).clamp(1.0, MOST);
    factor + FACTOR_WEIGHT * (observed - factor)
}
