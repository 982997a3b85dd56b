//! Which entries of a zone read the store, and when their reading is reliable.

use std::net::IpAddr;

use chervilquay::member::StoreWatch;
use chervilquay::member::peers::Peer;
use chervilquay::member::peers::Peers;
use chervilquay::member::peers::Role;
use chervilquay::member::store_watch::read_reason;
use chervilquay::member::store_watch::should_read;
use chervilquay::table::replica::Position;
use chervilquay::time::Millis;

fn name(index: usize) -> String {
    format!("e{index:02}")
}

/// Returns the position at a revision of the first era.
fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn peer(index: usize, zone: &str, is_reader: bool, last_heard: u64) -> Peer {
    Peer {
        name: name(index),
        role: Role::Entry,
        ip: IpAddr::from([10, 0, 0, index as u8]),
        zone: zone.to_string(),
        started: 1,
        position: at(1),
        is_reader,
        last_heard: Millis(last_heard),
        interval: Millis(250),
    }
}

/// Returns which of the `live` entries of one zone read the store after ten
/// rounds of datagrams, when those in `start` read it before.
fn readers(live: &[usize], start: &[usize]) -> Vec<usize> {
    let mut reading: Vec<usize> = start.to_vec();
    for round in 1..=10 {
        let now = Millis(10_000 + round * 250);
        let next = live.iter().copied().filter(|own| {
            let mut peers = Peers::default();
            for other in live.iter().filter(|other| *other != own) {
                peers.update(peer(*other, "z", reading.contains(other), now.0));
            }
            should_read(now, &name(*own), "z", &peers)
        });
        reading = next.collect();
    }
    reading
}

/// Guards against store calls that grow with the number of entries, and against
/// a zone without a reader when the present readers are lost.
#[test]
fn two_entries_of_a_zone_read() {
    let all: Vec<usize> = (0..15).collect();
    assert_eq!(readers(&all, &all), [0, 1]);
    assert_eq!(readers(&all, &[]), [0, 1]);
    assert_eq!(readers(&all[2..], &all[..2]), [2, 3]);
    assert_eq!(readers(&all[14..], &[]), [14]);
}

/// Guards against an entry that relies on readers of another zone, on silent
/// ones, or on ones that have lost the store.
#[test]
fn unreliable_readers_do_not_count() {
    let now = Millis(20_000);
    let mut peers = Peers::default();
    peers.update(peer(1, "other", true, 20_000));
    peers.update(peer(2, "z", true, 18_900));
    peers.update(peer(3, "z", false, 20_000));
    peers.update(peer(4, "z", true, 20_000));
    assert!(should_read(now, &name(9), "z", &peers));
    peers.update(peer(5, "z", true, 20_000));
    assert!(!should_read(now, &name(9), "z", &peers));
}

/// Guards against a reader that is late to notice the end of an outage: it sends
/// a call just before the store answers again, waits for its answer for seconds,
/// and has no current configuration in force. A call is lost when the store is
/// silent at any time of it. The store must have answered a call of the reader
/// within three seconds of the end of the outage.
#[test]
fn end_of_outage_is_noticed() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let silent = rng.u64(5_000..9_000);
        let back = silent + rng.u64(50..9_000);
        // In half of the runs the store is sixty times slower than usual.
        let delay = if rng.bool() { 4 } else { 240 };
        let mut watch = StoreWatch::default();
        let mut now = 0;
        let noticed = loop {
            now += watch.next_call_in(Millis(now)).0;
            let call = watch.next_call();
            let end = now + call.wait.0 + delay;
            let is_lost = now < back && end > silent;
            if is_lost || end > now + call.timeout.0 {
                let asked = Millis(now);
                now += call.timeout.0;
                watch.on_failure(Millis(now), asked);
                now += rng.u64(watch.backoff().0 / 2..=watch.backoff().0);
            } else {
                now = end;
                watch.on_answer(Millis(now));
                if now > back {
                    break now;
                }
            }
        };
        assert!(
            noticed <= back + 3_000,
            "seed {seed}: {} ms late",
            noticed - back
        );
    }
}

/// Guards against one call for each change of a burst: a release of nine runners
/// makes some fifty changes in two seconds.
#[test]
fn bursts_are_read_together() {
    let mut watch = StoreWatch::default();
    let changes: Vec<u64> = (0..50).map(|number| 1_000 + 40 * number).collect();
    let (mut calls, mut now, mut read) = (0, 0, 0);
    while read < changes.len() {
        now += watch.next_call_in(Millis(now)).0;
        now = now.max(changes[read]);
        read = changes.iter().filter(|at| **at <= now).count();
        watch.on_answer(Millis(now));
        calls += 1;
    }
    assert!(calls <= 21, "{calls}");
    assert!(now <= changes[49] + 100, "late by {}", now - changes[49]);
    watch.on_failure(Millis(now), Millis(now));
    assert_eq!(watch.next_call_in(Millis(now)), Millis(0));
}

/// Guards against a reader whose connection to the store delivers nothing any
/// more: its peers have changes, and it still claims to be a reader for as long
/// as its call waits.
#[test]
fn reading_behind_peers_is_not_reliable() {
    let mut watch = StoreWatch::default();
    assert!(!watch.is_reliable(Millis(1)));
    watch.on_answer(Millis(1_000));
    assert!(watch.is_reliable(Millis(3_400)));
    assert!(!watch.is_reliable(Millis(4_200)));
    watch.on_answer(Millis(6_000));
    watch.on_peer_news(Millis(6_100));
    watch.on_peer_news(Millis(6_600));
    assert!(watch.is_reliable(Millis(6_600)));
    assert!(!watch.is_reliable(Millis(6_800)));
    watch.on_answer(Millis(6_900));
    assert!(watch.is_reliable(Millis(7_500)));
    watch.on_failure(Millis(7_500), Millis(7_000));
    assert!(!watch.is_reliable(Millis(7_500)));
}

/// Guards against an entry that receives the datagrams of reliable readers, can
/// not fetch their changes, and does not read the store itself either.
#[test]
fn follower_that_gets_no_changes_reads() {
    let mut watch = StoreWatch::default();
    assert!(!watch.is_stuck(Millis(5_000)));
    watch.on_behind(Millis(5_000));
    watch.on_behind(Millis(5_600));
    assert!(!watch.is_stuck(Millis(5_650)));
    assert!(watch.is_stuck(Millis(5_700)));
    watch.on_progress();
    assert!(!watch.is_stuck(Millis(5_700)));
}

/// Returns how many of `count` entries of one zone read the store at `now`. All are complete
/// at `revision`, no entry is a reliable reader, and entries of other zones have told them
/// at `behind` that there is more.
fn reading_when_behind(count: usize, revision: u64, behind: Millis, now: Millis) -> usize {
    let reads = |own: &usize| {
        let mut peers = Peers::default();
        for other in (0..count).filter(|other| other != own) {
            let state = Peer {
                position: at(revision),
                ..peer(other, "z", false, now.0)
            };
            peers.update(state);
        }
        peers.update(Peer {
            position: at(9),
            ..peer(99, "other", true, now.0)
        });
        let mut watch = StoreWatch::default();
        watch.on_behind(behind);
        read_reason(now, &name(*own), "z", &watch, at(revision), &peers).is_some()
    };
    (0..count).filter(reads).count()
}

/// Guards against a zone that is late as a whole and reads with all of its entries: their
/// answers share one link, and none arrives in time.
#[test]
fn late_zone_reads_with_few() {
    let behind = Millis(20_000);
    for late in [0, 700, 1_000, 2_000, 3_000] {
        let now = behind.plus(Millis(late));
        let reading = reading_when_behind(20, 5, behind, now);
        assert!((1..=4).contains(&reading), "{reading} read after {late} ms");
    }
}

/// Guards against entries that start together and all list the whole store.
#[test]
fn starting_zone_reads_with_few() {
    let start = Millis(20_000);
    for late in [300, 1_000, 2_000, 3_000] {
        let now = start.plus(Millis(late));
        let reading = reading_when_behind(20, 0, start, now);
        assert!((1..=4).contains(&reading), "{reading} read after {late} ms");
    }
}

/// Guards against a process that acts by an old view after a long standstill, also before its
/// first tick, and against one that is held up by short pauses or for longer than it needs.
#[test]
fn long_standstill_needs_catching_up() {
    let mut watch = StoreWatch::default();
    watch.on_complete(Millis(9_000));
    for now in [10_000, 10_200, 12_200] {
        watch.on_tick(Millis(now));
        assert_eq!(watch.catch_up_left(Millis(now + 100)), None);
    }
    assert!(watch.catch_up_left(Millis(14_300)).is_some(), "no tick yet");
    watch.on_tick(Millis(14_300));
    // A short standstill follows.
    watch.on_tick(Millis(14_900));
    assert_eq!(watch.catch_up_left(Millis(15_000)), Some(Millis(300)));
    watch.on_tick(Millis(15_300));
    assert_eq!(watch.catch_up_left(Millis(15_300)), None);
}

/// Guards against a process that acts at its start by an old copy from a peer that is cut off
/// from the store, and against one that never acts when nobody reaches the store.
#[test]
fn start_is_confirmed_first() {
    let mut watch = StoreWatch::default();
    watch.on_tick(Millis(10_000));
    watch.on_progress();
    assert_eq!(watch.catch_up_left(Millis(10_500)), Some(Millis(2_500)));
    let mut confirmed = watch;
    confirmed.on_complete(Millis(10_600));
    confirmed.on_tick(Millis(10_600));
    assert_eq!(confirmed.catch_up_left(Millis(10_600)), None);
    watch.on_tick(Millis(11_500));
    watch.on_tick(Millis(13_000));
    assert_eq!(watch.catch_up_left(Millis(13_000)), None);
}
