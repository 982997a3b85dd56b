//! Requests of callers: checks, the match to a route, and what the placement needs
//! to know of them.

use http::HeaderMap;
use http::Method;
use http::Request;
use http::header;
use hyper::body::Incoming;

use crate::direct::entry::Entry;
use crate::direct::forecasts;
use crate::gate::Signatures;
use crate::gate::suspect;
use crate::net::body;
use crate::net::body::ReadLimits;
use crate::net::reserve::Hold;
use crate::once::Fingerprint;
use crate::platform::headers;
use crate::platform::headers::CallerHeaders;
use crate::prelude::*;
use crate::route::admission::KindId;
use crate::route::admission::Offer;
use crate::route::engine::Size;
use crate::route::estimate::Forecast;
use crate::route::estimate::Kind;
use crate::route::profile::RequestProfile;
use crate::route::regions::Regions;
use crate::route::target::Target;
use crate::table::routing::Organisation;
use crate::table::routing::Route;
use crate::table::routing::Routing;

/// Time before the objective at which an answer should leave the entry, in
/// milliseconds.
const OBJECTIVE_MARGIN_MS: f64 = 15.0;

/// Time before the deadline at which an answer should leave the entry.
const DEADLINE_MARGIN: Millis = Millis(30);

/// A request of a caller that has been matched and read whole, ready to be sent.
#[derive(Debug)]
pub struct InboundRequest {
    /// Content of the caller's headers.
    pub call: CallerHeaders,
    /// The matched route.
    pub route: Arc<Route>,
    /// Version of the configuration that it was matched by.
    pub config: u64,
    /// The caller's organisation.
    pub organisation: Option<Arc<Organisation>>,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as sent by the caller.
    pub target: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What it holds of the memory of the process.
    pub memory: Hold,
    /// When it arrived.
    pub arrived: Millis,
    /// When its answer must have ended.
    pub deadline: Millis,
    /// Kind by which the admission counts it.
    pub kind: KindId,
    /// What the placement needs to know to choose an upstream.
    pub profile: RequestProfile,
    /// Groups of alike requests that it belongs to.
    pub cost_kind: Kind,
    /// Forecast of its output, in tokens.
    pub forecast: Forecast,
    /// Hash that identifies the request over its attempts and entries.
    pub fingerprint: Fingerprint,
    /// What it has in common with other requests that may crash upstreams.
    pub signatures: Signatures,
    /// Time that the caller lost at earlier attempts which were refused.
    pub time_lost: Millis,
}

/// Matches a request to its route, checks it and reads its whole body.
///
/// Fails without a configuration, route or known key, or when the body is too
/// long; nothing has been sent to an upstream then.
pub async fn accept(entry: &Entry, request: Request<Incoming>) -> Result<InboundRequest> {
    let arrived = entry.node.now();
    let routing = entry.node.cluster().routing().cloned();
    let Some(routing) = routing else {
        let error = Error::new(Code::TablesMissing, "no configuration has been read yet");
        return Err(error.with_retry(Millis(500)));
    };
    let (parts, incoming) = request.into_parts();
    check_length(&parts.headers, &routing)?;
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let route = routing
        .route(host, parts.uri.path())
        .cloned()
        .ok_or_else(|| Error::new(Code::RouteUnknown, format!("{host}{}", parts.uri.path())))?;
    let call = headers::decode_caller(&parts.headers);
    let organisation = authorize(&routing, &route, &call)?;
    let memory = Hold::of_request(&parts.extensions).await?;
    let limits = ReadLimits {
        length: routing.limits().max_body,
        copies: 1,
    };
    let body = body::read_request_reserved(incoming, limits, &memory).await?;
    let target = parts
        .uri
        .path_and_query()
        .map_or_else(|| "/".to_string(), |path| path.to_string());
    let patience = call
        .time_left
        .unwrap_or(route.timeout)
        .0
        .min(route.timeout.0);
    let owner = call.credential.as_deref().unwrap_or_default();
    let fingerprint = suspect::fingerprint(owner, parts.method.as_str(), &target, &body);
    let time_lost = entry.time_lost(&fingerprint, arrived, call.time_left);
    let rank = organisation.as_ref().and_then(|o| o.priority);
    let rank = rank.unwrap_or(route.priority);
    let cost_kind = forecasts::kind(&route, organisation.as_deref(), &call);
    let traits = Traits {
        cost_kind: &cost_kind,
        rank,
        regions: route.regions_for(organisation.as_deref()),
        time_lost,
        patience,
    };
    let (kind, profile, forecast) = profile(entry, &routing, &route, &call, traits)?;
    let shared = call.shared_parts.iter().map(String::as_str);
    let signatures = Signatures::new(&fingerprint, &profile.pool, shared);
    Ok(InboundRequest {
        kind,
        profile,
        cost_kind,
        forecast,
        fingerprint,
        signatures,
        call,
        route,
        config: routing.version(),
        organisation,
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        memory,
        arrived,
        deadline: arrived.plus(Millis(patience).since(DEADLINE_MARGIN)),
        time_lost,
    })
}

/// Returns the regions that may serve a request now: those that were allowed when it was
/// matched and that a later configuration still allows.
pub fn current_regions(entry: &Entry, inbound: &InboundRequest) -> Regions {
    let regions = &inbound.profile.regions;
    let cluster = entry.node.cluster();
    let later = cluster.routing().filter(|r| r.version() != inbound.config);
    let later = later.map(|routing| {
        let organisation = inbound.organisation.as_ref().map(|o| o.name.as_str());
        routing.regions_of(&inbound.route.name, organisation)
    });
    later.map_or_else(|| regions.clone(), |later| regions.intersect(&later))
}

/// Fails while this process may lack an evacuation, as it stood still when it was made. Off
/// where the settings bound no evacuations.
pub fn check_view(entry: &Entry) -> Result<()> {
    if entry.node.settings().evacuation_bound.is_none() {
        return Ok(());
    }
    let left = entry.node.cluster().watch.catch_up_left(entry.node.now());
    left.map_or(Ok(()), |left| {
        let detail = "this process stood still and may lack an evacuation";
        Err(Error::new(Code::NoUpstream, detail).with_retry(left))
    })
}

/// Fails when a request may no longer be sent to the upstream that was chosen for it.
pub fn check_target(entry: &Entry, inbound: &InboundRequest, target: Key<Target>) -> Result<()> {
    check_view(entry)?;
    let regions = current_regions(entry, inbound);
    if entry.placer().permits(target, &regions) {
        return Ok(());
    }
    let detail = "the upstream left, or its zone was evacuated, before the send";
    Err(Error::new(Code::NoUpstream, detail))
}

/// Refuses a body that is longer than the limit before any of it is read.
fn check_length(headers: &HeaderMap, routing: &Routing) -> Result<()> {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > routing.limits().max_body as u64) {
        return Err(Error::new(Code::BodyTooLarge, "Content-Length"));
    }
    Ok(())
}

/// Returns the organisation of the caller's key; fails when the route needs a known
/// key and there is none.
fn authorize(
    routing: &Routing,
    route: &Route,
    call: &CallerHeaders,
) -> Result<Option<Arc<Organisation>>> {
    let known = call
        .credential
        .as_deref()
        .and_then(|key| routing.organisation(key));
    if known.is_none() && routing.has_organisations() && !route.public {
        let detail = format!("route {} at version {}", route.name, routing.version());
        return Err(Error::new(Code::KeyUnknown, detail));
    }
    Ok(known.cloned())
}

/// What a request is described by, besides its route and headers.
struct Traits<'a> {
    /// Groups of alike requests that it belongs to.
    cost_kind: &'a Kind,
    /// Priority of its organisation or else its route.
    rank: u8,
    /// Regions that may serve it.
    regions: Regions,
    /// Time lost at earlier attempts.
    time_lost: Millis,
    /// Time that the caller waits, in milliseconds.
    patience: u64,
}

/// Counts a request and describes it for the placement, with the forecast of its output.
fn profile(
    entry: &Entry,
    routing: &Routing,
    route: &Route,
    call: &CallerHeaders,
    traits: Traits,
) -> Result<(KindId, RequestProfile, Forecast)> {
    let Traits {
        cost_kind,
        rank,
        regions,
        time_lost,
        patience,
    } = traits;
    let pool = route.pool(&call.id).ok_or_else(|| {
        Error::new(
            Code::NoUpstream,
            format!("route {} has no pool", route.name),
        )
    })?;
    let engine = routing.pool(pool).and_then(|p| p.engine.as_deref());
    let stated = call.size.unwrap_or_default();
    let forecast = forecasts::output(entry, engine, cost_kind, stated.output, call.estimate);
    let size = Size {
        output: forecast.mean(),
        ..stated
    };
    let left = route.objective.0 as f64 - time_lost.0 as f64 - OBJECTIVE_MARGIN_MS;
    let read_ms = engine.map_or(0.0, |e| e.read_ms(size.prompt));
    let usual = engine.map_or(1.0, |e| e.usual.weight());
    let kind = KindId::new(pool, &route.name, rank, &regions);
    let standing = entry.count_offered(&Offer {
        kind,
        objective: route.objective.0 as f64,
        weight: size.weight(),
        usual,
        returning: time_lost > Millis(0),
    });
    let profile = RequestProfile {
        pool: pool.to_string(),
        model: call.model.clone().filter(|_| engine.is_some()),
        regions,
        min_version: 0,
        rank,
        size,
        slack_ms: (left > 0.0).then_some(left),
        max_pause: route.gap_target.map(|pause| pause.0 as f64),
        time_left: patience as f64,
        read_ms,
        value_density: engine.map_or(1.0, |e| e.value_density(size)),
        relative_size: size.weight() / standing.large_weight,
        large_preference: standing.large_preference,
        allowance: standing.allowance,
    };
    Ok((kind, profile, forecast))
}
