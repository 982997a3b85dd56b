//! Origin that serves the chunks of a version over an emulated link.

use std::net::SocketAddr;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::agent::transfer::link::Pacer;
use crate::bench::rollout::PART_LEN;
use crate::bench::rollout::vm;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::rt;
use crate::prelude::*;
use crate::rollout::Digest;
use crate::rollout::manifest::blob_digest;
use crate::standin;

/// Parts of an answer that are buffered until the client reads them.
const BUFFERED_PARTS: usize = 2;

/// A running origin; its server stops when it is dropped.
pub struct Origin {
    running: standin::ServerHandle,
    link: Pacer,
}

impl Origin {
    /// Starts a server on loopback that sends `blobs` over a link of `rate` bytes a second.
    ///
    /// With `faults`, some of its answers are corrupted. Fails when no port can be bound.
    pub fn start(blobs: IndexMap<Digest, Bytes>, rate: f64, faults: bool) -> Result<Origin> {
        let link = Pacer::new(rate, PART_LEN as f64);
        let blobs = Arc::new(blobs);
        let pacer = link.clone();
        let running = standin::start(([127, 0, 0, 1], 0).into(), move |request| {
            let (blobs, link) = (blobs.clone(), pacer.clone());
            async move { answer(&blobs, link, &request, faults) }
        })?;
        Ok(Origin { running, link })
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.running.addr
    }

    /// Returns the bytes sent so far, to all VMs.
    pub fn sent(&self) -> u64 {
        self.link.passed()
    }
}

/// Answers a request for a blob by its digest; status 404 for an unknown one.
fn answer(
    blobs: &IndexMap<Digest, Bytes>,
    link: Pacer,
    request: &Request<Incoming>,
    faults: bool,
) -> Response<BoxBody> {
    let digest = blob_digest(request.uri().path()).and_then(|d| d.parse::<Digest>().ok());
    let Some(blob) = digest.and_then(|d| blobs.get(&d)).cloned() else {
        let mut missing = Response::new(body::full("no such blob\n"));
        *missing.status_mut() = StatusCode::NOT_FOUND;
        return missing;
    };
    let blob = if faults {
        vm::maybe_corrupt(blob)
    } else {
        blob
    };
    let (sender, receiver) = smol::channel::bounded(BUFFERED_PARTS);
    rt::spawn(async move {
        for start in (0..blob.len()).step_by(PART_LEN) {
            let end = (start + PART_LEN).min(blob.len());
            link.pass(end - start).await;
            if sender.send(Ok(Some(blob.slice(start..end)))).await.is_err() {
                return;
            }
        }
        let _ = sender.send(Ok(None)).await;
    })
    .detach();
    Response::new(body::channel(receiver))
}
