//! Requests that would begin after the version of their upstream has expired.

mod support;

use std::sync::Arc;

use chervilquay::member::registry::Holding;
use chervilquay::member::registry::Registration;
use chervilquay::rollout::versions::Dating;
use chervilquay::rollout::versions::Naming;
use chervilquay::rollout::versions::Versions;
use chervilquay::route::engine::Engine;
use chervilquay::route::engine::Size;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Placer;
use chervilquay::route::profile::RequestProfile;
use chervilquay::table::routing::Limits;
use chervilquay::table::routing::Pool;
use chervilquay::table::routing::Routing;
use chervilquay::time::Millis;
use support::placing;

const BOUND: Millis = Millis(8_000);

fn member(id: &str, version: u64) -> Registration {
    let holding = Holding {
        model: "m".to_string(),
        version,
        layers: None,
    };
    Registration {
        holdings: vec![holding],
        ..placing::member(id, 1)
    }
}

fn routing() -> Routing {
    let engine = Engine {
        slots: 16,
        step_ms: 8.9,
        request_ms: 0.04,
        context_ms: 0.02,
        read_rate: 19.1,
        pairs_ms: 1.5,
        stride: 5.0,
        usual: Size {
            prompt: 970.0,
            output: 95.0,
        },
        layers: 16,
        pieces: 48,
        piece_bytes: 49_152,
        models: Vec::new(),
        delays: Vec::new(),
    };
    let pool = Pool {
        name: "p".to_string(),
        health_path: String::new(),
        max_connections: 100,
        engine: Some(Arc::new(engine)),
        origin: None,
        cold_span: Millis(0),
        cold_rate: None,
    };
    Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default())
}

fn profile() -> RequestProfile {
    RequestProfile {
        model: Some("m".to_string()),
        size: Size {
            prompt: 970.0,
            output: 95.0,
        },
        read_ms: 51.0,
        slack_ms: Some(900.0),
        ..placing::profile()
    }
}

/// Returns a placer that knows version 2 as named at 100 s, with `calls` calls in progress
/// at each upstream.
fn placer(members: &[Registration], calls: usize) -> Placer {
    let mut placer = Placer::new("z", 1);
    placer.set_members(members, &routing());
    let mut versions = Versions::default();
    let naming = Naming {
        at: Millis(100_000),
        dating: Dating::Exact,
    };
    versions.insert("m", 2, naming);
    placer.set_versions(versions, BOUND);
    for member in members {
        let key = placer.find(&member.id).expect("a member");
        for _ in 0..calls {
            placer.on_sent(Millis(101_000), key, &profile(), 100.0);
        }
    }
    placer
}

/// Guards against a request that waits in a full runner's queue and begins
/// there after the version has expired.
#[test]
fn queue_ends_before_the_expiry() {
    let expiry = 108_000;
    let mut full = placer(&[member("old", 1)], 17);
    let Choice::Send { first_ms, .. } = full.choose(Millis(expiry - 6_000), &profile(), &[]) else {
        panic!("there is time to wait in the queue");
    };
    assert!(first_ms > 200.0, "{first_ms}");
    let late = Millis(expiry - 2 * first_ms as u64);
    assert_eq!(full.choose(late, &profile(), &[]), Choice::NoUpstream);
    let mut empty = placer(&[member("old", 1)], 0);
    let early = empty.choose(late, &profile(), &[]);
    assert!(matches!(early, Choice::Send { .. }), "{early:?}");
}

/// Guards against the refusal of requests that a runner with the newest version can serve.
#[test]
fn newest_version_never_expires() {
    let mut placer = placer(&[member("new", 2)], 17);
    let choice = placer.choose(Millis(109_000), &profile(), &[]);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}
