//! Client of the platform's store: items, listings, and waiting reads.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::Request;
use http::StatusCode;
use serde::Deserialize;

use crate::member::store_watch::Call;
use crate::net::body;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::Limits;
use crate::prelude::*;
use crate::table::replica::Delta;
use crate::table::replica::Doc;

/// Time for connecting; the store answers in milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for a call that does not wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest answer: a page of about 1 MB, encoded.
const MAX_ANSWER: usize = 8 << 20;

/// Pages of one listing; a store that never ends its listing is given up.
const MAX_PAGES: usize = 1_000;

/// Client of the store.
#[derive(Debug)]
pub struct Store {
    client: Client,
}

#[derive(Deserialize)]
struct ItemDoc {
    key: String,
    #[serde(default)]
    value: Option<String>,
    rev: u64,
    /// Set in place of a value when the key was removed.
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
struct PageDoc {
    #[serde(default)]
    items: Vec<ItemDoc>,
    #[serde(default)]
    has_more: bool,
    store_revision: u64,
}

#[derive(Deserialize)]
struct EventsDoc {
    #[serde(default)]
    events: Vec<ItemDoc>,
    store_revision: u64,
}

impl Store {
    /// A client of the store at `addr`; nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Store {
        let limits = Limits {
            connect_timeout: CONNECT_TIMEOUT,
            max_idle: 1,
            max_idle_age: Duration::from_secs(5),
        };
        Store {
            client: Client::with_limits(addr, limits),
        }
    }

    /// Reads all keys under `prefix`.
    ///
    /// Pages are not a snapshot, so the listing counts as of its first page;
    /// what changed since then comes again with the next waiting read.
    pub async fn list(&self, prefix: &str) -> Result<Delta> {
        let mut docs = Vec::new();
        let mut upto = None;
        let mut after = String::new();
        for _ in 0..MAX_PAGES {
            let path = format!("/api/kv-range?prefix={prefix}&after={after}");
            let (status, bytes) = self.get(&path, CALL_TIMEOUT).await?;
            let page: PageDoc = decode(status, &bytes)?;
            upto.get_or_insert(page.store_revision);
            let next = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                docs.push(doc(item)?);
            }
            match next.filter(|_| page.has_more) {
                Some(key) => after = escape(&key),
                None => {
                    let upto = upto.unwrap_or_default();
                    return Ok(Delta {
                        full: true,
                        upto,
                        docs,
                    });
                }
            }
        }
        Err(unavailable("listing has no end".to_string()))
    }

    /// Waits for changes under `prefix` after a revision.
    ///
    /// None means that the history since then is no longer there.
    pub async fn watch(&self, prefix: &str, after: u64, call: Call) -> Result<Option<Delta>> {
        let wait_ms = call.wait.0;
        let path = format!("/api/kv-watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let (status, bytes) = self.get(&path, call.timeout.duration()).await?;
        if status == StatusCode::GONE {
            return Ok(None);
        }
        let page: EventsDoc = decode(status, &bytes)?;
        let docs: Result<Vec<Doc>> = page.events.into_iter().map(doc).collect();
        Ok(Some(Delta {
            full: false,
            upto: page.store_revision,
            docs: docs?,
        }))
    }

    async fn get(&self, path: &str, limit: Duration) -> Result<(StatusCode, Bytes)> {
        let request = Request::get(path)
            .header("host", self.client.addr().to_string())
            .body(body::full(""))
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let call = client::exchange(&self.client, request, MAX_ANSWER);
        client::timeout(limit, Code::PlatformUnavailable, call).await
    }
}

fn unavailable(detail: String) -> Error {
    Error::new(Code::PlatformUnavailable, format!("store: {detail}"))
}

fn decode<'a, T: Deserialize<'a>>(status: StatusCode, bytes: &'a [u8]) -> Result<T> {
    if !status.is_success() {
        return Err(unavailable(format!("status {status}")));
    }
    serde_json::from_slice(bytes).map_err(|e| unavailable(e.to_string()))
}

/// A value that cannot be decoded is kept as empty bytes: the key exists, and
/// whoever decodes its content reports the fault.
fn doc(item: ItemDoc) -> Result<Doc> {
    let value = match (item.removed, item.value) {
        (true, _) => None,
        (false, None) => Some(Bytes::new()),
        (false, Some(text)) => Some(STANDARD.decode(text).unwrap_or_default().into()),
    };
    Ok(Doc {
        key: item.key.into(),
        revision: item.rev,
        value,
    })
}

/// Escapes a key for use in a query.
fn escape(key: &str) -> String {
    let mut text = String::new();
    for byte in key.bytes() {
        let is_plain = byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
        if is_plain {
            text.push(byte as char);
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}
