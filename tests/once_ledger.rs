//! The ledger: each case of a ticket that is presented, and the bounds of the ledger.

use chervilquay::once::Answer;
use chervilquay::once::Claim;
use chervilquay::once::Ledger;
use chervilquay::once::Limits;
use chervilquay::once::State;
use chervilquay::once::Ticket;
use chervilquay::prelude::*;

const START: Millis = Millis(1_000_000_000);
const FINGERPRINT: [u8; 32] = [1; 32];

fn ledger(limits: Limits) -> Ledger {
    let mut ledger = Ledger::new("a", 7, limits);
    ledger.tick(START);
    ledger
}

fn ticket(minted: Millis, nonce: u128) -> Ticket {
    Ticket {
        agent: "a".to_string(),
        incarnation: 7,
        minted,
        nonce,
    }
}

fn answer(size: usize) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(vec![1; size]),
    })
}

fn run(ledger: &mut Ledger, ticket: &Ticket, size: usize) {
    assert_eq!(ledger.claim(ticket.minted, ticket, FINGERPRINT), Claim::Run);
    assert!(ledger.dispatch(ticket));
    ledger.finish(ticket, answer(size));
}

// Guards against a second run of a call. A second send of it finds the running call, and the
// recorded outcome afterwards.
#[test]
fn second_send_attaches() {
    let mut ledger = ledger(Limits::default());
    let ticket = ticket(START, 1);
    assert_eq!(ledger.claim(START, &ticket, FINGERPRINT), Claim::Run);
    let again = ledger.claim(START, &ticket, FINGERPRINT);
    assert_eq!(again, Claim::Known(State::Waiting));
    assert!(ledger.dispatch(&ticket));
    let again = ledger.claim(START, &ticket, FINGERPRINT);
    assert_eq!(again, Claim::Known(State::Running));
    ledger.finish(&ticket, answer(3));
    let again = ledger.claim(START, &ticket, FINGERPRINT);
    assert_eq!(again, Claim::Known(State::Done(Some(answer(3)))));
    assert_eq!(ledger.claim(START, &ticket, [2; 32]), Claim::Mismatch);
}

// Guards against a call that is reported as not run although another incarnation may have
// run it.
#[test]
fn other_incarnations_are_unknown() {
    let mut ledger = ledger(Limits::default());
    let mut old = ticket(START, 1);
    old.incarnation = 6;
    let unknown = Claim::Unknown(Code::TicketExpired);
    assert_eq!(ledger.claim(START, &old, FINGERPRINT), unknown);
    assert_eq!(ledger.bar(START, &old, None), unknown);
    assert!(ledger.is_empty());
}

// Guards against a barred key whose call runs, and against barring a key whose call was
// dispatched.
#[test]
fn barred_keys_never_run() {
    let mut ledger = ledger(Limits::default());
    let (new, waiting, running) = (ticket(START, 1), ticket(START, 2), ticket(START, 3));
    let barred = Claim::Known(State::Barred);
    assert_eq!(ledger.bar(START, &new, None), barred);
    assert_eq!(ledger.claim(START, &new, FINGERPRINT), barred);
    ledger.claim(START, &waiting, FINGERPRINT);
    assert_eq!(ledger.bar(START, &waiting, Some(FINGERPRINT)), barred);
    assert!(!ledger.dispatch(&waiting));
    ledger.claim(START, &running, FINGERPRINT);
    assert!(ledger.dispatch(&running));
    let held = ledger.bar(START, &running, Some(FINGERPRINT));
    assert_eq!(held, Claim::Known(State::Running));
    ledger.lose(&running);
    let held = ledger.bar(START, &running, Some(FINGERPRINT));
    assert_eq!(held, Claim::Known(State::Lost));
}

// Guards against a validity period of tickets that is off by one at either end, and against
// a record that is removed while its key could be used again.
#[test]
fn expiry_is_exact() {
    let limits = Limits::default();
    let (ttl, skew) = (limits.ttl, limits.skew);
    let mut ledger = ledger(limits);
    let late = ticket(START.plus(skew).plus(Millis(1)), 1);
    let code = Claim::Unknown(Code::OutcomeUnknown);
    assert_eq!(ledger.bar(START, &late, None), code);
    let edge = ticket(START.plus(skew), 2);
    assert_eq!(ledger.claim(START, &edge, FINGERPRINT), Claim::Run);
    assert!(ledger.dispatch(&edge));
    ledger.finish(&edge, answer(1));
    let last = ticket(START, 3);
    let now = START.plus(ttl);
    assert_eq!(ledger.claim(now, &last, FINGERPRINT), Claim::Run);
    let old = Claim::Unknown(Code::TicketExpired);
    let now = now.plus(Millis(1));
    assert_eq!(ledger.claim(now, &ticket(START, 4), FINGERPRINT), old);
    assert_eq!(ledger.bar(now, &ticket(START, 4), None), old);
    let end = START.plus(limits.retention());
    ledger.tick(Millis(end.0 - 1));
    assert!(ledger.peek(&edge).is_some());
    ledger.tick(end);
    assert!(ledger.peek(&edge).is_none());
    assert_eq!(ledger.claim(end, &edge, FINGERPRINT), old);
}

// Guards against a full ledger that reports calls as not run, drops keys, or refuses known
// ones, and against a running key that is removed when it expires.
#[test]
fn full_ledger_is_unknown() {
    let limits = Limits {
        max_records: 2,
        ..Limits::default()
    };
    let mut ledger = ledger(limits);
    run(&mut ledger, &ticket(START, 1), 5);
    let running = ticket(START, 2);
    ledger.claim(START, &running, FINGERPRINT);
    assert!(ledger.dispatch(&running));
    let full = Claim::Unknown(Code::OutcomeUnknown);
    assert_eq!(ledger.bar(START, &ticket(START, 3), None), full);
    let known = ledger.claim(START, &running, FINGERPRINT);
    assert_eq!(known, Claim::Known(State::Running));
    let end = START.plus(limits.retention());
    ledger.tick(end);
    assert_eq!(ledger.len(), 1);
    assert_eq!(ledger.claim(end, &ticket(end, 3), FINGERPRINT), Claim::Run);
    ledger.finish(&running, answer(1));
}

// Guards against recorded answers that exceed their bound, and against a key that is removed
// together with its answer.
#[test]
fn answers_are_bounded() {
    let limits = Limits {
        max_bytes: 100,
        max_answer: 60,
        ..Limits::default()
    };
    let mut ledger = ledger(limits);
    for nonce in 1..=3 {
        run(&mut ledger, &ticket(START, nonce), 40);
        assert!(ledger.bytes() <= 100);
    }
    run(&mut ledger, &ticket(START, 4), 61);
    let state = |nonce| ledger.peek(&ticket(START, nonce)).cloned();
    assert_eq!(state(1), Some(State::Done(None)));
    assert!(matches!(state(2), Some(State::Done(Some(_)))));
    assert_eq!(state(4), Some(State::Done(None)));
    ledger.tick(START.plus(limits.retention()));
    assert_eq!((ledger.len(), ledger.bytes()), (0, 0));
}

// Guards against a ledger that fails, or accepts expired keys, when two clock readings reach
// it out of order.
#[test]
fn clock_readings_out_of_order() {
    let limits = Limits::default();
    let mut ledger = ledger(limits);
    let later = START.plus(limits.ttl).plus(Millis(1));
    ledger.tick(later);
    ledger.tick(START);
    let old = Claim::Unknown(Code::TicketExpired);
    assert_eq!(ledger.claim(START, &ticket(START, 1), FINGERPRINT), old);
}

// Guards against a second dispatch of one key that is not detected.
#[test]
#[should_panic(expected = "key dispatched in state")]
fn second_dispatch_panics() {
    let mut ledger = ledger(Limits::default());
    let ticket = ticket(START, 1);
    ledger.claim(START, &ticket, FINGERPRINT);
    ledger.dispatch(&ticket);
    ledger.dispatch(&ticket);
}
