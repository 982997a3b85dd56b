//! Watches the configuration service by blocking queries.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use http::Request;

use crate::net::body;
use crate::net::client;
use crate::net::client::Client;
use crate::node::Node;
use crate::node::view::Offer;
use crate::prelude::*;
use crate::table::Set;
use crate::table::doc;

/// Longest wait of one blocking query, in seconds.
const WAIT_S: u64 = 30;

/// Time beyond the wait after which a query is given up.
const GRACE: Duration = Duration::from_secs(5);

/// Pause after a failed read, doubled up to [`MAX_PAUSE_MS`].
const MIN_PAUSE_MS: u64 = 200;

/// Longest pause after failed reads.
const MAX_PAUSE_MS: u64 = 5_000;

/// One read of a key.
#[derive(Clone, Debug)]
pub struct Reading {
    /// Index of the value, for the next blocking query.
    pub index: u64,
    /// The value.
    pub text: String,
}

/// Reads a key; waits for a change when `index` is given.
pub async fn read(client: &Client, key: &str, index: Option<u64>) -> Result<Reading> {
    let watch = index.map_or_else(String::new, |i| format!("&index={i}&wait={WAIT_S}s"));
    let request = Request::get(format!("/v1/kv/{key}?raw{watch}"))
        .header("host", client.addr().to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let limit = Duration::from_secs(WAIT_S) + GRACE;
    client::timeout(limit, Code::PlatformUnavailable, exchange(client, request)).await
}

async fn exchange(client: &Client, request: Request<body::BoxBody>) -> Result<Reading> {
    let (response, kept) = Client::split(client.send(request).await?);
    if !response.status().is_success() {
        let detail = format!("{}: status {}", client.addr(), response.status());
        return Err(Error::new(Code::PlatformUnavailable, detail));
    }
    let index = response
        .headers()
        .get("x-consul-index")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let bytes = body::read(response.into_body(), doc::MAX_BYTES).await?;
    client.give_back(kept);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Reading { index, text })
}

/// The newest text of each table, as read from the service.
#[derive(Debug, Default)]
struct Newest {
    routes: Option<String>,
    pools: Option<String>,
}

/// Watches both tables for as long as the process runs.
pub async fn watch(node: Node) {
    let newest = Arc::new(Mutex::new(Newest::default()));
    let routes = watch_key(node.clone(), "routes", newest.clone());
    let pools = watch_key(node, "pools", newest);
    smol::future::zip(routes, pools).await;
}

async fn watch_key(node: Node, key: &'static str, newest: Arc<Mutex<Newest>>) {
    let addrs: Vec<SocketAddr> = node.settings.platform.clone();
    let clients: Vec<Client> = addrs.into_iter().map(Client::new).collect();
    let mut index = None;
    let mut pause = MIN_PAUSE_MS;
    let mut turn = 0;
    while !clients.is_empty() {
        let client = &clients[turn % clients.len()];
        match read(client, key, index).await {
            Ok(reading) => {
                pause = MIN_PAUSE_MS;
                index = Some(reading.index);
                record(&node, key, reading.text, &newest);
            }
            Err(error) => {
                slog::debug!(node.log, "platform: read failed"; "key" => key, "error" => %error);
                turn += 1;
                let jitter = fastrand::u64(0..pause);
                smol::Timer::after(Duration::from_millis(pause / 2 + jitter)).await;
                pause = (pause * 2).min(MAX_PAUSE_MS);
            }
        }
    }
}

fn record(node: &Node, key: &str, text: String, newest: &Mutex<Newest>) {
    let mut newest = newest.lock().unwrap_or_else(|e| e.into_inner());
    if key == "routes" {
        newest.routes = Some(text);
    } else {
        newest.pools = Some(text);
    }
    let (Some(routes), Some(pools)) = (&newest.routes, &newest.pools) else {
        return;
    };
    offer(node, routes, pools);
}

/// Validates a pair of texts and puts it in force if it is greater.
pub fn offer(node: &Node, routes: &str, pools: &str) {
    match Set::parse(routes, pools) {
        Ok(set) => {
            let revision = set.stamp.revision;
            if node.view.offer(Arc::new(set)) == Offer::Taken {
                slog::info!(node.log, "tables: revision in force"; "revision" => revision);
            }
        }
        Err(error) => {
            slog::warn!(node.log, "tables: set refused"; "error" => %error);
            node.view.refuse(error);
        }
    }
}
