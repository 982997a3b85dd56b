//! Decides when it is this agent's turn to load a version, from the state of its pool as the
//! other agents report it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::agent::Agent;
use crate::agent::Assignment;
use crate::log::Component;
use crate::net::rpc;
use crate::net::rt;
use crate::prelude::*;
use crate::proto;
use crate::rollout::Digest;
use crate::rollout::rank;
use crate::rollout::turn;
use crate::rollout::turn::AgentView;
use crate::rollout::turn::PoolView;
use crate::rollout::turn::Turn;
use crate::table::doc;

/// Time-out of a call that asks an agent for its state.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Revision of the tables in force and the agent's pool in them.
fn pool_table(agent: &Agent, assignment: &Assignment) -> Option<(u64, doc::Pool)> {
    let set = agent.node.in_force.get()?;
    let pool = set.pools.pools.get(&assignment.pool)?;
    Some((set.stamp.revision, pool.clone()))
}

/// The pool with its bounds from the tables and the states that agents reported.
fn pool_view(
    revision: u64,
    pool: &doc::Pool,
    views: IndexMap<String, Option<AgentView>>,
) -> PoolView {
    PoolView {
        views,
        max_out: pool.max_out,
        min_serving: pool.min_serving,
        revision,
    }
}

/// Number of agents that are asked at the same time in [`is_turn_near`].
const BATCH_LEN: usize = 8;

/// True when fewer than `max_out` of the agents ranked before this one have yet to load the
/// version, so that asking the whole pool by [`ask_pool`] is worth its cost.
///
/// Asks in rank order until `max_out` agents are found that have yet to load it. Agents that
/// were seen on the version are not asked again, so a waiting agent makes about `max_out` calls
/// a round, however large the pool is.
pub async fn is_turn_near(agent: &Agent, assignment: &Assignment) -> bool {
    let Some((revision, pool)) = pool_table(agent, assignment) else {
        return false;
    };
    let before = ranked_before(agent, assignment, &pool);
    let asked: Vec<&(String, SocketAddr)> = before
        .iter()
        .filter(|(name, _)| !agent.loaded.is_on_version(revision, name))
        .collect();
    let mut behind = 0;
    for batch in asked.chunks(BATCH_LEN) {
        let batch = batch.iter().map(|(name, rpc)| (name.clone(), *rpc));
        for (name, reply) in ask_all(agent, batch).await {
            let is_on_version =
                |r: &proto::StateReply| r.digest == assignment.digest && r.revision == revision;
            if reply.as_ref().is_some_and(is_on_version) {
                agent.loaded.add_on_version(revision, &name);
            } else {
                behind += 1;
            }
        }
        if behind >= pool.max_out {
            return false;
        }
    }
    true
}

/// Asks the first agents in rank order, which load a version before the others.
///
/// An agent that is out of service needs no turn and only has to know of failed loads. In a
/// fleet that starts without weights, not every agent must ask every other one.
pub async fn ask_first(agent: &Agent, assignment: &Assignment) -> PoolView {
    let Some((revision, pool)) = pool_table(agent, assignment) else {
        return PoolView::default();
    };
    let first = ranked_before(agent, assignment, &pool)
        .into_iter()
        .take(BATCH_LEN);
    let views = ask_views(agent, first).await;
    pool_view(revision, &pool, views)
}

/// Agents that load before this one, in rank order, without those that the table drains.
fn ranked_before(
    agent: &Agent,
    assignment: &Assignment,
    pool: &doc::Pool,
) -> Vec<(String, SocketAddr)> {
    let rank = |name: &str| (rank::weight(&assignment.digest, name), name.to_string());
    let own = rank(&agent.node.settings.name);
    let mut before: Vec<_> = pool
        .upstreams
        .iter()
        .filter(|(_, upstream)| !upstream.drain)
        .map(|(name, upstream)| (rank(name), upstream.rpc))
        .filter(|(rank, _)| *rank < own)
        .collect();
    before.sort();
    let named = before.into_iter().map(|((_, name), rpc)| (name, rpc));
    named.collect()
}

/// Asks agents for their state at the same time; none for an agent that does not answer or
/// answers under another name.
async fn ask_all(
    agent: &Agent,
    asked: impl Iterator<Item = (String, SocketAddr)>,
) -> Vec<(String, Option<proto::StateReply>)> {
    let tasks: Vec<_> = asked
        .map(|(name, rpc)| {
            let agent = agent.clone();
            (name, rt::spawn(async move { ask_state(&agent, rpc).await }))
        })
        .collect();
    let mut replies = Vec::new();
    for (name, task) in tasks {
        let reply = task.await.ok().filter(|reply| reply.name == name);
        replies.push((name, reply));
    }
    replies
}

/// Asks all other agents of the pool for their state.
///
/// Those that the table drains are left out: the operator has taken them out of service, and
/// they must not use up turns of the others.
pub async fn ask_pool(agent: &Agent, assignment: &Assignment) -> PoolView {
    let Some((revision, pool)) = pool_table(agent, assignment) else {
        return PoolView::default();
    };
    let own = &agent.node.settings.name;
    let others = pool.upstreams.iter();
    let others = others.filter(|(name, upstream)| *name != own && !upstream.drain);
    let asked = others.map(|(name, upstream)| (name.clone(), upstream.rpc));
    let views = ask_views(agent, asked).await;
    pool_view(revision, &pool, views)
}

/// Asks agents for their state; none for those that do not answer.
async fn ask_views(
    agent: &Agent,
    asked: impl Iterator<Item = (String, SocketAddr)>,
) -> IndexMap<String, Option<AgentView>> {
    let replies = ask_all(agent, asked).await.into_iter();
    let views = replies.map(|(name, reply)| (name, reply.map(|r| agent_view(agent, &r))));
    views.collect()
}

/// Asks the agent at `addr` for its state.
async fn ask_state(agent: &Agent, addr: SocketAddr) -> Result<proto::StateReply> {
    let mut client = agent.node.channels.agent(addr);
    rpc::call(ASK_TIMEOUT, client.state(proto::StateRequest {})).await
}

/// Converts an agent's reply, which counts as seen now.
fn agent_view(agent: &Agent, reply: &proto::StateReply) -> AgentView {
    AgentView {
        revision: reply.revision,
        loaded: reply.digest.parse().ok(),
        serving: reply.serving && !reply.leaving,
        failures: reply.load_failures,
        seen: agent.node.clock.now(),
    }
}

/// True when this agent, which serves another version, may stop serving now to load this one.
pub fn is_granted(agent: &Agent, assignment: &Assignment, pool: &PoolView) -> bool {
    let Ok(version) = assignment.digest.parse::<Digest>() else {
        return false;
    };
    let now = agent.node.clock.now();
    let turn = turn::may_leave(now, &agent.node.settings.name, version, pool);
    slog::debug!(agent.node.logger(Component::Load), "turn"; "turn" => ?turn);
    turn == Turn::Granted
}

/// True when the version has failed to load too often, here or at others, to be tried here.
pub fn is_held_back(agent: &Agent, assignment: &Assignment, pool: &PoolView) -> bool {
    let own = agent.loaded.failures(&assignment.digest);
    own >= turn::MAX_FAILURES || pool.failures() >= turn::MAX_FAILURES
}
