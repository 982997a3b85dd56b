//! `explain`: route, pool and upstreams of a request.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod support;

use chervilquay::cmd::explain::Explanation;
use chervilquay::cmd::explain::Request;
use chervilquay::cmd::explain::explain;
use chervilquay::table::TableSet;

fn ask(request: Request<'_>) -> Explanation {
    let read = |name: &str| support::text(&format!("examples/{name}.yaml"));
    explain(
        &TableSet::parse(&read("routes"), &read("pools")).unwrap(),
        request,
    )
}

const ANSWER: Request<'static> = Request {
    method: "POST",
    path: "/v1/completions",
    headers: &[],
    organisation: "harbour-club",
    zone: "abuja-a",
};

// Guards against an explanation that leaves out a route, an upstream or a reason.
#[test]
fn answer_is_explained() {
    let text = serde_json::to_string_pretty(&ask(ANSWER)).unwrap();
    insta::assert_snapshot!(text);
}

// Guards against headers that are compared by the case of their names.
#[test]
fn header_selects_route() {
    let headers = [("x-work".to_string(), "session-plan".to_string())];
    let found = ask(Request {
        headers: &headers,
        ..ANSWER
    });
    assert_eq!(found.route.as_deref(), Some("plans"));
}

// Guards against an upstream of another zone that stands before one of the entry's zone.
#[test]
fn own_zone_is_first() {
    let found = ask(Request {
        path: "/bookings/17",
        ..ANSWER
    });
    assert_eq!(found.candidates[0].name, "booking-2");
    assert_eq!(found.candidates.len(), 2);
}

// Guards against a request without a route that is given candidates.
#[test]
fn unmatched_request_has_none() {
    let found = ask(Request {
        path: "/bookingsheet",
        ..ANSWER
    });
    assert_eq!(found.route, None);
    assert!(found.candidates.is_empty());
    assert_eq!(found.other_routes.len(), 3);
}
