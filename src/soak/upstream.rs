//! Stand-in upstreams that register with the store, answer, fail and leave as
//! runners do.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use smol::channel;

use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::rt;
use crate::net::server;
use crate::platform::standin;
use crate::prelude::*;
use crate::soak::Harness;
use crate::soak::checker::Execution;
use crate::soak::proxy;
use crate::soak::proxy::Fault;
use crate::soak::proxy::Proxy;
use crate::util::lock;

/// Number of events in a complete stream.
pub const EVENTS: u64 = 10;

/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(12);

/// Time from the start of a drain until the upstream ends: longer than entries
/// may go on sending requests to it.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// Time after which the store drops the registration of a crashed upstream.
const REGISTRATION_TTL: Duration = Duration::from_millis(3_600);

/// A stand-in upstream.
pub struct Upstream {
    /// Id under which it is registered.
    pub id: String,
    /// Name of its pool.
    pub pool: &'static str,
    /// Its zone.
    pub zone: &'static str,
    /// Proxy through which all entries reach it.
    pub proxy: Proxy,
    /// Start time that it registers with, in milliseconds; changes after a crash.
    started: Mutex<u64>,
    /// Until when it is cold.
    cold_until: Mutex<Millis>,
    /// True while it drains or is crashed, and after it has ended.
    unavailable: AtomicBool,
}

/// Starts an upstream on a free port and registers it as ready.
pub fn start(
    harness: &Arc<Harness>,
    pool: &'static str,
    zone: &'static str,
) -> Result<Arc<Upstream>> {
    let listener = server::bind(SocketAddr::new(harness.ip, 0))?;
    let proxy = Proxy::start(harness.ip, proxy::local_addr(&listener)?)?;
    let number = lock(&harness.upstreams).len();
    let upstream = Arc::new(Upstream {
        id: format!("u{number}"),
        pool,
        zone,
        proxy,
        started: Mutex::new(harness.now().0),
        cold_until: Mutex::new(Millis(0)),
        unavailable: AtomicBool::new(false),
    });
    lock(&harness.upstreams).push(upstream.clone());
    let (served, shared) = (upstream.clone(), harness.clone());
    // The upstream is served until the process ends: nothing closes this channel.
    let (open, shutdown) = channel::bounded::<()>(1);
    rt::spawn(async move {
        let answer = move |request| {
            let (upstream, harness) = (served.clone(), shared.clone());
            async move { upstream.answer(&harness, request).await }
        };
        server::serve(listener, server::Limits::default(), shutdown, answer).await;
        drop(open);
    })
    .detach();
    upstream.register(harness, true);
    Ok(upstream)
}

impl Upstream {
    /// Returns whether it is neither leaving nor crashed.
    pub fn is_live(&self) -> bool {
        !self.unavailable.load(Ordering::Relaxed)
    }

    /// Writes its registration; one that is not `ready` gets no new requests.
    fn register(&self, harness: &Harness, ready: bool) {
        let started = *lock(&self.started);
        let mut doc = standin::registration(self.pool, self.proxy.addr(), started, ready);
        standin::set_cold(&mut doc, self.cold_left(harness));
        standin::set_zone(&mut doc, self.zone);
        harness
            .store
            .put(&standin::runner_key(&self.id), Some(&doc));
    }

    /// Returns the time for which it is still cold.
    fn cold_left(&self, harness: &Harness) -> Millis {
        lock(&self.cold_until).since(harness.now())
    }

    /// Registers as leaving, goes on answering for `DRAIN_TIME`, and ends for good.
    pub async fn drain(&self, harness: &Harness) {
        self.unavailable.store(true, Ordering::Relaxed);
        self.register(harness, false);
        lock(&harness.checker).on_drain(harness.now(), &self.id);
        smol::Timer::after(DRAIN_TIME).await;
        self.unregister(harness);
        self.proxy.set_fault(Fault::Reset);
    }

    /// Applies `fault` for the time `down`, then returns under the same id with a new
    /// start time.
    pub async fn crash(&self, harness: &Harness, fault: Fault, down: Duration) {
        self.unavailable.store(true, Ordering::Relaxed);
        lock(&harness.checker).on_brief_fault(harness.now(), &self.id);
        self.proxy.set_fault(fault);
        smol::Timer::after(down.min(REGISTRATION_TTL)).await;
        if down > REGISTRATION_TTL {
            self.unregister(harness);
            smol::Timer::after(down - REGISTRATION_TTL).await;
        }
        self.proxy.set_fault(Fault::None);
        *lock(&self.started) = harness.now().0;
        *lock(&self.cold_until) = harness.now().plus(standin::COLD_TIME);
        self.register(harness, true);
        lock(&harness.checker).on_brief_fault(harness.now(), &self.id);
        self.unavailable.store(false, Ordering::Relaxed);
    }

    /// Removes its registration from the store.
    fn unregister(&self, harness: &Harness) {
        harness.store.put(&standin::runner_key(&self.id), None);
    }

    /// Answers a request: 3 % are refused unrun, 2 % of the executed plain
    /// requests fail.
    async fn answer(&self, harness: &Harness, request: Request<Incoming>) -> Response<BoxBody> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let id = header(standin::REQUEST_ID);
        let cold_left = self.cold_left(harness);
        if cold_left > Millis(0) && header(standin::EXPECT_INSTANCE) == self.id {
            lock(&harness.checker).on_cold_arrival(harness.now(), &id, &self.id);
        }
        let mut response = if header(standin::EXPECT_INSTANCE) != self.id {
            not_run(StatusCode::MISDIRECTED_REQUEST)
        } else if fastrand::u32(0..100) < 3 {
            not_run(StatusCode::SERVICE_UNAVAILABLE)
        } else {
            let path = request.uri().path().to_string();
            let execution = Execution {
                id: id.clone(),
                path: path.clone(),
                pool: self.pool,
                zone: self.zone,
                upstream: self.id.clone(),
            };
            lock(&harness.checker).on_execution(harness.now(), execution);
            if path.starts_with("/stream/") {
                let last = header("last-event-id").parse().unwrap_or(0);
                Response::new(event_stream(id.clone(), last))
            } else {
                smol::Timer::after(Duration::from_millis(fastrand::u64(2..60))).await;
                if fastrand::u32(0..100) < 2 {
                    failure()
                } else {
                    Response::new(body::full(answer_body(&id)))
                }
            }
        };
        let cold_left = cold_left.0.to_string();
        for (name, value) in [
            (standin::REQUEST_ID, id.as_str()),
            (standin::SEAL, "seal"),
            (standin::COLD, cold_left.as_str()),
        ] {
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

/// Returns the body of the answer to a request: its id, repeated so that the body
/// needs several packets.
pub fn answer_body(id: &str) -> String {
    id.repeat(200) + "."
}

/// Returns an answer that states that the request was not run.
fn not_run(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(standin::NOT_RUN, value);
    response
}

/// Returns the answer of a request that was run and failed.
fn failure() -> Response<BoxBody> {
    let mut response = Response::new(body::full("failed"));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// Returns the events after `last`; one stream in ten breaks off halfway.
fn event_stream(id: String, last: u64) -> BoxBody {
    let (sender, receiver) = channel::bounded(1);
    let breaks = fastrand::u32(0..100) < 10;
    rt::spawn(async move {
        for number in last + 1..=EVENTS {
            smol::Timer::after(EVENT_GAP).await;
            if breaks && number == EVENTS / 2 {
                return;
            }
            let event = Bytes::from(format!("id: {number}\ndata: {id}\n\n"));
            if sender.send(Ok(Some(event))).await.is_err() {
                return;
            }
        }
        // A reader that has disconnected needs no end mark.
        let _ = sender.send(Ok(None)).await;
    })
    .detach();
    body::channel(receiver)
}
