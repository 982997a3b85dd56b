//! Open-loop client: sends each request at its scheduled time, whether or not earlier ones have
//! been answered.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;

use crate::bench::fleet;
use crate::bench::fleet::Fleet;
use crate::bench::requests::mix::PlannedRequest;
use crate::bench::requests::mix::RequestKind;
use crate::net::body;
use crate::net::client::Client;
use crate::net::rt;
use crate::prelude::*;
use crate::standin::engine;

/// Time from the start of sending a request until its answer must be complete; later it counts
/// as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request as scheduled.
    pub planned: PlannedRequest,
    /// Time from the scheduled send to the first part of the body; zero without one.
    pub first_part: Duration,
    /// Time from the scheduled send to the end of the answer, or to the failure.
    pub total: Duration,
    /// HTTP status; 0 when the request failed, timed out or its answer broke off.
    pub status: u16,
}

impl Outcome {
    /// Returns true when the status is 200 and the body was read to its end.
    pub fn is_complete(&self) -> bool {
        self.status == 200
    }
}

/// Sends each request of `schedule` at its time, to the entries in turn, and waits for all answers.
///
/// The outcomes are in the order of the schedule.
pub async fn send_schedule(fleet: &Fleet, schedule: Vec<PlannedRequest>) -> Vec<Outcome> {
    let addrs: Vec<SocketAddr> = fleet.entries.iter().map(|vm| vm.http).collect();
    let clients: Vec<Arc<Client>> = addrs.iter().map(|a| Arc::new(Client::new(*a))).collect();
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for planned in schedule {
        let due = begin + planned.at;
        smol::Timer::at(due).await;
        let client = clients[planned.index % clients.len()].clone();
        tasks.push(rt::spawn(async move { send(&client, planned, due).await }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await);
    }
    outcomes
}

/// Sends one request that was `due` at the given time; failures become status 0.
async fn send(client: &Client, planned: PlannedRequest, due: Instant) -> Outcome {
    let mut first_part = Duration::ZERO;
    let answer = async {
        let exchange = exchange(client, &planned, due, &mut first_part);
        crate::net::client::timeout(REQUEST_TIMEOUT, Code::DeadlineExceeded, exchange).await
    };
    let status = answer.await.unwrap_or(0);
    Outcome {
        planned,
        first_part,
        total: due.elapsed(),
        status,
    }
}

/// Sends the request, reads its answer to the end and returns the status.
///
/// Sets `first_part` to the time from `due` to the first part of the body. Panics when an answer
/// with status 200 has the wrong text.
async fn exchange(
    client: &Client,
    planned: &PlannedRequest,
    due: Instant,
    first_part: &mut Duration,
) -> Result<u16> {
    let prompt = format!("prompt {} of {}", planned.index, planned.org);
    let streamed = planned.kind != RequestKind::Booking;
    let body = json!({ "prompt": prompt, "max_tokens": planned.tokens, "stream": streamed });
    let request = Request::post("/v1/completions")
        .header("host", client.addr().to_string())
        .header("content-type", "application/json")
        .header("x-organisation", format!("org-{}", planned.org))
        .header("x-work", planned.kind.header_value())
        .body(body::full(body.to_string()))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let (response, connection) = Client::split(client.send(request).await?);
    let status = response.status().as_u16();
    let mut incoming = response.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|e| Error::new(Code::UpstreamLost, e.to_string()))?;
        if bytes.is_empty() {
            *first_part = due.elapsed();
        }
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    client.give_back(connection);
    if status == 200 {
        check_answer(&prompt, planned, streamed, &bytes);
    }
    Ok(status)
}

/// Panics unless the answer is the whole text that the stand-in engine generates for `prompt`.
fn check_answer(prompt: &str, planned: &PlannedRequest, streamed: bool, bytes: &[u8]) {
    let want: String = (0..planned.tokens)
        .map(|i| engine::token(prompt, i))
        .collect();
    let got = if streamed {
        fleet::stream_text(bytes).unwrap_or_default()
    } else {
        let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let text = value["choices"][0]["text"].as_str();
        text.unwrap_or_default().to_string()
    };
    assert_eq!(
        got, want,
        "answer is incomplete or belongs to another request"
    );
}
