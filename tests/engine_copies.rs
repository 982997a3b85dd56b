//! An engine or service that sends an earlier answer once more, on the connection of the next
//! call.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use chervilquay::agent::engine::Engine;
use chervilquay::net::body;
use chervilquay::net::client::Client;
use chervilquay::net::rt;
use http::Request;

/// Answers calls; each but the first on a connection after the answer to the one before.
fn serve(mut stream: TcpStream) {
    let mut last = None;
    let mut bytes = [0; 4_096];
    while let Ok(length) = stream.read(&mut bytes) {
        if length == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&bytes[..length]);
        let path = text.split(' ').nth(1).unwrap_or_default().to_string();
        let status = if path == "/refused" { 503 } else { 200 };
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{path}",
            path.len()
        );
        let copy = last.replace(answer.clone()).unwrap_or_default();
        let _ = stream.write_all((copy + &answer).as_bytes());
    }
}

/// Guards against a call that gets the answer, or the refusal, of the one before it.
#[test]
fn copied_answer_is_not_the_next_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    let engine = Engine::new(addr);
    rt::run(1, async {
        for path in ["/refused", "/first", "/second", "/refused", "/third"] {
            let request = Request::post(path).header("host", "x");
            let request = request.body(body::full("")).expect("a request");
            let answer = engine.forward(request).await.expect("an answer");
            let (response, _connection) = Client::split(answer);
            let body = body::read(response.into_body(), 100).await;
            assert_eq!(body.expect("a body"), path);
        }
    });
}
