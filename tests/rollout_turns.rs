//! Turns of agents to load: a pool keeps serving while it changes its version.

mod support;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilquay::bench::fleet::Fleet;
use chervilquay::bench::fleet::Plan;
use chervilquay::net::rt;
use support::system::System;
use support::system::WAIT_TIMEOUT;
use support::system::http;

const BODY: &str = r#"{"prompt":"p","max_tokens":3,"stream":true}"#;

// Guards against upstreams of a pool that all leave service at once to load a new
// version: of two, one must serve at any time.
#[test]
fn none_refused() {
    let mut system = System::start("none-refused");
    system.until_serving();
    let addr = system.entries[0].http;
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut count = 0;
            while !is_done.load(Ordering::Relaxed) {
                let answer = http(addr, "POST", "/v1/completions", &[], BODY);
                let is_complete = matches!(&answer, Ok((200, _, body)) if body.contains("[DONE]"));
                assert!(is_complete, "request {count}: {answer:?}");
                count += 1;
            }
            count
        });
        system.publish(1, &[]);
        system.until_serving();
        is_done.store(true, Ordering::Relaxed);
        assert!(caller.join().unwrap() > 0);
    });
}

// Guards against a version that no engine can load and that takes a whole pool out of
// service: after two failures the other agents keep the version that they hold.
#[test]
fn failing_version_stops() {
    rt::run(4, async {
        let plan = Plan {
            engines: 4,
            services: 1,
            ..Plan::default()
        };
        let fleet = Fleet::start(plan).await.unwrap();
        fleet.until_serving(WAIT_TIMEOUT).await.unwrap();
        let engines = || fleet.agents.iter().take(4);
        engines().for_each(|vm| vm.engine.fail_next_loads(u64::MAX));
        fleet.new_version(2);
        fleet.publish(&[]);
        let failed = || {
            let counts = engines().map(|vm| {
                let wanted = vm.agent.assignment().map(|d| d.digest).unwrap_or_default();
                vm.agent.loaded.failures(&wanted)
            });
            counts.sum::<u32>()
        };
        let begin = std::time::Instant::now();
        while failed() < 2 {
            assert!(begin.elapsed() < WAIT_TIMEOUT, "no load was tried");
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        // In this time, several more agents would have had their turns.
        smol::Timer::after(Duration::from_secs(6)).await;
        let holding = engines().filter(|vm| !vm.engine.loaded_digest().is_empty());
        assert!(holding.count() >= 2, "the version went on spreading");
    });
}
