//! One pull, from another agent or from the origin.

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

/// Where a pull goes.
pub(super) enum From {
    /// The agent at this address; true when it is in another region.
    Peer(SocketAddr, bool),
    /// The origin.
    Origin { model: String, is_manifest: bool },
}

/// Pulls one chunk and hashes it.
pub(super) async fn run(transfer: &Transfer, order: &NewPull, from: From) -> Result<Blob> {
    let bytes = match from {
        From::Peer(addr, outside) => peer(transfer, order, addr, outside).await?,
        From::Origin { model, is_manifest } => {
            let kind = if is_manifest { "manifests" } else { "blobs" };
            origin(transfer, order, &format!("/v2/{model}/{kind}")).await?
        }
    };
    Ok(Blob::new(bytes))
}

async fn peer(
    transfer: &Transfer,
    order: &NewPull,
    addr: SocketAddr,
    outside: bool,
) -> Result<Bytes> {
    let request = proto::ChunkRequest {
        digest: String::new(),
        wait_ms: order.wait.0,
        wanted: order.wanted.iter().map(|d| d.prefix()).collect(),
    };
    let mut client = transfer.shared.channels.agent(addr);
    let answer = client.chunk(request).await;
    let mut parts = answer.map_err(|s| rpc::from_status(&s))?.into_inner();
    let mut held = BytesMut::new();
    let mut total = None;
    while let Some(part) = parts.message().await.map_err(|s| rpc::from_status(&s))? {
        let length = *total.get_or_insert(part.length);
        check(&part, held.len() as u64, length, order.limit)?;
        if held.is_empty() {
            held.reserve(length as usize);
        }
        let links = &transfer.shared.settings.links;
        links.arrive(part.data.len(), outside).await;
        if held.is_empty() {
            transfer.on_first_bytes(order.id, part.digest.parse()?);
        } else {
            transfer.on_progress(order.id);
        }
        held.extend_from_slice(&part.data);
        if held.len() as u64 == length {
            return Ok(held.freeze());
        }
    }
    Err(Error::new(Code::RpcFailed, format!("{addr}: short chunk")))
}

/// Parts must come in order, agree on the length and stay within the bound.
fn check(part: &proto::ChunkPart, held: u64, length: u64, limit: u64) -> Result<()> {
    let data = part.data.len() as u64;
    let in_order = part.offset == held && part.length == length && data > 0;
    if !in_order {
        let detail = format!("part at {} of {}", part.offset, part.length);
        return Err(Error::new(Code::ProtocolInvalid, detail));
    }
    if length > limit || held + data > length {
        let detail = format!("{length} bytes, at most {limit}");
        return Err(Error::new(Code::MessageOversized, detail));
    }
    Ok(())
}

async fn origin(transfer: &Transfer, order: &NewPull, path: &str) -> Result<Bytes> {
    let shared = &transfer.shared;
    let Some(digest) = order.wanted.first() else {
        return Err(Error::new(Code::Internal, "pull without a digest"));
    };
    let request = Request::get(format!("{path}/{digest}"))
        .header("host", shared.origin.addr().to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let (response, kept) = Client::split(shared.origin.send(request).await?);
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(Error::new(Code::ChunkMissing, digest.to_string())),
        status => return Err(Error::new(Code::OriginUnavailable, status.to_string())),
    }
    let mut body = response.into_body();
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Error::new(Code::OriginUnavailable, e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (held.len() + data.len()) as u64 > order.limit {
            let detail = format!("more than {} bytes", order.limit);
            return Err(Error::new(Code::MessageOversized, detail));
        }
        shared.settings.links.arrive(data.len(), true).await;
        held.extend_from_slice(&data);
        transfer.on_progress(order.id);
    }
    shared.origin.give_back(kept);
    Ok(held.freeze())
}
