//! What the requests to each pool share at this entry: choice, limits, budgets.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::arena::Key;
use crate::limit::Limiter;
use crate::limit::OverloadControl;
use crate::limit::org::Count;
use crate::node::Node;
use crate::prelude::*;
use crate::proto;
use crate::route::Member;
use crate::route::RequestTraits;
use crate::route::Router;
use crate::route::Upstream;
use crate::route::choose::Policy;
use crate::route::cost::Estimator;
use crate::route::cost::Kind;
use crate::route::subset;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::doc::Class;
use crate::table::doc::Pool;

/// Interval of the systems that eject, learn and limit.
const TICK: Duration = Duration::from_millis(50);

const SECONDS_A_MINUTE: f64 = 60.0;

/// State of one pool at this entry.
#[derive(Debug)]
pub struct PoolState {
    /// Choice of upstreams and budgets.
    pub router: Router,
    /// Overload control.
    pub gate: OverloadControl,
    /// Expected costs.
    pub costs: Estimator,
    addrs: IndexMap<String, SocketAddr>,
}

/// An upstream for a call that is bound to one.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key at the chooser.
    pub key: Key<Upstream>,
    /// Name in the pools table.
    pub name: String,
    /// RPC address of its agent.
    pub rpc: SocketAddr,
}

#[derive(Debug)]
struct State {
    stamp: Stamp,
    pools: IndexMap<String, PoolState>,
    limiter: Limiter,
}

/// State of all pools; clones share it.
#[derive(Clone, Debug)]
pub struct Pools {
    node: Node,
    policy: Policy,
    state: Arc<Mutex<State>>,
}

impl Pools {
    /// No pools yet; they follow from the tables in force.
    ///
    /// `entries` is the number of entries that share the limits.
    pub fn new(node: Node, policy: Policy, entries: usize) -> Pools {
        let state = State {
            stamp: Stamp::default(),
            pools: IndexMap::new(),
            limiter: Limiter::new(node.clock.now(), entries),
        };
        let pools = Pools {
            node,
            policy,
            state: Arc::new(Mutex::new(state)),
        };
        pools.exchange_counts();
        pools
    }

    /// Adds the own counts to notices and takes those of other entries.
    ///
    /// Notices without counts come from agents, or from entries that had
    /// nothing to count; neither may widen the own share.
    fn exchange_counts(&self) {
        let (own, others) = (self.state.clone(), self.state.clone());
        let clock = self.node.clock;
        self.node.table_sync.on_exchange(
            move |notice| {
                let state = own.lock().unwrap_or_else(|e| e.into_inner());
                notice.counts = state.limiter.counts().iter().map(to_proto).collect();
            },
            move |notice| {
                if notice.counts.is_empty() {
                    return;
                }
                let counts: Vec<Count> = notice.counts.iter().map(from_proto).collect();
                let mut state = others.lock().unwrap_or_else(|e| e.into_inner());
                state.limiter.on_counts(clock.now(), &notice.from, &counts);
            },
        );
    }

    /// Runs `work` on the state of the pool `name`; none when the tables lack it.
    pub fn with<T>(&self, name: &str, work: impl FnOnce(&mut PoolState) -> T) -> Option<T> {
        let mut state = self.fresh();
        state.pools.get_mut(name).map(work)
    }

    /// Runs `work` on the limits per organisation.
    pub fn limits<T>(&self, work: impl FnOnce(&mut Limiter) -> T) -> T {
        work(&mut self.fresh().limiter)
    }

    /// True unless this entry runs a baseline policy, which refuses nothing.
    pub fn is_controlled(&self) -> bool {
        self.policy == Policy::Expected
    }

    /// Runs the systems for as long as the entry runs.
    pub async fn run(self) {
        loop {
            smol::Timer::after(TICK).await;
            let now = self.node.clock.now();
            let mut state = self.fresh();
            state.limiter.tick(now);
            for pool in state.pools.values_mut() {
                pool.router.tick(now);
                pool.gate.tick(now);
            }
        }
    }

    /// Upstreams and their state, for operators.
    pub fn dump(&self) -> Value {
        let state = self.lock();
        let mut pools = serde_json::Map::new();
        for (name, pool) in &state.pools {
            pools.insert(name.clone(), pool.dump());
        }
        Value::Object(pools)
    }

    /// The state, brought up to the tables in force.
    fn fresh(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = self.lock();
        if let Some(set) = self.node.in_force.get()
            && state.stamp != set.stamp
        {
            state.follow(&self.node, &set, self.policy);
        }
        state
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Requests a minute travel as whole numbers.
fn to_proto(count: &Count) -> proto::Count {
    proto::Count {
        organisation: count.org.clone(),
        requests: (count.rate * SECONDS_A_MINUTE).ceil() as u64,
        cost: 0,
    }
}

fn from_proto(count: &proto::Count) -> Count {
    Count {
        org: count.organisation.clone(),
        rate: count.requests as f64 / SECONDS_A_MINUTE,
    }
}

impl State {
    fn follow(&mut self, node: &Node, set: &TableSet, policy: Policy) {
        let now = node.clock.now();
        self.stamp = set.stamp.clone();
        self.pools
            .retain(|name, _| set.pools.pools.contains_key(name));
        for (name, pool) in &set.pools.pools {
            let held = self.pools.entry(name.clone());
            let held = held.or_insert_with(|| PoolState::new(now, policy));
            held.follow(node, pool);
        }
        for (name, org) in &set.routes.organisations {
            self.limiter.set_limit(now, name, org.requests_s);
        }
    }
}

impl PoolState {
    fn new(now: Millis, policy: Policy) -> PoolState {
        PoolState {
            router: Router::with_policy(fastrand::u64(..), policy),
            gate: OverloadControl::new(now),
            costs: Estimator::default(),
            addrs: IndexMap::new(),
        }
    }

    fn follow(&mut self, node: &Node, pool: &Pool) {
        let mut members = Vec::new();
        self.addrs.clear();
        for (name, upstream) in &pool.upstreams {
            self.addrs.insert(name.clone(), upstream.rpc);
            members.push(Member {
                name: name.clone(),
                zone: upstream.zone.clone(),
                ready: !upstream.drain,
            });
        }
        let zone = &node.settings.zone;
        let chosen = subset::subset(&node.settings.name, zone, &members);
        self.router.chooser.set_members(zone, &chosen);
    }

    /// RPC address of an upstream.
    pub fn addr(&self, key: Key<Upstream>) -> Option<SocketAddr> {
        let upstream = self.router.chooser.get(key)?;
        self.addrs.get(&upstream.name).copied()
    }

    /// The upstream that a short request would go to now, none of `tried`.
    pub fn target(&mut self, now: Millis, tried: &[Key<Upstream>]) -> Option<Target> {
        let ask = RequestTraits {
            cost: self.costs.expect(Kind::new(Class::Short, 0, 0)),
            short: true,
            repeatable: false,
            prefix: None,
        };
        let key = self.router.chooser.pick(now, &ask, tried)?;
        let upstream = self.router.chooser.get(key)?;
        let rpc = *self.addrs.get(&upstream.name)?;
        Some(Target {
            key,
            name: upstream.name.clone(),
            rpc,
        })
    }

    fn dump(&self) -> Value {
        let mut upstreams = serde_json::Map::new();
        for (_, upstream) in self.router.chooser.iter() {
            let health = format!("{:?}", upstream.health);
            let value = json!({
                "calls": upstream.calls, "ready": upstream.ready, "health": health,
            });
            upstreams.insert(upstream.name.clone(), value);
        }
        let (requests, retries) = self.router.retries.totals();
        json!({
            "upstreams": upstreams,
            "requests": requests,
            "retries": retries,
            "hedges": self.router.hedges.totals().1,
            "overloaded": self.gate.is_active(),
        })
    }
}
