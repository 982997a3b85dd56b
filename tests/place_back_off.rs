//! Upstreams that refuse requests and ask for no requests for some time.

mod support;

use std::net::Ipv4Addr;

use chervilquay::arena::Key;
use chervilquay::route::placement::Call;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Placer;
use chervilquay::route::recovery::Outcome;
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

/// Sends requests until the upstream with this id gets one, which it refuses with a
/// back-off of `span`.
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

/// Returns the upstreams that get at least one of many requests at this time.
fn chosen_upstreams(placer: &mut Placer, now: Millis) -> Vec<String> {
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

/// Guards against requests before the end of a back-off, a back-off that does not end,
/// and a shorter back-off that ends a longer one early.
#[test]
fn no_requests_before_the_end() {
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
        assert_eq!(
            chosen_upstreams(&mut placer, NOW.plus(Millis(after))),
            ["b"]
        );
    }
    assert_eq!(
        chosen_upstreams(&mut placer, NOW.plus(Millis(2_000))),
        ["a", "b"]
    );
}

/// Guards against requests to an upstream that is backing off when no other is left,
/// and against callers that come back before the first back-off ends.
#[test]
fn all_backing_off_is_refused_at_once() {
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
    assert_eq!(
        chosen_upstreams(&mut placer, NOW.plus(Millis(2_000))),
        ["a"]
    );
}

/// Guards against a last resort that prefers an upstream that is backing off to one that
/// cools down after failures.
#[test]
fn failed_upstream_is_preferred_to_backing_off() {
    let mut placer = placing::placer(&[placing::member("a", 1), placing::member("b", 1)]);
    back_off(&mut placer, NOW, "a", Millis(100));
    let (id, call) = send(&mut placer, NOW).expect("b is open");
    assert_eq!(id, "b");
    placer.on_ended(NOW, call, Outcome::Refused);
    // The cooldown of b lasts longer than the back-off of a.
    let (id, _) = send(&mut placer, NOW).expect("a last resort");
    assert_eq!(id, "b");
}

/// Guards against a back-off that is forgotten when the registration is removed and comes
/// back, and against one that is kept for another start of the upstream.
#[test]
fn back_off_belongs_to_one_start() {
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

/// Guards against requests to a runner during its back-off, also when no other runner is
/// left, and against a runner that gets no requests after its back-off.
#[test]
fn back_off_of_a_refusal_is_kept() {
    let ip = Ipv4Addr::new(127, 0, 9, 2);
    let (store, addr) = Store::start(ip);
    store.put("op/config", &prepared::config(3));
    let (overloaded, first) = Runner::start(ip);
    let (other, second) = Runner::start(ip);
    store.put("servers/i-1", &prepared::registered(first));
    store.put("servers/i-2", &prepared::registered(second));
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    let post =
        || prepared::send(entry.callers, &request("POST", "/once/1", "a", "b")).expect("an answer");
    overloaded.queue_acts([Act::Respond(503, &[SHORT, NOT_RUN], "")]);
    prepared::until(|| {
        post();
        overloaded.requests().len() > 1
    });
    // A refusal that does not state that the request was not run.
    overloaded.queue_acts([Act::Respond(503, &[LONG], "")]);
    let before = overloaded.requests().len();
    prepared::until(|| {
        post();
        overloaded.requests().len() > before
    });
    (0..40).for_each(|_| assert_eq!(post().status(), 200));
    let after = overloaded.requests().len() - before;
    assert_eq!(after, 1, "requests during the back-off");
    other.queue_acts([Act::Respond(503, &[LONG, NOT_RUN], "")]);
    let before = (overloaded.requests().len(), other.requests().len());
    for _ in 0..10 {
        let answer = post();
        let retry = answer.header("retry-after").map(str::parse::<f64>);
        assert_eq!(answer.status(), 503);
        // A caller comes back after a third of its 5 s at the latest.
        assert!(matches!(retry, Some(Ok(after)) if after > 1.6), "{retry:?}");
    }
    let counts = (overloaded.requests().len(), other.requests().len());
    assert_eq!(counts, (before.0, before.1 + 1));
}
