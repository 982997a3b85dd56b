//! Join of the sources that say something about an upstream.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::common;
use crate::member::failure_detector::FailureDetector;
use crate::member::incarnation::Incarnation;
use crate::member::live::Live;
use crate::table::TableSet;

/// Reports of upstreams kept; more are refused until the table drops some.
const MAX_REPORTS: usize = 4_096;

common! { key
/// What an upstream is, by the strongest source that speaks of it.
///
/// Variants stand in order of precedence, strongest first.
pub enum UpstreamState {
    /// Its own agent says that it leaves.
    OwnLeaving,
    /// The table drains it.
    TableDrain,
    /// The live list says that it leaves.
    LiveLeaving,
    /// The table lists it.
    Listed,
    /// Only the live list knows it; it belongs to no pool.
    LiveOnly,
    /// No list knows it, and work given to it makes no progress.
    Suspect,
    /// Nothing is known of it.
    Unknown,
}
}

impl UpstreamState {
    /// True when it must get no new work.
    pub fn is_leaving(self) -> bool {
        self <= UpstreamState::LiveLeaving
    }

    /// True when it may get new work.
    pub fn may_serve(self) -> bool {
        self == UpstreamState::Listed
    }
}

/// What an agent said of itself.
#[derive(Clone, Copy, Debug)]
struct Report {
    incarnation: Incarnation,
    leaving: bool,
}

/// What upstreams say of themselves, joined with tables and live list.
#[derive(Clone, Debug, Default)]
pub struct AgentReports {
    reports: IndexMap<String, Report>,
}

impl AgentReports {
    /// Takes an agent's report of itself; false when it is an older
    /// incarnation's or there is no room.
    ///
    /// Leaving is final for one incarnation: a late report that it does not
    /// leave was sent before.
    pub fn report(&mut self, name: &str, incarnation: Incarnation, leaving: bool) -> bool {
        let Some(held) = self.reports.get_mut(name) else {
            if self.reports.len() >= MAX_REPORTS {
                return false;
            }
            let report = Report {
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
        let left = same && held.leaving;
        *held = Report {
            incarnation,
            leaving: leaving || left,
        };
        true
    }

    /// Forgets reports of upstreams that neither list knows.
    pub fn prune(&mut self, set: &TableSet, live: &Live) {
        self.reports
            .retain(|name, _| set.upstream(name).is_some() || live.vms.contains_key(name));
    }

    /// The latest incarnation that reported under this name.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        self.reports.get(name).map(|report| report.incarnation)
    }

    /// State of the upstream `name`, strongest source first.
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

    /// State with what the links say, which no stronger source yields to.
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
