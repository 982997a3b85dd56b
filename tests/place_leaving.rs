//! Upstreams that announce in their answers that they are leaving.

mod support;

use std::net::Ipv4Addr;

use chervilquay::arena::Key;
use chervilquay::member::registry::Registration;
use chervilquay::route::notice::Notice;
use chervilquay::route::notice::Notices;
use chervilquay::route::notice::StartId;
use chervilquay::route::placement::Call;
use chervilquay::route::placement::Choice;
use chervilquay::route::placement::Placer;
use chervilquay::route::recovery::Outcome;
use chervilquay::route::target::RunnerStatus;
use chervilquay::time::Millis;
use support::placing;
use support::prepared;
use support::prepared::Act;
use support::prepared::Entry;
use support::prepared::Runner;
use support::prepared::Store;
use support::prepared::request;

const LEAVING: (&str, &str) = ("Server-Leaving", "1");
const NOT_RUN: (&str, &str) = ("X-Not-Run", "1");
const NOW: Millis = Millis(1_000);
const EVENT: &str = "id: 1\ndata: e1\n\n";

fn send(placer: &mut Placer) -> Option<Key<Call>> {
    let Choice::Send { target, first_ms } = placer.choose(NOW, &placing::profile(), &[]) else {
        return None;
    };
    Some(placer.on_sent(NOW, target, &placing::profile(), first_ms))
}

fn set(placer: &mut Placer, members: &[Registration]) {
    placer.set_members(members, &placing::routing());
}

/// Guards against requests to an upstream that has announced that it is leaving, after
/// later reports about the same incarnation: the registry lists it as ready, removes it
/// and lists it again, and its agent sends a status report.
#[test]
fn later_reports_do_not_bring_it_back() {
    let mut placer = placing::placer(&[placing::member("a", 1)]);
    let call = send(&mut placer).expect("a is open");
    assert_eq!(placer.on_leaving(call).as_deref(), Some("a"));
    assert_eq!(placer.on_leaving(call), None, "it is known already");
    assert_eq!(send(&mut placer), None);
    set(&mut placer, &[placing::member("a", 1)]);
    let status = RunnerStatus {
        holdings: Vec::new(),
        loading: false,
        calls: 0,
        pace: 1.0,
        measured_at: NOW,
        reload_at: None,
    };
    placer.on_status("a", status);
    assert_eq!(send(&mut placer), None);
    // Requests that run there are not interrupted.
    assert_eq!(placer.in_flight(), 1);
    placer.on_ended(NOW, call, Outcome::Done);
    set(&mut placer, &[]);
    assert_eq!(placer.iter().count(), 0);
    set(&mut placer, &[placing::member("a", 1)]);
    assert_eq!(send(&mut placer), None, "its registration came back");
}

/// Guards against a restarted runner that gets no requests because of what its previous
/// incarnation announced, also in an answer that arrives after the restart.
#[test]
fn another_start_is_open() {
    let mut placer = placing::placer(&[placing::member("a", 1)]);
    let early = send(&mut placer).expect("a is open");
    let late = send(&mut placer).expect("a is open");
    placer.on_leaving(early);
    set(&mut placer, &[placing::member("a", 2)]);
    let next = send(&mut placer).expect("another start is open");
    placer.on_leaving(late);
    assert!(send(&mut placer).is_some());
    for call in [early, late, next] {
        placer.on_ended(NOW, call, Outcome::Done);
    }
    set(&mut placer, &[placing::member("a", 1)]);
    assert_eq!(send(&mut placer), None, "the earlier start left");
}

/// Guards against memory that grows with each runner that leaves, and against notices of
/// the latest runners that are dropped.
#[test]
fn remembered_starts_are_bounded() {
    let mut notices = Notices::default();
    let start = |started| StartId {
        id_hash: 7,
        started,
    };
    for born in 0..10_000 {
        let notice = Notice {
            leaving: true,
            ..Notice::default()
        };
        notices.set(start(born), notice);
    }
    let held = (0..10_000).filter(|born| notices.get(start(*born)).leaving);
    let held: Vec<u64> = held.collect();
    assert_eq!(held, Vec::from_iter(9_488..10_000));
}

/// Guards against new requests to a runner that has announced in any kind of answer that
/// it is leaving, while the registry still lists it as ready.
#[test]
fn answer_that_says_leaving_is_the_last() {
    let ip = Ipv4Addr::new(127, 0, 9, 1);
    let (store, addr) = Store::start(ip);
    store.put("op/config", &prepared::config(3));
    let (stays, addr_stays) = Runner::start(ip);
    stays.queue_acts(vec![Act::Respond(200, &[], EVENT); 1_000]);
    store.put("servers/i-0", &prepared::registered(addr_stays));
    let answers = [
        ("safe", Act::Respond(200, &[LEAVING], "whole")),
        ("safe", Act::Respond(500, &[LEAVING], "")),
        ("once", Act::Respond(503, &[LEAVING, NOT_RUN], "")),
        ("once", Act::Respond(421, &[LEAVING, NOT_RUN], "")),
        ("stream", Act::Respond(200, &[LEAVING], EVENT)),
    ];
    let mut leavers = Vec::new();
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    let post = |route: &str| {
        let text = request("POST", &format!("/{route}/1"), "a", "b");
        prepared::send(entry.callers, &text).expect("an answer")
    };
    for (number, (route, act)) in (1..).zip(answers) {
        let (runner, addr) = Runner::start(ip);
        runner.queue_acts([act]);
        let key = format!("servers/i-{number}");
        store.put(&key, &prepared::registered(addr));
        prepared::until(|| {
            post(route);
            !runner.requests().is_empty()
        });
        // The registry lists the same incarnation again.
        store.put(&key, &prepared::registered(addr));
        leavers.push((route, runner));
    }
    let routes = ["safe", "once", "stream"].repeat(20);
    let statuses: Vec<u16> = routes.iter().map(|route| post(route).status()).collect();
    let got = leavers
        .iter()
        .map(|(route, r)| (*route, r.requests().len()));
    let got: Vec<(&str, usize)> = got.collect();
    assert!(got.iter().all(|(_, got)| *got == 1), "{got:?}");
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    assert_eq!(entry.log().matches("is leaving").count(), 5);
}
