//! Regions and evacuated zones at a real entry, with stand-ins for the store and the runners.

mod support;

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use chervilquay::error::Code;
use chervilquay::error::Error;
use chervilquay::error::Run;
use chervilquay::net::body;
use chervilquay::net::client::Client;
use chervilquay::net::rt;
use serde_json::Value;
use serde_json::json;
use support::prepared;
use support::prepared::Act;
use support::prepared::Entry;
use support::prepared::Message;
use support::prepared::Runner;
use support::prepared::Store;
use support::prepared::request;
use support::prepared::until;

/// Settings of the regions: the entry is in zone `z` and region `r`.
const ZONES: &str = "zones.y=q\nzones.x=\n";

/// A store and one runner in each of three zones: `z`, `y`, and `x` without a region.
struct Setup {
    ip: Ipv4Addr,
    store: Store,
    addr: SocketAddr,
    runners: [Runner; 3],
}

impl Setup {
    /// Prepares the platform on the loopback address that ends in `last`; `change` edits
    /// the configuration.
    fn new(last: u8, change: impl Fn(&mut Value)) -> Setup {
        let ip = Ipv4Addr::new(127, 0, 52, last);
        let (store, addr) = Store::start(ip);
        let mut config = prepared::config(1);
        change(&mut config);
        store.put("op/config", &config);
        let runners = ["z", "y", "x"].map(|zone| {
            let (runner, at) = Runner::start(ip);
            let mut registration = prepared::registered(at);
            registration["zone"] = json!(zone);
            store.put(&format!("servers/i-{zone}"), &registration);
            runner
        });
        Setup {
            ip,
            store,
            addr,
            runners,
        }
    }

    fn entry(&self) -> Entry {
        let seed = SocketAddr::from((self.ip, 18_000));
        let entry = Entry::start_with(self.ip, &[seed], self.addr, ZONES);
        entry.until_ready();
        entry
    }

    fn counts(&self) -> [usize; 3] {
        [0, 1, 2].map(|n| self.runners[n].requests().len())
    }

    /// Sends `count` requests and returns how many each runner got of them.
    fn send(&self, entry: &Entry, path: &str, count: usize) -> ([usize; 3], Vec<Message>) {
        let before = self.counts();
        let send = |n| {
            let text = request("POST", path, &format!("a{n}"), "");
            prepared::send(entry.callers, &text).expect("an answer")
        };
        let answers = (0..count).map(send).collect();
        let after = self.counts();
        ([0, 1, 2].map(|n| after[n] - before[n]), answers)
    }

    /// Waits until the entry knows whether the zones are evacuated, in the order of the
    /// runners.
    fn until_evacuated(&self, entry: &Entry, expected: [bool; 3]) {
        until(|| {
            let dump = entry.dump();
            let upstreams = dump["upstreams"].as_array().expect("a list").clone();
            let is_evacuated = |zone: &str| {
                let mut found = upstreams.iter().filter(|u| u["zone"] == zone);
                found.next().is_some_and(|u| u["evacuated"] == true)
            };
            ["z", "y", "x"].map(is_evacuated) == expected
        });
    }
}

fn is_refused(answer: &Message) -> bool {
    answer.status() == 503 && answer.header("retry-after").is_some()
}

/// Guards against a request of a restricted route or organisation in another region: the
/// first send, and a repeated one when the upstreams inside have refused it.
#[test]
fn restricted_requests_stay_inside() {
    let setup = Setup::new(1, |config| {
        config["routes"][0]["allowed_regions"] = json!(["q"]);
        config["routes"][1]["allowed_regions"] = json!(["r", "q"]);
        config["routes"][2]["allowed_regions"] = json!(["r"]);
        config["tenants"][0]["allowed_regions"] = json!(["q", "elsewhere"]);
    });
    let entry = setup.entry();
    for path in ["/safe/1", "/once/1"] {
        let (counts, answers) = setup.send(&entry, path, 12);
        assert_eq!(counts, [0, 12, 0], "{path}");
        assert!(answers.iter().all(|a| a.status() == 200));
    }
    let (counts, answers) = setup.send(&entry, "/stream/1", 1);
    assert_eq!(counts, [0; 3], "no region is in both lists");
    assert!(is_refused(&answers[0]), "{}", answers[0].line);
    setup.runners[1].queue_acts([Act::NotRun]);
    let (counts, answers) = setup.send(&entry, "/safe/1", 1);
    assert_eq!(counts, [0, 1, 0], "a repeated send");
    assert!(is_refused(&answers[0]), "{}", answers[0].line);
}

/// Guards against new requests to evacuated zones: at the start, while the entry runs, for
/// two zones at once, and when no other zone is left; and against zones that stay unused
/// when the evacuation is revoked.
#[test]
fn evacuated_zones_get_nothing_new() {
    let setup = Setup::new(2, |_| {});
    setup.store.put("op/evacuate/z", &json!({}));
    let entry = setup.entry();
    let (counts, _) = setup.send(&entry, "/safe/1", 30);
    assert!(
        counts[0] == 0 && counts[1] > 0 && counts[2] > 0,
        "{counts:?}"
    );
    setup.store.put("op/evacuate/x", &json!({}));
    setup.until_evacuated(&entry, [true, false, true]);
    assert_eq!(setup.send(&entry, "/once/1", 20).0, [0, 20, 0]);
    setup.store.put("op/evacuate/y", &json!({}));
    setup.until_evacuated(&entry, [true; 3]);
    let (counts, answers) = setup.send(&entry, "/safe/1", 5);
    assert_eq!(counts, [0; 3]);
    assert!(answers.iter().all(is_refused));
    setup.store.remove("op/evacuate/z");
    setup.until_evacuated(&entry, [false, true, true]);
    assert_eq!(setup.send(&entry, "/safe/1", 5).0, [5, 0, 0]);
}

/// Guards against a repeated send and a resumed stream in a zone that was evacuated after
/// the first send, and against a stream that is cut by the evacuation.
#[test]
fn running_requests_end_and_repeats_stay_out() {
    let setup = Setup::new(3, |_| {});
    let entry = setup.entry();
    setup.store.put("op/evacuate/x", &json!({}));
    setup.store.put("op/evacuate/y", &json!({}));
    setup.until_evacuated(&entry, [false, true, true]);
    setup.runners[0].queue_acts([Act::Pause(1, 2, 700, 5), Act::PauseThenBreak(1, 2, 700)]);
    let callers = entry.callers;
    for (is_whole, expected) in [(true, vec![1, 2, 3, 4, 5]), (false, vec![1, 2])] {
        let seen = setup.counts()[0];
        let text = request("POST", "/stream/1", "s", "");
        let caller = std::thread::spawn(move || prepared::send(callers, &text));
        until(|| setup.counts()[0] > seen);
        setup.store.put("op/evacuate/z", &json!({}));
        let answer = caller.join().expect("a caller").expect("an answer");
        assert_eq!(
            (answer.whole, prepared::numbers(&answer)),
            (is_whole, expected)
        );
        assert_eq!(setup.counts()[1..], [0, 0]);
        setup.store.remove("op/evacuate/z");
        setup.until_evacuated(&entry, [false, true, true]);
    }
}

/// Guards against an evacuation that only the own store tells of: another entry passes it on
/// while the own store is cut off. Also against one that a restored store does not list and
/// that stays in force, and one that comes back with it and does not count.
#[test]
fn peers_and_restored_stores_are_believed() {
    let setup = Setup::new(4, |_| {});
    let other_ip = Ipv4Addr::new(127, 0, 52, 5);
    let seeds = [setup.ip, other_ip].map(|ip| SocketAddr::from((ip, 18_000)));
    let first = Entry::start_with(setup.ip, &seeds, setup.addr, ZONES);
    // No process listens at this port.
    let no_store = SocketAddr::from((other_ip, 9));
    let second = Entry::start_with(other_ip, &seeds, no_store, ZONES);
    second.until_ready();
    setup.store.put("op/evacuate/y", &json!({}));
    let copy = setup.store.copy();
    setup.until_evacuated(&second, [false, true, false]);
    assert_eq!(setup.send(&second, "/safe/1", 20).0[1], 0);
    setup.store.remove("op/evacuate/y");
    setup.store.put("op/evacuate/x", &json!({}));
    setup.until_evacuated(&second, [false, false, true]);
    setup.store.restore(copy);
    for entry in [&first, &second] {
        setup.until_evacuated(entry, [false, true, false]);
        let counts = setup.send(entry, "/safe/1", 20).0;
        assert_eq!(counts[1], 0);
    }
}

/// Guards against a request that is sent by a restriction that has been replaced while its
/// body arrived.
#[test]
fn restriction_counts_at_the_send() {
    let setup = Setup::new(6, |_| {});
    let entry = setup.entry();
    let text = request("POST", "/safe/1", "a", "body");
    let (first, rest) = text.split_at(text.len() - 2);
    let mut caller = TcpStream::connect(entry.callers).expect("a connection");
    caller.write_all(first.as_bytes()).expect("a part");
    // The answer to a later request shows that the entry has read the head of the first.
    setup.send(&entry, "/safe/2", 1);
    let mut config = prepared::config(2);
    config["routes"][0]["allowed_regions"] = json!(["q"]);
    setup.store.put("op/config", &config);
    until(|| entry.version() == 2);
    let before = setup.counts();
    caller.write_all(rest.as_bytes()).expect("the rest");
    let answer = prepared::read_message(&mut caller).expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(setup.counts(), [before[0], before[1] + 1, before[2]]);
}

/// Guards against an entry that stood still while a zone was evacuated and sends to it when it
/// runs again, before it has heard of the evacuation; and against the same refusals where the
/// settings bound no evacuations.
#[test]
fn entry_that_stood_still_catches_up_first() {
    for (last, bound) in [(8, "bounds.evacuate_ms=5000\n"), (9, "")] {
        let setup = Setup::new(last, |_| {});
        let seed = SocketAddr::from((setup.ip, 18_000));
        let settings = format!("{ZONES}{bound}");
        let entry = Entry::start_with(setup.ip, &[seed], setup.addr, &settings);
        entry.until_ready();
        setup.send(&entry, "/safe/1", 3);
        entry.signal("-STOP");
        std::thread::sleep(Duration::from_millis(3_000));
        if !bound.is_empty() {
            setup.store.put("op/evacuate/z", &json!({}));
        }
        let before = setup.counts();
        let connect = |n| {
            let mut caller = TcpStream::connect(entry.callers).expect("a connection");
            let text = request("POST", "/safe/1", &format!("b{n}"), "");
            caller.write_all(text.as_bytes()).expect("a request");
            caller
        };
        let mut callers: Vec<TcpStream> = (0..8).map(connect).collect();
        entry.signal("-CONT");
        let answers = callers.iter_mut().map(prepared::read_message);
        let answers: Vec<Message> = answers.map(|a| a.expect("an answer")).collect();
        match bound {
            "" => assert!(answers.iter().all(|a| a.status() == 200)),
            _ => assert_eq!(setup.counts()[0], before[0]),
        }
        until(|| setup.send(&entry, "/safe/1", 1).1[0].status() == 200);
    }
}

/// Guards against a request that is written although its zone was evacuated while its
/// connection was opened, and against a connection that is lost with it.
#[test]
fn check_comes_before_the_write() {
    let (runner, addr) = Runner::start(Ipv4Addr::new(127, 0, 52, 7));
    let client = Client::new(addr);
    let send = |is_allowed: bool, is_fresh: bool| {
        let request = http::Request::post("/a").header("host", "h");
        let request = request.body(body::full("")).expect("a request");
        let check = || match is_allowed {
            true => Ok(()),
            false => Err(Error::new(Code::NoUpstream, "evacuated")),
        };
        let sent = rt::run(1, client.send_checked(request, is_fresh, check));
        sent.map(|answer| answer.response.status().as_u16())
    };
    for is_fresh in [true, false] {
        let error = send(false, is_fresh).expect_err("not allowed");
        assert_eq!((error.code, error.run), (Code::NoUpstream, Run::NotRun));
    }
    assert_eq!(runner.requests().len(), 0);
    assert_eq!(send(true, true).expect("an answer"), 200);
    assert_eq!(runner.requests().len(), 1);
}
