//! HTTP server that accepts HTTP/1.1 and HTTP/2 with prior knowledge on one listener.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use smol::Async;
use smol::channel::Receiver;
use smol::future::FutureExt;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use std::net::TcpListener;
use std::net::TcpStream;

use crate::error::Code;
use crate::error::Error;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::body::BoxError;
use crate::net::client;
use crate::net::memory::CONNECTION;
use crate::net::memory::Class;
use crate::net::memory::Use;
use crate::net::reserve::Hold;
use crate::net::reserve::Memory;
use crate::net::rt;
use crate::net::stream::HeldStream;
use crate::net::stream::Phase;

/// First bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI";

/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 << 10;

/// Windows of an HTTP/2 stream and connection, in bytes: most that is buffered of bodies that
/// are not read.
const STREAM_WINDOW: u32 = 128 << 10;
const CONNECTION_WINDOW: u32 = 256 << 10;

/// Memory of an HTTP/2 stream with its head, in bytes.
const STREAM: usize = 16 << 10;

/// Time that an HTTP/2 connection waits for its memory.
const MEMORY_PATIENCE: Duration = Duration::from_millis(1_500);

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest time for receiving a whole request head.
    pub head_timeout: Duration,
    /// Account of the process.
    pub memory: Memory,
    /// Kind of the port.
    pub class: Class,
    /// True when connections may use HTTP/2.
    pub allow_http2: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_timeout: Duration::from_secs(10),
            memory: Memory::default(),
            class: Class::Internal,
            allow_http2: true,
        }
    }
}

/// Length of the queue of connections that have not been accepted yet.
///
/// When the queue is full, the kernel drops SYN packets, which delays each caller by a
/// second. The kernel lowers the length to its own limit.
const BACKLOG: i32 = 4_096;

/// Opens a listener at `addr`; fails with [`Code::ListenFailed`].
pub fn bind(addr: SocketAddr) -> crate::error::Result<Async<TcpListener>> {
    let open = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        Async::new(TcpListener::from(socket))
    };
    open().map_err(|e| Error::new(Code::ListenFailed, format!("{addr}: {e}")))
}

/// Accepts connections until `stop` closes, then lets the open ones finish.
///
/// HTTP/1.1 connections close after the answer in progress, and HTTP/2 connections get
/// GOAWAY. Returns when all connections have ended.
pub async fn serve<F, R>(
    listener: Async<TcpListener>,
    limits: Limits,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<BoxBody>> + Send + 'static,
{
    let (alive, all_ended) = smol::channel::bounded::<()>(1);
    loop {
        let accept = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        let (stream, peer) = match accept.or(stopped).await {
            None => break,
            Some(Ok(accepted)) => accepted,
            Some(Err(_)) => {
                // Most likely there are no free descriptors; an immediate retry would
                // loop without a wait.
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            }
        };
        let memory = &limits.memory;
        let Some(hold) = memory.connect(limits.class, peer.ip()).await else {
            continue;
        };
        let (limits, alive) = (limits.clone(), alive.clone());
        let stop = stop.clone();
        let handler = handler.clone();
        rt::spawn(async move {
            let closing = hold.clone();
            serve_connection(stream, hold, limits, stop, handler)
                .or(closing.until_closing())
                .await;
            // It keeps `serve` from returning.
            drop(alive);
        })
        .detach();
    }
    drop(listener);
    drop(alive);
    let _ = all_ended.recv().await;
}

/// Serves one connection until it ends; shuts it down gracefully once `stop` closes.
async fn serve_connection<F, R>(
    stream: Async<TcpStream>,
    hold: Hold,
    limits: Limits,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<BoxBody>> + Send + 'static,
{
    client::set_socket_options(stream.get_ref());
    // Nothing is allocated for a connection before it sends.
    match is_http2(&stream, limits.head_timeout).await {
        Some(true) if limits.allow_http2 => serve_http2(stream, hold, stop, handler).await,
        Some(_) => serve_http1(stream, hold, limits, stop, handler).await,
        None => {}
    }
}

/// Serves an HTTP/1.1 connection.
async fn serve_http1<F, R>(
    stream: Async<TcpStream>,
    hold: Hold,
    limits: Limits,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<BoxBody>> + Send + 'static,
{
    let phase = Phase::new(hold.clone());
    let io = FuturesIo::new(HeldStream::new(stream, hold.clone(), Some(phase.clone())));
    let service = service_fn(move |mut request: Request<Incoming>| {
        phase.begin_request();
        let running = RunningRequest {
            phase: Some(phase.clone()),
            _hold: None,
        };
        request.extensions_mut().insert(hold.clone());
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await.map(|body| running.until_end(body))) }
    });
    let conn = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(MAX_HEAD)
        // Otherwise answers are copied into a buffer that the connection keeps.
        .writev(true)
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    let ended = async { Some(conn.as_mut().await) }
        .or(until_stopped(&stop))
        .await;
    if ended.is_none() {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}

/// Serves an HTTP/2 connection.
async fn serve_http2<F, R>(stream: Async<TcpStream>, hold: Hold, stop: Receiver<()>, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<BoxBody>> + Send + 'static,
{
    // A connection with streams is not idle, and its windows may fill at any time.
    hold.set_use(Use::Head);
    let windows = CONNECTION + CONNECTION_WINDOW as usize;
    if hold.raise(windows, MEMORY_PATIENCE).await.is_err() {
        return;
    }
    let io = FuturesIo::new(HeldStream::new(stream, hold.clone(), None));
    let service = service_fn(move |mut request: Request<Incoming>| {
        let own = hold.begin(Use::Running);
        let answer = own.try_raise(STREAM).then(|| {
            request.extensions_mut().insert(hold.clone());
            handler(request)
        });
        let running = RunningRequest {
            phase: None,
            _hold: Some(own),
        };
        async move {
            let Some(answer) = answer else {
                return Ok(unavailable());
            };
            Ok::<_, Infallible>(answer.await.map(|body| running.until_end(body)))
        }
    });
    let conn = http2::Builder::new(rt::Spawner)
        .timer(SmolTimer::new())
        .max_concurrent_streams(1_024)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    let ended = async { Some(conn.as_mut().await) }
        .or(until_stopped(&stop))
        .await;
    if ended.is_none() {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}

/// Returns the answer to a request for which there is no memory; it was not run.
fn unavailable() -> Response<BoxBody> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let after = HeaderValue::from_static("1");
    response.headers_mut().insert(header::RETRY_AFTER, after);
    response
}

/// A request in progress, which ends when this is dropped.
struct RunningRequest {
    phase: Option<Phase>,
    _hold: Option<Hold>,
}

impl RunningRequest {
    /// Returns the body of the answer, with which the request ends.
    fn until_end(self, body: BoxBody) -> BoxBody {
        AnswerBody {
            body,
            _running: self,
        }
        .boxed_unsync()
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if let Some(phase) = &self.phase {
            phase.end_request();
        }
    }
}

/// Body of an answer to a request in progress.
struct AnswerBody {
    body: BoxBody,
    _running: RunningRequest,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Waits until `stop` closes.
async fn until_stopped<T>(stop: &Receiver<()>) -> Option<T> {
    let _ = stop.recv().await;
    None
}

/// Detects the protocol from the first bytes, which stay unread. Returns true for
/// HTTP/2, false for HTTP/1.1, and `None` when the peer closes or sends nothing within
/// `limit`.
async fn is_http2(stream: &Async<TcpStream>, limit: Duration) -> Option<bool> {
    let detect = async {
        let mut head = [0_u8; 3];
        loop {
            let count = stream.peek(&mut head).await.ok()?;
            if count == 0 {
                return None;
            }
            if !HTTP2_PREFACE.starts_with(&head[..count]) {
                return Some(false);
            }
            if count == head.len() {
                return Some(true);
            }
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    };
    let timed_out = async {
        smol::Timer::after(limit).await;
        None
    };
    detect.or(timed_out).await
}
