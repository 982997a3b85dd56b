//! A version of weights that is named while all entries, which read the store, are lost.

use bytes::Bytes;
use chervilquay::direct::cluster::ClusterView;
use chervilquay::direct::wire::NamedDoc;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::time::Millis;

const BOUND: Millis = Millis(8_000);

/// Returns the naming of a version in the store.
fn naming(revision: u64, version: u64) -> Delta {
    Delta {
        era: 0,
        full: false,
        upto: revision,
        docs: vec![Doc {
            key: "op/version/m".into(),
            revision,
            value: Some(Bytes::from(format!(
                r#"{{"model":"m","version":{version}}}"#
            ))),
        }],
    }
}

/// Tells `to` all that `from` reports of the versions.
fn tell(from: &ClusterView, to: &mut ClusterView, now: Millis) {
    let named = from.versions.named_since(now.since(BOUND));
    let named: Vec<_> = named
        .map(|n| NamedDoc::new(now, &n).to_named(now.plus(Millis(5))))
        .collect();
    to.merge_versions(&named);
}

/// Guards against old weights that answer for too long: entries that start again assume when
/// the version was named, and agents, which hear of it only from them, have a later date.
#[test]
fn version_named_without_readers_expires_in_time() {
    let acknowledged = Millis(100_100);
    let back = Millis(104_000);
    let mut agents = vec![ClusterView::default(); 3];
    for (n, agent) in agents.iter_mut().enumerate() {
        agent.apply(Millis(50_000), BOUND, naming(5, 1), Millis(0));
        // The last datagram of a reader, which had nothing newer.
        agent.watch.on_complete(Millis(99_900 - 100 * n as u64));
    }
    let mut entry = ClusterView::default();
    entry.apply(back, BOUND, naming(6, 2), Millis(0));
    for agent in &mut agents {
        agent.apply(back.plus(Millis(60)), BOUND, naming(6, 2), Millis(0));
        tell(&entry, agent, back.plus(Millis(70)));
    }
    for step in 1..20 {
        let now = back.plus(Millis(step * 250));
        for agent in &mut agents {
            tell(agent, &mut entry, now);
            tell(&entry, agent, now);
        }
    }
    for view in agents.iter().chain([&entry]) {
        let expiry = view.versions.expires_at(BOUND, "m", 1).expect("a time");
        assert!(expiry <= acknowledged.plus(BOUND), "{expiry:?}");
        // The previous version is not given up as soon as the entries are back.
        assert!(expiry >= back.plus(Millis(3_000)), "{expiry:?}");
    }
}

/// Guards against requests that are refused as the previous version is given up too early: an
/// outage of the store, in which readers live on, dates a version that is named after it.
#[test]
fn version_named_after_outage_keeps_its_time() {
    let mut reader = ClusterView::default();
    let mut agent = ClusterView::default();
    for view in [&mut reader, &mut agent] {
        view.apply(Millis(50_000), BOUND, naming(5, 1), Millis(0));
        view.watch.on_complete(Millis(100_000));
    }
    let last_failed = Millis(106_700);
    for now in (100_000..108_000).step_by(100) {
        reader.watch.on_tick(Millis(now));
        agent.watch.on_tick(Millis(now));
        if now >= 102_400 && now % 800 == 0 {
            reader.store_failed(Millis(now), last_failed);
        }
    }
    let (read, heard) = (Millis(108_000), Millis(108_050));
    reader.apply(read, BOUND, naming(6, 2), Millis(0));
    agent.apply(heard, BOUND, naming(6, 2), Millis(0));
    tell(&reader, &mut agent, heard);
    tell(&agent, &mut reader, heard);
    for view in [&reader, &agent] {
        let expiry = view.versions.expires_at(BOUND, "m", 1).expect("a time");
        assert!(expiry >= last_failed.plus(BOUND), "{expiry:?}");
        assert!(expiry <= heard.plus(BOUND), "{expiry:?}");
    }
}
