//! Keeps the replica up to date: from the store, and from peers whose replica is
//! newer.
//!
//! A few entries of each zone read the store. All other processes learn from
//! datagrams that a peer has a newer revision, and fetch the changes from it.

use std::net::IpAddr;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use prost::Message;
use smol::channel::Receiver;

use crate::direct::decision_log::Kind;
use crate::direct::node::Node;
use crate::direct::wire::DeltaDoc;
use crate::member::peers::Role;
use crate::member::store_watch;
use crate::member::store_watch::Reason;
use crate::metric::Metric;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::Limits;
use crate::net::client::Patience;
use crate::platform::store::Store;
use crate::prelude::*;
use crate::table::replica::Delta;
use crate::table::replica::Position;
use slog::info;

/// Interval at which an entry that does not read the store checks whether it should.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Head start of the own watch: a process that reads the store asks a peer only
/// if the change has not arrived within this time.
const WATCH_HEAD_START: Duration = Duration::from_millis(30);

/// Longest time until the answer of a peer begins, and without any byte of it then.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time of a whole fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(6);

/// Longest idle time after which a connection to a peer is used again: the peer may
/// have been replaced since, and the call would fail.
const PEER_IDLE: Duration = Duration::from_secs(2);

/// Most peers whose connections are kept.
const MAX_CLIENTS: usize = 16;

/// Largest body of a fetched delta, in bytes.
const MAX_DELTA: usize = 64 << 20;

/// Time without any entry after which an agent reads the store itself.
const NO_ENTRY_TIMEOUT: Millis = Millis(1_500);

/// Interval at which an agent without entries reads the store.
const NO_ENTRY_INTERVAL: Duration = Duration::from_millis(2_000);

/// Heartbeat intervals in the shortest outage in which a registration can
/// expire: the store removes it after three, and the last heartbeat before the
/// outage may be a whole interval old.
const OUTAGE_BEATS: u64 = 2;

/// Least size of changes whose transfer is logged, in bytes: such changes take longer
/// on a link than the call itself.
const LARGE_READ: usize = 64 << 10;

/// Path on the internal port where peers fetch changes.
pub const PATH: &str = "/feed";

/// Reads the store while this entry is needed as a reader; runs until dropped.
pub async fn read_store(node: Node) {
    let receiver = node.clone();
    let store = Store::new(node.settings().store, move || {
        let now = receiver.now();
        receiver.cluster().watch.on_receiving(now);
    });
    let mut failures = 0_u32;
    let mut last_reason = None;
    node.cluster().watch.on_behind(node.now());
    smol::Timer::after(store_watch::FIRST_READ_DELAY.duration()).await;
    loop {
        let reason = read_reason(&node);
        if reason != std::mem::replace(&mut last_reason, reason) {
            info!(node.log().logger(), "platform: reading of the store has changed"; "reason" => format!("{reason:?}"));
        }
        if reason.is_none() {
            node.cluster().watch.on_idle();
            smol::Timer::after(READER_CHECK_INTERVAL).await;
            continue;
        }
        let asked = node.now();
        let outcome = read(&node, &store).await;
        let code = outcome.as_ref().err().map(|error| error.code);
        node.metrics().outcome(Metric::StoreTotal, code);
        match outcome {
            Ok(is_back) => {
                if is_back {
                    info!(node.log().logger(), "platform: store is back"; "failures" => failures);
                }
                failures = 0;
                let pause = node.cluster().watch.next_call_in(node.now());
                smol::Timer::after(pause.duration()).await;
            }
            Err(error) => {
                if failures == 0 {
                    info!(node.log().logger(), "platform: store is lost"; &error);
                }
                failures += 1;
                let max_wait = {
                    let mut cluster = node.cluster();
                    cluster.store_failed(node.now(), asked);
                    cluster.watch.backoff().0
                };
                let wait = fastrand::u64(max_wait / 2..=max_wait);
                smol::Timer::after(Duration::from_millis(wait)).await;
            }
        }
    }
}

/// Returns why this entry should read the store; none when others do.
fn read_reason(node: &Node) -> Option<Reason> {
    let now = node.now();
    let settings = node.settings();
    let (name, zone) = (&settings.name, &settings.zone);
    let is_short = store_watch::should_read(now, name, zone, &node.peers());
    let (watch, held) = {
        let mut cluster = node.cluster();
        cluster.watch.note_readers(now, is_short);
        (cluster.watch, cluster.replica.position())
    };
    store_watch::read_reason(now, name, zone, &watch, held, &node.peers())
}

/// Returns true when others may rely on this process for changes of the store.
pub fn is_reader(node: &Node) -> bool {
    node.cluster().watch.is_reliable(node.now())
}

/// Returns the shortest outage of the store in which a registration can expire.
fn least_outage(node: &Node) -> Millis {
    Millis(OUTAGE_BEATS * node.settings().heartbeat.0)
}

/// Reads the store once; returns true when the call before failed.
async fn read(node: &Node, store: &Store) -> Result<bool> {
    let (held, call) = {
        let cluster = node.cluster();
        (cluster.replica.position(), cluster.watch.next_call())
    };
    let asked = node.now();
    let changes = if held.revision == 0 {
        None
    } else {
        store.watch("", held, call).await?
    };
    let delta = match changes {
        Some(delta) if delta.era == held.era => delta,
        // The first read, or the store does not have the changes since then.
        _ => store.list("", held.era).await?,
    };
    if delta.era < held.era {
        let detail = format!("answer of era {}, which has ended", delta.era);
        return Err(Error::new(Code::PlatformUnavailable, detail));
    }
    let (is_back, grace) = {
        let mut cluster = node.cluster();
        let is_back = cluster.store_answered(node.now(), least_outage(node));
        if cluster.replica.is_replaced_by(&delta) {
            cluster.store_restored(node.now());
        }
        cluster.watch.note_wait(node.now(), asked);
        (is_back, cluster.grace_left(node.now()))
    };
    record_read(node, Metric::StoreRead, &delta, asked, "store");
    node.apply(delta, grace, "store");
    node.cluster().watch.on_complete(node.now());
    Ok(is_back)
}

/// Counts what was read from `source` by a call made at `asked`, and logs large changes.
fn record_read(node: &Node, metric: Metric, delta: &Delta, asked: Millis, source: &str) {
    let size = delta.size();
    node.metrics().count(metric, size as u64);
    let now = node.now();
    if size >= LARGE_READ && node.log().admits(now, Kind::Belief) {
        info!(node.log().logger(), "table: large changes have been read";
            "bytes" => size, "took_ms" => now.since(asked).0, "source" => source.to_string());
    }
}

/// Reads the store itself while the agent knows no entry; runs until dropped.
pub async fn read_store_without_entries(node: Node) {
    let store = Store::new(node.settings().store, || {});
    let mut entry_seen = node.now();
    loop {
        smol::Timer::after(Duration::from_millis(250)).await;
        let now = node.now();
        if node.peers().with_role(Role::Entry).next().is_some() {
            entry_seen = now;
        }
        if now.since(entry_seen) < NO_ENTRY_TIMEOUT {
            continue;
        }
        if let Err(error) = read_once(&node, &store).await {
            info!(node.log().logger(), "platform: no entry is known and the store cannot be read"; &error);
        }
        smol::Timer::after(NO_ENTRY_INTERVAL).await;
    }
}

/// Reads the whole store once, without a grace period.
async fn read_once(node: &Node, store: &Store) -> Result<()> {
    let asked = node.now();
    let era = node.cluster().replica.position().era;
    let delta = store.list("", era).await?;
    record_read(node, Metric::StoreRead, &delta, asked, "store");
    node.apply(delta, Millis(0), "store");
    node.cluster().watch.on_complete(asked);
    Ok(())
}

/// Fetches changes from peers with a newer replica; runs until the sender of
/// `behind` is dropped. Each message on `behind` starts one round, which asks up
/// to three such peers until one answers.
pub async fn follow_peers(node: Node, behind: Receiver<()>) {
    let mut clients: IndexMap<IpAddr, Client> = IndexMap::new();
    while behind.recv().await.is_ok() {
        if is_reader(&node) {
            smol::Timer::after(WATCH_HEAD_START).await;
        }
        let held = node.cluster().replica.position();
        let zone = node.settings().zone.clone();
        let ahead: Vec<_> = {
            let peers = node.peers();
            let ahead = peers.ahead(&zone, held);
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
            let outcome = fetch(&node, client, held).await;
            let code = outcome.as_ref().err().map(|error| error.code);
            node.metrics().outcome(Metric::PeerFetched, code);
            match outcome {
                Ok(doc) => {
                    let grace = doc.grace_left(node.now().since(asked));
                    if !doc.docs.is_empty() {
                        node.cluster().watch.on_peer_news(node.now());
                    }
                    // Changes from a process that does not read may be old, and
                    // so may a copy of the whole store.
                    let is_recent = reads && !doc.whole && !doc.docs.is_empty();
                    if grace == Millis(0) && is_recent {
                        let least_outage = least_outage(&node);
                        node.cluster().peer_had_changes(node.now(), least_outage);
                    }
                    let named = doc.to_named(node.now());
                    let delta = doc.into_delta();
                    record_read(&node, Metric::PeerRead, &delta, asked, &name);
                    node.apply(delta, grace, &name);
                    node.merge_versions(&named);
                    break;
                }
                Err(error) => {
                    info!(node.log().logger(), "table: changes cannot be fetched from a peer"; "peer" => name, &error);
                }
            }
        }
    }
}

/// Creates the client of a peer; it keeps one connection, as changes come in
/// bursts.
fn peer_client(node: &Node, ip: IpAddr) -> Client {
    let limits = Limits {
        connect_timeout: PEER_TIMEOUT,
        max_idle: 1,
        max_idle_age: PEER_IDLE,
    };
    Client::with_limits(node.internal_addr(ip), limits)
}

/// Fetches the changes after a position from a peer, or everything when this process lacks a
/// value that the peer has packed them against.
async fn fetch(node: &Node, peer: &Client, after: Position) -> Result<DeltaDoc> {
    let mut doc = fetch_packed(peer, after).await?;
    if let Err(error) = doc.unpack(&node.cluster().replica) {
        info!(node.log().logger(), "table: changes cannot be unpacked"; &error);
    } else {
        return Ok(doc);
    }
    let mut doc = fetch_packed(peer, Position::default()).await?;
    doc.unpack(&node.cluster().replica)?;
    Ok(doc)
}

/// Fetches the changes after a position from a peer, with large values in packed form.
async fn fetch_packed(peer: &Client, after: Position) -> Result<DeltaDoc> {
    let Position { era, revision } = after;
    let request = Request::get(format!("{PATH}?after={revision}&era={era}&packed=1"))
        .header("host", peer.addr().to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let patience = Patience {
        head: PEER_TIMEOUT,
        stall: PEER_TIMEOUT,
        total: FETCH_TIMEOUT,
    };
    let code = Code::RpcFailed;
    let call = client::exchange_steadily(peer, request, MAX_DELTA, patience, code, || {});
    let answer = call.await?;
    if answer.status() != StatusCode::OK {
        let detail = format!("status {}", answer.status());
        return Err(Error::new(Code::RpcFailed, detail));
    }
    DeltaDoc::decode(answer.into_body())
        .map_err(|e| Error::new(Code::ProtocolInvalid, e.to_string()))
}

/// Answers a peer with the changes after the position in its query, in packed form if it
/// says so; 503 before the own replica has been read.
pub fn answer_peer(node: &Node, request: &Request<Incoming>) -> Response<BoxBody> {
    let query = request.uri().query().unwrap_or_default();
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name);
        value.and_then(|(_, text)| text.parse().ok()).unwrap_or(0)
    };
    if !node.cluster().replica.is_synced() {
        let mut response = Response::new(body::full(""));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    let now = node.now();
    let after = Position {
        era: field("era"),
        revision: field("after"),
    };
    let doc = node.changes_after(now, after, field("packed") != 0);
    let cluster = node.cluster();
    let doc = doc.with_named(now, cluster.versions.named_since(Millis(0)));
    Response::new(body::full(doc.encode_to_vec()))
}
