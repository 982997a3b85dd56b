//! Stand-in upstreams: they answer, fail and leave as runners do.

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
use crate::soak::World;
use crate::soak::judge::Run;
use crate::soak::proxy;
use crate::soak::proxy::Fault;
use crate::soak::proxy::Proxy;
use crate::util::lock;

/// Events of a stream.
pub const EVENTS: u64 = 10;

/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(12);

/// Time for which a leaving upstream goes on, beyond the time that entries may use it.
const LINGER: Duration = Duration::from_millis(3_500);

/// Time after which the store drops the entry of an upstream that crashed.
const LAPSE: Duration = Duration::from_millis(3_600);

/// One upstream.
pub struct Upstream {
    /// Its id.
    pub id: String,
    /// Its pool.
    pub pool: &'static str,
    /// Link to it, shared by all entries.
    pub link: Proxy,
    born: Mutex<u64>,
    gone: AtomicBool,
}

/// Starts an upstream and registers it.
pub fn start(world: &Arc<World>, pool: &'static str) -> Result<Arc<Upstream>> {
    let listener = server::bind(SocketAddr::new(world.ip, 0))?;
    let link = Proxy::start(world.ip, proxy::local(&listener)?)?;
    let number = lock(&world.upstreams).len();
    let upstream = Arc::new(Upstream {
        id: format!("u{number}"),
        pool,
        link,
        born: Mutex::new(world.now().0),
        gone: AtomicBool::new(false),
    });
    lock(&world.upstreams).push(upstream.clone());
    let (held, shared) = (upstream.clone(), world.clone());
    let (open, never) = channel::bounded::<()>(1);
    rt::spawn(async move {
        let answer = move |request| {
            let (upstream, world) = (held.clone(), shared.clone());
            async move { upstream.answer(&world, request).await }
        };
        server::serve(listener, server::Limits::default(), never, answer).await;
        drop(open);
    })
    .detach();
    upstream.register(world, true);
    Ok(upstream)
}

impl Upstream {
    /// True while it takes part.
    pub fn is_live(&self) -> bool {
        !self.gone.load(Ordering::Relaxed)
    }

    fn register(&self, world: &World, ready: bool) {
        let born = *lock(&self.born);
        let doc = standin::registration(self.pool, self.link.addr(), born, ready);
        world.store.put(&standin::runner_key(&self.id), Some(&doc));
    }

    /// Reports that it leaves, goes on for a while, and ends.
    pub async fn drain(&self, world: &World) {
        self.gone.store(true, Ordering::Relaxed);
        self.register(world, false);
        lock(&world.judge).leaving(world.now(), &self.id);
        smol::Timer::after(LINGER).await;
        self.remove(world);
        self.link.set(Fault::Reset);
    }

    /// Falls silent or resets, and comes back under the same id as a new start.
    pub async fn crash(&self, world: &World, fault: Fault, down: Duration) {
        self.gone.store(true, Ordering::Relaxed);
        lock(&world.judge).disturbed(world.now(), &self.id);
        self.link.set(fault);
        smol::Timer::after(down.min(LAPSE)).await;
        if down > LAPSE {
            self.remove(world);
            smol::Timer::after(down - LAPSE).await;
        }
        self.link.set(Fault::None);
        *lock(&self.born) = world.now().0;
        self.register(world, true);
        lock(&world.judge).disturbed(world.now(), &self.id);
        self.gone.store(false, Ordering::Relaxed);
    }

    fn remove(&self, world: &World) {
        world.store.put(&standin::runner_key(&self.id), None);
    }

    async fn answer(&self, world: &World, request: Request<Incoming>) -> Response<BoxBody> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let id = header(standin::REQUEST_ID);
        let mut response = if header(standin::EXPECT_INSTANCE) != self.id {
            not_run(StatusCode::MISDIRECTED_REQUEST)
        } else if fastrand::u32(0..100) < 3 {
            not_run(StatusCode::SERVICE_UNAVAILABLE)
        } else {
            let path = request.uri().path().to_string();
            let run = Run {
                id: id.clone(),
                path: path.clone(),
                pool: self.pool,
                upstream: self.id.clone(),
            };
            lock(&world.judge).ran(world.now(), run);
            if path.starts_with("/stream/") {
                let last = header("last-event-id").parse().unwrap_or(0);
                Response::new(stream(id.clone(), last))
            } else {
                smol::Timer::after(Duration::from_millis(fastrand::u64(2..60))).await;
                if fastrand::u32(0..100) < 2 {
                    failure()
                } else {
                    Response::new(body::full(whole(&id)))
                }
            }
        };
        for (name, value) in [(standin::REQUEST_ID, id.as_str()), (standin::SEAL, "seal")] {
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

/// The answer to a request: its id, often enough to need several packets.
pub fn whole(id: &str) -> String {
    id.repeat(200) + "."
}

fn not_run(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    let said = HeaderValue::from_static("1");
    response.headers_mut().insert(standin::NOT_RUN, said);
    response
}

fn failure() -> Response<BoxBody> {
    let mut response = Response::new(body::full("failed"));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// Events after `last`; one stream in ten breaks off.
fn stream(id: String, last: u64) -> BoxBody {
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
        // A reader that is gone needs no end mark.
        let _ = sender.send(Ok(None)).await;
    })
    .detach();
    body::channel(receiver)
}
