//! How long a replaced version is used by an entry that heard late of the new one.

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

/// Bound of the test's settings: time from the naming of a version after which
/// no request may begin on an older one.
const BOUND: Duration = Duration::from_millis(4_000);

/// Time for which entries stand still.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Time that a request waits at its runner, in milliseconds.
const QUEUE_MS: u64 = 650;

fn config() -> serde_json::Value {
    let mut config = prepared::config(3);
    config["services"][0]["engine"] = json!({"slots": 16, "stride": 5, "step_ms": 8.87,
        "per_seq_ms": 0.04, "read_per_s": 19100, "usual": {"prompt": 900, "answer": 95},
        "layers": 16, "chunks": 48, "chunk_bytes": 49152,
        "models": [{"name": "m", "warm_s": 0.3}]});
    config
}

/// The status of an answer to a stream request for the model.
fn stream(callers: SocketAddr, id: &str) -> u16 {
    let text = prepared::request("POST", "/stream/1", id, "b");
    let text = text.replacen("\r\n", "\r\nX-Model: m\r\nX-Token-Count: 100,50\r\n", 1);
    prepared::send(callers, &text).map_or(0, |m| m.status())
}

/// Names a version while some entries of a zone stand still, for `silence` or
/// for good; the first two read the store, and the third takes requests. Gives
/// when the last of these began on the version before.
fn last_begin(net: u8, still: &[usize], silence: Option<Duration>) -> Option<Duration> {
    let address = |last: u8| Ipv4Addr::new(127, 0, net, last);
    let (store, addr) = Store::start(address(1));
    let (runner, at) = Runner::start(address(1));
    let mut registered = prepared::registered(at);
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
    // The third entry follows the first two once its own read has ended.
    thread::sleep(Duration::from_millis(3_000));
    let late = &entries[2];
    runner.will((0..500).map(|_| Act::Events(1, 1)));
    assert_eq!(stream(late.callers, "before"), 200);
    let signal = |name: &str| still.iter().for_each(|at| entries[*at].signal(name));
    signal("-STOP");
    store.put("op/version/m", &json!({"model": "m", "version": 2}));
    let named = Instant::now();
    let mut calls = Vec::new();
    let (mut is_slow, mut is_still) = (false, true);
    while named.elapsed() < BOUND + BOUND / 4 {
        if is_still && silence.is_some_and(|silence| named.elapsed() > silence) {
            is_still = false;
            signal("-CONT");
        }
        if !is_slow && named.elapsed() > BOUND * 4 / 5 {
            // From here on, requests wait at the runner until after the bound.
            is_slow = true;
            runner.clear();
            runner.will((0..500).map(|_| Act::Queued(QUEUE_MS)));
        }
        let (callers, id) = (late.callers, format!("r{}", calls.len()));
        calls.push(thread::spawn(move || stream(callers, &id)));
        thread::sleep(Duration::from_millis(60));
    }
    let answered = calls.into_iter().filter_map(|call| call.join().ok());
    assert!(answered.filter(|status| *status == 200).count() > 5);
    signal("-CONT");
    runner.began().into_iter().max().map(|at| at - named)
}

/// Guards against a bound that is counted from the hearing: the readers of the
/// zone fall silent as the version is named, so that the entry that takes over
/// hears of it late, and from requests that wait at their runner by then.
#[test]
fn late_hearing_does_not_prolong_a_version() {
    let last = last_begin(8, &[0, 1], None);
    assert!(
        last.is_none_or(|last| last < BOUND),
        "began on version 1 {last:?} after the naming of 2"
    );
}

/// Guards against readers that go on after a while, take the version for a new
/// one, and tell the others a later date.
#[test]
fn thawed_readers_do_not_prolong_a_version() {
    let last = last_begin(10, &[0, 1], Some(SILENCE));
    assert!(
        last.is_none_or(|last| last < BOUND),
        "began on version 1 {last:?} after the naming of 2"
    );
}

/// Guards against an entry that stood still as the version was named, and
/// counts the bound from when it went on.
#[test]
fn frozen_entry_does_not_prolong_a_version() {
    let last = last_begin(11, &[2], Some(SILENCE));
    assert!(
        last.is_none_or(|last| last < BOUND),
        "began on version 1 {last:?} after the naming of 2"
    );
}
