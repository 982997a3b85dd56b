//! HTTP server that accepts HTTP/1.1 and HTTP/2 with prior knowledge on one listener.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
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
use crate::error::Result;
use crate::net::body::BoxBody;
use crate::net::client;
use crate::net::rt;

/// First bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI";

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time for receiving a whole request head.
    pub head_timeout: Duration,
    /// Maximum number of open connections; further ones are closed when accepted.
    pub max_connections: usize,
    /// True when connections may use HTTP/2.
    pub allow_http2: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_timeout: Duration::from_secs(10),
            max_connections: 4_096,
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
pub fn bind(addr: SocketAddr) -> Result<Async<TcpListener>> {
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
    let open = Arc::new(AtomicUsize::new(0));
    let (alive, all_ended) = smol::channel::bounded::<()>(1);
    loop {
        let accept = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        let stream = match accept.or(stopped).await {
            None => break,
            Some(Ok((stream, _))) => stream,
            Some(Err(_)) => {
                // Most likely there are no free descriptors; an immediate retry would
                // loop without a wait.
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= limits.max_connections {
            continue;
        }
        let counted = OpenConnection::new(open.clone(), alive.clone());
        let stop = stop.clone();
        let handler = handler.clone();
        rt::spawn(async move {
            serve_connection(stream, limits, stop, handler).await;
            drop(counted);
        })
        .detach();
    }
    drop(listener);
    drop(alive);
    let _ = all_ended.recv().await;
}

/// Counts a connection as open. Its clone of the sender keeps `serve` from returning.
struct OpenConnection {
    open: Arc<AtomicUsize>,
    _alive: smol::channel::Sender<()>,
}

impl OpenConnection {
    fn new(open: Arc<AtomicUsize>, alive: smol::channel::Sender<()>) -> OpenConnection {
        open.fetch_add(1, Ordering::Relaxed);
        OpenConnection {
            open,
            _alive: alive,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one connection until it ends; shuts it down gracefully once `stop` closes.
async fn serve_connection<F, R>(
    stream: Async<TcpStream>,
    limits: Limits,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<BoxBody>> + Send + 'static,
{
    client::set_socket_options(stream.get_ref());
    let is_h2 = if limits.allow_http2 {
        match is_http2(&stream, limits.head_timeout).await {
            Some(is_h2) => is_h2,
            None => return,
        }
    } else {
        false
    };
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let io = FuturesIo::new(stream);
    if is_h2 {
        let conn = http2::Builder::new(rt::Spawner)
            .timer(SmolTimer::new())
            .max_concurrent_streams(1_024)
            .initial_stream_window_size(1 << 20)
            .initial_connection_window_size(4 << 20)
            .serve_connection(io, service);
        let mut conn = std::pin::pin!(conn);
        let ended = async { Some(conn.as_mut().await) }
            .or(until_stopped(&stop))
            .await;
        if ended.is_none() {
            conn.as_mut().graceful_shutdown();
            let _ = conn.await;
        }
        return;
    }
    let conn = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(64 << 10)
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
