//! The account of a process, shared by its servers, and what each holder has reserved.

use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use event_listener::Event;
use slog::Logger;
use slog::warn;
use smol::future::FutureExt;

use crate::metric::Metric;
use crate::metric::Metrics;
use crate::net::memory::Account;
use crate::net::memory::Class;
use crate::net::memory::Holder;
use crate::net::memory::REQUEST;
use crate::net::memory::Size;
use crate::net::memory::Use;
use crate::net::memory::Verdict;
use crate::prelude::*;
use crate::util::lock;

/// Time after which a waiting reservation is tried again though nothing was released: a holder
/// may be closed once it has made no progress for some time.
const RETRY: Duration = Duration::from_millis(100);

/// Time that a request waits for the memory of its buffers.
const REQUEST_PATIENCE: Duration = Duration::from_millis(200);

/// Time after which a caller that found no memory should come back: a holder without progress is
/// closed after a second.
const RETURN_TIME: Millis = Millis(1_000);

/// Waiting reservations that are tried again when memory is released. A crowd of them would
/// otherwise take the time of all requests.
const WAKE: usize = 16;

/// Time between two log lines, which state what was closed or refused since the last.
const LOG_GAP: Millis = Millis(1_000);

/// Memory and connections of a process; clones share them.
#[derive(Clone, Debug)]
pub struct Memory {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    /// Notified when memory is released.
    freed: Event,
    clock: Clock,
    metrics: Metrics,
    log: Logger,
}

#[derive(Debug)]
struct State {
    account: Account,
    signals: IndexMap<Key<Holder>, Arc<Signal>>,
    last_log: Millis,
    /// Holders that were closed, and reservations that were refused, since the last log line.
    closed: u64,
    refused: u64,
}

/// Tells the owner of a holder that it must close.
#[derive(Debug, Default)]
struct Signal {
    is_set: AtomicBool,
    event: Event,
}

impl Default for Memory {
    /// Creates the account of a process whose machine is not stated, such as a stand-in.
    fn default() -> Memory {
        let log = Logger::root(slog::Discard, slog::o!());
        Memory::new(Size::of_machine(4_096, 16_384), Metrics::default(), log)
    }
}

impl Memory {
    /// Creates an account in which nothing is held.
    pub fn new(size: Size, metrics: Metrics, log: Logger) -> Memory {
        Memory {
            inner: Arc::new(Inner {
                state: Mutex::new(State {
                    account: Account::new(size),
                    signals: IndexMap::new(),
                    last_log: Millis(0),
                    closed: 0,
                    refused: 0,
                }),
                freed: Event::new(),
                clock: Clock::new(),
                metrics,
                log,
            }),
        }
    }

    /// Changes the size of the account.
    pub fn set_size(&self, size: Size) {
        lock(&self.inner.state).account.set_size(size);
    }

    /// Returns the size of the account.
    pub fn size(&self) -> Size {
        lock(&self.inner.state).account.size()
    }

    /// Sets the gauges from the present state.
    pub fn set_gauges(&self) {
        let state = lock(&self.inner.state);
        let account = &state.account;
        let metrics = &self.inner.metrics;
        metrics.set(Metric::MemoryHeld, account.bytes() as u64);
        metrics.set(Metric::MemorySize, account.size().bytes as u64);
        let open = account.connections(Class::Callers) + account.connections(Class::Internal);
        metrics.set(Metric::ConnectionsOpen, open as u64);
    }

    /// Adds a connection from `source`; waits for a moment until an idle one has been closed
    /// for it. None when there is no room.
    pub async fn connect(&self, class: Class, source: IpAddr) -> Option<Hold> {
        // Closing takes one turn of the executor; more often nobody can be closed.
        for _ in 0..10 {
            let freed = self.inner.freed.listen();
            let now = self.inner.clock.now();
            let verdict = {
                let mut state = lock(&self.inner.state);
                match state.account.connect(now, class, source) {
                    Ok(key) => return Some(self.hold(&mut state, key)),
                    Err(verdict) => verdict,
                }
            };
            self.signal(now, verdict);
            let wait = async {
                smol::Timer::after(RETRY / 20).await;
            };
            freed.or(wait).await;
        }
        self.record_refusal();
        None
    }

    fn hold(&self, state: &mut State, key: Key<Holder>) -> Hold {
        let signal = Arc::<Signal>::default();
        state.signals.insert(key, signal.clone());
        Hold {
            inner: Arc::new(HoldInner {
                memory: self.clone(),
                key,
                signal,
            }),
        }
    }

    /// Tells the owner of a holder to close it, if the verdict says so.
    fn signal(&self, now: Millis, verdict: Verdict) {
        let Verdict::Close(key) = verdict else {
            return;
        };
        let mut state = lock(&self.inner.state);
        if let Some(signal) = state.signals.get(&key) {
            signal.is_set.store(true, Ordering::Release);
            signal.event.notify(usize::MAX);
        }
        state.closed += 1;
        self.inner.metrics.count(Metric::MemoryClosed, 1);
        self.write_log(now, &mut state);
    }

    fn record_refusal(&self) {
        let mut state = lock(&self.inner.state);
        state.refused += 1;
        self.inner.metrics.count(Metric::MemoryRefused, 1);
        self.write_log(self.inner.clock.now(), &mut state);
    }

    fn write_log(&self, now: Millis, state: &mut State) {
        if now.since(state.last_log) < LOG_GAP {
            return;
        }
        let account = &state.account;
        warn!(self.inner.log, "process: callers hold all memory or connections";
            "closed" => state.closed, "refused" => state.refused, "bytes" => account.bytes(),
            "of" => account.size().bytes, "callers" => account.connections(Class::Callers),
            "internal" => account.connections(Class::Internal));
        state.last_log = now;
        (state.closed, state.refused) = (0, 0);
    }
}

/// A holder of the account; it is removed when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Hold {
    inner: Arc<HoldInner>,
}

#[derive(Debug)]
struct HoldInner {
    memory: Memory,
    key: Key<Holder>,
    signal: Arc<Signal>,
}

impl Drop for HoldInner {
    fn drop(&mut self) {
        let shared = &self.memory.inner;
        let mut state = lock(&shared.state);
        state.account.remove(self.key);
        state.signals.swap_remove(&self.key);
        drop(state);
        shared.freed.notify(WAKE);
    }
}

impl Hold {
    /// Adds a body or an answer of this connection.
    pub fn begin(&self, purpose: Use) -> Hold {
        let memory = &self.inner.memory;
        let now = memory.inner.clock.now();
        let mut state = lock(&memory.inner.state);
        let key = state.account.begin(now, self.inner.key, purpose);
        memory.hold(&mut state, key)
    }

    /// Begins the request whose head has these extensions, as [`Hold::begin_request`] does.
    pub async fn of_request(extensions: &http::Extensions) -> Result<Hold> {
        let connection = extensions.get::<Hold>();
        let missing = || Error::new(Code::Internal, "connection without account");
        connection.ok_or_else(missing)?.begin_request().await
    }

    /// Adds a request of this connection, with the memory for its buffers. Fails as
    /// [`Hold::raise`] does.
    pub async fn begin_request(&self) -> Result<Hold> {
        let hold = self.begin(Use::Running);
        hold.raise(REQUEST, REQUEST_PATIENCE).await?;
        Ok(hold)
    }

    /// Raises the reservation to `total` bytes; false when there is no room now.
    pub fn try_raise(&self, total: usize) -> bool {
        let memory = &self.inner.memory;
        let now = memory.inner.clock.now();
        let verdict = lock(&memory.inner.state)
            .account
            .reserve(now, self.inner.key, total);
        memory.signal(now, verdict);
        verdict == Verdict::Granted
    }

    /// Raises the reservation to `total` bytes; waits for at most `patience` until there is
    /// room. Fails with [`Code::Overloaded`] after that, or when it must be closed.
    pub async fn raise(&self, total: usize, patience: Duration) -> Result<()> {
        let start = std::time::Instant::now();
        loop {
            let freed = self.inner.memory.inner.freed.listen();
            if self.try_raise(total) {
                return Ok(());
            }
            let left = patience.saturating_sub(start.elapsed());
            if left.is_zero() || self.is_closing() {
                self.inner.memory.record_refusal();
                let detail = format!("no memory left for {total} bytes");
                let error = Error::new(Code::Overloaded, detail);
                return Err(error.with_retry(RETURN_TIME));
            }
            let wait = async {
                smol::Timer::after(left.min(RETRY)).await;
            };
            freed.or(wait).await;
        }
    }

    /// Lowers the reservation to `total` bytes.
    pub fn lower(&self, total: usize) {
        let shared = &self.inner.memory.inner;
        lock(&shared.state).account.lower(self.inner.key, total);
        shared.freed.notify(WAKE);
    }

    /// Records bytes that were received, or read by the peer.
    pub fn record_progress(&self, bytes: usize) {
        let shared = &self.inner.memory.inner;
        let now = shared.clock.now();
        let mut state = lock(&shared.state);
        state.account.record_progress(now, self.inner.key, bytes);
    }

    /// Sets what it holds the memory for.
    pub fn set_use(&self, purpose: Use) {
        let shared = &self.inner.memory.inner;
        let now = shared.clock.now();
        lock(&shared.state)
            .account
            .set_use(now, self.inner.key, purpose);
    }

    /// Returns the size of the account.
    pub fn size(&self) -> Size {
        self.inner.memory.size()
    }

    /// Returns true when it must be closed.
    pub fn is_closing(&self) -> bool {
        self.inner.signal.is_set.load(Ordering::Acquire)
    }

    /// Waits until it must be closed.
    pub async fn until_closing(&self) {
        loop {
            let listener = self.inner.signal.event.listen();
            if self.is_closing() {
                return;
            }
            listener.await;
        }
    }
}
