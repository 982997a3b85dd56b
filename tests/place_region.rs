//! Placement of requests that are restricted to regions, and while zones are evacuated.

mod support;

use std::sync::Arc;

use chervilquay::member::evacuation::Evacuations;
use chervilquay::member::registry::Registration;
use chervilquay::platform::config;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Placer;
use chervilquay::route::profile::RequestProfile;
use chervilquay::route::recovery::Outcome;
use chervilquay::route::regions::Regions;
use chervilquay::table::routing::Limits;
use chervilquay::table::routing::Pool;
use chervilquay::table::routing::Routing;
use chervilquay::time::Millis;
use indexmap::IndexMap;
use support::placing;

const NOW: Millis = Millis(50_000);

/// Regions of the zones; the region of zone `x` is unknown.
const ZONES: [(&str, &str); 4] = [("a", "east"), ("b", "west"), ("c", "north"), ("x", "")];

fn regions(names: &[&str]) -> Regions {
    Regions::of(names.iter().map(|name| name.to_string()))
}

fn restricted(names: &[&str]) -> RequestProfile {
    RequestProfile {
        regions: regions(names),
        ..placing::profile()
    }
}

fn evacuated(zones: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    zones.iter().for_each(|zone| {
        evacuations.set(zone, true);
    });
    evacuations
}

/// Returns two upstreams of each zone, named by it.
fn members() -> Vec<Registration> {
    let pairs = ZONES.iter().flat_map(|(zone, _)| [(zone, 1), (zone, 2)]);
    let member = |(zone, number): (&&str, u32)| Registration {
        zone: zone.to_string(),
        ..placing::member(&format!("{zone}{number}"), 1)
    };
    pairs.map(member).collect()
}

/// Returns an entry of a zone without upstreams, for which all zones are alike.
fn placer() -> Placer {
    let mut placer = Placer::new("e", 1);
    let zones = ZONES.iter().map(|(z, r)| (z.to_string(), r.to_string()));
    placer.set_zones(&zones.collect());
    placer.set_members(&members(), &placing::routing());
    placer
}

/// Returns the zones that get many requests which stay there, sorted.
fn used(placer: &mut Placer, profile: &RequestProfile) -> Vec<String> {
    let mut zones = Vec::new();
    for _ in 0..60 {
        let Choice::Send { target, first_ms } = placer.choose(NOW, profile, &[]) else {
            break;
        };
        placer.on_sent(NOW, target, profile, first_ms);
        zones.extend(placer.get(target).map(|t| t.registration.zone.clone()));
    }
    zones.sort();
    zones.dedup();
    zones
}

/// Guards against a restricted request in another region, or in a zone of which the region
/// is not known, and against a restriction of requests that have none.
#[test]
fn only_allowed_regions_are_used() {
    let cases: [(&[&str], &[&str]); 6] = [
        (&[], &["a", "b", "c", "x"]),
        (&["east"], &["a"]),
        (&["west", "north"], &["b", "c"]),
        (&["west", "south"], &["b"]),
        (&["south"], &[]),
        (&[""], &[]),
    ];
    for (allowed, zones) in cases {
        let found = used(&mut placer(), &restricted(allowed));
        assert_eq!(found, zones, "{allowed:?}");
    }
}

/// Guards against one of two restrictions that replaces the other, and against an empty
/// intersection that is taken for no restriction.
#[test]
fn both_restrictions_apply() {
    let both = regions(&["east", "west"]).intersect(&regions(&["west", "north"]));
    assert_eq!(both, regions(&["west"]));
    let either = [regions(&[]).intersect(&both), both.intersect(&regions(&[]))];
    assert!(either.iter().all(|regions| *regions == both));
    let none = both.intersect(&regions(&["east"]));
    assert!(none.is_empty() && none.is_restricted());
    let profile = RequestProfile {
        regions: none,
        ..placing::profile()
    };
    let mut placer = placer();
    assert_eq!(placer.choose(NOW, &profile, &[]), Choice::NoUpstream);
}

/// Guards against new requests to an evacuated zone, also at upstreams that register there
/// or move there later, and against a zone that stays unused after the evacuation.
#[test]
fn evacuated_zones_get_nothing_new() {
    let mut placer = placer();
    placer.set_evacuated(&evacuated(&["a", "c"]));
    assert_eq!(used(&mut placer, &placing::profile()), ["b", "x"]);
    let mut listed = members();
    listed[2].zone = "c".to_string();
    listed.push(Registration {
        zone: "a".to_string(),
        ..placing::member("a3", 1)
    });
    placer.set_members(&listed, &placing::routing());
    let (b1, a3) = (placer.find("b1"), placer.find("a3"));
    for key in [b1, a3].into_iter().flatten() {
        assert!(!placer.get(key).expect("known").is_open(NOW));
    }
    assert_eq!(used(&mut placer, &restricted(&["west"])), ["b"]);
    assert_eq!(used(&mut placer, &restricted(&["east"])), [""; 0]);
    placer.set_evacuated(&evacuated(&["c"]));
    assert_eq!(used(&mut placer, &restricted(&["east"])), ["a"]);
    placer.set_evacuated(&evacuated(&[]));
    assert_eq!(used(&mut placer, &restricted(&["north"])), ["c"]);
}

/// Guards against a last resort outside the rules: an upstream that cools down after
/// failures, one that backs off and would set the time to return, and one that was not tried.
#[test]
fn last_resorts_obey_the_rules() {
    for (zones, profile) in [
        (&["b", "c", "x"][..], placing::profile()),
        (&[], restricted(&["east"])),
    ] {
        let mut placer = placer();
        let calls: Vec<_> = ["a1", "a2", "b1", "b2", "c1"]
            .iter()
            .map(|id| {
                let target = placer.find(id).expect("known");
                placer.on_sent(NOW, target, &placing::profile(), 1.0)
            })
            .collect();
        placer.on_back_off(NOW, calls[3], Millis(10));
        for call in calls {
            placer.on_ended(NOW, call, Outcome::Refused);
        }
        placer.set_evacuated(&evacuated(zones));
        let tried: Vec<_> = ["a1", "a2"]
            .iter()
            .filter_map(|id| placer.find(id))
            .collect();
        let first = placer.choose(NOW, &profile, &[]);
        assert!(matches!(first, Choice::Send { target, .. } if tried.contains(&target)));
        assert_eq!(placer.choose(NOW, &profile, &tried), Choice::NoUpstream);
        let (none, few) = (evacuated(&["a", "b", "c", "x"]), restricted(&["east"]));
        placer.set_evacuated(&none);
        assert_eq!(placer.choose(NOW, &few, &[]), Choice::NoUpstream);
    }
}

/// Guards against the same at runners of other zones that do not report to this entry.
#[test]
fn unreported_runners_obey_the_rules() {
    let pool = Pool {
        name: "p".to_string(),
        health_path: String::new(),
        max_connections: 100,
        engine: Some(Arc::new(chervilquay::bench::place::engine())),
        origin: None,
        cold_span: Millis(0),
        cold_rate: None,
    };
    let routing = Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default());
    let mut placer = placer();
    placer.set_members(&members(), &routing);
    assert_eq!(used(&mut placer, &restricted(&["west"])), ["b"]);
    placer.set_evacuated(&evacuated(&["a", "b", "x"]));
    assert_eq!(
        placer.choose(NOW, &restricted(&["west"]), &[]),
        Choice::NoUpstream
    );
    assert_eq!(used(&mut placer, &placing::profile()), ["c"]);
}

/// Guards against a restricted request that is refused since only entries of another zone
/// have a part of the limit of its upstreams.
#[test]
fn restricted_requests_share_limits() {
    let limited = |names: &[&str], zones: &[&str]| {
        let mut placer = placer();
        let text = format!(
            r#"{{"version":1,"services":[{{"name":"p"}}],"tenants":[{{"name":"t","allowed_regions":{names:?}}}]}}"#
        );
        let routing = config::decode(text.as_bytes()).expect("a configuration");
        placer.set_members(&members(), &routing);
        let names = [("e1", "e"), ("e2", "b")];
        let names = names.map(|(n, z)| (n.to_string(), z.to_string()));
        placer.set_entries("e1", IndexMap::from(names));
        placer.set_evacuated(&evacuated(zones));
        for id in ["b1", "b2"] {
            let target = placer.find(id).expect("known");
            let call = placer.on_sent(NOW, target, &placing::profile(), 1.0);
            placer.on_rate_limit(NOW, call, Some(100.0));
            placer.on_ended(NOW, call, Outcome::Done);
        }
        placer
    };
    let later = NOW.plus(Millis(1_000));
    let profile = restricted(&["west"]);
    let choice = limited(&["west"], &[]).choose(later, &profile, &[]);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
    let choice = limited(&[], &["a", "c", "x"]).choose(later, &placing::profile(), &[]);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
    let choice = limited(&[], &[]).choose(later, &profile, &[]);
    assert_eq!(choice, Choice::NoUpstream);
}
