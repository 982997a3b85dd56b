//! Streams whose runner is silent for some time, with the real entry process and emulated
//! store and runners.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use chervilquay::prelude::*;
use chervilquay::route::silence::Silence;
use chervilquay::route::silence::Step;
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

/// Pause that is longer than the silence after which another runner is searched for, in
/// milliseconds.
const PAUSE: u64 = 1_800;

/// Pause that is longer than every deadline, in milliseconds.
const FOREVER: u64 = 20_000;

struct Setup {
    store: Store,
    runner: Runner,
    other: Runner,
    other_addr: SocketAddr,
    entry: Entry,
}

/// Starts an entry that knows the first of two runners; `change` changes the stream's route.
fn setup(last: u8, change: impl Fn(&mut Value)) -> Setup {
    let ip = Ipv4Addr::new(127, 0, 11, last);
    let (store, addr) = Store::start(ip);
    let (runner, first) = Runner::start(ip);
    let (other, other_addr) = Runner::start(ip);
    let mut config = prepared::config(3);
    change(&mut config["routes"][2]);
    store.put("op/config", &config);
    store.put("servers/i-1", &prepared::registered(first));
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    Setup {
        store,
        runner,
        other,
        other_addr,
        entry,
    }
}

/// Leaves the stream's route as it is: the stream may be resumed, in two attempts.
fn unchanged(_: &mut Value) {}

impl Setup {
    /// Sends the request for a stream and waits until the first runner has it.
    fn begin(&self, id: &'static str) -> JoinHandle<Option<Message>> {
        let addr = self.entry.callers;
        let running = thread::spawn(move || send(addr, &request("POST", "/stream/1", id, "b")));
        prepared::until(|| arrivals(&self.runner, id) == 1);
        running
    }

    /// Registers the second runner with this many slots.
    fn join(&self, slots: u32) {
        let mut doc = prepared::registered(self.other_addr);
        doc["slots"] = json!(slots);
        self.store.put("servers/i-2", &doc);
    }

    /// Waits until no request is counted as running. Guards against a call whose end is never
    /// counted, or is counted twice.
    fn until_idle(&mut self) {
        prepared::until(|| self.entry.running() == 0);
        assert!(self.entry.is_running());
    }
}

fn arrivals(runner: &Runner, id: &str) -> usize {
    let got = runner.requests();
    let own = got.iter().filter(|m| m.header("x-request-id") == Some(id));
    own.count()
}

fn assert_whole(running: JoinHandle<Option<Message>>) {
    let answer = running.join().ok().flatten().expect("an answer");
    let numbers = numbers(&answer);
    assert!(answer.whole, "cut after {numbers:?}");
    assert_eq!(numbers, [1, 2, 3, 4, 5, 6]);
}

/// Guards against a stream that is aborted because its runner is silent while no other runner
/// is known.
#[test]
fn only_runner_pauses() {
    let mut setup = setup(1, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    assert_whole(setup.begin("a"));
    assert!(setup.runner.disconnected().is_empty());
    setup.until_idle();
}

/// Guards against a stream that is aborted because its runner is silent while the other
/// runner has no free slot.
#[test]
fn other_runner_full() {
    let mut setup = setup(2, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    let running = setup.begin("a");
    setup.join(0);
    assert_whole(running);
    assert_eq!(arrivals(&setup.other, "a"), 0);
    assert!(setup.runner.disconnected().is_empty());
    setup.until_idle();
}

/// Guards against a silent stream that stays at its runner when another runner has a free slot
/// later.
#[test]
fn slot_free_later() {
    let mut setup = setup(3, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, FOREVER, 6)]);
    setup.other.queue_acts([Act::Events(4, 6)]);
    let running = setup.begin("a");
    setup.join(0);
    thread::sleep(Duration::from_millis(PAUSE));
    assert_eq!(arrivals(&setup.other, "a"), 0);
    setup.join(16);
    assert_whole(running);
    prepared::until(|| setup.runner.disconnected() == ["a"]);
    setup.until_idle();
}

/// Guards against a stream that may not be resumed but is aborted before its deadline, or
/// runs twice.
#[test]
fn unresumable_stream_cut() {
    let mut setup = setup(4, |route| route["resumable"] = json!(false));
    setup.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    let running = setup.begin("a");
    setup.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&setup.other, "a"), 0);
    setup.until_idle();
}

/// Guards against events that are lost or duplicated when a silent stream is resumed at
/// another runner, and against a connection to the silent runner that is not closed.
#[test]
fn silent_stream_moves() {
    let mut setup = setup(5, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, FOREVER, 6)]);
    setup.other.queue_acts([Act::Events(4, 6)]);
    let running = setup.begin("a");
    setup.join(16);
    assert_whole(running);
    let got = setup.other.requests();
    assert_eq!(got[0].header("last-event-id"), Some("3"));
    prepared::until(|| setup.runner.disconnected() == ["a"]);
    setup.until_idle();
}

/// Guards against a silent runner that is given up before the next one has sent an event, and
/// against two runs mixed in one answer.
#[test]
fn first_runner_resumes() {
    let mut setup = setup(6, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    setup.other.queue_acts([Act::Pause(4, 3, FOREVER, 6)]);
    let running = setup.begin("a");
    setup.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&setup.other, "a"), 1);
    prepared::until(|| setup.other.disconnected() == ["a"]);
    assert!(setup.runner.disconnected().is_empty());
    setup.until_idle();
}

/// Guards against a stream that is lost because the second runner refuses it while the first
/// is silent.
#[test]
fn next_runner_refuses() {
    let mut setup = setup(7, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    setup.other.queue_acts([Act::NotRun]);
    let running = setup.begin("a");
    setup.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&setup.other, "a"), 1);
    assert!(setup.runner.disconnected().is_empty());
    setup.until_idle();
}

/// Guards against a stream that is lost because the second runner breaks off while the first
/// is silent.
#[test]
fn next_runner_breaks() {
    let mut setup = setup(8, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    setup.other.queue_acts([Act::Reset]);
    let running = setup.begin("a");
    setup.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&setup.other, "a"), 1);
    assert!(setup.runner.disconnected().is_empty());
    setup.until_idle();
}

/// Guards against the answer of the second runner being dropped because the silent runner
/// breaks off before it arrives.
#[test]
fn silent_runner_breaks() {
    let mut setup = setup(9, unchanged);
    setup.runner.queue_acts([Act::PauseThenBreak(1, 3, PAUSE)]);
    setup.other.queue_acts([Act::Pause(4, 3, PAUSE, 6)]);
    let running = setup.begin("a");
    setup.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&setup.other, "a"), 1);
    assert!(setup.other.disconnected().is_empty());
    setup.until_idle();
}

/// Guards against the answer of the second runner being dropped because the silent runner
/// sends a part of an event.
#[test]
fn silent_runner_sends_part() {
    let mut setup = setup(14, unchanged);
    setup.runner.queue_acts([Act::PauseThenPart(1, 3, PAUSE)]);
    setup.other.queue_acts([Act::Pause(4, 3, PAUSE, 6)]);
    let running = setup.begin("a");
    setup.join(16);
    assert_whole(running);
    prepared::until(|| setup.runner.disconnected() == ["a"]);
    assert!(setup.other.disconnected().is_empty());
    setup.until_idle();
}

/// Guards against a stream that is aborted when no further attempt is allowed.
#[test]
fn attempts_used_up() {
    let mut setup = setup(10, |route| route["max_attempts"] = json!(1));
    setup.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    let running = setup.begin("a");
    setup.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&setup.other, "a"), 0);
    setup.until_idle();
}

/// Guards against a stream that is aborted when the budget of repeated sends is used up, and
/// against sends beyond the budget.
#[test]
fn budget_used_up() {
    let mut setup = setup(11, unchanged);
    setup.join(16);
    prepared::until(|| {
        send(setup.entry.callers, &request("GET", "/safe/1", "known", ""));
        arrivals(&setup.other, "known") > 0
    });
    let mut sent = 0;
    prepared::until(|| {
        // Each request that both runners refuse uses one repeated send.
        for runner in [&setup.runner, &setup.other] {
            runner.clear_acts();
            runner.queue_acts([Act::NotRun]);
        }
        let id = format!("refused-{sent}");
        sent += 1;
        send(setup.entry.callers, &request("GET", "/safe/1", &id, ""));
        arrivals(&setup.runner, &id) + arrivals(&setup.other, &id) == 1
    });
    assert!(sent > 1, "no repeated send was allowed");
    for runner in [&setup.runner, &setup.other] {
        runner.clear_acts();
        runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    }
    let addr = setup.entry.callers;
    let running = thread::spawn(move || send(addr, &request("POST", "/stream/1", "a", "b")));
    assert_whole(running);
    assert_eq!(
        arrivals(&setup.runner, "a") + arrivals(&setup.other, "a"),
        1
    );
    setup.until_idle();
}

/// Guards against a stream that continues after its deadline, or that looks whole when it was
/// aborted.
#[test]
fn deadline_ends_silence() {
    let mut setup = setup(12, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, FOREVER, 6)]);
    let answer = setup.begin("a").join().unwrap().expect("an answer");
    assert!(!answer.whole);
    assert_eq!(numbers(&answer), [1, 2, 3]);
    prepared::until(|| setup.runner.disconnected() == ["a"]);
    prepared::until(|| setup.entry.log().contains("stream is cut at its deadline"));
    setup.until_idle();
}

/// Guards against runners that keep working for a caller that has left.
#[test]
fn caller_leaves_both() {
    let mut setup = setup(13, unchanged);
    setup.runner.queue_acts([Act::Pause(1, 3, FOREVER, 6)]);
    setup.other.queue_acts([Act::Pause(4, 3, FOREVER, 6)]);
    let mut stream = TcpStream::connect(setup.entry.callers).unwrap();
    let text = request("POST", "/stream/1", "a", "b");
    stream.write_all(text.as_bytes()).unwrap();
    assert!(stream.read(&mut [0; 16]).unwrap() > 0);
    setup.join(16);
    prepared::until(|| arrivals(&setup.other, "a") == 1);
    drop(stream);
    prepared::until(|| setup.entry.log().contains("caller left its stream"));
    prepared::until(|| setup.runner.disconnected() == ["a"] && setup.other.disconnected() == ["a"]);
    setup.until_idle();
}

/// Steps through a silence until the stream is aborted. Returns the times of the searches and
/// of the abort.
fn replay(can_move: impl Fn(u64) -> bool) -> (Vec<u64>, u64) {
    let mut silence = Silence {
        last_read: Millis(1_000),
        last_search: None,
        deadline: Millis(3_100),
    };
    let mut searches = Vec::new();
    let mut now = silence.last_read;
    loop {
        match silence.step(now, can_move(now.0)) {
            Step::Read(span) => {
                assert!(span > Millis(0), "no progress at {now:?}");
                now = now.plus(span);
            }
            Step::Search => {
                searches.push(now.0);
                silence.last_search = Some(now);
            }
            Step::Abort => return (searches, now.0),
        }
    }
}

/// Guards against a stream that is aborted before its deadline because no search finds a free
/// slot, while the passes of full upstreams take longer than usual.
#[test]
fn searches_end_at_the_deadline() {
    let (searches, aborted_at) = replay(|_| true);
    assert_eq!(searches, [1_900, 2_150, 2_400, 2_650, 2_900]);
    assert_eq!(aborted_at, 3_100);
    assert_eq!(replay(|_| false), (Vec::new(), 3_100));
    // The only further attempt that the route allows is made at the second search.
    assert_eq!(replay(|now| now <= 2_150), (vec![1_900, 2_150], 3_100));
}
