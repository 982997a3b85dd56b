//! Orders that the engine gets from someone else or late: no answer mixes weights.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod support;

use std::io::Read;

use support::system::System;
use support::system::http;
use support::system::send_request;
use support::system::split_answer;

/// The distinct digests of weights that an answer names.
fn fingerprints(body: &str) -> Vec<String> {
    let mut prints: Vec<String> = body
        .split("\"system_fingerprint\":\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .map(str::to_string)
        .collect();
    prints.sort();
    prints.dedup();
    prints
}

/// Orders the engine of an agent to load a version; returns the status.
fn order(system: &System, agent: usize, version: usize, fence: u64) -> u16 {
    let digest = &system.versions[version];
    let source = system.origin_addr;
    let body = format!(
        r#"{{"model":"assistant","digest":"{digest}","fence":{fence},"source":"{source}"}}"#
    );
    let addr = system.agents[agent].engine_addr;
    let headers = [("content-type", "application/json")];
    http(addr, "POST", "/admin/load", &headers, &body)
        .unwrap()
        .0
}

// Guards against an answer that goes on from other weights after someone else has
// ordered the engine to load them while the request ran.
#[test]
fn replaced_weights() {
    let system = System::start_with("replaced-weights", "5000");
    system.until_serving();
    let body = r#"{"prompt":"long","max_tokens":400,"stream":true}"#;
    let mut streams = Vec::new();
    for entry in &system.entries {
        for _ in 0..2 {
            streams.push(send_request(entry.http, "POST", "/v1/completions", &[], body).unwrap());
        }
    }
    std::thread::sleep(std::time::Duration::from_millis(300));
    for agent in 0..2 {
        assert_eq!(order(&system, agent, 1, 1_000), 200);
    }
    for stream in &mut streams {
        let mut text = Vec::new();
        let _ = stream.read_to_end(&mut text);
        let (status, _, body) = split_answer(&String::from_utf8_lossy(&text));
        assert_eq!(status, 200);
        let prints = fingerprints(&body);
        assert_eq!(
            prints,
            [system.versions[0].clone()],
            "mixed or foreign weights"
        );
        let has_clean_end = body.ends_with("0\r\n\r\n");
        assert!(!has_clean_end, "a broken answer ended cleanly");
    }
}

// Guards against a late or repeated order that makes an engine load old weights again.
#[test]
fn late_order() {
    let mut system = System::start("late-order");
    system.until_serving();
    system.publish(1, &[]);
    system.until_serving();
    let status = order(&system, 0, 0, 1);
    assert_eq!(status, 409, "the engine accepted an old fencing number");
    let body = r#"{"prompt":"p","max_tokens":3,"stream":true}"#;
    for _ in 0..4 {
        let addr = system.entries[0].http;
        let (status, _, body) = http(addr, "POST", "/v1/completions", &[], body).unwrap();
        assert_eq!(status, 200, "{body}");
        assert_eq!(fingerprints(&body), [system.versions[1].clone()]);
    }
}
