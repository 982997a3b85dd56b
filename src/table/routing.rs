//! Routes, pools and organisations that are in force as one document.
//!
//! On prepared machines the operator writes one document with one version.
//! Routes and pools are joined by name here; a route whose pool is missing
//! matches and has nowhere to go.

use crate::prelude::*;
use crate::route::engine::Engine;
use crate::util;

common! { key
/// What may be repeated of a route's requests.
pub enum Repeat {
    /// Everything: running a request twice does no harm.
    Always,
    /// Nothing: a request runs at most once.
    Never,
    /// The rest of a stream, from the last event that the caller has.
    Resume,
}
}

impl Repeat {
    /// True when a request whose fate is open may be sent again.
    pub fn allows_resend(self) -> bool {
        self != Repeat::Never
    }
}

common! { value
/// Which traffic goes to which pools, and its terms.
pub struct Route {
    /// Name, unique in the document.
    pub name: String,
    /// Host that it matches.
    pub host: String,
    /// Start of the paths that it matches.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// True for answers that are streams of events.
    pub stream: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Millis,
    /// Latency objective: of the first event for streams, else of the answer.
    pub objective: Millis,
    /// Longest pause between two events with which an answer is on time.
    pub gap_target: Option<Millis>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// True when callers need no key.
    pub public: bool,
    /// Upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Pools with their shares of the traffic.
    pub pools: Vec<(String, u32)>,
}
}

impl Route {
    /// The pool that serves the request with this id.
    ///
    /// The same request always goes to the same pool, in every process.
    pub fn pool(&self, request: &str) -> Option<&str> {
        let total: u64 = self.pools.iter().map(|(_, share)| u64::from(*share)).sum();
        if total == 0 {
            return self.pools.first().map(|(name, _)| name.as_str());
        }
        let mut rest = util::stable_hash([request, self.name.as_str()]) % total;
        for (name, share) in &self.pools {
            let share = u64::from(*share);
            if rest < share {
                return Some(name);
            }
            rest -= share;
        }
        None
    }
}

common! { value
/// Where weights are fetched from when no peer holds them.
pub struct Origin {
    /// Its address.
    pub addr: std::net::SocketAddr,
    /// Availability zone that it stands in; empty when unknown.
    pub zone: String,
}
}

common! { value
/// Upstreams that serve the same requests.
pub struct Pool {
    /// Name by which routes refer to it.
    pub name: String,
    /// Path of the health check; empty for none.
    pub health_path: String,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Figures of the model engine; none for a plain service.
    pub engine: Option<Engine>,
    /// Set when the pool is an origin of weights.
    pub origin: Option<Origin>,
}
}

common! { value
/// Customer on whose behalf requests are made.
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Rank of its requests, which goes before that of the route.
    pub priority: Option<u8>,
}
}

common! { value
/// What callers may send, and how long they may stay idle.
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_head: usize,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Time in which a head must have arrived.
    pub head_timeout: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Millis,
}
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_head: 16 << 10,
            max_body: 4 << 20,
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// The document in force, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    version: u64,
    routes: Vec<Arc<Route>>,
    hosts: IndexMap<String, Vec<usize>>,
    pools: IndexMap<String, Arc<Pool>>,
    keys: IndexMap<String, usize>,
    organisations: Vec<Arc<Organisation>>,
    limits: Limits,
}

impl Routing {
    /// Indexes the parts of a document.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: Vec<Pool>,
        organisations: Vec<(Organisation, Vec<String>)>,
        limits: Limits,
    ) -> Routing {
        let mut hosts: IndexMap<String, Vec<usize>> = IndexMap::new();
        for (index, route) in routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let mut keys = IndexMap::new();
        let mut named = Vec::new();
        for (index, (organisation, own)) in organisations.into_iter().enumerate() {
            keys.extend(own.into_iter().map(|key| (key, index)));
            named.push(Arc::new(organisation));
        }
        Routing {
            version,
            routes: routes.into_iter().map(Arc::new).collect(),
            hosts,
            pools: pools
                .into_iter()
                .map(|pool| (pool.name.clone(), Arc::new(pool)))
                .collect(),
            keys,
            organisations: named,
            limits,
        }
    }

    /// Version that the operator gave it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix that matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let list = self.hosts.get(name).or_else(|| {
            // Host names compare without regard to case; most callers send lower case.
            self.hosts.get(&name.to_ascii_lowercase())
        })?;
        let index = list
            .iter()
            .find(|i| path.starts_with(&self.routes[**i].prefix))?;
        self.routes.get(*index)
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(*self.keys.get(key)?)
    }

    /// True when requests need a key at all.
    pub fn has_organisations(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// True when there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Limits on callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }
}
