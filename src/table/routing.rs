//! Routes, pools and organisations on prepared machines (`--prepared`), where the
//! operator writes them as one document with one version.
//!
//! Routes refer to pools by name. A route whose pool does not exist still
//! matches, and its requests have no upstream.

use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::regions::Regions;
use crate::util;

common! { key
/// What may be sent again of a route's requests.
pub enum Repeat {
    /// The whole request: running it twice does no harm.
    Always,
    /// Nothing: a request runs at most once.
    Never,
    /// The rest of a stream, after the last event that the caller has received.
    Resume,
}
}

impl Repeat {
    /// Returns true when a request of which it is unknown whether it ran may be
    /// sent again.
    pub fn allows_resend(self) -> bool {
        self != Repeat::Never
    }
}

common! { value
/// Which requests go to which pools, and under which limits.
pub struct Route {
    /// Name, unique in the document.
    pub name: String,
    /// Host name that it matches, without port.
    pub host: String,
    /// Prefix of the paths that it matches.
    pub prefix: String,
    /// What may be sent again of a request.
    pub repeat: Repeat,
    /// True when its answers are streams of events.
    pub stream: bool,
    /// Longest time that a request may take; a caller may ask for less.
    pub timeout: Millis,
    /// Latency objective: time to the first event of a stream, or to the whole
    /// answer.
    pub objective: Millis,
    /// Longest gap between two events with which a stream is in time; `None` for
    /// no such objective.
    pub gap_target: Option<Millis>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// True when callers need no API key.
    pub public: bool,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Names of pools with their weights: relative shares of the requests.
    pub pools: Vec<(String, u32)>,
    /// Regions that may serve its requests.
    pub regions: Regions,
}
}

impl Route {
    /// Returns the regions that may serve its requests on behalf of an organisation: those
    /// that both allow.
    pub fn regions_for(&self, organisation: Option<&Organisation>) -> Regions {
        organisation.map_or_else(
            || self.regions.clone(),
            |organisation| self.regions.intersect(&organisation.regions),
        )
    }

    /// Returns the name of the pool for the request with the id `request`.
    ///
    /// Every process chooses the same pool for the same id.
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
/// Server from which weights are fetched when no peer has them.
pub struct Origin {
    /// Address at which it takes requests.
    pub addr: std::net::SocketAddr,
    /// Its availability zone; empty when unknown.
    pub zone: String,
}
}

common! { value
/// Upstreams that serve the same requests.
pub struct Pool {
    /// Name by which routes refer to it.
    pub name: String,
    /// Path of the health check; empty for no health check.
    pub health_path: String,
    /// Maximum number of connections that one upstream accepts, from all its
    /// callers together.
    pub max_connections: u32,
    /// Speed and capacity of the model engine; `None` for a plain service.
    pub engine: Option<Arc<Engine>>,
    /// Set when the pool is an origin of weights, not a pool for requests.
    pub origin: Option<Origin>,
    /// Time after its start for which an upstream is cold; 0 when none is.
    pub cold_span: Millis,
    /// Requests a second that a cold upstream takes from all entries together; `None`
    /// when it is not limited.
    pub cold_rate: Option<f64>,
}
}

common! { value
/// Organisation on whose behalf requests are made.
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions that may serve its requests.
    pub regions: Regions,
}
}

common! { value
/// Limits on what callers may send and on how long they may be idle.
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_head: usize,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Time within which a whole request head must arrive.
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

/// The document in force, indexed by host, pool name and API key.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    version: u64,
    routes: Vec<Arc<Route>>,
    /// Indices into `routes` by host, longest prefix first.
    hosts: IndexMap<String, Vec<usize>>,
    pools: IndexMap<String, Arc<Pool>>,
    /// Indices into `organisations` by API key.
    keys: IndexMap<String, usize>,
    organisations: Vec<Arc<Organisation>>,
    limits: Limits,
    /// Memory of each upstream by pool, in tokens.
    memory: IndexMap<String, f64>,
}

impl Routing {
    /// Indexes the parts of a document. Each organisation comes with its API keys.
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
        let mut shared = Vec::new();
        for (index, (organisation, api_keys)) in organisations.into_iter().enumerate() {
            keys.extend(api_keys.into_iter().map(|key| (key, index)));
            shared.push(Arc::new(organisation));
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
            organisations: shared,
            limits,
            memory: IndexMap::new(),
        }
    }

    /// Returns the version that the operator gave the document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route with the longest matching prefix for a host, with or
    /// without port, and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let list = self.hosts.get(name).or_else(|| {
            // Host names are case-insensitive; most callers send lower case.
            self.hosts.get(&name.to_ascii_lowercase())
        })?;
        let index = list
            .iter()
            .find(|i| path.starts_with(&self.routes[**i].prefix))?;
        self.routes.get(*index)
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// Iterates over all pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// Sets the memory of each upstream of a pool, in tokens.
    pub fn set_memory(&mut self, pool: &str, tokens: f64) {
        self.memory.insert(pool.to_string(), tokens);
    }

    /// Returns the memory of each upstream of a pool, in tokens; none when it is not known.
    pub fn memory(&self, pool: &str) -> Option<f64> {
        self.memory.get(pool).copied()
    }

    /// Returns the organisation that an API key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(*self.keys.get(key)?)
    }

    /// Returns true when the document names organisations, so that requests need
    /// an API key.
    pub fn has_organisations(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the regions that may serve requests of the route and the organisation with
    /// these names. A route or organisation that is not named here restricts nothing.
    pub fn regions_of(&self, route: &str, organisation: Option<&str>) -> Regions {
        let route = self.routes.iter().find(|r| r.name == route);
        let organisation = organisation.and_then(|name| self.organisation_named(name));
        let organisation = organisation.map(|o| &o.regions);
        route
            .map(|r| &r.regions)
            .into_iter()
            .chain(organisation)
            .fold(Regions::Any, |both, regions| both.intersect(regions))
    }

    /// Returns the organisation with this name.
    pub fn organisation_named(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.iter().find(|o| o.name == name)
    }

    /// Iterates over the pairs of a route and an organisation that have no region in common:
    /// all requests of such a pair are refused.
    pub fn without_region(&self) -> impl Iterator<Item = (&Route, &Organisation)> {
        let routes = self.routes.iter().filter(|r| r.regions.is_restricted());
        let pairs = routes.flat_map(|route| {
            let organisations = self.organisations.iter();
            organisations.map(move |organisation| (&**route, &**organisation))
        });
        pairs.filter(|(route, organisation)| route.regions.is_disjoint(&organisation.regions))
    }

    /// Returns true when a route or an organisation is restricted to regions.
    pub fn is_restricted(&self) -> bool {
        let mut routes = self.routes.iter();
        let mut organisations = self.organisations.iter();
        routes.any(|route| route.regions.is_restricted())
            || organisations.any(|organisation| organisation.regions.is_restricted())
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns true when there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }
}
