//! `explain` names the route, pool and upstreams of a request.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod support;

use chervilquay::cmd::explain::Explanation;
use chervilquay::cmd::explain::Request;
use chervilquay::cmd::explain::explain;
use chervilquay::table::TableSet;

fn explain_example(request: Request<'_>) -> Explanation {
    let read = |name: &str| support::text(&format!("examples/{name}.yaml"));
    explain(
        &TableSet::parse(&read("routes"), &read("pools")).unwrap(),
        request,
    )
}

/// A request that the route of the example tables for completions matches.
const COMPLETION: Request<'static> = Request {
    method: "POST",
    path: "/v1/completions",
    headers: &[],
    organisation: "harbour-club",
    zone: "abuja-a",
};

// Guards against an explanation that leaves out a route, an upstream or a reason.
#[test]
fn answer_is_explained() {
    let text = serde_json::to_string_pretty(&explain_example(COMPLETION)).unwrap();
    insta::assert_snapshot!(text);
}

// Guards against header names that are compared case-sensitively, so that a route does not match.
#[test]
fn header_selects_route() {
    let headers = [("x-work".to_string(), "session-plan".to_string())];
    let found = explain_example(Request {
        headers: &headers,
        ..COMPLETION
    });
    assert_eq!(found.route.as_deref(), Some("plans"));
}

// Guards against an upstream of another zone that comes before one of the entry's zone.
#[test]
fn own_zone_is_first() {
    let found = explain_example(Request {
        path: "/bookings/17",
        ..COMPLETION
    });
    assert_eq!(found.candidates[0].name, "booking-2");
    assert_eq!(found.candidates.len(), 2);
}

// Guards against a request without a route that is given candidates.
#[test]
fn unmatched_request_has_none() {
    let found = explain_example(Request {
        path: "/bookingsheet",
        ..COMPLETION
    });
    assert_eq!(found.route, None);
    assert!(found.candidates.is_empty());
    assert_eq!(found.other_routes.len(), 3);
}
