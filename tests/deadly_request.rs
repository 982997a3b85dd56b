//! One request that crashes each upstream that runs it, and comes again and again.

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
use support::prepared::Crash;
use support::prepared::Entry;
use support::prepared::Runner;
use support::prepared::Store;

/// Word in the path of requests that crash runners.
const DEADLY: &str = "deadly";

/// Times that the request comes; its caller repeats it once at another entry.
const ROUNDS: usize = 8;

/// Time between two of them, in which the runners start again.
const GAP: Duration = Duration::from_millis(1_200);

/// Time after the third crash in which entries learn of it.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Requests that may reach runners later than that.
const MAX_LATER: usize = 3;

/// Starts two entries before three runners that crash on the request, and sends it in rounds
/// with sound requests beside it. Then it must be refused, and sound ones served.
fn play(net: u8, method: &str, path: &str, crash: Crash) {
    let address = |last: u8| Ipv4Addr::new(127, 0, net, last);
    let (store, store_addr) = Store::start(address(1));
    store.put("op/config", &prepared::config(3));
    let runners: Vec<Runner> = (1..=3)
        .map(|n| {
            let (runner, addr) = Runner::start_crashing(address(n), DEADLY, crash);
            store.put(&format!("servers/i-{n}"), &prepared::registered(addr));
            runner
        })
        .collect();
    let seeds: Vec<SocketAddr> = (1..=2)
        .map(|n| SocketAddr::from((address(n), 18_000)))
        .collect();
    let entries: Vec<Entry> = (1..=2)
        .map(|n| Entry::start_with(address(n), &seeds, store_addr, ""))
        .collect();
    entries.iter().for_each(Entry::until_ready);
    let send = |entry: usize, method: &str, path: &str, id: &str| {
        let answer = prepared::send(
            entries[entry].callers,
            &prepared::request(method, path, id, ""),
        );
        answer.map_or(0, |m| m.status())
    };
    for round in 0..ROUNDS {
        send(round % 2, method, path, &format!("a{round}"));
        send((round + 1) % 2, method, path, &format!("b{round}"));
        let until = Instant::now() + GAP;
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            send(
                number % 2,
                "GET",
                "/safe/sound",
                &format!("c{round}x{number}"),
            );
            thread::sleep(Duration::from_millis(30));
        }
    }
    let mut arrived: Vec<Instant> = Vec::new();
    for runner in &runners {
        let requests = runner.requests();
        let times = runner.arrived_at();
        let deadly = requests.iter().zip(times);
        let deadly = deadly.filter(|(m, _)| m.line.contains(DEADLY));
        arrived.extend(deadly.map(|(_, at)| at));
    }
    arrived.sort();
    let third = arrived[2];
    let late = arrived.iter().filter(|at| **at > third + CONTACT_TIME);
    let late = late.count();
    assert!(
        late <= MAX_LATER,
        "{late} of {} requests that crash runners reached them late",
        arrived.len()
    );
    for entry in 0..2 {
        assert_eq!(send(entry, method, path, "d"), 503, "it has not run");
        assert_eq!(send(entry, "GET", "/safe/sound", "e"), 200);
    }
}

/// Guards against a request that is never blocked, as runners crash on it before they have sent
/// anything.
#[test]
fn request_without_head_stops() {
    play(45, "GET", "/safe/deadly", Crash::AtOnce);
}

/// Guards against a stream that is never blocked, as runners crash on it only after they have
/// sent an event.
#[test]
fn stream_lost_after_an_event_stops() {
    play(46, "POST", "/stream/deadly", Crash::AfterEvent(20));
}

/// Guards against the same where the runner goes on for longer than it takes to notice that
/// others have ended.
#[test]
fn stream_lost_late_stops() {
    play(47, "POST", "/stream/deadly", Crash::AfterEvent(300));
}
