//! What entry and agent add to a request, against the engine called directly.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use http::Request;
use serde_json::Value;
use serde_json::json;

use crate::bench::fleet::Fleet;
use crate::bench::fleet::Plan as FleetPlan;
use crate::bench::requests::report::round;
use crate::net::body;
use crate::net::client::Client;
use crate::net::rt;
use crate::prelude::*;
use crate::standin::engine::Behaviour;

/// Largest answer, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Time for a fleet to load its first version.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Longest time that is told apart, in nanoseconds.
const MAX_VALUE: u64 = 60_000_000_000;

/// Requests before the measurement.
const WARM_UP: usize = 200;

/// Callers that send at once for the throughput.
const CALLERS: usize = 32;

/// Measures added latency, one request at a time, and throughput.
///
/// Requests through the path and to the engine alternate, so that noise of the
/// machine meets both alike.
pub async fn measure(requests: usize) -> Result<Value> {
    let fleet = start().await?;
    let through = Arc::new(Client::new(fleet.entries[0].http));
    let direct = Arc::new(Client::new(fleet.agents[0].agent.settings.upstream));
    let mut through_times = histogram();
    let mut direct_times = histogram();
    for index in 0..WARM_UP + requests {
        let took_direct = once(&direct).await?;
        let took_through = once(&through).await?;
        if index >= WARM_UP {
            direct_times.saturating_record(took_direct.as_nanos() as u64);
            through_times.saturating_record(took_through.as_nanos() as u64);
        }
    }
    let (direct_s, direct_cpu) = throughput(&direct, requests).await?;
    let (through_s, through_cpu) = throughput(&through, requests).await?;
    let ms = |times: &Histogram<u64>, q| times.value_at_quantile(q) as f64 / 1e6;
    let added = |q| ms(&through_times, q) - ms(&direct_times, q);
    // Client and engine run in the same process; their share is measured directly.
    let path_cpu = (through_cpu - direct_cpu).max(1e-9);
    Ok(json!({
        "requests": requests,
        "direct_p50_ms": round(ms(&direct_times, 0.5)),
        "direct_p99_ms": round(ms(&direct_times, 0.99)),
        "added_p50_ms": round(added(0.5)),
        "added_p99_ms": round(added(0.99)),
        "direct_requests_s": direct_s.round(),
        "through_requests_s": through_s.round(),
        "cpu_ms_per_request": round(path_cpu * 1e3),
        "requests_s_core": (1.0 / path_cpu).round(),
    }))
}

async fn start() -> Result<Fleet> {
    let fleet = Fleet::start(FleetPlan {
        zones: 1,
        entries: 1,
        engines: 1,
        services: 0,
        weights_len: 64 << 10,
        chunk_len: 64 << 10,
        behaviour: Behaviour {
            token_us: 0,
            batch: CALLERS,
            fenced: true,
        },
        max_running: CALLERS,
        ..FleetPlan::default()
    })
    .await?;
    fleet.until_serving(START_LIMIT).await?;
    Ok(fleet)
}

fn histogram() -> Histogram<u64> {
    // The bounds are constant and valid.
    Histogram::new_with_bounds(1, MAX_VALUE, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

/// Sends one streamed request of one token and reads its answer whole.
async fn once(client: &Client) -> Result<Duration> {
    let begin = Instant::now();
    let body = json!({ "prompt": "overhead", "max_tokens": 1, "stream": true });
    let request = Request::post("/v1/completions")
        .header("host", client.addr().to_string())
        .header("content-type", "application/json")
        .header("x-organisation", "org-0")
        .body(body::full(body.to_string()))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let (response, kept) = Client::split(client.send(request).await?);
    let status = response.status();
    body::read(response.into_body(), MAX_ANSWER).await?;
    client.give_back(kept);
    if !status.is_success() {
        return Err(Error::new(Code::BenchFailed, format!("status {status}")));
    }
    Ok(begin.elapsed())
}

/// Requests a second with several callers, and processor seconds a request.
async fn throughput(client: &Arc<Client>, requests: usize) -> Result<(f64, f64)> {
    let begin = Instant::now();
    let cpu = cpu_seconds();
    let mut tasks = Vec::new();
    for _ in 0..CALLERS {
        let client = client.clone();
        let count = requests.div_ceil(CALLERS);
        tasks.push(rt::spawn(async move {
            for _ in 0..count {
                once(&client).await?;
            }
            Ok::<_, Error>(count)
        }));
    }
    let mut total = 0;
    for task in tasks {
        total += task.await?;
    }
    let used = cpu_seconds() - cpu;
    let rate = total as f64 / begin.elapsed().as_secs_f64();
    Ok((rate, used / total as f64))
}

/// Processor time of this process so far, in seconds, from `/proc/self/stat`.
fn cpu_seconds() -> f64 {
    /// Clock ticks a second; Linux reports 100 to programs on every platform.
    const TICKS: f64 = 100.0;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Fields are counted from the end of the name, which may hold spaces.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let tick = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    (tick(11).unwrap_or_default() + tick(12).unwrap_or_default()) / TICKS
}
