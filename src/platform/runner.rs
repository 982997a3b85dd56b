//! Client of the control calls of a runner: its report, orders to load a version,
//! and the pieces that are staged for loading.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::member::registry::Holding;
use crate::net::body;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::Limits;
use crate::platform::registry;
use crate::prelude::*;

/// Longest time of a call; the runner is on the same VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest report or list of staged pieces, in bytes.
const MAX_REPORT: usize = 1 << 20;

common! { value
/// State of a runner, as it reports it.
pub struct Report {
    /// Versions of models that it has loaded.
    pub holdings: Vec<Holding>,
    /// True while it carries out an order.
    pub busy: bool,
    /// Number of orders that it has begun since it started.
    pub orders: u64,
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait in its queue.
    pub queued: u32,
    /// Time that work takes at present, relative to the usual time; 1.0 when it does
    /// not state it.
    pub pace: f64,
    /// Tokens in its memory that cannot be evicted; none when it does not state it.
    pub used: Option<u32>,
    /// When it started, in milliseconds by its own wall clock; 0 when it does not
    /// state it.
    pub started: u64,
}
}

#[derive(Deserialize)]
struct ReportDoc {
    #[serde(default)]
    models: Vec<registry::ModelDoc>,
    #[serde(default)]
    layers: Option<registry::Layers>,
    #[serde(default)]
    busy: bool,
    /// Number of orders begun.
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    pace: Option<f64>,
    /// Tokens that cannot be evicted.
    #[serde(default)]
    kv_used: Option<f64>,
    /// Time of the start.
    #[serde(default)]
    born: u64,
}

common! { key
/// Outcome of an order to load a version.
pub enum OrderOutcome {
    /// The runner has begun to carry it out.
    Begun,
    /// The version is loaded already.
    Done,
    /// The runner answered with this HTTP status, for example because its state is
    /// not the expected one. The next report tells its state.
    Refused(u16),
}
}

/// Client of the runner on the same VM.
#[derive(Debug)]
pub struct Runner {
    client: Client,
}

impl Runner {
    /// Creates a client of the runner at `addr`; it connects on the first call.
    pub fn new(addr: SocketAddr) -> Runner {
        let limits = Limits {
            connect_timeout: Duration::from_millis(300),
            max_idle: 4,
            max_idle_age: Duration::from_secs(2),
        };
        Runner {
            client: Client::with_limits(addr, limits),
        }
    }

    /// Reads the present state of the runner.
    pub async fn report(&self) -> Result<Report> {
        let (status, bytes) = self
            .call("GET", "/api/report".to_string(), Bytes::new(), MAX_REPORT)
            .await?;
        let doc: ReportDoc = decode(status, &bytes)?;
        Ok(Report {
            holdings: registry::holdings(&doc.models, doc.layers.as_ref()),
            busy: doc.busy,
            orders: doc.seq,
            running: doc.running,
            queued: doc.queued,
            pace: doc.pace.unwrap_or(1.0),
            used: doc.kv_used.map(|tokens| tokens as u32),
            started: doc.born,
        })
    }

    /// Orders the runner to load the staged pieces of a version after the requests
    /// that it is running.
    ///
    /// `orders` must be the number of orders that the runner has begun. After an
    /// error it is unknown whether the runner took the order; the next report tells
    /// it.
    pub async fn load(&self, model: &str, version: u64, orders: u64) -> Result<OrderOutcome> {
        let order = json!({
            "op": "start", "model": model, "version": version,
            "strategy": "queue", "expected": orders,
        });
        let (status, _) = self
            .call(
                "POST",
                "/api/order".to_string(),
                order.to_string().into(),
                MAX_REPORT,
            )
            .await?;
        Ok(match status.as_u16() {
            202 => OrderOutcome::Begun,
            200 => OrderOutcome::Done,
            other => OrderOutcome::Refused(other),
        })
    }

    /// Returns the numbers of the staged pieces of a model. The runner does not check
    /// their content.
    pub async fn staged(&self, model: &str) -> Result<Vec<u32>> {
        #[derive(Deserialize)]
        struct ListDoc {
            #[serde(default)]
            held: Vec<u32>,
        }
        let path = format!("/api/stage-get/{model}");
        let (status, bytes) = self.call("GET", path, Bytes::new(), MAX_REPORT).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(Vec::new());
        }
        Ok(decode::<ListDoc>(status, &bytes)?.held)
    }

    /// Reads a staged piece of at most `max_bytes` bytes; returns `None` when it is
    /// not staged.
    pub async fn read_staged(
        &self,
        model: &str,
        index: u32,
        max_bytes: usize,
    ) -> Result<Option<Bytes>> {
        let path = format!("/api/stage-get/{model}?num={index}");
        let (status, bytes) = self.call("GET", path, Bytes::new(), max_bytes).await?;
        match status {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => Ok(Some(bytes)),
            status => Err(unexpected_status(status)),
        }
    }

    /// Stages a piece, which replaces any piece staged under the same number.
    pub async fn stage(&self, model: &str, index: u32, piece: Bytes) -> Result<()> {
        let path = format!("/api/stage-put/{model}?num={index}");
        let (status, _) = self.call("PUT", path, piece, MAX_REPORT).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(unexpected_status(status))
        }
    }

    async fn call(
        &self,
        method: &str,
        path: String,
        content: Bytes,
        max_answer: usize,
    ) -> Result<(StatusCode, Bytes)> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.client.addr().to_string());
        if method == "POST" {
            request = request.header("content-type", "application/json");
        }
        let request = request
            .body(body::full(content))
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let call = client::exchange(&self.client, request, max_answer);
        client::timeout(CALL_TIMEOUT, Code::EngineUnavailable, call).await
    }
}

fn unexpected_status(status: StatusCode) -> Error {
    Error::new(
        Code::EngineUnavailable,
        format!("unexpected status {status}"),
    )
}

fn decode<'a, T: Deserialize<'a>>(status: StatusCode, bytes: &'a [u8]) -> Result<T> {
    if !status.is_success() {
        return Err(unexpected_status(status));
    }
    serde_json::from_slice(bytes).map_err(|e| Error::new(Code::ProtocolInvalid, e.to_string()))
}
