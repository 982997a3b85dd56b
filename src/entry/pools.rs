//! State of each pool at this entry that its requests share: choice of upstreams, limits, budgets.

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

/// Interval at which ejections, overload control and limits are updated.
const TICK: Duration = Duration::from_millis(50);

const SECONDS_PER_MINUTE: f64 = 60.0;

/// State of one pool at this entry.
#[derive(Debug)]
pub struct PoolState {
    /// Choice of upstreams, with the budgets for retries and hedges.
    pub router: Router,
    /// Overload control: refuses early what the pool cannot finish.
    pub overload: OverloadControl,
    /// Expected service time by kind of request.
    pub costs: Estimator,
    /// RPC addresses of the pool's agents, by the name of the upstream.
    addrs: IndexMap<String, SocketAddr>,
}

/// The upstream whose agent issues a ticket; the call can run only there.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of the upstream in the pool's chooser.
    pub key: Key<Upstream>,
    /// Name in the pools table.
    pub name: String,
    /// RPC address of its agent.
    pub rpc: SocketAddr,
}

#[derive(Debug)]
struct State {
    /// Stamp of the tables that the rest was last updated from.
    stamp: Stamp,
    pools: IndexMap<String, PoolState>,
    limiter: Limiter,
}

/// State of all pools, and the limits per organisation; clones share it.
#[derive(Clone, Debug)]
pub struct Pools {
    node: Node,
    policy: Policy,
    state: Arc<Mutex<State>>,
}

impl Pools {
    /// Starts without pools, which are added from the tables in force.
    ///
    /// `entries` is the number of entries that share the limits per organisation.
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

    /// Sends this entry's counts in notices and receives those of other entries.
    ///
    /// Notices without counts are ignored: they come from agents, or from entries that had
    /// nothing to count, and must not raise this entry's allowance.
    fn exchange_counts(&self) {
        let (sending, receiving) = (self.state.clone(), self.state.clone());
        let clock = self.node.clock;
        self.node.table_sync.on_exchange(
            move |notice| {
                let state = sending.lock().unwrap_or_else(|e| e.into_inner());
                notice.counts = state.limiter.counts().iter().map(to_proto).collect();
            },
            move |notice| {
                if notice.counts.is_empty() {
                    return;
                }
                let counts: Vec<Count> = notice.counts.iter().map(from_proto).collect();
                let mut state = receiving.lock().unwrap_or_else(|e| e.into_inner());
                state.limiter.on_counts(clock.now(), &notice.from, &counts);
            },
        );
    }

    /// Runs `work` on the state of the pool `name`; none when the tables do not list it.
    pub fn with_pool<T>(&self, name: &str, work: impl FnOnce(&mut PoolState) -> T) -> Option<T> {
        let mut state = self.lock_current();
        state.pools.get_mut(name).map(work)
    }

    /// Runs `work` on the limits per organisation.
    pub fn with_limiter<T>(&self, work: impl FnOnce(&mut Limiter) -> T) -> T {
        work(&mut self.lock_current().limiter)
    }

    /// True unless this entry runs a baseline policy, under which nothing is refused.
    pub fn applies_limits(&self) -> bool {
        self.policy == Policy::Expected
    }

    /// Updates ejections, overload control and limits until the task is dropped.
    pub async fn run(self) {
        loop {
            smol::Timer::after(TICK).await;
            let now = self.node.clock.now();
            let mut state = self.lock_current();
            state.limiter.tick(now);
            for pool in state.pools.values_mut() {
                pool.router.tick(now);
                pool.overload.tick(now);
            }
        }
    }

    /// Returns the pools' upstreams and their state as JSON, for operators.
    pub fn dump(&self) -> Value {
        let state = self.lock();
        let mut pools = serde_json::Map::new();
        for (name, pool) in &state.pools {
            pools.insert(name.clone(), pool.dump());
        }
        Value::Object(pools)
    }

    /// Locks the state after updating it from the tables in force.
    fn lock_current(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = self.lock();
        if let Some(set) = self.node.in_force.get()
            && state.stamp != set.stamp
        {
            state.update(&self.node, &set, self.policy);
        }
        state
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Rates are sent as whole requests a minute, rounded up.
fn to_proto(count: &Count) -> proto::Count {
    proto::Count {
        organisation: count.org.clone(),
        requests: (count.rate * SECONDS_PER_MINUTE).ceil() as u64,
        cost: 0,
    }
}

fn from_proto(count: &proto::Count) -> Count {
    Count {
        org: count.organisation.clone(),
        rate: count.requests as f64 / SECONDS_PER_MINUTE,
    }
}

impl State {
    /// Updates pools and limits from `set`.
    fn update(&mut self, node: &Node, set: &TableSet, policy: Policy) {
        let now = node.clock.now();
        self.stamp = set.stamp.clone();
        self.pools
            .retain(|name, _| set.pools.pools.contains_key(name));
        for (name, pool) in &set.pools.pools {
            let state = self.pools.entry(name.clone());
            let state = state.or_insert_with(|| PoolState::new(now, policy));
            state.update(node, pool);
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
            overload: OverloadControl::new(now),
            costs: Estimator::default(),
            addrs: IndexMap::new(),
        }
    }

    /// Updates addresses and the subset of upstreams that this entry uses.
    fn update(&mut self, node: &Node, pool: &Pool) {
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

    /// RPC address of an upstream's agent; none when the tables no longer list it.
    pub fn addr(&self, key: Key<Upstream>) -> Option<SocketAddr> {
        let upstream = self.router.chooser.get(key)?;
        self.addrs.get(&upstream.name).copied()
    }

    /// Chooses the upstream that a short request would be sent to now, other than `tried`.
    pub fn choose_target(&mut self, now: Millis, tried: &[Key<Upstream>]) -> Option<Target> {
        let traits = RequestTraits {
            cost: self.costs.expect(Kind::new(Class::Short, 0, 0)),
            short: true,
            repeatable: false,
            prefix: None,
        };
        let key = self.router.chooser.pick(now, &traits, tried)?;
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
            "overloaded": self.overload.is_active(),
        })
    }
}
