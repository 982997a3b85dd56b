//! Loss of any one process: the others go on serving.

mod support;

use support::system::System;
use support::system::dump;
use support::system::http;
use support::system::start_agent;
use support::system::until;

const BODY: &str = r#"{"prompt":"p","max_tokens":3,"stream":true}"#;

/// Number of requests sent through each entry after a loss.
const REQUESTS: usize = 8;

/// Asserts that every request through these entries is answered completely.
fn assert_answered(system: &System, entries: &[usize]) {
    for entry in entries {
        let addr = system.entries[*entry].http;
        for index in 0..REQUESTS {
            let answer = http(addr, "POST", "/v1/completions", &[], BODY);
            let is_complete = matches!(&answer, Ok((200, _, body)) if body.contains("[DONE]"));
            let state = || dump(system.entries[*entry].admin)["pools"].to_string();
            assert!(
                is_complete,
                "request {index} through {entry}: {answer:?} {}",
                state()
            );
        }
    }
}

// Guards against serving that fails when the platform or the origin is down.
#[test]
fn platform_and_origin() {
    let mut system = System::start("lost-platform");
    system.until_serving();
    system.platform.kill();
    assert_answered(&system, &[0, 1]);
    system.origin.kill();
    assert_answered(&system, &[0, 1]);
}

// Guards against requests that fail at one entry because another entry is lost.
#[test]
fn one_entry() {
    let mut system = System::start("lost-entry");
    system.until_serving();
    system.entries[0].process.kill();
    assert_answered(&system, &[1]);
}

// Guards against repeatable requests that fail because an agent or engine is lost, although
// another upstream could answer them, and against an agent that does not serve again after
// its restart.
#[test]
fn agent_and_engine() {
    let mut system = System::start("lost-agent");
    system.until_serving();
    system.agents[0].process.kill();
    assert_answered(&system, &[0, 1]);
    system.agents[0].process = start_agent(&system.agents[0].settings);
    system.until_serving();
    system.agents[1].engine.kill();
    assert_answered(&system, &[0, 1]);
    let admin = system.agents[1].admin;
    until("the agent notices the loss of its engine", || {
        dump(admin)["loaded"].is_null()
    });
    assert_answered(&system, &[0, 1]);
}

// Guards against an entry that is paused while the tables are replaced and then uses the old
// ones: its first request must be routed by the new tables.
#[test]
fn paused_entry_wakes() {
    let mut system = System::start("paused-entry");
    system.until_serving();
    let entry = &system.entries[0];
    entry.process.signal("STOP");
    // Longer than the jump in time after which the entry counts its tables as stale.
    std::thread::sleep(std::time::Duration::from_secs(3));
    let routes = "revision: 2\nroutes:\n  none: {path: /other, pool: booking}\n";
    let pools = format!(
        "revision: 2\npools:\n  booking:\n    kind: service\n    upstreams:\n      \
         vm-3: {{rpc: \"{}\", zone: z1}}\n",
        system.agents[2].rpc
    );
    system.put("routes", routes);
    system.put("pools", &pools);
    system.revision = 2;
    let second = &system.entries[1];
    until("the other entry has the new tables in force", || {
        dump(second.admin)["tables"]["revision"] == 2
    });
    let entry = &system.entries[0];
    entry.process.signal("CONT");
    let (status, _, body) = http(entry.http, "POST", "/v1/completions", &[], BODY).unwrap();
    assert_eq!(status, 404, "{body}");
}
