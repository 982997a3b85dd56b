//! Faults of the real binaries: kills, pauses and drains while requests run.

#![allow(
    clippy::allow_attributes,
    clippy::unwrap_used,
    reason = "a failed step ends the test"
)]

mod support;

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;

use chervilquay::standin::engine::token;
use serde_json::Value;
use support::system::System;
use support::system::dump;
use support::system::http;
use support::system::send_request;
use support::system::split_answer;
use support::system::start_agent;
use support::system::until;

/// Time for each token, in microseconds; long enough to inject a fault during a stream.
const TOKEN_US: &str = "20000";

/// Tokens of a stream during which a fault is injected.
const TOKENS: u64 = 120;

/// Status, head and body of an answer.
type Answer = (u16, String, String);

fn start(name: &str) -> System {
    let system = System::start_with(name, TOKEN_US);
    system.until_serving();
    system
}

fn completion(prompt: &str, tokens: u64) -> String {
    format!(r#"{{"prompt":"{prompt}","max_tokens":{tokens},"stream":true}}"#)
}

fn complete(entry: SocketAddr, prompt: &str, tokens: u64) -> Answer {
    let body = completion(prompt, tokens);
    http(entry, "POST", "/v1/completions", &[], &body).unwrap()
}

/// Starts a stream and reads up to its first event.
fn stream(entry: SocketAddr, prompt: &str) -> (TcpStream, Vec<u8>) {
    let body = completion(prompt, TOKENS);
    let mut stream = send_request(entry, "POST", "/v1/completions", &[], &body).unwrap();
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("data:") {
        let mut part = [0; 1_024];
        let count = stream.read(&mut part).unwrap();
        assert!(count > 0, "{}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&part[..count]);
    }
    (stream, received)
}

/// Reads a stream to its end, whether it ends cleanly or breaks off, and returns the body.
fn read_to_end((mut stream, mut received): (TcpStream, Vec<u8>)) -> String {
    let _ = stream.read_to_end(&mut received);
    split_answer(&String::from_utf8_lossy(&received)).2
}

/// True when the last chunk of a chunked body has arrived.
fn ended_cleanly(body: &str) -> bool {
    body.ends_with("0\r\n\r\n")
}

/// True when a body has every token of the answer to `prompt` and ends cleanly.
fn is_complete(body: &str, prompt: &str) -> bool {
    let texts: Vec<&str> = body
        .match_indices("data: {")
        .map(|(at, _)| &body[at..])
        .collect();
    let is_right = texts.iter().zip(0..).all(|(text, index)| {
        let event = text.lines().next().unwrap_or_default();
        event.contains(token(prompt, index).trim())
    });
    is_right && texts.len() as u64 == TOKENS && body.contains("[DONE]") && ended_cleanly(body)
}

/// Requests a ticket for a booking.
fn ticket(entry: SocketAddr) -> String {
    let body = r#"{"path":"/book"}"#;
    let (status, _, body) = http(entry, "POST", "/chervilquay/tickets", &[], body).unwrap();
    assert_eq!(status, 200, "{body}");
    json(&body)["ticket"].as_str().unwrap().to_string()
}

fn book(entry: SocketAddr, key: &str) -> Answer {
    let headers = [("idempotency-key", key)];
    http(entry, "POST", "/book", &headers, r#"{"lane":3}"#).unwrap()
}

/// Sends a booking on another thread.
fn start_booking(entry: SocketAddr, key: &str) -> JoinHandle<Answer> {
    let key = key.to_string();
    thread::spawn(move || book(entry, &key))
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

/// Number of times that calls with this key ran, as the services counted them.
fn count_runs(system: &System, key: &str) -> u64 {
    let services = system.agents.iter().filter(|vm| vm.pool == "booking");
    let counts = services.map(|vm| {
        let reply = http(vm.engine_addr, "GET", "/standin/runs", &[], "");
        let body = reply.map(|(_, _, body)| body).unwrap_or_default();
        json(&body)[key].as_u64().unwrap_or(0)
    });
    counts.sum()
}

/// Multiplies the time of each call at the upstreams by `factor`.
fn slow_upstreams(system: &System, factor: &str) {
    for vm in &system.agents {
        http(vm.engine_addr, "POST", "/standin/slow", &[], factor).unwrap();
    }
}

/// Index of the agent that the ticket names.
fn owner_index(system: &System, key: &str) -> usize {
    let name = key.split('.').nth(1).unwrap();
    system.agents.iter().position(|vm| vm.name == name).unwrap()
}

/// What an error answer says about the run: `not_run`, `partial` or `unknown`.
fn run_field(answer: &Answer) -> String {
    json(&answer.2)["run"].as_str().unwrap_or("-").to_string()
}

// Guards against calls that run twice, or get another answer, when the caller sends the same
// ticket again: through the other entry, while the call runs and after it.
#[test]
fn booking_is_replayed() {
    let system = start("booking-replayed");
    let (first, second) = (system.entries[0].http, system.entries[1].http);
    slow_upstreams(&system, "25");
    let key = ticket(first);
    let running = start_booking(first, &key);
    until("the call runs", || count_runs(&system, &key) == 1);
    let attached = book(second, &key);
    let answer = running.join().unwrap();
    assert_eq!(
        (answer.0, attached.0),
        (200, 200),
        "{answer:?} {attached:?}"
    );
    assert_eq!(answer.2, attached.2);
    assert_eq!(book(second, &key).2, answer.2);
    assert_eq!(count_runs(&system, &key), 1);
}

// Guards against accepting keys that are not tickets: the answer to any other key is 428 with
// a ticket, and a forged ticket is refused.
#[test]
fn other_keys_get_tickets() {
    let system = start("other-keys");
    let entry = system.entries[0].http;
    let answer = book(entry, "my-own-key");
    assert_eq!((answer.0, run_field(&answer).as_str()), (428, "not_run"));
    let key = json(&answer.2)["ticket"].as_str().unwrap().to_string();
    let forged = format!("{}0", &key[..key.len() - 1]);
    let forged = if forged == key {
        format!("{}1", &key[..key.len() - 1])
    } else {
        forged
    };
    assert_eq!(book(entry, &forged).0, 400);
    assert_eq!(book(entry, &key).0, 200);
    assert_eq!(count_runs(&system, &key), 1);
}

// Guards against a second run, or an answer "not run" for a call that ran, when the agent is
// killed during a booking and the caller sends again through the other entry.
#[test]
fn agent_killed_in_booking() {
    let mut system = start("agent-killed");
    slow_upstreams(&system, "150");
    let (first, second) = (system.entries[0].http, system.entries[1].http);
    let key = ticket(first);
    let owner_index = owner_index(&system, &key);
    let running = start_booking(first, &key);
    until("the call runs", || count_runs(&system, &key) == 1);
    system.agents[owner_index].process.kill();
    let answer = running.join().unwrap();
    assert_eq!(run_field(&answer), "unknown", "{answer:?}");
    let again = book(second, &key);
    assert_eq!(run_field(&again), "unknown", "{again:?}");
    assert!(again.1.contains("retry-after"), "{again:?}");
    system.agents[owner_index].process = start_agent(&system.agents[owner_index].settings);
    system.until_serving();
    let last = book(second, &key);
    assert_eq!(
        (last.0, run_field(&last).as_str()),
        (410, "unknown"),
        "{last:?}"
    );
    assert_eq!(count_runs(&system, &key), 1);
}

// Guards against a call that runs after its caller was told that it did not, or after its
// deadline, when the agent is paused until the deadline has passed.
#[test]
fn agent_paused_across_deadline() {
    let system = start("agent-paused");
    let (first, second) = (system.entries[0].http, system.entries[1].http);
    let key = ticket(first);
    let agent = &system.agents[owner_index(&system, &key)];
    agent.process.signal("STOP");
    let answer = book(first, &key);
    assert_eq!(run_field(&answer), "unknown", "{answer:?}");
    agent.process.signal("CONT");
    until("the agent is no longer stale", || {
        dump(agent.admin)["guard"]["stale"] == false
    });
    let again = book(second, &key);
    match run_field(&again).as_str() {
        "not_run" => assert_eq!(count_runs(&system, &key), 0, "{again:?}"),
        _ => assert_eq!((again.0, count_runs(&system, &key)), (200, 1), "{again:?}"),
    }
    // A barred key stays barred.
    if again.0 != 200 {
        assert_eq!(run_field(&book(first, &key)), "not_run");
        assert_eq!(count_runs(&system, &key), 0);
    }
}

// Guards against an answer that ends cleanly although its engine was killed: the caller would
// take part of the answer for all of it.
#[test]
fn engine_killed_in_stream() {
    let mut system = start("engine-killed");
    let entry = system.entries[0].http;
    let running = stream(entry, "broken");
    let busy = |vm: &support::system::AgentVm| dump(vm.admin)["guard"]["dispatched"] == 1;
    let index = system.agents.iter().position(busy).unwrap();
    system.agents[index].engine.kill();
    let body = read_to_end(running);
    assert!(!ended_cleanly(&body), "{body}");
    assert!(!body.contains("[DONE]"), "{body}");
    let answer = complete(entry, "next", 3);
    assert_eq!(answer.0, 200, "{answer:?}");
}

// Guards against a request that crashes one upstream after the other, and against blocking
// other requests along with it.
#[test]
fn crashing_request_is_blocked() {
    let mut system = start("crashing-request");
    let entry = system.entries[0].http;
    for _ in 0..2 {
        let running = stream(entry, "crash");
        let busy = |vm: &support::system::AgentVm| dump(vm.admin)["guard"]["dispatched"] == 1;
        let index = system.agents.iter().position(busy).unwrap();
        system.agents[index].engine.kill();
        assert!(!ended_cleanly(&read_to_end(running)));
    }
    let answer = complete(entry, "crash", TOKENS);
    assert_eq!(answer.0, 422, "{answer:?}");
    assert_eq!(json(&answer.2)["code"], 4009);
    assert!(answer.1.contains("retry-after"), "{answer:?}");
    let other = complete(entry, "harmless", 3);
    assert_ne!(other.0, 422, "{other:?}");
}

// Guards against a drain by the pools table that interrupts a stream, sends new work to the
// upstream or leaves calls unanswered whose outcome the agent knows.
#[test]
fn drain_by_table() {
    let mut system = start("drain-table");
    let (first, second) = (system.entries[0].http, system.entries[1].http);
    let key = ticket(first);
    let booked = book(first, &key);
    let fresh = ticket(first);
    let booker = system.agents[owner_index(&system, &fresh)].name.clone();
    let running = stream(first, "drained");
    let busy = |vm: &support::system::AgentVm| dump(vm.admin)["guard"]["dispatched"] == 1;
    let index = system.agents.iter().position(busy).unwrap();
    let (name, admin) = (
        system.agents[index].name.clone(),
        system.agents[index].admin,
    );
    system.publish(0, &[&name, &booker]);
    until("the agent drains", || {
        dump(admin)["guard"]["leaving"] == "table"
    });
    system.until_serving();
    for prompt in 0..4 {
        assert_eq!(complete(first, &prompt.to_string(), 2).0, 200);
        assert!(dump(admin)["guard"]["dispatched"].as_u64().unwrap() <= 1);
    }
    let body = read_to_end(running);
    assert!(is_complete(&body, "drained"), "{body}");
    until("the agent is drained", || {
        dump(admin)["guard"]["phase"] == "drained"
    });
    assert_eq!(book(second, &key).2, booked.2);
    let refused = book(second, &fresh);
    assert_eq!(run_field(&refused), "not_run", "{refused:?}");
    assert_eq!(count_runs(&system, &fresh), 0);
    let new = json(&refused.2)["ticket"].as_str().unwrap().to_string();
    assert_ne!(system.agents[owner_index(&system, &new)].name, booker);
    assert_eq!(book(second, &new).0, 200);
}

// Guards against an agent that goes on serving when the live list says that it is leaving.
#[test]
fn drain_by_list() {
    let system = start("drain-list");
    let vm = &system.agents[0];
    let list = |leaving| {
        format!(
            "vms:\n  {}: {{rpc: \"{}\", zone: z1, leaving: {leaving}}}\n",
            vm.name, vm.rpc
        )
    };
    system.put("live", &list(true));
    until("the agent drains", || {
        dump(vm.admin)["guard"]["leaving"] == "list"
    });
    assert_eq!(complete(system.entries[0].http, "other", 2).0, 200);
    system.put("live", &list(false));
    until("the agent serves", || {
        dump(vm.admin)["guard"]["leaving"].is_null()
    });
}

// Guards against a stopping agent that interrupts a running stream, takes new work, or exits
// with an error.
#[test]
fn agent_stopped_in_stream() {
    let mut system = start("agent-stopped");
    let entry = system.entries[0].http;
    let running = stream(entry, "stopped");
    let busy = |vm: &support::system::AgentVm| dump(vm.admin)["guard"]["dispatched"] == 1;
    let index = system.agents.iter().position(busy).unwrap();
    system.agents[index].process.signal("TERM");
    let admin = system.agents[index].admin;
    until("the agent stops", || {
        dump(admin)["guard"]["leaving"] == "stop"
    });
    assert_eq!(complete(entry, "other", 2).0, 200);
    let body = read_to_end(running);
    assert!(is_complete(&body, "stopped"), "{body}");
    assert!(system.agents[index].process.wait(), "exit status");
}

// Guards against a stopping agent that waits longer than the pool's drain time, and against a
// clean end of the answer that it breaks off.
#[test]
fn agent_stop_is_bounded() {
    let mut system = start("agent-bounded");
    system.set_drain_time(0);
    let entry = system.entries[0].http;
    let running = stream(entry, "cut");
    let busy = |vm: &support::system::AgentVm| dump(vm.admin)["guard"]["dispatched"] == 1;
    let index = system.agents.iter().position(busy).unwrap();
    system.agents[index].process.signal("TERM");
    let body = read_to_end(running);
    assert!(!ended_cleanly(&body), "{body}");
    assert!(system.agents[index].process.wait(), "exit status");
}

// Guards against a call without a key that fails, or runs at two upstreams, because one of its
// upstreams cannot be reached.
#[test]
fn keyless_call_goes_elsewhere() {
    let mut system = start("keyless-elsewhere");
    let entry = system.entries[0].http;
    let index = owner_index(&system, &ticket(entry));
    system.agents[index].process.kill();
    // Until the entry has noticed the loss of the connection, a call on it may rightly be
    // answered with an unknown outcome.
    until("the loss is noticed", || {
        owner_index(&system, &ticket(entry)) != index
    });
    let answer = http(entry, "POST", "/book", &[], "{}").unwrap();
    assert_eq!(answer.0, 200, "{answer:?}");
    assert_eq!(count_runs(&system, ""), 1);
}

// Guards against a stopping entry that interrupts a running stream or accepts new connections.
#[test]
fn entry_stopped_in_stream() {
    let mut system = start("entry-stopped");
    let entry = system.entries[0].http;
    let running = stream(entry, "entry stops");
    system.entries[0].process.signal("TERM");
    until("the entry refuses connections", || {
        TcpStream::connect(entry).is_err()
    });
    let body = read_to_end(running);
    assert!(is_complete(&body, "entry stops"), "{body}");
    assert!(system.entries[0].process.wait(), "exit status");
}

// Guards against serving that depends on the platform: while it is down, requests and bookings
// are served by the last tables.
#[test]
fn platform_down() {
    let mut system = start("platform-down");
    system.platform.kill();
    for entry in &system.entries {
        assert_eq!(complete(entry.http, "still", 3).0, 200);
        let key = ticket(entry.http);
        assert_eq!(book(entry.http, &key).0, 200);
        assert_eq!(count_runs(&system, &key), 1);
    }
}
