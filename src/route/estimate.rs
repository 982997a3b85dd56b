//! Learned cost of requests: the output length of generations in tokens, and the time of
//! plain calls in milliseconds.
//!
//! It is made for requests that look alike and cost very different amounts. Observations are
//! kept by route, model, organisation and shared parts of the prompt, as histograms that
//! decay. A narrow group with few observations is filled up from the wider ones. The caller's
//! estimate counts as much as it has said about the truth in the same groups.

mod histogram;

use crate::prelude::*;
use crate::route::estimate::histogram::BUCKETS;
use crate::route::estimate::histogram::Drift;
use crate::route::estimate::histogram::Histogram;
use crate::route::estimate::histogram::Mix;
use crate::util;

pub use crate::route::estimate::histogram::Summary;

/// Groups that one request belongs to: its route, with its model, and with its organisation,
/// its shared parts, or both.
const LEVELS: usize = 5;

/// Equally likely values that describe a forecast.
pub const POINTS: usize = 16;

/// Index of the point that a request exceeds one time in ten.
const UPPER_POINT: usize = 14;

/// Part of the output written so far that is expected to follow once a stream has gone on
/// beyond all points of its forecast.
const TAIL_SHARE: f64 = 0.25;

/// Standard deviation of the logarithm of the output that is assumed without observations.
const PRIOR_SPREAD: f64 = 0.7;

/// Most groups that are kept; the one that was not updated for longest is dropped first.
const MAX_GROUPS: usize = 1_024;

/// Most peers, and groups of each, whose summaries are kept.
const MAX_PEERS: usize = 64;
const MAX_PEER_GROUPS: usize = 256;

/// Interval between two rounds of summaries, and the time for which datagrams carry those of
/// a round. An entry sends to each other entry of its zone at least every 250 ms.
const ROUND_INTERVAL: Millis = Millis(1_000);
const ROUND_TIME: Millis = Millis(300);

/// Most summaries in a round. Each has about 45 bytes.
const MAX_TOLD: usize = 8;

/// Weight of all earlier observations of a group after a shift.
const SHIFT_KEEP: f64 = 1.0;

common! { key
/// Groups of alike requests that a request belongs to, from wide to narrow; 0 for a group
/// that it does not have.
pub struct Kind {
    groups: [u64; LEVELS],
}
}

impl Kind {
    /// Returns the kind of requests on a route, for a model, from an organisation, and with
    /// these parts of the prompt in common.
    pub fn new<'a>(
        route: &str,
        model: Option<&str>,
        organisation: Option<&str>,
        parts: impl IntoIterator<Item = &'a str>,
    ) -> Kind {
        let model = model.unwrap_or_default();
        let mut shared = parts.into_iter().peekable();
        let shared = shared.peek().is_some().then(|| {
            let texts: Vec<&str> = shared.collect();
            util::stable_hash(texts)
        });
        let shared = shared.map(|hash| hash.to_string());
        let shared = shared.as_deref();
        let hash = |level: &str, more: &[&str]| {
            util::stable_hash([&[level, route, model], more].concat()).max(1)
        };
        let both = organisation.zip(shared);
        Kind {
            groups: [
                util::stable_hash(["route", route]).max(1),
                hash("model", &[]),
                organisation.map_or(0, |o| hash("organisation", &[o])),
                shared.map_or(0, |s| hash("parts", &[s])),
                both.map_or(0, |(o, s)| hash("both", &[o, s])),
            ],
        }
    }
}

/// Forecast of the output or time of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    mean: f64,
    /// Equally likely values, in ascending order.
    points: [f32; POINTS],
    /// Largest possible value.
    limit: f64,
}

impl Forecast {
    /// Returns a forecast with this mean and the spread that is assumed without observations.
    pub fn around(mean: f64) -> Forecast {
        /// Quantiles of the standard normal distribution at the middles of sixteen equal
        /// parts, for the upper half.
        const NORMAL: [f64; POINTS / 2] = [
            0.0784, 0.2372, 0.4023, 0.5791, 0.7764, 1.0100, 1.3180, 1.8627,
        ];
        let mut points = [0.0_f32; POINTS];
        for (index, z) in NORMAL.iter().enumerate() {
            let factor = (PRIOR_SPREAD * z).exp();
            points[POINTS / 2 + index] = factor as f32;
            points[POINTS / 2 - 1 - index] = (1.0 / factor) as f32;
        }
        let sum: f32 = points.iter().sum();
        let scale = mean as f32 * POINTS as f32 / sum;
        Forecast {
            mean,
            points: points.map(|p| p * scale),
            limit: f64::INFINITY,
        }
    }

    /// Returns the forecast with `limit` as the largest possible value.
    pub fn within(self, limit: f64) -> Forecast {
        Forecast {
            mean: self.mean.min(limit),
            points: self.points.map(|p| p.min(limit as f32)),
            limit,
        }
    }

    /// Returns the expected value.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the value that the request stays below with probability `share`.
    pub fn quantile(&self, share: f64) -> f64 {
        let index = (share * POINTS as f64) as usize;
        f64::from(self.points[index.min(POINTS - 1)])
    }

    /// Returns what a request may reach when it has come to `done`: exceeded one time in ten.
    pub fn upper(&self, done: f64) -> f64 {
        let upper = f64::from(self.points[UPPER_POINT]);
        upper.max(done * (1.0 + TAIL_SHARE)).min(self.limit)
    }

    /// Returns the probability that a request that has come to `done` ends before it has come
    /// `span` further.
    pub fn ends_within(&self, done: f64, span: f64) -> f64 {
        let points = self.points.iter().map(|p| f64::from(*p));
        let ahead = points.filter(|p| *p > done);
        let (all, ends) = ahead.fold((0.0, 0.0), |(all, ends), point| {
            (all + 1.0, ends + f64::from(u8::from(point <= done + span)))
        });
        if all > 0.0 {
            ends / all
        } else {
            let left = self.left(done);
            (span / left.max(span)).min(1.0)
        }
    }

    /// Returns what is expected to follow when a request has come to `done`.
    ///
    /// What has been passed no longer counts: a request that outlasts its expectation is
    /// likely to be one of the long ones.
    pub fn left(&self, done: f64) -> f64 {
        if done <= 0.0 {
            return self.mean;
        }
        let ahead = self.points.iter().map(|p| f64::from(*p) - done);
        let (count, sum) = ahead
            .filter(|left| *left > 0.0)
            .fold((0.0, 0.0), |(count, sum), left| (count + 1.0, sum + left));
        let left = if count > 0.0 {
            sum / count
        } else {
            TAIL_SHARE * done
        };
        left.min((self.limit - done).max(0.0))
    }
}

/// Observations of one group.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Level in `kind`.
    level: usize,
    kind: Option<Kind>,
    /// Observations of this entry.
    own: Histogram,
    /// Sum of what the peers state.
    others: Histogram,
    /// How far recent observations were from the earlier ones.
    drift: Drift,
    /// Number of this entry's latest observation of the group, counted over all groups.
    number: u64,
    /// When it was last part of a round of summaries.
    told: Millis,
}

impl Group {
    /// Returns true when it is part of the group `key` at `level`.
    fn is_within(&self, level: usize, key: u64) -> bool {
        let is_narrower = match level {
            0 | 1 => self.level > level,
            _ => self.level == LEVELS - 1,
        };
        is_narrower && self.kind.is_some_and(|kind| kind.groups[level] == key)
    }
}

/// Learned costs by group; see the module.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    groups: IndexMap<u64, Group>,
    /// Latest summaries of each peer, by group, with the time they arrived.
    peers: IndexMap<String, IndexMap<u64, (Millis, Summary)>>,
    /// Observations of this entry so far.
    number: u64,
    round: Vec<Summary>,
    round_at: Millis,
}

impl Estimates {
    /// Returns the forecast for a request; none without any observation on its route.
    ///
    /// `usual` is the value that is assumed for the route without observations, and `hint` the
    /// caller's estimate.
    pub fn forecast(
        &self,
        now: Millis,
        kind: &Kind,
        usual: f64,
        hint: Option<f64>,
    ) -> Option<Forecast> {
        let mix = self.mix(now, kind, usual)?;
        let shares = mix.given(hint);
        Some(Forecast {
            mean: histogram::mean(&shares),
            points: histogram::points(&shares),
            limit: f64::INFINITY,
        })
    }

    /// Returns the shares of a request's groups, the narrow ones filled up from the wide ones.
    fn mix(&self, now: Millis, kind: &Kind, usual: f64) -> Option<Mix> {
        let group = |level: usize| self.groups.get(&kind.groups[level]);
        let is_known = group(0).is_some_and(|g| !g.own.is_empty() || !g.others.is_empty());
        if !is_known {
            return None;
        }
        let blend = |mix: Mix, level: usize| match group(level) {
            Some(g) => mix.blend(now, &g.own, &g.others),
            None => mix,
        };
        let model = blend(blend(Mix::prior(usual, PRIOR_SPREAD), 0), 1);
        let both = match (kind.groups[2] > 0, kind.groups[3] > 0) {
            (false, false) => return Some(model),
            (true, false) => return Some(blend(model, 2)),
            (false, true) => return Some(blend(model, 3)),
            // The output depends on the one, the other or both. The group whose values lie
            // closer together says more.
            (true, true) => Mix::closer(blend(model.clone(), 2), blend(model, 3)),
        };
        Some(blend(both, 4))
    }

    /// Records the output or time of a request.
    ///
    /// `is_whole` is false when it was cut off, so that all that is known is that it would
    /// have been longer: the observation is spread over the larger values as the distribution
    /// so far has them.
    pub fn learn(
        &mut self,
        now: Millis,
        kind: &Kind,
        usual: f64,
        hint: Option<f64>,
        value: f64,
        is_whole: bool,
    ) {
        if !(value.is_finite() && value >= 1.0) {
            return;
        }
        let mix = self.mix(now, kind, usual);
        let mix = mix.unwrap_or_else(|| Mix::prior(usual, PRIOR_SPREAD));
        let expected = mix.given(hint);
        let mut shares = [0.0; BUCKETS];
        if is_whole {
            histogram::put(&mut shares, value);
        } else {
            histogram::put_beyond(&mut shares, &expected, value);
        }
        let found = histogram::log_mean(&shares);
        self.number += 1;
        for (level, key) in kind.groups.iter().enumerate().filter(|(_, key)| **key > 0) {
            let group = self.group(*key);
            (group.level, group.kind) = (level, Some(*kind));
            let usual = group.own.log_mean(now, &group.others);
            usual.inspect(|usual| group.drift.add(now, found - usual));
            group.own.add(now, &shares, hint);
            let shift = group.drift.shift();
            self.groups[key].number = self.number;
            if let Some(shift) = shift {
                self.discount(level, *key, shift);
            }
        }
    }

    /// Returns the group of `key`, which is added if it is missing.
    fn group(&mut self, key: u64) -> &mut Group {
        if !self.groups.contains_key(&key) && self.groups.len() >= MAX_GROUPS {
            let ages = self.groups.iter().enumerate();
            let oldest = ages.min_by_key(|(_, (_, g))| g.own.updated().max(g.others.updated()));
            if let Some((index, _)) = oldest {
                self.groups.swap_remove_index(index);
            }
        }
        self.groups.entry(key).or_default()
    }

    /// Takes most of the weight from what a group and its parts have observed before a shift.
    ///
    /// A part whose own observations have not shifted keeps its weight: the shift is that of
    /// another part.
    fn discount(&mut self, level: usize, key: u64, shift: f64) {
        for (other, group) in &mut self.groups {
            let is_part = group.is_within(level, key) && group.drift.agrees(shift);
            if *other == key || is_part {
                group.own.shrink(SHIFT_KEEP);
                group.others.shrink(SHIFT_KEEP);
                group.drift = Drift::default();
            }
        }
    }

    /// Returns what the datagrams to the entries of the zone carry now: at most a few groups,
    /// for a short time in each second.
    ///
    /// Only own observations are told, so that none counts twice anywhere.
    pub fn told(&mut self, now: Millis) -> &[Summary] {
        let age = now.since(self.round_at);
        if age >= ROUND_INTERVAL {
            self.round_at = now;
            let groups = self.groups.iter().filter(|(_, g)| !g.own.is_empty());
            let score = |g: &Group| g.own.weight(now) * (1.0 + now.since(g.told).0 as f64);
            let mut due: Vec<(f64, u64)> = groups.map(|(key, g)| (score(g), *key)).collect();
            due.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
            due.truncate(MAX_TOLD);
            self.round.clear();
            for (_, key) in due {
                if let Some(group) = self.groups.get_mut(&key) {
                    group.told = now;
                    let summary = group.own.summary(now, key, group.number);
                    self.round.push(summary);
                }
            }
        } else if age >= ROUND_TIME {
            self.round.clear();
        }
        &self.round
    }

    /// Records the summaries of a peer. The latest of each group counts. When the numbers go
    /// back, the peer has started again, and what it said before is dropped.
    pub fn merge(&mut self, now: Millis, peer: &str, summaries: impl IntoIterator<Item = Summary>) {
        if !self.peers.contains_key(peer) && self.peers.len() >= MAX_PEERS {
            return;
        }
        for summary in summaries {
            let key = summary.group;
            let held = self.peers.entry(peer.to_string()).or_default();
            let previous = held.get(&key).map(|(_, held)| held.number);
            if previous.is_some_and(|number| summary.number < number) {
                self.forget(now, peer);
            } else if previous.is_none() && held.len() >= MAX_PEER_GROUPS {
                continue;
            }
            let held = self.peers.entry(peer.to_string()).or_default();
            held.insert(key, (now, summary));
            self.update_others(now, key);
        }
    }

    /// Drops the summaries of peers for which `is_known` is false.
    pub fn retain_peers(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        let names = self.peers.keys().filter(|name| !is_known(name));
        for name in names.cloned().collect::<Vec<_>>() {
            self.forget(now, &name);
        }
    }

    /// Drops what a peer has said.
    fn forget(&mut self, now: Millis, peer: &str) {
        let groups = self.peers.swap_remove(peer).unwrap_or_default();
        for key in groups.into_keys() {
            self.update_others(now, key);
        }
    }

    /// Sums up what the peers have said of a group.
    fn update_others(&mut self, now: Millis, key: u64) {
        let mut sum = Histogram::default();
        for (at, summary) in self.peers.values().filter_map(|groups| groups.get(&key)) {
            sum.add_summary(now, *at, summary);
        }
        self.group(key).others = sum;
    }

    /// Returns the number of groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Returns true when nothing was observed.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}
