//! What both daemons share on a prepared machine.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use slog::Logger;

use crate::direct::cluster::Change;
use crate::direct::cluster::ClusterView;
use crate::direct::decision_log::DecisionLog;
use crate::member::peers::Peers;
use crate::member::peers::Role;
use crate::metric::Metrics;
use crate::platform::settings::Settings;
use crate::prelude::*;
use crate::rollout::versions::NamedVersion;
use crate::table::replica::Delta;
use crate::util::lock;

/// Called after the beliefs have changed.
type Hook = Box<dyn Fn(Millis, &ClusterView) + Send + Sync>;

/// Identity, beliefs and peers of a process; clones share them.
#[derive(Clone)]
pub struct Node {
    inner: Arc<Inner>,
}

struct Inner {
    role: Role,
    settings: Mutex<Arc<Settings>>,
    clock: Clock,
    log: DecisionLog,
    metrics: Metrics,
    cluster: Mutex<ClusterView>,
    peers: Mutex<Peers>,
    hook: OnceLock<Hook>,
    stopping: AtomicBool,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(role: Role, settings: Settings, log: Logger) -> Node {
        let metrics = Metrics::default();
        Node {
            inner: Arc::new(Inner {
                role,
                settings: Mutex::new(Arc::new(settings)),
                clock: Clock::new(),
                log: DecisionLog::new(log, metrics.clone()),
                metrics,
                cluster: Mutex::default(),
                peers: Mutex::default(),
                hook: OnceLock::new(),
                stopping: AtomicBool::new(false),
            }),
        }
    }

    /// What the process does.
    pub fn role(&self) -> Role {
        self.inner.role
    }

    /// Settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        lock(&self.inner.settings).clone()
    }

    /// Puts new settings in force.
    pub fn set_settings(&self, settings: Settings) {
        *lock(&self.inner.settings) = Arc::new(settings);
    }

    /// Time now.
    pub fn now(&self) -> Millis {
        self.inner.clock.now()
    }

    /// When the process started.
    pub fn born(&self) -> u64 {
        self.inner.clock.started().0
    }

    /// Log of decisions.
    pub fn log(&self) -> &DecisionLog {
        &self.inner.log
    }

    /// Metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Beliefs.
    pub fn cluster(&self) -> MutexGuard<'_, ClusterView> {
        lock(&self.inner.cluster)
    }

    /// Other processes.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.inner.peers)
    }

    /// Sets what is called after each change of the beliefs.
    pub fn on_change(&self, hook: impl Fn(Millis, &ClusterView) + Send + Sync + 'static) {
        assert!(self.inner.hook.set(Box::new(hook)).is_ok(), "one hook");
    }

    /// Takes changes from the store or a peer; missing entries are kept for `left`.
    pub fn apply(&self, delta: Delta, left: Millis, source: &str) {
        let now = self.now();
        let bound = self.settings().rollout;
        let mut cluster = self.cluster();
        let changes = cluster.apply(now, bound, delta, left);
        self.changed(now, &cluster, &changes, source);
    }

    /// Takes what another process knows of the versions of weights.
    pub fn merge_versions(&self, named: &[NamedVersion]) {
        let now = self.now();
        let mut cluster = self.cluster();
        let changes = cluster.merge_versions(named);
        self.changed(now, &cluster, &changes, "peer");
    }

    /// Lets time pass for the beliefs.
    pub fn tick(&self) {
        let now = self.now();
        self.peers().tick(now);
        let mut cluster = self.cluster();
        let changes = cluster.tick(now);
        self.changed(now, &cluster, &changes, "time");
    }

    fn changed(&self, now: Millis, cluster: &ClusterView, changes: &[Change], source: &str) {
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

    /// Address of a VM's internal port.
    pub fn internal_addr(&self, ip: std::net::IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings().ports.0)
    }

    /// Marks the process as stopping.
    pub fn stop(&self) {
        self.inner.stopping.store(true, Ordering::Relaxed);
    }

    /// True once the process has been told to stop.
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.load(Ordering::Relaxed)
    }
}
