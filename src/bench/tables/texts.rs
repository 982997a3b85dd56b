//! Table and live-list texts for runs.

use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::util;

/// Port of processes in memory.
const PORT: u16 = 7_000;

/// Size of the tables of a run.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Processes, which are all upstreams.
    pub nodes: usize,
    /// Availability zones.
    pub zones: usize,
    /// Routes.
    pub routes: usize,
    /// Pools.
    pub pools: usize,
}

/// Address of the process `index`.
pub fn addr(index: usize) -> SocketAddr {
    let [_, b, c, d] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, b, c, d), PORT))
}

/// Index of the process at `addr`.
pub fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        return usize::MAX;
    };
    let [_, b, c, d] = addr.ip().octets();
    u32::from_be_bytes([0, b, c, d]) as usize
}

/// Zone of the process `index`.
pub fn zone(index: usize, zones: usize) -> String {
    format!("z{}", index % zones)
}

/// The routes of revision `revision`; `variant` changes one entry.
pub fn routes(shape: Shape, revision: u64, variant: u64) -> String {
    let mut text = format!("# Traffic by path.\nrevision: {revision}\nroutes:\n");
    for route in 0..shape.routes {
        let pool = route % shape.pools;
        let mut deadline = 30_000;
        if route as u64 == variant % shape.routes as u64 {
            deadline += variant;
        }
        let _ = writeln!(text, "  route-{route}:");
        let _ = writeln!(text, "    path: /v1/service-{route}");
        let _ = writeln!(text, "    pool: pool-{pool}");
        let _ = writeln!(text, "    deadline_ms: {deadline}");
    }
    text
}

/// The pools of revision `revision`; `variant` changes the digest of one pool.
pub fn pools(
    shape: Shape,
    revision: u64,
    variant: u64,
    addr_of: impl Fn(usize) -> SocketAddr,
) -> String {
    let mut text = format!("revision: {revision}\npools:\n");
    for pool in 0..shape.pools {
        let mut version = 0;
        if pool as u64 == variant % shape.pools as u64 {
            version = variant;
        }
        let digest = util::digest(format!("pool-{pool} version {version}"));
        let _ = writeln!(text, "  pool-{pool}:");
        let _ = writeln!(text, "    model: model-{pool}");
        let _ = writeln!(text, "    digest: {digest}");
        let _ = writeln!(text, "    upstreams:");
        for node in (pool..shape.nodes).step_by(shape.pools) {
            let rpc = addr_of(node);
            let zone = zone(node, shape.zones);
            let _ = writeln!(text, "      vm-{node}: {{rpc: \"{rpc}\", zone: {zone}}}");
        }
    }
    text
}

/// The live list without the processes that `absent` names.
pub fn live(
    shape: Shape,
    absent: impl Fn(usize) -> bool,
    addr_of: impl Fn(usize) -> SocketAddr,
) -> String {
    let mut text = "vms:\n".to_string();
    for node in (0..shape.nodes).filter(|node| !absent(*node)) {
        let rpc = addr_of(node);
        let zone = zone(node, shape.zones);
        let _ = writeln!(text, "  vm-{node}: {{rpc: \"{rpc}\", zone: {zone}}}");
    }
    text
}
