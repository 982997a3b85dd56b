//! The agent's turn to load: its pool as the other agents report it.

use std::time::Duration;

use crate::agent::Agent;
use crate::agent::Duty;
use crate::net::client;
use crate::net::rpc;
use crate::net::rt;
use crate::prelude::*;
use crate::proto;
use crate::rollout::Digest;
use crate::rollout::turn;
use crate::rollout::turn::Pool;
use crate::rollout::turn::Turn;
use crate::rollout::turn::View;

/// Time for one agent's report.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks all other agents of the pool for their state.
///
/// Upstreams that the table drains are left out: the operator has taken them
/// out of service, and they must not use up the turns of the others.
pub async fn poll(agent: &Agent, duty: &Duty) -> Pool {
    let Some(set) = agent.node.view.get() else {
        return Pool::default();
    };
    let Some(pool) = set.pools.pools.get(&duty.pool) else {
        return Pool::default();
    };
    let own = &agent.node.settings.name;
    let others = pool.upstreams.iter();
    let others = others.filter(|(name, upstream)| *name != own && !upstream.drain);
    let asked: Vec<_> = others
        .map(|(name, upstream)| {
            let agent = agent.clone();
            let rpc = upstream.rpc;
            (
                name.clone(),
                rt::spawn(async move { ask(&agent, rpc).await }),
            )
        })
        .collect();
    let mut views = IndexMap::new();
    for (name, task) in asked {
        let reply = task.await.ok().filter(|reply| reply.name == name);
        views.insert(name, reply.map(|reply| view(agent, &reply)));
    }
    Pool {
        views,
        max_out: pool.max_out,
        min_serving: pool.min_serving,
        revision: set.stamp.revision,
    }
}

async fn ask(agent: &Agent, addr: std::net::SocketAddr) -> Result<proto::StateReply> {
    let mut client = agent.node.channels.agent(addr);
    let reply = async {
        let reply = client.state(proto::StateRequest {}).await;
        Ok(reply.map_err(|s| rpc::from_status(&s))?.into_inner())
    };
    client::timeout(ASK_TIMEOUT, Code::RpcFailed, reply).await
}

fn view(agent: &Agent, reply: &proto::StateReply) -> View {
    View {
        revision: reply.revision,
        loaded: reply.digest.parse().ok(),
        serving: reply.serving && !reply.leaving,
        failures: reply.load_failures,
        seen: agent.node.clock.now(),
    }
}

/// Whether this agent, which serves another version, may leave service now.
pub fn is_granted(agent: &Agent, duty: &Duty, pool: &Pool) -> bool {
    let Ok(version) = duty.digest.parse::<Digest>() else {
        return false;
    };
    let now = agent.node.clock.now();
    let turn = turn::may_leave(now, &agent.node.settings.name, version, pool);
    slog::debug!(agent.node.log, "load: turn"; "turn" => ?turn);
    turn == Turn::Granted
}

/// True when the version has failed to load too often to be tried here.
pub fn is_held(agent: &Agent, duty: &Duty, pool: &Pool) -> bool {
    let own = agent.loaded.failures(&duty.digest);
    own >= turn::MAX_FAILURES || pool.failures() >= turn::MAX_FAILURES
}
