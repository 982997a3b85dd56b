//! Pulls one chunk from another agent or from the origin.

use std::net::SocketAddr;

use bytes::BytesMut;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;

use crate::agent::transfer::Transfer;
use crate::net::body;
use crate::net::client::Client;
use crate::net::rpc;
use crate::prelude::*;
use crate::proto;
use crate::rollout::Blob;
use crate::rollout::plan::NewPull;

/// Where to pull from.
pub(super) enum PullSource {
    /// The agent at this address; the flag tells that it is in another region.
    Peer(SocketAddr, bool),
    /// The origin, by the path of a manifest or of another blob of the model.
    Origin { model: String, is_manifest: bool },
}

/// Pulls one of the wanted chunks and computes its digest, for the planner to check.
pub(super) async fn run(transfer: &Transfer, pull: &NewPull, source: PullSource) -> Result<Blob> {
    let bytes = match source {
        PullSource::Peer(addr, is_outside) => {
            pull_from_peer(transfer, pull, addr, is_outside).await?
        }
        PullSource::Origin { model, is_manifest } => {
            let kind = if is_manifest { "manifests" } else { "blobs" };
            pull_from_origin(transfer, pull, &format!("/v2/{model}/{kind}")).await?
        }
    };
    Ok(Blob::new(bytes))
}

/// Pulls one of the wanted chunks from another agent, which chooses the chunk.
async fn pull_from_peer(
    transfer: &Transfer,
    pull: &NewPull,
    addr: SocketAddr,
    is_outside: bool,
) -> Result<Bytes> {
    let request = proto::ChunkRequest {
        digest: String::new(),
        wait_ms: pull.wait.0,
        wanted: pull.wanted.iter().map(|d| d.prefix()).collect(),
    };
    let mut client = transfer.shared.channels.agent(addr);
    let answer = client.chunk(request).await;
    let mut parts = answer.map_err(|s| rpc::from_status(&s))?.into_inner();
    let mut received = BytesMut::new();
    let mut total = None;
    while let Some(part) = parts.message().await.map_err(|s| rpc::from_status(&s))? {
        let length = *total.get_or_insert(part.length);
        check_part(&part, received.len() as u64, length, pull.limit)?;
        if received.is_empty() {
            received.reserve(length as usize);
        }
        let links = &transfer.shared.settings.links;
        links.pace_download(part.data.len(), is_outside).await;
        if received.is_empty() {
            transfer.on_first_bytes(pull.id, part.digest.parse()?);
        } else {
            transfer.on_progress(pull.id);
        }
        received.extend_from_slice(&part.data);
        if received.len() as u64 == length {
            return Ok(received.freeze());
        }
    }
    Err(Error::new(Code::RpcFailed, format!("{addr}: short chunk")))
}

/// Checks that the parts of a chunk arrive in order, state the same length and do not
/// exceed `limit` bytes.
fn check_part(part: &proto::ChunkPart, received: u64, length: u64, limit: u64) -> Result<()> {
    let data = part.data.len() as u64;
    let is_valid = part.offset == received && part.length == length && data > 0;
    if !is_valid {
        let detail = format!("part at {} of {}", part.offset, part.length);
        return Err(Error::new(Code::ProtocolInvalid, detail));
    }
    if length > limit || received + data > length {
        let detail = format!("{length} bytes, at most {limit}");
        return Err(Error::new(Code::MessageOversized, detail));
    }
    Ok(())
}

/// Pulls the first wanted chunk from the origin over the OCI distribution API.
async fn pull_from_origin(transfer: &Transfer, pull: &NewPull, path: &str) -> Result<Bytes> {
    let shared = &transfer.shared;
    let Some(digest) = pull.wanted.first() else {
        return Err(Error::new(Code::Internal, "pull without a digest"));
    };
    let request = Request::get(format!("{path}/{digest}"))
        .header("host", shared.origin.addr().to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let (response, connection) = Client::split(shared.origin.send(request).await?);
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(Error::new(Code::ChunkMissing, digest.to_string())),
        status => return Err(Error::new(Code::OriginUnavailable, status.to_string())),
    }
    let mut body = response.into_body();
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Error::new(Code::OriginUnavailable, e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (received.len() + data.len()) as u64 > pull.limit {
            let detail = format!("more than {} bytes", pull.limit);
            return Err(Error::new(Code::MessageOversized, detail));
        }
        shared.settings.links.pace_download(data.len(), true).await;
        received.extend_from_slice(&data);
        transfer.on_progress(pull.id);
    }
    shared.origin.give_back(connection);
    Ok(received.freeze())
}
