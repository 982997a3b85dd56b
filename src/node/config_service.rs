//! Client of the configuration service, which is read by blocking queries (Consul's KV API).

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;

use crate::net::body;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::Patience;
use crate::node::Node;
use crate::node::table_sync;
use crate::prelude::*;
use crate::table::doc;
use crate::table::sync::Reading;

/// Longest time until the answer to a query begins, beyond the wait that it asks for, and
/// without any byte of it then.
const GRACE: Duration = Duration::from_secs(4);

/// Longest time of a whole query, beyond its wait. Both tables, of 1 MB each, arrive within
/// it at 1 Mbit/s.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(20);

/// Clients of the service's addresses; one is used until it fails, then the next.
#[derive(Debug)]
pub struct ConfigService {
    clients: Vec<Client>,
    /// Index of the client in use, modulo their number.
    current: AtomicUsize,
}

impl ConfigService {
    /// Creates clients of these addresses; they connect when first used.
    pub fn new(addrs: &[SocketAddr]) -> ConfigService {
        ConfigService {
            clients: addrs.iter().copied().map(Client::new).collect(),
            current: AtomicUsize::new(0),
        }
    }

    /// Reads a key. Unless `index` is 0, the service answers when the key's index is above
    /// `index` or after `wait`.
    ///
    /// After a failure, the next read uses the next address.
    pub async fn read(&self, key: &str, index: u64, wait: Millis) -> Result<Reading> {
        let current = self.current.load(Ordering::Relaxed);
        let Some(client) = self.clients.get(current % self.clients.len().max(1)) else {
            return Err(Error::new(
                Code::PlatformUnavailable,
                "no platform address is set",
            ));
        };
        let reading = read(client, key, index, wait).await;
        if reading.is_err() {
            // Does nothing if another read has left the failed address already.
            let next = current.wrapping_add(1);
            let _ =
                self.current
                    .compare_exchange(current, next, Ordering::Relaxed, Ordering::Relaxed);
        }
        reading
    }
}

/// Reads a key at one address of the service, as [`ConfigService::read`].
pub async fn read(client: &Client, key: &str, index: u64, wait: Millis) -> Result<Reading> {
    let watch = if index > 0 {
        format!("&index={index}&wait={}s", wait.0 / 1_000)
    } else {
        String::new()
    };
    let request = Request::get(format!("/v1/kv/{key}?raw{watch}"))
        .header("host", client.addr().to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let patience = Patience {
        head: wait.duration() + GRACE,
        stall: GRACE,
        total: wait.duration() + TRANSFER_TIMEOUT,
    };
    let (limit, code) = (doc::MAX_VALUE_BYTES, Code::PlatformUnavailable);
    let answer = client::exchange_steadily(client, request, limit, patience, code, || {}).await?;
    let status = answer.status();
    let index = answer
        .headers()
        .get("x-consul-index")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    if !status.is_success() {
        let detail = format!("{}: status {status}", client.addr());
        return Err(Error::new(Code::PlatformUnavailable, detail));
    }
    let text = std::str::from_utf8(answer.body())
        .map_err(|e| Error::new(Code::TableSyntax, e.to_string()))?
        .into();
    Ok(Reading { index, text })
}

/// Keeps the tables of `node` up to date until the task is dropped.
pub async fn watch(node: Node) {
    table_sync::run(node).await;
}
