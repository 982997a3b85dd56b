//! Paces rollout traffic on the links of a VM.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::net::rt;
use crate::prelude::*;
use crate::rollout::bucket::TokenBucket;

/// A link's budget; clones share it.
#[derive(Clone, Debug)]
pub struct Pacer {
    budget: Arc<Mutex<TokenBucket>>,
    passed: Arc<AtomicU64>,
    clock: Clock,
}

impl Pacer {
    /// A pacer for `rate` bytes a second with bursts of `burst` bytes.
    pub fn new(rate: f64, burst: f64) -> Pacer {
        let clock = Clock::new();
        let mut budget = TokenBucket::new(rate, burst);
        // Starts empty of time: the first refill counts from now on.
        budget.take(clock.now(), 0);
        Pacer {
            budget: Arc::new(Mutex::new(budget)),
            passed: Arc::default(),
            clock,
        }
    }

    /// Waits until `bytes` of rollout traffic may pass.
    pub async fn pass(&self, bytes: usize) {
        self.passed.fetch_add(bytes as u64, Ordering::Relaxed);
        let wait = self.lock().take(self.clock.now(), bytes as u64);
        if wait > Millis(0) {
            smol::Timer::after(wait.duration()).await;
        }
    }

    /// Bytes of rollout traffic so far.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Accounts for live traffic, which never waits here.
    pub fn live(&self, bytes: usize) {
        self.lock().charge_live(self.clock.now(), bytes as u64);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, TokenBucket> {
        self.budget.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// The links that rollout traffic of one agent passes; none is unlimited.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// From this VM.
    pub up: Option<Pacer>,
    /// To this VM.
    pub down: Option<Pacer>,
    /// Into this region from others and from the origin.
    pub region: Option<Pacer>,
}

impl Links {
    /// Waits until `bytes` may leave this VM.
    pub async fn leave(&self, bytes: usize) {
        if let Some(up) = &self.up {
            up.pass(bytes).await;
        }
    }

    /// Waits until `bytes` may arrive, from outside the region or from inside.
    pub async fn arrive(&self, bytes: usize, outside: bool) {
        if let Some(region) = self.region.as_ref().filter(|_| outside) {
            region.pass(bytes).await;
        }
        if let Some(down) = &self.down {
            down.pass(bytes).await;
        }
    }
}

/// A task that ends when its handle is dropped.
pub(super) type Task = smol::Task<()>;

/// Starts a task that ends with its handle.
pub(super) fn spawn(future: impl Future<Output = ()> + Send + 'static) -> Task {
    rt::spawn(future)
}
