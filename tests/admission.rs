//! Sharing of the capacity among kinds of request of several ranks under overload.

mod support;

use std::collections::VecDeque;

use chervilquay::arena::Key;
use chervilquay::bench::place;
use chervilquay::bench::place::Fleet;
use chervilquay::bench::place::Policy;
use chervilquay::bench::place::Summary;
use chervilquay::bench::place::load::Pattern;
use chervilquay::direct::wire::KindDoc;
use chervilquay::route::admission::Admission;
use chervilquay::route::admission::Allowance;
use chervilquay::route::admission::Counts;
use chervilquay::route::admission::KindId;
use chervilquay::route::admission::Offer;
use chervilquay::route::placement::Call;
use chervilquay::route::placement::Choice;
use chervilquay::route::profile::RequestProfile;
use chervilquay::route::recovery::Outcome;
use chervilquay::route::regions::Regions;
use chervilquay::time::Millis;
use fastrand::Rng;
use support::placing;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Difference of two served shares from which callers count a kind as neglected.
const MAX_GAP: f64 = 0.05;

fn kind(route: u64, rank: u8) -> KindId {
    KindId {
        route,
        pool: 1,
        rank,
    }
}

/// Counts of a kind of which this share of 100 requests was served.
fn counts(share: f64, objective: f64) -> Counts {
    Counts {
        offered: 100.0,
        admitted: 100.0 * share,
        objective,
    }
}

/// What a kind may use when another entry reports these counts.
fn allowance(kind: KindId, reported: &[(KindId, Counts)]) -> Allowance {
    let mut admission = Admission::default();
    admission.on_peer(Millis(1_000), "e1", reported.to_vec());
    admission.allowance(Millis(1_200), kind)
}

/// Guards against a kind with a long objective that fills the queues, so that the more
/// urgent kinds are served less.
#[test]
fn urgent_kinds_are_served_no_less() {
    let patterns = Pattern::RANKED
        .iter()
        .filter(|(name, _)| *name != "ranks-0.7");
    for (name, pattern) in patterns {
        let runs = SEEDS.map(|seed| place::run(*pattern, Policy::Own, seed));
        let served = |kind: usize| {
            let shares = runs.iter().map(|s: &Summary| s.kinds[kind].served);
            shares.sum::<f64>() / runs.len() as f64
        };
        for (urgent, other) in [(0, 1), (0, 2), (1, 2)] {
            let (first, second) = (served(urgent), served(other));
            assert!(
                first >= second - MAX_GAP,
                "{name}: kind {urgent} {first:.3}, kind {other} {second:.3}"
            );
        }
    }
}

/// Guards against restrictions in a pool whose requests have one rank: deployments without
/// ranks are served as before.
#[test]
fn one_rank_is_not_restricted() {
    let reported = [
        (kind(1, 3), counts(0.3, 400.0)),
        (kind(2, 3), counts(0.9, 800.0)),
    ];
    assert_eq!(allowance(kind(2, 3), &reported), Allowance::default());
}

/// Guards against refusals by share while the pool has room for all requests.
#[test]
fn low_load_is_not_restricted() {
    let reported = [
        (kind(1, 0), counts(0.99, 400.0)),
        (kind(2, 2), counts(1.0, 800.0)),
    ];
    assert_eq!(allowance(kind(2, 2), &reported), Allowance::default());
}

/// Guards against less urgent requests that wait longer than the refused more urgent ones
/// can bear, and against holding back the most urgent kind for a less urgent one.
#[test]
fn refused_urgent_kinds_hold_back_the_others() {
    let reported = [
        (kind(1, 0), counts(0.6, 400.0)),
        (kind(2, 2), counts(0.8, 800.0)),
    ];
    let held = allowance(kind(2, 2), &reported);
    assert_eq!((held.slack_cap, held.refuse), (400.0, 1.0));
    let reported = [
        (kind(1, 0), counts(0.8, 400.0)),
        (kind(2, 2), counts(0.6, 800.0)),
    ];
    assert_eq!(allowance(kind(1, 0), &reported), Allowance::default());
}

/// Guards against counts of an entry that has stopped, which would hold back others for
/// ever.
#[test]
fn counts_of_silent_peers_expire() {
    let mut admission = Admission::default();
    let reported = vec![
        (kind(1, 0), counts(0.6, 400.0)),
        (kind(2, 2), counts(0.8, 800.0)),
    ];
    admission.on_peer(Millis(1_000), "e1", reported);
    let late = admission.allowance(Millis(2_100), kind(2, 2));
    assert_eq!(late, Allowance::default());
}

/// Guards against counting a caller that comes back as a second request.
#[test]
fn returning_callers_are_offered_once() {
    let mut admission = Admission::default();
    let offer = Offer {
        kind: kind(1, 0),
        objective: 400.0,
        weight: 1.0,
        usual: 1.0,
        returning: false,
    };
    admission.on_offered(Millis(1_000), &offer);
    let again = Offer {
        returning: true,
        ..offer
    };
    admission.on_offered(Millis(1_000), &again);
    admission.on_admitted(Millis(1_000), offer.kind, 1.0);
    let held = admission.zone_counts(Millis(1_000), 1);
    assert_eq!((held[0].offered, held[0].admitted), (1.0, 1.0));
}

/// Choices of a placer for a seeded series of requests of two kinds, at five times the
/// capacity when `is_busy`; with the allowances of the counts, or without any.
fn choices(ranks: [u8; 2], is_busy: bool, has_counts: bool) -> Vec<Choice> {
    let mut placer = placing::placer(&[placing::member("a", 1), placing::member("b", 1)]);
    let mut admission = Admission::default();
    let mut rng = Rng::with_seed(7);
    let mut open: VecDeque<(Millis, Key<Call>)> = VecDeque::new();
    let mut now = Millis(100_000);
    let gap = if is_busy { 1..4 } else { 20..60 };
    let mut choose = || {
        now = now.plus(Millis(rng.u64(gap.clone())));
        while open.front().is_some_and(|(end, _)| *end <= now) {
            if let Some((_, call)) = open.pop_front() {
                placer.on_ended(now, call, Outcome::Done);
            }
        }
        let index = rng.usize(0..2);
        let offer = Offer {
            kind: kind(index as u64, ranks[index]),
            objective: 60.0 + 200.0 * index as f64,
            weight: 1.0,
            usual: 1.0,
            returning: false,
        };
        let standing = admission.on_offered(now, &offer);
        let profile = RequestProfile {
            slack_ms: Some(offer.objective),
            allowance: if has_counts {
                standing.allowance
            } else {
                Allowance::default()
            },
            ..placing::profile()
        };
        let choice = placer.choose(now, &profile, &[]);
        if let Choice::Send { target, first_ms } = choice {
            let call = placer.on_sent(now, target, &profile, first_ms);
            open.push_back((now.plus(Millis(300)), call));
            admission.on_admitted(now, offer.kind, offer.weight);
        }
        choice
    };
    (0..2_000).map(|_| choose()).collect()
}

/// Guards against other decisions than without the counts, in a pool with one rank and
/// below the capacity.
#[test]
fn decisions_stay_without_ranks_or_overload() {
    let is_refused = |choice: &Choice| matches!(choice, Choice::Overloaded { .. });
    assert!(choices([1, 1], true, false).iter().any(is_refused));
    assert_eq!(choices([1, 1], true, true), choices([1, 1], true, false));
    assert_eq!(choices([0, 2], false, true), choices([0, 2], false, false));
    assert_ne!(choices([0, 2], true, true), choices([0, 2], true, false));
}

/// Guards against a zone that refuses requests while another one has room, and against
/// sending all of them there at the first difference.
#[test]
fn other_zones_are_used_when_they_refuse_less() {
    let chance = |own: f64, other: f64| {
        let mut admission = Admission::default();
        let offer = Offer {
            kind: kind(1, 0),
            objective: 400.0,
            weight: 1.0,
            usual: 1.0,
            returning: false,
        };
        admission.on_peer(Millis(1_000), "e1", vec![(kind(1, 0), counts(own, 400.0))]);
        admission.on_zone(
            Millis(1_000),
            "far",
            vec![(kind(1, 0), counts(other, 400.0))],
        );
        let standing = admission.on_offered(Millis(1_100), &offer);
        standing
            .allowance
            .open_zones
            .first()
            .map_or(0.0, |(_, p)| *p)
    };
    assert_eq!(chance(0.99, 1.0), 0.0);
    assert_eq!(chance(0.70, 0.70), 0.0);
    assert!((0.1..0.9).contains(&chance(0.70, 0.80)));
    assert_eq!(chance(0.50, 1.0), 1.0);
}

/// Guards against a zone with little capacity whose callers are refused while those of other
/// zones are served.
#[test]
fn zones_are_served_alike() {
    let fleet = Fleet {
        entries: 24,
        runners: 18,
        exchange_ms: 75.0,
        phases: 3,
    };
    let runs = SEEDS.map(|seed| place::run_fleet(fleet.clone(), Pattern::Zones, Policy::Own, seed));
    let served = |zone: usize| {
        let shares = runs.iter().map(|s: &Summary| s.zones[zone].served);
        shares.sum::<f64>() / runs.len() as f64
    };
    let (rich, poor) = (served(0), served(2));
    assert!(poor >= rich - MAX_GAP, "rich {rich:.3}, poor {poor:.3}");
}

/// Guards against counts that change on their way to another entry.
#[test]
fn counts_survive_a_datagram() {
    let held = (kind(1, 2), counts(0.75, 400.0));
    assert_eq!(KindDoc::new(held.0, &held.1).to_counts(), held);
}

/// Guards against long return times after a single refusal at low load.
#[test]
fn few_requests_show_no_overload() {
    let overloaded = |offered: f64| {
        let mut admission = Admission::default();
        let held = Counts {
            offered,
            ..Counts::default()
        };
        admission.on_peer(Millis(1_000), "e1", vec![(kind(1, 0), held)]);
        admission.pool_state(Millis(1_000), 1).overloaded
    };
    assert_eq!([5.0, 50.0].map(overloaded), [false, true]);
}

/// Guards against a zone whose own upstreams are all away and that refuses a kind in vain: the
/// slots go to entries of other zones, not to its more urgent kinds.
#[test]
fn shares_are_not_kept_with_slots_of_other_zones() {
    for (zone, is_sent) in [("z", false), ("other", true)] {
        let mut member = placing::member("a", 1);
        member.zone = zone.to_string();
        let mut placer = placing::placer(&[member]);
        let mut profile = placing::profile();
        for _ in 0..14 {
            let Choice::Send { target, first_ms } = placer.choose(Millis(1), &profile, &[]) else {
                panic!("a slot is free in {zone}");
            };
            placer.on_sent(Millis(1), target, &profile, first_ms);
        }
        profile.allowance.refuse = 1.0;
        let choice = placer.choose(Millis(1), &profile, &[]);
        assert_eq!(matches!(choice, Choice::Send { .. }), is_sent, "{zone}");
    }
}

/// Guards against a kind whose only region is evacuated, and that is refused for that reason,
/// from holding back kinds that may use other regions.
#[test]
fn kinds_of_other_regions_hold_nothing_back() {
    let only = |name: &str| Regions::of([name.to_string()]);
    let other = KindId::new("p", "b", 1, &Regions::Any);
    for (regions, is_held) in [(Regions::Any, true), (only("north"), false)] {
        let urgent = KindId::new("p", "a", 0, &regions);
        let reported = [(urgent, counts(0.0, 400.0)), (other, counts(0.9, 400.0))];
        assert_eq!(allowance(other, &reported).refuse > 0.0, is_held);
    }
    let north = KindId::new("p", "a", 0, &only("north"));
    assert_eq!(north.pool, KindId::new("p", "b", 1, &only("north")).pool);
}
