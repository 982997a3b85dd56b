//! Replica of the store: whatever the order of its sources, nothing goes back.

use bytes::Bytes;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::table::replica::Replica;

fn doc(key: &str, revision: u64, value: Option<&str>) -> Doc {
    Doc {
        key: key.into(),
        revision,
        value: value.map(|text| Bytes::copy_from_slice(text.as_bytes())),
    }
}

fn delta(full: bool, upto: u64, docs: Vec<Doc>) -> Delta {
    Delta { full, upto, docs }
}

fn value(replica: &Replica, key: &str) -> Option<Bytes> {
    replica.get(key).and_then(|doc| doc.value.clone())
}

/// Guards against a late answer of the store undoing what a peer has told.
#[test]
fn older_listing_changes_nothing() {
    let mut replica = Replica::default();
    replica.apply(delta(
        true,
        10,
        vec![doc("a", 5, Some("1")), doc("b", 6, Some("1"))],
    ));
    replica.apply(delta(
        false,
        12,
        vec![doc("a", 12, Some("2")), doc("b", 11, None)],
    ));
    let changed = replica.apply(delta(
        true,
        10,
        vec![doc("a", 5, Some("1")), doc("b", 6, Some("1"))],
    ));
    assert!(changed.is_empty());
    assert_eq!(value(&replica, "a"), Some("2".into()));
    assert_eq!(value(&replica, "b"), None);
    assert_eq!(replica.revision(), 12);
}

/// Guards against keys that were removed while the history was gone staying for ever.
#[test]
fn newer_listing_removes_what_it_lacks() {
    let mut replica = Replica::default();
    replica.apply(delta(
        true,
        10,
        vec![doc("a", 5, Some("1")), doc("b", 6, Some("1"))],
    ));
    let changed = replica.apply(delta(true, 20, vec![doc("a", 5, Some("1"))]));
    assert_eq!(changed, vec![doc("b", 20, None)]);
    assert_eq!(value(&replica, "b"), None);
}

/// Guards against a peer that was fed by deltas ending with other content.
#[test]
fn random_feeding_converges() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut source = Replica::default();
        let mut peer = Replica::default();
        source.apply(delta(true, 1, vec![doc("k0", 1, Some("x"))]));
        for revision in 2..200_u64 {
            let key = format!("k{}", rng.u32(0..12));
            let text = revision.to_string();
            let content = (rng.f64() < 0.7).then_some(text.as_str());
            source.apply(delta(false, revision, vec![doc(&key, revision, content)]));
            if rng.f64() < 0.1 {
                let late = source.since(peer.revision());
                peer.apply(late.clone());
                if rng.bool() {
                    peer.apply(late);
                }
            }
        }
        peer.apply(source.since(peer.revision()));
        for index in 0..12 {
            let key = format!("k{index}");
            assert_eq!(
                value(&source, &key),
                value(&peer, &key),
                "seed {seed} key {key}"
            );
        }
    }
}

/// Guards against a runner that left being used until the process ends: a
/// process that starts takes a peer's whole content, which names no removals,
/// and then the store's listing, which was begun before and still names it.
#[test]
fn late_listing_brings_nothing_back() {
    let mut replica = Replica::default();
    replica.apply(delta(true, 12, vec![doc("a", 5, Some("1"))]));
    let listing = vec![doc("a", 5, Some("1")), doc("b", 6, Some("1"))];
    let changed = replica.apply(delta(true, 10, listing));
    assert!(changed.is_empty(), "{changed:?}");
    assert_eq!(value(&replica, "b"), None);
    // A later page of a listing may be newer than its first.
    let listing = vec![doc("a", 5, Some("1")), doc("c", 13, Some("1"))];
    let changed = replica.apply(delta(true, 10, listing));
    assert_eq!(changed, vec![doc("c", 13, Some("1"))]);
    assert_eq!(replica.revision(), 12);
}

/// Guards against a runner that left being used until the process ends: a peer
/// that has just started knows the store's listing, and none of the removals
/// before it, so its changes since an earlier revision would lack them.
#[test]
fn started_peer_tells_all() {
    let mut replica = Replica::default();
    let both = vec![doc("a", 5, Some("1")), doc("b", 6, Some("1"))];
    replica.apply(delta(true, 10, both));
    // The store removes b with 11 and changes a with 12; then a peer starts.
    let mut started = Replica::default();
    started.apply(delta(true, 12, vec![doc("a", 12, Some("2"))]));
    replica.apply(started.since(replica.revision()));
    assert_eq!(replica.revision(), 12);
    assert_eq!(value(&replica, "a"), Some("2".into()));
    assert_eq!(value(&replica, "b"), None);
    // What it hears after its listing it tells as changes.
    started.apply(delta(false, 13, vec![doc("a", 13, None)]));
    let change = started.since(12);
    assert!(!change.full);
    assert_eq!(change.docs, vec![doc("a", 13, None)]);
}
