//! What an entry adds to its datagrams, and what it reads from those of others.

use crate::direct::entry::Entry;
use crate::direct::forecasts;
use crate::direct::wire::Datagram;
use crate::direct::wire::KindDoc;
use crate::direct::wire::LimitDoc;
use crate::direct::wire::LoadDoc;
use crate::direct::wire::RefusedDoc;
use crate::direct::wire::StatusDoc;
use crate::direct::wire::SuspectDoc;
use crate::member::peers::Role;
use crate::prelude::*;
use crate::route::target::RunnerStatus;
use crate::util::lock;

/// Adds the state of the entry to a datagram. Loads and refusals are only for
/// entries of the zone (`near`), which share its callers and prefer its upstreams.
pub fn add_state(entry: &Entry, now: Millis, datagram: &mut Datagram, near: bool) {
    let reports = entry.crashes.export(now);
    let reports = reports.iter();
    datagram.suspects = reports.map(|r| SuspectDoc::new(now, r)).collect();
    add_limits(entry, now, datagram);
    if !near {
        let report = lock(&entry.admission).zone_report(now);
        datagram.zone_kinds = report.iter().map(|(k, c)| KindDoc::new(*k, c)).collect();
        return;
    }
    let loads = entry.placer().loads();
    datagram.loads = loads
        .iter()
        .map(|(upstream, load)| LoadDoc::new(*upstream, load))
        .collect();
    let counts = lock(&entry.admission).counts(now);
    datagram.kinds = counts.iter().map(|(k, c)| KindDoc::new(*k, c)).collect();
    forecasts::add(entry, now, datagram);
    let recent = lock(&entry.refusals).recent(now);
    datagram.refused = recent.iter().map(|r| RefusedDoc::new(now, r)).collect();
}

/// Adds the limits of upstreams, and keeps the entries that share them.
fn add_limits(entry: &Entry, now: Millis, datagram: &mut Datagram) {
    let (is_limited, is_cold_due) = {
        let placer = entry.placer();
        (placer.limited() > 0, placer.needs_sharers(now))
    };
    if is_limited || is_cold_due {
        let own = entry.node.settings();
        let mut entries = IndexMap::from([(own.name.clone(), own.zone.clone())]);
        let peers = entry.node.peers();
        let others = peers.with_role(Role::Entry);
        entries.extend(others.map(|p| (p.name.clone(), p.zone.clone())));
        drop(peers);
        if is_cold_due {
            let shared = entries.iter().map(|(n, z)| (n.clone(), z.clone()));
            entry.placer().set_sharers(now, &own.name, shared);
        }
        entry.placer().set_entries(&own.name, entries);
    }
    let limits = entry.placer().limits(now);
    let limits = limits.iter();
    datagram.limits = limits
        .map(|(upstream, stated)| LimitDoc::new(now, *upstream, stated))
        .collect();
}

/// Applies a datagram: loads of an entry of the zone, the status of a runner,
/// refusals and suspects.
pub fn receive(entry: &Entry, now: Millis, datagram: &Datagram) {
    if datagram.entry && datagram.zone == entry.node.settings().zone {
        let loads = datagram.loads.iter();
        let loads: Vec<_> = loads.map(LoadDoc::to_load).collect();
        entry.placer().on_loads(now, &datagram.name, &loads);
        let counts: Vec<_> = datagram.kinds.iter().map(|k| k.to_counts()).collect();
        if !counts.is_empty() {
            lock(&entry.admission).on_peer(now, &datagram.name, counts);
        }
        forecasts::receive(entry, now, datagram);
    } else if datagram.entry && !datagram.zone_kinds.is_empty() {
        let counts = datagram.zone_kinds.iter().map(|k| k.to_counts()).collect();
        lock(&entry.admission).on_zone(now, &datagram.zone, counts);
    }
    if let Some(doc) = &datagram.status {
        let mut placer = entry.placer();
        placer.on_status(&doc.upstream, status(now, doc));
        if let Some(used) = doc.used {
            let at = now.since(Millis(u64::from(doc.age)));
            placer.on_memory(&doc.upstream, f64::from(used), at);
        }
        let left = doc.cold.map(|left| Millis(u64::from(left)));
        let turned = left.and_then(|left| placer.on_cold_agent(now, &doc.upstream, left));
        drop(placer);
        turned.inspect(|id| entry.node.log().cold(now, id, "agent"));
    }
    for limit in &datagram.limits {
        let rate = limit.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let at = now.since(Millis(u64::from(limit.age)));
        let upstream = entry.placer().on_peer_limit(limit.upstream, rate, at);
        let log = entry.node.log();
        upstream.inspect(|id| log.rate_limit(now, id, rate, &datagram.name));
    }
    for refused in &datagram.refused {
        lock(&entry.refusals).merge(now, refused.to_refusal(now));
    }
    if let Some(end) = &datagram.ended {
        let at = now.since(Millis(u64::from(end.age)));
        entry
            .crashes
            .record_end(now, at, &end.upstream, &datagram.name);
    }
    let reports = datagram.suspects.iter().map(|doc| doc.to_report(now));
    entry.crashes.merge(now, reports, &datagram.name);
}

/// Decodes the status of a runner, with its times by the own clock.
fn status(now: Millis, doc: &StatusDoc) -> RunnerStatus {
    RunnerStatus {
        holdings: doc.holdings.iter().map(|h| h.to_holding()).collect(),
        loading: doc.busy,
        calls: doc.calls,
        pace: f64::from(doc.pace) / 100.0,
        measured_at: now.since(Millis(u64::from(doc.age))),
        reload_at: doc.turn.map(|left| now.plus(Millis(u64::from(left)))),
    }
}
