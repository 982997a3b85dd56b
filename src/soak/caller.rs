//! Callers that send requests through the entry processes and check each answer.
//! A caller keeps its connection until it changes the entry or a request fails.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::channel::Receiver;
use smol::future::FutureExt;

use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client::Client;
use crate::net::events::Framer;
use crate::platform::standin;
use crate::prelude::*;
use crate::soak::Harness;
use crate::soak::checker::Checker;
use crate::soak::checker::Outcome;
use crate::soak::upstream;
use crate::util::lock;

/// Deadline of a request, from when it is sent.
const DEADLINE: Millis = Millis(4_000);

/// Routes, and the share of each in ten requests.
const ROUTES: [(&str, u32); 4] = [("safe", 3), ("once", 3), ("stream", 2), ("moves", 2)];

/// Upper bound, exclusive, on the requests that a caller sends before it draws an
/// entry anew.
const MAX_PER_ENTRY: u32 = 30;

/// Largest answer accepted, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Sends requests one after the other until `stop` closes.
pub async fn run(harness: Arc<Harness>, seed: u64, stop: Receiver<()>) {
    let mut rng = Rng::with_seed(seed);
    let mut number = 0;
    while !stop.is_closed() {
        let index = rng.usize(0..harness.processes.len());
        let process = &harness.processes[index];
        let client = Client::new(SocketAddr::new(process.ip(), 18_005));
        for _ in 0..rng.u32(1..MAX_PER_ENTRY) {
            if stop.is_closed() {
                return;
            }
            number += 1;
            let id = format!("{seed:x}-{number}");
            let path = format!("/{}/{number}", draw_route(&mut rng));
            let outcome = send_request(&harness, process.name(), &client, &id, &path).await;
            lock(&harness.checker).on_outcome(harness.now(), &id, &outcome);
            if matches!(
                outcome,
                Outcome::Unsent | Outcome::Closed | Outcome::TimedOut
            ) {
                // The process may have ended; draws one anew.
                smol::Timer::after(Duration::from_millis(rng.u64(10..80))).await;
                break;
            }
            smol::Timer::after(Duration::from_millis(rng.u64(0..40))).await;
        }
    }
}

/// Returns a route, drawn by the shares in [`ROUTES`].
fn draw_route(rng: &mut Rng) -> &'static str {
    let mut drawn = rng.u32(0..10);
    for (name, part) in ROUTES {
        if drawn < part {
            return name;
        }
        drawn -= part;
    }
    ROUTES[0].0
}

/// Sends one request and returns its result, or a timeout when no answer comes.
async fn send_request(
    harness: &Harness,
    entry: &str,
    client: &Client,
    id: &str,
    path: &str,
) -> Outcome {
    let mut request = Request::post(path);
    for (name, value) in standin::caller_headers(id, DEADLINE) {
        request = request.header(name, value);
    }
    let Ok(request) = request.body(body::full(id.to_string())) else {
        return Outcome::Unsent;
    };
    lock(&harness.checker).on_sent(harness.now(), entry, id, path);
    let timeout = async {
        smol::Timer::after(Checker::max_wait(DEADLINE).duration()).await;
        Outcome::TimedOut
    };
    exchange(client, request, id, path.starts_with("/stream/"))
        .or(timeout)
        .await
}

/// Sends the request and checks that the answer is complete and its own.
async fn exchange(
    client: &Client,
    request: Request<BoxBody>,
    id: &str,
    is_stream: bool,
) -> Outcome {
    let answer = match client.send(request).await {
        Ok(answer) => answer,
        Err(error) if error.run == Run::NotRun => return Outcome::Unsent,
        Err(_) => return Outcome::Closed,
    };
    let (response, kept) = Client::split(answer);
    let status = response.status();
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let (answered_id, seal) = (header(standin::REQUEST_ID), header(standin::SEAL));
    if answered_id != id && !answered_id.is_empty() {
        return Outcome::Wrong(format!("answer to request {answered_id}"));
    }
    if status == StatusCode::OK && seal.is_empty() {
        return Outcome::Wrong("status 200 without a signature of the upstream".to_string());
    }
    if is_stream && status == StatusCode::OK {
        return read_events(response.into_body(), id).await;
    }
    let Ok(bytes) = body::read(response.into_body(), MAX_ANSWER).await else {
        return Outcome::Closed;
    };
    client.give_back(kept);
    if status != StatusCode::OK {
        return Outcome::Failure(status.as_u16());
    }
    if bytes == upstream::answer_body(id).as_bytes() {
        Outcome::Complete
    } else {
        Outcome::Wrong(format!("{} bytes that are not its answer", bytes.len()))
    }
}

/// Reads a stream. One that ends with its end mark must have each event exactly
/// once and in order.
async fn read_events(mut body: Incoming, id: &str) -> Outcome {
    let mut framer = Framer::default();
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Closed;
        };
        if let Some(data) = frame.data_ref() {
            framer.push(data);
        }
        while let Some(event) = framer.next_event() {
            count += 1;
            let expected = format!("id: {count}\ndata: {id}\n\n");
            if event.bytes != expected.as_bytes() {
                return Outcome::Wrong(format!("event {count} is {:?}", event.bytes));
            }
        }
    }
    if count == upstream::EVENTS {
        Outcome::Complete
    } else {
        Outcome::Wrong(format!(
            "stream ended with its end mark after {count} events"
        ))
    }
}
