//! Work that is left at upstreams, and what placement makes of it.

mod support;

use std::sync::Arc;

use chervilquay::arena::Key;
use chervilquay::bench::place;
use chervilquay::member::registry::Holding;
use chervilquay::member::registry::Registration;
use chervilquay::platform::config;
use chervilquay::route::engine::Size;
use chervilquay::route::estimate::Forecast;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Placer;
use chervilquay::route::profile::RequestProfile;
use chervilquay::route::target::Target;
use chervilquay::route::work::Load;
use chervilquay::table::routing::Limits;
use chervilquay::table::routing::Pool;
use chervilquay::table::routing::Routing;
use chervilquay::time::Millis;
use support::placing;

/// Returns a placer with the upstreams `a` and `b`, each with this memory.
fn placer(seed: u64, memory: Option<f64>) -> Placer {
    let engine = place::engine();
    let layers = Some(engine.layers);
    let pool = Pool {
        name: "p".to_string(),
        health_path: String::new(),
        max_connections: 100,
        engine: Some(Arc::new(engine)),
        origin: None,
        cold_span: Millis(0),
        cold_rate: None,
    };
    let mut routing = Routing::new(1, Vec::new(), vec![pool], Vec::new(), Limits::default());
    if let Some(tokens) = memory {
        routing.set_memory("p", tokens);
    }
    let holding = Holding {
        model: "m".to_string(),
        version: 1,
        layers,
    };
    let members = ["a", "b"].map(|id| Registration {
        holdings: vec![holding.clone()],
        ..placing::member(id, 1)
    });
    let mut placer = Placer::new("z", seed);
    placer.set_members(&members, &routing);
    placer
}

fn profile(output: f64) -> RequestProfile {
    RequestProfile {
        model: Some("m".to_string()),
        size: Size {
            prompt: 500.0,
            output,
        },
        slack_ms: Some(5_000.0),
        ..placing::profile()
    }
}

fn find(placer: &Placer, id: &str) -> Key<Target> {
    placer.find(id).expect("the upstream is listed")
}

/// Fills all slots of an upstream with calls that have written `written` events each.
fn fill(placer: &mut Placer, id: &str, output: f64, written: u32) {
    let target = find(placer, id);
    for _ in 0..16 {
        let now = Millis(10_000);
        let call = placer.on_sent(now, target, &profile(output), 50.0);
        placer.set_forecast(call, Forecast::around(output), 0.0);
        placer.on_begun(now, call);
        for _ in 0..written {
            placer.on_event(now, call);
        }
    }
}

/// Returns the ids of the upstreams chosen by placers of ten seeds after `prepare`; empty for
/// a refusal.
fn chosen(memory: Option<f64>, prepare: impl Fn(&mut Placer)) -> Vec<String> {
    let choose = |seed| {
        let mut placer = placer(seed, memory);
        prepare(&mut placer);
        match placer.choose(Millis(10_010), &profile(100.0), &[]) {
            Choice::Send { target, .. } => {
                let target = placer.get(target);
                target.map_or_else(String::new, |t| t.registration.id.clone())
            }
            _ => String::new(),
        }
    };
    (0..10).map(choose).collect()
}

/// Load: two full upstreams with as many calls, of which one has long answers and the other
/// short ones. Guards against a choice by the number of calls.
#[test]
fn slots_of_short_answers_become_free_first() {
    let found = chosen(None, |placer| {
        fill(placer, "a", 800.0, 2);
        fill(placer, "b", 40.0, 2);
    });
    assert_eq!(found, ["b"; 10]);
}

/// Load: the same answers at two full upstreams, nearly written at one of them. Guards against
/// a prediction that ignores what has been written.
#[test]
fn slots_of_nearly_written_answers_become_free_first() {
    let found = chosen(None, |placer| {
        fill(placer, "a", 200.0, 1);
        fill(placer, "b", 200.0, 30);
    });
    assert_eq!(found, ["b"; 10]);
}

/// Load: two full upstreams that only another entry uses, of which one has long answers.
/// Guards against reports of calls without what is left of them.
#[test]
fn other_entries_report_what_is_left() {
    let mut other = placer(1, None);
    fill(&mut other, "a", 800.0, 2);
    fill(&mut other, "b", 40.0, 2);
    let loads = other.loads();
    let found = chosen(None, |placer| {
        placer.on_loads(Millis(10_005), "other", &loads)
    });
    assert_eq!(found, ["b"; 10]);
}

/// Load: a report of short answers that is 600 ms old. Guards against calls that count in full
/// however old the report is.
#[test]
fn calls_of_a_stale_report_have_partly_ended() {
    let mut other = placer(1, None);
    fill(&mut other, "a", 60.0, 2);
    let (_, load) = other.loads()[0];
    assert!(load.ends(60.0) > 8.0 && load.ends(2.0) < 2.0, "{load:?}");
    assert!(load.after(60.0).left < 0.1 * load.left);
}

/// Load: an upstream that is full by the report of an entry of an earlier release. Guards
/// against calls that count as nothing because their remaining work is not stated.
#[test]
fn reports_without_remaining_work_count_as_usual_calls() {
    let mut other = placer(1, None);
    fill(&mut other, "a", 60.0, 2);
    let known = other.loads();
    let known: Vec<(u64, Load)> = known.iter().map(|(id, load)| (*id, plain(load))).collect();
    let found = chosen(None, |placer| {
        placer.on_loads(Millis(10_005), "old", &known)
    });
    assert_eq!(found, ["b"; 10]);
}

/// Returns what an earlier release states of a load.
fn plain(load: &Load) -> Load {
    Load {
        calls: load.calls,
        unread_ms: load.unread_ms,
        ..Load::default()
    }
}

/// Load: an upstream with free slots that stands still in the middle of its answers. Guards
/// against requests to it for as long as nothing of it has failed.
#[test]
fn an_upstream_that_stands_still_is_passed_over() {
    let found = chosen(None, |placer| {
        for (id, events_at) in [("a", 8_000), ("b", 10_000)] {
            let target = find(placer, id);
            // The one that goes on has more calls.
            for _ in 0..if id == "a" { 1 } else { 4 } {
                let call = placer.on_sent(Millis(8_000), target, &profile(200.0), 50.0);
                placer.on_begun(Millis(8_000), call);
                placer.on_event(Millis(events_at), call);
            }
        }
    });
    assert_eq!(found, ["b"; 10]);
}

/// Load: a configuration that states the memory of its engines. Guards against a limit that is
/// read but not applied, and against one where none is stated.
#[test]
fn the_configuration_states_the_memory() {
    let text = r#"{"version": 1, "services": [
        {"name": "p", "engine": {"slots": 12, "kv_capacity": 50000}},
        {"name": "q", "engine": {"slots": 12}}, {"name": "r"}]}"#;
    let routing = config::decode(text.as_bytes()).expect("a configuration");
    let memory = ["p", "q", "r"].map(|pool| routing.memory(pool));
    assert_eq!(memory, [Some(50_000.0), None, None]);
}

/// Load: long answers that fill the memory of an upstream whose slots are free. Guards against
/// requests that need more memory than there is, and against refusals where the memory is not
/// known.
#[test]
fn memory_is_never_exceeded() {
    let busy = |placer: &mut Placer| {
        let target = find(placer, "a");
        for _ in 0..4 {
            placer.on_sent(Millis(10_000), target, &profile(400.0), 50.0);
        }
        let target = find(placer, "b");
        for _ in 0..6 {
            placer.on_sent(Millis(10_000), target, &profile(50.0), 50.0);
        }
    };
    assert_eq!(chosen(Some(4_500.0), busy), ["b"; 10]);
    assert_eq!(chosen(Some(600.0), |_| {}), [""; 10]);
    assert!(chosen(None, busy).iter().any(|id| id == "a"));
    let reported = |placer: &mut Placer| {
        placer.on_memory("a", 4_200.0, Millis(10_000));
    };
    assert_eq!(chosen(Some(4_500.0), reported), ["b"; 10]);
}
