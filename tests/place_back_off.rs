//! Upstreams that turn requests away and say for how long.

mod support;

use std::net::Ipv4Addr;

use chervilquay::arena::Key;
use chervilquay::route::placement::Call;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Outcome;
use chervilquay::route::placement::Placer;
use chervilquay::time::Millis;
use support::placing;
use support::prepared;
use support::prepared::Act;
use support::prepared::Entry;
use support::prepared::Runner;
use support::prepared::Store;
use support::prepared::request;

const NOW: Millis = Millis(1_000);
const NOT_RUN: (&str, &str) = ("X-Not-Run", "1");
const LONG: (&str, &str) = ("Retry-After", "30");
const SHORT: (&str, &str) = ("Retry-After", "0.4");

fn choose(placer: &mut Placer, now: Millis) -> Choice {
    placer.choose(now, &placing::profile(), &[])
}

fn send(placer: &mut Placer, now: Millis) -> Option<(String, Key<Call>)> {
    let Choice::Send { target, first_ms } = choose(placer, now) else {
        return None;
    };
    let id = placer.get(target).map(|t| t.registration.id.clone());
    Some((
        id?,
        placer.on_sent(now, target, &placing::profile(), first_ms),
    ))
}

/// Sends until the upstream with this id has a call, and ends it with that word.
fn back_off(placer: &mut Placer, now: Millis, id: &str, span: Millis) {
    loop {
        let (chosen, call) = send(placer, now).expect("an upstream is open");
        if chosen == id {
            placer.on_back_off(now, call, span);
            placer.on_ended(now, call, Outcome::Busy);
            return;
        }
        placer.on_ended(now, call, Outcome::Done);
    }
}

/// Upstreams that get any of many requests at this time.
fn open(placer: &mut Placer, now: Millis) -> Vec<String> {
    let mut chosen = Vec::new();
    for _ in 0..100 {
        let (id, call) = send(placer, now).expect("an upstream is open");
        placer.on_ended(now, call, Outcome::Done);
        chosen.push(id);
    }
    chosen.sort();
    chosen.dedup();
    chosen
}

/// Guards against requests before the end of the time, an end that never comes,
/// and a shorter word that ends a time early.
#[test]
fn none_before_the_end() {
    let mut placer = placing::placer(&[placing::member("a", 1), placing::member("b", 1)]);
    let (_, late) = loop {
        let sent = send(&mut placer, NOW).expect("an upstream is open");
        if sent.0 == "a" {
            break sent;
        }
        placer.on_ended(NOW, sent.1, Outcome::Done);
    };
    back_off(&mut placer, NOW, "a", Millis(2_000));
    // The answer to a request that was sent before.
    assert_eq!(placer.on_back_off(NOW, late, Millis(100)), None);
    placer.on_ended(NOW, late, Outcome::Busy);
    for after in [0, 101, 1_000, 1_999] {
        assert_eq!(open(&mut placer, NOW.plus(Millis(after))), ["b"]);
    }
    assert_eq!(open(&mut placer, NOW.plus(Millis(2_000))), ["a", "b"]);
}

/// Guards against the last resort being one that wants nothing, and against
/// callers that come back before the first of them has room.
#[test]
fn all_backing_off_refuse_at_once() {
    let mut placer = placing::placer(&[placing::member("a", 1), placing::member("b", 1)]);
    back_off(&mut placer, NOW, "a", Millis(2_000));
    back_off(&mut placer, NOW, "b", Millis(3_000));
    let now = NOW.plus(Millis(500));
    let tried: Vec<_> = ["a", "b"].iter().filter_map(|id| placer.find(id)).collect();
    for without in [&tried[..0], &tried[..1], &tried[..]] {
        let choice = placer.choose(now, &placing::profile(), without);
        let Choice::Overloaded {
            first_ms,
            retry_after,
        } = choice
        else {
            panic!("{choice:?}");
        };
        assert_eq!(retry_after, Millis(1_500));
        assert!(first_ms >= 1_500.0, "{first_ms}");
    }
    assert_eq!(open(&mut placer, NOW.plus(Millis(2_000))), ["a"]);
}

/// Guards against the last resort preferring one that wants nothing to one that
/// rests after failures.
#[test]
fn failed_one_goes_before_one_that_asked_for_none() {
    let mut placer = placing::placer(&[placing::member("a", 1), placing::member("b", 1)]);
    back_off(&mut placer, NOW, "a", Millis(100));
    let (id, call) = send(&mut placer, NOW).expect("b is open");
    assert_eq!(id, "b");
    placer.on_ended(NOW, call, Outcome::Refused);
    // The rest of b lasts longer than the time of a.
    let (id, _) = send(&mut placer, NOW).expect("a last resort");
    assert_eq!(id, "b");
}

/// Guards against forgetting the time when the entry is removed and comes back,
/// and against keeping it for another start.
#[test]
fn time_belongs_to_one_start() {
    let mut placer = placing::placer(&[placing::member("a", 1)]);
    back_off(&mut placer, NOW, "a", Millis(2_000));
    placer.set_members(&[], &placing::routing());
    assert_eq!(placer.iter().count(), 0);
    placer.set_members(&[placing::member("a", 1)], &placing::routing());
    assert!(matches!(
        choose(&mut placer, NOW),
        Choice::Overloaded { .. }
    ));
    placer.set_members(&[placing::member("a", 2)], &placing::routing());
    assert!(matches!(choose(&mut placer, NOW), Choice::Send { .. }));
}

/// Guards against requests for a runner within the time for which it wants
/// none, also when no other is left, and against one that stays out after it.
#[test]
fn refusal_with_a_time_is_kept() {
    let ip = Ipv4Addr::new(127, 0, 9, 2);
    let (store, addr) = Store::start(ip);
    store.put("op/config", &prepared::config(3));
    let (rests, first) = Runner::start(ip);
    let (other, second) = Runner::start(ip);
    store.put("servers/i-1", &prepared::registered(first));
    store.put("servers/i-2", &prepared::registered(second));
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    let post =
        || prepared::send(entry.callers, &request("POST", "/once/1", "a", "b")).expect("an answer");
    rests.queue_acts([Act::Respond(503, &[SHORT, NOT_RUN], "")]);
    prepared::until(|| {
        post();
        rests.requests().len() > 1
    });
    // Without the word that it did not run the request.
    rests.queue_acts([Act::Respond(503, &[LONG], "")]);
    let before = rests.requests().len();
    prepared::until(|| {
        post();
        rests.requests().len() > before
    });
    (0..40).for_each(|_| assert_eq!(post().status(), 200));
    let after = rests.requests().len() - before;
    assert_eq!(after, 1, "requests in the time in which it wants none");
    other.queue_acts([Act::Respond(503, &[LONG, NOT_RUN], "")]);
    let before = (rests.requests().len(), other.requests().len());
    for _ in 0..10 {
        let answer = post();
        let retry = answer.header("retry-after").map(str::parse::<f64>);
        assert_eq!(answer.status(), 503);
        // A caller comes back after a third of its 5 s at the latest.
        assert!(matches!(retry, Some(Ok(after)) if after > 1.6), "{retry:?}");
    }
    let got = (rests.requests().len(), other.requests().len());
    assert_eq!(got, (before.0, before.1 + 1));
}
