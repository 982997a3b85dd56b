//! Bad input to the daemons: each is answered with an error and its code, and
//! serving goes on.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use support::system::Process;
use support::system::System;
use support::system::WAIT_TIMEOUT;
use support::system::WorkDir;
use support::system::dump;
use support::system::http;
use support::system::until;

const GOOD_REQUEST: &str = r#"{"prompt":"p","max_tokens":2,"stream":true}"#;

/// Sends text in parts on a new connection and returns all that comes back.
fn send_raw(addr: SocketAddr, parts: &[&str]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    for part in parts {
        let _ = stream.write_all(part.as_bytes());
    }
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Asserts that a good request is answered whole.
fn assert_serves(system: &System) {
    let addr = system.entries[0].http;
    let (status, _, body) = http(addr, "POST", "/v1/completions", &[], GOOD_REQUEST).unwrap();
    assert_eq!(status, 200, "{body}");
    assert!(body.contains("[DONE]"), "{body}");
}

// Guards against malformed requests that crash an entry or are run.
#[test]
fn broken_requests() {
    let system = System::start("broken-requests");
    system.until_serving();
    let addr = system.entries[0].http;

    let large = "x".repeat((4 << 20) + 1);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        large.len()
    );
    let answer = send_raw(addr, &[&head, &large]);
    assert!(answer.contains("413"), "{answer}");
    assert!(answer.contains("\"code\":4003"), "{answer}");

    let header = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-long: {}\r\n\r\n",
        "y".repeat(1 << 20)
    );
    let answer = send_raw(addr, &[&header]);
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");

    let answer = send_raw(addr, &["nonsense\r\n\r\n"]);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");

    let cut = "POST /book HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf";
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(cut.as_bytes()).unwrap();
    drop(stream);
    for agent in system.agents.iter().filter(|vm| vm.pool == "booking") {
        let (_, _, runs) = http(agent.engine_addr, "GET", "/standin/runs", &[], "").unwrap();
        assert_eq!(runs, "{}", "a truncated booking ran");
    }
    assert_serves(&system);
}

// Guards against bad tables that replace the ones in force.
#[test]
fn bad_tables() {
    let mut system = System::start("bad-tables");
    system.until_serving();
    let revision = system.revision;
    for text in [
        ": not yaml [",
        "revision: 99\nroutes: {a: {path: /a, pool: missing}}\n",
    ] {
        system.put("routes", text);
        until("dump names the refusal", || {
            let dump = dump(system.entries[0].admin);
            !dump["tables"]["refused"].is_null()
        });
        assert_eq!(
            dump(system.entries[0].admin)["tables"]["revision"],
            revision
        );
        assert_serves(&system);
    }
    system.publish(0, &[]);
    system.until_serving();
    assert_serves(&system);
}

// Guards against processes that end, or follow the documents no longer, after one that is nested
// very deeply, or has a number or a port out of range.
#[test]
fn odd_documents() {
    let mut system = System::start("odd-documents");
    system.until_serving();
    let nested = [
        "[".repeat(200_000),
        format!("{}{}", "{a: ".repeat(50_000), "}".repeat(50_000)),
        format!(
            "revision: 9\nvms: {}{}",
            "[".repeat(50_000),
            "]".repeat(50_000)
        ),
        (0..2_000)
            .map(|depth| " ".repeat(depth % 500) + "- ")
            .collect(),
    ];
    let numbers = [
        "revision: 99999999999999999999999999\n",
        "revision: 1e400\n",
        "revision: -1\n",
        "vms:\n  v: {rpc: \"10.0.0.1:70000\", zone: a, region: r, leaving: false}\n",
        "vms:\n  v: {rpc: \"10.0.0.1:-1\", zone: a, region: r, leaving: false}\n",
        "vms:\n  v: {rpc: 17, zone: [], region: {}, leaving: 9e99}\n",
    ];
    let texts = nested.iter().map(String::as_str).chain(numbers);
    for text in texts {
        for key in ["live", "routes", "pools"] {
            system.put(key, text);
        }
        // Readers query each key at most five times a second.
        std::thread::sleep(std::time::Duration::from_millis(300));
        assert_serves(&system);
    }
    for addr in system.entries.iter().map(|e| e.admin) {
        assert!(dump(addr)["tables"]["revision"].is_u64());
    }
    system.publish(1, &[]);
    system.until_serving();
    assert_serves(&system);
}

// Guards against a daemon that starts with a setting that it does not know.
#[test]
fn bad_settings() {
    let dir = WorkDir::new("bad-settings");
    let path = dir.write("entry.yaml", "node: {name: e, zone: z, colour: blue}\n");
    let binary = env!("CARGO_BIN_EXE_chervilquay-entry");
    let mut process = Process::start(binary, &["--settings", &path.to_string_lossy()]);
    assert!(!process.wait(), "the daemon accepted bad settings");
}
