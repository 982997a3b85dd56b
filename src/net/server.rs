//! HTTP servers: HTTP/1.1 and HTTP/2 with prior knowledge on one listener.

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

/// First bytes of an HTTP/2 connection with prior knowledge.
const H2_PREFACE: &[u8] = b"PRI";

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for a request head.
    pub head_timeout: Duration,
    /// Connections open at once; more are closed on accept.
    pub max_connections: usize,
    /// Whether connections may speak HTTP/2.
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

/// Length of the queue of connections that were not accepted yet.
///
/// A full queue drops opening packets, which costs each caller a second. The
/// kernel lowers the figure to its own limit.
const BACKLOG: i32 = 4_096;

/// Binds a listener.
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

/// Accepts connections until `stop` closes, then lets open ones finish.
///
/// On stop, HTTP/1.1 connections close after the answer in progress and
/// HTTP/2 connections get GOAWAY; the call returns when all have ended.
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
    let (alive, ended) = smol::channel::bounded::<()>(1);
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
                // Out of descriptors, most likely; accepting again at once would spin.
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= limits.max_connections {
            continue;
        }
        let guard = Guard::new(open.clone(), alive.clone());
        let stop = stop.clone();
        let handler = handler.clone();
        rt::spawn(async move {
            connection(stream, limits, stop, handler).await;
            drop(guard);
        })
        .detach();
    }
    drop(listener);
    drop(alive);
    let _ = ended.recv().await;
}

/// Counts a connection; its clone of the sender keeps the server from ending.
struct Guard {
    open: Arc<AtomicUsize>,
    _alive: smol::channel::Sender<()>,
}

impl Guard {
    fn new(open: Arc<AtomicUsize>, alive: smol::channel::Sender<()>) -> Guard {
        open.fetch_add(1, Ordering::Relaxed);
        Guard {
            open,
            _alive: alive,
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection<F, R>(stream: Async<TcpStream>, limits: Limits, stop: Receiver<()>, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<BoxBody>> + Send + 'static,
{
    client::set_socket_options(stream.get_ref());
    let is_h2 = if limits.allow_http2 {
        match peek(&stream, limits.head_timeout).await {
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
        let ended = async { Some(conn.as_mut().await) }.or(wait(&stop)).await;
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
    let ended = async { Some(conn.as_mut().await) }.or(wait(&stop)).await;
    if ended.is_none() {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}

async fn wait<T>(stop: &Receiver<()>) -> Option<T> {
    let _ = stop.recv().await;
    None
}

/// True for HTTP/2, false for HTTP/1.1, none when nothing came in time.
async fn peek(stream: &Async<TcpStream>, limit: Duration) -> Option<bool> {
    let look = async {
        let mut head = [0_u8; 3];
        loop {
            let count = stream.peek(&mut head).await.ok()?;
            if count == 0 {
                return None;
            }
            if !H2_PREFACE.starts_with(&head[..count]) {
                return Some(false);
            }
            if count == head.len() {
                return Some(true);
            }
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    };
    let late = async {
        smol::Timer::after(limit).await;
        None
    };
    look.or(late).await
}
