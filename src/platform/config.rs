//! Decoder of the operator's configuration: one JSON document in the store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::engine::Model;
use crate::route::engine::Size;
use crate::route::regions::Regions;
use crate::table::routing::Limits;
use crate::table::routing::Organisation;
use crate::table::routing::Origin;
use crate::table::routing::Pool;
use crate::table::routing::Repeat;
use crate::table::routing::Route;
use crate::table::routing::Routing;

/// Key of the configuration in force; a new version replaces the value.
pub const KEY: &str = "op/config";

#[derive(Deserialize)]
struct ConfigDoc {
    /// Newer configurations have greater versions.
    version: u64,
    #[serde(default)]
    routes: Vec<RouteDoc>,
    /// Pools of upstreams and origins of weights.
    #[serde(default)]
    services: Vec<ServiceDoc>,
    /// Organisations.
    #[serde(default)]
    tenants: Vec<TenantDoc>,
    #[serde(default)]
    limits: Option<LimitsDoc>,
}

#[derive(Deserialize)]
struct RouteDoc {
    name: String,
    /// Host name without port.
    host: String,
    /// Prefix of the paths that the route matches.
    prefix: String,
    /// `idempotent`, `non_idempotent` or `streaming`.
    kind: String,
    /// Longest time that a request may take.
    timeout_ms: f64,
    /// Latency objective: time to the first event of a stream, or to the whole answer.
    #[serde(default)]
    slo_ms: f64,
    /// Longest gap between two events of a stream that is in time.
    #[serde(default)]
    gap_target_ms: Option<f64>,
    /// 0 is the most urgent.
    #[serde(default)]
    priority: u8,
    /// Name of the only pool.
    #[serde(default)]
    service: Option<String>,
    /// Pools with their shares of the requests, in place of `service`.
    #[serde(default)]
    backends: Vec<ShareDoc>,
    /// Maximum number of upstreams that may run one request; 1 when missing.
    #[serde(default)]
    max_attempts: Option<u32>,
    /// True when callers need no API key.
    #[serde(default)]
    public: bool,
    /// True when a stream may go on from the last event that the caller has.
    #[serde(default)]
    resumable: bool,
    /// Regions that may serve its requests; empty or missing for no restriction.
    #[serde(default)]
    allowed_regions: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct ShareDoc {
    /// Name of the pool.
    service: String,
    /// Relative share of the requests; may be a fraction.
    #[serde(default)]
    weight: f64,
}

/// A pool of upstreams, or an origin of weights.
#[derive(Deserialize)]
struct ServiceDoc {
    name: String,
    /// Path of the health check; empty for no health check.
    #[serde(default)]
    health_path: String,
    /// Maximum number of connections that one upstream accepts; no limit when missing.
    #[serde(default)]
    max_conns: Option<u32>,
    /// Cost figures of a model engine; missing for a plain service.
    #[serde(default)]
    engine: Option<EngineDoc>,
    /// Address, when it is an origin of weights.
    #[serde(default)]
    origin: Option<SocketAddr>,
    /// Availability zone of the origin.
    #[serde(default)]
    zone: String,
    /// Seconds after its start for which a runner is cold; 0 when none is.
    #[serde(default)]
    cold_s: f64,
    /// Requests a second that a cold runner takes from all callers together.
    #[serde(default)]
    cold_per_s: Option<f64>,
}

#[derive(Deserialize)]
struct EngineDoc {
    /// Requests that run at once.
    #[serde(default)]
    slots: u32,
    /// Time of a token step without requests.
    #[serde(default)]
    step_ms: f64,
    /// Time that each running request adds to a step.
    #[serde(default)]
    per_seq_ms: f64,
    /// Milliseconds that a thousand tokens of context add to a step.
    #[serde(default)]
    context_per_k: f64,
    /// Prompt tokens read in a second.
    #[serde(default)]
    read_per_s: f64,
    /// Milliseconds for a million pairs of a prompt token and an earlier token.
    #[serde(default)]
    pairs_per_m: f64,
    /// Token steps in one pass.
    #[serde(default)]
    stride: f64,
    /// Mean size of a request.
    #[serde(default)]
    usual: UsualDoc,
    /// Layers of a complete model.
    #[serde(default)]
    layers: u32,
    /// Pieces into which the weights of a version are divided.
    #[serde(default)]
    chunks: u32,
    /// Length of a piece, in bytes.
    #[serde(default)]
    chunk_bytes: usize,
    /// Tokens that the memory of a runner holds; not known when missing.
    #[serde(default)]
    kv_capacity: Option<f64>,
    #[serde(default)]
    models: Vec<ModelDoc>,
    #[serde(default)]
    delays: Vec<DelayDoc>,
}

/// Mean lengths, in tokens.
#[derive(Default, Deserialize)]
struct UsualDoc {
    #[serde(default)]
    prompt: f64,
    #[serde(default)]
    answer: f64,
}

#[derive(Deserialize)]
struct ModelDoc {
    name: String,
    /// Time for loading staged pieces, in seconds. The document also has `load_s`,
    /// the time for another way of loading, which is not used.
    #[serde(default)]
    warm_s: f64,
}

/// One-way network delay between two availability zones.
#[derive(Deserialize)]
struct DelayDoc {
    from: String,
    to: String,
    delay_ms: f64,
}

/// An organisation.
#[derive(Deserialize)]
struct TenantDoc {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    /// Overrides the priority of the route.
    #[serde(default)]
    priority: Option<u8>,
    /// Regions that may serve its requests, in addition to the restriction of the route.
    #[serde(default)]
    allowed_regions: Option<Vec<String>>,
}

/// Limits on the requests and connections of callers.
#[derive(Deserialize)]
struct LimitsDoc {
    /// Largest request head.
    max_header_bytes: usize,
    /// Largest request body.
    max_body_bytes: usize,
    /// Time within which a whole request head must arrive.
    header_timeout_ms: f64,
    /// Time after which an idle connection is closed.
    idle_timeout_ms: f64,
}

/// Decodes a configuration.
///
/// Fails with [`Code::TableSyntax`] when it is not valid JSON or lacks a required
/// field, and with [`Code::FieldRange`] when the kind of a route is not known.
pub fn decode(bytes: &[u8]) -> Result<Routing> {
    let doc: ConfigDoc = serde_json::from_slice(bytes)
        .map_err(|e| Error::new(Code::TableSyntax, format!("{KEY}: {e}")))?;
    let routes: Result<Vec<Route>> = doc.routes.into_iter().map(route).collect();
    let organisations = doc.tenants.into_iter().map(|tenant| {
        let organisation = Organisation {
            name: tenant.name,
            priority: tenant.priority,
            regions: Regions::of(tenant.allowed_regions.into_iter().flatten()),
        };
        (organisation, tenant.api_keys)
    });
    let memory = doc.services.iter().filter_map(|service| {
        let tokens = service.engine.as_ref()?.kv_capacity?;
        (tokens > 0.0).then(|| (service.name.clone(), tokens))
    });
    let memory: Vec<(String, f64)> = memory.collect();
    let mut routing = Routing::new(
        doc.version,
        routes?,
        doc.services.into_iter().map(pool).collect(),
        organisations.collect(),
        doc.limits.map_or_else(Limits::default, limits),
    );
    for (pool, tokens) in memory {
        routing.set_memory(&pool, tokens);
    }
    Ok(routing)
}

/// Drops fractions of a millisecond; negative times become 0.
fn millis(value: f64) -> Millis {
    Millis(value.max(0.0) as u64)
}

fn route(doc: RouteDoc) -> Result<Route> {
    let stream = doc.kind == "streaming";
    let repeat = match doc.kind.as_str() {
        "idempotent" => Repeat::Always,
        "streaming" if doc.resumable => Repeat::Resume,
        "streaming" | "non_idempotent" => Repeat::Never,
        other => {
            let detail = format!("route {}: unknown kind {other}", doc.name);
            return Err(Error::new(Code::FieldRange, detail));
        }
    };
    let mut pools: Vec<(String, u32)> = doc.service.into_iter().map(|s| (s, 1)).collect();
    if !doc.backends.is_empty() {
        // Weights may be fractions; they are kept in thousandths.
        let share = |b: ShareDoc| (b.service, (b.weight * 1_000.0).max(0.0) as u32);
        pools = doc.backends.into_iter().map(share).collect();
    }
    Ok(Route {
        name: doc.name,
        host: doc.host.to_ascii_lowercase(),
        prefix: doc.prefix,
        repeat,
        stream,
        timeout: millis(doc.timeout_ms),
        objective: millis(doc.slo_ms),
        gap_target: doc.gap_target_ms.map(millis),
        priority: doc.priority,
        public: doc.public,
        max_attempts: doc.max_attempts.unwrap_or(1),
        pools,
        regions: Regions::of(doc.allowed_regions.into_iter().flatten()),
    })
}

fn pool(doc: ServiceDoc) -> Pool {
    let zone = doc.zone;
    Pool {
        name: doc.name,
        health_path: doc.health_path,
        max_connections: doc.max_conns.unwrap_or(u32::MAX),
        engine: doc.engine.map(engine).map(Arc::new),
        origin: doc.origin.map(|addr| Origin { addr, zone }),
        cold_span: millis(doc.cold_s * 1_000.0),
        cold_rate: doc.cold_per_s.filter(|r| r.is_finite() && *r > 0.0),
    }
}

fn engine(doc: EngineDoc) -> Engine {
    let model = |m: ModelDoc| Model {
        name: m.name,
        load: millis(m.warm_s * 1_000.0),
    };
    let delay = |d: DelayDoc| (d.from, d.to, d.delay_ms);
    Engine {
        slots: doc.slots,
        step_ms: doc.step_ms,
        request_ms: doc.per_seq_ms,
        context_ms: doc.context_per_k,
        read_rate: doc.read_per_s / 1_000.0,
        pairs_ms: doc.pairs_per_m,
        stride: doc.stride.max(1.0),
        usual: Size {
            prompt: doc.usual.prompt,
            output: doc.usual.answer,
        },
        layers: doc.layers,
        pieces: doc.chunks,
        piece_bytes: doc.chunk_bytes,
        models: doc.models.into_iter().map(model).collect(),
        delays: doc.delays.into_iter().map(delay).collect(),
    }
}

fn limits(doc: LimitsDoc) -> Limits {
    Limits {
        max_head: doc.max_header_bytes,
        max_body: doc.max_body_bytes,
        head_timeout: millis(doc.header_timeout_ms),
        idle_timeout: millis(doc.idle_timeout_ms),
    }
}
