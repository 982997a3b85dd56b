//! Stand-in for the configuration service: a key-value store with blocking
//! queries.
//!
//! `GET /v1/kv/NAME?raw&index=N&wait=30s` answers at once when the key's index
//! differs from `N`, otherwise when it changes or after `wait`. The index is in the
//! `X-Consul-Index` header. `PUT` publishes a value, as operators do with
//! their own tools; no process of the system uses it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use event_listener::Event;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use indexmap::IndexMap;
use smol::future::FutureExt;

use crate::error::Result;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::standin;
use crate::standin::ServerHandle;

/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;

/// Longest wait of a blocking query.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Entry {
    /// Value of the service's index when the entry was published.
    index: u64,
    text: String,
}

/// State of the service as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Reads return the value published last.
    #[default]
    Up,
    /// Every read is answered with status 503.
    Down,
}

#[derive(Debug, Default)]
struct State {
    index: u64,
    entries: IndexMap<String, Entry>,
    health: Health,
}

/// The configuration service; clones share its content.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Event>,
    calls: Arc<AtomicU64>,
}

impl Platform {
    /// Publishes a value, as the operators' own tools do.
    pub fn put(&self, key: &str, text: impl Into<String>) {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        state.index += 1;
        let entry = Entry {
            index: state.index,
            text: text.into(),
        };
        state.entries.insert(key.to_string(), entry);
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Sets whether reads are answered; also ends waiting queries when `Down`.
    pub fn set_health(&self, health: Health) {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        state.health = health;
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Returns the number of calls received so far, including those that wait.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Starts an HTTP server for the content on `addr`.
    pub fn start(&self, addr: SocketAddr) -> Result<ServerHandle> {
        let platform = self.clone();
        standin::start(addr, move |request| {
            let platform = platform.clone();
            async move { platform.answer(request).await }
        })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<BoxBody> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let path = request.uri().path().to_string();
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return standin::text(StatusCode::NOT_FOUND, "no such path");
        };
        if request.method() == Method::PUT {
            let Ok(text) = body::read_request(request.into_body(), MAX_VALUE).await else {
                return standin::text(StatusCode::PAYLOAD_TOO_LARGE, "value too large");
            };
            self.put(key, String::from_utf8_lossy(&text));
            return standin::text(StatusCode::OK, "true");
        }
        let query = request.uri().query().unwrap_or_default().to_string();
        self.read(key, &query).await
    }

    /// Answers a query, after a wait if it names the current index.
    async fn read(&self, key: &str, query: &str) -> Response<BoxBody> {
        let index: Option<u64> = parameter(query, "index").and_then(|v| v.parse().ok());
        let wait = parameter(query, "wait")
            .and_then(|v| v.strip_suffix('s')?.parse().ok())
            .map_or(MAX_WAIT, Duration::from_secs)
            .min(MAX_WAIT);
        let mut deadline = smol::Timer::after(wait);
        loop {
            let changed = self.changed.listen();
            match self.look_up(key) {
                Lookup::Down => return standin::text(StatusCode::SERVICE_UNAVAILABLE, "down"),
                Lookup::Found(entry) if index.is_none_or(|i| entry.index != i) => {
                    return raw_answer(&entry);
                }
                Lookup::Missing if index.is_none() => {
                    return standin::text(StatusCode::NOT_FOUND, "no such key");
                }
                Lookup::Found(_) | Lookup::Missing => {}
            }
            let timeout = async {
                (&mut deadline).await;
                true
            };
            let change = async {
                changed.await;
                false
            };
            if change.or(timeout).await {
                return match self.look_up(key) {
                    Lookup::Found(entry) => raw_answer(&entry),
                    Lookup::Down => standin::text(StatusCode::SERVICE_UNAVAILABLE, "down"),
                    Lookup::Missing => standin::text(StatusCode::NOT_FOUND, "no such key"),
                };
            }
        }
    }

    /// Returns the entry of a key, or why there is none.
    fn look_up(&self, key: &str) -> Lookup {
        let state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        if state.health == Health::Down {
            return Lookup::Down;
        }
        match state.entries.get(key) {
            Some(entry) => Lookup::Found(entry.clone()),
            None => Lookup::Missing,
        }
    }
}

/// Result of looking up a key.
enum Lookup {
    Down,
    Missing,
    Found(Entry),
}

/// Returns an answer with the value and its index.
fn raw_answer(entry: &Entry) -> Response<BoxBody> {
    let mut response = Response::new(body::full(entry.text.clone()));
    response
        .headers_mut()
        .insert("x-consul-index", entry.index.into());
    response
}

/// Returns the value of a query parameter.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|part| part.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
