//! The agent's turn to load: its pool as the other agents report it.

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

/// Time for one agent's report.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// The pool in the tables in force, with their revision.
fn table(agent: &Agent, assignment: &Assignment) -> Option<(u64, doc::Pool)> {
    let set = agent.node.in_force.get()?;
    let pool = set.pools.pools.get(&assignment.pool)?;
    Some((set.stamp.revision, pool.clone()))
}

fn seen(revision: u64, pool: &doc::Pool, views: IndexMap<String, Option<AgentView>>) -> PoolView {
    PoolView {
        views,
        max_out: pool.max_out,
        min_serving: pool.min_serving,
        revision,
    }
}

/// Agents asked at once in [`is_near`].
const BATCH: usize = 8;

/// True when fewer than `max_out` of the agents ranked before this one are still
/// to load the version, so that a whole [`poll`] is worth its cost.
///
/// Asks in rank order and stops at the first `max_out` that are behind; agents
/// that were seen on the version are not asked again. An agent that waits thus
/// makes about `max_out` calls a round, however large the pool is.
pub async fn is_near(agent: &Agent, assignment: &Assignment) -> bool {
    let Some((revision, pool)) = table(agent, assignment) else {
        return false;
    };
    let before = before(agent, assignment, &pool);
    let asked: Vec<&(String, SocketAddr)> = before
        .iter()
        .filter(|(name, _)| !agent.loaded.is_done(revision, name))
        .collect();
    let mut behind = 0;
    for batch in asked.chunks(BATCH) {
        let batch = batch.iter().map(|(name, rpc)| (name.clone(), *rpc));
        for (name, reply) in ask_all(agent, batch).await {
            let is_on =
                |r: &proto::StateReply| r.digest == assignment.digest && r.revision == revision;
            if reply.as_ref().is_some_and(is_on) {
                agent.loaded.note_done(revision, &name);
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

/// The first agents in rank order, which try a version before the others.
///
/// An agent that is out of service needs no turn, only word of failed loads; a
/// fleet that starts empty must not ask every agent by every other one.
pub async fn sample(agent: &Agent, assignment: &Assignment) -> PoolView {
    let Some((revision, pool)) = table(agent, assignment) else {
        return PoolView::default();
    };
    let first = before(agent, assignment, &pool).into_iter().take(BATCH);
    let views = views(agent, first).await;
    seen(revision, &pool, views)
}

/// Upstreams that load before this one, in rank order, without drained ones.
fn before(agent: &Agent, assignment: &Assignment, pool: &doc::Pool) -> Vec<(String, SocketAddr)> {
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

/// Asks agents for their state at the same time; none where one does not answer as itself.
async fn ask_all(
    agent: &Agent,
    asked: impl Iterator<Item = (String, SocketAddr)>,
) -> Vec<(String, Option<proto::StateReply>)> {
    let tasks: Vec<_> = asked
        .map(|(name, rpc)| {
            let agent = agent.clone();
            (name, rt::spawn(async move { ask(&agent, rpc).await }))
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
/// Upstreams that the table drains are left out: the operator has taken them
/// out of service, and they must not use up the turns of the others.
pub async fn poll(agent: &Agent, assignment: &Assignment) -> PoolView {
    let Some((revision, pool)) = table(agent, assignment) else {
        return PoolView::default();
    };
    let own = &agent.node.settings.name;
    let others = pool.upstreams.iter();
    let others = others.filter(|(name, upstream)| *name != own && !upstream.drain);
    let asked = others.map(|(name, upstream)| (name.clone(), upstream.rpc));
    let views = views(agent, asked).await;
    seen(revision, &pool, views)
}

/// Agents' reports; none for those that do not answer.
async fn views(
    agent: &Agent,
    asked: impl Iterator<Item = (String, SocketAddr)>,
) -> IndexMap<String, Option<AgentView>> {
    let replies = ask_all(agent, asked).await.into_iter();
    let views = replies.map(|(name, reply)| (name, reply.map(|r| view(agent, &r))));
    views.collect()
}

async fn ask(agent: &Agent, addr: SocketAddr) -> Result<proto::StateReply> {
    let mut client = agent.node.channels.agent(addr);
    rpc::ask(ASK_TIMEOUT, client.state(proto::StateRequest {})).await
}

fn view(agent: &Agent, reply: &proto::StateReply) -> AgentView {
    AgentView {
        revision: reply.revision,
        loaded: reply.digest.parse().ok(),
        serving: reply.serving && !reply.leaving,
        failures: reply.load_failures,
        seen: agent.node.clock.now(),
    }
}

/// Whether this agent, which serves another version, may leave service now.
pub fn is_granted(agent: &Agent, assignment: &Assignment, pool: &PoolView) -> bool {
    let Ok(version) = assignment.digest.parse::<Digest>() else {
        return false;
    };
    let now = agent.node.clock.now();
    let turn = turn::may_leave(now, &agent.node.settings.name, version, pool);
    slog::debug!(agent.node.logger(Component::Load), "turn"; "turn" => ?turn);
    turn == Turn::Granted
}

/// True when the version has failed to load too often to be tried here.
pub fn is_held(agent: &Agent, assignment: &Assignment, pool: &PoolView) -> bool {
    let own = agent.loaded.failures(&assignment.digest);
    own >= turn::MAX_FAILURES || pool.failures() >= turn::MAX_FAILURES
}
