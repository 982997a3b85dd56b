//! Stand-in of the platform's store, for tests and the soak.
//!
//! Speaks the store's calls as their pages describe them, from memory.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use event_listener::Event;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol::future::FutureExt;

use crate::net::body;
use crate::net::body::BoxBody;
use crate::platform::config;
use crate::platform::registry;
use crate::prelude::*;
use crate::util::lock;

/// Store with one revision for all keys.
#[derive(Default)]
pub struct StoreStandin {
    items: Mutex<Items>,
    changed: Event,
}

#[derive(Default)]
struct Items {
    revision: u64,
    held: IndexMap<String, (u64, Option<String>)>,
}

impl StoreStandin {
    /// Writes a key, or removes it; the change is acknowledged when this returns.
    pub fn put(&self, key: &str, value: Option<&Value>) {
        let mut items = lock(&self.items);
        items.revision += 1;
        let item = (items.revision, value.map(Value::to_string));
        items.held.insert(key.to_string(), item);
        drop(items);
        self.changed.notify(usize::MAX);
    }

    /// Answers a call.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let query = request.uri().query().unwrap_or_default().to_string();
        let number = |name: &str| -> u64 {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(key, _)| *key == name);
            value.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
        };
        let doc = if request.uri().path() == "/api/kv-watch" {
            self.events(number("after"), Duration::from_millis(number("wait_ms")))
                .await
        } else {
            let (items, at) = self.after(0);
            let live = items.into_iter().filter(|item| item["removed"].is_null());
            json!({"items": live.collect::<Vec<_>>(), "has_more": false, "store_revision": at})
        };
        Response::new(body::full(doc.to_string()))
    }

    async fn events(&self, after: u64, wait: Duration) -> Value {
        let late = async {
            smol::Timer::after(wait).await;
        };
        let change = async {
            loop {
                let listener = self.changed.listen();
                if !self.after(after).0.is_empty() {
                    return;
                }
                listener.await;
            }
        };
        change.or(late).await;
        let (events, at) = self.after(after);
        json!({"events": events, "store_revision": at})
    }

    fn after(&self, revision: u64) -> (Vec<Value>, u64) {
        let items = lock(&self.items);
        let newer = items.held.iter().filter(|(_, (rev, _))| *rev > revision);
        let item = |(key, (rev, value)): (&String, &(u64, Option<String>))| match value {
            Some(value) => json!({"key": key, "value": STANDARD.encode(value), "rev": rev,
                "created": rev, "lease": 0}),
            None => json!({"key": key, "rev": rev, "removed": true}),
        };
        (newer.map(item).collect(), items.revision)
    }
}

/// One route of a stand-in configuration.
pub struct RouteSpec<'a> {
    /// Name; the prefix is the same between slashes.
    pub name: &'a str,
    /// What may be repeated, as the platform names it.
    pub kind: &'a str,
    /// Pool that serves it.
    pub pool: &'a str,
    /// Upstreams that may run a request.
    pub attempts: u32,
}

/// Key of the configuration, and its document with these routes.
pub fn config(version: u64, routes: &[RouteSpec<'_>]) -> (&'static str, Value) {
    let docs = routes.iter().map(|route| {
        json!({"name": route.name, "host": "h.example", "prefix": format!("/{}/", route.name),
            "kind": route.kind, "timeout_ms": 5000, "slo_ms": 500, "priority": 1,
            "service": route.pool, "max_attempts": route.attempts, "public": false,
            "resumable": route.kind == "streaming", "gap_target_ms": 400})
    });
    let mut pools: Vec<&str> = routes.iter().map(|route| route.pool).collect();
    pools.sort_unstable();
    pools.dedup();
    let pools = pools
        .iter()
        .map(|name| json!({"name": name, "health_path": "/health", "max_conns": 400}));
    let doc = json!({"version": version, "routes": docs.collect::<Vec<_>>(),
        "services": pools.collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4096,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "owner", "api_keys": ["key"]}]});
    (config::KEY, doc)
}

/// Key of a runner's entry.
pub fn runner_key(id: &str) -> String {
    format!("{}{id}", registry::PREFIX)
}

/// Document of a runner's entry.
pub fn registration(pool: &str, addr: SocketAddr, born: u64, ready: bool) -> Value {
    let state = if ready { "ready" } else { "draining" };
    json!({"service": pool, "address": addr.to_string(), "zone": "z",
        "version": "v1", "slots": 16, "state": state, "cold_left_ms": 0, "seq": 1, "born": born})
}

/// Settings of an entry process on `ip`, as the platform writes them.
pub fn entry_settings(ip: std::net::IpAddr, seeds: &[SocketAddr], store: SocketAddr) -> String {
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    format!(
        "node_name=front-{ip}\nip={ip}\nzone=z\nzones.z=r\nlisten.front={ip}:18005\n\
         listen.ready={ip}:18002\nlisten.control={ip}:18000\ninternal_ports=17700,17715\n\
         seeds={}\nbounds.grace_s=8\nbounds.drain_ms=2000\nbounds.retry_slack=102\n\
         limits.max_fds=4096\nplatform.address={store}\n",
        seeds.join(",")
    )
}

/// Headers of a caller's request.
pub fn caller_headers(id: &str, deadline: Millis) -> [(&'static str, String); 4] {
    [
        ("host", "h.example".to_string()),
        ("x-request-id", id.to_string()),
        ("x-deadline-ms", deadline.0.to_string()),
        ("x-credential", "key".to_string()),
    ]
}

/// Header in which an entry names the runner that it expects.
pub const EXPECT_INSTANCE: &str = "x-expect-instance";

/// Header in which a runner states that it did not run a request.
pub const NOT_RUN: &str = "x-not-run";

/// Header with a request's id.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with a runner's signature.
pub const SEAL: &str = "x-response-seal";
