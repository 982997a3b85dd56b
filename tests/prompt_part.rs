//! Requests that share one part of their prompt, on which upstreams crash.

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

use support::prepared;
use support::prepared::Act;
use support::prepared::Crash;
use support::prepared::Entry;
use support::prepared::Runner;
use support::prepared::Store;

/// Part on which the runner crashes.
const DEADLY: &str = "dead01";

/// Requests with the deadly part that callers send.
const DEADLY_REQUESTS: usize = 16;

/// Crashes after which only a few more such requests may reach runners.
const MAX_CRASHES: usize = 5;

/// Requests that may still reach runners after that.
const MAX_LATER: usize = 3;

/// Requests that each entry has running when the runner crashes.
const RUNNING: usize = 3;

/// Requests a stream with these parts of the prompt and returns the status, or 0, and the
/// body as far as it was received.
fn stream(callers: SocketAddr, id: &str, parts: &str) -> (u16, String) {
    let text = prepared::request("POST", "/stream/1", id, id);
    let text = text.replacen("\r\n", &format!("\r\nX-Prompt-Prefix: {parts}\r\n"), 1);
    prepared::send(callers, &text).map_or((0, String::new()), |m| (m.status(), m.text()))
}

/// Guards against requests that are all different, but share a part of their prompt on
/// which upstreams crash, and crash one upstream after the other through several entries.
#[test]
fn deadly_part_reaches_few_upstreams() {
    let address = |last: u8| Ipv4Addr::new(127, 0, 41, last);
    let (store, store_addr) = Store::start(address(1));
    let (runner, runner_addr) = Runner::start_crashing(address(1), DEADLY, Crash::AfterHead);
    store.put("op/config", &prepared::config(3));
    store.put("servers/i-1", &prepared::registered(runner_addr));
    let seeds: Vec<SocketAddr> = (1..=2)
        .map(|n| SocketAddr::from((address(n), 18_000)))
        .collect();
    let entries: Vec<Entry> = (1..=2)
        .map(|n| Entry::start_with(address(n), &seeds, store_addr, ""))
        .collect();
    entries.iter().for_each(Entry::until_ready);
    let callers: Vec<SocketAddr> = entries.iter().map(|e| e.callers).collect();
    let sound = |entry: usize, id: String| stream(callers[entry], &id, &format!("com0:40,{id}:9"));
    let mut tries = 0;
    let mut until_served = |entry: usize| {
        prepared::until(|| {
            tries += 1;
            runner.queue_acts([Act::Events(1, 1)]);
            let (status, _) = sound(entry, format!("a{entry}{tries}"));
            runner.clear_acts();
            status == 200
        });
    };
    for round in 0..DEADLY_REQUESTS {
        (0..2).for_each(&mut until_served);
        thread::scope(|scope| {
            runner.queue_acts((0..2 * RUNNING).map(|_| Act::Spaced(1, 10, 40)));
            for n in 0..2 * RUNNING {
                let sound = &sound;
                scope.spawn(move || sound(n % 2, format!("b{round}{n}")));
            }
            // All of them have their first event then.
            thread::sleep(Duration::from_millis(150));
            let parts = format!("com0:40,{DEADLY}:70,c{round}:9");
            stream(callers[round % 2], &format!("d{round}"), &parts);
        });
        runner.clear_acts();
    }
    let requests = runner.requests();
    let is_deadly = |m: &&prepared::Message| {
        m.header("x-prompt-prefix")
            .is_some_and(|p| p.contains(DEADLY))
    };
    let reached = requests.iter().filter(is_deadly).count();
    assert!(
        reached <= MAX_CRASHES + MAX_LATER,
        "{reached} requests with the deadly part reached the upstream"
    );
    // Sound requests with the same key and first part are served through each entry.
    for (entry, callers) in callers.iter().enumerate() {
        runner.queue_acts([Act::Events(1, 2)]);
        let (status, body) = stream(*callers, &format!("e{entry}"), "com0:40,x1:9");
        assert_eq!(status, 200);
        assert!(body.contains("e2"), "{body}");
        let parts = format!("com0:40,{DEADLY}:70,y{entry}:9");
        let (status, _) = stream(*callers, &format!("f{entry}"), &parts);
        assert_eq!(status, 503, "refused, as it has not run");
    }
}
