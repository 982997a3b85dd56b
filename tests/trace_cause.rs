//! The outcome of a request and its cause are found from the logs alone.

use chervilquay::report::trace;

const LOG: &str = r#"
  3.1 front-a-1 {"msg":"retry: send brought no answer","ts":"2026-01-01T00:00:02Z","process":"front-a-1","reason":"no room","upstream":"i-1","sends":1,"request":"r1"}
{"msg":"route: request not answered","ts":"2026-01-01T00:00:03Z","process":"front-a-1","code":4008,"detail":"no answer within 900 ms","run":"unknown","sends":2,"request":"r1"}
{"msg":"route: request refused","ts":"2026-01-01T00:00:04Z","process":"front-a-2","code":4024,"detail":"route r at version 7","request":"r2"}
{"msg":"route: request not answered","ts":"2026-01-01T00:00:05Z","process":"front-a-2","code":4005,"detail":"first event in 700 ms, slack Some(385.0)","sends":0,"request":"r3"}
{"msg":"route: stream answered","ts":"2026-01-01T00:00:06Z","process":"front-a-2","late":true,"sends":1,"request":"r4"}
{"msg":"route: request not answered","ts":"2026-01-01T00:00:07Z","process":"front-a-1","code":4007,"detail":"no time is left","sends":1,"request":"r5"}
not a record
"#;

// Guards against a request whose outcome cannot be found in the logs.
#[test]
fn each_cause_is_found() {
    let expected = [
        (
            "r1",
            "upstream failed while it ran the request: no answer within 900 ms; after i-1 (no room)",
        ),
        (
            "r2",
            "key belongs to no organisation: route r at version 7; 0 sends",
        ),
        (
            "r3",
            "system is overloaded: first event in 700 ms, slack Some(385.0); 0 sends",
        ),
        ("r4", "answered late after 1 sends"),
        ("r5", "deadline has passed: no time is left; 1 sends"),
    ];
    for (request, cause) in expected {
        assert_eq!(
            trace::cause(&trace::lines(LOG, request)),
            cause,
            "{request}"
        );
    }
    assert!(trace::lines(LOG, "r9").is_empty());
}

// Guards against lines of several processes that are not in order of time.
#[test]
fn lines_are_in_order_of_time() {
    let lines = trace::lines(LOG, "r1");
    assert_eq!(lines.len(), 2);
    assert!(lines[0].timestamp < lines[1].timestamp);
}
