//! Turns: which agents of a pool may be out of service to load a version.
//!
//! Why agents with differing views keep `min_serving`: docs/operations/rollout.md.

use indexmap::IndexMap;

use crate::common;
use crate::rollout::manifest::Digest;
use crate::rollout::rank;
use crate::time::Millis;

/// Age after which a view no longer shows that an agent serves.
pub const MAX_VIEW_AGE: Millis = Millis(3_000);

/// Failed loads of a version, over all agents, after which it stops spreading.
pub const MAX_FAILURES: u32 = 2;

common! { value
/// What an agent last reported about itself.
pub struct AgentView {
    /// Table revision in force there.
    pub revision: u64,
    /// Version that its engine has loaded.
    pub loaded: Option<Digest>,
    /// True when it admits requests.
    pub serving: bool,
    /// Failed loads of the version that the pool names.
    pub failures: u32,
    /// When the report arrived.
    pub seen: Millis,
}
}

common! { value
/// The pool as one agent sees it.
#[derive(Default)]
pub struct PoolView {
    /// Agents of the pool in the table, without this one, that are not gone;
    /// none for those that have not reported yet.
    pub views: IndexMap<String, Option<AgentView>>,
    /// Agents that may be out of service at once.
    pub max_out: u32,
    /// Agents that must keep serving.
    pub min_serving: u32,
    /// Table revision from which the bounds and the names come.
    pub revision: u64,
}
}

common! { key
/// Whether an agent may leave service to load a version.
pub enum Turn {
    /// It may.
    Granted,
    /// Another agent has a later table.
    Old,
    /// Agents ranked before it are not yet on the version.
    Behind,
    /// Too few others would keep serving.
    Needed,
}
}

/// Decides whether the agent `me`, which serves, may leave service to load `version`.
pub fn may_leave(now: Millis, me: &str, version: Digest, pool: &PoolView) -> Turn {
    if pool
        .views
        .values()
        .flatten()
        .any(|v| v.revision > pool.revision)
    {
        return Turn::Old;
    }
    let key = version.to_string();
    let own = (rank::weight(&key, me), me);
    let before = |name: &str| (rank::weight(&key, name), name) < own;
    // Agents out for another reason, such as an earlier table, use up turns too.
    let is_out = |view: &Option<AgentView>| !view.as_ref().is_some_and(|v| v.serves(now));
    let has_turn = |(name, view): &(&String, &Option<AgentView>)| {
        is_out(view) || (before(name) && !pool.is_on(name, version))
    };
    if pool.views.iter().filter(has_turn).count() >= pool.max_out as usize {
        return Turn::Behind;
    }
    let serving = pool.views.values().flatten().filter(|v| v.serves(now));
    // Others with a turn may leave before their next report.
    let may_follow = pool.may_follow(now, version);
    if (serving.count()) < pool.min_serving as usize + may_follow {
        return Turn::Needed;
    }
    Turn::Granted
}

impl AgentView {
    fn serves(&self, now: Millis) -> bool {
        self.serving && now.since(self.seen) <= MAX_VIEW_AGE
    }
}

impl PoolView {
    /// True when an agent has loaded the version under the same table.
    ///
    /// A report under an earlier table may be older than a change away from
    /// the version and back to it.
    fn is_on(&self, name: &str, version: Digest) -> bool {
        let view = self.views.get(name).and_then(Option::as_ref);
        view.is_some_and(|v| v.loaded == Some(version) && v.revision == self.revision)
    }

    /// Agents that may be out besides this one and are still counted as serving.
    fn may_follow(&self, now: Millis, version: Digest) -> usize {
        let old = self.views.iter().filter(|(n, _)| !self.is_on(n, version));
        let (serving, out): (Vec<_>, Vec<_>) =
            old.partition(|(_, v)| v.as_ref().is_some_and(|v| v.serves(now)));
        let others = (self.max_out as usize).saturating_sub(1);
        others.saturating_sub(out.len()).min(serving.len())
    }

    /// Failed loads of the wanted version that other agents report.
    pub fn failures(&self) -> u32 {
        self.views.values().flatten().map(|v| v.failures).sum()
    }
}
