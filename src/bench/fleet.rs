//! A small fleet in one process, over loopback: stand-ins for the platform, the origin and the
//! engines, with real entries and agents.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use serde_json::Value;
use serde_json::json;
use smol::channel;
use smol::channel::Sender;

use crate::agent::Agent;
use crate::agent::queue::Queue;
use crate::config;
use crate::config::AgentSettings;
use crate::config::EntrySettings;
use crate::entry::Entry;
use crate::log;
use crate::net::body;
use crate::net::client::Client;
use crate::net::rt;
use crate::prelude::*;
use crate::route::choose::Policy;
use crate::sched;
use crate::standin::ServerHandle;
use crate::standin::engine;
use crate::standin::engine::Behaviour;
use crate::standin::engine::Engine;
use crate::standin::origin::Origin;
use crate::standin::platform::Platform;
use crate::table::Stamp;

/// Limit on the body of an answer, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of availability zones; VMs are spread over them in turn.
    pub zones: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams of the engine pool `assistant`.
    pub engines: usize,
    /// Number of upstreams of the service pool `booking`.
    pub services: usize,
    /// Length of a version of the weights, in bytes.
    pub weights_len: usize,
    /// Length of a chunk, in bytes.
    pub chunk_len: usize,
    /// Speed, batch size and fencing of engines and services.
    pub behaviour: Behaviour,
    /// Seed of the content of the first version.
    pub seed: u64,
    /// Policy by which entries choose upstreams; with any but [`Policy::Expected`], agents queue
    /// requests in order of arrival.
    pub policy: Policy,
    /// Limit on the requests in progress at one upstream.
    pub max_running: usize,
    /// Limit on the requests that wait for one upstream.
    pub max_queued: usize,
    /// Further routes by name, as a JSON object; one of the same name replaces a default route.
    pub routes: Value,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            zones: 3,
            entries: 2,
            engines: 3,
            services: 2,
            weights_len: 4 << 20,
            chunk_len: 256 << 10,
            behaviour: Behaviour::default(),
            seed: 1,
            policy: Policy::Expected,
            max_running: 16,
            max_queued: 256,
            routes: json!({}),
        }
    }
}

/// A running agent with its engine or service.
#[derive(Debug)]
pub struct AgentVm {
    /// Name in the pools document.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// RPC address.
    pub rpc: SocketAddr,
    /// Admin address.
    pub admin: SocketAddr,
    /// The engine or service.
    pub engine: Engine,
    /// The agent.
    pub agent: Agent,
    _stop: Sender<()>,
    _task: smol::Task<Result<()>>,
    _engine: ServerHandle,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryVm {
    /// Address for callers' requests.
    pub http: SocketAddr,
    /// Admin address.
    pub admin: SocketAddr,
    /// The entry.
    pub entry: Entry,
    stop: Mutex<Option<Sender<()>>>,
    task: Mutex<Option<smol::Task<Result<()>>>>,
}

impl EntryVm {
    /// Returns false once the entry has been told to stop.
    pub fn is_open(&self) -> bool {
        self.stop
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .is_some()
    }
}

/// Revision and version of the tables that were published last.
#[derive(Clone, Debug, Default)]
struct Published {
    revision: u64,
    /// Digest of the newest version, which the next tables name.
    digest: String,
}

/// A running fleet; its processes stop when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in for the platform, which serves the published tables.
    pub platform: Platform,
    /// Stand-in for the origin, which serves the weights.
    pub origin: Origin,
    /// Agents of the pool `assistant`, then those of `booking`.
    pub agents: Vec<AgentVm>,
    /// Entries.
    pub entries: Vec<EntryVm>,
    published: Mutex<Published>,
    plan: Plan,
    clients: Mutex<IndexMap<SocketAddr, Arc<Client>>>,
    _standins: Vec<ServerHandle>,
}

/// Returns a loopback address for which the system chooses a free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Ports of servers whose address must be known before they start.
///
/// They lie below the system's usual range for outgoing connections, since such a connection could
/// otherwise take a port between its choice and the start of its server.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Number of random ports that are tried before [`free_addr`] fails.
const MAX_PORT_TRIES: usize = 1_000;

/// Returns a loopback address with a free port, for a server that is started right after.
///
/// The process never gets the same address twice. Fails with `ListenFailed` after
/// `MAX_PORT_TRIES` ports that are in use.
pub fn free_addr() -> Result<SocketAddr> {
    static HANDED_OUT: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    for _ in 0..MAX_PORT_TRIES {
        let port = fastrand::u16(PORT_RANGE);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        let mut handed_out = HANDED_OUT.lock().unwrap_or_else(|e| e.into_inner());
        if !handed_out.contains(&port) && std::net::TcpListener::bind(addr).is_ok() {
            handed_out.insert(port);
            return Ok(addr);
        }
    }
    Err(Error::new(
        Code::ListenFailed,
        "no free port was found on loopback",
    ))
}

impl Fleet {
    /// Starts all processes and publishes the first version and tables; does not wait until they
    /// are served.
    ///
    /// Fails when a server does not start.
    pub async fn start(plan: Plan) -> Result<Fleet> {
        let platform = Platform::default();
        let origin = Origin::default();
        let platform_server = platform.start(any_port())?;
        let origin_server = origin.start(any_port())?;
        let mut agents = Vec::new();
        for index in 0..plan.engines + plan.services {
            agents.push(start_agent(
                &plan,
                index,
                platform_server.addr,
                origin_server.addr,
            )?);
        }
        let mut entries = Vec::new();
        for index in 0..plan.entries {
            entries.push(start_entry(&plan, index, platform_server.addr)?);
        }
        let fleet = Fleet {
            platform,
            origin,
            agents,
            entries,
            published: Mutex::default(),
            plan,
            clients: Mutex::default(),
            _standins: vec![platform_server, origin_server],
        };
        let seed = fleet.plan.seed;
        fleet.new_version(seed);
        fleet.publish_live();
        fleet.publish(&[]);
        Ok(fleet)
    }

    /// Stores a new version of random weights at the origin.
    ///
    /// The tables that [`Fleet::publish`] writes next name it.
    pub fn new_version(&self, seed: u64) {
        let mut weights = vec![0; self.plan.weights_len];
        fastrand::Rng::with_seed(seed).fill(&mut weights);
        let digest = self.origin.publish(&weights, self.plan.chunk_len);
        self.published().digest = digest;
    }

    /// Publishes the live list, the VMs among which processes pass on tables; without it every
    /// process reads the platform itself.
    fn publish_live(&self) {
        let agents = self.agents.iter().map(|vm| &vm.agent.node.settings);
        let entries = self.entries.iter().map(|vm| &vm.entry.node.settings);
        let mut vms = serde_json::Map::new();
        for node in agents.chain(entries) {
            let vm = json!({ "rpc": node.rpc, "zone": node.zone, "region": node.region });
            vms.insert(node.name.clone(), vm);
        }
        self.platform.put("live", json!({ "vms": vms }).to_string());
    }

    /// Publishes the tables with the next revision; the upstreams named in `drained` drain.
    pub fn publish(&self, drained: &[&str]) {
        let Published { revision, digest } = {
            let mut published = self.published();
            published.revision += 1;
            published.clone()
        };
        let mut routes = json!({
            "revision": revision,
            "routes": {
                "assistant": { "path": "/v1/completions", "pool": "assistant",
                    "repeat": "safe", "deadline_ms": 60_000 },
                "booking": { "path": "/book", "pool": "booking",
                    "class": "short", "repeat": "never", "deadline_ms": 10_000 },
                "stock": { "path": "/stock", "pool": "booking",
                    "class": "short", "repeat": "safe", "deadline_ms": 10_000 },
            },
        });
        for (name, route) in self.plan.routes.as_object().into_iter().flatten() {
            routes["routes"][name] = route.clone();
        }
        let (engines, services) = self.agents.split_at(self.plan.engines);
        let pools = json!({
            "revision": revision,
            "pools": {
                "assistant": { "model": "assistant", "digest": digest,
                    "upstreams": upstreams_doc(engines, drained) },
                "booking": { "kind": "service", "upstreams": upstreams_doc(services, drained) },
            },
        });
        // JSON is valid YAML, and its serializer quotes every name.
        self.platform.put("routes", routes.to_string());
        self.platform.put("pools", pools.to_string());
    }

    /// Waits until every agent and open entry has the last published revision in force, and every
    /// agent has loaded the version that the tables assign to it.
    ///
    /// Fails with `BenchFailed` after `limit`.
    pub async fn until_serving(&self, limit: Duration) -> Result<()> {
        let begin = Instant::now();
        while !self.is_serving() {
            if begin.elapsed() > limit {
                return Err(Error::new(
                    Code::BenchFailed,
                    "fleet does not serve the published tables and version in time",
                ));
            }
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Returns true when [`Fleet::until_serving`] need not wait any longer.
    fn is_serving(&self) -> bool {
        let has_loaded =
            |vm: &AgentVm| vm.agent.assignment().map(|d| d.digest) == vm.agent.loaded.digest();
        self.is_in_force() && self.agents.iter().all(has_loaded)
    }

    /// Returns true when every agent and open entry has the last published revision in force.
    pub fn is_in_force(&self) -> bool {
        let revision = self.published().revision;
        self.stamps().iter().all(|stamp| stamp.revision == revision)
    }

    /// Returns the stamp of the tables in force at each agent and each open entry.
    pub fn stamps(&self) -> Vec<Stamp> {
        let agents = self.agents.iter().map(|vm| vm.agent.node.in_force.stamp());
        let entries = self.entries.iter().filter(|vm| vm.is_open());
        let entries = entries.map(|vm| vm.entry.node.in_force.stamp());
        agents.chain(entries).collect()
    }

    /// Returns the address of an open entry, the one numbered `turn` modulo their count.
    ///
    /// Panics when no entry is open.
    pub fn open_entry(&self, turn: u64) -> SocketAddr {
        let open: Vec<SocketAddr> = self
            .entries
            .iter()
            .filter(|vm| vm.is_open())
            .map(|vm| vm.http)
            .collect();
        open[turn as usize % open.len()]
    }

    /// Returns the upstreams of the pool `booking`.
    pub fn services(&self) -> &[AgentVm] {
        &self.agents[self.plan.engines..]
    }

    /// Returns the length of the weights of a version, in bytes.
    pub fn weights_len(&self) -> usize {
        self.plan.weights_len
    }

    /// Tells an entry to drain and waits until it has stopped; returns at once if it has already.
    pub async fn stop_entry(&self, index: usize) {
        let vm = &self.entries[index];
        let stop = vm.stop.lock().unwrap_or_else(|e| e.into_inner()).take();
        drop(stop);
        let task = vm.task.lock().unwrap_or_else(|e| e.into_inner()).take();
        if let Some(task) = task {
            let _ = task.await;
        }
    }

    /// Asks an entry for a ticket with which a POST request to `path` runs at most once.
    ///
    /// Returns none when the entry refuses or can't be reached.
    pub async fn ticket(&self, entry: SocketAddr, path: &str) -> Option<String> {
        let body = json!({ "method": "POST", "path": path });
        let sent = self.send(entry, "/chervilquay/tickets", None, body.to_string());
        let (status, bytes) = sent.await.ok()?;
        if status != 200 {
            return None;
        }
        let value: Value = serde_json::from_slice(&bytes).ok()?;
        value["ticket"].as_str().map(str::to_string)
    }

    /// Locks what was published last.
    fn published(&self) -> std::sync::MutexGuard<'_, Published> {
        self.published.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sends a streamed completion and checks that its answer is the text that the stand-in engine
    /// generates for `prompt`.
    ///
    /// Fails with `BenchFailed` for a status other than 200, and with `PromiseBroken` for a
    /// wrong or partial text.
    pub async fn complete(&self, entry: SocketAddr, prompt: &str, tokens: u64) -> Result<()> {
        let body = json!({ "prompt": prompt, "max_tokens": tokens, "stream": true });
        let (status, bytes) = self
            .send(entry, "/v1/completions", None, body.to_string())
            .await?;
        if status != 200 {
            let detail = format!("status {status}: {}", String::from_utf8_lossy(&bytes));
            return Err(Error::new(Code::BenchFailed, detail));
        }
        let want: String = (0..tokens).map(|i| engine::token(prompt, i)).collect();
        let got = stream_text(&bytes)?;
        if got != want {
            let detail = format!("answer to {prompt:?} has the wrong text {got:?}");
            return Err(Error::new(Code::PromiseBroken, detail));
        }
        Ok(())
    }

    /// Sends a POST request, with `key` as its idempotency key, and returns status and body.
    ///
    /// When the body breaks off, the error says that it is unknown whether the request ran.
    pub async fn send(
        &self,
        entry: SocketAddr,
        path: &str,
        key: Option<&str>,
        body_text: String,
    ) -> Result<(u16, Bytes)> {
        let client = self.client(entry);
        let mut builder = Request::post(path)
            .header("host", entry.to_string())
            .header("content-type", "application/json")
            .header("x-organisation", "club-1");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder
            .body(body::full(body_text))
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let (response, connection) = Client::split(client.send(request).await?);
        let status = response.status().as_u16();
        let bytes = body::read(response.into_body(), MAX_ANSWER)
            .await
            .map_err(|e| e.with_run(Run::Unknown))?;
        client.give_back(connection);
        Ok((status, bytes))
    }

    /// Returns the client for an address, which keeps its connections open between requests.
    fn client(&self, addr: SocketAddr) -> Arc<Client> {
        let mut clients = self.clients.lock().unwrap_or_else(|e| e.into_inner());
        let client = clients
            .entry(addr)
            .or_insert_with(|| Arc::new(Client::new(addr)));
        client.clone()
    }
}

/// Returns the text of a streamed completion.
///
/// Fails with `PromiseBroken` for an event that is not JSON, or without the last event `[DONE]`.
pub fn stream_text(bytes: &[u8]) -> Result<String> {
    let text = String::from_utf8_lossy(bytes);
    let mut out = String::new();
    let mut is_done = false;
    for line in text.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if line == "[DONE]" {
            is_done = true;
            continue;
        }
        let event: Value = serde_json::from_str(line)
            .map_err(|e| Error::new(Code::PromiseBroken, e.to_string()))?;
        out.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    if !is_done {
        return Err(Error::new(
            Code::PromiseBroken,
            "stream ends without the event [DONE]",
        ));
    }
    Ok(out)
}

/// Returns the upstreams of a pool by name, as the pools document has them.
fn upstreams_doc(agents: &[AgentVm], drained: &[&str]) -> Value {
    let mut map = serde_json::Map::new();
    for vm in agents {
        let drain = drained.contains(&vm.name.as_str());
        let entry = json!({ "rpc": vm.rpc, "zone": vm.zone, "region": "r1", "drain": drain });
        map.insert(vm.name.clone(), entry);
    }
    Value::Object(map)
}

/// Returns the settings that entries and agents have in common, with free addresses.
fn node_settings(name: &str, zone: &str, platform: SocketAddr) -> Result<config::Node> {
    Ok(config::Node {
        name: name.to_string(),
        zone: zone.to_string(),
        region: "r1".to_string(),
        rpc: free_addr()?,
        admin: free_addr()?,
        platform: vec![platform],
        peers: Vec::new(),
        log: log::Format::Text,
        secret: String::new(),
        memory_mb: config::default_memory(),
        max_fds: config::default_fds(),
    })
}

/// Starts the agent with this index and its engine or service.
fn start_agent(
    plan: &Plan,
    index: usize,
    platform: SocketAddr,
    origin: SocketAddr,
) -> Result<AgentVm> {
    let engine = Engine::new(plan.behaviour);
    let running = engine.start(any_port())?;
    let name = format!("vm-{}", index + 1);
    let zone = format!("z{}", index % plan.zones + 1);
    let settings = AgentSettings {
        node: node_settings(&name, &zone, platform)?,
        upstream: running.addr,
        origin,
        staging_mb: 256,
        max_running: plan.max_running,
        max_queued: plan.max_queued,
        max_keys: 32_768,
        answers_mb: 8,
    };
    let (rpc, admin) = (settings.node.rpc, settings.node.admin);
    let mut agent = Agent::new(settings, log::discard());
    if plan.policy != Policy::Expected {
        let fifo = sched::Settings::fifo(plan.max_running, plan.max_queued);
        agent.queue = Queue::with_settings(fifo);
    }
    let (stop, stopped) = channel::bounded(1);
    let task = rt::spawn(agent.clone().run(stopped));
    Ok(AgentVm {
        name,
        zone,
        rpc,
        admin,
        engine,
        agent,
        _stop: stop,
        _task: task,
        _engine: running,
    })
}

/// Starts the entry with this index.
fn start_entry(plan: &Plan, index: usize, platform: SocketAddr) -> Result<EntryVm> {
    let zone = format!("z{}", index % plan.zones + 1);
    let settings = EntrySettings {
        node: node_settings(&format!("entry-{}", index + 1), &zone, platform)?,
        http: free_addr()?,
        max_body: 4 << 20,
        head_ms: 10_000,
        entries: plan.entries,
    };
    let (http, admin) = (settings.http, settings.node.admin);
    let entry = Entry::with_policy(settings, log::discard(), plan.policy);
    let (stop, stopped) = channel::bounded(1);
    let task = rt::spawn(entry.clone().run(stopped));
    Ok(EntryVm {
        http,
        admin,
        entry,
        stop: Mutex::new(Some(stop)),
        task: Mutex::new(Some(task)),
    })
}
