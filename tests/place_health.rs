//! Placement while some upstreams fail, answer "misdirected", load or leave.

use std::sync::Arc;

use chervilquay::member::registry::Holding;
use chervilquay::member::registry::Registration;
use chervilquay::route::admission::Allowance;
use chervilquay::route::engine::Size;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Placer;
use chervilquay::route::profile::RequestProfile;
use chervilquay::route::recovery::Outcome;
use chervilquay::route::regions::Regions;
use chervilquay::route::target::RunnerStatus;
use chervilquay::table::routing::Limits;
use chervilquay::table::routing::Pool;
use chervilquay::table::routing::Routing;
use chervilquay::time::Millis;

fn holdings(version: u64) -> Vec<Holding> {
    vec![Holding {
        model: "m".to_string(),
        version,
        layers: Some(16),
    }]
}

fn member(id: &str, version: u64) -> Registration {
    Registration {
        id: id.to_string(),
        pool: "p".to_string(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "z".to_string(),
        slots: 16,
        draining: false,
        started: 1,
        sequence: 0,
        cold_left: Millis(0),
        holdings: holdings(version),
    }
}

/// Report of a runner that holds the first version and has no requests.
fn idle(measured_at: Millis) -> RunnerStatus {
    RunnerStatus {
        holdings: holdings(1),
        loading: false,
        calls: 0,
        pace: 1.0,
        measured_at,
        reload_at: None,
    }
}

fn routing() -> Routing {
    let pool = Pool {
        name: "p".to_string(),
        health_path: String::new(),
        max_connections: 100,
        engine: Some(Arc::new(chervilquay::bench::place::engine())),
        origin: None,
        cold_span: Millis(0),
        cold_rate: None,
    };
    Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default())
}

fn profile(min_version: u64) -> RequestProfile {
    RequestProfile {
        pool: "p".to_string(),
        model: Some("m".to_string()),
        regions: Regions::Any,
        min_version,
        rank: 0,
        size: Size {
            prompt: 500.0,
            output: 50.0,
        },
        slack_ms: Some(400.0),
        max_pause: Some(400.0),
        time_left: 6_000.0,
        value_density: 1.0,
        relative_size: 1.0,
        large_preference: 0.0,
        allowance: Allowance::default(),
        read_ms: 26.0,
    }
}

fn placer(members: &[Registration]) -> Placer {
    let mut placer = Placer::new("z", 1);
    placer.set_members(members, &routing());
    placer
}

fn send(placer: &mut Placer, now: Millis, outcome: Outcome) -> Option<String> {
    let Choice::Send { target, first_ms } = placer.choose(now, &profile(0), &[]) else {
        return None;
    };
    let id = placer.get(target).map(|t| t.registration.id.clone());
    let call = placer.on_sent(now, target, &profile(0), first_ms);
    placer.on_ended(now, call, outcome);
    id
}

/// Guards against many misdirected sends after all runners restarted under their old
/// ids. They exceeded the shared budget of repeated sends.
#[test]
fn misdirected_is_avoided_until_newer_status() {
    let mut placer = placer(&[member("a", 1), member("b", 1)]);
    let now = Millis(1_000);
    assert!(send(&mut placer, now, Outcome::Misdirected).is_some());
    assert!(send(&mut placer, now, Outcome::Misdirected).is_some());
    assert_eq!(send(&mut placer, now, Outcome::Misdirected), None);
    let status = idle(Millis(1_100));
    placer.on_status("a", status);
    let chosen = send(&mut placer, Millis(1_120), Outcome::Done);
    assert_eq!(chosen.as_deref(), Some("a"));
}

/// Guards against an only upstream that gets no requests after a refused connection.
#[test]
fn last_upstream_is_still_tried() {
    let mut placer = placer(&[member("a", 1)]);
    assert!(send(&mut placer, Millis(1_000), Outcome::Refused).is_some());
    assert!(send(&mut placer, Millis(1_001), Outcome::Refused).is_some());
}

/// Guards against a failing upstream that gets as many requests as the others.
#[test]
fn failing_upstream_cools_down() {
    let mut placer = placer(&[member("a", 1), member("b", 1)]);
    let now = Millis(1_000);
    let mut bad = 0;
    for _ in 0..100 {
        let Choice::Send { target, first_ms } = placer.choose(now, &profile(0), &[]) else {
            panic!("an upstream is open");
        };
        let is_bad = placer.get(target).is_some_and(|t| t.registration.id == "a");
        let call = placer.on_sent(now, target, &profile(0), first_ms);
        bad += u32::from(is_bad);
        let outcome = if is_bad {
            Outcome::Failed
        } else {
            Outcome::Done
        };
        placer.on_ended(now, call, outcome);
    }
    assert!(
        bad <= 2,
        "{bad} of 100 requests went to the failing upstream"
    );
}

/// Guards against requests to upstreams that leave, load, or hold an old version.
#[test]
fn unfit_upstreams_get_nothing() {
    let mut leaving = member("a", 2);
    leaving.draining = true;
    let mut placer = placer(&[leaving, member("b", 1), member("c", 2)]);
    let busy = RunnerStatus {
        holdings: holdings(2),
        loading: true,
        ..idle(Millis(1_000))
    };
    placer.on_status("c", busy);
    assert_eq!(
        placer.choose(Millis(1_010), &profile(2), &[]),
        Choice::NoUpstream
    );
    // An old status report no longer overrides the registry.
    let found = placer.choose(Millis(4_000), &profile(2), &[]);
    assert!(matches!(found, Choice::Send { .. }));
}

/// Guards against long requests that keep a runner from loading a new version.
#[test]
fn long_request_avoids_a_runner_about_to_load() {
    let mut placer = placer(&[member("a", 1), member("b", 1)]);
    let now = Millis(1_000);
    for (id, reload_at) in [("a", Some(Millis(1_100))), ("b", None)] {
        let status = RunnerStatus {
            reload_at,
            ..idle(now)
        };
        placer.on_status(id, status);
    }
    for _ in 0..20 {
        assert_eq!(send(&mut placer, now, Outcome::Done).as_deref(), Some("b"));
    }
}

/// Guards against many entries that all send to the same upstream. Entries of other zones
/// do not report their calls, so the calls that the agent reports and those sent since
/// must count, and the latter no longer count after a newer report.
#[test]
fn reports_count_calls_of_other_zones() {
    let mut placer = placer(&[member("a", 1), member("b", 1)]);
    let report = |calls: u32, at: u64| RunnerStatus {
        calls,
        ..idle(Millis(at))
    };
    placer.on_status("a", report(16, 1_000));
    placer.on_status("b", report(13, 1_000));
    let mut sent = [0, 0];
    for at in 1_001..1_009 {
        let now = Millis(at);
        if let Choice::Send { target, first_ms } = placer.choose(now, &profile(0), &[]) {
            let is_first = placer.get(target).is_some_and(|t| t.registration.id == "a");
            sent[usize::from(!is_first)] += 1;
            placer.on_sent(now, target, &profile(0), first_ms);
        }
    }
    assert!(sent[1] >= 3, "the freer one comes first: {sent:?}");
    assert!(sent[0] + sent[1] < 8, "both are full: {sent:?}");
    placer.on_status("a", report(2, 1_010));
    let Choice::Send { target, .. } = placer.choose(Millis(1_011), &profile(0), &[]) else {
        panic!("a has room");
    };
    assert!(placer.get(target).is_some_and(|t| t.registration.id == "a"));
}

/// Guards against requests to runners of another zone whose load is not known, while one of
/// the own zone or one that reports can take them.
#[test]
fn runners_that_do_not_report_here_come_last() {
    let far = |id| Registration {
        zone: "y".to_string(),
        ..member(id, 1)
    };
    let mut placer = placer(&[member("own", 1), far("silent"), far("told")]);
    let now = Millis(1_000);
    let status = idle(now);
    placer.on_status("told", status);
    let mut left_out = Vec::new();
    for expected in [&["own", "told"][..], &["own", "told"], &["silent"]] {
        let choice = placer.choose(now, &profile(0), &left_out);
        let Choice::Send { target, .. } = choice else {
            panic!("{choice:?} after {} were left out", left_out.len())
        };
        let id = placer.get(target).map(|t| t.registration.id.clone());
        assert!(id.is_some_and(|id| expected.contains(&id.as_str())));
        left_out.push(target);
    }
}
