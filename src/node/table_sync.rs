//! Keeps the tables in force up to date: feeds events into the decision core of
//! [`crate::table::sync`] and carries out its actions over the network.

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

/// Ticks between two rounds in which unused connections are closed.
const CLOSE_UNUSED_TICKS: u64 = 240;

/// Interval at which a refresh checks whether it has ended.
const REFRESH_POLL: Duration = Duration::from_millis(5);

/// Adds data of another module to a notice before it is sent.
type NoticeWriter = Box<dyn Fn(&mut Notice) + Send + Sync>;

/// Hands another module its data from a peer's notice.
type NoticeHandler = Box<dyn Fn(&Notice) + Send + Sync>;

/// Callbacks of modules that exchange their own data with peers in the same notices.
#[derive(Default)]
struct Hooks {
    writers: Vec<NoticeWriter>,
    handlers: Vec<NoticeHandler>,
}

/// Decision core of the tables with its connections; clones share it.
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
    /// Connections to peers, separate from those that carry requests.
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
    /// Creates the sync of a process that starts without tables; new tables are put in force
    /// in `in_force`.
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

    /// Registers callbacks of another module: `write` adds its data to each notice that is
    /// sent, `handle` reads each notice that is received.
    pub fn on_exchange(
        &self,
        write: impl Fn(&mut Notice) + Send + Sync + 'static,
        handle: impl Fn(&Notice) + Send + Sync + 'static,
    ) {
        let mut hooks = self.hooks();
        hooks.writers.push(Box::new(write));
        hooks.handlers.push(Box::new(handle));
    }

    /// Returns the live list in use.
    pub fn live(&self) -> Arc<Live> {
        self.core().live().clone()
    }

    /// True when the tables may be out of date because the process was paused.
    pub fn is_stale(&self) -> bool {
        self.core().is_stale(self.inner.clock.now())
    }

    /// Counter of the bytes sent and received to spread tables.
    pub fn traffic(&self) -> &Traffic {
        &self.inner.traffic
    }

    /// Returns the state as JSON, for operators.
    pub fn dump(&self) -> Value {
        let dump = self.core().dump(self.inner.clock.now());
        serde_json::to_value(dump).unwrap_or_default()
    }

    /// Returns the notice that this process sends to its peers.
    pub fn notice(&self) -> Notice {
        let mut notice = self.core().notice();
        for write in &self.hooks().writers {
            write(&mut notice);
        }
        notice
    }

    /// Handles a peer's notice and returns the notice of this process.
    pub fn exchange(&self, notice: Notice) -> Notice {
        let reply = self.notice();
        let bytes = traffic::exchange_bytes(&notice, &reply);
        self.inner.traffic.add(bytes);
        self.handle_notice(&notice);
        self.on_event(Event::Notice(notice));
        reply
    }

    /// Answers a peer's fetch; none when the kind of document is unknown.
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

    /// Asks the process at `addr` for tables, after an answer of it showed a greater revision.
    pub fn ask_peer(&self, addr: SocketAddr) {
        let mut out = Vec::new();
        self.core().ask(self.inner.clock.now(), addr, &mut out);
        self.start_actions(out);
    }

    /// Asks peers for newer tables, or the platform when there are no peers, and waits up to
    /// `limit` until the tables are up to date again.
    pub async fn refresh(&self, limit: Duration) {
        let mut out = Vec::new();
        let asked = self.core().refresh_now(self.inner.clock.now(), &mut out);
        self.start_actions(out);
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
        // Without an answer in time the present tables stay in force.
        let _ = client::timeout(limit, Code::RpcFailed, done).await;
    }

    /// Reads both tables from the platform at once.
    async fn read_tables(&self) {
        for key in [ConfigKey::Routes, ConfigKey::Pools] {
            let read = self.inner.platform.read(key.name(), 0, Millis(0)).await;
            let reading = read.ok();
            self.on_event(Event::Read {
                call: 0,
                key,
                reading,
            });
        }
    }

    /// Hands a peer's notice to the modules that registered for it.
    fn handle_notice(&self, notice: &Notice) {
        for handle in &self.hooks().handlers {
            handle(notice);
        }
    }

    /// Feeds an event into the core.
    fn on_event(&self, event: Event) {
        let mut out = Vec::new();
        self.core()
            .on_event(self.inner.clock.now(), event, &mut out);
        self.start_actions(out);
    }

    /// Feeds the time into the core.
    fn tick(&self) {
        let mut out = Vec::new();
        self.core().tick(self.inner.clock.now(), &mut out);
        self.start_actions(out);
    }

    /// Starts the actions of the core, whose results come back as events.
    fn start_actions(&self, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Read {
                    call,
                    key,
                    index,
                    wait,
                } => rt::spawn(self.clone().read_key(call, key, index, wait)).detach(),
                Action::Exchange { call, to } => {
                    rt::spawn(self.clone().exchange_with(call, to)).detach()
                }
                Action::Fetch {
                    call,
                    to,
                    kind,
                    base,
                } => rt::spawn(self.clone().fetch_from(call, to, kind, base)).detach(),
                Action::Live(live) => {
                    slog::debug!(self.inner.log, "live list in use"; "vms" => live.vms.len());
                }
                Action::InForce(_) => {}
                Action::Report { code, detail } => self.report(code, detail),
            }
        }
        self.publish();
    }

    /// Puts the core's set of tables in force, once the core allows the process to serve.
    fn publish(&self) {
        let core = self.core();
        let Some(set) = core.set().filter(|_| core.is_ready()).cloned() else {
            return;
        };
        drop(core);
        let revision = set.stamp.revision;
        if self.inner.in_force.offer(set) == Offer::Accepted {
            slog::info!(self.inner.log, "new revision in force"; "revision" => revision);
        }
    }

    /// Logs a finding of the core; a refusal of tables is also kept for the dump.
    fn report(&self, code: Code, detail: String) {
        slog::warn!(self.inner.log, "{detail}"; "code" => %code);
        let not_refusals = [
            Code::RevisionLower,
            Code::RevisionConflict,
            Code::ProtocolInvalid,
        ];
        if !not_refusals.contains(&code) {
            self.inner.in_force.refuse(Error::new(code, detail));
        }
    }

    /// Reads a key of the platform; `call` is the number of the core's action.
    async fn read_key(self, call: u64, key: ConfigKey, index: u64, wait: Millis) {
        let reading = self.inner.platform.read(key.name(), index, wait).await;
        if let Err(error) = &reading {
            let key = key.name();
            slog::debug!(self.inner.log, "read of the platform failed"; "key" => key, "error" => %error);
        }
        let reading = reading.ok();
        if let Some(reading) = &reading {
            let bytes = traffic::read_bytes(&reading.text);
            self.inner.traffic.add(bytes);
        }
        self.on_event(Event::Read { call, key, reading });
    }

    /// Exchanges notices with the peer at `to`.
    async fn exchange_with(self, call: u64, to: SocketAddr) {
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
            self.handle_notice(reply);
        }
        self.on_event(Event::Reply {
            call,
            from: to,
            notice,
        });
    }

    /// Fetches a document from the peer at `to`, as a delta to `base` where possible.
    async fn fetch_from(self, call: u64, to: SocketAddr, kind: FetchKind, base: Stamp) {
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
        self.on_event(Event::Fetched {
            call,
            from: to,
            kind,
            base,
            reply,
        });
    }

    /// Closes connections to processes that are no longer peers.
    fn close_unused(&self) {
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

/// Ticks the core until the task is dropped.
pub async fn run(node: Node) {
    let mut ticks: u64 = 0;
    loop {
        node.table_sync.tick();
        ticks += 1;
        if ticks.is_multiple_of(CLOSE_UNUSED_TICKS) {
            node.table_sync.close_unused();
        }
        smol::Timer::after(TICK.duration()).await;
    }
}
