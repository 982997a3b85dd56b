//! HTTP/1.1 client of one address, which uses connections again.

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
use crate::net::body::SteadyBody;
use crate::net::read_limit::HeadLimit;
use crate::net::read_limit::LimitedStream;
use crate::net::rt;

/// Time without an acknowledgement of sent bytes or keep-alive probes after which the
/// kernel closes a connection. A peer that has lost power acknowledges nothing.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Idle time of a connection before the first keep-alive probe.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);

/// Interval between keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of unanswered keep-alive probes after which the kernel closes a connection.
const PROBE_COUNT: u32 = 3;

/// Largest read buffer of a connection, in bytes; an answer's head must fit into it.
const MAX_BUFFER: usize = 64 << 10;

/// Connection with the limit on the head of its next answer.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<BoxBody>,
    head_limit: Arc<HeadLimit>,
}

common! { key
/// Limits on the connections to one address.
pub struct Limits {
    /// Longest time for connecting.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections kept.
    pub max_idle: usize,
    /// Idle time after which a connection is not used again.
    ///
    /// Servers close idle connections. When a server closes one just as a request is
    /// sent on it, it is unknown whether the request was run.
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

/// HTTP/1.1 client of one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    limits: Limits,
    /// Idle connections with the time since when they are idle, the latest last.
    idle: Mutex<Vec<(Instant, Connection)>>,
}

/// Answer with the connection on which its body arrives.
#[derive(Debug)]
pub struct Answer {
    /// Head and body of the answer.
    pub response: Response<Incoming>,
    connection: Connection,
}

impl Client {
    /// Creates a client of `addr` with the default limits; it connects on the first
    /// request.
    pub fn new(addr: SocketAddr) -> Client {
        Client::with_limits(addr, Limits::default())
    }

    /// Creates a client of `addr` with these limits; it connects on the first request.
    pub fn with_limits(addr: SocketAddr, limits: Limits) -> Client {
        Client {
            addr,
            limits,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request once, on an idle connection or a new one, and waits for the head
    /// of the answer.
    ///
    /// After an error with [`Run::NotRun`] nothing of the request was sent; after other
    /// errors it is unknown whether it was run.
    pub async fn send(&self, request: Request<BoxBody>) -> Result<Answer> {
        let connection = self.idle_or_new().await?;
        self.exchange(connection, request).await
    }

    /// Sends a request once, on a new connection.
    ///
    /// No late answer to an earlier request can be taken for the answer to this one.
    pub async fn send_fresh(&self, request: Request<BoxBody>) -> Result<Answer> {
        self.send_checked(request, true, || Ok(())).await
    }

    /// Sends a request once, on a new connection if `is_fresh` as by [`Client::send_fresh`].
    ///
    /// `check` is called once the connection is open. If it fails, nothing is sent and its
    /// error is returned.
    pub async fn send_checked(
        &self,
        request: Request<BoxBody>,
        is_fresh: bool,
        check: impl FnOnce() -> Result<()>,
    ) -> Result<Answer> {
        let connection = if is_fresh {
            connect(self.addr, self.limits.connect_timeout).await?
        } else {
            self.idle_or_new().await?
        };
        if let Err(error) = check() {
            self.keep(connection);
            return Err(error);
        }
        self.exchange(connection, request).await
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<BoxBody>,
    ) -> Result<Answer> {
        connection.head_limit.begin_head();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.head_limit.end_head();
                Ok(Answer {
                    response,
                    connection,
                })
            }
            Err(mut failed) => {
                // hyper returns the request only if none of it was written.
                let run = match failed.take_message() {
                    Some(_) => Run::NotRun,
                    None => Run::Unknown,
                };
                let detail = format!("{}: {}", self.addr, failed.error());
                Err(Error::new(Code::EngineUnavailable, detail).with_run(run))
            }
        }
    }

    /// Splits an answer into the response and its connection, which may be given back
    /// once the body has been read.
    pub fn split(answer: Answer) -> (Response<Incoming>, UsedConnection) {
        (answer.response, UsedConnection(answer.connection))
    }

    /// Keeps a connection for further requests. The answer on it must have been read to
    /// its end.
    pub fn give_back(&self, used: UsedConnection) {
        self.keep(used.0);
    }

    fn keep(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let age = self.limits.max_idle_age;
        idle.retain(|(since, connection)| since.elapsed() < age && !connection.sender.is_closed());
        if idle.len() < self.limits.max_idle {
            idle.push((Instant::now(), connection));
        }
    }

    async fn idle_or_new(&self) -> Result<Connection> {
        while let Some(mut connection) = self.take_idle() {
            // A connection that the server has closed fails here, before anything is sent.
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        connect(self.addr, self.limits.connect_timeout).await
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let (since, connection) = idle.pop()?;
        if since.elapsed() < self.limits.max_idle_age {
            return Some(connection);
        }
        // The other connections have been idle for longer.
        idle.clear();
        None
    }
}

/// Connection whose answer is being read; see [`Client::give_back`].
#[derive(Debug)]
pub struct UsedConnection(Connection);

async fn connect(addr: SocketAddr, limit: Duration) -> Result<Connection> {
    let stream = open(addr, limit).await?;
    let head_limit = Arc::new(HeadLimit::default());
    let io = FuturesIo::new(LimitedStream::new(stream, head_limit.clone()));
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER)
        // Otherwise a body is copied into a buffer that the connection keeps while it is idle.
        .writev(true)
        .handshake(io)
        .await
        .map_err(|e| Error::new(Code::EngineUnavailable, format!("{addr}: {e}")))?;
    rt::spawn(async move {
        let _ = conn.await;
    })
    .detach();
    Ok(Connection { sender, head_limit })
}

/// Opens a TCP connection within the default time.
pub async fn connect_tcp(addr: SocketAddr) -> Result<Async<TcpStream>> {
    open(addr, Limits::default().connect_timeout).await
}

/// Opens a TCP connection within `limit`.
async fn open(addr: SocketAddr, limit: Duration) -> Result<Async<TcpStream>> {
    let connecting = async { Async::<TcpStream>::connect(addr).await };
    let timed_out = async {
        smol::Timer::after(limit).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = connecting
        .or(timed_out)
        .await
        .map_err(|e| Error::new(connect_code(&e), format!("{addr}: {e}")))?;
    set_socket_options(stream.get_ref());
    Ok(stream)
}

/// Returns the code of a connection that cannot be opened. One that is refused shows that
/// the process at the address has ended, one that times out does not.
fn connect_code(error: &std::io::Error) -> Code {
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        Code::ConnectionRefused
    } else {
        Code::EngineUnavailable
    }
}

/// Sends small writes at once, and lets the kernel close the connection when its peer
/// no longer acknowledges anything.
///
/// A connection also works without these options, so failures are ignored.
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

/// Sends a request and reads the whole answer, whose body may have up to `limit`
/// bytes.
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

/// Time limits of a call whose answer may be large.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Longest time until the head of the answer.
    pub head: Duration,
    /// Longest time without any byte of its body.
    pub stall: Duration,
    /// Longest time of the whole call, for a server that sends a byte now and then.
    pub total: Duration,
}

/// Sends a request and reads the whole answer as [`exchange`] does, for as long as it
/// arrives. Fails with `code` when a limit is exceeded. Calls `on_data` for each part of the
/// body.
pub async fn exchange_steadily(
    client: &Client,
    request: Request<BoxBody>,
    limit: usize,
    patience: Patience,
    code: Code,
    on_data: impl FnMut() + Send + 'static,
) -> Result<Response<Bytes>> {
    let whole = async {
        let answer = timeout(patience.head, code, client.send(request)).await?;
        let (response, kept) = Client::split(answer);
        let (head, incoming) = response.into_parts();
        let steady = SteadyBody::new(incoming, patience.stall, on_data);
        let bytes = body::read(steady, limit)
            .await
            .map_err(|error| match error.code {
                Code::BodyTooLarge => error,
                _ => Error::new(code, error.detail),
            })?;
        client.give_back(kept);
        Ok(Response::from_parts(head, bytes))
    };
    timeout(patience.total, code, whole).await
}

/// Waits for `future` for at most `limit`. After that time it is dropped, and the result
/// is an error with `code`; it is then unknown whether the request was run.
pub async fn timeout<T>(
    limit: Duration,
    code: Code,
    future: impl Future<Output = Result<T>>,
) -> Result<T> {
    let timed_out = async {
        smol::Timer::after(limit).await;
        let detail = format!("nothing within {} ms", limit.as_millis());
        Err(Error::new(code, detail).with_run(Run::Unknown))
    };
    future.or(timed_out).await
}
