//! A caller's single attempt on a new connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;

pub const HOST: &str = "booking.example";
pub const KEY: &str = "k7bozi300a";

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// An answer with this status; true with the runner's seal and a whole body.
    Status(u16, bool),
    /// The connection ended without an answer.
    Closed,
    /// No answer within the deadline.
    Late,
    /// No connection.
    Unconnected,
}

impl End {
    pub fn is_success(&self) -> bool {
        *self == End::Status(200, true)
    }
}

/// Sends one request on a new connection and waits for its answer.
pub fn send(entry: SocketAddr, method: &str, path: &str, id: &str, body: &[u8], ms: u64) -> End {
    send_as(entry, method, path, id, body, ms, KEY)
}

/// Like [`send`], with another key.
pub fn send_as(
    entry: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
    ms: u64,
    key: &str,
) -> End {
    let Ok(mut stream) = TcpStream::connect_timeout(&entry, Duration::from_millis(1_000)) else {
        return End::Unconnected;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(ms)));
    let _ = stream.set_write_timeout(Some(Duration::from_millis(ms)));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {ms}\r\n\
         X-Credential: {key}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let sent = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    let answer = sent.and_then(|()| http::read(&mut BufReader::new(stream)));
    match answer {
        Ok(answer) => {
            let has_seal = answer.header("x-response-seal").is_some();
            End::Status(answer.status(), has_seal)
        }
        Err(error) => match error.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => End::Late,
            _ => End::Closed,
        },
    }
}

/// The operator's configuration with one idempotent and one non-idempotent route to a
/// plain service, as on the sheet of the site.
pub fn config(service: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":800,\"slo_ms\":300,\"priority\":2,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("r-lookup", "/stock/", "idempotent", 2),
        route("r-booking", "/slots/", "non_idempotent", 1)
    )
}

/// The same with a route whose answers are streams that may be resumed.
pub fn config_with_streams(service: &str) -> String {
    let route = format!(
        "{{\"name\":\"r-plan\",\"host\":\"{HOST}\",\"prefix\":\"/plan/\",\"kind\":\"streaming\",\
         \"timeout_ms\":6000,\"slo_ms\":500,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\
         \"public\":false,\"resumable\":true,\"gap_target_ms\":400}},"
    );
    config(service).replacen("\"routes\":[", &format!("\"routes\":[{route}"), 1)
}
