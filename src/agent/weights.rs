//! Chunks of weights: pulled, verified, held, served to peers and to the engine.

use std::sync::Mutex;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::agent::Agent;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client::Client;
use crate::prelude::*;
use crate::standin::origin::blob_digest;
use crate::util;

/// Largest manifest, in bytes.
const MAX_MANIFEST: usize = 1 << 20;

/// A version's list of chunks.
#[derive(Clone, Debug, Deserialize)]
pub struct Manifest {
    /// Chunks in order.
    pub layers: Vec<Layer>,
}

/// One chunk of a version.
#[derive(Clone, Debug, Deserialize)]
pub struct Layer {
    /// Its SHA-256.
    pub digest: String,
    /// Its length, in bytes.
    pub size: usize,
}

#[derive(Debug, Default)]
struct State {
    blobs: IndexMap<String, Bytes>,
    bytes: usize,
}

/// Verified blobs by digest; clones share them.
///
/// # Invariants
///
/// Each blob hashes to its key.
#[derive(Clone, Debug)]
pub struct Weights {
    state: Arc<Mutex<State>>,
    limit: usize,
}

impl Weights {
    /// An empty store of at most `limit` bytes.
    pub fn new(limit: usize) -> Weights {
        Weights {
            state: Arc::new(Mutex::new(State::default())),
            limit,
        }
    }

    /// The blob with this digest.
    pub fn get(&self, digest: &str) -> Option<Bytes> {
        self.lock().blobs.get(digest).cloned()
    }

    /// Verifies and stores a blob.
    pub fn insert(&self, digest: &str, blob: Bytes) -> Result<()> {
        if util::digest(&blob) != digest {
            return Err(Error::new(Code::ChunkCorrupt, digest));
        }
        let mut state = self.lock();
        if state.bytes + blob.len() > self.limit {
            let detail = format!("{} bytes held", state.bytes);
            return Err(Error::new(Code::StagingFull, detail));
        }
        state.bytes += blob.len();
        state.blobs.insert(digest.to_string(), blob);
        Ok(())
    }

    /// Drops every blob whose digest is not in `keep`.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut state = self.lock();
        state.blobs.retain(|digest, _| keep(digest));
        state.bytes = state.blobs.values().map(Bytes::len).sum();
    }

    /// Counts, for operators.
    pub fn dump(&self) -> Value {
        let state = self.lock();
        json!({ "blobs": state.blobs.len(), "bytes": state.bytes, "limit": self.limit })
    }

    /// Serves a blob to the engine over the OCI distribution API.
    pub fn answer(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        let blob = blob_digest(request.uri().path()).and_then(|d| self.get(d));
        match blob {
            Some(blob) => Response::new(body::full(blob)),
            None => {
                let mut response = Response::new(body::full("no such blob\n"));
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Pulls a version whole and verified into the store.
pub async fn pull(agent: &Agent, model: &str, digest: &str) -> Result<()> {
    let origin = Client::new(agent.settings.origin);
    let manifest = blob(agent, &origin, model, "manifests", digest, MAX_MANIFEST).await?;
    let manifest: Manifest = serde_json::from_slice(&manifest)
        .map_err(|e| Error::new(Code::ManifestCorrupt, e.to_string()))?;
    let wanted = |held: &str| held == digest || manifest.layers.iter().any(|l| l.digest == held);
    agent.weights.retain(wanted);
    for layer in &manifest.layers {
        let chunk = blob(agent, &origin, model, "blobs", &layer.digest, layer.size).await?;
        if chunk.len() != layer.size {
            return Err(Error::new(Code::ChunkLength, layer.digest.clone()));
        }
    }
    Ok(())
}

async fn blob(
    agent: &Agent,
    origin: &Client,
    model: &str,
    kind: &str,
    digest: &str,
    limit: usize,
) -> Result<Bytes> {
    if let Some(blob) = agent.weights.get(digest) {
        return Ok(blob);
    }
    let request = Request::get(format!("/v2/{model}/{kind}/{digest}"))
        .header("host", origin.addr().to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let (response, kept) = Client::split(origin.send(request).await?);
    if !response.status().is_success() {
        let detail = format!("{digest}: status {}", response.status());
        return Err(Error::new(Code::ChunkMissing, detail));
    }
    let blob = body::read(response.into_body(), limit).await?;
    origin.give_back(kept);
    agent.weights.insert(digest, blob.clone())?;
    Ok(blob)
}
