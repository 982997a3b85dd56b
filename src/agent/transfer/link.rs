//! Limits the rate of rollout traffic on the links of a VM.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::net::rt;
use crate::prelude::*;
use crate::rollout::bucket::TokenBucket;

/// Limits the rate of rollout traffic on one link; clones share the limit.
#[derive(Clone, Debug)]
pub struct Pacer {
    bucket: Arc<Mutex<TokenBucket>>,
    passed: Arc<AtomicU64>,
    clock: Clock,
}

impl Pacer {
    /// Creates a pacer for `rate` bytes a second with bursts of `burst` bytes.
    pub fn new(rate: f64, burst: f64) -> Pacer {
        let clock = Clock::new();
        let mut bucket = TokenBucket::new(rate, burst);
        // Makes the bucket refill from now on, and not from the start of the clock.
        bucket.take(clock.now(), 0);
        Pacer {
            bucket: Arc::new(Mutex::new(bucket)),
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

    /// Bytes of rollout traffic that have passed so far.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Counts `bytes` of live traffic, which never waits here but takes rate from rollout
    /// traffic.
    pub fn charge_live(&self, bytes: usize) {
        self.lock().charge_live(self.clock.now(), bytes as u64);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, TokenBucket> {
        self.bucket.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// The links that rollout traffic of one agent passes; a link without a pacer is
/// unlimited.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Link from this VM.
    pub up: Option<Pacer>,
    /// Link to this VM.
    pub down: Option<Pacer>,
    /// Link into this region, from other regions and from the origin.
    pub region: Option<Pacer>,
}

impl Links {
    /// Waits until `bytes` may be sent by this VM.
    pub async fn pace_upload(&self, bytes: usize) {
        if let Some(up) = &self.up {
            up.pass(bytes).await;
        }
    }

    /// Waits until `bytes` may be received by this VM; `is_outside` tells that they come
    /// from outside the region.
    pub async fn pace_download(&self, bytes: usize, is_outside: bool) {
        if let Some(region) = self.region.as_ref().filter(|_| is_outside) {
            region.pass(bytes).await;
        }
        if let Some(down) = &self.down {
            down.pass(bytes).await;
        }
    }
}

/// A task that ends when its handle is dropped.
pub(super) type Task = smol::Task<()>;

/// Starts a task that ends when its handle is dropped.
pub(super) fn spawn(future: impl Future<Output = ()> + Send + 'static) -> Task {
    rt::spawn(future)
}
