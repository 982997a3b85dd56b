//! Calls to a runner beside requests: its report, orders, and staged pieces.

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

/// Time for a call on the own machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest report or list, in bytes.
const MAX_REPORT: usize = 1 << 20;

common! { value
/// What a runner says of itself.
pub struct Report {
    /// Models that it holds.
    pub holdings: Vec<Holding>,
    /// True while it carries out an order.
    pub busy: bool,
    /// Orders that it has begun since its start.
    pub orders: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Time that work takes at this moment, relative to the usual.
    pub pace: f64,
    /// When it started, by its own wall clock; 0 when it did not say.
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
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    pace: Option<f64>,
    #[serde(default)]
    born: u64,
}

common! { key
/// Outcome of an order.
pub enum OrderOutcome {
    /// It has begun.
    Begun,
    /// It is in effect already.
    Done,
    /// It does not fit the runner's state; read the report.
    Refused(u16),
}
}

/// Client of the runner on the own machine.
#[derive(Debug)]
pub struct Runner {
    client: Client,
}

impl Runner {
    /// A client of the runner at `addr`.
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

    /// Reads the runner's report.
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
            started: doc.born,
        })
    }

    /// Orders the runner to load what is staged, after the work that it runs.
    ///
    /// `orders` must be the number of orders that it has begun. An error
    /// leaves the outcome open: read the report.
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

    /// Numbers of the staged pieces of a model; their content is not checked.
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

    /// Reads a staged piece of at most `most` bytes; none when it is not staged.
    pub async fn read_staged(&self, model: &str, index: u32, most: usize) -> Result<Option<Bytes>> {
        let path = format!("/api/stage-get/{model}?num={index}");
        let (status, bytes) = self.call("GET", path, Bytes::new(), most).await?;
        match status {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => Ok(Some(bytes)),
            status => Err(failed(status)),
        }
    }

    /// Stages a piece, in place of what was staged under its number.
    pub async fn stage(&self, model: &str, index: u32, piece: Bytes) -> Result<()> {
        let path = format!("/api/stage-put/{model}?num={index}");
        let (status, _) = self.call("PUT", path, piece, MAX_REPORT).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(failed(status))
        }
    }

    async fn call(
        &self,
        method: &str,
        path: String,
        content: Bytes,
        limit: usize,
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
        let call = client::exchange(&self.client, request, limit);
        client::timeout(CALL_TIMEOUT, Code::EngineUnavailable, call).await
    }
}

fn failed(status: StatusCode) -> Error {
    Error::new(Code::EngineUnavailable, format!("status {status}"))
}

fn decode<'a, T: Deserialize<'a>>(status: StatusCode, bytes: &'a [u8]) -> Result<T> {
    if !status.is_success() {
        return Err(failed(status));
    }
    serde_json::from_slice(bytes).map_err(|e| Error::new(Code::ProtocolInvalid, e.to_string()))
}
