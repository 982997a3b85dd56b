//! Keeps the replica up to date: from the store, and from peers that are ahead.

use std::net::IpAddr;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use prost::Message;
use smol::channel::Receiver;

use crate::direct::node::Node;
use crate::direct::wire::DeltaDoc;
use crate::member::peers::Role;
use crate::member::store_watch;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::Limits;
use crate::platform::store::Store;
use crate::prelude::*;
use slog::info;

/// Interval at which an entry looks whether it should read the store.
const NEED_INTERVAL: Duration = Duration::from_millis(100);

/// Time that the own watch gets before a peer is asked.
const WATCH_LEAD: Duration = Duration::from_millis(30);

/// Time for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Age up to which a connection to a peer is used again: a peer that was
/// replaced meanwhile would cost a failed call.
const PEER_IDLE: Duration = Duration::from_secs(2);

/// Peers whose connections are kept.
const MAX_CLIENTS: usize = 16;

/// Largest delta.
const MAX_DELTA: usize = 64 << 20;

/// Time without any entry after which an agent reads the store itself.
const ALONE: Millis = Millis(1_500);

/// Interval at which an agent without entries reads the store.
const ALONE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Heartbeats that fall into the shortest outage in which an entry can lapse:
/// the store removes it after three, and the last one before the outage may be
/// a whole interval old.
const OUTAGE_BEATS: u64 = 2;

/// Path of the deltas on the internal port.
pub const PATH: &str = "/feed";

/// Reads the store for as long as the task is kept.
pub async fn read_store(node: Node) {
    let store = Store::new(node.settings().store);
    let mut failures = 0_u32;
    loop {
        if !is_needed(&node) {
            node.cluster().watch.on_idle();
            smol::Timer::after(NEED_INTERVAL).await;
            continue;
        }
        let done = read(&node, &store).await;
        let code = done.as_ref().err().map(|error| error.code);
        node.metrics().outcome(Metric::StoreTotal, code);
        match done {
            Ok(is_back) => {
                if is_back {
                    info!(node.log().logger(), "platform: store is back"; "failures" => failures);
                }
                failures = 0;
                let rest = node.cluster().watch.next_call_in(node.now());
                smol::Timer::after(rest.duration()).await;
            }
            Err(error) => {
                if failures == 0 {
                    info!(node.log().logger(), "platform: store is lost"; &error);
                }
                failures += 1;
                let most = {
                    let mut cluster = node.cluster();
                    cluster.store_failed();
                    cluster.watch.backoff().0
                };
                let wait = fastrand::u64(most / 2..=most);
                smol::Timer::after(Duration::from_millis(wait)).await;
            }
        }
    }
}

/// True when this entry should read the store: always before it knows anything,
/// and while peers have news that it cannot get from them.
fn is_needed(node: &Node) -> bool {
    let is_own = {
        let cluster = node.cluster();
        !cluster.replica.is_synced() || cluster.watch.is_stuck(node.now())
    };
    if is_own {
        return true;
    }
    let settings = node.settings();
    let peers = node.peers();
    store_watch::should_read(node.now(), &settings.name, &settings.zone, &peers)
}

/// True when others may rely on this process for news of the store.
pub fn is_reader(node: &Node) -> bool {
    node.cluster().watch.is_reliable(node.now())
}

/// Shortest outage of the store in which an entry can lapse.
fn least_outage(node: &Node) -> Millis {
    Millis(OUTAGE_BEATS * node.settings().heartbeat.0)
}

/// Reads once; true when the store was away before.
async fn read(node: &Node, store: &Store) -> Result<bool> {
    let (at, call) = {
        let cluster = node.cluster();
        (cluster.replica.revision(), cluster.watch.next_call())
    };
    let asked = node.now();
    let changes = if at == 0 {
        None
    } else {
        store.watch("", at, call).await?
    };
    let delta = match changes {
        Some(delta) => delta,
        // The first read, or a history that is gone.
        None => store.list("").await?,
    };
    let (is_back, left) = {
        let mut cluster = node.cluster();
        let is_back = cluster.store_answered(node.now(), least_outage(node));
        cluster.watch.note_wait(node.now(), asked);
        (is_back, cluster.grace_left(node.now()))
    };
    node.apply(delta, left, "store");
    node.cluster().watch.on_complete(node.now());
    Ok(is_back)
}

/// Reads the store while no entry is known, for as long as the task is kept.
pub async fn read_store_alone(node: Node) {
    let store = Store::new(node.settings().store);
    let mut heard = node.now();
    loop {
        smol::Timer::after(Duration::from_millis(250)).await;
        let now = node.now();
        if node.peers().with_role(Role::Entry).next().is_some() {
            heard = now;
        }
        if now.since(heard) < ALONE {
            continue;
        }
        if let Err(error) = read_once(&node, &store).await {
            info!(node.log().logger(), "platform: no entry and no store"; &error);
        }
        smol::Timer::after(ALONE_INTERVAL).await;
    }
}

async fn read_once(node: &Node, store: &Store) -> Result<()> {
    let delta = store.list("").await?;
    node.apply(delta, Millis(0), "store");
    Ok(())
}

/// Fetches changes from peers whose replica is ahead; each token is a reason to look.
pub async fn follow_peers(node: Node, behind: Receiver<()>) {
    let mut clients: IndexMap<IpAddr, Client> = IndexMap::new();
    while behind.recv().await.is_ok() {
        if is_reader(&node) {
            smol::Timer::after(WATCH_LEAD).await;
        }
        let at = node.cluster().replica.revision();
        let zone = node.settings().zone.clone();
        let ahead: Vec<_> = {
            let peers = node.peers();
            let ahead = peers.ahead(&zone, at);
            ahead
                .into_iter()
                .take(3)
                .map(|p| (p.ip, p.name.clone(), p.is_reader))
                .collect()
        };
        for (ip, name, reads) in ahead {
            if clients.len() >= MAX_CLIENTS {
                clients.clear();
            }
            let asked = node.now();
            let client = clients.entry(ip).or_insert_with(|| peer_client(&node, ip));
            match fetch(client, at).await {
                Ok(doc) => {
                    let left = doc.grace_left(node.now().since(asked));
                    if !doc.docs.is_empty() {
                        node.cluster().watch.on_peer_news(node.now());
                    }
                    // Only a reader's news shows that the store is there, and
                    // a whole content may be old.
                    let is_fresh = reads && !doc.whole && !doc.docs.is_empty();
                    if left == Millis(0) && is_fresh {
                        let least = least_outage(&node);
                        node.cluster().peer_had_changes(node.now(), least);
                    }
                    let named = doc.to_named(node.now());
                    node.apply(doc.into_delta(), left, &name);
                    node.merge_versions(&named);
                    break;
                }
                Err(error) => {
                    info!(node.log().logger(), "table: peer gave no changes"; "peer" => name, &error);
                }
            }
        }
    }
}

/// Client of a peer; one connection is kept, as changes come in bursts.
fn peer_client(node: &Node, ip: IpAddr) -> Client {
    let limits = Limits {
        connect: PEER_TIMEOUT,
        idle: 1,
        idle_age: PEER_IDLE,
    };
    Client::with_limits(node.internal_addr(ip), limits)
}

async fn fetch(peer: &Client, after: u64) -> Result<DeltaDoc> {
    let request = Request::get(format!("{PATH}?after={after}"))
        .header("host", peer.addr().to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let call = client::exchange(peer, request, MAX_DELTA);
    let (status, bytes) = client::timeout(PEER_TIMEOUT, Code::RpcFailed, call).await?;
    if status != StatusCode::OK {
        return Err(Error::new(Code::RpcFailed, format!("status {status}")));
    }
    DeltaDoc::decode(bytes).map_err(|e| Error::new(Code::ProtocolInvalid, e.to_string()))
}

/// Answers a peer with the changes after its revision.
pub fn answer_peer(node: &Node, request: &Request<Incoming>) -> Response<BoxBody> {
    let query = request.uri().query().unwrap_or_default();
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let cluster = node.cluster();
    if !cluster.replica.is_synced() {
        let mut response = Response::new(body::full(""));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    let left = cluster.grace_left(node.now());
    let named = cluster.versions.named_since(Millis(0));
    let doc = DeltaDoc::new(cluster.replica.since(after), left).with_named(node.now(), named);
    Response::new(body::full(doc.encode_to_vec()))
}
