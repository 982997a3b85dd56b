//! Stand-in for the origin of weights. It serves the read requests of the OCI
//! distribution API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::json;

use crate::error::Result;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::rollout::manifest::blob_digest;
use crate::standin;
use crate::standin::ServerHandle;
use crate::util;

/// Media type of a manifest.
pub const MANIFEST_TYPE: &str = "application/vnd.oci.image.manifest.v1+json";

/// Media type of a chunk of weights.
pub const CHUNK_TYPE: &str = "application/vnd.chervilquay.chunk.v1";

/// The origin's content by digest; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Origin {
    blobs: Arc<Mutex<IndexMap<String, Bytes>>>,
    bytes_sent: Arc<AtomicU64>,
}

impl Origin {
    /// Stores a version in chunks of at most `chunk_len` bytes and returns the digest
    /// of its manifest.
    pub fn publish(&self, weights: &[u8], chunk_len: usize) -> String {
        let mut layers = Vec::new();
        for chunk in weights.chunks(chunk_len) {
            let digest = self.store(Bytes::copy_from_slice(chunk));
            layers.push(json!({
                "mediaType": CHUNK_TYPE,
                "digest": digest,
                "size": chunk.len(),
            }));
        }
        let manifest = json!({
            "schemaVersion": 2,
            "mediaType": MANIFEST_TYPE,
            "layers": layers,
        });
        self.store(Bytes::from(manifest.to_string()))
    }

    /// Stores a blob and returns its digest.
    fn store(&self, blob: Bytes) -> String {
        let digest = util::digest(&blob);
        let mut blobs = self.blobs.lock().unwrap_or_else(|e| e.into_inner());
        blobs.insert(digest.clone(), blob);
        digest
    }

    /// Returns the number of bytes sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    /// Starts an HTTP server for the content on `addr`.
    pub fn start(&self, addr: SocketAddr) -> Result<ServerHandle> {
        let origin = self.clone();
        standin::start(addr, move |request| {
            let origin = origin.clone();
            async move { origin.answer(&request) }
        })
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        let digest = blob_digest(request.uri().path());
        let blobs = self.blobs.lock().unwrap_or_else(|e| e.into_inner());
        let Some(blob) = digest.and_then(|d| blobs.get(d)) else {
            return standin::text(StatusCode::NOT_FOUND, "no such blob");
        };
        self.bytes_sent
            .fetch_add(blob.len() as u64, Ordering::Relaxed);
        Response::new(body::full(blob.clone()))
    }
}
