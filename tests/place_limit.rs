//! Placement at upstreams that limit the requests of all entries together.

mod support;

use chervilquay::arena::Key;
use chervilquay::member::registry::Registration;
use chervilquay::route::placement::Call;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Placer;
use chervilquay::route::rate_share;
use chervilquay::route::rate_share::RateLimit;
use chervilquay::route::recovery::Outcome;
use chervilquay::time::Millis;
use indexmap::IndexMap;
use support::placing;

/// Time from the first statement of a limit after which it must be kept.
const CONTACT_MS: u64 = 3_000;

/// Length of the windows in which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// Time until an upstream answers.
const ANSWER_MS: u64 = 40;

/// Time until other entries have read a datagram.
const DATAGRAM_MS: u64 = 100;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// A fleet of entries and upstreams in three zones.
struct Fleet {
    names: Vec<String>,
    placers: Vec<Placer>,
    running: Vec<(u64, usize, Key<Call>, String)>,
    /// Limits that the upstreams name now.
    limits: IndexMap<String, f64>,
    /// When requests arrived, by upstream.
    arrived: IndexMap<String, Vec<u64>>,
    refused: usize,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(entries: usize, upstreams: usize) -> Fleet {
        let members: Vec<Registration> = (0..upstreams)
            .map(|n| Registration {
                zone: ZONES[n % 3].to_string(),
                ..placing::member(&format!("u{n}"), 1)
            })
            .collect();
        let placers = (0..entries).map(|n| {
            let mut placer = Placer::new(ZONES[n % 3], n as u64);
            placer.set_members(&members, &placing::routing());
            placer
        });
        let mut fleet = Fleet {
            names: (0..entries).map(|n| format!("entry-{n}")).collect(),
            placers: placers.collect(),
            running: Vec::new(),
            limits: IndexMap::new(),
            arrived: IndexMap::new(),
            refused: 0,
            rng: fastrand::Rng::with_seed(5),
        };
        fleet.set_alive(|_| true);
        fleet
    }

    /// Tells all entries which of them are there.
    fn set_alive(&mut self, is_alive: impl Fn(usize) -> bool) {
        let names = self.names.iter().enumerate();
        let alive: IndexMap<String, String> = names
            .filter(|(n, _)| is_alive(*n))
            .map(|(n, name)| (name.clone(), ZONES[n % 3].to_string()))
            .collect();
        for (name, placer) in self.names.iter().zip(&mut self.placers) {
            placer.set_entries(name, alive.clone());
        }
    }

    /// Plays from one time to another, in milliseconds; a request comes each `gap` to one
    /// of the entries for which `takes` holds.
    fn play(&mut self, from: u64, to: u64, gap: u64, takes: impl Fn(usize) -> bool) {
        for now in from..to {
            let at = Millis(now);
            let (ended, running) = std::mem::take(&mut self.running)
                .into_iter()
                .partition(|(end, ..)| *end <= now);
            self.running = running;
            for (_, entry, call, upstream) in ended {
                let rate = self.limits.get(&upstream).copied();
                self.placers[entry].on_rate_limit(at, call, rate);
                self.placers[entry].on_begun(at, call);
                self.placers[entry].on_ended(at, call, Outcome::Done);
            }
            if now % DATAGRAM_MS == 0 {
                let told: Vec<_> = self.placers.iter().map(|p| p.limits(at)).collect();
                for (from, limits) in told.iter().enumerate() {
                    for (to, placer) in self.placers.iter_mut().enumerate() {
                        for (upstream, stated) in limits.iter().filter(|_| from != to) {
                            placer.on_peer_limit(*upstream, stated.rate, stated.at);
                        }
                    }
                }
            }
            if now % gap == 0 {
                let entry = self.rng.usize(..self.placers.len());
                if takes(entry) {
                    self.request(now, entry);
                }
            }
        }
    }

    fn request(&mut self, now: u64, entry: usize) {
        let (at, profile) = (Millis(now), placing::profile());
        let placer = &mut self.placers[entry];
        let Choice::Send { target, first_ms } = placer.choose(at, &profile, &[]) else {
            self.refused += 1;
            return;
        };
        let upstream = placer
            .get(target)
            .map(|t| t.registration.id.clone())
            .expect("known");
        let call = placer.on_sent(at, target, &profile, first_ms);
        self.arrived.entry(upstream.clone()).or_default().push(now);
        self.running.push((now + ANSWER_MS, entry, call, upstream));
    }

    /// Returns the most requests that an upstream got in a window from `from` on.
    fn most(&self, upstream: &str, from: u64) -> usize {
        let arrived = self.arrived.get(upstream).map_or(&[][..], |a| a);
        let late: Vec<u64> = arrived.iter().copied().filter(|t| *t >= from).collect();
        let counts = late.iter().enumerate().map(|(n, start)| {
            let rest = late[n..].iter();
            rest.take_while(|t| **t < start + WINDOW_MS).count()
        });
        counts.max().unwrap_or(0)
    }

    fn count(&self, upstream: &str, from: u64, to: u64) -> usize {
        let arrived = self.arrived.get(upstream).map_or(&[][..], |a| a);
        arrived.iter().filter(|t| (from..to).contains(*t)).count()
    }
}

fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW_MS as f64 / 1_000.0 + 5.0
}

/// Guards against entries that send more than a limit together, and against upstreams that
/// are hardly used as nobody feels responsible for them.
#[test]
fn entries_share_a_limit() {
    for entries in [1, 2, 7, 45, 99] {
        for rate in [0.1, 1.0, 1.9, 8.0, 30.0] {
            let mut fleet = Fleet::new(entries, 9);
            fleet.play(0, 2_000, 9, |_| true);
            for upstream in ["u0", "u4"] {
                fleet.limits.insert(upstream.to_string(), rate);
            }
            fleet.play(2_000, 14_000, 9, |_| true);
            for upstream in ["u0", "u4"] {
                let most = fleet.most(upstream, 2_000 + CONTACT_MS);
                assert!(
                    most as f64 <= allowed(rate),
                    "{entries} entries, {rate} a second: {most} in a window"
                );
                let used = fleet.count(upstream, 6_000, 14_000) as f64;
                // As much as it got without the limit, and no more than that.
                let before = fleet.count(upstream, 0, 2_000) as f64 / 2.0;
                let offered = 8.0 * rate.min(before);
                assert!(
                    used >= 0.4 * offered - 1.0,
                    "{entries} entries, {rate} a second: {used} of {offered}"
                );
            }
        }
    }
}

/// Guards against requests that wait, or are sent to an upstream beyond its limit, when all
/// upstreams limit them: they are refused at once.
#[test]
fn limited_pool_refuses_the_rest() {
    let mut fleet = Fleet::new(7, 3);
    for n in 0..3 {
        fleet.limits.insert(format!("u{n}"), 2.0);
    }
    fleet.play(0, 16_000, 10, |_| true);
    for n in 0..3 {
        let most = fleet.most(&format!("u{n}"), CONTACT_MS + 100);
        assert!(most as f64 <= allowed(2.0), "{most}");
        let used = fleet.count(&format!("u{n}"), 4_000, 16_000);
        assert!(used as f64 >= 0.4 * 2.0 * 12.0, "{used}");
    }
    assert!(fleet.refused > 1_000, "{}", fleet.refused);
}

/// Guards against a limited upstream that nobody uses after the entry that did is gone, and
/// against two that use it then.
#[test]
fn part_of_a_lost_entry_moves() {
    let mut fleet = Fleet::new(9, 9);
    fleet.limits.insert("u0".to_string(), 0.6);
    fleet.play(0, 10_000, 9, |_| true);
    let user = (0..9).find(|n| {
        let zone = ["entry-0", "entry-3", "entry-6"];
        let hash = chervilquay::util::stable_hash(["u0"]);
        rate_share::share(0.6, hash, &format!("entry-{n}"), zone) > 0.0
    });
    let user = user.expect("an entry of its zone");
    fleet.play(10_000, 13_000, 9, |n| n != user);
    fleet.set_alive(|n| n != user);
    fleet.play(13_000, 30_000, 9, |n| n != user);
    assert!(fleet.most("u0", CONTACT_MS) as f64 <= allowed(0.6));
    let used = fleet.count("u0", 13_000, 30_000);
    assert!(used >= 5, "{used}");
}

/// Guards against a limit that stays after the upstream has stopped naming it.
#[test]
fn ended_limit_is_forgotten() {
    let mut fleet = Fleet::new(7, 3);
    fleet.limits.insert("u0".to_string(), 1.0);
    fleet.play(0, 8_000, 10, |_| true);
    let before = fleet.count("u0", 4_000, 8_000);
    fleet.limits.clear();
    fleet.play(8_000, 16_000, 10, |_| true);
    let after = fleet.count("u0", 12_000, 16_000);
    assert!(before <= 11 && after > 60, "{before}, then {after}");
    assert!(fleet.placers.iter().all(|p| p.limited() == 0));
}

/// Guards against an answer without a limit that was overtaken by one that names it, and
/// ends it; and against old news of other entries.
#[test]
fn overtaken_answer_does_not_end_a_limit() {
    let mut limit = RateLimit::default();
    assert!(!limit.on_answer(Millis(5), Millis(1), None), "nothing new");
    assert!(limit.on_answer(Millis(100), Millis(50), Some(2.0)));
    assert!(!limit.on_answer(Millis(110), Millis(60), None));
    assert_eq!(limit.rate(), Some(2.0));
    assert!(!limit.merge(None, Millis(90)));
    assert_eq!(limit.rate(), Some(2.0));
    assert!(limit.on_answer(Millis(200), Millis(150), None));
    assert_eq!(limit.rate(), None);
    assert!(!limit.merge(Some(2.0), Millis(100)), "told late");
    assert!(limit.merge(Some(1.0), Millis(300)));
    assert_eq!(limit.wait(Millis(300), 1.0), Some(Millis(1_000)));
    assert_eq!(limit.wait(Millis(300), 0.0), None);
}

/// Guards against a limit that holds for the next incarnation of an upstream, which has not
/// named one.
#[test]
fn restarted_upstream_has_no_limit() {
    let mut fleet = Fleet::new(1, 1);
    fleet.limits.insert("u0".to_string(), 1.0);
    fleet.play(0, 200, 10, |_| true);
    assert_eq!(fleet.placers[0].limited(), 1);
    let next = Registration {
        zone: ZONES[0].to_string(),
        ..placing::member("u0", 2)
    };
    fleet.placers[0].set_members([&next], &placing::routing());
    assert_eq!(fleet.placers[0].limited(), 0);
}

/// Guards against parts that do not add up to the limit.
#[test]
fn parts_add_up() {
    for count in [1, 2, 7, 99] {
        let names: Vec<String> = (0..count).map(|n| format!("e{n}")).collect();
        for rate in [0.3, 1.0, 1.9, 8.0, 500.0] {
            for upstream in 0..20 {
                let parts = names.iter().map(|own| {
                    let all = names.iter().map(String::as_str);
                    rate_share::share(rate, upstream, own, all)
                });
                let sum: f64 = parts.sum();
                assert!(
                    (sum - rate).abs() < 1e-6,
                    "{count} entries: {sum} of {rate}"
                );
            }
        }
    }
    let stranger = rate_share::share(5.0, 1, "x", ["e0", "e1"]);
    assert!(stranger.abs() < f64::EPSILON);
}
