//! Requests on the own interface whose prompts begin alike, on which engines crash.

#![allow(
    clippy::allow_attributes,
    clippy::unwrap_used,
    reason = "a failed step ends the test"
)]

mod support;

use std::net::SocketAddr;
use std::thread;

use chervilquay::gate::Signatures;
use chervilquay::node::Suspects;
use chervilquay::time::Millis;
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

/// Guards against entries that each wait for crashes of their own.
#[test]
fn peers_learn_of_a_blocked_beginning() {
    let request = |number: u64| Signatures {
        request: number,
        parts: vec![7],
    };
    let (own, peer) = (Suspects::default(), Suspects::default());
    for n in 0..3 {
        let at = Millis(1_000 + n * 1_000);
        own.record_running_crash(at, &format!("u{n}"), &request(n), false);
    }
    let notice = own.export_signatures(Millis(4_000));
    peer.merge_signatures(Millis(9_000), &notice);
    let left = peer.alike_blocked_for(Millis(9_000), &request(50));
    assert_eq!(left, Some(Millis(600_000 - 1_000)));
    let other = Signatures {
        request: 51,
        parts: vec![8],
    };
    assert_eq!(peer.alike_blocked_for(Millis(9_000), &other), None);
    // Data of an answer at the peer clears it at both.
    peer.record_data(Millis(9_100), &request(52));
    own.merge_signatures(Millis(9_200), &peer.export_signatures(Millis(9_200)));
    assert_eq!(own.alike_blocked_for(Millis(9_200), &request(53)), None);
}
