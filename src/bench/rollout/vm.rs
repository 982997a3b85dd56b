//! One VM: the agent's transfer code behind its RPC service, with faults.

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

/// One chunk in this many is corrupted when faults are on.
const CORRUPT_ONE_IN: u32 = 100;

/// Where a VM stands.
pub struct Place {
    /// Its number.
    pub index: usize,
    /// Its zone.
    pub zone: usize,
    /// Its region.
    pub region: usize,
    /// The link into its region.
    pub link: Pacer,
}

/// Faults of one VM; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    dead: Arc<AtomicBool>,
    stalled: Arc<AtomicBool>,
    corrupts: bool,
}

impl Handle {
    /// Ends the VM: it falls silent and fetches nothing more.
    pub fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
    }

    /// Lets the VM answer no pull any more; its own go on.
    pub fn stall(&self) {
        self.stalled.store(true, Ordering::Relaxed);
    }

    fn is_silent(&self) -> bool {
        self.dead.load(Ordering::Relaxed) || self.stalled.load(Ordering::Relaxed)
    }
}

/// A VM under measurement.
pub struct Vm {
    /// Its identity.
    pub member: Member,
    /// Its transfer.
    pub transfer: Transfer,
    handle: Handle,
    _stop: smol::channel::Sender<()>,
    _tasks: [smol::Task<()>; 2],
}

impl Vm {
    /// Starts the VM's server; it fetches nothing yet.
    pub fn start(
        place: Place,
        policy: &Policy,
        origin: SocketAddr,
        scenario: &Scenario,
    ) -> Result<Vm> {
        let listener = server::bind(([127, 0, 0, 1], 0).into())?;
        let addr = listener.get_ref().local_addr();
        let rpc = addr.map_err(|e| Error::new(Code::ListenFailed, e.to_string()))?;
        let member = Member {
            name: format!("vm-{}", place.index),
            zone: format!("zone-{}", place.zone),
            region: format!("region-{}", place.region),
            rpc,
        };
        let mut settings = transfer::Settings::new(2 * policy.bytes() + (16 << 20), origin);
        settings.plan = policy.plan.clone();
        settings.part_bytes = PART_LEN;
        settings.links = Links {
            up: Some(Pacer::new(VM_RATE, PART_LEN as f64)),
            down: Some(Pacer::new(VM_RATE, PART_LEN as f64)),
            region: Some(place.link),
        };
        let seed = scenario.seed.wrapping_add(place.index as u64);
        let transfer = Transfer::new(member.clone(), settings, Channels::default(), seed);
        let handle = Handle {
            corrupts: scenario.faults,
            ..Handle::default()
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

    /// Names the members and the version to fetch.
    pub fn begin(&self, members: &[Member], version: Digest) {
        let others = members.iter().filter(|m| **m != self.member);
        self.transfer.set_members(others.cloned().collect());
        self.transfer.set_target("bench", Some(version));
    }

    /// Control over its faults.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// False once it was killed, whether it had finished or not.
    pub fn is_alive(&self) -> bool {
        let dead = self.handle.dead.load(Ordering::Relaxed);
        if dead {
            self.transfer.set_target("bench", None);
        }
        !dead
    }

    /// True when it holds the version whole.
    pub fn is_ready(&self) -> bool {
        self.transfer.ready().is_some()
    }
}

/// Flips a byte of one chunk in [`CORRUPT_ONE_IN`].
pub fn corrupt(bytes: Bytes) -> Bytes {
    if fastrand::u32(..CORRUPT_ONE_IN) > 0 || bytes.is_empty() {
        return bytes;
    }
    let mut bytes = bytes.to_vec();
    let place = fastrand::usize(..bytes.len());
    bytes[place] ^= 1;
    Bytes::from(bytes)
}

/// The agent's service, as far as rollouts need it.
#[derive(Clone, Debug)]
struct Service {
    transfer: Transfer,
    handle: Handle,
}

type Answer<T> = std::result::Result<Response<T>, Status>;
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
        let spoil = handle.corrupts && fastrand::u32(..CORRUPT_ONE_IN) == 0;
        let parts = parts.then(move |part| {
            let handle = handle.clone();
            async move {
                if handle.is_silent() {
                    std::future::pending::<()>().await;
                }
                let mut part = part?;
                if spoil && part.offset == 0 {
                    part.data[0] ^= 1;
                }
                Ok(part)
            }
        });
        Ok(Response::new(Box::pin(parts)))
    }
}
