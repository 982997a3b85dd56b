//! The whole path of a request, with each daemon as a process of its own.

mod support;

use support::system::System;
use support::system::http;

// Guards against a break anywhere on the path from caller through entry and agent to
// the engine and back.
#[test]
fn streamed_answer() {
    let system = System::start("whole-path");
    system.until_serving();
    let body = r#"{"prompt":"lanes for ten","max_tokens":5,"stream":true}"#;
    for entry in &system.entries {
        let (status, head, body) = http(entry.http, "POST", "/v1/completions", &[], body).unwrap();
        assert_eq!(status, 200, "{body}");
        assert!(head.contains("text/event-stream"), "{head}");
        for index in 0..5 {
            let token = chervilquay::standin::engine::token("lanes for ten", index);
            assert!(body.contains(&token), "{body}");
        }
        assert!(body.contains("data: [DONE]"), "{body}");
    }
}

// Guards against an answer to an unknown route without the result code.
#[test]
fn unknown_route() {
    let system = System::start("unknown-route");
    system.until_serving();
    let (status, head, body) = http(system.entries[0].http, "GET", "/nowhere", &[], "").unwrap();
    assert_eq!(status, 404);
    assert!(head.contains("application/problem+json"), "{head}");
    assert!(body.contains("\"code\":4001"), "{body}");
    assert!(body.contains("\"run\":\"not_run\""), "{body}");
}
