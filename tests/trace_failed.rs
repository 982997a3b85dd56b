//! The cause of a failed request is found from the logs of a real entry process.

mod support;

use std::net::Ipv4Addr;
use std::thread;
use std::time::Duration;

use chervilquay::error::Code;
use chervilquay::report::trace;
use fastrand::Rng;
use support::prepared;
use support::prepared::Act;
use support::prepared::Entry;
use support::prepared::Runner;
use support::prepared::Store;
use support::prepared::request;
use support::prepared::send;

/// How a request is made to fail.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The caller's key belongs to no organisation.
    UnknownKey,
    /// No route matches.
    UnknownRoute,
    /// The body is longer than allowed.
    TooLarge,
    /// The runner resets the connection.
    Reset,
    /// The answer has the id of another request.
    WrongId,
    /// The runner answers after the deadline.
    NoAnswer,
    /// The runners refuse the request, as they have no room.
    NoRoom,
    /// The deadline is too short for any upstream.
    ShortDeadline,
}

const FAULTS: [Fault; 8] = [
    Fault::UnknownKey,
    Fault::UnknownRoute,
    Fault::TooLarge,
    Fault::Reset,
    Fault::WrongId,
    Fault::NoAnswer,
    Fault::NoRoom,
    Fault::ShortDeadline,
];

/// Returns the status that the caller gets, the result code in the logs, and words
/// that the cause contains.
fn expected(fault: Fault) -> (u16, Code, &'static str) {
    match fault {
        Fault::UnknownKey => (401, Code::KeyUnknown, "version 3"),
        Fault::UnknownRoute => (404, Code::RouteUnknown, "/none/"),
        Fault::TooLarge => (413, Code::BodyTooLarge, "Content-Length"),
        Fault::Reset => (502, Code::UpstreamLost, "1 sends"),
        Fault::WrongId => (502, Code::UpstreamLost, "answer belongs to request"),
        Fault::NoAnswer => (502, Code::UpstreamLost, "no answer within"),
        Fault::NoRoom => (503, Code::NoUpstream, "no room"),
        Fault::ShortDeadline => (504, Code::DeadlineExceeded, "no time is left"),
    }
}

struct World {
    runners: [Runner; 2],
    entry: Entry,
    _store: Store,
}

fn world(last: u8) -> World {
    let ip = Ipv4Addr::new(127, 0, 7, last);
    let (store, addr) = Store::start(ip);
    store.put("op/config", &prepared::config(3));
    let runners = ["servers/i-1", "servers/i-2"].map(|key| {
        let (runner, addr) = Runner::start(ip);
        store.put(key, &prepared::registered(addr));
        runner
    });
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    World {
        runners,
        entry,
        _store: store,
    }
}

impl World {
    /// Makes both runners handle their next three requests like `act`.
    fn set_runners(&self, act: &Act) {
        for runner in &self.runners {
            runner.clear_acts();
            runner.queue_acts(std::iter::repeat_n(act.clone(), 3));
        }
    }

    /// Sends a request that fails by `fault`. Returns the status of its answer.
    fn fail(&self, fault: Fault, id: &str) -> u16 {
        match fault {
            Fault::Reset => self.set_runners(&Act::Reset),
            Fault::WrongId => self.set_runners(&Act::WrongId),
            Fault::NoAnswer => self.set_runners(&Act::Slow(600)),
            Fault::NoRoom => self.set_runners(&Act::NotRun),
            _ => {}
        }
        let text =
            match fault {
                Fault::UnknownKey => request("GET", "/safe/1", id, "").replace(": key", ": none"),
                Fault::UnknownRoute => request("GET", "/none/1", id, ""),
                Fault::TooLarge => {
                    let text = request("POST", "/safe/1", id, "");
                    text.replace("Content-Length: 0", "Content-Length: 99999")
                }
                Fault::NoRoom => request("GET", "/safe/1", id, ""),
                Fault::ShortDeadline => request("GET", "/safe/1", id, "")
                    .replace("Deadline-Ms: 6000", "Deadline-Ms: 20"),
                Fault::NoAnswer => request("POST", "/once/1", id, "")
                    .replace("Deadline-Ms: 6000", "Deadline-Ms: 200"),
                _ => request("POST", "/once/1", id, ""),
            };
        let answer = send(self.entry.callers, &text).expect("an answer");
        for runner in &self.runners {
            runner.clear_acts();
        }
        answer.status()
    }
}

/// Guards against a failed request whose cause cannot be found in the logs. Ten
/// are drawn from the failed requests, which are made among successful ones.
#[test]
fn causes_of_drawn_failures_are_found() {
    let world = world(21);
    let mut rng = Rng::with_seed(7);
    let mut failed = Vec::new();
    for number in 0..24 {
        let good = request("GET", "/safe/1", &format!("g{number}"), "");
        assert_eq!(send(world.entry.callers, &good).unwrap().status(), 200);
        let fault = FAULTS[number % FAULTS.len()];
        let id = format!("f{number}");
        assert_eq!(world.fail(fault, &id), expected(fault).0, "{fault:?}");
        failed.push((id, fault));
        // Waits until the late answers of slow runners have arrived.
        let pause = if fault == Fault::NoAnswer { 700 } else { 10 };
        thread::sleep(Duration::from_millis(pause));
    }
    thread::sleep(Duration::from_millis(300));
    let log = world.entry.log();
    rng.shuffle(&mut failed);
    let drawn = &failed[..10];
    let mut codes: Vec<u32> = drawn.iter().map(|(_, f)| expected(*f).1.number()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert!(codes.len() >= 5, "{codes:?}");
    for (id, fault) in drawn {
        let (_, code, words) = expected(*fault);
        let cause = trace::cause(&trace::lines(&log, id));
        assert!(cause.starts_with(code.text()), "{fault:?}: {cause}");
        assert!(cause.contains(words), "{fault:?}: {cause}");
    }
}

/// Guards against a log that grows with the load, and against lines that are left
/// out without being counted.
#[test]
fn lines_are_bounded_and_counted() {
    let world = world(22);
    let mut sent = 0;
    for batch in 0..10 {
        for number in 0..60 {
            let id = format!("{batch}-{number}");
            let text = request("GET", "/none/1", &id, "");
            assert_eq!(send(world.entry.callers, &text).unwrap().status(), 404);
            sent += 1;
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    let log = world.entry.log();
    let records = log
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let (mut written, mut left_out) = (0, 0);
    let mut seconds: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
    for record in records {
        if record["msg"] == "route: request refused" {
            written += 1;
            let second = record["ts"].as_str().unwrap()[..19].to_string();
            *seconds.entry(second).or_default() += 1;
        }
        if record["msg"] == "log: lines left out" && record["kind"] == "Refused" {
            left_out += record["count"].as_u64().unwrap();
        }
    }
    assert_eq!(written + left_out, sent);
    // The second of the limit and that of the timestamp may start at different times.
    assert!(seconds.values().all(|count| *count <= 80), "{seconds:?}");
}
