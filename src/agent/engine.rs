//! Client of the engine or service behind the agent.

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

/// Time for reading the engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for a load order; its outcome is read from the state afterwards.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Largest state report, in bytes.
const MAX_REPORT: usize = 64 << 10;

/// What the engine says of itself.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Report {
    /// Digest of the loaded version; empty when none.
    pub digest: String,
    /// True while a load is in progress.
    pub loading: bool,
    /// Highest fencing number that the engine has obeyed.
    pub fence: u64,
    /// Requests in progress.
    pub running: usize,
}

/// Client of one engine.
#[derive(Debug)]
pub struct Engine {
    client: Client,
}

impl Engine {
    /// A client of the engine at `addr`.
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

    /// Orders the engine to load a version from `source`.
    ///
    /// An error with [`Run::Unknown`] leaves the outcome open: read the state.
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

    /// Sends a caller's request; the answer's body is still to be read.
    pub async fn forward(&self, request: Request<BoxBody>) -> Result<Answer> {
        self.client.send(request).await
    }

    /// Keeps the connection of an answer that has been read whole.
    pub fn give_back(&self, kept: client::Kept) {
        self.client.give_back(kept);
    }

    /// Address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.client.addr()
    }

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
