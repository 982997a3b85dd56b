//! Turns: when an agent may leave service to load a version, so that enough of its pool
//! keeps serving.
//!
//! Why agents with differing views keep `min_serving`: docs/operations/rollout.md.

use indexmap::IndexMap;

use crate::common;
use crate::rollout::manifest::Digest;
use crate::rollout::rank;
use crate::time::Millis;

/// Greatest age at which a report still shows that an agent serves.
pub const MAX_VIEW_AGE: Millis = Millis(3_000);

/// Failed loads of a version, over all agents of the pool, after which no further agent
/// tries it.
pub const MAX_FAILURES: u32 = 2;

common! { value
/// Last report of an agent about itself.
pub struct AgentView {
    /// Revision of the tables in force there.
    pub revision: u64,
    /// Version that its engine has loaded; none when it is empty or not known.
    pub loaded: Option<Digest>,
    /// True when it admits requests.
    pub serving: bool,
    /// Failed loads of the version that the pool names.
    pub failures: u32,
    /// When the report arrived, by the own clock.
    pub seen: Millis,
}
}

common! { value
/// The pool as one agent sees it.
#[derive(Default)]
pub struct PoolView {
    /// Reports of the pool's other agents in the tables that are not gone, by name; none
    /// for those that have not reported yet.
    pub views: IndexMap<String, Option<AgentView>>,
    /// Number of agents that may be out of service at once.
    pub max_out: u32,
    /// Number of agents that must keep serving.
    pub min_serving: u32,
    /// Revision of the tables from which the two numbers and the names come.
    pub revision: u64,
}
}

common! { key
/// Whether an agent may leave service to load a version.
pub enum Turn {
    /// The agent may leave service.
    Granted,
    /// Another agent has later tables.
    Old,
    /// As many agents as may be out at once are out or have their turn before it.
    Behind,
    /// Too few other agents would keep serving.
    Needed,
}
}

/// Decides whether the agent `name`, which serves, may leave service to load `version`.
///
/// Agents take their turns in the order of their ranks for the version.
pub fn may_leave(now: Millis, name: &str, version: Digest, pool: &PoolView) -> Turn {
    if pool
        .views
        .values()
        .flatten()
        .any(|v| v.revision > pool.revision)
    {
        return Turn::Old;
    }
    let key = version.to_string();
    let own = (rank::weight(&key, name), name);
    let ranks_before = |other: &str| (rank::weight(&key, other), other) < own;
    // Agents that are out for another reason, such as a load under
    // earlier tables, count as well.
    let is_out = |view: &Option<AgentView>| !view.as_ref().is_some_and(|v| v.serves(now));
    let uses_turn = |(other, view): &(&String, &Option<AgentView>)| {
        is_out(view) || (ranks_before(other) && !pool.has_version(other, version))
    };
    if pool.views.iter().filter(uses_turn).count() >= pool.max_out as usize {
        return Turn::Behind;
    }
    let serving = pool.views.values().flatten().filter(|v| v.serves(now));
    // Others that have their turn too may leave before their next report.
    let may_also_leave = pool.may_also_leave(now, version);
    if (serving.count()) < pool.min_serving as usize + may_also_leave {
        return Turn::Needed;
    }
    Turn::Granted
}

impl AgentView {
    /// True when the report is recent and says that the agent admits requests.
    fn serves(&self, now: Millis) -> bool {
        self.serving && now.since(self.seen) <= MAX_VIEW_AGE
    }
}

impl PoolView {
    /// True when an agent has loaded the version under the same tables.
    ///
    /// A report under earlier tables does not count: the pool may have changed to
    /// another version and back since.
    fn has_version(&self, name: &str, version: Digest) -> bool {
        let view = self.views.get(name).and_then(Option::as_ref);
        view.is_some_and(|v| v.loaded == Some(version) && v.revision == self.revision)
    }

    /// Number of other agents that may have left service by now, though their last
    /// reports say that they serve.
    fn may_also_leave(&self, now: Millis, version: Digest) -> usize {
        let old = self
            .views
            .iter()
            .filter(|(n, _)| !self.has_version(n, version));
        let (serving, out): (Vec<_>, Vec<_>) =
            old.partition(|(_, v)| v.as_ref().is_some_and(|v| v.serves(now)));
        let others = (self.max_out as usize).saturating_sub(1);
        others.saturating_sub(out.len()).min(serving.len())
    }

    /// Number of failed loads of the wanted version that other agents report.
    pub fn failures(&self) -> u32 {
        self.views.values().flatten().map(|v| v.failures).sum()
    }
}
