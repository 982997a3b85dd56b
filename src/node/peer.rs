//! RPC service through which processes exchange tables.

use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::node::Node;
use crate::proto;
use crate::proto::peer_server::Peer;

/// Serves the tables in force to peers.
#[derive(Clone, Debug)]
pub struct PeerService {
    node: Node,
}

impl PeerService {
    /// The service of `node`.
    pub fn new(node: Node) -> PeerService {
        PeerService { node }
    }

    fn notice(&self) -> proto::Notice {
        let stamp = self.node.view.stamp();
        proto::Notice {
            from: self.node.settings.rpc.to_string(),
            zone: self.node.settings.zone.clone(),
            revision: stamp.revision,
            digest: stamp.digest,
            suspects: self.node.suspects.export(self.node.clock.now()),
            ..proto::Notice::default()
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<proto::Notice>,
    ) -> Result<Response<proto::Notice>, Status> {
        let notice = request.into_inner();
        let now = self.node.clock.now();
        self.node
            .suspects
            .merge(now, &notice.from, &notice.suspects);
        Ok(Response::new(self.notice()))
    }

    async fn fetch(
        &self,
        _request: Request<proto::FetchRequest>,
    ) -> Result<Response<proto::FetchReply>, Status> {
        let Some(set) = self.node.view.get() else {
            return Err(Status::unavailable("no tables are in force"));
        };
        Ok(Response::new(proto::FetchReply {
            revision: set.stamp.revision,
            digest: set.stamp.digest.clone(),
            routes: set.routes_text.clone(),
            pools: set.pools_text.clone(),
            ..proto::FetchReply::default()
        }))
    }
}
