//! Builders for tests of the placement: one pool of a plain service.

use chervilquay::member::registry::Registration;
use chervilquay::route::admission::Allowance;
use chervilquay::route::engine::Size;
use chervilquay::route::placement::Placer;
use chervilquay::route::profile::RequestProfile;
use chervilquay::route::regions::Regions;
use chervilquay::table::routing::Limits;
use chervilquay::table::routing::Pool;
use chervilquay::table::routing::Routing;
use chervilquay::time::Millis;

/// Returns an upstream of the pool that started at `started`.
pub fn member(id: &str, started: u64) -> Registration {
    Registration {
        id: id.to_string(),
        pool: "p".to_string(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "z".to_string(),
        slots: 16,
        draining: false,
        started,
        sequence: 0,
        cold_left: Millis(0),
        holdings: Vec::new(),
    }
}

/// Returns a configuration with the pool.
pub fn routing() -> Routing {
    let pool = Pool {
        name: "p".to_string(),
        health_path: String::new(),
        max_connections: 100,
        engine: None,
        origin: None,
        cold_span: Millis(0),
        cold_rate: None,
    };
    Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default())
}

/// Returns a request to the pool.
pub fn profile() -> RequestProfile {
    RequestProfile {
        pool: "p".to_string(),
        model: None,
        regions: Regions::Any,
        min_version: 0,
        rank: 0,
        size: Size {
            prompt: 0.0,
            output: 0.0,
        },
        slack_ms: Some(400.0),
        max_pause: None,
        time_left: 6_000.0,
        value_density: 1.0,
        relative_size: 1.0,
        large_preference: 0.0,
        allowance: Allowance::default(),
        read_ms: 0.0,
    }
}

/// Returns a placer with these upstreams.
pub fn placer(members: &[Registration]) -> Placer {
    let mut placer = Placer::new("z", 1);
    placer.set_members(members, &routing());
    placer
}
