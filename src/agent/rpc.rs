//! RPC service of the agent, which entries and other agents call.

use std::pin::Pin;

use smol::channel;
use smol::stream::Stream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::agent::Agent;
use crate::agent::serve;
use crate::agent::ticketed;
use crate::agent::transfer::PartStream;
use crate::net::rt;
use crate::proto;

/// Frames that are buffered for a slow reader before the engine's stream is paused.
const FRAME_BUFFER: usize = 32;

/// Answers calls of entries and of other agents.
#[derive(Clone, Debug)]
pub struct AgentService {
    agent: Agent,
}

impl AgentService {
    /// Creates the service of `agent`.
    pub fn new(agent: Agent) -> AgentService {
        AgentService { agent }
    }
}

type FrameStream = Pin<Box<dyn Stream<Item = Result<proto::Frame, Status>> + Send>>;

#[tonic::async_trait]
impl proto::agent_server::Agent for AgentService {
    type ServeStream = FrameStream;
    type ChunkStream = PartStream;

    async fn serve(
        &self,
        request: Request<proto::ServeRequest>,
    ) -> Result<Response<FrameStream>, Status> {
        let (sender, receiver) = channel::bounded(FRAME_BUFFER);
        let agent = self.agent.clone();
        rt::spawn(serve::run(agent, request.into_inner(), sender)).detach();
        Ok(Response::new(Box::pin(receiver)))
    }

    async fn resolve(
        &self,
        request: Request<proto::ResolveRequest>,
    ) -> Result<Response<proto::ResolveReply>, Status> {
        let ticket = request.into_inner().ticket;
        Ok(Response::new(ticketed::resolve(&self.agent, &ticket)))
    }

    /// Does nothing: an attempt is cancelled when its stream is closed.
    async fn cancel(
        &self,
        _request: Request<proto::CancelRequest>,
    ) -> Result<Response<proto::CancelReply>, Status> {
        Ok(Response::new(proto::CancelReply {}))
    }

    async fn state(
        &self,
        _request: Request<proto::StateRequest>,
    ) -> Result<Response<proto::StateReply>, Status> {
        let agent = &self.agent;
        let assignment = agent.assignment();
        let digest = agent.loaded.digest();
        let (held, total) = agent.weights.counts();
        Ok(Response::new(proto::StateReply {
            chunks_held: held as u32,
            chunks_total: total as u32,
            name: agent.node.settings.name.clone(),
            zone: agent.node.settings.zone.clone(),
            load_failures: assignment
                .as_ref()
                .map_or(0, |d| agent.loaded.failures(&d.digest)),
            pool: assignment.map(|d| d.pool).unwrap_or_default(),
            incarnation: agent.incarnation,
            revision: agent.node.in_force.stamp().revision,
            serving: digest.is_some(),
            digest: digest.unwrap_or_default(),
            leaving: agent.admission.is_leaving(),
            load: Some(agent.queue.load()),
        }))
    }

    async fn chunk(
        &self,
        request: Request<proto::ChunkRequest>,
    ) -> Result<Response<PartStream>, Status> {
        let parts = self.agent.weights.chunk(request.into_inner()).await?;
        Ok(Response::new(parts))
    }
}
