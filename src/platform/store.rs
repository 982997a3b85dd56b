//! Client of the platform's key-value store: listings of keys, and reads that wait
//! for changes.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Deserialize;

use crate::member::store_watch::Call;
use crate::net::body;
use crate::net::client;
use crate::net::client::Client;
use crate::net::client::Limits;
use crate::net::client::Patience;
use crate::prelude::*;
use crate::table::replica::Delta;
use crate::table::replica::Doc;
use crate::table::replica::Position;

/// Longest time for connecting; the store usually answers in milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time until the answer to a call that does not wait for changes begins.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Longest time without any byte of an answer that has begun. On a link that many answers
/// share, each still gets its part within it.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time of a whole call beyond its wait. A document of 1 MB takes 3 s when ten
/// answers share a link of 30 Mbit/s.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer, in bytes. A page holds about 1 MB of values, which base64 and
/// JSON lengthen.
const MAX_ANSWER: usize = 8 << 20;

/// Largest answer with changes, in bytes. It holds each write of a document, also those that
/// later ones have replaced, so beyond it a listing is smaller; the largest value fits.
const MAX_CHANGES: usize = 3 << 20;

/// Maximum number of pages of one listing, so that a store which always announces
/// another page does not keep the reader for ever.
const MAX_PAGES: usize = 1_000;

/// Header of each answer with the era of the store. It rises each time that the store has been
/// restored from an older copy; revisions of different eras cannot be compared.
pub(super) const ERA: &str = "store-era";

/// Client of the platform's key-value store, which gives every change a revision.
pub struct Store {
    client: Client,
    /// Called for each part of an answer that arrives.
    on_data: Arc<dyn Fn() + Send + Sync>,
}

#[derive(Deserialize)]
struct ItemDoc {
    key: String,
    /// Base64 of the value.
    #[serde(default)]
    value: Option<String>,
    /// Revision of the last change of the key.
    rev: u64,
    /// True when the key was removed; there is no value then.
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
struct PageDoc {
    #[serde(default)]
    items: Vec<ItemDoc>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the store when it made the page.
    store_revision: u64,
}

#[derive(Deserialize)]
struct EventsDoc {
    #[serde(default)]
    events: Vec<ItemDoc>,
    /// Revision up to which the changes are complete.
    store_revision: u64,
}

impl Store {
    /// Creates a client of the store at `addr`; it connects on the first call. Calls
    /// `on_data` for each part of an answer that arrives.
    pub fn new(addr: SocketAddr, on_data: impl Fn() + Send + Sync + 'static) -> Store {
        let limits = Limits {
            connect_timeout: CONNECT_TIMEOUT,
            max_idle: 1,
            max_idle_age: Duration::from_secs(5),
        };
        Store {
            client: Client::with_limits(addr, limits),
            on_data: Arc::new(on_data),
        }
    }

    /// Reads all keys under `prefix`; `era` is assumed if the store names none.
    ///
    /// The pages are not a snapshot: later ones may hold newer values. The listing
    /// therefore has the revision of its first page, and the next call of `watch`
    /// returns again what has changed since then.
    pub async fn list(&self, prefix: &str, era: u64) -> Result<Delta> {
        let mut docs = Vec::new();
        let mut first_revision = None;
        let mut first_era = None;
        let mut after = String::new();
        for _ in 0..MAX_PAGES {
            let path = format!("/api/kv-range?prefix={prefix}&after={after}");
            let answer = self.get(&path, CALL_TIMEOUT, MAX_ANSWER).await?;
            let page: PageDoc = decode(&answer)?;
            let page_era = read_era(&answer).unwrap_or(era);
            if *first_era.get_or_insert(page_era) != page_era {
                return Err(unavailable("restored during a listing".to_string()));
            }
            first_revision.get_or_insert(page.store_revision);
            let next = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                docs.push(decode_item(item)?);
            }
            match next.filter(|_| page.has_more) {
                Some(key) => after = escape(&key),
                None => {
                    let upto = first_revision.unwrap_or_default();
                    return Ok(Delta {
                        era: page_era,
                        full: true,
                        upto,
                        docs,
                    });
                }
            }
        }
        Err(unavailable("listing does not end".to_string()))
    }

    /// Waits for changes of keys under `prefix` after the position `after`, for the
    /// times in `call`. The changes may be of another era, whose revisions have nothing to do
    /// with those of `after`.
    ///
    /// Returns `None` when the store no longer keeps the changes since that revision, or has
    /// more of them than an answer may hold; the caller must list all keys then.
    pub async fn watch(&self, prefix: &str, after: Position, call: Call) -> Result<Option<Delta>> {
        let wait_ms = call.wait.0;
        let revision = after.revision;
        let path = format!("/api/kv-watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}");
        let answer = self.get(&path, call.timeout.duration(), MAX_CHANGES).await;
        let answer = match answer {
            Err(error) if error.code == Code::BodyTooLarge => return Ok(None),
            answer => answer?,
        };
        if answer.status() == StatusCode::GONE {
            return Ok(None);
        }
        let page: EventsDoc = decode(&answer)?;
        let docs: Result<Vec<Doc>> = page.events.into_iter().map(decode_item).collect();
        Ok(Some(Delta {
            era: read_era(&answer).unwrap_or(after.era),
            full: false,
            upto: page.store_revision,
            docs: docs?,
        }))
    }

    /// Sends a call and reads the answer, which must begin within `head` and have at most
    /// `limit` bytes.
    async fn get(&self, path: &str, head: Duration, limit: usize) -> Result<Response<Bytes>> {
        let request = Request::get(path)
            .header("host", self.client.addr().to_string())
            .body(body::full(""))
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let patience = Patience {
            head,
            stall: STALL_TIMEOUT,
            total: head + TRANSFER_TIMEOUT,
        };
        let on_data = self.on_data.clone();
        let code = Code::PlatformUnavailable;
        let call =
            client::exchange_steadily(&self.client, request, limit, patience, code, move || {
                on_data()
            });
        call.await
    }
}

fn unavailable(detail: String) -> Error {
    Error::new(Code::PlatformUnavailable, format!("store: {detail}"))
}

fn decode<'a, T: Deserialize<'a>>(answer: &'a Response<Bytes>) -> Result<T> {
    if !answer.status().is_success() {
        return Err(unavailable(format!("status {}", answer.status())));
    }
    serde_json::from_slice(answer.body()).map_err(|e| unavailable(e.to_string()))
}

/// Returns the era of the store that made an answer, if it says.
fn read_era(answer: &Response<Bytes>) -> Option<u64> {
    let value = answer.headers().get(ERA)?;
    value.to_str().ok()?.parse().ok()
}

/// Converts an item of the store.
///
/// A value that is not valid base64 becomes empty: the key exists, and the decoder
/// of its content reports the fault.
fn decode_item(item: ItemDoc) -> Result<Doc> {
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

/// Percent-encodes a key for the query of a URL.
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
