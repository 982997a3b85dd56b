//! What a process knows of the cluster: outages of the store, bad registrations,
//! versions of the configuration.

use bytes::Bytes;
use chervilquay::direct::cluster::Change;
use chervilquay::direct::cluster::ClusterView;
use chervilquay::direct::wire::DeltaDoc;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::time::Millis;

const BOUND: Millis = Millis(8_000);

/// Shortest outage in which a registration can expire.
const LEAST_OUTAGE: Millis = Millis(2_400);

/// No grace period: the store has not been away.
const NO_GRACE: Millis = Millis(0);

fn registration(state: &str) -> String {
    format!(
        r#"{{"service":"p","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"{state}","cold_left_ms":0,"seq":1,"born":7}}"#
    )
}

fn put(key: &str, revision: u64, text: Option<String>) -> Delta {
    Delta {
        era: 0,
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

/// Guards against dropping upstreams that still run when their registrations
/// expired while the store was away, and against keeping one that is gone.
#[test]
fn expired_registration_is_kept_for_two_seconds() {
    let mut cluster = ClusterView::default();
    let now = Millis(10_000);
    cluster.apply(
        now,
        BOUND,
        put("servers/a", 1, Some(registration("ready"))),
        NO_GRACE,
    );
    cluster.apply(
        now,
        BOUND,
        put("servers/b", 2, Some(registration("ready"))),
        NO_GRACE,
    );
    cluster.store_failed(Millis(1), Millis(1));
    let back = Millis(15_000);
    assert!(cluster.store_answered(back, LEAST_OUTAGE));
    let grace = cluster.grace_left(back);
    assert_eq!(grace, Millis(2_000));
    for (id, revision) in [("servers/a", 3), ("servers/b", 4)] {
        let changes = cluster.apply(back, BOUND, put(id, revision, None), grace);
        assert!(matches!(changes[..], [Change::Missing(_)]));
    }
    assert_eq!(cluster.members.len(), 2);
    cluster.apply(
        Millis(16_000),
        BOUND,
        put("servers/a", 5, Some(registration("ready"))),
        Millis(1_000),
    );
    assert!(cluster.drop_missing(Millis(16_900)).is_empty());
    assert_eq!(
        cluster.drop_missing(Millis(17_000)),
        vec![Change::Gone("b".to_string())]
    );
    assert_eq!(cluster.members.len(), 1);
}

/// Guards against sending requests to a runner that removed its registration while
/// the store worked.
#[test]
fn removal_without_outage_is_final() {
    let mut cluster = ClusterView::default();
    cluster.apply(
        Millis(1),
        BOUND,
        put("servers/a", 1, Some(registration("ready"))),
        NO_GRACE,
    );
    let changes = cluster.apply(Millis(2), BOUND, put("servers/a", 2, None), NO_GRACE);
    assert_eq!(changes, vec![Change::Gone("a".to_string())]);
    assert!(cluster.members.is_empty());
}

/// Guards against a registration that cannot be decoded hiding the others or
/// stopping the process.
#[test]
fn bad_registrations_are_left_out() {
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
    let mut cluster = ClusterView::default();
    cluster.apply(
        Millis(1),
        BOUND,
        put("servers/good", 1, Some(registration("ready"))),
        NO_GRACE,
    );
    for (index, text) in bad.iter().enumerate() {
        let delta = put("servers/bad", index as u64 + 2, Some((*text).to_string()));
        let changes = cluster.apply(Millis(1), BOUND, delta, NO_GRACE);
        assert!(matches!(changes[..], [Change::Undecoded(_)]), "{text}");
        assert_eq!(cluster.members.len(), 1, "{text}");
    }
}

/// Guards against returning to an older configuration that arrives late, or to none
/// when one cannot be decoded.
#[test]
fn configuration_never_goes_back() {
    let mut cluster = ClusterView::default();
    let version = |cluster: &ClusterView| cluster.routing().map(|r| r.version());
    cluster.apply(
        Millis(1),
        BOUND,
        put("op/config", 1, Some(config(7))),
        NO_GRACE,
    );
    cluster.apply(
        Millis(1),
        BOUND,
        put("op/config", 2, Some(config(5))),
        NO_GRACE,
    );
    assert_eq!(version(&cluster), Some(7));
    cluster.apply(
        Millis(1),
        BOUND,
        put("op/config", 3, Some("{".to_string())),
        NO_GRACE,
    );
    assert_eq!(version(&cluster), Some(7));
    cluster.apply(
        Millis(1),
        BOUND,
        put("op/config", 4, Some(config(9))),
        NO_GRACE,
    );
    assert_eq!(version(&cluster), Some(9));
}

/// Guards against keeping a removed runner for two seconds in a process that alone
/// was cut off from the store: its peers had changes from the store meanwhile, so
/// no registration can have expired.
#[test]
fn lost_connection_is_no_outage() {
    let mut cluster = ClusterView::default();
    let lifetime = Millis(3_600);
    let ready = put("servers/a", 1, Some(registration("ready")));
    cluster.apply(Millis(1), BOUND, ready, NO_GRACE);
    cluster.store_failed(Millis(25000), Millis(25000));
    cluster.peer_had_changes(Millis(24_870), lifetime);
    assert!(cluster.store_answered(Millis(25_300), LEAST_OUTAGE));
    assert_eq!(cluster.grace_left(Millis(25_614)), NO_GRACE);
    // No changes for as long as a registration lives: it may have expired.
    cluster.store_failed(Millis(28000), Millis(28000));
    assert!(cluster.store_answered(Millis(28_500), LEAST_OUTAGE));
    assert!(cluster.grace_left(Millis(28_600)) > NO_GRACE);
}

/// Guards against dropping a running runner in a process that learns of the missing
/// registration from a peer, and against processes that prolong the grace period
/// for each other.
#[test]
fn grace_period_is_passed_on() {
    let mut first = ClusterView::default();
    let mut second = ClusterView::default();
    for cluster in [&mut first, &mut second] {
        cluster.apply(
            Millis(1),
            BOUND,
            put("servers/a", 1, Some(registration("ready"))),
            NO_GRACE,
        );
    }
    // Two processes fetch from each other all the time.
    let mut grace = Millis(2_000);
    for round in 0..200 {
        let now = Millis(100 + 20 * round);
        let doc = DeltaDoc::new(put("other", 1, None), grace);
        first.apply(
            now,
            BOUND,
            doc.clone().into_delta(),
            doc.grace_left(Millis(20)),
        );
        grace = first.grace_left(now);
    }
    assert_eq!(grace, NO_GRACE);
    let removed = || put("servers/a", 2, None);
    let changes = first.apply(Millis(5_000), BOUND, removed(), Millis(1_500));
    assert_eq!(changes, vec![Change::Missing("a".to_string())]);
    let grace = first.grace_left(Millis(5_300));
    assert_eq!(grace, Millis(1_200));
    let changes = second.apply(Millis(5_300), BOUND, removed(), grace);
    assert_eq!(changes, vec![Change::Missing("a".to_string())]);
    assert_eq!(second.grace_left(Millis(6_500)), NO_GRACE);
}

/// Guards against keeping a removed runner for two seconds when the store drops its
/// history: watches get nothing for a second and fail, and the next call is
/// answered.
#[test]
fn dropped_history_is_no_outage() {
    let mut cluster = ClusterView::default();
    let ready = put("servers/a", 1, Some(registration("ready")));
    cluster.store_answered(Millis(5_000), LEAST_OUTAGE);
    cluster.apply(Millis(5_000), BOUND, ready, NO_GRACE);
    cluster.store_answered(Millis(9_900), LEAST_OUTAGE);
    cluster.store_failed(Millis(10500), Millis(10500));
    let back = Millis(11_200);
    assert!(cluster.store_answered(back, LEAST_OUTAGE));
    let grace = cluster.grace_left(back);
    let changes = cluster.apply(back, BOUND, put("servers/a", 2, None), grace);
    assert_eq!(changes, vec![Change::Gone("a".to_string())]);
    // An outage that is long enough for a registration to expire.
    cluster.store_failed(Millis(13500), Millis(13500));
    assert!(cluster.store_answered(Millis(13_700), LEAST_OUTAGE));
    assert!(cluster.grace_left(Millis(13_700)) > NO_GRACE);
}

/// Guards against keeping a removed upstream in a process that sees the store return
/// later than others, or that alone was cut off from the store and its peers.
#[test]
fn first_return_ends_the_grace_period() {
    let mut first = ClusterView::default();
    let mut late = ClusterView::default();
    for cluster in [&mut first, &mut late] {
        cluster.store_answered(Millis(9_900), LEAST_OUTAGE);
        let ready = put("servers/a", 1, Some(registration("ready")));
        cluster.apply(Millis(9_900), BOUND, ready, NO_GRACE);
        cluster.store_failed(Millis(10500), Millis(10500));
    }
    assert_eq!(first.store_uptime(Millis(14_000)), NO_GRACE);
    first.store_answered(Millis(14_000), LEAST_OUTAGE);
    late.store_answered(Millis(15_500), LEAST_OUTAGE);
    let grace = late.grace_left(Millis(15_500));
    let removed = put("servers/a", 2, None);
    let changes = late.apply(Millis(15_500), BOUND, removed, grace);
    assert_eq!(changes, vec![Change::Missing("a".to_string())]);
    let span = first.store_uptime(Millis(15_600));
    assert_eq!(span, Millis(1_600));
    late.peer_store_uptime(Millis(15_600), span);
    assert_eq!(late.grace_left(Millis(15_600)), Millis(400));
    assert!(late.drop_missing(Millis(15_990)).is_empty());
    assert_eq!(
        late.drop_missing(Millis(16_000)),
        vec![Change::Gone("a".to_string())]
    );
    // The store has answered a peer throughout, so there was no outage.
    late.store_failed(Millis(24000), Millis(24000));
    late.store_answered(Millis(25_000), LEAST_OUTAGE);
    late.peer_store_uptime(Millis(25_100), Millis(11_100));
    assert_eq!(late.grace_left(Millis(25_100)), NO_GRACE);
}

/// Guards against a process that started while the store was away and tells others
/// that upstreams with expired registrations were removed.
#[test]
fn start_counts_as_return_of_the_store() {
    let mut cluster = ClusterView::default();
    assert!(!cluster.store_answered(Millis(5_000), LEAST_OUTAGE));
    assert_eq!(cluster.grace_left(Millis(5_500)), Millis(1_500));
    let ready = put("servers/a", 1, Some(registration("ready")));
    cluster.apply(Millis(5_000), BOUND, ready, NO_GRACE);
    // The store has answered a peer throughout, so there was no outage.
    cluster.peer_store_uptime(Millis(5_600), Millis(9_000));
    assert_eq!(cluster.grace_left(Millis(5_600)), NO_GRACE);
    cluster.store_answered(Millis(8_000), LEAST_OUTAGE);
    assert_eq!(cluster.grace_left(Millis(8_000)), NO_GRACE);
}
