//! Beliefs of a process: outages of the store, bad entries, versions.

use bytes::Bytes;
use chervilquay::direct::cluster::Change;
use chervilquay::direct::cluster::ClusterView;
use chervilquay::direct::wire::DeltaDoc;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::time::Millis;

const BOUND: Millis = Millis(8_000);

/// Shortest outage in which an entry can lapse.
const OUTAGE: Millis = Millis(2_400);

/// No entry can have lapsed.
const CALM: Millis = Millis(0);

fn entry(state: &str) -> String {
    format!(
        r#"{{"service":"p","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"{state}","cold_left_ms":0,"seq":1,"born":7}}"#
    )
}

fn put(key: &str, revision: u64, text: Option<String>) -> Delta {
    Delta {
        full: false,
        upto: revision,
        docs: vec![Doc {
            key: key.into(),
            revision,
            value: text.map(Bytes::from),
        }],
    }
}

fn config(version: u64) -> String {
    format!(r#"{{"version":{version},"routes":[],"services":[],"tenants":[]}}"#)
}

/// Guards against upstreams that live being dropped when their entries lapsed
/// while the store was away, and against one that is gone being kept.
#[test]
fn lapsed_entry_is_kept_for_two_seconds() {
    let mut world = ClusterView::default();
    let now = Millis(10_000);
    world.apply(now, BOUND, put("servers/a", 1, Some(entry("ready"))), CALM);
    world.apply(now, BOUND, put("servers/b", 2, Some(entry("ready"))), CALM);
    world.store_failed();
    let back = Millis(15_000);
    assert!(world.store_answered(back, OUTAGE));
    let left = world.grace_left(back);
    assert_eq!(left, Millis(2_000));
    for (id, revision) in [("servers/a", 3), ("servers/b", 4)] {
        let changes = world.apply(back, BOUND, put(id, revision, None), left);
        assert!(matches!(changes[..], [Change::Lapsed(_)]));
    }
    assert_eq!(world.members.len(), 2);
    world.apply(
        Millis(16_000),
        BOUND,
        put("servers/a", 5, Some(entry("ready"))),
        Millis(1_000),
    );
    assert!(world.drop_missing(Millis(16_900)).is_empty());
    assert_eq!(
        world.drop_missing(Millis(17_000)),
        vec![Change::Gone("b".to_string())]
    );
    assert_eq!(world.members.len(), 1);
}

/// Guards against a runner that deregistered in calm getting work beyond its drain.
#[test]
fn removal_in_calm_is_final() {
    let mut world = ClusterView::default();
    world.apply(
        Millis(1),
        BOUND,
        put("servers/a", 1, Some(entry("ready"))),
        CALM,
    );
    let changes = world.apply(Millis(2), BOUND, put("servers/a", 2, None), CALM);
    assert_eq!(changes, vec![Change::Gone("a".to_string())]);
    assert!(world.members.is_empty());
}

/// Guards against one foreign entry hiding the others or stopping the process.
#[test]
fn bad_entries_are_left_out() {
    let bad = [
        "",
        "nonsense",
        "[]",
        "{}",
        r#"{"service":"p"}"#,
        r#"{"service":4,"address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"}"#,
        r#"{"service":"p","address":"nowhere","zone":"z","slots":4,"state":"ready"}"#,
        r#"{"service":"p","address":"10.0.0.1:80","zone":"z","slots":4,"state":"resting"}"#,
    ];
    let mut world = ClusterView::default();
    world.apply(
        Millis(1),
        BOUND,
        put("servers/good", 1, Some(entry("ready"))),
        CALM,
    );
    for (index, text) in bad.iter().enumerate() {
        let delta = put("servers/bad", index as u64 + 2, Some((*text).to_string()));
        let changes = world.apply(Millis(1), BOUND, delta, CALM);
        assert!(matches!(changes[..], [Change::Undecoded(_)]), "{text}");
        assert_eq!(world.members.len(), 1, "{text}");
    }
}

/// Guards against a configuration going back when an older one is told late.
#[test]
fn configuration_never_goes_back() {
    let mut world = ClusterView::default();
    let version = |world: &ClusterView| world.routing().map(|r| r.version());
    world.apply(Millis(1), BOUND, put("op/config", 1, Some(config(7))), CALM);
    world.apply(Millis(1), BOUND, put("op/config", 2, Some(config(5))), CALM);
    assert_eq!(version(&world), Some(7));
    world.apply(
        Millis(1),
        BOUND,
        put("op/config", 3, Some("{".to_string())),
        CALM,
    );
    assert_eq!(version(&world), Some(7));
    world.apply(Millis(1), BOUND, put("op/config", 4, Some(config(9))), CALM);
    assert_eq!(version(&world), Some(9));
}

/// Guards against a runner that leaves being kept for two seconds by a process
/// that alone was cut off from the store: its peers had news of the store all
/// the while, so no entry has lapsed there.
#[test]
fn own_cut_is_no_outage() {
    let mut world = ClusterView::default();
    let silence = Millis(3_600);
    let ready = put("servers/a", 1, Some(entry("ready")));
    world.apply(Millis(1), BOUND, ready, CALM);
    world.store_failed();
    world.peer_had_changes(Millis(24_870), silence);
    assert!(world.store_answered(Millis(25_300), OUTAGE));
    assert_eq!(world.grace_left(Millis(25_614)), CALM);
    // Without news for as long as entries live, they may have lapsed.
    world.store_failed();
    assert!(world.store_answered(Millis(28_500), OUTAGE));
    assert!(world.grace_left(Millis(28_600)) > CALM);
}

/// Guards against a runner that lives being dropped by a process that hears of
/// the missing entry through a third one, and against processes that prolong
/// the time for each other.
#[test]
fn time_left_passes_along() {
    let mut first = ClusterView::default();
    let mut second = ClusterView::default();
    for world in [&mut first, &mut second] {
        world.apply(
            Millis(1),
            BOUND,
            put("servers/a", 1, Some(entry("ready"))),
            CALM,
        );
    }
    // Two processes that fetch from each other all the time.
    let mut left = Millis(2_000);
    for round in 0..200 {
        let now = Millis(100 + 20 * round);
        let doc = DeltaDoc::new(put("other", 1, None), left);
        first.apply(
            now,
            BOUND,
            doc.clone().into_delta(),
            doc.grace_left(Millis(20)),
        );
        left = first.grace_left(now);
    }
    assert_eq!(left, CALM);
    let removed = || put("servers/a", 2, None);
    let changes = first.apply(Millis(5_000), BOUND, removed(), Millis(1_500));
    assert_eq!(changes, vec![Change::Lapsed("a".to_string())]);
    let left = first.grace_left(Millis(5_300));
    assert_eq!(left, Millis(1_200));
    let changes = second.apply(Millis(5_300), BOUND, removed(), left);
    assert_eq!(changes, vec![Change::Lapsed("a".to_string())]);
    assert_eq!(second.grace_left(Millis(6_500)), CALM);
}

/// Guards against a runner that leaves being kept for two seconds when the store
/// drops its history: watches hear nothing for a second and are cut, and the
/// next call is answered.
#[test]
fn dropped_history_is_no_outage() {
    let mut world = ClusterView::default();
    let ready = put("servers/a", 1, Some(entry("ready")));
    world.store_answered(Millis(5_000), OUTAGE);
    world.apply(Millis(5_000), BOUND, ready, CALM);
    world.store_answered(Millis(9_900), OUTAGE);
    world.store_failed();
    let back = Millis(11_200);
    assert!(world.store_answered(back, OUTAGE));
    let left = world.grace_left(back);
    let changes = world.apply(back, BOUND, put("servers/a", 2, None), left);
    assert_eq!(changes, vec![Change::Gone("a".to_string())]);
    // A failure that lasts as long as entries may lapse in.
    world.store_failed();
    assert!(world.store_answered(Millis(13_700), OUTAGE));
    assert!(world.grace_left(Millis(13_700)) > CALM);
}

/// Guards against what was removed being kept by a process that sees the store
/// return later than others, or that was alone cut off from it and its peers.
#[test]
fn first_return_ends_the_lapse() {
    let mut first = ClusterView::default();
    let mut late = ClusterView::default();
    for world in [&mut first, &mut late] {
        world.store_answered(Millis(9_900), OUTAGE);
        let ready = put("servers/a", 1, Some(entry("ready")));
        world.apply(Millis(9_900), BOUND, ready, CALM);
        world.store_failed();
    }
    assert_eq!(first.store_uptime(Millis(14_000)), CALM);
    first.store_answered(Millis(14_000), OUTAGE);
    late.store_answered(Millis(15_500), OUTAGE);
    let left = late.grace_left(Millis(15_500));
    let removed = put("servers/a", 2, None);
    let changes = late.apply(Millis(15_500), BOUND, removed, left);
    assert_eq!(changes, vec![Change::Lapsed("a".to_string())]);
    let span = first.store_uptime(Millis(15_600));
    assert_eq!(span, Millis(1_600));
    late.peer_store_uptime(Millis(15_600), span);
    assert_eq!(late.grace_left(Millis(15_600)), Millis(400));
    assert!(late.drop_missing(Millis(15_990)).is_empty());
    assert_eq!(
        late.drop_missing(Millis(16_000)),
        vec![Change::Gone("a".to_string())]
    );
    // A peer that the store has answered all the while has seen no outage.
    late.store_failed();
    late.store_answered(Millis(25_000), OUTAGE);
    late.peer_store_uptime(Millis(25_100), Millis(11_100));
    assert_eq!(late.grace_left(Millis(25_100)), CALM);
}

/// Guards against a process that started while the store was away telling others
/// that what is missing then was removed.
#[test]
fn start_counts_as_return() {
    let mut world = ClusterView::default();
    assert!(!world.store_answered(Millis(5_000), OUTAGE));
    assert_eq!(world.grace_left(Millis(5_500)), Millis(1_500));
    let ready = put("servers/a", 1, Some(entry("ready")));
    world.apply(Millis(5_000), BOUND, ready, CALM);
    // A peer that the store has answered all the while knows better.
    world.peer_store_uptime(Millis(5_600), Millis(9_000));
    assert_eq!(world.grace_left(Millis(5_600)), CALM);
    world.store_answered(Millis(8_000), OUTAGE);
    assert_eq!(world.grace_left(Millis(8_000)), CALM);
}
