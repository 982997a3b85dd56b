//! Sharing of the capacity among kinds of request of several ranks under overload.

use chervilquay::bench::place;
use chervilquay::bench::place::Policy;
use chervilquay::bench::place::Summary;
use chervilquay::bench::place::load::Pattern;
use chervilquay::route::admission::Admission;
use chervilquay::route::admission::Allowance;
use chervilquay::route::admission::Counts;
use chervilquay::route::admission::KindId;
use chervilquay::route::admission::Offer;
use chervilquay::time::Millis;

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
