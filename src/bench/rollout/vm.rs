//! One VM of a measured rollout: the agent's transfer code and RPC service, with injected faults.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use smol::stream::Stream;
use smol::stream::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::agent::transfer;
use crate::agent::transfer::PartStream;
use crate::agent::transfer::Transfer;
use crate::agent::transfer::link::Links;
use crate::agent::transfer::link::Pacer;
use crate::bench::rollout::PART_LEN;
use crate::bench::rollout::Policy;
use crate::bench::rollout::Scenario;
use crate::bench::rollout::VM_RATE;
use crate::net::rpc;
use crate::net::rpc::Channels;
use crate::net::rt;
use crate::net::server;
use crate::net::server::Limits;
use crate::prelude::*;
use crate::proto;
use crate::proto::agent_server::AgentServer;
use crate::rollout::Digest;
use crate::rollout::plan::Member;

/// One answer with a blob in this many is corrupted, on average, when faults are injected.
const CORRUPT_ONE_IN: u32 = 100;

/// Number of a VM, and its location in the network.
pub struct Location {
    /// Number of the VM, from 0.
    pub index: usize,
    /// Number of its zone.
    pub zone: usize,
    /// Number of its region.
    pub region: usize,
    /// Link into its region, shared by all VMs there.
    pub link: Pacer,
}

/// Injects faults into one VM; clones act on the same VM.
#[derive(Clone, Debug, Default)]
pub struct FaultHandle {
    killed: Arc<AtomicBool>,
    stalled: Arc<AtomicBool>,
    corrupts: bool,
}

impl FaultHandle {
    /// Makes the VM answer no more pulls and, from the next call of [`Vm::is_alive`], fetch no more
    /// chunks.
    pub fn kill(&self) {
        self.killed.store(true, Ordering::Relaxed);
    }

    /// Makes the VM answer no more pulls, while its own pulls go on.
    pub fn stall(&self) {
        self.stalled.store(true, Ordering::Relaxed);
    }

    /// Returns true when the VM answers no pulls.
    fn is_silent(&self) -> bool {
        self.killed.load(Ordering::Relaxed) || self.stalled.load(Ordering::Relaxed)
    }
}

/// A VM that fetches the version and serves its chunks to others.
pub struct Vm {
    /// Name, location and address, as the other VMs know them.
    pub member: Member,
    /// The agent's transfer code, which pulls and serves chunks.
    pub transfer: Transfer,
    handle: FaultHandle,
    _stop: smol::channel::Sender<()>,
    _tasks: [smol::Task<()>; 2],
}

impl Vm {
    /// Starts the VM's server on a free port of loopback; it fetches nothing yet.
    ///
    /// Fails when no port can be bound.
    pub fn start(
        location: Location,
        policy: &Policy,
        origin: SocketAddr,
        scenario: &Scenario,
    ) -> Result<Vm> {
        let listener = server::bind(([127, 0, 0, 1], 0).into())?;
        let addr = listener.get_ref().local_addr();
        let rpc = addr.map_err(|e| Error::new(Code::ListenFailed, e.to_string()))?;
        let member = Member {
            name: format!("vm-{}", location.index),
            zone: format!("zone-{}", location.zone),
            region: format!("region-{}", location.region),
            rpc,
        };
        let mut settings = transfer::Settings::new(2 * policy.bytes() + (16 << 20), origin);
        settings.plan = policy.plan.clone();
        settings.part_bytes = PART_LEN;
        settings.links = Links {
            up: Some(Pacer::new(VM_RATE, PART_LEN as f64)),
            down: Some(Pacer::new(VM_RATE, PART_LEN as f64)),
            region: Some(location.link),
        };
        let seed = scenario.seed.wrapping_add(location.index as u64);
        let transfer = Transfer::new(member.clone(), settings, Channels::default(), seed);
        let handle = FaultHandle {
            corrupts: scenario.faults,
            ..FaultHandle::default()
        };
        let service = AgentServer::new(Service {
            transfer: transfer.clone(),
            handle: handle.clone(),
        });
        let (stop, stopped) = smol::channel::bounded(1);
        let serve = server::serve(listener, Limits::default(), stopped, move |request| {
            rpc::answer(service.clone(), request)
        });
        let tasks = [rt::spawn(serve), rt::spawn(transfer.clone().run())];
        Ok(Vm {
            member,
            transfer,
            handle,
            _stop: stop,
            _tasks: tasks,
        })
    }

    /// Starts to fetch `version` from the origin and from the other `members`.
    pub fn start_transfer(&self, members: &[Member], version: Digest) {
        let others = members.iter().filter(|m| **m != self.member);
        self.transfer.set_members(others.cloned().collect());
        self.transfer.set_target("bench", Some(version));
    }

    /// Returns a handle that injects faults into this VM.
    pub fn handle(&self) -> FaultHandle {
        self.handle.clone()
    }

    /// Returns false once the VM was killed, whether it has the version or not.
    ///
    /// A call after the kill also stops its transfer.
    pub fn is_alive(&self) -> bool {
        let killed = self.handle.killed.load(Ordering::Relaxed);
        if killed {
            self.transfer.set_target("bench", None);
        }
        !killed
    }

    /// Returns true when the VM has the complete version.
    pub fn is_ready(&self) -> bool {
        self.transfer.ready().is_some()
    }
}

/// Flips a bit at a random position, for one call in [`CORRUPT_ONE_IN`] on average.
pub fn maybe_corrupt(bytes: Bytes) -> Bytes {
    if fastrand::u32(..CORRUPT_ONE_IN) > 0 || bytes.is_empty() {
        return bytes;
    }
    let mut bytes = bytes.to_vec();
    let position = fastrand::usize(..bytes.len());
    bytes[position] ^= 1;
    Bytes::from(bytes)
}

/// The agent's RPC service, limited to the method that rollouts need.
#[derive(Clone, Debug)]
struct Service {
    transfer: Transfer,
    handle: FaultHandle,
}

/// Result of an RPC.
type Answer<T> = std::result::Result<Response<T>, Status>;
/// Stream of the frames of an answer, which this service never returns.
type FrameStream = Pin<Box<dyn Stream<Item = std::result::Result<proto::Frame, Status>> + Send>>;

#[tonic::async_trait]
impl proto::agent_server::Agent for Service {
    type ServeStream = FrameStream;
    type ChunkStream = PartStream;

    async fn serve(&self, _: Request<proto::ServeRequest>) -> Answer<FrameStream> {
        Err(Status::unimplemented("serve"))
    }

    async fn resolve(&self, _: Request<proto::ResolveRequest>) -> Answer<proto::ResolveReply> {
        Err(Status::unimplemented("resolve"))
    }

    async fn cancel(&self, _: Request<proto::CancelRequest>) -> Answer<proto::CancelReply> {
        Err(Status::unimplemented("cancel"))
    }

    async fn state(&self, _: Request<proto::StateRequest>) -> Answer<proto::StateReply> {
        Err(Status::unimplemented("state"))
    }

    async fn chunk(&self, request: Request<proto::ChunkRequest>) -> Answer<PartStream> {
        if self.handle.is_silent() {
            std::future::pending::<()>().await;
        }
        let parts = self.transfer.chunk(request.into_inner()).await?;
        let handle = self.handle.clone();
        let is_corrupt = handle.corrupts && fastrand::u32(..CORRUPT_ONE_IN) == 0;
        let parts = parts.then(move |part| {
            let handle = handle.clone();
            async move {
                if handle.is_silent() {
                    std::future::pending::<()>().await;
                }
                let mut part = part?;
                if is_corrupt && part.offset == 0 {
                    part.data[0] ^= 1;
                }
                Ok(part)
            }
        });
        Ok(Response::new(Box::pin(parts)))
    }
}
