//! Origin of weights behind an emulated link.

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

/// Parts on their way to one reader.
const BUFFER: usize = 2;

/// The origin; dropping it ends its server.
pub struct Origin {
    running: standin::Running,
    link: Pacer,
}

impl Origin {
    /// Serves `blobs` over a link of `rate` bytes a second.
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

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.running.addr
    }

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.link.passed()
    }
}

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
    let blob = if faults { vm::corrupt(blob) } else { blob };
    let (sender, receiver) = smol::channel::bounded(BUFFER);
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
