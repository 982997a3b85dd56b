//! Answers that arrive slowly: a steady one is read, one that stands still is given up, and
//! so is one that does not end.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use chervilquay::error::Code;
use chervilquay::error::Result;
use chervilquay::net::body;
use chervilquay::net::client::Client;
use chervilquay::net::client::Patience;
use chervilquay::net::client::exchange_steadily;
use chervilquay::net::rt;
use chervilquay::node::config_service;
use chervilquay::time::Millis;
use http::Request;
use http::Response;

/// Length that the server states for the body of its answer, in bytes.
const LENGTH: usize = 20;

/// Starts a server that sends the bytes of its answer one by one, the first `count` with
/// `pause` between them.
fn serve(count: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let _ = stream.read(&mut [0; 1_024]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        for _ in 0..count {
            thread::sleep(pause);
            if stream.write_all(b"x").is_err() {
                return;
            }
        }
        // Keeps the connection open until the caller closes it.
        let _ = stream.read(&mut [0]);
    });
    addr
}

/// Reads the answer of a server.
fn read(addr: SocketAddr, stall: Duration, total: Duration) -> Result<Response<Bytes>> {
    let patience = Patience {
        head: Duration::from_secs(20),
        stall,
        total,
    };
    let request = Request::get("/").header("host", "x").body(body::full(""));
    let request = request.expect("a request");
    let client = Client::new(addr);
    let code = Code::PlatformUnavailable;
    rt::run(
        1,
        exchange_steadily(&client, request, LENGTH, patience, code, || {}),
    )
}

/// Guards against a limit on the whole answer, which a large one on a busy link exceeds.
#[test]
fn slow_answer_is_read() {
    let pause = Duration::from_millis(40);
    let addr = serve(LENGTH, pause);
    let answer = read(addr, Duration::from_millis(700), Duration::from_secs(20)).expect("all");
    assert_eq!(answer.body().len(), LENGTH);
}

/// Guards against the same for the tables of the own interface.
#[test]
fn slow_table_is_read() {
    let addr = serve(LENGTH, Duration::from_millis(300));
    let client = Client::new(addr);
    let reading = config_service::read(&client, "routes", 0, Millis(0));
    let reading = rt::run(1, reading).expect("the whole table");
    assert_eq!(reading.text.len(), LENGTH);
}

/// Guards against waiting for the rest of an answer whose server has fallen silent.
#[test]
fn stalled_answer_is_given_up() {
    let addr = serve(5, Duration::ZERO);
    let error =
        read(addr, Duration::from_millis(200), Duration::from_secs(60)).expect_err("no end");
    assert_eq!(error.code, Code::PlatformUnavailable);
    assert!(error.detail.contains("nothing more"), "{}", error.detail);
}

/// Guards against a server that sends a byte now and then and never ends.
#[test]
fn trickle_is_given_up() {
    let addr = serve(LENGTH, Duration::from_secs(3));
    let error = read(addr, Duration::from_secs(30), Duration::from_secs(1)).expect_err("no end");
    assert_eq!(error.code, Code::PlatformUnavailable);
}
