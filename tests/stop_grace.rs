//! A planned stop in calm, with requests that arrive at every moment of the grace time.
//! Reported: those that came late were passed on and cut without an answer at its end.

#![allow(
    clippy::allow_attributes,
    clippy::unwrap_used,
    reason = "a failed step ends the test"
)]

mod support;

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use support::prepared;
use support::prepared::Act;
use support::prepared::Entry;
use support::prepared::Message;
use support::prepared::Runner;
use support::prepared::Store;
use support::prepared::read_message;
use support::prepared::request;

/// Grace time of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// Time that the runner works on each request, in milliseconds.
const WORK_MS: u64 = 3_000;

/// Runners, as each of them carries out one act at a time here.
const RUNNERS: u8 = 4;

/// Sends `text` up to `split`, the rest at `at`, and returns what was answered; none when the
/// connection ended before any of it was read, and when it could not be opened.
fn send_late(addr: std::net::SocketAddr, text: &str, split: usize, at: Instant) -> Option<Message> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.write_all(&text.as_bytes()[..split]).ok()?;
    thread::sleep(at.saturating_duration_since(Instant::now()));
    stream.write_all(&text.as_bytes()[split..]).ok()?;
    read_message(&mut stream)
}

/// Guards against requests that are passed on to a runner and cut without an answer as the
/// grace time ends: the last bytes of their heads or bodies came late, or they were on the way
/// to a runner for long.
#[test]
fn late_requests_are_answered() {
    let ip = Ipv4Addr::new(127, 0, 49, 1);
    let (store, addr) = Store::start(ip);
    store.put("op/config", &prepared::config(3));
    let runners: Vec<Runner> = (1..=RUNNERS)
        .map(|n| {
            let (runner, addr) = Runner::start(ip);
            store.put(&format!("servers/i-{n}"), &prepared::registered(addr));
            runner.queue_acts((0..200).map(|_| Act::Slow(WORK_MS)));
            runner
        })
        .collect();
    let mut entry = Entry::start(ip, addr);
    entry.until_ready();
    let callers = entry.callers;
    // In touch with the runners.
    thread::sleep(Duration::from_millis(500));
    let stop_at = Instant::now() + Duration::from_millis(500);
    let mut tasks = Vec::new();
    for step in 0..16_u64 {
        for (kind, path) in ["/once", "/safe", "/once"].iter().enumerate() {
            let id = format!("s{step}k{kind}");
            let text = request("POST", &format!("{path}/{id}"), &id, "body");
            // The head, or a part of it, is there before the stop.
            let split = [text.len() - 2, text.len() - 2, 30][kind];
            let at = stop_at + Duration::from_millis(step * 500);
            tasks.push(thread::spawn(move || {
                (id, at, send_late(callers, &text, split, at))
            }));
        }
    }
    thread::sleep(stop_at.saturating_duration_since(Instant::now()));
    entry.signal("-TERM");
    let answers: Vec<_> = tasks.into_iter().map(|t| t.join().unwrap()).collect();
    prepared::until(|| !entry.is_running());
    assert!(stop_at.elapsed() < GRACE, "it ends by itself");
    let requests: Vec<Message> = runners.iter().flat_map(Runner::requests).collect();
    let has_run = |id: &str| {
        requests
            .iter()
            .any(|m| m.header("x-request-id") == Some(id))
    };
    let mut served = 0;
    for (id, at, answer) in &answers {
        let status = answer
            .as_ref()
            .filter(|a| a.whole)
            .map_or(0, Message::status);
        let late = at.duration_since(stop_at);
        match status {
            200 => served += 1,
            // Says that it has not run.
            503 => assert!(!has_run(id), "{id} at {late:?}"),
            502 | 504 => {}
            // Not read, or not passed on.
            0 => assert!(!has_run(id), "{id} at {late:?} was cut without an answer"),
            other => panic!("{id} at {late:?}: {other}"),
        }
    }
    assert!(served >= 6, "{served} served");
}
