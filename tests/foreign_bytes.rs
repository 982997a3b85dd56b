//! What other operators reported: odd registrations, refusals that are sent twice, and errors
//! in the middle of a stream. With the real entry process.

mod support;

use std::net::Ipv4Addr;

use serde_json::Value;
use serde_json::json;
use support::prepared;
use support::prepared::Act;
use support::prepared::Entry;
use support::prepared::Message;
use support::prepared::Runner;
use support::prepared::Store;
use support::prepared::numbers;
use support::prepared::request;
use support::prepared::send;
use support::prepared::until;

struct Setup {
    store: Store,
    runners: [Runner; 2],
    addrs: [std::net::SocketAddr; 2],
    entry: Entry,
}

/// Starts an entry and two runners, of which the first is registered.
fn setup(last: u8) -> Setup {
    let ip = Ipv4Addr::new(127, 0, 27, last);
    let (store, addr) = Store::start(ip);
    let (runner, first) = Runner::start(ip);
    let (other, second) = Runner::start(ip);
    store.put("op/config", &prepared::config(3));
    store.put("servers/i-1", &prepared::registered(first));
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    Setup {
        store,
        runners: [runner, other],
        addrs: [first, second],
        entry,
    }
}

impl Setup {
    fn send(&self, method: &str, path: &str, id: &str) -> Message {
        send(self.entry.callers, &request(method, path, id, "b")).expect("an answer")
    }

    /// Returns the number of runs of a request.
    fn runs(&self, id: &str) -> usize {
        let all = self.runners.iter().flat_map(Runner::requests);
        all.filter(|r| r.header("x-request-id") == Some(id)).count()
    }
}

/// Returns registrations that another writer may leave.
fn odd_registrations() -> Vec<Value> {
    let nested = |depth: usize| {
        let text = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        // Too deep for a parser, so it is put in as text.
        format!(r#"{{"service":"s","layers":{text}}}"#)
    };
    let with = |field: &str, value: Value| {
        let mut entry = prepared::registered("127.0.0.1:9".parse().expect("an address"));
        entry[field] = value;
        entry
    };
    let mut odd = vec![
        Value::String(nested(100)),
        Value::String(nested(200_000)),
        with("slots", json!(1e300)),
        with("slots", json!(-1)),
        with("slots", json!(u64::MAX)),
        with("seq", json!(1e300)),
        with("seq", json!("many")),
        with("born", json!(-4)),
        with("born", json!(1.5e40)),
        with("address", json!("127.0.0.1:70000")),
        with("address", json!("127.0.0.1:99999999999999999999")),
        with("address", json!("127.0.0.1")),
        with("address", json!(["127.0.0.1", 80])),
        with("models", json!([{"name": "m", "version": u64::MAX}])),
        with("models", json!([{"name": "m", "version": 1e99}])),
        with(
            "layers",
            json!({"from": u32::MAX, "to": 0, "version": u64::MAX}),
        ),
        with("layers", json!([[[[]]]])),
        with("state", json!({"ready": true})),
        json!([]),
        json!(17),
        Value::Null,
    ];
    odd.push(with("zone", json!("z".repeat(100_000))));
    odd
}

/// Guards against a process that ends, or follows the list no longer, after one odd entry in
/// it; both for one that reads the entry as a change and for one that starts with it.
#[test]
fn odd_registrations_are_survived() {
    let mut setup = setup(1);
    let mut version = 3;
    for (index, odd) in odd_registrations().into_iter().enumerate() {
        let key = format!("servers/odd-{index}");
        match &odd {
            Value::String(text) => setup.store.put_text(&key, text),
            _ => setup.store.put(&key, &odd),
        }
        version += 1;
        setup.store.put("op/config", &prepared::config(version));
        until(|| setup.entry.version() == version);
        assert!(setup.entry.is_running(), "{odd}");
    }
    // A new runner is still found, and a process that starts reads the whole list.
    setup.store.remove("servers/i-1");
    let second = prepared::registered(setup.addrs[1]);
    setup.store.put("servers/i-2", &second);
    until(|| setup.send("GET", "/safe/x", "found").status() == 200);
    let ip = Ipv4Addr::new(127, 0, 27, 9);
    let store = setup.store.serve_at(ip);
    let other = Entry::start(ip, store);
    other.until_ready();
    until(|| {
        let text = request("GET", "/safe/x", "started", "b");
        send(other.callers, &text).is_some_and(|answer| answer.status() == 200)
    });
}

/// Guards against 'not run' for a request that has run, and a second run of one that may run
/// once, when a runner sends an earlier refusal once more on a kept connection.
#[test]
fn copied_refusal_is_not_the_answer() {
    let setup = setup(2);
    for path in ["/safe/1", "/once/1"] {
        for round in 0..4 {
            let (refused, next) = (format!("a{round}{path}"), format!("b{round}{path}"));
            setup.runners[0].queue_acts([Act::NotRun]);
            assert_eq!(setup.send("POST", path, &refused).status(), 503);
            setup.runners[0].clear_acts();
            setup.runners[0].queue_acts([Act::RefuseAgain, Act::RefuseAgain]);
            let answer = setup.send("POST", path, &next);
            setup.runners[0].clear_acts();
            assert_ne!(
                answer.status(),
                503,
                "{next}: run {} times",
                setup.runs(&next)
            );
            if path == "/once/1" {
                assert_eq!((answer.status(), setup.runs(&next)), (200, 1), "{next}");
            }
        }
    }
}

/// Answers of a runner that is asked to go on with a stream, none of which is a part of it.
const ERRORS: [Act; 6] = [
    Act::Respond(500, &[], "upstream error\n\n"),
    Act::Respond(400, &[], "upstream error\n\n"),
    Act::Respond(200, &[], "upstream error\n\n"),
    Act::Respond(200, &[], "data: upstream error\n\n"),
    Act::Respond(
        200,
        &[],
        "HTTP/1.1 500 Internal Server Error\r\n\r\nupstream error",
    ),
    Act::Cut("\r\nHTTP/1.1 500 Internal Server Error\r\n\r\nupstream error\n\n"),
];

/// Guards against an error's text or head in the middle of a stream, and against a stream
/// that looks complete though only an error followed, when the first runner breaks off.
#[test]
fn error_is_no_part_of_a_stream() {
    let setup = setup(3);
    setup
        .store
        .put("servers/i-2", &prepared::registered(setup.addrs[1]));
    until(|| setup.entry.dump()["upstreams"].to_string().contains("i-2"));
    for (index, error) in ERRORS.into_iter().enumerate() {
        for runner in &setup.runners {
            runner.clear_acts();
            runner.queue_acts([Act::BreakOff(1, 3), error.clone(), error.clone()]);
        }
        // Either runner may be the first; the other then goes on with its second act.
        setup.runners[1].clear_acts();
        setup.runners[1].queue_acts([error.clone(), error.clone()]);
        let id = format!("s{index}");
        let answer = setup.send("POST", "/stream/1", &id);
        let body = answer.text();
        if body.starts_with("id: 1") {
            assert!(!body.contains("upstream error"), "{error:?}: {body}");
            assert!(!body.contains("HTTP/1.1"), "{error:?}: {body}");
            assert!(!answer.whole, "{error:?}: {body}");
        }
    }
}

/// Guards against the second answer of a runner that is taken for a part of its stream, when
/// only the end of the connection ends that.
#[test]
fn second_answer_is_no_part_of_a_stream() {
    let setup = setup(4);
    setup.runners[0].queue_acts([Act::Cut(
        "\r\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\nHTTP/1.1 503 X\r\nContent-Length: 14\r\n\r\nupstream error",
    )]);
    let answer = setup.send("POST", "/stream/1", "second");
    assert_eq!(numbers(&answer), [1, 2]);
    assert!(!answer.text().contains("503"), "{}", answer.text());
    assert!(!answer.whole);
}
