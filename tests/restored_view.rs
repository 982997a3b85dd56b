//! What a process knows after the store has come back from an older copy.

use bytes::Bytes;
use chervilquay::direct::cluster::Change;
use chervilquay::direct::cluster::ClusterView;
use chervilquay::direct::wire::DeltaDoc;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::table::replica::Position;
use chervilquay::table::replica::Replica;
use chervilquay::time::Millis;

const BOUND: Millis = Millis(8_000);
const NOW: Millis = Millis(50_000);
const NO_GRACE: Millis = Millis(0);

/// Returns a registration of the upstream that started at `born`, at its write `seq`.
fn registration(state: &str, born: u64, seq: u64) -> String {
    format!(
        r#"{{"service":"p","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"{state}","cold_left_ms":0,"seq":{seq},"born":{born}}}"#
    )
}

fn config(version: u64) -> String {
    format!(r#"{{"version":{version},"routes":[],"services":[],"tenants":[]}}"#)
}

fn delta(era: u64, full: bool, upto: u64, docs: &[(&str, u64, Option<String>)]) -> Delta {
    let docs = docs.iter().map(|(key, revision, text)| Doc {
        key: (*key).into(),
        revision: *revision,
        value: text.clone().map(Bytes::from),
    });
    Delta {
        era,
        full,
        upto,
        docs: docs.collect(),
    }
}

/// Returns a view at era 1 and revision 20: version 9 of the configuration, one upstream that
/// is ready, one that drains, one that registered last, and one that was removed.
fn view() -> ClusterView {
    let mut view = ClusterView::default();
    let listing = [
        ("op/config", 18, Some(config(9))),
        ("servers/ready", 4, Some(registration("ready", 7, 4))),
        ("servers/leaves", 19, Some(registration("draining", 7, 9))),
        ("servers/gone", 6, Some(registration("ready", 7, 3))),
        ("servers/new", 17, Some(registration("ready", 7, 1))),
    ];
    view.apply(NOW, BOUND, delta(1, true, 19, &listing), NO_GRACE);
    let removal = [("servers/gone", 20, None)];
    view.apply(NOW, BOUND, delta(1, false, 20, &removal), NO_GRACE);
    view
}

/// Returns the listing of the restored store: as it was at revision 8.
fn copy(era: u64) -> Delta {
    let listing = [
        ("op/config", 2, Some(config(5))),
        ("servers/ready", 4, Some(registration("ready", 7, 4))),
        ("servers/leaves", 5, Some(registration("ready", 7, 2))),
        ("servers/gone", 6, Some(registration("ready", 7, 3))),
    ];
    delta(era, true, 8, &listing)
}

/// Applies the copy as a process that reads the store does.
fn restore(view: &mut ClusterView) -> Vec<Change> {
    view.store_restored(NOW);
    let grace = view.grace_left(NOW);
    view.apply(NOW, BOUND, copy(2), grace)
}

/// Guards against a configuration that comes back older, an upstream that is used again
/// after it has announced that it leaves or was removed, and one that counts as removed as
/// it registered after the copy was made.
#[test]
fn copy_undoes_nothing() {
    let mut view = view();
    let changes = restore(&mut view);
    let former = Position {
        era: 1,
        revision: 20,
    };
    let expected = [
        Change::Restored(2, former),
        Change::Missing("new".to_string()),
    ];
    assert_eq!(changes, expected);
    assert_eq!(view.routing().expect("a configuration").version(), 9);
    assert!(view.members["leaves"].draining);
    assert!(!view.members.contains_key("gone"));
    assert!(view.members.contains_key("new"));
}

/// Guards against an upstream that is kept without end, or dropped although it has written
/// its registration again.
#[test]
fn missing_registrations_are_written_again() {
    let again = ("servers/new", 9, Some(registration("ready", 7, 3)));
    for is_written in [true, false] {
        let mut view = view();
        restore(&mut view);
        if is_written {
            let written = delta(2, false, 9, std::slice::from_ref(&again));
            view.apply(NOW.plus(Millis(900)), BOUND, written, NO_GRACE);
        }
        assert!(view.drop_missing(NOW.plus(Millis(1_900))).is_empty());
        view.drop_missing(NOW.plus(Millis(2_100)));
        assert_eq!(view.members.contains_key("new"), is_written);
    }
}

/// Guards against an upstream that stays unused although it has registered anew since the
/// restore: after a restart, or with a later write.
#[test]
fn later_registration_counts() {
    for (born, seq, counts) in [(8, 1, true), (7, 4, true), (7, 3, false), (6, 9, false)] {
        let mut view = view();
        view.store_restored(NOW);
        let listing = [("servers/gone", 9, Some(registration("ready", born, seq)))];
        view.apply(NOW, BOUND, delta(2, true, 9, &listing), Millis(2_000));
        assert_eq!(view.members.contains_key("gone"), counts, "{born} {seq}");
    }
}

/// Guards against a process that has not seen the restore and passes on what was before it,
/// with greater revisions; and against changes of a later era without what they follow.
#[test]
fn eras_do_not_mix() {
    let mut view = view();
    restore(&mut view);
    let position = view.replica.position();
    let stale = [("servers/gone", 30, Some(registration("ready", 9, 1)))];
    for changes in [
        delta(1, false, 30, &stale),
        delta(1, true, 30, &stale),
        delta(3, false, 30, &stale),
    ] {
        assert!(view.apply(NOW, BOUND, changes, NO_GRACE).is_empty());
        assert_eq!(view.replica.position(), position);
    }
    let earlier = Position {
        era: 1,
        revision: 900,
    };
    assert!(position > earlier);
}

/// Guards against changes that a peer of the former era gets as if it were complete at the
/// same revision of the present one.
#[test]
fn peers_of_an_earlier_era_get_everything() {
    let mut source = Replica::default();
    source.apply(copy(2));
    let mut peer = Replica::default();
    peer.apply(delta(1, true, 8, &[("op/config", 7, Some(config(9)))]));
    let changes = source.changes_after(peer.position());
    assert!(changes.full);
    let doc = DeltaDoc::new(changes, Millis(0));
    peer.apply(doc.into_delta());
    assert_eq!(peer.position(), source.position());
    assert!(peer.docs().eq(source.docs()));
}
