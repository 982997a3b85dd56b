//! Tickets: the text form is signed and names one incarnation of an agent.

use chervilquay::once::Secret;
use chervilquay::once::Ticket;
use chervilquay::prelude::*;

fn ticket(seed: u64) -> Ticket {
    let mut rng = fastrand::Rng::with_seed(seed);
    Ticket::mint("vie-1.a", 0x0192_0000_1234, Millis(1_700_000), &mut rng)
}

// Guards against a text form that loses a field, also for names with dots.
#[test]
fn text_round_trips() {
    let secret = Secret::new("s");
    for seed in 0..200 {
        let ticket = ticket(seed);
        let text = ticket.encode(&secret);
        assert!(text.len() < 200, "{text}");
        assert_eq!(Ticket::parse(&text, &secret), Ok(ticket));
    }
}

// Guards against a caller that forges or changes tickets. A ticket with any changed byte or
// with another secret must be refused.
#[test]
fn forgery_is_refused() {
    let secret = Secret::new("s");
    let text = ticket(1).encode(&secret);
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] = if bytes[at] == b'1' { b'2' } else { b'1' };
        let changed = String::from_utf8(bytes).unwrap();
        assert!(Ticket::parse(&changed, &secret).is_err(), "{changed}");
    }
    let other = Ticket::parse(&text, &Secret::new("t")).unwrap_err();
    assert_eq!(other.code, Code::TicketInvalid);
    let short = Ticket::parse(&text[..text.len() - 2], &secret).unwrap_err();
    assert_eq!(short.code, Code::TicketInvalid);
    // Numbers in upper case would be a second text of the same ticket.
    let upper = text.to_uppercase().replacen("CQ1", "cq1", 1);
    assert!(Ticket::parse(&upper, &secret).is_err());
}

// Guards against keys of callers that are taken for damaged tickets. Such callers get a
// ticket (428) and not a refusal.
#[test]
fn other_keys_need_tickets() {
    let secret = Secret::new("");
    let long = "x".repeat(10_000);
    for key in ["", "order-17", "cq1", "cq1.a.b", "018f.1.2.3.4.5", &long] {
        let error = Ticket::parse(key, &secret).unwrap_err();
        assert_eq!(error.code, Code::TicketRequired, "{key}");
    }
}
