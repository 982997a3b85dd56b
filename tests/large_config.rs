//! Changes of a configuration with many routes: transfers that take long, and their size.

mod support;

use std::net::Ipv4Addr;

use support::prepared::Entry;
use support::prepared::Store;
use support::prepared::large_config;
use support::prepared::send;
use support::prepared::until;

/// Routes of the configuration, as many as the operators' largest.
const ROUTES: u64 = 2_300;

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
    until(|| entry.version() == 2);
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
    until(|| entry.version() == 2);
    let text = "GET /feed?after=1&packed=1 HTTP/1.1\r\nHost: x\r\n\r\n";
    let changes = send(entry.internal, text).expect("the changes");
    assert!(changes.body.len() <= MOST, "{} bytes", changes.body.len());
}

/// Guards against a reader that asks again and again for more changes than an answer may hold,
/// and uses the old configuration until the store drops its history.
#[test]
fn changes_beyond_an_answer_are_listed() {
    let ip = Ipv4Addr::new(127, 0, 0, 103);
    let (store, addr) = Store::start(ip);
    store.keep_history();
    store.put("op/config", &large_config(1, ROUTES, 5_000));
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    // The entry stands still while the changes are made.
    entry.signal("-STOP");
    for version in 2..=40 {
        store.put("op/config", &large_config(version, ROUTES, 5_000));
    }
    entry.signal("-CONT");
    until(|| entry.version() == 40);
}
