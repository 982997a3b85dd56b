//! Upstreams that name in their answers how many requests a second they take.

#![allow(
    clippy::allow_attributes,
    clippy::unwrap_used,
    reason = "a failed step ends the test"
)]

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use support::prepared;
use support::prepared::Act;
use support::prepared::Entry;
use support::prepared::Runner;
use support::prepared::Store;

/// Limit that the upstream names, in requests a second.
const LIMIT: f64 = 2.0;

/// Time from the first answer that names the limit after which it must be kept.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Length of the windows in which requests are counted, in seconds.
const WINDOW_S: f64 = 4.0;

/// Requests that one window may have: one and a half times the limit, and five.
const ALLOWED: f64 = 1.5 * LIMIT * WINDOW_S + 5.0;

/// Time for which callers send.
const RUN_TIME: Duration = Duration::from_millis(8_500);

/// Guards against entries that go on sending to an upstream that has named a limit, or that
/// each send as much as it takes from all of them.
#[test]
fn named_limit_is_kept_by_all_entries() {
    let address = |last: u8| Ipv4Addr::new(127, 0, 42, last);
    let (store, store_addr) = Store::start(address(1));
    let (runner, runner_addr) = Runner::start(address(1));
    store.put("op/config", &prepared::config(3));
    store.put("servers/i-1", &prepared::registered(runner_addr));
    let seeds: Vec<SocketAddr> = (1..=4)
        .map(|n| SocketAddr::from((address(n), 18_000)))
        .collect();
    let entries: Vec<Entry> = (1..=4)
        .map(|n| Entry::start_with(address(n), &seeds, store_addr, ""))
        .collect();
    entries.iter().for_each(Entry::until_ready);
    let named = Act::Respond(200, &[("Server-Limit", "2")], "whole");
    runner.queue_acts((0..2_000).map(|_| named.clone()));
    let start = Instant::now();
    thread::scope(|scope| {
        for (n, entry) in entries.iter().enumerate() {
            let callers = entry.callers;
            scope.spawn(move || {
                let mut sent = 0;
                while start.elapsed() < RUN_TIME {
                    let text = prepared::request("GET", "/safe/1", &format!("r{n}-{sent}"), "");
                    let answer = prepared::send(callers, &text).map_or(0, |m| m.status());
                    assert!([200, 503].contains(&answer), "{answer}");
                    sent += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    let arrived = runner.arrived_at();
    let first = arrived[0];
    let later: Vec<f64> = arrived
        .iter()
        .map(|at| (*at - first).as_secs_f64())
        .filter(|at| *at > CONTACT.as_secs_f64())
        .collect();
    for (n, at) in later.iter().enumerate() {
        let count = later[n..].iter().filter(|t| **t < at + WINDOW_S).count();
        assert!(
            count as f64 <= ALLOWED,
            "{count} requests from {at:.1} s on"
        );
    }
    // The upstream is still used.
    let last = later
        .iter()
        .filter(|t| **t < CONTACT.as_secs_f64() + WINDOW_S)
        .count();
    assert!(last as f64 >= 0.4 * LIMIT * WINDOW_S, "{last} requests");
}
