//! Calls to the origin of weights: digests and pieces.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use serde::Deserialize;

use crate::net::body;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::Limits;
use crate::prelude::*;
use crate::rollout::manifest::Digest;
use crate::rollout::pieces::PieceDigests;

/// Time for the list of digests.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for a piece: its share of a link that many may use at once.
const PIECE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Largest list of digests, in bytes.
const MAX_MANIFEST: usize = 4 << 20;

/// Client of an origin.
#[derive(Debug)]
pub struct Origin {
    client: Client,
}

#[derive(Deserialize)]
struct ManifestDoc {
    model: String,
    version: u64,
    digests: Vec<String>,
}

impl Origin {
    /// A client of the origin at `addr`.
    pub fn new(addr: SocketAddr) -> Origin {
        let limits = Limits {
            connect_timeout: Duration::from_millis(2_000),
            max_idle: 2,
            max_idle_age: Duration::from_secs(2),
        };
        Origin {
            client: Client::with_limits(addr, limits),
        }
    }

    /// Address of the origin.
    pub fn addr(&self) -> SocketAddr {
        self.client.addr()
    }

    /// Reads the digests of a version's pieces.
    pub async fn digests(&self, model: &str, version: u64) -> Result<PieceDigests> {
        let path = format!("/api/manifest/{model}?version={version}");
        let bytes = self.get(&path, MANIFEST_TIMEOUT, MAX_MANIFEST).await?;
        let corrupt = |detail: String| Error::new(Code::ManifestCorrupt, detail);
        let doc: ManifestDoc =
            serde_json::from_slice(&bytes).map_err(|e| corrupt(e.to_string()))?;
        if doc.model != model || doc.version != version {
            let detail = format!("{} {} for {model} {version}", doc.model, doc.version);
            return Err(corrupt(detail));
        }
        let digests = doc
            .digests
            .iter()
            .map(|text| format!("sha256:{text}").parse::<Digest>());
        Ok(PieceDigests {
            model: doc.model,
            version: doc.version,
            pieces: digests.collect::<Result<Vec<Digest>>>()?,
        })
    }

    /// Reads a piece of at most `most` bytes; its content is not checked here.
    pub async fn piece(&self, model: &str, version: u64, index: u32, most: usize) -> Result<Bytes> {
        let path = format!("/api/piece/{model}?num={index}&version={version}");
        self.get(&path, PIECE_TIMEOUT, most).await
    }

    async fn get(&self, path: &str, limit: Duration, most: usize) -> Result<Bytes> {
        let request = Request::get(path)
            .header("host", self.client.addr().to_string())
            .body(body::full(""))
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let call = client::exchange(&self.client, request, most);
        let (status, bytes) = client::timeout(limit, Code::OriginUnavailable, call).await?;
        if status != StatusCode::OK {
            let detail = format!("{path}: status {status}");
            return Err(Error::new(Code::OriginUnavailable, detail));
        }
        Ok(bytes)
    }
}
