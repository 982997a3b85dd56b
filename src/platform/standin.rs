//! In-memory substitute for the platform's store, with sample documents and headers,
//! for tests and the soak test.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use event_listener::Event;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol::future::FutureExt;

use crate::net::body;
use crate::net::body::BoxBody;
use crate::platform::config;
use crate::platform::registry;
use crate::platform::store;
use crate::prelude::*;
use crate::util::lock;

/// Store in memory; every change gets the next revision, across all keys.
#[derive(Default)]
pub struct StoreStandin {
    items: Mutex<Items>,
    changed: Event,
}

#[derive(Clone, Default)]
struct Items {
    /// Times that the store was restored from a copy.
    era: u64,
    revision: u64,
    /// Revision and value by key; no value for a removed key.
    by_key: IndexMap<String, (u64, Option<String>)>,
}

/// Content of the store at one moment.
pub struct StoreCopy(Items);

/// What the store has lost when it came back from a copy.
pub struct LostWrites {
    /// Revision of the copy.
    since: u64,
    /// Keys that were written since, with their last values.
    written: Vec<(String, Option<String>)>,
}

impl StoreStandin {
    /// Returns a copy of the content.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.items).clone())
    }

    /// Comes back from a copy: what was written since then is lost, and revisions are given
    /// out again.
    pub fn restore(&self, copy: StoreCopy) -> LostWrites {
        let mut items = lock(&self.items);
        let era = items.era + 1;
        let lost = std::mem::replace(&mut *items, Items { era, ..copy.0 });
        let since = items.revision;
        drop(items);
        self.changed.notify(usize::MAX);
        let written = lost.by_key.into_iter().filter(|(_, (rev, _))| *rev > since);
        LostWrites {
            since,
            written: written.map(|(key, (_, value))| (key, value)).collect(),
        }
    }

    /// Writes again what was lost, but for keys that have been written since the restore.
    pub fn rewrite(&self, lost: LostWrites) {
        for (key, value) in lost.written {
            let mut items = lock(&self.items);
            let held = items.by_key.get(&key).map_or(0, |(revision, _)| *revision);
            if held <= lost.since {
                items.revision += 1;
                let item = (items.revision, value);
                items.by_key.insert(key, item);
            }
        }
        self.changed.notify(usize::MAX);
    }

    /// Writes a value, or removes the key when there is none, and wakes waiting reads.
    /// Calls after the return see the change.
    pub fn put(&self, key: &str, value: Option<&Value>) {
        let mut items = lock(&self.items);
        items.revision += 1;
        let item = (items.revision, value.map(Value::to_string));
        items.by_key.insert(key.to_string(), item);
        drop(items);
        self.changed.notify(usize::MAX);
    }

    /// Answers a listing or a waiting read; the query's `prefix` is ignored.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<BoxBody> {
        let query = request.uri().query().unwrap_or_default().to_string();
        let number = |name: &str| -> u64 {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(key, _)| *key == name);
            value.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
        };
        let era = lock(&self.items).era;
        let doc = if request.uri().path() == "/api/kv-watch" {
            let wait = Duration::from_millis(number("wait_ms"));
            let events = self.events(number("after"), wait).await;
            if lock(&self.items).era != era || lock(&self.items).revision < number("after") {
                return self.respond(StatusCode::GONE, String::new());
            }
            events
        } else {
            let (items, upto) = self.changes_after(0);
            let live = items.into_iter().filter(|item| item["removed"].is_null());
            json!({"items": live.collect::<Vec<_>>(), "has_more": false, "store_revision": upto})
        };
        self.respond(StatusCode::OK, doc.to_string())
    }

    /// Returns a response that names the era of the store.
    fn respond(&self, status: StatusCode, text: String) -> Response<BoxBody> {
        let mut response = Response::new(body::full(text));
        *response.status_mut() = status;
        let era = lock(&self.items).era;
        response.headers_mut().insert(store::ERA, era.into());
        response
    }

    /// Waits for a change after the revision `after`, for at most `wait`, and returns the
    /// document with all changes since then.
    async fn events(&self, after: u64, wait: Duration) -> Value {
        let timeout = async {
            smol::Timer::after(wait).await;
        };
        let era = lock(&self.items).era;
        let change = async {
            loop {
                let listener = self.changed.listen();
                let is_restored = lock(&self.items).era != era;
                if is_restored || !self.changes_after(after).0.is_empty() {
                    return;
                }
                listener.await;
            }
        };
        change.or(timeout).await;
        let (events, upto) = self.changes_after(after);
        json!({"events": events, "store_revision": upto})
    }

    /// Returns the items that changed after `revision`, and the revision of the store.
    fn changes_after(&self, revision: u64) -> (Vec<Value>, u64) {
        let items = lock(&self.items);
        let newer = items.by_key.iter().filter(|(_, (rev, _))| *rev > revision);
        let item = |(key, (rev, value)): (&String, &(u64, Option<String>))| match value {
            Some(value) => json!({"key": key, "value": STANDARD.encode(value), "rev": rev,
                "created": rev, "lease": 0}),
            None => json!({"key": key, "rev": rev, "removed": true}),
        };
        (newer.map(item).collect(), items.revision)
    }
}

/// One route of a sample configuration.
pub struct RouteSpec<'a> {
    /// Name of the route; its path prefix is the name between two slashes.
    pub name: &'a str,
    /// Kind of the route, as the platform names it: `idempotent`, `non_idempotent` or
    /// `streaming`.
    pub kind: &'a str,
    /// Name of the pool that serves it.
    pub pool: &'a str,
    /// Maximum number of upstreams that may run one request.
    pub attempts: u32,
}

/// Returns the key of the configuration and a document with these routes.
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
    let pools = pools.iter().map(|name| {
        json!({"name": name, "health_path": "/health", "max_conns": 400,
            "cold_s": COLD_TIME.0 / 1_000, "cold_per_s": COLD_LIMIT.0})
    });
    let doc = json!({"version": version, "routes": docs.collect::<Vec<_>>(),
        "services": pools.collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4096,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "owner", "api_keys": ["key"]}]});
    (config::KEY, doc)
}

/// Restricts the route with this name to regions, in a document as by [`config`].
pub fn restrict(config: &mut Value, route: &str, regions: &[&str]) {
    let routes = config["routes"].as_array_mut().into_iter().flatten();
    for doc in routes.filter(|doc| doc["name"] == route) {
        doc["allowed_regions"] = json!(regions);
    }
}

/// Returns the line of a settings file that names the region of a zone.
pub fn zone_setting(zone: &str, region: &str) -> String {
    format!("zones.{zone}={region}\n")
}

/// Line of a settings file that bounds the time of an evacuation.
pub const EVACUATION_SETTING: &str = "bounds.evacuate_ms=5000\n";

/// Moves a registration as by [`registration`] to a zone.
pub fn set_zone(registration: &mut Value, zone: &str) {
    registration["zone"] = json!(zone);
}

/// Returns the key that exists while a zone is evacuated, and its value.
pub fn evacuation(zone: &str) -> (String, Value) {
    (format!("{}{zone}", registry::EVACUATE_PREFIX), json!({}))
}

/// Returns the key of the registration of the runner `id`.
pub fn runner_key(id: &str) -> String {
    format!("{}{id}", registry::PREFIX)
}

/// Limit of the stand-ins' pools for a cold runner, in requests a second, and the most
/// that may reach it in any second.
pub const COLD_LIMIT: (u32, usize) = (20, 35);

/// Time after a restart for which a stand-in runner is cold.
pub const COLD_TIME: Millis = Millis(2_000);

/// Header in which a runner states the time for which it is still cold.
pub const COLD: &str = "x-cold-ms";

/// States in a registration for how long its runner is still cold.
pub fn set_cold(registration: &mut Value, left: Millis) {
    registration["cold_left_ms"] = json!(left.0);
}

/// Returns the registration of a runner that started at `born`, in milliseconds; it is
/// draining unless `ready`.
pub fn registration(pool: &str, addr: SocketAddr, born: u64, ready: bool) -> Value {
    let state = if ready { "ready" } else { "draining" };
    json!({"service": pool, "address": addr.to_string(), "zone": "z",
        "version": "v1", "slots": 16, "state": state, "cold_left_ms": 0, "seq": 1, "born": born})
}

/// Returns the settings file of an entry on `ip`, in the platform's format.
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

/// Returns the headers of a caller's request; `deadline` is the time that the caller
/// waits.
pub fn caller_headers(id: &str, deadline: Millis) -> [(&'static str, String); 4] {
    [
        ("host", "h.example".to_string()),
        ("x-request-id", id.to_string()),
        ("x-deadline-ms", deadline.0.to_string()),
        ("x-credential", "key".to_string()),
    ]
}

/// Header in which an entry names the one start of a runner that may run the request.
pub const EXPECT_INSTANCE: &str = "x-expect-instance";

/// Header whose presence states that the runner did not run the request.
pub const NOT_RUN: &str = "x-not-run";

/// Header with the id of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with a runner's signature of its answer.
pub const SEAL: &str = "x-response-seal";
