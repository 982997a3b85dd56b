//! Carries events into the core of the tables and its actions out.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use slog::Logger;

use crate::config;
use crate::log;
use crate::log::Component;
use crate::member::Live;
use crate::net::client;
use crate::net::rpc;
use crate::net::rpc::Channels;
use crate::net::rt;
use crate::node::Node;
use crate::node::config_service::ConfigService;
use crate::node::in_force::Offer;
use crate::node::in_force::TablesInForce;
use crate::node::traffic;
use crate::node::traffic::Traffic;
use crate::prelude::*;
use crate::proto::FetchReply;
use crate::proto::FetchRequest;
use crate::proto::Notice;
use crate::table::Stamp;
use crate::table::sync::Action;
use crate::table::sync::ConfigKey;
use crate::table::sync::Core;
use crate::table::sync::EXCHANGE_TIMEOUT;
use crate::table::sync::Event;
use crate::table::sync::FETCH_TIMEOUT;
use crate::table::sync::FetchKind;
use crate::table::sync::Parsers;
use crate::table::sync::Settings;
use crate::table::sync::SyncMode;
use crate::table::sync::TICK;

/// Ticks between two passes over unused connections.
const SWEEP: u64 = 240;

/// Interval at which a refresh looks for its end.
const REFRESH_POLL: Duration = Duration::from_millis(5);

/// Adds to the notice that goes to a peer.
type Fill = Box<dyn Fn(&mut Notice) + Send + Sync>;

/// Takes what a peer's notice holds beside stamps.
type Take = Box<dyn Fn(&Notice) + Send + Sync>;

/// What others exchange with peers by the same calls.
#[derive(Default)]
struct Hooks {
    fill: Vec<Fill>,
    take: Vec<Take>,
}

/// The core of the tables with its connections; clones share it.
#[derive(Clone)]
pub struct TableSync {
    inner: Arc<Inner>,
}

struct Inner {
    core: Mutex<Core>,
    hooks: Mutex<Hooks>,
    clock: Clock,
    log: Logger,
    in_force: TablesInForce,
    /// Connections to peers, apart from those that carry requests.
    channels: Channels,
    platform: ConfigService,
    traffic: Traffic,
}

impl std::fmt::Debug for TableSync {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TableSync").finish_non_exhaustive()
    }
}

impl TableSync {
    /// The tables of a process that starts empty; they come into force in `view`.
    pub fn new(
        settings: &config::Node,
        sync_mode: SyncMode,
        clock: Clock,
        log: Logger,
        in_force: TablesInForce,
    ) -> TableSync {
        let core = Settings {
            addr: settings.rpc,
            zone: settings.zone.clone(),
            seeds: settings.peers.clone(),
            sync_mode,
            parsers: Parsers::default(),
        };
        TableSync {
            inner: Arc::new(Inner {
                core: Mutex::new(Core::new(core, fastrand::Rng::new())),
                hooks: Mutex::default(),
                clock,
                log: log::component(&log, Component::Table),
                in_force,
                channels: Channels::default(),
                platform: ConfigService::new(&settings.platform),
                traffic: Traffic::default(),
            }),
        }
    }

    /// Lets another part of the process add to notices and take from them.
    pub fn on_exchange(
        &self,
        fill: impl Fn(&mut Notice) + Send + Sync + 'static,
        take: impl Fn(&Notice) + Send + Sync + 'static,
    ) {
        let mut hooks = self.hooks();
        hooks.fill.push(Box::new(fill));
        hooks.take.push(Box::new(take));
    }

    /// The live list in use.
    pub fn live(&self) -> Arc<Live> {
        self.core().live().clone()
    }

    /// True when views may be old after a pause of the process.
    pub fn is_stale(&self) -> bool {
        self.core().is_stale(self.inner.clock.now())
    }

    /// Bytes spent on tables.
    pub fn traffic(&self) -> &Traffic {
        &self.inner.traffic
    }

    /// State for the operator.
    pub fn dump(&self) -> Value {
        let dump = self.core().dump(self.inner.clock.now());
        serde_json::to_value(dump).unwrap_or_default()
    }

    /// What this process tells its peers.
    pub fn notice(&self) -> Notice {
        let mut notice = self.core().notice();
        for fill in &self.hooks().fill {
            fill(&mut notice);
        }
        notice
    }

    /// Answers a peer's exchange.
    pub fn exchange(&self, notice: Notice) -> Notice {
        let reply = self.notice();
        let bytes = traffic::exchange_bytes(&notice, &reply);
        self.inner.traffic.add(bytes);
        self.take(&notice);
        self.event(Event::Notice(notice));
        reply
    }

    /// Answers a peer's fetch; none for an unknown kind.
    pub fn fetch(&self, request: &FetchRequest) -> Option<Arc<FetchReply>> {
        let kind = FetchKind::from_name(&request.kind)?;
        let base = Stamp {
            revision: request.base_revision,
            digest: request.base_digest.clone(),
        };
        let reply = self.core().reply(kind, &base);
        let bytes = traffic::fetch_bytes(request, &reply);
        self.inner.traffic.add(bytes);
        Some(reply)
    }

    /// Asks the process at `addr`, whose answer showed a greater revision.
    pub fn ask(&self, addr: SocketAddr) {
        let mut out = Vec::new();
        self.core().ask(self.inner.clock.now(), addr, &mut out);
        self.act(out);
    }

    /// Asks peers, or the platform when there are none, and waits up to `limit`
    /// until what they hold is in force.
    pub async fn refresh(&self, limit: Duration) {
        let mut out = Vec::new();
        let asked = self.core().refresh_now(self.inner.clock.now(), &mut out);
        self.act(out);
        let done = async {
            if asked {
                while self.is_stale() {
                    smol::Timer::after(REFRESH_POLL).await;
                }
            } else {
                self.read_tables().await;
            }
            Ok(())
        };
        // Without an answer in time the tables at hand stay in force.
        let _ = client::timeout(limit, Code::RpcFailed, done).await;
    }

    async fn read_tables(&self) {
        for key in [ConfigKey::Routes, ConfigKey::Pools] {
            let read = self.inner.platform.read(key.name(), 0, Millis(0)).await;
            let reading = read.ok();
            self.event(Event::Read {
                call: 0,
                key,
                reading,
            });
        }
    }

    fn take(&self, notice: &Notice) {
        for take in &self.hooks().take {
            take(notice);
        }
    }

    fn event(&self, event: Event) {
        let mut out = Vec::new();
        self.core()
            .on_event(self.inner.clock.now(), event, &mut out);
        self.act(out);
    }

    fn tick(&self) {
        let mut out = Vec::new();
        self.core().tick(self.inner.clock.now(), &mut out);
        self.act(out);
    }

    /// Starts what the core wants done.
    fn act(&self, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Read {
                    call,
                    key,
                    index,
                    wait,
                } => rt::spawn(self.clone().read(call, key, index, wait)).detach(),
                Action::Exchange { call, to } => rt::spawn(self.clone().call(call, to)).detach(),
                Action::Fetch {
                    call,
                    to,
                    kind,
                    base,
                } => rt::spawn(self.clone().pull(call, to, kind, base)).detach(),
                Action::Live(live) => {
                    slog::debug!(self.inner.log, "live list"; "vms" => live.vms.len());
                }
                Action::InForce(_) => {}
                Action::Report { code, detail } => self.report(code, detail),
            }
        }
        self.publish();
    }

    /// Puts the core's set in force once the process may serve.
    fn publish(&self) {
        let core = self.core();
        let Some(set) = core.set().filter(|_| core.is_ready()).cloned() else {
            return;
        };
        drop(core);
        let revision = set.stamp.revision;
        if self.inner.in_force.offer(set) == Offer::Taken {
            slog::info!(self.inner.log, "revision in force"; "revision" => revision);
        }
    }

    fn report(&self, code: Code, detail: String) {
        slog::warn!(self.inner.log, "{detail}"; "code" => %code);
        let other = [
            Code::RevisionLower,
            Code::RevisionConflict,
            Code::ProtocolInvalid,
        ];
        if !other.contains(&code) {
            self.inner.in_force.refuse(Error::new(code, detail));
        }
    }

    async fn read(self, call: u64, key: ConfigKey, index: u64, wait: Millis) {
        let reading = self.inner.platform.read(key.name(), index, wait).await;
        if let Err(error) = &reading {
            let key = key.name();
            slog::debug!(self.inner.log, "read failed"; "key" => key, "error" => %error);
        }
        let reading = reading.ok();
        if let Some(reading) = &reading {
            let bytes = traffic::read_bytes(&reading.text);
            self.inner.traffic.add(bytes);
        }
        self.event(Event::Read { call, key, reading });
    }

    async fn call(self, call: u64, to: SocketAddr) {
        let sent = self.notice();
        let mut peer = self.inner.channels.peer(to);
        let limit = EXCHANGE_TIMEOUT.duration();
        let answer = async {
            let reply = peer.exchange(sent.clone()).await;
            reply.map_err(|status| rpc::from_status(&status))
        };
        let reply = client::timeout(limit, Code::RpcFailed, answer).await;
        let notice = reply.ok().map(tonic::Response::into_inner);
        if let Some(reply) = &notice {
            let bytes = traffic::exchange_bytes(&sent, reply);
            self.inner.traffic.add(bytes);
            self.take(reply);
        }
        self.event(Event::Reply {
            call,
            from: to,
            notice,
        });
    }

    async fn pull(self, call: u64, to: SocketAddr, kind: FetchKind, base: Stamp) {
        let request = FetchRequest {
            kind: kind.name().to_string(),
            base_revision: base.revision,
            base_digest: base.digest.clone(),
        };
        let mut peer = self.inner.channels.peer(to);
        let answer = async {
            let reply = peer.fetch(request.clone()).await;
            reply.map_err(|status| rpc::from_status(&status))
        };
        let reply = client::timeout(FETCH_TIMEOUT.duration(), Code::RpcFailed, answer).await;
        let reply = reply.ok().map(|reply| Arc::new(reply.into_inner()));
        if let Some(reply) = &reply {
            let bytes = traffic::fetch_bytes(&request, reply);
            self.inner.traffic.add(bytes);
        }
        self.event(Event::Fetched {
            call,
            from: to,
            kind,
            base,
            reply,
        });
    }

    /// Closes connections to processes that are no peers any more.
    fn sweep(&self) {
        let peers: Vec<SocketAddr> = self.core().peers().collect();
        self.inner.channels.retain(|addr| peers.contains(&addr));
    }

    fn core(&self) -> std::sync::MutexGuard<'_, Core> {
        self.inner.core.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn hooks(&self) -> std::sync::MutexGuard<'_, Hooks> {
        self.inner.hooks.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Ticks the core for as long as the task is kept.
pub async fn run(node: Node) {
    let mut ticks: u64 = 0;
    loop {
        node.table_sync.tick();
        ticks += 1;
        if ticks.is_multiple_of(SWEEP) {
            node.table_sync.sweep();
        }
        smol::Timer::after(TICK.duration()).await;
    }
}
