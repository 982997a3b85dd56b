//! Metrics that running processes serve to operators at `/metrics`.

mod support;

use support::system::System;
use support::system::http;
use support::system::until;

// Guards against a metric that is listed but never recorded by the processes.
#[test]
fn processes_serve_metrics() {
    let system = System::start("metrics");
    system.until_serving();
    let body = r#"{"prompt":"one","max_tokens":2,"stream":true}"#;
    let caller = system.entries[0].http;
    let (status, ..) = http(caller, "POST", "/v1/completions", &[], body).unwrap();
    assert_eq!(status, 200);
    let (status, ..) = http(caller, "GET", "/nowhere", &[], "").unwrap();
    assert_eq!(status, 404);
    let (_, _, entry) = http(system.entries[0].admin, "GET", "/metrics", &[], "").unwrap();
    for line in [
        "chervilquay_request_total{code=\"0\"} 1",
        "chervilquay_request_total{code=\"4001\"} 1",
        "chervilquay_request_time_ms_count 2",
        "chervilquay_table_revision 1",
        "chervilquay_table_refused 0",
        "chervilquay_request_running ",
        "chervilquay_process_uptime_ms ",
    ] {
        assert!(entry.contains(line), "{line} is not in {entry}");
    }
    // The agent records an attempt after it has sent the last frame.
    until("an attempt is recorded", || {
        let texts = system.agents.iter().map(|vm| {
            let (_, _, text) = http(vm.admin, "GET", "/metrics", &[], "").unwrap();
            text
        });
        let text: String = texts.collect();
        assert!(text.contains("chervilquay_weights_held_bytes "), "{text}");
        text.contains("chervilquay_attempt_total{code=\"0\"} 1")
    });
}
