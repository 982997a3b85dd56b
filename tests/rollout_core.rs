//! Tests of manifests, the chunk store, token buckets and uploads, each on its own.

use bytes::Bytes;
use chervilquay::prelude::*;
use chervilquay::rollout::Blob;
use chervilquay::rollout::ChunkStore;
use chervilquay::rollout::Digest;
use chervilquay::rollout::Manifest;
use chervilquay::rollout::bucket::TokenBucket;
use chervilquay::rollout::manifest;
use chervilquay::rollout::manifest::Chunk;
use chervilquay::rollout::upload::Answer;
use chervilquay::rollout::upload::Uploads;

fn chunk(text: &str) -> Chunk {
    Chunk {
        digest: Digest::of(text),
        length: text.len() as u64,
    }
}

fn parse(text: &str) -> Result<Manifest> {
    Manifest::parse(text.as_bytes(), Digest::of(text))
}

fn blob(text: &'static str) -> Blob {
    Blob::new(Bytes::from_static(text.as_bytes()))
}

// Guards against a corrupt or ambiguous manifest that is accepted.
#[test]
fn refuses_bad_manifests() {
    let good = manifest::text(&[chunk("a"), chunk("bb"), chunk("a")]);
    let parsed = parse(&good).unwrap();
    assert_eq!(parsed.chunks(), [chunk("a"), chunk("bb")]);
    assert_eq!(parsed.total(), 3);
    let mut other = chunk("a");
    other.length = 2;
    let bad = [
        manifest::text(&[]),
        manifest::text(&[chunk("")]),
        manifest::text(&[chunk("a"), other]),
        good.replace("sha256:", "sha512:"),
        good.replace("\"schemaVersion\":2", "\"schemaVersion\":1"),
        good.replace("\"size\":1", "\"size\":-1"),
        good[1..].to_string(),
    ];
    for text in bad {
        let error = parse(&text).unwrap_err();
        assert_eq!(error.code, Code::ManifestCorrupt, "{text}");
    }
    let error = Manifest::parse(good.as_bytes(), Digest::of("x")).unwrap_err();
    assert_eq!(error.code, Code::ManifestCorrupt);
}

// Guards against a store that grows beyond its capacity or evicts a wanted chunk.
#[test]
fn staging_is_bounded() {
    let mut store = ChunkStore::new(6);
    assert!(store.insert(blob("aa")));
    assert!(store.insert(blob("bb")));
    assert!(!store.insert(blob("aa")), "chunk is held already");
    let wanted = parse(&manifest::text(&[chunk("bb"), chunk("cccc")])).unwrap();
    store.pin(&wanted).unwrap();
    assert!(store.reserve(4), "the chunk that is not wanted makes room");
    assert_eq!(store.get(Digest::of("aa")), None);
    assert!(!store.reserve(1), "wanted chunks stay");
    store.unreserve(4);
    assert!(store.insert(blob("cccc")));
    assert!(store.holds(&wanted));
    let large = parse(&manifest::text(&[chunk("ddddddd")])).unwrap();
    assert_eq!(store.pin(&large).unwrap_err().code, Code::StagingFull);
    assert!(store.holds(&wanted), "a refused version evicts nothing");
}

// Guards against rollout traffic that takes the rate that live requests need.
#[test]
fn budget_yields() {
    let mut bucket = TokenBucket::new(1_000.0, 100.0);
    assert_eq!(bucket.take(Millis(0), 100), Millis(0));
    assert_eq!(bucket.take(Millis(0), 100), Millis(100));
    assert_eq!(bucket.take(Millis(200), 100), Millis(0));
    bucket.charge_live(Millis(200), 1_000);
    let wait = bucket.take(Millis(200), 100);
    assert!(wait >= Millis(900), "{wait:?}");
}

// Guards against uploads that answer pulls in another order than they came, let a
// pull wait too long or send the same chunk to all.
#[test]
fn source_spreads_chunks() {
    let mut store = ChunkStore::new(100);
    store.insert(blob("a"));
    store.insert(blob("b"));
    let (a, b) = (Digest::of("a"), Digest::of("b"));
    let both = vec![a.prefix(), b.prefix()];
    let mut uploads = Uploads::new(1, 2);
    let mut out = Vec::new();
    let now = Millis(0);
    uploads.add_pull(now, both.clone(), Millis(50), &store, &mut out);
    uploads.add_pull(now, both.clone(), Millis(50), &store, &mut out);
    uploads.add_pull(
        now,
        vec![Digest::of("c").prefix()],
        Millis(50),
        &store,
        &mut out,
    );
    uploads.add_pull(now, both, Millis(50), &store, &mut out);
    assert_eq!(out, [Answer::Send(0, a), Answer::Unavailable(3)]);
    out.clear();
    uploads.finish_send(&store, &mut out);
    assert_eq!(out, [Answer::Send(1, b)]);
    out.clear();
    uploads.finish_send(&store, &mut out);
    uploads.tick(Millis(50), &store, &mut out);
    assert_eq!(out, [Answer::Unavailable(2)]);
}
