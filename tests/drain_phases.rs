//! Drain: reasons to leave, phases of a stop, and its limit in time.

use chervilquay::gate::Drain;
use chervilquay::gate::Reason;
use chervilquay::gate::drain::Action;
use chervilquay::gate::drain::Event;
use chervilquay::gate::drain::HANDOVER_TIME;
use chervilquay::gate::drain::Phase;
use chervilquay::prelude::*;

const DRAIN_TIME: Millis = Millis(30_000);

fn send_events(drain: &mut Drain, now: u64, events: &[Event]) -> Vec<Action> {
    let mut out = Vec::new();
    for event in events {
        drain.on_event(Millis(now), *event, &mut out);
    }
    out
}

// Guards against a drain that ends while one of its reasons still holds.
#[test]
fn reasons_add_up() {
    let mut drain = Drain::new(DRAIN_TIME);
    let out = send_events(&mut drain, 0, &[Event::Table(true), Event::List(true)]);
    assert_eq!(out, [Action::Refuse]);
    assert_eq!(drain.reason(), Some(Reason::Table));
    assert!(send_events(&mut drain, 1, &[Event::Table(false)]).is_empty());
    assert_eq!(drain.reason(), Some(Reason::List));
    let out = send_events(&mut drain, 2, &[Event::List(false)]);
    assert_eq!(out, [Action::Serve]);
    assert_eq!(drain.phase(), Phase::Serving);
}

// Guards against a table drain that interrupts running work or ends the process.
#[test]
fn table_drain_waits() {
    let mut drain = Drain::new(DRAIN_TIME);
    send_events(&mut drain, 0, &[Event::Work(1), Event::Table(true)]);
    assert!(send_events(&mut drain, 10 * DRAIN_TIME.0, &[]).is_empty());
    let mut out = Vec::new();
    drain.tick(Millis(10 * DRAIN_TIME.0), &mut out);
    assert_eq!((drain.phase(), out.len()), (Phase::Draining, 0));
    send_events(&mut drain, 10 * DRAIN_TIME.0, &[Event::Work(0)]);
    assert_eq!(drain.phase(), Phase::Drained);
}

// Guards against an exit before running work and uploads have ended.
#[test]
fn stop_hands_over() {
    let mut drain = Drain::new(DRAIN_TIME);
    send_events(&mut drain, 0, &[Event::Work(2), Event::Uploads(1)]);
    let out = send_events(&mut drain, 1, &[Event::Stop, Event::Table(true)]);
    assert_eq!(out, [Action::Refuse]);
    assert_eq!(drain.reason(), Some(Reason::Stop));
    assert!(send_events(&mut drain, 2, &[Event::Work(1)]).is_empty());
    assert!(send_events(&mut drain, 3, &[Event::Work(0)]).is_empty());
    assert_eq!(drain.phase(), Phase::HandOver);
    let out = send_events(&mut drain, 4, &[Event::Uploads(0)]);
    assert_eq!(out, [Action::Exit]);
    assert!(send_events(&mut drain, 5, &[Event::Stop]).is_empty());
}

// Guards against a stop that never ends: work that takes longer than the drain time is
// aborted once, and uploads get a limited time after it.
#[test]
fn stop_is_bounded() {
    let mut drain = Drain::new(DRAIN_TIME);
    send_events(
        &mut drain,
        0,
        &[Event::Work(1), Event::Uploads(1), Event::Stop],
    );
    let mut out = Vec::new();
    drain.tick(Millis(DRAIN_TIME.0 - 1), &mut out);
    assert!(out.is_empty());
    drain.tick(DRAIN_TIME, &mut out);
    assert_eq!(out, [Action::Abort]);
    drain.tick(Millis(DRAIN_TIME.0 + HANDOVER_TIME.0 - 1), &mut out);
    assert_eq!(out, [Action::Abort]);
    drain.tick(DRAIN_TIME.plus(HANDOVER_TIME), &mut out);
    assert_eq!(out, [Action::Abort, Action::Exit]);
}
