//! Open-loop client: sends each request at its time, whatever became of others.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;

use crate::bench::fleet;
use crate::bench::fleet::Fleet;
use crate::bench::requests::mix::Shot;
use crate::bench::requests::mix::Work;
use crate::net::body;
use crate::net::client::Client;
use crate::net::rt;
use crate::prelude::*;
use crate::standin::engine;

/// Time after which a request without any answer is given up.
const LIMIT: Duration = Duration::from_secs(30);

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub shot: Shot,
    /// Time from the intended send to the first part of the answer.
    pub first: Duration,
    /// Time from the intended send to the end.
    pub total: Duration,
    /// HTTP status; 0 when the answer broke off.
    pub status: u16,
}

impl Outcome {
    /// True for a whole answer.
    pub fn is_whole(&self) -> bool {
        self.status == 200
    }
}

/// Sends the schedule over all entries in turn; the order of outcomes is that of the schedule.
pub async fn fire(fleet: &Fleet, shots: Vec<Shot>) -> Vec<Outcome> {
    let addrs: Vec<SocketAddr> = fleet.entries.iter().map(|vm| vm.http).collect();
    let clients: Vec<Arc<Client>> = addrs.iter().map(|a| Arc::new(Client::new(*a))).collect();
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for shot in shots {
        let due = begin + shot.at;
        smol::Timer::at(due).await;
        let client = clients[shot.index % clients.len()].clone();
        tasks.push(rt::spawn(async move { send(&client, shot, due).await }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await);
    }
    outcomes
}

async fn send(client: &Client, shot: Shot, due: Instant) -> Outcome {
    let mut first = Duration::ZERO;
    let answer = async {
        let work = exchange(client, &shot, due, &mut first);
        crate::net::client::timeout(LIMIT, Code::DeadlineExceeded, work).await
    };
    let status = answer.await.unwrap_or(0);
    Outcome {
        shot,
        first,
        total: due.elapsed(),
        status,
    }
}

async fn exchange(client: &Client, shot: &Shot, due: Instant, first: &mut Duration) -> Result<u16> {
    let prompt = format!("prompt {} of {}", shot.index, shot.org);
    let streamed = shot.work != Work::Booking;
    let body = json!({ "prompt": prompt, "max_tokens": shot.tokens, "stream": streamed });
    let request = Request::post("/v1/completions")
        .header("host", client.addr().to_string())
        .header("content-type", "application/json")
        .header("x-organisation", format!("org-{}", shot.org))
        .header("x-work", shot.work.name())
        .body(body::full(body.to_string()))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let (response, kept) = Client::split(client.send(request).await?);
    let status = response.status().as_u16();
    let mut incoming = response.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|e| Error::new(Code::UpstreamLost, e.to_string()))?;
        if bytes.is_empty() {
            *first = due.elapsed();
        }
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    client.give_back(kept);
    if status == 200 {
        check(&prompt, shot, streamed, &bytes);
    }
    Ok(status)
}

/// Every answer counted as whole is that of its own request.
fn check(prompt: &str, shot: &Shot, streamed: bool, bytes: &[u8]) {
    let want: String = (0..shot.tokens).map(|i| engine::token(prompt, i)).collect();
    let got = if streamed {
        fleet::stream_text(bytes).unwrap_or_default()
    } else {
        let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let text = value["choices"][0]["text"].as_str();
        text.unwrap_or_default().to_string()
    };
    assert_eq!(got, want, "answer of another request or in part");
}
