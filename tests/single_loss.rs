//! Loss of any one process: the rest goes on serving as docs/design.md says.

mod support;

use support::system::System;
use support::system::dump;
use support::system::http;
use support::system::start_agent;
use support::system::until;

const BODY: &str = r#"{"prompt":"p","max_tokens":3,"stream":true}"#;

/// Requests sent after each loss.
const COUNT: usize = 8;

/// Every request is answered whole, through each entry that is left.
fn assert_answered(system: &System, entries: &[usize]) {
    for entry in entries {
        let addr = system.entries[*entry].http;
        for index in 0..COUNT {
            let answer = http(addr, "POST", "/v1/completions", &[], BODY);
            let is_whole = matches!(&answer, Ok((200, _, body)) if body.contains("[DONE]"));
            let state = || dump(system.entries[*entry].admin)["pools"].to_string();
            assert!(
                is_whole,
                "request {index} through {entry}: {answer:?} {}",
                state()
            );
        }
    }
}

// Guards against serving that depends on the platform or the origin being up.
#[test]
fn platform_and_origin() {
    let mut system = System::start("lost-platform");
    system.until_serving();
    system.platform.kill();
    assert_answered(&system, &[0, 1]);
    system.origin.kill();
    assert_answered(&system, &[0, 1]);
}

// Guards against an entry whose loss is felt through another entry.
#[test]
fn one_entry() {
    let mut system = System::start("lost-entry");
    system.until_serving();
    system.entries[0].process.kill();
    assert_answered(&system, &[1]);
}

// Guards against a dead agent or engine that callers see, where a repeatable
// request could have gone elsewhere, and against one that does not come back.
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
    until("the agent sees that its engine is gone", || {
        dump(admin)["loaded"].is_null()
    });
    assert_answered(&system, &[0, 1]);
}

// Guards against an entry that wakes from a pause and uses a table that was
// replaced meanwhile: the request must go where the new table says.
#[test]
fn paused_entry_wakes() {
    let mut system = System::start("paused-entry");
    system.until_serving();
    let entry = &system.entries[0];
    entry.process.signal("STOP");
    // Longer than the step in time that makes views stale.
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
    until("the other entry holds the change", || {
        dump(second.admin)["tables"]["revision"] == 2
    });
    let entry = &system.entries[0];
    entry.process.signal("CONT");
    let (status, _, body) = http(entry.http, "POST", "/v1/completions", &[], BODY).unwrap();
    assert_eq!(status, 404, "{body}");
}
