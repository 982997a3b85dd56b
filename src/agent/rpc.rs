//! RPC service of the agent.

use std::pin::Pin;

use smol::channel;
use smol::stream::Stream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::agent::Agent;
use crate::agent::booking;
use crate::agent::serve;
use crate::net::rpc::to_status;
use crate::net::rt;
use crate::prelude::*;
use crate::proto;

/// Bytes of a chunk in one message.
const PART_LEN: usize = 256 << 10;

/// Frames that wait for a slow reader before the engine's stream is held back.
const FRAME_BUFFER: usize = 32;

/// Calls of entries and of other agents.
#[derive(Clone, Debug)]
pub struct AgentService {
    agent: Agent,
}

impl AgentService {
    /// The service of `agent`.
    pub fn new(agent: Agent) -> AgentService {
        AgentService { agent }
    }
}

type FrameStream = Pin<Box<dyn Stream<Item = std::result::Result<proto::Frame, Status>> + Send>>;
type PartStream = Pin<Box<dyn Stream<Item = std::result::Result<proto::ChunkPart, Status>> + Send>>;

#[tonic::async_trait]
impl proto::agent_server::Agent for AgentService {
    type ServeStream = FrameStream;
    type ChunkStream = PartStream;

    async fn serve(
        &self,
        request: Request<proto::ServeRequest>,
    ) -> std::result::Result<Response<FrameStream>, Status> {
        let (sender, receiver) = channel::bounded(FRAME_BUFFER);
        let agent = self.agent.clone();
        rt::spawn(serve::run(agent, request.into_inner(), sender)).detach();
        Ok(Response::new(Box::pin(receiver)))
    }

    async fn resolve(
        &self,
        request: Request<proto::ResolveRequest>,
    ) -> std::result::Result<Response<proto::ResolveReply>, Status> {
        let ticket = request.into_inner().ticket;
        Ok(Response::new(booking::resolve(&self.agent, &ticket)))
    }

    async fn cancel(
        &self,
        _request: Request<proto::CancelRequest>,
    ) -> std::result::Result<Response<proto::CancelReply>, Status> {
        Ok(Response::new(proto::CancelReply {}))
    }

    async fn state(
        &self,
        _request: Request<proto::StateRequest>,
    ) -> std::result::Result<Response<proto::StateReply>, Status> {
        let agent = &self.agent;
        let duty = agent.duty();
        let digest = agent.loaded.digest();
        Ok(Response::new(proto::StateReply {
            name: agent.node.settings.name.clone(),
            zone: agent.node.settings.zone.clone(),
            pool: duty.map(|d| d.pool).unwrap_or_default(),
            incarnation: agent.incarnation,
            revision: agent.node.view.stamp().revision,
            serving: digest.is_some(),
            digest: digest.unwrap_or_default(),
            leaving: agent.guard.is_leaving(),
            load: Some(agent.queue.load()),
            ..proto::StateReply::default()
        }))
    }

    async fn chunk(
        &self,
        request: Request<proto::ChunkRequest>,
    ) -> std::result::Result<Response<PartStream>, Status> {
        let digest = request.into_inner().digest;
        let Some(blob) = self.agent.weights.get(&digest) else {
            return Err(to_status(&Error::new(Code::ChunkMissing, digest)));
        };
        let length = blob.len() as u64;
        let parts = (0..blob.len()).step_by(PART_LEN).map(move |start| {
            let end = (start + PART_LEN).min(blob.len());
            Ok(proto::ChunkPart {
                offset: start as u64,
                length,
                data: blob[start..end].to_vec(),
                digest: digest.clone(),
            })
        });
        Ok(Response::new(Box::pin(smol::stream::iter(parts))))
    }
}
