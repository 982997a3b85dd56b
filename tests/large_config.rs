//! Changes of a configuration with many routes: transfers that take long, and their size.

#![allow(
    clippy::allow_attributes,
    clippy::unwrap_used,
    dead_code,
    reason = "a failed step ends the test; other tests use more of the stand-ins"
)]

#[path = "support/prepared.rs"]
mod prepared;

use std::net::Ipv4Addr;

use prepared::Entry;
use prepared::Store;
use prepared::large_config;
use prepared::send;
use prepared::until;

/// Routes of the configuration, as many as the operators' largest.
const ROUTES: u64 = 2_300;

/// Returns the version of the configuration in force.
fn version(entry: &Entry) -> u64 {
    let text = "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n";
    let dump = send(entry.internal, text).expect("the state");
    let state: serde_json::Value = serde_json::from_slice(&dump.body).unwrap();
    state["config"].as_u64().unwrap()
}

/// Guards against giving up an answer of the store that takes long, but arrives all the time,
/// and asking for all of it again without end.
#[test]
fn slow_answer_of_the_store_is_read() {
    let ip = Ipv4Addr::new(127, 0, 0, 101);
    let (store, addr) = Store::start(ip);
    store.put("op/config", &large_config(1, ROUTES, 5_000));
    store.slow_down(15_000);
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    store.put("op/config", &large_config(2, ROUTES, 5_000));
    until(|| version(&entry) == 2);
}

/// Guards against sending the whole configuration to each process for each change.
#[test]
fn small_change_is_small_on_the_wire() {
    /// Most bytes for a change of one part in two thousand, which must fit in a datagram.
    const MOST: usize = 1_000;
    let ip = Ipv4Addr::new(127, 0, 0, 102);
    let (store, addr) = Store::start(ip);
    let mut first = large_config(1, ROUTES, 5_000);
    store.put("op/config", &first);
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    first["version"] = 2.into();
    first["routes"][1_000]["timeout_ms"] = 4_000.into();
    store.put("op/config", &first);
    until(|| version(&entry) == 2);
    let text = "GET /feed?after=1&packed=1 HTTP/1.1\r\nHost: x\r\n\r\n";
    let changes = send(entry.internal, text).expect("the changes");
    assert!(changes.body.len() <= MOST, "{} bytes", changes.body.len());
}
