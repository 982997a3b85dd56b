//! Requests on the own interface whose prompts begin alike, on which engines crash.

#![allow(
    clippy::allow_attributes,
    clippy::unwrap_used,
    reason = "a failed step ends the test"
)]

mod support;

use std::net::SocketAddr;
use std::thread;

use support::system::Process;
use support::system::System;
use support::system::dump;
use support::system::http;
use support::system::until;

/// Time until the first token, in microseconds: engines are killed within it.
const TOKEN_US: &str = "500000";

/// Requests that begin with the same text.
const REQUESTS: usize = 11;

/// Crashes after which only a few more may reach engines.
const MAX_CRASHES: usize = 5;

/// Requests that may still reach engines after that.
const MAX_LATER: usize = 3;

fn complete(entry: SocketAddr, prompt: &str) -> (u16, String, String) {
    let body = format!(r#"{{"prompt":"{prompt}","max_tokens":1,"stream":true}}"#);
    http(entry, "POST", "/v1/completions", &[], &body).unwrap()
}

/// Returns the index of the agent at whose engine a request runs.
fn busy_agent(system: &System) -> Option<usize> {
    let mut agents = system.agents.iter();
    agents.position(|vm| dump(vm.admin)["guard"]["dispatched"] == 1)
}

/// Guards against requests that are all different, but begin with a text on which engines
/// crash, and crash one engine after the other.
#[test]
fn deadly_prefix_reaches_few_engines() {
    let mut system = System::start_with("deadly-prefix", TOKEN_US);
    system.until_serving();
    let entry = system.entries[0].http;
    let deadly = "d".repeat(700);
    let mut reached = 0;
    for n in 0..REQUESTS {
        let prompt = format!("{deadly} {n}");
        let caller = thread::spawn(move || complete(entry, &prompt));
        let mut victim = None;
        until("the request runs or has an answer", || {
            victim = busy_agent(&system);
            victim.is_some() || caller.is_finished()
        });
        let Some(index) = victim else {
            let answer = caller.join().unwrap();
            assert_eq!(answer.0, 422, "{answer:?}");
            assert!(answer.1.contains("retry-after"), "{answer:?}");
            continue;
        };
        reached += 1;
        let vm = &mut system.agents[index];
        vm.engine.kill();
        vm.engine.wait();
        vm.engine = Process::standin_at(vm.engine_addr, &["engine", "--token-us", TOKEN_US]);
        caller.join().unwrap();
        system.until_serving();
    }
    assert!(
        reached <= MAX_CRASHES + MAX_LATER,
        "{reached} requests reached engines"
    );
    let other = complete(entry, &format!("{} sound", "e".repeat(700)));
    assert_eq!(other.0, 200, "{other:?}");
}
