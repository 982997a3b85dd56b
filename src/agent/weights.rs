//! Weights on this agent: fetched by the transfer, served to other agents and to the engine.

use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol::future::FutureExt;
use tonic::Status;

use crate::agent::Agent;
use crate::agent::transfer::PartStream;
use crate::agent::transfer::Settings;
use crate::agent::transfer::Transfer;
use crate::config::AgentSettings;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::rpc::Channels;
use crate::prelude::*;
use crate::proto;
use crate::rollout::Digest;
use crate::rollout::manifest::blob_digest;
use crate::rollout::plan::Member;

/// Interval at which a pull checks its target again, in case it missed a change of the tables.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Verified chunks of weights and their transfer; clones share them.
#[derive(Clone, Debug)]
pub struct Weights {
    transfer: Transfer,
    /// Bytes of chunks that may be held.
    limit: usize,
}

impl Weights {
    /// Starts without chunks and without a version to fetch.
    pub fn new(settings: &AgentSettings, channels: Channels, seed: u64) -> Weights {
        let node = &settings.node;
        let own = Member {
            name: node.name.clone(),
            zone: node.zone.clone(),
            region: node.region.clone(),
            rpc: node.rpc,
        };
        let limit = settings.staging_mb << 20;
        let bounds = Settings::new(limit as u64, settings.origin);
        Weights {
            transfer: Transfer::new(own, bounds, channels, seed),
            limit,
        }
    }

    /// Ends transfers that have timed out, until the task is dropped.
    pub async fn run(self) {
        self.transfer.run().await;
    }

    /// Answers another agent's request for a chunk.
    pub async fn chunk(
        &self,
        request: proto::ChunkRequest,
    ) -> std::result::Result<PartStream, Status> {
        self.transfer.chunk(request).await
    }

    /// Returns the state of the transfer as JSON, for operators.
    pub fn dump(&self) -> Value {
        let (held, all) = self.transfer.counts();
        json!({
            "bytes": self.transfer.staged(),
            "limit": self.limit,
            "chunks_held": held,
            "chunks_total": all,
            "ready": self.transfer.ready().map(|d| d.to_string()),
            "refused": self.transfer.refused().map(|e| e.to_string()),
            "stats": self.transfer.stats(),
        })
    }

    /// Number of chunks held and number of all chunks of the wanted version.
    pub fn counts(&self) -> (usize, usize) {
        self.transfer.counts()
    }

    /// Answers the engine's request for a blob, in the OCI distribution API.
    pub fn serve_blob(&self, request: &Request<Incoming>) -> Response<BoxBody> {
        let digest = blob_digest(request.uri().path()).and_then(|d| d.parse().ok());
        match digest.and_then(|d| self.transfer.get(d)) {
            Some(blob) => Response::new(body::full(blob)),
            None => {
                let mut response = Response::new(body::full("no such blob\n"));
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}

/// Members of this agent's pool, without this agent.
fn pool_members(agent: &Agent) -> Vec<Member> {
    let Some(set) = agent.node.in_force.get() else {
        return Vec::new();
    };
    let own = &agent.node.settings.name;
    let Some((_, pool, _)) = set.upstream(own) else {
        return Vec::new();
    };
    let others = pool.upstreams.iter().filter(|(name, _)| *name != own);
    others
        .map(|(name, upstream)| Member {
            name: name.clone(),
            zone: upstream.zone.clone(),
            region: upstream.region.clone(),
            rpc: upstream.rpc,
        })
        .collect()
}

/// Fetches a version and returns when all of it is held and verified.
///
/// Fails when the tables name another version, or when the version's manifest is refused.
pub async fn pull(agent: &Agent, model: &str, digest: &str) -> Result<()> {
    let version: Digest = digest.parse()?;
    let transfer = &agent.weights.transfer;
    loop {
        let (changed, tables) = (transfer.listen(), agent.node.in_force.listen());
        if agent.assignment().is_none_or(|d| d.digest != digest) {
            let detail = "the tables name another version";
            return Err(Error::new(Code::Cancelled, detail));
        }
        transfer.set_members(pool_members(agent));
        transfer.set_target(model, Some(version));
        if transfer.ready() == Some(version) {
            return Ok(());
        }
        if let Some(error) = transfer.refused() {
            return Err(error);
        }
        let recheck = async {
            smol::Timer::after(RECHECK_INTERVAL).await;
        };
        changed.or(tables).or(recheck).await;
    }
}
