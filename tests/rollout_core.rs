//! Manifests, chunk store, budgets and the source side, one at a time.

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

fn whole(text: &'static str) -> Blob {
    Blob::new(Bytes::from_static(text.as_bytes()))
}

// Guards against a manifest that is taken although it is corrupt or ambiguous.
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

// Guards against staging that grows beyond its bound or evicts a wanted chunk.
#[test]
fn staging_is_bounded() {
    let mut store = ChunkStore::new(6);
    assert!(store.insert(whole("aa")));
    assert!(store.insert(whole("bb")));
    assert!(!store.insert(whole("aa")), "chunk is held already");
    let wanted = parse(&manifest::text(&[chunk("bb"), chunk("cccc")])).unwrap();
    store.pin(&wanted).unwrap();
    assert!(store.reserve(4), "the chunk that is not wanted makes room");
    assert_eq!(store.get(Digest::of("aa")), None);
    assert!(!store.reserve(1), "wanted chunks stay");
    store.unreserve(4);
    assert!(store.insert(whole("cccc")));
    assert!(store.holds(&wanted));
    let large = parse(&manifest::text(&[chunk("ddddddd")])).unwrap();
    assert_eq!(store.pin(&large).unwrap_err().code, Code::StagingFull);
    assert!(store.holds(&wanted), "a refused version evicts nothing");
}

// Guards against rollout traffic that does not yield to live requests.
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

// Guards against a source that answers out of turn, forgets a wait or sends
// the same chunk to everyone.
#[test]
fn source_spreads_chunks() {
    let mut store = ChunkStore::new(100);
    store.insert(whole("a"));
    store.insert(whole("b"));
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
