//! RPC service through which processes exchange notices and fetch tables from each other.

use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::net::rpc;
use crate::node::Node;
use crate::prelude::*;
use crate::proto;
use crate::proto::peer_server::Peer;

/// Answers peers' calls from the tables of this process.
#[derive(Clone, Debug)]
pub struct PeerService {
    node: Node,
}

impl PeerService {
    /// Creates the service of `node`.
    pub fn new(node: Node) -> PeerService {
        PeerService { node }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<proto::Notice>,
    ) -> std::result::Result<Response<proto::Notice>, Status> {
        Ok(Response::new(
            self.node.table_sync.exchange(request.into_inner()),
        ))
    }

    async fn fetch(
        &self,
        request: Request<proto::FetchRequest>,
    ) -> std::result::Result<Response<proto::FetchReply>, Status> {
        let request = request.into_inner();
        let Some(reply) = self.node.table_sync.fetch(&request) else {
            let detail = format!("fetch of unknown kind {:?}", request.kind);
            return Err(rpc::to_status(&Error::new(Code::ProtocolInvalid, detail)));
        };
        Ok(Response::new(proto::FetchReply::clone(&reply)))
    }
}
