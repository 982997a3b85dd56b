//! Placement at cold upstreams, which take some requests a second from all entries together.

mod support;

use std::collections::VecDeque;

use chervilquay::arena::Key;
use chervilquay::member::registry::Registration;
use chervilquay::route::cold::Cold;
use chervilquay::route::placement::Call;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Placer;
use chervilquay::route::profile::RequestProfile;
use chervilquay::route::rate_share;
use chervilquay::route::recovery::Outcome;
use chervilquay::table::routing::Limits;
use chervilquay::table::routing::Pool;
use chervilquay::table::routing::Routing;
use chervilquay::time::Millis;
use support::placing;

const ZONES: [&str; 3] = ["a", "b", "c"];
const ENTRIES: usize = 50;
const SLOTS: usize = 12;

/// Requests a second that a cold upstream takes, and the most that it may get in any.
const RATE: usize = 26;
const BOUND: usize = 44;
const BOUNDS: (f64, f64) = (1.5, 5.0);

/// Time from the arrival at a free slot to the first event, and to the end.
const FIRST_MS: u64 = 120;
const END_MS: u64 = 1_260;

/// Requests that an upstream completes in a second.
const CAPACITY: f64 = SLOTS as f64 * 1_000.0 / END_MS as f64;

fn routing(span: u64, rate: Option<f64>) -> Routing {
    let pool = Pool {
        cold_span: Millis(span),
        cold_rate: rate,
        ..placing::routing()
            .pool("p")
            .map(|p| (**p).clone())
            .expect("known")
    };
    Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default())
}

fn limited() -> Routing {
    routing(60_000, Some(RATE as f64))
}

fn member(index: usize, zone: &str, started: u64, left: u64) -> Registration {
    Registration {
        zone: zone.to_string(),
        slots: SLOTS as u32,
        cold_left: Millis(left),
        ..placing::member(&format!("u{index}"), started)
    }
}

/// A request on its way, by the time when it arrives.
type Sent = (u64, usize, Key<Call>);

#[derive(Default)]
struct Upstream {
    arriving: Vec<Sent>,
    queue: VecDeque<Sent>,
    /// Requests that run, by the time when they arrived at their slot.
    running: Vec<Sent>,
    arrived: Vec<u64>,
}

/// A fleet of entries in three zones and of upstreams.
struct Fleet {
    placers: Vec<Placer>,
    members: Vec<Registration>,
    upstreams: Vec<Upstream>,
    /// Entries that each entry lists at a time.
    lists: fn(u64, usize, usize) -> bool,
    /// Time that a request of an entry that is sent at a time is on its way.
    delay: fn(u64, usize) -> u64,
    is_alive: fn(u64, usize) -> bool,
    refused: usize,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(upstreams: usize, zone: impl Fn(usize) -> usize, left: u64) -> Fleet {
        let members = (0..upstreams).map(|n| member(n, ZONES[zone(n)], 1, left));
        let mut fleet = Fleet {
            placers: Vec::new(),
            members: members.collect(),
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            lists: |_, _, _| true,
            delay: |_, _| 2,
            is_alive: |_, _| true,
            refused: 0,
            rng: fastrand::Rng::with_seed(7),
        };
        for index in 0..ENTRIES {
            let placer = fleet.placer(index, 0);
            fleet.placers.push(placer);
        }
        fleet
    }

    fn placer(&self, index: usize, now: u64) -> Placer {
        let mut placer = Placer::new(ZONES[index % 3], index as u64);
        placer.set_members(&self.members, &limited());
        placer.set_cold(Millis(now), &self.members, &limited(), BOUNDS);
        placer
    }

    /// Plays from one time to another; `rate` requests come in a second.
    fn play(&mut self, from: u64, to: u64, rate: f64) {
        let mut due = 0.0;
        for now in from..to {
            let at = Millis(now);
            if now % 100 == 0 {
                self.gossip(now);
            }
            for (upstream, member) in self.upstreams.iter_mut().zip(&self.members) {
                upstream.step(now, &mut self.placers, &member.id);
            }
            due += rate / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                let entry = self.rng.usize(..ENTRIES);
                if (self.is_alive)(now, entry) {
                    self.request(at, entry);
                }
            }
        }
    }

    fn gossip(&mut self, now: u64) {
        let loads: Vec<_> = self.placers.iter().map(Placer::loads).collect();
        for (own, placer) in self.placers.iter_mut().enumerate() {
            let listed =
                (0..ENTRIES).filter(|other| *other == own || (self.lists)(now, own, *other));
            let listed: Vec<usize> = listed.collect();
            for other in listed
                .iter()
                .filter(|other| *other % 3 == own % 3 && **other != own)
            {
                placer.on_loads(Millis(now), &name(*other), &loads[*other]);
            }
            let listed = listed
                .into_iter()
                .map(|n| (name(n), ZONES[n % 3].to_string()));
            placer.set_sharers(Millis(now), &name(own), listed);
        }
    }

    fn request(&mut self, now: Millis, entry: usize) {
        let profile = placing::profile();
        let placer = &mut self.placers[entry];
        let Choice::Send { target, first_ms } = placer.choose(now, &profile, &[]) else {
            self.refused += 1;
            return;
        };
        let id = placer.get(target).map(|t| t.registration.id.clone());
        let index = self.members.iter().position(|m| Some(&m.id) == id.as_ref());
        let call = placer.on_sent(now, target, &profile, first_ms);
        let delay = (self.delay)(now.0, entry);
        let upstream = &mut self.upstreams[index.expect("known")];
        upstream.arriving.push((now.0 + delay, entry, call));
    }

    /// Returns the most requests that any upstream got in a second from `from` on.
    fn most(&self, from: u64) -> usize {
        let counts = self.upstreams.iter().map(|upstream| {
            let late = upstream.arrived.partition_point(|t| *t < from);
            let late = &upstream.arrived[late..];
            let counts = late
                .iter()
                .enumerate()
                .map(|(n, start)| late[n..].iter().take_while(|t| **t < start + 1_000).count());
            counts.max().unwrap_or(0)
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the share of the slots that are in use.
    fn used(&self) -> f64 {
        let running: usize = self.upstreams.iter().map(|u| u.running.len()).sum();
        running as f64 / (SLOTS * self.upstreams.len()) as f64
    }
}

impl Upstream {
    fn step(&mut self, now: u64, placers: &mut [Placer], id: &str) {
        let (arrived, arriving): (Vec<Sent>, Vec<Sent>) =
            self.arriving.drain(..).partition(|(at, ..)| *at <= now);
        self.arriving = arriving;
        self.arrived.extend(arrived.iter().map(|_| now));
        self.queue.extend(arrived);
        for (_, entry, call) in self.running.extract_if(.., |(at, ..)| *at + END_MS <= now) {
            placers[entry].on_ended(Millis(now), call, Outcome::Done);
        }
        for (_, entry, call) in self.running.iter().filter(|(at, ..)| *at + FIRST_MS == now) {
            placers[*entry].on_begun(Millis(now), *call);
        }
        while self.running.len() < SLOTS
            && let Some((_, entry, call)) = self.queue.pop_front()
        {
            assert!(placers[entry].find(id).is_some());
            self.running.push((now, entry, call));
        }
    }
}

fn name(entry: usize) -> String {
    format!("entry-{entry}")
}

/// Guards against a fleet that overruns an upstream of a zone that returns, and against one
/// that leaves it idle while callers are refused.
#[test]
fn returning_zone_is_filled_within_its_limit() {
    for zone in [|_| 0, |n| n % 3] {
        let mut fleet = Fleet::new(20, zone, 60_000);
        fleet.play(0, 1_000, 400.0);
        let early = fleet.used();
        fleet.play(1_000, 15_000, 400.0);
        assert!(fleet.most(0) <= RATE, "{}", fleet.most(0));
        assert!(
            early >= 0.8 && fleet.used() >= 0.9,
            "{early}, {}",
            fleet.used()
        );
        let arrived: usize = fleet.upstreams.iter().map(|u| u.arrived.len()).sum();
        let capacity = 15.0 * CAPACITY * 20.0;
        assert!(arrived as f64 >= 0.9 * capacity, "{arrived} of {capacity}");
        assert!(fleet.refused > 0);
    }
}

/// Guards against places that are lost with an entry, so that upstreams that return stay
/// idle, and against two entries that use the same ones.
#[test]
fn lost_entries_leave_the_limit() {
    for rush in [12_000, 16_000, 90_000] {
        let mut fleet = Fleet::new(20, |_| 0, 120_000);
        fleet.is_alive = |_, n| n % 5 != 0;
        fleet.lists = |now, _, other| now < 15_000 || other % 5 != 0;
        fleet.play(0, rush, 0.0);
        fleet.play(rush, rush + 4_000, 500.0);
        let most = fleet.most(0);
        assert!(most <= RATE, "{rush}: {most}");
        assert!(fleet.used() >= 0.9, "{rush}: {}", fleet.used());
    }
}

/// Guards against entries that take all places as they know no others: after a restart, and
/// on all sides of a partition.
#[test]
fn outdated_lists_keep_the_limit() {
    for age in [100, 20_000] {
        let mut fleet = Fleet::new(2, |_| 0, 120_000);
        // The size of the fleet shows in the upstreams of other pools.
        fleet.members.extend((2..45).map(|n| Registration {
            pool: "q".to_string(),
            ..member(n, ZONES[n % 3], 1, 0)
        }));
        for index in 0..ENTRIES {
            fleet.placers[index] = fleet.placer(index, 0);
        }
        fleet.play(0, 12_000, 0.0);
        for index in 0..6 {
            fleet.placers[index] = fleet.placer(index, 12_000);
        }
        fleet.lists = |_, own, _| own >= 6;
        fleet.play(12_000, 12_000 + age, 0.0);
        fleet.play(12_000 + age, 16_000 + age, 1_500.0);
        let most = fleet.most(0);
        assert!(most <= BOUND, "{age} ms after a restart: {most}");
    }
    let mut fleet = Fleet::new(20, |n| n % 3, 120_000);
    fleet.play(0, 12_000, 0.0);
    fleet.lists = |_, own, other| own % 3 == other % 3;
    fleet.play(12_000, 40_000, 0.0);
    fleet.play(40_000, 44_000, 1_500.0);
    let most = fleet.most(0);
    assert!(most <= RATE, "partition: {most}");
}

/// Guards against all entries that start at once, each with an empty list.
#[test]
fn fleet_start_keeps_the_limit() {
    let mut fleet = Fleet::new(50, |n| n % 3, 60_000);
    fleet.lists = |now, _, _| now >= 3_000;
    fleet.play(0, 6_000, 1_500.0);
    assert!(fleet.most(0) <= BOUND, "{}", fleet.most(0));
    assert!(fleet.used() >= 0.8, "{}", fleet.used());
}

/// Guards against requests that a link holds back and that arrive in the same second as
/// those sent later.
#[test]
fn delayed_requests_count_when_they_arrive() {
    let mut fleet = Fleet::new(20, |_| 0, 60_000);
    fleet.delay = |now, entry| match now % 4_000 {
        phase if phase < 2_500 && entry % 3 != 1 => 2_500 - phase,
        _ => 2,
    };
    fleet.play(0, 20_000, 600.0);
    assert!(fleet.most(0) <= RATE, "{}", fleet.most(0));
}

fn single(routing: &Routing, left: u64) -> Placer {
    let members = [member(0, "a", 1, left)];
    let mut placer = Placer::new("a", 1);
    placer.set_members(&members, routing);
    placer.set_cold(Millis(0), &members, routing, BOUNDS);
    placer.set_sharers(Millis(0), "e", [("e".to_string(), "a".to_string())]);
    placer
}

fn send(placer: &mut Placer, now: u64, profile: &RequestProfile) -> Result<Key<Call>, Choice> {
    match placer.choose(Millis(now), profile, &[]) {
        Choice::Send { target, first_ms } => {
            Ok(placer.on_sent(Millis(now), target, profile, first_ms))
        }
        other => Err(other),
    }
}

/// Guards against an upstream that turns cold with a queue and gets as many requests as an
/// empty one.
#[test]
fn upstream_turns_cold_with_a_queue() {
    let mut placer = single(&limited(), 0);
    let profile = placing::profile();
    let calls: Vec<_> = (0..SLOTS)
        .filter_map(|_| send(&mut placer, 0, &profile).ok())
        .collect();
    assert_eq!(calls.len(), SLOTS);
    assert!(
        placer
            .on_cold_answer(Millis(50), calls[0], Millis(30_000))
            .is_some()
    );
    for call in &calls {
        placer.on_begun(Millis(60), *call);
        placer.on_ended(Millis(70), *call, Outcome::Done);
    }
    assert!(send(&mut placer, 1_050, &profile).is_err());
    assert!(send(&mut placer, 1_060, &profile).is_ok());
    let member = [Registration {
        sequence: 2,
        ..member(0, "a", 1, 0)
    }];
    let turned = placer.set_cold(Millis(9_000), &member, &limited(), BOUNDS);
    assert!(
        turned.is_empty() && placer.cold(Millis(9_000)) == 0,
        "registered as warm"
    );
}

/// Guards against what holds for one incarnation and is applied to the next, and against
/// the news of one source that undoes the later news of another.
#[test]
fn latest_statement_of_the_incarnation_holds() {
    let mut cold = Cold::default();
    assert!(cold.on_registration(Millis(0), 1, 1, Millis(9_000)));
    assert!(
        !cold.on_registration(Millis(50), 1, 1, Millis(9_000)),
        "the same"
    );
    assert_eq!(cold.left(Millis(50)), Millis(8_950));
    cold.on_answer(Millis(100), Millis(60), Millis(5_000));
    assert_eq!(cold.left(Millis(100)), Millis(5_000));
    cold.on_answer(Millis(150), Millis(90), Millis(0));
    assert!(cold.is_cold(Millis(150)), "an answer that was overtaken");
    cold.on_registration(Millis(200), 1, 2, Millis(0));
    assert!(cold.is_cold(Millis(200)), "written before the answer");
    cold.on_answer(Millis(300), Millis(210), Millis(0));
    assert!(!cold.is_cold(Millis(300)));
    assert!(
        !cold.on_agent(Millis(400), Millis(9_000)),
        "the upstream itself knows better"
    );
    assert!(
        cold.on_registration(Millis(500), 2, 1, Millis(4_000)),
        "next incarnation"
    );
    assert!(!cold.on_agent(Millis(600), Millis(1_000)) && cold.is_cold(Millis(4_400)));
    assert_eq!(cold.age(Millis(700)), Some(Millis(100)));
    let mut placer = single(&limited(), 0);
    let call = send(&mut placer, 10, &placing::profile()).expect("not cold");
    let next = [member(0, "a", 2, 0)];
    placer.set_members(&next, &limited());
    placer.set_cold(Millis(20), &next, &limited(), BOUNDS);
    assert_eq!(placer.on_cold_answer(Millis(30), call, Millis(5_000)), None);
    assert_eq!(placer.cold(Millis(30)), 0, "an answer of the former one");
    assert!(
        placer
            .on_cold_agent(Millis(40), "u0", Millis(5_000))
            .is_some()
    );
}

/// Guards against a refusal that names no time, or one at which there is no room.
#[test]
fn refusal_names_the_time_until_room() {
    let mut placer = single(&limited(), 60_000);
    let mut calls = Vec::new();
    let refused = loop {
        match send(&mut placer, 100, &placing::profile()) {
            Ok(call) => calls.push(call),
            Err(refused) => break refused,
        }
    };
    assert!(
        matches!(refused, Choice::Overloaded { retry_after, .. } if retry_after == Millis(1_000))
    );
    for call in calls {
        placer.on_begun(Millis(200), call);
        placer.on_ended(Millis(220), call, Outcome::Done);
    }
    let again = send(&mut placer, 500, &placing::profile());
    assert!(
        matches!(again, Err(Choice::Overloaded { retry_after, .. }) if retry_after == Millis(700))
    );
    assert!(send(&mut placer, 1_200, &placing::profile()).is_ok());
}

/// Guards against the last places that go to less urgent or expensive requests.
#[test]
fn last_places_are_for_urgent_requests() {
    let profiles =
        [(0, 1.0), (2, 1.0), (0, 0.5), (2, 0.5)].map(|(rank, value_density)| RequestProfile {
            rank,
            value_density,
            ..placing::profile()
        });
    let counts = profiles.map(|profile| {
        let members: Vec<Registration> = (0..5).map(|n| member(n, "a", 1, 60_000)).collect();
        let mut placer = single(&limited(), 60_000);
        placer.set_members(&members, &limited());
        placer.set_cold(Millis(0), &members, &limited(), BOUNDS);
        std::iter::from_fn(|| send(&mut placer, 100, &profile).ok()).count()
    });
    assert!(
        counts[0] > counts[2] && counts[2] > counts[1] && counts[1] > counts[3],
        "{counts:?}"
    );
}

/// Guards against predictions that take a cold upstream for a warm one after its slowness
/// was observed at others, and against one that is assumed before.
#[test]
fn slowness_of_cold_upstreams_is_learned() {
    let members = [member(0, "a", 1, 60_000), member(1, "a", 1, 60_000)];
    let mut placer = single(&limited(), 60_000);
    placer.set_members(&members, &limited());
    placer.set_cold(Millis(0), &members, &limited(), BOUNDS);
    let slow = |placer: &mut Placer, now: u64| {
        let call = send(placer, now, &placing::profile()).expect("room");
        placer.on_begun(Millis(now + 90), call);
        placer.on_ended(Millis(now + 90), call, Outcome::Done);
    };
    let factor = |placer: &Placer, now: u64| {
        let dumps = placer.iter().map(|(_, t)| t.dump(Millis(now)));
        let factors = dumps.map(|d| d["cold"]["slowness"].as_f64().expect("cold"));
        factors.fold(f64::INFINITY, f64::min)
    };
    assert!(
        (factor(&placer, 10) - 1.0).abs() < 1e-9,
        "nothing is assumed"
    );
    for step in 0..20 {
        slow(&mut placer, 1_000 + step * 2_000);
    }
    assert!(factor(&placer, 50_000) > 1.2, "{}", factor(&placer, 50_000));
}

/// Guards against a change where the configuration names no cold time or no rate.
#[test]
fn nothing_changes_without_a_limit() {
    for routing in [routing(0, Some(26.0)), routing(8_000, None)] {
        let mut placer = single(&routing, 60_000);
        let mut plain = Placer::new("a", 1);
        plain.set_members(&[member(0, "a", 1, 0)], &routing);
        for now in 0..60 {
            let profile = RequestProfile {
                rank: 3,
                ..placing::profile()
            };
            let chosen = placer.choose(Millis(now), &profile, &[]);
            assert_eq!(chosen, plain.choose(Millis(now), &profile, &[]));
            if let (Ok(call), Ok(_)) = (
                send(&mut placer, now, &profile),
                send(&mut plain, now, &profile),
            ) {
                assert_eq!(
                    placer.on_cold_answer(Millis(now), call, Millis(5_000)),
                    None
                );
            }
        }
        assert_eq!(placer.on_cold_agent(Millis(60), "u0", Millis(5_000)), None);
        assert_eq!(placer.cold(Millis(60)), 0);
        assert!(!placer.needs_sharers(Millis(60_000)));
    }
}

/// Guards against places that do not add up to the limit.
#[test]
fn places_add_up() {
    for count in [1, 7, 26, 50] {
        let names: Vec<String> = (0..count).map(name).collect();
        for upstream in 0..20 {
            let all = || names.iter().map(String::as_str);
            let places = names
                .iter()
                .map(|own| rate_share::places(RATE, upstream, own, all()));
            assert_eq!(places.sum::<usize>(), RATE);
        }
    }
}
