//! State that the entry and the agent on a prepared machine share.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;

use slog::Logger;

use crate::direct::cluster::Change;
use crate::direct::cluster::ClusterView;
use crate::direct::decision_log::DecisionLog;
use crate::direct::wire::DeltaDoc;
use crate::member::peers::Peers;
use crate::member::peers::Role;
use crate::metric::Metrics;
use crate::net::memory::Size;
use crate::net::reserve::Memory;
use crate::platform::settings::Settings;
use crate::prelude::*;
use crate::rollout::versions::NamedVersion;
use crate::table::packing::Packer;
use crate::table::replica::Delta;
use crate::table::replica::Position;
use crate::util::lock;

/// Called after the view of the cluster has changed.
type Hook = Box<dyn Fn(Millis, &ClusterView) + Send + Sync>;

/// Identity, settings, peers and view of the cluster of one process; clones
/// share them.
#[derive(Clone)]
pub struct Node {
    inner: Arc<Inner>,
}

common! { key
/// Times of a planned stop.
pub struct Stop {
    /// When no further connections are accepted.
    pub closes_at: Millis,
    /// When each request must have its answer, as the process ends.
    pub ends_at: Millis,
}
}

struct Inner {
    role: Role,
    settings: Mutex<Arc<Settings>>,
    clock: Clock,
    log: DecisionLog,
    metrics: Metrics,
    memory: Memory,
    cluster: Mutex<ClusterView>,
    packer: Mutex<Packer>,
    peers: Mutex<Peers>,
    hook: OnceLock<Hook>,
    stop: OnceLock<Stop>,
}

impl Node {
    /// Creates a node that knows no peers, configuration or upstreams yet.
    pub fn new(role: Role, settings: Settings, log: Logger) -> Node {
        let metrics = Metrics::default();
        let memory = Memory::new(account_size(&settings), metrics.clone(), log.clone());
        Node {
            inner: Arc::new(Inner {
                role,
                settings: Mutex::new(Arc::new(settings)),
                clock: Clock::new(),
                log: DecisionLog::new(log, metrics.clone()),
                metrics,
                memory,
                cluster: Mutex::default(),
                packer: Mutex::default(),
                peers: Mutex::default(),
                hook: OnceLock::new(),
                stop: OnceLock::new(),
            }),
        }
    }

    /// Returns whether the process is an entry or an agent.
    pub fn role(&self) -> Role {
        self.inner.role
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        lock(&self.inner.settings).clone()
    }

    /// Puts new settings in force.
    pub fn set_settings(&self, settings: Settings) {
        self.inner.memory.set_size(account_size(&settings));
        *lock(&self.inner.settings) = Arc::new(settings);
    }

    /// Returns the time since the Unix epoch; it never steps back.
    pub fn now(&self) -> Millis {
        self.inner.clock.now()
    }

    /// Returns when the process started, in Unix milliseconds.
    pub fn started(&self) -> u64 {
        self.inner.clock.started().0
    }

    /// Returns the rate-limited log of decisions.
    pub fn log(&self) -> &DecisionLog {
        &self.inner.log
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Returns the account of what callers make the process hold.
    pub fn memory(&self) -> &Memory {
        &self.inner.memory
    }

    /// Locks and returns the view of the cluster; not to be held across an
    /// `await`.
    pub fn cluster(&self) -> MutexGuard<'_, ClusterView> {
        lock(&self.inner.cluster)
    }

    /// Returns the changes of the replica after a position, with the rest of the grace
    /// period. Large values are packed if `packs` is set.
    pub fn changes_after(&self, now: Millis, position: Position, packs: bool) -> DeltaDoc {
        let cluster = self.cluster();
        let delta = cluster.replica.changes_after(position);
        let grace = cluster.grace_left(now);
        let mut doc = DeltaDoc::new(delta.clone(), grace);
        if packs {
            doc.pack(
                &delta,
                position.revision,
                &cluster.replica,
                &mut lock(&self.inner.packer),
            );
        }
        doc
    }

    /// Locks and returns the table of other processes.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.inner.peers)
    }

    /// Sets the function that is called after each change of the view, while the
    /// view is locked; panics when one is set already.
    pub fn on_change(&self, hook: impl Fn(Millis, &ClusterView) + Send + Sync + 'static) {
        assert!(self.inner.hook.set(Box::new(hook)).is_ok(), "one hook");
    }

    /// Applies changes of the replica from the store or a peer, named by
    /// `source`; upstreams whose registrations are missing are kept for `grace`.
    pub fn apply(&self, delta: Delta, grace: Millis, source: &str) {
        let now = self.now();
        let bound = self.settings().rollout_bound;
        let mut cluster = self.cluster();
        let changes = cluster.apply(now, bound, delta, grace);
        self.report_changes(now, &cluster, &changes, source);
    }

    /// Merges what a peer knows of the versions of weights.
    pub fn merge_versions(&self, named: &[NamedVersion]) {
        let now = self.now();
        let mut cluster = self.cluster();
        let changes = cluster.merge_versions(named);
        self.report_changes(now, &cluster, &changes, "peer");
    }

    /// Forgets peers that have been silent and drops upstreams whose grace period
    /// is over; called at short intervals.
    pub fn tick(&self) {
        let now = self.now();
        self.peers().tick(now);
        let mut cluster = self.cluster();
        cluster.watch.on_tick(now);
        let changes = cluster.drop_missing(now);
        self.report_changes(now, &cluster, &changes, "time");
    }

    /// Logs changes and calls the hook, if there are any.
    fn report_changes(&self, now: Millis, cluster: &ClusterView, changes: &[Change], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.log()
                .change(now, cluster.replica.revision(), change, source);
        }
        if let Some(hook) = self.inner.hook.get() {
            hook(now, cluster);
        }
    }

    /// Returns the address of the internal port on the VM with address `ip`.
    pub fn internal_addr(&self, ip: std::net::IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings().ports.0)
    }

    /// Marks the process as stopping.
    pub fn stop(&self, stop: Stop) {
        // A second signal changes nothing.
        let _ = self.inner.stop.set(stop);
    }

    /// Returns the times of the stop; none before the process has been told to.
    pub fn stop_times(&self) -> Option<&Stop> {
        self.inner.stop.get()
    }

    /// Returns true once the process has been told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop_times().is_some()
    }
}

/// Returns the size of the account on the machine that the settings describe.
fn account_size(settings: &Settings) -> Size {
    Size::of_machine(settings.memory_mb, settings.max_fds)
}
