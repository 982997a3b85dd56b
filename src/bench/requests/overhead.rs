//! Measures the latency and processor time that entry and agent add to a request, compared with
//! direct calls of the engine.

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

/// Limit on the body of an answer, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Time in which a fleet must have loaded its first version.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Upper bound of the histograms, in nanoseconds; longer times are counted in the highest bucket.
const MAX_TIME_NS: u64 = 60_000_000_000;

/// Requests that are sent each way before the measurement.
const WARM_UP_REQUESTS: usize = 200;

/// Concurrent callers while throughput is measured.
const CALLERS: usize = 32;

/// Measures the added latency, one request at a time, and then the throughput of concurrent
/// callers.
///
/// Requests through the entry and to the engine alternate, so that noise of the machine affects
/// both alike. The result is one JSON object; fails when a request does.
pub async fn measure(requests: usize) -> Result<Value> {
    let fleet = start().await?;
    let through = Arc::new(Client::new(fleet.entries[0].http));
    let direct = Arc::new(Client::new(fleet.agents[0].agent.settings.upstream));
    let mut through_times = histogram();
    let mut direct_times = histogram();
    for index in 0..WARM_UP_REQUESTS + requests {
        let took_direct = request_time(&direct).await?;
        let took_through = request_time(&through).await?;
        if index >= WARM_UP_REQUESTS {
            direct_times.saturating_record(took_direct.as_nanos() as u64);
            through_times.saturating_record(took_through.as_nanos() as u64);
        }
    }
    let (direct_s, direct_cpu) = throughput(&direct, requests).await?;
    let (through_s, through_cpu) = throughput(&through, requests).await?;
    let ms = |times: &Histogram<u64>, q| times.value_at_quantile(q) as f64 / 1e6;
    let added = |q| ms(&through_times, q) - ms(&direct_times, q);
    // Client and engine run in this process too; the direct requests measure their share.
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

/// Starts one entry and one agent, whose engine generates tokens without delay.
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
    fleet.until_serving(START_TIMEOUT).await?;
    Ok(fleet)
}

/// Returns an empty histogram of times in nanoseconds.
fn histogram() -> Histogram<u64> {
    // The bounds are constant and valid.
    Histogram::new_with_bounds(1, MAX_TIME_NS, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

/// Sends a streamed request for one token and returns the time until its answer was read.
async fn request_time(client: &Client) -> Result<Duration> {
    let begin = Instant::now();
    let body = json!({ "prompt": "overhead", "max_tokens": 1, "stream": true });
    let request = Request::post("/v1/completions")
        .header("host", client.addr().to_string())
        .header("content-type", "application/json")
        .header("x-organisation", "org-0")
        .body(body::full(body.to_string()))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let (response, connection) = Client::split(client.send(request).await?);
    let status = response.status();
    body::read(response.into_body(), MAX_ANSWER).await?;
    client.give_back(connection);
    if !status.is_success() {
        return Err(Error::new(
            Code::BenchFailed,
            format!("request was answered with status {status}"),
        ));
    }
    Ok(begin.elapsed())
}

/// Sends about `requests` requests from [`CALLERS`] callers; returns the requests a second and the
/// processor seconds of this process for each request.
async fn throughput(client: &Arc<Client>, requests: usize) -> Result<(f64, f64)> {
    let begin = Instant::now();
    let cpu = cpu_seconds();
    let mut tasks = Vec::new();
    for _ in 0..CALLERS {
        let client = client.clone();
        let count = requests.div_ceil(CALLERS);
        tasks.push(rt::spawn(async move {
            for _ in 0..count {
                request_time(&client).await?;
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

/// Returns the processor time of this process so far, in seconds, from `/proc/self/stat`; zero
/// when the file can't be read.
fn cpu_seconds() -> f64 {
    /// Clock ticks a second; Linux reports 100 to programs on every platform.
    const TICKS_S: f64 = 100.0;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Fields are counted from the end of the process name, which may contain spaces.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS_S
}
