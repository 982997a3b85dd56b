//! Which entries of a zone read the store.

use std::net::IpAddr;

use chervilquay::member::StoreWatch;
use chervilquay::member::peers::Peer;
use chervilquay::member::peers::Peers;
use chervilquay::member::peers::Role;
use chervilquay::member::store_watch::should_read;
use chervilquay::time::Millis;

fn name(index: usize) -> String {
    format!("e{index:02}")
}

fn peer(index: usize, zone: &str, is_reader: bool, last_heard: u64) -> Peer {
    Peer {
        name: name(index),
        role: Role::Entry,
        ip: IpAddr::from([10, 0, 0, index as u8]),
        zone: zone.to_string(),
        started: 1,
        revision: 1,
        is_reader,
        last_heard: Millis(last_heard),
    }
}

/// Entries of one zone that read after some rounds, of those that live.
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

/// Guards against store calls that grow with the entries, and against a zone
/// without a reader when the present ones are lost.
#[test]
fn two_entries_of_a_zone_read() {
    let all: Vec<usize> = (0..15).collect();
    assert_eq!(readers(&all, &all), [0, 1]);
    assert_eq!(readers(&all, &[]), [0, 1]);
    assert_eq!(readers(&all[2..], &all[..2]), [2, 3]);
    assert_eq!(readers(&all[14..], &[]), [14]);
}

/// Guards against an entry that trusts readers of another zone, silent ones, or
/// ones that have lost the store.
#[test]
fn unsound_readers_do_not_count() {
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

/// Guards against a reader that sends its first call to a store that has just
/// returned from silence too early, waits for its answer for seconds, and has
/// no configuration in force by then. A call is lost when the store is silent
/// at any time of it. Calls of a process in touch must be answered again when
/// the store has been sound for three seconds.
#[test]
fn return_from_silence_is_seen() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let silent = rng.u64(5_000..9_000);
        let back = silent + rng.u64(50..9_000);
        // Some stores answer sixty times as slowly as usual.
        let delay = if rng.bool() { 4 } else { 240 };
        let mut watch = StoreWatch::default();
        let mut now = 0;
        let seen = loop {
            now += watch.next_call_in(Millis(now)).0;
            let call = watch.next_call();
            let end = now + call.wait.0 + delay;
            let is_lost = now < back && end > silent;
            if is_lost || end > now + call.limit.0 {
                now += call.limit.0;
                watch.on_failure();
                now += rng.u64(watch.backoff().0 / 2..=watch.backoff().0);
            } else {
                now = end;
                watch.on_answer(Millis(now));
                if now > back {
                    break now;
                }
            }
        };
        assert!(seen <= back + 3_000, "seed {seed}: {} ms late", seen - back);
    }
}

/// Guards against one call for each of the changes that come in a burst: a
/// release of nine runners makes some fifty changes in two seconds.
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
    watch.on_failure();
    assert_eq!(watch.next_call_in(Millis(now)), Millis(0));
}

/// Guards against a reader whose connection fell silent: peers have news, and
/// it claims to be a reader for as long as its call waits.
#[test]
fn overtaken_reading_is_not_sound() {
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
    watch.on_failure();
    assert!(!watch.is_reliable(Millis(7_500)));
}

/// Guards against an entry that hears sound readers, is cut off from fetching
/// their news, and neither gets it nor reads the store.
#[test]
fn stuck_follower_reads() {
    let mut watch = StoreWatch::default();
    assert!(!watch.is_stuck(Millis(5_000)));
    watch.on_behind(Millis(5_000));
    watch.on_behind(Millis(5_600));
    assert!(!watch.is_stuck(Millis(5_650)));
    assert!(watch.is_stuck(Millis(5_700)));
    watch.on_progress();
    assert!(!watch.is_stuck(Millis(5_700)));
}
