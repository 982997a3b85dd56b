//! Callers: they keep connections open until the process is gone.

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
use crate::soak::World;
use crate::soak::judge::Got;
use crate::soak::judge::Judge;
use crate::soak::upstream;
use crate::util::lock;

/// Deadline of a request.
const DEADLINE: Millis = Millis(4_000);

/// Routes, and how many in ten requests go there.
const ROUTES: [(&str, u32); 4] = [("safe", 3), ("once", 3), ("stream", 2), ("moves", 2)];

/// Requests on one connection after which a caller goes to another entry.
const STAY: u32 = 30;

/// Largest answer.
const MAX_ANSWER: usize = 1 << 20;

/// Sends requests until `stop` closes.
pub async fn run(world: Arc<World>, seed: u64, stop: Receiver<()>) {
    let mut rng = Rng::with_seed(seed);
    let mut number = 0;
    while !stop.is_closed() {
        let index = rng.usize(0..world.processes.len());
        let process = &world.processes[index];
        let client = Client::new(SocketAddr::new(process.ip(), 18_005));
        for _ in 0..rng.u32(1..STAY) {
            if stop.is_closed() {
                return;
            }
            number += 1;
            let id = format!("{seed:x}-{number}");
            let path = format!("/{}/{number}", route(&mut rng));
            let got = request(&world, process.name(), &client, &id, &path).await;
            lock(&world.judge).answered(world.now(), &id, &got);
            if matches!(got, Got::Unsent | Got::Closed | Got::Nothing) {
                // The process may be gone; another one is tried.
                smol::Timer::after(Duration::from_millis(rng.u64(10..80))).await;
                break;
            }
            smol::Timer::after(Duration::from_millis(rng.u64(0..40))).await;
        }
    }
}

fn route(rng: &mut Rng) -> &'static str {
    let mut drawn = rng.u32(0..10);
    for (name, part) in ROUTES {
        if drawn < part {
            return name;
        }
        drawn -= part;
    }
    ROUTES[0].0
}

async fn request(world: &World, entry: &str, client: &Client, id: &str, path: &str) -> Got {
    let mut request = Request::post(path);
    for (name, value) in standin::caller_headers(id, DEADLINE) {
        request = request.header(name, value);
    }
    let Ok(request) = request.body(body::full(id.to_string())) else {
        return Got::Unsent;
    };
    lock(&world.judge).sent(world.now(), entry, id, path);
    let late = async {
        smol::Timer::after(Judge::patience(DEADLINE).duration()).await;
        Got::Nothing
    };
    exchange(client, request, id, path.starts_with("/stream/"))
        .or(late)
        .await
}

async fn exchange(client: &Client, request: Request<BoxBody>, id: &str, stream: bool) -> Got {
    let answer = match client.send(request).await {
        Ok(answer) => answer,
        Err(error) if error.run == Run::NotRun => return Got::Unsent,
        Err(_) => return Got::Closed,
    };
    let (response, kept) = Client::split(answer);
    let status = response.status();
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let (own, seal) = (header(standin::REQUEST_ID), header(standin::SEAL));
    if own != id && !own.is_empty() {
        return Got::Wrong(format!("answer of {own}"));
    }
    if status == StatusCode::OK && seal.is_empty() {
        return Got::Wrong("success without a seal".to_string());
    }
    if stream && status == StatusCode::OK {
        return events(response.into_body(), id).await;
    }
    let Ok(bytes) = body::read(response.into_body(), MAX_ANSWER).await else {
        return Got::Closed;
    };
    client.give_back(kept);
    if status != StatusCode::OK {
        return Got::Failure(status.as_u16());
    }
    if bytes == upstream::whole(id).as_bytes() {
        Got::Whole
    } else {
        Got::Wrong(format!("{} bytes that are not its answer", bytes.len()))
    }
}

/// Reads a stream; one that ends cleanly must have each event once, in order.
async fn events(mut body: Incoming, id: &str) -> Got {
    let mut framer = Framer::default();
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Got::Closed;
        };
        if let Some(data) = frame.data_ref() {
            framer.push(data);
        }
        while let Some(event) = framer.next_event() {
            count += 1;
            let expected = format!("id: {count}\ndata: {id}\n\n");
            if event.bytes != expected.as_bytes() {
                return Got::Wrong(format!("event {count} is {:?}", event.bytes));
            }
        }
    }
    if count == upstream::EVENTS {
        Got::Whole
    } else {
        Got::Wrong(format!("stream ended whole after {count} events"))
    }
}
