//! A small fleet in one process: platform, origin, engines, entries, agents.

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

/// Largest answer, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Size and shape of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Availability zones; VMs are spread over them in turn.
    pub zones: usize,
    /// Entry VMs.
    pub entries: usize,
    /// Upstreams of the engine pool `assistant`.
    pub engines: usize,
    /// Upstreams of the service pool `booking`.
    pub services: usize,
    /// Length of a version of the weights, in bytes.
    pub weights_len: usize,
    /// Length of a chunk, in bytes.
    pub chunk_len: usize,
    /// How engines and services behave.
    pub behaviour: Behaviour,
    /// Seed of the weights.
    pub seed: u64,
    /// How entries choose; under a baseline, agents queue in order of arrival.
    pub policy: Policy,
    /// Requests in progress at one upstream.
    pub max_running: usize,
    /// Requests waiting for one upstream.
    pub max_queued: usize,
    /// Routes beside those of the fleet, by name.
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

/// An agent of the fleet with the engine behind it.
#[derive(Debug)]
pub struct AgentVm {
    /// Name in the pools table.
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

/// An entry of the fleet.
#[derive(Debug)]
pub struct EntryVm {
    /// Address for callers.
    pub http: SocketAddr,
    /// Admin address.
    pub admin: SocketAddr,
    /// The entry.
    pub entry: Entry,
    stop: Mutex<Option<Sender<()>>>,
    task: Mutex<Option<smol::Task<Result<()>>>>,
}

impl EntryVm {
    /// False once the entry drains.
    pub fn is_open(&self) -> bool {
        self.stop
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .is_some()
    }
}

/// What the operators have published last.
#[derive(Clone, Debug, Default)]
struct Published {
    revision: u64,
    digest: String,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Configuration service.
    pub platform: Platform,
    /// Origin of weights.
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

/// Any free port on loopback.
fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Ports of servers whose address must be known before they start.
///
/// They lie below the system's usual range for outgoing connections, which
/// could otherwise take a port between its choice and the start of its server.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Ports tried before giving up.
const MAX_TRIES: usize = 1_000;

/// A free address on loopback for a server that is started right after,
/// handed out once in this process.
pub fn free_addr() -> Result<SocketAddr> {
    static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    for _ in 0..MAX_TRIES {
        let port = fastrand::u16(PORTS);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        let mut taken = TAKEN.lock().unwrap_or_else(|e| e.into_inner());
        if !taken.contains(&port) && std::net::TcpListener::bind(addr).is_ok() {
            taken.insert(port);
            return Ok(addr);
        }
    }
    Err(Error::new(Code::ListenFailed, "no free port"))
}

impl Fleet {
    /// Starts every part and publishes the first version.
    pub async fn start(plan: Plan) -> Result<Fleet> {
        let platform = Platform::default();
        let origin = Origin::default();
        let platform_run = platform.start(any())?;
        let origin_run = origin.start(any())?;
        let mut agents = Vec::new();
        for index in 0..plan.engines + plan.services {
            agents.push(start_agent(
                &plan,
                index,
                platform_run.addr,
                origin_run.addr,
            )?);
        }
        let mut entries = Vec::new();
        for index in 0..plan.entries {
            entries.push(start_entry(&plan, index, platform_run.addr)?);
        }
        let fleet = Fleet {
            platform,
            origin,
            agents,
            entries,
            published: Mutex::default(),
            plan,
            clients: Mutex::default(),
            _standins: vec![platform_run, origin_run],
        };
        let seed = fleet.plan.seed;
        fleet.new_version(seed);
        fleet.publish_live();
        fleet.publish(&[]);
        Ok(fleet)
    }

    /// Stores a new version at the origin; [`Fleet::publish`] puts it in force.
    pub fn new_version(&self, seed: u64) {
        let mut weights = vec![0; self.plan.weights_len];
        fastrand::Rng::with_seed(seed).fill(&mut weights);
        let digest = self.origin.publish(&weights, self.plan.chunk_len);
        self.published().digest = digest;
    }

    /// Publishes the live list, without which every process reads the platform itself.
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

    /// Publishes the tables under the next revision, with `drained` upstreams emptied.
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
                    "upstreams": upstreams(engines, drained) },
                "booking": { "kind": "service", "upstreams": upstreams(services, drained) },
            },
        });
        // JSON is YAML, and its printer quotes every name.
        self.platform.put("routes", routes.to_string());
        self.platform.put("pools", pools.to_string());
    }

    /// Waits until every entry and agent holds the last revision and serves it.
    pub async fn until_serving(&self, limit: Duration) -> Result<()> {
        let begin = Instant::now();
        while !self.is_serving() {
            if begin.elapsed() > limit {
                return Err(Error::new(Code::BenchFailed, "fleet does not serve"));
            }
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    fn is_serving(&self) -> bool {
        let loads =
            |vm: &AgentVm| vm.agent.assignment().map(|d| d.digest) == vm.agent.loaded.digest();
        self.is_in_force() && self.agents.iter().all(loads)
    }

    /// True when every process holds the last revision.
    pub fn is_in_force(&self) -> bool {
        let revision = self.published().revision;
        self.stamps().iter().all(|stamp| stamp.revision == revision)
    }

    /// The stamp in force at each agent and each open entry.
    pub fn stamps(&self) -> Vec<Stamp> {
        let agents = self.agents.iter().map(|vm| vm.agent.node.in_force.stamp());
        let entries = self.entries.iter().filter(|vm| vm.is_open());
        let entries = entries.map(|vm| vm.entry.node.in_force.stamp());
        agents.chain(entries).collect()
    }

    /// Address of an open entry; `turn` spreads callers over them.
    pub fn open_entry(&self, turn: u64) -> SocketAddr {
        let open: Vec<SocketAddr> = self
            .entries
            .iter()
            .filter(|vm| vm.is_open())
            .map(|vm| vm.http)
            .collect();
        open[turn as usize % open.len()]
    }

    /// The upstreams of the pool `booking`.
    pub fn services(&self) -> &[AgentVm] {
        &self.agents[self.plan.engines..]
    }

    /// Length of a version, in bytes.
    pub fn weights_len(&self) -> usize {
        self.plan.weights_len
    }

    /// Drains an entry and waits for its end.
    pub async fn stop_entry(&self, index: usize) {
        let vm = &self.entries[index];
        let stop = vm.stop.lock().unwrap_or_else(|e| e.into_inner()).take();
        drop(stop);
        let task = vm.task.lock().unwrap_or_else(|e| e.into_inner()).take();
        if let Some(task) = task {
            let _ = task.await;
        }
    }

    /// A ticket for a call that may not be repeated; none when refused.
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

    fn published(&self) -> std::sync::MutexGuard<'_, Published> {
        self.published.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sends a streamed completion and checks its answer against the request.
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
            let detail = format!("answer to {prompt:?} is {got:?}");
            return Err(Error::new(Code::PromiseBroken, detail));
        }
        Ok(())
    }

    /// Sends a POST request and reads its answer whole.
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
        let (response, kept) = Client::split(client.send(request).await?);
        let status = response.status().as_u16();
        let bytes = body::read(response.into_body(), MAX_ANSWER)
            .await
            .map_err(|e| e.with_run(Run::Unknown))?;
        client.give_back(kept);
        Ok((status, bytes))
    }

    fn client(&self, addr: SocketAddr) -> Arc<Client> {
        let mut clients = self.clients.lock().unwrap_or_else(|e| e.into_inner());
        let client = clients
            .entry(addr)
            .or_insert_with(|| Arc::new(Client::new(addr)));
        client.clone()
    }
}

/// Text of a streamed completion; an error when its end mark is missing.
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
        return Err(Error::new(Code::PromiseBroken, "stream has no end mark"));
    }
    Ok(out)
}

fn upstreams(agents: &[AgentVm], drained: &[&str]) -> Value {
    let mut map = serde_json::Map::new();
    for vm in agents {
        let drain = drained.contains(&vm.name.as_str());
        let entry = json!({ "rpc": vm.rpc, "zone": vm.zone, "region": "r1", "drain": drain });
        map.insert(vm.name.clone(), entry);
    }
    Value::Object(map)
}

fn node(name: &str, zone: &str, platform: SocketAddr) -> Result<config::Node> {
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
    })
}

fn start_agent(
    plan: &Plan,
    index: usize,
    platform: SocketAddr,
    origin: SocketAddr,
) -> Result<AgentVm> {
    let engine = Engine::new(plan.behaviour);
    let running = engine.start(any())?;
    let name = format!("vm-{}", index + 1);
    let zone = format!("z{}", index % plan.zones + 1);
    let settings = AgentSettings {
        node: node(&name, &zone, platform)?,
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
        let plain = sched::Settings::fifo(plan.max_running, plan.max_queued);
        agent.queue = Queue::with_settings(plain);
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

fn start_entry(plan: &Plan, index: usize, platform: SocketAddr) -> Result<EntryVm> {
    let zone = format!("z{}", index % plan.zones + 1);
    let settings = EntrySettings {
        node: node(&format!("entry-{}", index + 1), &zone, platform)?,
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
