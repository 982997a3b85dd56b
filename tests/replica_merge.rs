//! Replica of the store: no key goes back to an earlier revision, whatever the
//! order in which changes and listings arrive.

use bytes::Bytes;
use chervilquay::direct::wire::DeltaDoc;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::table::replica::Replica;
use chervilquay::time::Millis;

fn doc(key: &str, revision: u64, value: Option<&str>) -> Doc {
    Doc {
        key: key.into(),
        revision,
        value: value.map(|text| Bytes::copy_from_slice(text.as_bytes())),
    }
}

fn delta(full: bool, upto: u64, docs: Vec<Doc>) -> Delta {
    Delta {
        era: 0,
        full,
        upto,
        docs,
    }
}

fn value(replica: &Replica, key: &str) -> Option<Bytes> {
    replica.get(key).and_then(|doc| doc.value.clone())
}

/// Guards against a late answer of the store that undoes changes from a peer.
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

/// Guards against keys that stay for ever because the store dropped its history
/// of their removal.
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

/// Guards against a peer that ends with other content than the replica whose
/// deltas it applied.
#[test]
fn random_deltas_converge() {
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

/// Guards against a process that uses a runner that has left: when it starts, it
/// gets a peer's full listing, which names no removals, and then a listing of the
/// store that was begun earlier and still names the runner.
#[test]
fn late_listing_restores_nothing() {
    let mut replica = Replica::default();
    replica.apply(delta(true, 12, vec![doc("a", 5, Some("1"))]));
    let listing = vec![doc("a", 5, Some("1")), doc("b", 6, Some("1"))];
    let changed = replica.apply(delta(true, 10, listing));
    assert!(changed.is_empty(), "{changed:?}");
    assert_eq!(value(&replica, "b"), None);
    // A later page of a listing may be newer than its first page.
    let listing = vec![doc("a", 5, Some("1")), doc("c", 13, Some("1"))];
    let changed = replica.apply(delta(true, 10, listing));
    assert_eq!(changed, vec![doc("c", 13, Some("1"))]);
    assert_eq!(replica.revision(), 12);
}

/// Guards against a process that uses a runner that has left: a peer that has
/// just started knows the store's listing and none of the removals before it, so
/// its changes since an earlier revision would lack them.
#[test]
fn started_peer_gives_full_listing() {
    let mut replica = Replica::default();
    let both = vec![doc("a", 5, Some("1")), doc("b", 6, Some("1"))];
    replica.apply(delta(true, 10, both));
    // The store removes b in revision 11 and changes a in 12. Then a peer starts.
    let mut started = Replica::default();
    started.apply(delta(true, 12, vec![doc("a", 12, Some("2"))]));
    replica.apply(started.since(replica.revision()));
    assert_eq!(replica.revision(), 12);
    assert_eq!(value(&replica, "a"), Some("2".into()));
    assert_eq!(value(&replica, "b"), None);
    // The peer passes on what it gets after its listing as changes.
    started.apply(delta(false, 13, vec![doc("a", 13, None)]));
    let changes = started.since(12);
    assert!(!changes.full);
    assert_eq!(changes.docs, vec![doc("a", 13, None)]);
}

/// Guards against changes in a datagram that are taken for all that a replica lacks, though
/// the datagram before was lost.
#[test]
fn pushed_changes_complete_only_the_next_revision() {
    let mut sender = Replica::default();
    sender.apply(delta(true, 10, vec![doc("a", 5, Some("1"))]));
    sender.apply(delta(false, 12, vec![doc("b", 12, Some("1"))]));
    sender.apply(delta(false, 14, vec![doc("a", 14, None)]));
    let pushed = |since| DeltaDoc::new(sender.since(since), Millis(0));
    for (revision, is_complete) in [(0, false), (10, false), (12, true), (13, true), (14, false)] {
        let taken = pushed(12).completes(12, revision);
        assert_eq!(taken.is_some(), is_complete, "at {revision}");
    }
    // A listing may be older than what it replaces.
    assert!(pushed(0).completes(0, 12).is_none());
    let mut receiver = Replica::default();
    receiver.apply(delta(true, 10, vec![doc("a", 5, Some("1"))]));
    receiver.apply(pushed(10).completes(10, 10).unwrap().into_delta());
    assert_eq!(receiver.revision(), 14);
    assert_eq!(value(&receiver, "a"), None);
    assert_eq!(value(&receiver, "b"), Some("1".into()));
}
