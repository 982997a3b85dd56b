//! `status` and `dump` with dumps that a small admin server gives.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;

use chervilquay::cmd::status::Row;
use chervilquay::cmd::status::Status;
use chervilquay::cmd::status::plain;
use chervilquay::error::Code;
use chervilquay::error::Error;
use chervilquay::net::body;
use chervilquay::net::rt;
use chervilquay::net::server;
use http::Response;
use serde_json::Value;
use serde_json::json;

fn entry(revision: u64) -> Value {
    json!({
        "role": "entry", "name": "entry-1", "zone": "a",
        "pools": { "chat": { "upstreams": { "chat-1": { "calls": 2 }, "chat-2": { "calls": 1 } } } },
        "tables": { "revision": revision, "digest": "sha256:aa", "refused": null },
    })
}

fn agent(name: &str, loaded: &str, drain: bool) -> Value {
    json!({
        "role": "agent", "name": name, "zone": "a", "loaded": loaded,
        "tables": { "revision": 7, "digest": "sha256:aa", "refused": null },
        "duty": { "pool": "chat", "model": "chat", "digest": "sha256:0123456789abcdef", "drain": drain },
        "guard": { "dispatched": 1, "serving": true, "leaving": null },
    })
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn row(dump: Value) -> Row {
    Row::new(addr(1), Ok(dump))
}

// Guards against a process that does not serve and is shown as serving.
#[test]
fn states_are_told_apart() {
    let silent = Error::new(Code::RpcFailed, "nothing within 2000 ms");
    let mut refusing = entry(7);
    refusing["tables"]["refused"] = json!("E2004 routes:6");
    let mut stopping = agent("chat-4", "sha256:0123456789abcdef", false);
    stopping["guard"]["leaving"] = json!("stop");
    let status = Status::new(vec![
        row(refusing),
        row(entry(0)),
        row(agent("chat-1", "sha256:0123456789abcdef", false)),
        row(agent("chat-2", "", false)),
        row(agent("chat-3", "sha256:0123456789abcdef", true)),
        row(stopping),
        Row::new(addr(9), Err(silent)),
    ]);
    assert!(!status.summary.is_settled);
    insta::assert_snapshot!(plain(&status));
}

// Guards against a status that is settled although two sets of one revision are in force.
#[test]
fn conflict_is_seen() {
    let mut other = entry(7);
    other["tables"]["digest"] = json!("sha256:bb");
    let status = Status::new(vec![row(entry(7)), row(other)]);
    assert!(status.summary.has_conflict);
    assert!(!status.summary.is_settled);
    assert!(
        Status::new(vec![row(entry(7)), row(entry(7))])
            .summary
            .is_settled
    );
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chervilquay"));
    command.args(args).output().unwrap()
}

/// Serves `dump` on an address of its own while `test` runs.
fn with_admin_server(dump: Value, test: impl FnOnce(&str) + Send + 'static) {
    rt::run(2, async {
        let listener = server::bind(addr(0)).unwrap();
        let admin = listener.get_ref().local_addr().unwrap().to_string();
        let (stopper, stop) = smol::channel::bounded::<()>(1);
        let handler = move |_| {
            let text = dump.to_string();
            async move { Response::new(body::full(text)) }
        };
        let serving = rt::spawn(server::serve(
            listener,
            server::Limits::default(),
            stop,
            handler,
        ));
        smol::unblock(move || test(&admin)).await;
        drop(stopper);
        serving.await;
    });
}

// Guards against wrong output and exit codes, as when a process that does not answer
// counts as settled.
#[test]
fn commands_read_a_process() {
    with_admin_server(entry(7), |admin| {
        let output = run(&["dump", admin, "--field", "tables.revision"]);
        assert_eq!(output.stdout, b"7\n");
        assert_eq!(
            run(&["dump", admin, "--field", "none"]).status.code(),
            Some(1)
        );
        assert_eq!(run(&["status", admin]).status.code(), Some(0));
        let output = run(&["status", "--format", "json", admin, "127.0.0.1:9"]);
        assert_eq!(output.status.code(), Some(1));
        let found: Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(found["summary"]["states"]["no answer"], 1);
        let output = run(&["dump", admin, "--format", "yaml"]);
        assert!(
            String::from_utf8(output.stdout)
                .unwrap()
                .contains("role: entry")
        );
    });
    assert_eq!(run(&["dump", "127.0.0.1:9"]).status.code(), Some(1));
}
