//! Client of the origin of weights, which gives the digests and the pieces of a
//! version.

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

/// Longest time for reading the list of digests.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest time for reading a piece over a link that many agents may share.
const PIECE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Largest list of digests, in bytes.
const MAX_MANIFEST: usize = 4 << 20;

/// Client of an origin of weights.
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
    /// Creates a client of the origin at `addr`; it connects on the first call.
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

    /// Returns the address of the origin.
    pub fn addr(&self) -> SocketAddr {
        self.client.addr()
    }

    /// Reads the digests of the pieces of a version.
    ///
    /// Fails with [`Code::ManifestCorrupt`] when the answer cannot be decoded or is
    /// for another model or version.
    pub async fn digests(&self, model: &str, version: u64) -> Result<PieceDigests> {
        let path = format!("/api/manifest/{model}?version={version}");
        let bytes = self.get(&path, MANIFEST_TIMEOUT, MAX_MANIFEST).await?;
        let corrupt = |detail: String| Error::new(Code::ManifestCorrupt, detail);
        let doc: ManifestDoc =
            serde_json::from_slice(&bytes).map_err(|e| corrupt(e.to_string()))?;
        if doc.model != model || doc.version != version {
            let detail = format!(
                "manifest of {} {}, not of {model} {version}",
                doc.model, doc.version
            );
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

    /// Reads piece `index` of a version, of at most `max_bytes` bytes. The caller
    /// must check its digest.
    pub async fn piece(
        &self,
        model: &str,
        version: u64,
        index: u32,
        max_bytes: usize,
    ) -> Result<Bytes> {
        let path = format!("/api/piece/{model}?num={index}&version={version}");
        self.get(&path, PIECE_TIMEOUT, max_bytes).await
    }

    async fn get(&self, path: &str, timeout: Duration, max_bytes: usize) -> Result<Bytes> {
        let request = Request::get(path)
            .header("host", self.client.addr().to_string())
            .body(body::full(""))
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let call = client::exchange(&self.client, request, max_bytes);
        let (status, bytes) = client::timeout(timeout, Code::OriginUnavailable, call).await?;
        if status != StatusCode::OK {
            let detail = format!("{path}: status {status}");
            return Err(Error::new(Code::OriginUnavailable, detail));
        }
        Ok(bytes)
    }
}
