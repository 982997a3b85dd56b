//! What an entry on a prepared machine learns of the output of generations, and what it
//! expects of a request by that.

use crate::direct::entry::Entry;
use crate::direct::inbound::InboundRequest;
use crate::direct::wire::Datagram;
use crate::direct::wire::SummaryDoc;
use crate::member::peers::Role;
use crate::platform::headers::CallerHeaders;
use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::estimate::Forecast;
use crate::route::estimate::Kind;
use crate::table::routing::Organisation;
use crate::table::routing::Route;
use crate::util::lock;

/// Returns the groups of alike requests that a request belongs to.
pub fn kind(route: &Route, organisation: Option<&Organisation>, call: &CallerHeaders) -> Kind {
    let organisation = organisation.map(|o| o.name.as_str());
    let parts = call.shared_parts.iter().map(String::as_str);
    Kind::new(&route.name, call.model.as_deref(), organisation, parts)
}

/// Returns the forecast of a request's output, in tokens. `longest` is the longest answer
/// that the caller allows, 0 when it does not say.
///
/// Without observations, the geometric mean of the caller's estimate and the usual output is
/// expected: the estimate is right only at the median.
pub fn output(
    entry: &Entry,
    engine: Option<&Engine>,
    kind: &Kind,
    longest: f64,
    estimate: Option<f64>,
) -> Forecast {
    let Some(engine) = engine else {
        return Forecast::around(0.0);
    };
    let usual = engine.usual.output;
    let now = entry.node.now();
    let learned = lock(&entry.estimates).forecast(now, kind, usual, estimate);
    let forecast = learned.unwrap_or_else(|| {
        let expected = estimate.map_or(usual, |tokens| (tokens.max(1.0) * usual).sqrt());
        Forecast::around(expected)
    });
    if longest > 0.0 {
        forecast.within(longest)
    } else {
        forecast
    }
}

/// Learns from a stream of `events` events, which is over. It was cut off when it is not
/// `is_whole`. A stream that its caller resumed says nothing of the whole output.
pub fn learn_stream(entry: &Entry, inbound: &InboundRequest, events: u64, is_whole: bool) {
    let engine = {
        let cluster = entry.node.cluster();
        let pool = cluster
            .routing()
            .and_then(|r| r.pool(&inbound.profile.pool));
        pool.and_then(|p| p.engine.clone())
    };
    let Some(engine) = engine.filter(|_| inbound.call.last_event.is_none() && events > 0) else {
        return;
    };
    let now = entry.node.now();
    let tokens = engine.tokens(events, is_whole);
    let (usual, hint) = (engine.usual.output, inbound.call.estimate);
    lock(&entry.estimates).learn(now, &inbound.cost_kind, usual, hint, tokens, is_whole);
}

/// Adds what is told to the entries of the zone, and forgets peers that are no longer known.
pub fn add(entry: &Entry, now: Millis, datagram: &mut Datagram) {
    let mut estimates = lock(&entry.estimates);
    let told = estimates.told(now);
    datagram.estimates = told.iter().map(SummaryDoc::new).collect();
    if !datagram.estimates.is_empty() {
        let peers = entry.node.peers();
        let known = peers.with_role(Role::Entry).map(|p| p.name.as_str());
        let known: indexmap::IndexSet<&str> = known.collect();
        estimates.retain_peers(now, |name| known.contains(name));
    }
}

/// Applies what another entry of the zone tells.
pub fn receive(entry: &Entry, now: Millis, datagram: &Datagram) {
    if !datagram.estimates.is_empty() {
        let summaries = datagram.estimates.iter().map(SummaryDoc::to_summary);
        lock(&entry.estimates).merge(now, &datagram.name, summaries);
    }
}
