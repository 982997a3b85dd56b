//! Placement and admission under load patterns around and above the capacity, against
//! emulated runners.

mod support;

use std::sync::Arc;

use chervilquay::bench::place;
use chervilquay::bench::place::Policy;
use chervilquay::bench::place::Summary;
use chervilquay::bench::place::load::Pattern;
use chervilquay::route::placement::Placer;
use chervilquay::table::routing::Limits;
use chervilquay::table::routing::Pool;
use chervilquay::table::routing::Routing;
use chervilquay::time::Millis;
use support::placing;

const SEEDS: [u64; 3] = [1, 2, 3];

fn mean(pattern: Pattern, policy: Policy, figure: impl Fn(&Summary) -> f64) -> f64 {
    let runs = SEEDS.map(|seed| figure(&place::run(pattern, policy, seed)));
    runs.iter().sum::<f64>() / runs.len() as f64
}

fn best_baseline(pattern: Pattern) -> f64 {
    let credit = |policy| mean(pattern, policy, |s| s.credit);
    credit(Policy::RandomTwo).max(credit(Policy::LeastRequests))
}

/// Guards against a placement that earns less credit than one that only knows the calls of
/// its own entry.
#[test]
fn every_pattern_beats_the_baselines() {
    for (name, pattern) in Pattern::ALL {
        let own = mean(pattern, Policy::Own, |s| s.credit);
        let base = best_baseline(pattern);
        assert!(own > base, "{name}: {own:.3} against {base:.3}");
    }
}

/// Guards against queues that make all requests late. The target is 20% more credit than
/// the baselines at 1.5 and 2.5 times the capacity.
#[test]
fn overload_earns_a_fifth_more() {
    for percent in [150, 250] {
        let pattern = Pattern::Steady(percent);
        let own = mean(pattern, Policy::Own, |s| s.credit);
        let base = best_baseline(pattern);
        assert!(own >= 1.2 * base, "{percent}: {own:.3} against {base:.3}");
    }
}

/// Guards against small requests that fill the queues so that no large request is served in
/// time. The users' bound is that large requests are served at least half as often as all,
/// in each kind of request.
#[test]
fn large_requests_are_served_under_overload() {
    for (name, pattern) in Pattern::ALL {
        let largest = mean(pattern, Policy::Own, |s| s.largest);
        assert!(largest >= 0.5, "{name}: {largest:.3}");
    }
}

/// Guards against refusals while slots are free.
#[test]
fn nothing_is_refused_at_low_load() {
    let refused = mean(Pattern::Steady(60), Policy::Own, |s| s.refused);
    assert_eq!(refused, 0.0);
}

/// Guards against a copy of the engine's figures for each upstream whenever one of them
/// changes.
#[test]
fn upstreams_share_the_figures_of_their_engine() {
    let pool = Pool {
        name: "p".to_string(),
        health_path: String::new(),
        max_connections: 100,
        engine: Some(Arc::new(place::engine())),
        origin: None,
        cold_span: Millis(0),
        cold_rate: None,
    };
    let routing = Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default());
    let members: Vec<_> = (0..100)
        .map(|index| placing::member(&format!("u{index}"), 1))
        .collect();
    let mut placer = Placer::new("z", 1);
    for _ in 0..2 {
        placer.set_members(&members, &routing);
        let engine = routing.pool("p").and_then(|pool| pool.engine.as_ref());
        assert_eq!(engine.map(Arc::strong_count), Some(1 + members.len()));
    }
}
