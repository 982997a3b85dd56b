//! State of an upstream, from its agent's reports, the tables, the live list
//! and the failure detector.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::common;
use crate::member::failure_detector::FailureDetector;
use crate::member::incarnation::Incarnation;
use crate::member::live::Live;
use crate::table::TableSet;

/// Maximum number of reports kept. Further ones are ignored until upstreams that
/// neither tables nor live list name are pruned.
const MAX_REPORTS: usize = 4_096;

common! { key
/// State of an upstream according to the strongest source that names it.
///
/// The variants are in order of precedence, strongest first.
pub enum UpstreamState {
    /// Its own agent reports that it is leaving.
    OwnLeaving,
    /// The pools table marks it as draining.
    TableDrain,
    /// The live list marks its VM as leaving.
    LiveLeaving,
    /// The pools table lists it, and no source says that it is leaving.
    Listed,
    /// Only the live list names it; it belongs to no pool.
    LiveOnly,
    /// Neither list names it, and calls to it make no progress.
    Suspect,
    /// No source names it.
    Unknown,
}
}

impl UpstreamState {
    /// Returns true when a source says that it is leaving: it gets no new requests.
    pub fn is_leaving(self) -> bool {
        self <= UpstreamState::LiveLeaving
    }

    /// Returns true when it may get new requests.
    pub fn may_serve(self) -> bool {
        self == UpstreamState::Listed
    }
}

/// Last report of an agent about itself.
#[derive(Clone, Copy, Debug)]
struct AgentReport {
    incarnation: Incarnation,
    leaving: bool,
}

/// Latest reports of agents about themselves, by the name of the upstream.
#[derive(Clone, Debug, Default)]
pub struct AgentReports {
    reports: IndexMap<String, AgentReport>,
}

impl AgentReports {
    /// Records an agent's report about itself. Returns false when the report is
    /// ignored, as it is from an earlier incarnation or 4,096 others are kept.
    ///
    /// Leaving is final for an incarnation: a report of the same incarnation
    /// that does not say so was sent earlier and arrived late.
    pub fn record(&mut self, name: &str, incarnation: Incarnation, leaving: bool) -> bool {
        let Some(held) = self.reports.get_mut(name) else {
            if self.reports.len() >= MAX_REPORTS {
                return false;
            }
            let report = AgentReport {
                incarnation,
                leaving,
            };
            self.reports.insert(name.to_string(), report);
            return true;
        };
        if held.incarnation.replaces(incarnation) {
            return false;
        }
        let same = held.incarnation == incarnation;
        let was_leaving = same && held.leaving;
        *held = AgentReport {
            incarnation,
            leaving: leaving || was_leaving,
        };
        true
    }

    /// Removes the reports of upstreams that neither the tables nor the live
    /// list name.
    pub fn prune(&mut self, set: &TableSet, live: &Live) {
        self.reports
            .retain(|name, _| set.upstream(name).is_some() || live.vms.contains_key(name));
    }

    /// Returns the latest incarnation that reported under `name`.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        self.reports.get(name).map(|report| report.incarnation)
    }

    /// Returns the state of the upstream `name` from its reports, the tables and
    /// the live list.
    pub fn state(&self, name: &str, set: Option<&TableSet>, live: &Live) -> UpstreamState {
        if self.reports.get(name).is_some_and(|r| r.leaving) {
            return UpstreamState::OwnLeaving;
        }
        let listed = set.and_then(|set| set.upstream(name));
        let vm = live.vms.get(name);
        match (listed, vm) {
            (Some((_, _, upstream)), _) if upstream.drain => UpstreamState::TableDrain,
            (_, Some(vm)) if vm.leaving => UpstreamState::LiveLeaving,
            (Some(_), _) => UpstreamState::Listed,
            (None, Some(_)) => UpstreamState::LiveOnly,
            (None, None) => UpstreamState::Unknown,
        }
    }

    /// Adds the suspicion of the failure detector to `state`. It counts only
    /// when no other source names the upstream.
    pub fn with_suspicion(
        state: UpstreamState,
        addr: SocketAddr,
        detector: &FailureDetector,
    ) -> UpstreamState {
        if state == UpstreamState::Unknown && detector.is_suspected(addr) {
            return UpstreamState::Suspect;
        }
        state
    }
}
