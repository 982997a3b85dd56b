//! Streams whose runner is silent for a time, with the real entry process and
//! stand-ins for store and runners.

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
use support::prepared::request;
use support::prepared::send;

/// Pause that is longer than the silence after which another runner is asked,
/// in milliseconds.
const PAUSE: u64 = 1_800;

/// Pause that outlasts every deadline, in milliseconds.
const FOREVER: u64 = 20_000;

struct World {
    store: Store,
    runner: Runner,
    other: Runner,
    second: SocketAddr,
    entry: Entry,
}

/// An entry that knows the first of two runners.
fn world(last: u8, change: impl Fn(&mut Value)) -> World {
    let ip = Ipv4Addr::new(127, 0, 11, last);
    let (store, addr) = Store::start(ip);
    let (runner, first) = Runner::start(ip);
    let (other, second) = Runner::start(ip);
    let mut config = prepared::config(3);
    change(&mut config["routes"][2]);
    store.put("op/config", &config);
    store.put("servers/i-1", &prepared::registered(first));
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    World {
        store,
        runner,
        other,
        second,
        entry,
    }
}

/// The stream's route as it is: it may be resumed, at two runners.
fn as_it_is(_: &mut Value) {}

impl World {
    /// Sends a stream's request, and waits until the first runner has it.
    fn begin(&self, id: &'static str) -> JoinHandle<Option<Message>> {
        let addr = self.entry.callers;
        let running = thread::spawn(move || send(addr, &request("POST", "/stream/1", id, "b")));
        prepared::until(|| arrivals(&self.runner, id) == 1);
        running
    }

    /// Registers the second runner with this many places.
    fn join(&self, slots: u32) {
        let mut doc = prepared::registered(self.second);
        doc["slots"] = json!(slots);
        self.store.put("servers/i-2", &doc);
    }

    /// Guards against a call that is counted for ever, or was counted off twice.
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

fn numbers(answer: &Message) -> Vec<u64> {
    let text = answer.text();
    let ids = text.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

fn assert_whole(running: JoinHandle<Option<Message>>) {
    let answer = running.join().ok().flatten().expect("an answer");
    let numbers = numbers(&answer);
    assert!(answer.whole, "cut after {numbers:?}");
    assert_eq!(numbers, [1, 2, 3, 4, 5, 6]);
}

/// Guards against a stream that is cut for its runner's silence while no other
/// runner is known.
#[test]
fn only_runner_pauses() {
    let mut world = world(1, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    assert_whole(world.begin("a"));
    assert!(world.runner.disconnected().is_empty());
    world.until_idle();
}

/// Guards against a stream that is cut for its runner's silence while the
/// other runner has no place.
#[test]
fn other_runner_full() {
    let mut world = world(2, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    let running = world.begin("a");
    world.join(0);
    assert_whole(running);
    assert_eq!(arrivals(&world.other, "a"), 0);
    assert!(world.runner.disconnected().is_empty());
    world.until_idle();
}

/// Guards against a silent stream that is bound to its runner when a place
/// elsewhere becomes free later.
#[test]
fn place_free_later() {
    let mut world = world(3, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, FOREVER, 6)]);
    world.other.queue_acts([Act::Events(4, 6)]);
    let running = world.begin("a");
    world.join(0);
    thread::sleep(Duration::from_millis(PAUSE));
    assert_eq!(arrivals(&world.other, "a"), 0);
    world.join(16);
    assert_whole(running);
    prepared::until(|| world.runner.disconnected() == ["a"]);
    world.until_idle();
}

/// Guards against a stream that may not be resumed and is cut before its
/// deadline, or runs twice.
#[test]
fn unresumable_stream_cut() {
    let mut world = world(4, |route| route["resumable"] = json!(false));
    world.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    let running = world.begin("a");
    world.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&world.other, "a"), 0);
    world.until_idle();
}

/// Guards against events that are lost or come twice when a silent stream goes
/// on elsewhere, and against a silent runner that is never left.
#[test]
fn silent_stream_moves() {
    let mut world = world(5, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, FOREVER, 6)]);
    world.other.queue_acts([Act::Events(4, 6)]);
    let running = world.begin("a");
    world.join(16);
    assert_whole(running);
    let got = world.other.requests();
    assert_eq!(got[0].header("last-event-id"), Some("3"));
    prepared::until(|| world.runner.disconnected() == ["a"]);
    world.until_idle();
}

/// Guards against a silent runner that is left before the next one has an
/// event, and against two runs mixed in one answer.
#[test]
fn first_speaks_again() {
    let mut world = world(6, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    world.other.queue_acts([Act::Pause(4, 3, FOREVER, 6)]);
    let running = world.begin("a");
    world.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&world.other, "a"), 1);
    prepared::until(|| world.other.disconnected() == ["a"]);
    assert!(world.runner.disconnected().is_empty());
    world.until_idle();
}

/// Guards against a stream that is lost because the runner asked beside the
/// silent one refuses it.
#[test]
fn next_runner_refuses() {
    let mut world = world(7, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    world.other.queue_acts([Act::NotRun]);
    let running = world.begin("a");
    world.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&world.other, "a"), 1);
    assert!(world.runner.disconnected().is_empty());
    world.until_idle();
}

/// Guards against a stream that is lost because the runner asked beside the
/// silent one breaks off.
#[test]
fn next_runner_breaks() {
    let mut world = world(8, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    world.other.queue_acts([Act::Reset]);
    let running = world.begin("a");
    world.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&world.other, "a"), 1);
    assert!(world.runner.disconnected().is_empty());
    world.until_idle();
}

/// Guards against a second answer that is dropped because the silent runner
/// breaks off while it is on its way.
#[test]
fn silent_runner_breaks() {
    let mut world = world(9, as_it_is);
    world.runner.queue_acts([Act::PauseThenBreak(1, 3, PAUSE)]);
    world.other.queue_acts([Act::Pause(4, 3, PAUSE, 6)]);
    let running = world.begin("a");
    world.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&world.other, "a"), 1);
    assert!(world.other.disconnected().is_empty());
    world.until_idle();
}

/// Guards against an answer that is dropped because the silent runner sends a
/// part of an event.
#[test]
fn silent_runner_stutters() {
    let mut world = world(14, as_it_is);
    world.runner.queue_acts([Act::PauseThenPart(1, 3, PAUSE)]);
    world.other.queue_acts([Act::Pause(4, 3, PAUSE, 6)]);
    let running = world.begin("a");
    world.join(16);
    assert_whole(running);
    prepared::until(|| world.runner.disconnected() == ["a"]);
    assert!(world.other.disconnected().is_empty());
    world.until_idle();
}

/// Guards against a stream that is cut when it may run at no other runner.
#[test]
fn attempts_used_up() {
    let mut world = world(10, |route| route["max_attempts"] = json!(1));
    world.runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    let running = world.begin("a");
    world.join(16);
    assert_whole(running);
    assert_eq!(arrivals(&world.other, "a"), 0);
    world.until_idle();
}

/// Guards against a stream that is cut when the budget of repeated sends is
/// used up, and against sends beyond the budget.
#[test]
fn budget_used_up() {
    let mut world = world(11, as_it_is);
    world.join(16);
    prepared::until(|| {
        send(world.entry.callers, &request("GET", "/safe/1", "known", ""));
        arrivals(&world.other, "known") > 0
    });
    let mut sent = 0;
    prepared::until(|| {
        // Each request that both refuse takes one repeated send.
        for runner in [&world.runner, &world.other] {
            runner.clear_acts();
            runner.queue_acts([Act::NotRun]);
        }
        let id = format!("refused-{sent}");
        sent += 1;
        send(world.entry.callers, &request("GET", "/safe/1", &id, ""));
        arrivals(&world.runner, &id) + arrivals(&world.other, &id) == 1
    });
    assert!(sent > 1, "no repeated send was allowed");
    for runner in [&world.runner, &world.other] {
        runner.clear_acts();
        runner.queue_acts([Act::Pause(1, 3, PAUSE, 6)]);
    }
    let addr = world.entry.callers;
    let running = thread::spawn(move || send(addr, &request("POST", "/stream/1", "a", "b")));
    assert_whole(running);
    assert_eq!(
        arrivals(&world.runner, "a") + arrivals(&world.other, "a"),
        1
    );
    world.until_idle();
}

/// Guards against a stream that is kept beyond its deadline, or looks whole.
#[test]
fn deadline_ends_silence() {
    let mut world = world(12, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, FOREVER, 6)]);
    let answer = world.begin("a").join().unwrap().expect("an answer");
    assert!(!answer.whole);
    assert_eq!(numbers(&answer), [1, 2, 3]);
    prepared::until(|| world.runner.disconnected() == ["a"]);
    prepared::until(|| world.entry.log().contains("stream is cut at its deadline"));
    world.until_idle();
}

/// Guards against runners that go on working for a caller that has left.
#[test]
fn caller_leaves_both() {
    let mut world = world(13, as_it_is);
    world.runner.queue_acts([Act::Pause(1, 3, FOREVER, 6)]);
    world.other.queue_acts([Act::Pause(4, 3, FOREVER, 6)]);
    let mut stream = TcpStream::connect(world.entry.callers).unwrap();
    let text = request("POST", "/stream/1", "a", "b");
    stream.write_all(text.as_bytes()).unwrap();
    assert!(stream.read(&mut [0; 16]).unwrap() > 0);
    world.join(16);
    prepared::until(|| arrivals(&world.other, "a") == 1);
    drop(stream);
    prepared::until(|| world.entry.log().contains("caller left its stream"));
    prepared::until(|| world.runner.disconnected() == ["a"] && world.other.disconnected() == ["a"]);
    world.until_idle();
}

/// Follows a silence to its end; gives the times of the searches and of the cut.
fn replay(movable: impl Fn(u64) -> bool) -> (Vec<u64>, u64) {
    let mut silence = Silence {
        last_read: Millis(1_000),
        last_search: None,
        deadline: Millis(3_100),
    };
    let mut sought = Vec::new();
    let mut now = silence.last_read;
    loop {
        match silence.step(now, movable(now.0)) {
            Step::Read(span) => {
                assert!(span > Millis(0), "no progress at {now:?}");
                now = now.plus(span);
            }
            Step::Search => {
                sought.push(now.0);
                silence.last_search = Some(now);
            }
            Step::Abort => return (sought, now.0),
        }
    }
}

/// Replays passes of full upstreams that last longer than usual: guards
/// against a stream that is cut because no search finds a place.
#[test]
fn fruitless_search_ends() {
    let (sought, cut) = replay(|_| true);
    assert_eq!(sought, [1_900, 2_150, 2_400, 2_650, 2_900]);
    assert_eq!(cut, 3_100);
    assert_eq!(replay(|_| false), (Vec::new(), 3_100));
    // The one send that the route allowed was made at the second search.
    assert_eq!(replay(|now| now <= 2_150), (vec![1_900, 2_150], 3_100));
}
