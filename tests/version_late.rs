//! How long an entry that learns late of a new version goes on using the older one.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use support::prepared;
use support::prepared::Act;
use support::prepared::Entry;
use support::prepared::Runner;
use support::prepared::Store;

/// Bound in the settings of the test: time after the naming of a version from which no
/// request may begin on an older one.
const BOUND: Duration = Duration::from_millis(4_000);

/// Time for which entries are paused.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Time for which a request waits at its runner, in milliseconds.
const QUEUE_MS: u64 = 650;

/// Configuration with one model, whose engine streams.
fn config() -> serde_json::Value {
    let mut config = prepared::config(3);
    config["services"][0]["engine"] = json!({"slots": 16, "stride": 5, "step_ms": 8.87,
        "per_seq_ms": 0.04, "read_per_s": 19100, "usual": {"prompt": 900, "answer": 95},
        "layers": 16, "chunks": 48, "chunk_bytes": 49152,
        "models": [{"name": "m", "warm_s": 0.3}]});
    config
}

/// Requests a stream of the model and returns the status of the answer, or 0.
fn request_stream(callers: SocketAddr, id: &str) -> u16 {
    let text = prepared::request("POST", "/stream/1", id, "b");
    let text = text.replacen("\r\n", "\r\nX-Model: m\r\nX-Token-Count: 100,50\r\n", 1);
    prepared::send(callers, &text).map_or(0, |m| m.status())
}

/// Names version 2 while some of the three entries of a zone are paused, for `pause` or to
/// the end. The first two entries read the store, and the third takes requests.
///
/// Returns how long after the naming the last request began on version 1.
fn last_old_begin(net: u8, paused: &[usize], pause: Option<Duration>) -> Option<Duration> {
    let address = |last: u8| Ipv4Addr::new(127, 0, net, last);
    let (store, addr) = Store::start(address(1));
    let (runner, runner_addr) = Runner::start(address(1));
    let mut registered = prepared::registered(runner_addr);
    registered["models"] = json!([{"name": "m", "version": 1}]);
    registered["layers"] = json!({"from": 0, "to": 16, "version": 1});
    store.put("op/config", &config());
    store.put("servers/i-1", &registered);
    let seeds: Vec<SocketAddr> = (1..=3)
        .map(|n| SocketAddr::from((address(n), 18_000)))
        .collect();
    let extra = format!("bounds.version_ms={}\n", BOUND.as_millis());
    let entries: Vec<Entry> = (1..=3)
        .map(|n| Entry::start_with(address(n), &seeds, addr, &extra))
        .collect();
    entries.iter().for_each(Entry::until_ready);
    // The third entry gets changes from the first two once its own read has ended.
    thread::sleep(Duration::from_millis(3_000));
    let last_entry = &entries[2];
    runner.queue_acts((0..500).map(|_| Act::Events(1, 1)));
    assert_eq!(request_stream(last_entry.callers, "before"), 200);
    let signal = |name: &str| paused.iter().for_each(|at| entries[*at].signal(name));
    signal("-STOP");
    store.put("op/version/m", &json!({"model": "m", "version": 2}));
    let named_at = Instant::now();
    let mut calls = Vec::new();
    let (mut is_slow, mut is_paused) = (false, true);
    while named_at.elapsed() < BOUND + BOUND / 4 {
        if is_paused && pause.is_some_and(|pause| named_at.elapsed() > pause) {
            is_paused = false;
            signal("-CONT");
        }
        if !is_slow && named_at.elapsed() > BOUND * 4 / 5 {
            // From now on, requests wait at the runner until after the bound.
            is_slow = true;
            runner.clear_acts();
            runner.queue_acts((0..500).map(|_| Act::Queued(QUEUE_MS)));
        }
        let (callers, id) = (last_entry.callers, format!("r{}", calls.len()));
        calls.push(thread::spawn(move || request_stream(callers, &id)));
        thread::sleep(Duration::from_millis(60));
    }
    let answered = calls.into_iter().filter_map(|call| call.join().ok());
    assert!(answered.filter(|status| *status == 200).count() > 5);
    signal("-CONT");
    runner
        .dequeued_at()
        .into_iter()
        .max()
        .map(|at| at - named_at)
}

/// Guards against a bound that counts from when an entry learns of a version: the entries
/// that read the store stop when the version is named, so that the entry that takes over
/// learns of it late. Also guards against requests that wait at their runner by then.
#[test]
fn late_hearing_does_not_prolong_a_version() {
    let last = last_old_begin(8, &[0, 1], None);
    assert!(
        last.is_none_or(|last| last < BOUND),
        "began on version 1 {last:?} after the naming of 2"
    );
}

/// Guards against entries that read the store, go on after a pause, take the version for
/// one that was named just now and tell the others so.
#[test]
fn thawed_readers_do_not_prolong_a_version() {
    let last = last_old_begin(10, &[0, 1], Some(PAUSE));
    assert!(
        last.is_none_or(|last| last < BOUND),
        "began on version 1 {last:?} after the naming of 2"
    );
}

/// Guards against an entry that was paused when the version was named and counts the
/// bound from when it went on.
#[test]
fn frozen_entry_does_not_prolong_a_version() {
    let last = last_old_begin(11, &[2], Some(PAUSE));
    assert!(
        last.is_none_or(|last| last < BOUND),
        "began on version 1 {last:?} after the naming of 2"
    );
}
