//! HTTP client of the engine or service on the agent's VM.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::net::client::Answer;
use crate::net::client::Client;
use crate::prelude::*;

/// Time-out of a read of the engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time-out of a load order; the outcome is read from the engine's state afterwards.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Largest answer to an administrative call, in bytes.
const MAX_REPORT: usize = 64 << 10;

/// State that the engine reports.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Report {
    /// Manifest digest of the loaded version; empty when none is loaded.
    pub digest: String,
    /// True while a load is in progress.
    pub loading: bool,
    /// Highest fencing number of the orders that the engine has accepted.
    pub fence: u64,
    /// Number of requests in progress.
    pub running: usize,
}

/// Client of one engine or service.
#[derive(Debug)]
pub struct Engine {
    client: Client,
}

impl Engine {
    /// Creates a client of the engine at `addr`; it connects when first used.
    pub fn new(addr: SocketAddr) -> Engine {
        Engine {
            client: Client::new(addr),
        }
    }

    /// Reads the engine's state.
    pub async fn report(&self) -> Result<Report> {
        let request = self.request("GET", "/admin/state", "")?;
        let exchange = async {
            let (response, kept) = Client::split(self.client.send(request).await?);
            let bytes = body::read(response.into_body(), MAX_REPORT).await?;
            self.client.give_back(kept);
            Ok(bytes)
        };
        let bytes = client::timeout(STATE_TIMEOUT, Code::EngineUnavailable, exchange).await?;
        serde_json::from_slice(&bytes)
            .map_err(|e| Error::new(Code::ProtocolInvalid, format!("engine state: {e}")))
    }

    /// Orders the engine to load a version, whose chunks it reads from `source`.
    ///
    /// Fails with [`Code::FenceOld`] when the engine has accepted a higher fencing number.
    /// After an error with [`Run::Unknown`] the engine may have loaded; read its state.
    pub async fn load(
        &self,
        model: &str,
        digest: &str,
        fence: u64,
        source: SocketAddr,
    ) -> Result<()> {
        let order = json!({
            "model": model, "digest": digest, "fence": fence, "source": source,
        });
        let request = self.request("POST", "/admin/load", order.to_string())?;
        let exchange = async {
            let (response, kept) = Client::split(self.client.send(request).await?);
            let status = response.status();
            let bytes = body::read(response.into_body(), MAX_REPORT).await?;
            self.client.give_back(kept);
            Ok((status, bytes))
        };
        let (status, bytes) = client::timeout(LOAD_TIMEOUT, Code::LoadFailed, exchange).await?;
        match status {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => Err(Error::new(Code::FenceOld, format!("fence {fence}"))),
            _ => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                Err(Error::new(Code::LoadFailed, text))
            }
        }
    }

    /// Sends a caller's request on a connection of its own and returns the answer, whose body
    /// is not read yet.
    ///
    /// Answers here do not name their request. On a connection that was used before, one that
    /// is sent twice would be taken for the answer to the next request.
    pub async fn forward(&self, request: Request<BoxBody>) -> Result<Answer> {
        self.client.send_fresh(request).await
    }

    /// Address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.client.addr()
    }

    /// Builds an administrative request with a JSON body.
    fn request(
        &self,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Request<BoxBody>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.client.addr().to_string())
            .header("content-type", "application/json")
            .body(body::full(body))
            .map_err(|e| Error::new(Code::Internal, e.to_string()))
    }
}
