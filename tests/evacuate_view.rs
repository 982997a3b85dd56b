//! What a process knows of evacuated zones, and of the regions in the configuration.

use bytes::Bytes;
use chervilquay::direct::cluster::Change;
use chervilquay::direct::cluster::ClusterView;
use chervilquay::direct::wire::DeltaDoc;
use chervilquay::platform::config;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::time::Millis;

const NOW: Millis = Millis(50_000);

fn apply(view: &mut ClusterView, changes: Delta) -> Vec<Change> {
    view.apply(NOW, Millis(8_000), changes, Millis(0))
}

fn delta(era: u64, full: bool, upto: u64, docs: &[(&str, u64, Option<&'static str>)]) -> Delta {
    let docs = docs.iter().map(|(key, revision, text)| Doc {
        key: (*key).into(),
        revision: *revision,
        value: text.map(Bytes::from),
    });
    Delta {
        era,
        full,
        upto,
        docs: docs.collect(),
    }
}

fn zones(view: &ClusterView) -> Vec<&str> {
    let mut zones: Vec<&str> = view.evacuations.iter().collect();
    zones.sort_unstable();
    zones
}

/// Guards against an evacuation that is missed at the start, by a value that is not `{}`, or
/// beside another one, and against one that stays in force after its key is removed.
#[test]
fn keys_are_evacuations() {
    let mut view = ClusterView::default();
    let listing = [
        ("op/evacuate/a", 3, Some("{}")),
        ("op/evacuate/b", 4, Some("not JSON")),
        ("op/evacuate/", 5, Some("{}")),
        ("op/evacuated/c", 6, Some("{}")),
    ];
    let changes = apply(&mut view, delta(0, true, 6, &listing));
    let evacuation = |zone: &str, is_on| Change::Evacuation(zone.to_string(), is_on);
    assert_eq!(changes, [evacuation("a", true), evacuation("b", true)]);
    let again = [("op/evacuate/a", 7, Some("{ }"))];
    assert!(apply(&mut view, delta(0, false, 7, &again)).is_empty());
    let removal = delta(0, false, 8, &[("op/evacuate/a", 8, None)]);
    assert_eq!(apply(&mut view, removal), [evacuation("a", false)]);
    assert_eq!(zones(&view), ["b"]);
    // A listing that lacks the key: its removal was not received.
    apply(&mut view, delta(0, true, 9, &[]));
    assert_eq!(zones(&view), [""; 0]);
}

/// Guards against an old change, from a peer that lags behind, that revokes an evacuation
/// or brings it back.
#[test]
fn older_changes_do_not_revoke() {
    let mut view = ClusterView::default();
    apply(&mut view, delta(0, true, 1, &[]));
    apply(
        &mut view,
        delta(0, false, 5, &[("op/evacuate/a", 5, Some("{}"))]),
    );
    apply(&mut view, delta(0, false, 4, &[("op/evacuate/a", 4, None)]));
    apply(&mut view, delta(0, true, 3, &[]));
    assert_eq!(zones(&view), ["a"]);
    apply(&mut view, delta(0, false, 6, &[("op/evacuate/a", 6, None)]));
    apply(
        &mut view,
        delta(0, false, 5, &[("op/evacuate/a", 5, Some("{}"))]),
    );
    assert_eq!(zones(&view), [""; 0]);
}

/// Guards against an evacuation that the restored store does not list and that stays, and
/// against one that it lists and that is not in force.
#[test]
fn restored_store_decides() {
    let mut view = ClusterView::default();
    let listing = [
        ("op/evacuate/a", 3, Some("{}")),
        ("op/evacuate/b", 4, Some("{}")),
    ];
    apply(&mut view, delta(1, true, 9, &listing));
    let copy = [
        ("op/evacuate/b", 1, Some("{}")),
        ("op/evacuate/c", 2, Some("{}")),
    ];
    apply(&mut view, delta(2, true, 2, &copy));
    assert_eq!(zones(&view), ["b", "c"]);
}

/// Guards against an evacuation that peers do not pass on to a process without the store.
#[test]
fn peers_pass_evacuations_on() {
    let mut source = ClusterView::default();
    apply(
        &mut source,
        delta(0, true, 3, &[("op/evacuate/a", 3, Some("{}"))]),
    );
    let mut started = ClusterView::default();
    let copy = source.replica.changes_after(started.replica.position());
    apply(&mut started, DeltaDoc::new(copy, Millis(0)).into_delta());
    assert_eq!(zones(&started), ["a"]);
    apply(
        &mut source,
        delta(0, false, 4, &[("op/evacuate/a", 4, None)]),
    );
    let changes = source.replica.changes_after(started.replica.position());
    apply(&mut started, DeltaDoc::new(changes, Millis(0)).into_delta());
    assert_eq!(zones(&started), [""; 0]);
}

/// Guards against a missing or empty list that is taken for a restriction, and against a
/// public route that ignores the restriction of a known organisation.
#[test]
fn configuration_names_regions() {
    let route = |name: &str, regions: &str| {
        format!(
            r#"{{"name":"{name}","host":"h","prefix":"/{name}/","kind":"idempotent","timeout_ms":1,"public":true{regions}}}"#
        )
    };
    let routes = [
        route("missing", ""),
        route("empty", r#","allowed_regions":[]"#),
        route("null", r#","allowed_regions":null"#),
        route("two", r#","allowed_regions":["west","east","west"]"#),
    ];
    let text = format!(
        r#"{{"version":1,"routes":[{}],"tenants":[{{"name":"free","api_keys":["f"]}},
            {{"name":"bound","api_keys":["b"],"allowed_regions":["west"]}}]}}"#,
        routes.join(",")
    );
    let routing = config::decode(text.as_bytes()).expect("a configuration");
    let of = |route: &str, key: &str| {
        let route = routing.route("h", &format!("/{route}/")).expect("a route");
        let organisation = routing.organisation(key).map(|o| &**o);
        route.regions_for(organisation).to_string()
    };
    for name in ["missing", "empty", "null"] {
        assert_eq!((of(name, ""), of(name, "f")), ("any".into(), "any".into()));
        assert_eq!(of(name, "b"), "west");
    }
    let two = [of("two", ""), of("two", "f"), of("two", "b")];
    assert_eq!(two, ["east,west", "east,west", "west"]);
}
