//! HTTP/1.1 client with kept connections to one address.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smol::Async;
use smol::future::FutureExt;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use socket2::TcpKeepalive;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::error::Run;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::read_limit::HeadLimit;
use crate::net::read_limit::LimitedStream;
use crate::net::rt;

/// Time without an answer to a keep-alive probe or to sent bytes after which
/// the kernel gives a connection up: a peer that lost power answers nothing.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Idle time before the first keep-alive probe.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);

/// Interval between keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes without answer that end a connection.
const PROBE_COUNT: u32 = 3;

/// Read buffer of a connection, in bytes; one that is full ends a head.
const MAX_BUFFER: usize = 64 << 10;

/// A connection and the count of what it reads.
#[derive(Debug)]
struct Sender {
    inner: http1::SendRequest<BoxBody>,
    head_limit: Arc<HeadLimit>,
}

common! { key
/// Bounds of the connections to one address.
pub struct Limits {
    /// Time for connecting.
    pub connect_timeout: Duration,
    /// Idle connections kept.
    pub max_idle: usize,
    /// Age at which an idle connection is no longer used.
    ///
    /// Servers close idle connections; a request that crosses the close has
    /// an open fate.
    pub max_idle_age: Duration,
}
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect_timeout: Duration::from_secs(2),
            max_idle: 32,
            max_idle_age: Duration::from_secs(60),
        }
    }
}

/// A client of one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    limits: Limits,
    idle: Mutex<Vec<(Instant, Sender)>>,
}

/// An answer together with the connection that carries it.
#[derive(Debug)]
pub struct Answer {
    /// The answer.
    pub response: Response<Incoming>,
    sender: Sender,
}

impl Client {
    /// A client of `addr`; nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Client {
        Client::with_limits(addr, Limits::default())
    }

    /// A client with its own bounds.
    pub fn with_limits(addr: SocketAddr, limits: Limits) -> Client {
        Client {
            addr,
            limits,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request once; never repeats it.
    ///
    /// An error with [`Run::NotRun`] means that nothing was sent.
    pub async fn send(&self, request: Request<BoxBody>) -> Result<Answer> {
        let sender = self.connection().await?;
        self.exchange(sender, request).await
    }

    /// Sends a request once on a connection that carried no other before.
    ///
    /// Nothing that the server still owes to an earlier request can be taken
    /// for the answer.
    pub async fn send_fresh(&self, request: Request<BoxBody>) -> Result<Answer> {
        let sender = connect(self.addr, self.limits.connect_timeout).await?;
        self.exchange(sender, request).await
    }

    async fn exchange(&self, mut sender: Sender, request: Request<BoxBody>) -> Result<Answer> {
        sender.head_limit.begin();
        match sender.inner.try_send_request(request).await {
            Ok(response) => {
                sender.head_limit.end();
                Ok(Answer { response, sender })
            }
            Err(mut failed) => {
                // The request comes back only if none of it was written.
                let run = match failed.take_message() {
                    Some(_) => Run::NotRun,
                    None => Run::Unknown,
                };
                let detail = format!("{}: {}", self.addr, failed.error());
                Err(Error::new(Code::EngineUnavailable, detail).with_run(run))
            }
        }
    }

    /// Splits an answer so that the body can be read before the connection is kept.
    pub fn split(answer: Answer) -> (Response<Incoming>, UsedConnection) {
        (answer.response, UsedConnection(answer.sender))
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn give_back(&self, kept: UsedConnection) {
        self.put(kept.0);
    }

    fn put(&self, sender: Sender) {
        if sender.inner.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let age = self.limits.max_idle_age;
        idle.retain(|(since, sender)| since.elapsed() < age && !sender.inner.is_closed());
        if idle.len() < self.limits.max_idle {
            idle.push((Instant::now(), sender));
        }
    }

    async fn connection(&self) -> Result<Sender> {
        while let Some(mut sender) = self.take() {
            // A kept connection that the server has closed fails here, before anything is sent.
            if sender.inner.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(self.addr, self.limits.connect_timeout).await
    }

    fn take(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let (since, sender) = idle.pop()?;
        if since.elapsed() < self.limits.max_idle_age {
            return Some(sender);
        }
        // The others are older still.
        idle.clear();
        None
    }
}

/// A connection waiting to be kept.
#[derive(Debug)]
pub struct UsedConnection(Sender);

async fn connect(addr: SocketAddr, limit: Duration) -> Result<Sender> {
    let stream = open(addr, limit).await?;
    let head_limit = Arc::new(HeadLimit::default());
    let io = FuturesIo::new(LimitedStream::new(stream, head_limit.clone()));
    let (inner, conn) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER)
        .handshake(io)
        .await
        .map_err(|e| Error::new(Code::EngineUnavailable, format!("{addr}: {e}")))?;
    rt::spawn(async move {
        let _ = conn.await;
    })
    .detach();
    Ok(Sender { inner, head_limit })
}

/// Connects within the usual time.
pub async fn connect_tcp(addr: SocketAddr) -> Result<Async<TcpStream>> {
    open(addr, Limits::default().connect_timeout).await
}

/// Connects within `limit`.
async fn open(addr: SocketAddr, limit: Duration) -> Result<Async<TcpStream>> {
    let opening = async { Async::<TcpStream>::connect(addr).await };
    let late = async {
        smol::Timer::after(limit).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = opening
        .or(late)
        .await
        .map_err(|e| Error::new(Code::EngineUnavailable, format!("{addr}: {e}")))?;
    set_socket_options(stream.get_ref());
    Ok(stream)
}

/// Lets the kernel end a connection whose peer has fallen silent.
///
/// A connection without these options still works, so failures are ignored.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT));
}

/// Sends a request and reads its answer whole, up to `limit` bytes.
pub async fn exchange(
    client: &Client,
    request: Request<BoxBody>,
    limit: usize,
) -> Result<(StatusCode, Bytes)> {
    let (response, kept) = Client::split(client.send(request).await?);
    let status = response.status();
    let bytes = body::read(response.into_body(), limit).await?;
    client.give_back(kept);
    Ok((status, bytes))
}

/// Runs `future` for at most `limit`.
pub async fn timeout<T>(
    limit: Duration,
    code: Code,
    future: impl Future<Output = Result<T>>,
) -> Result<T> {
    let late = async {
        smol::Timer::after(limit).await;
        let detail = format!("nothing within {} ms", limit.as_millis());
        Err(Error::new(code, detail).with_run(Run::Unknown))
    };
    future.or(late).await
}
