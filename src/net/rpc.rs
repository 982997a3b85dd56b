//! Remote calls between the processes of this system: clients and services of tonic
//! over HTTP/2 connections of hyper.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use tonic::body::Body;
use tower_service::Service;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::error::Run;
use crate::net::body;
use crate::net::body::BoxBody;
use crate::net::body::BoxError;
use crate::net::body::ReadLimits;
use crate::net::client;
use crate::net::reserve::Hold;
use crate::net::rt;
use crate::proto::agent_client::AgentClient;
use crate::proto::peer_client::PeerClient;

/// Largest message between processes, in bytes.
pub const MAX_MESSAGE: usize = 4 << 20;

/// Window of a stream, in bytes: weights cross links with long round trips.
const WINDOW: u32 = 1 << 20;

/// Bytes before a message: its length and whether it is compressed.
const MESSAGE_HEAD: usize = 5;

/// Copies of a message while it is decoded: as it came, in one piece, and its fields.
const COPIES: usize = 3;

/// Interval of HTTP/2 pings on a connection with open streams.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time without an answer to a ping after which a connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(4);

type Sender = http2::SendRequest<Body>;

/// Connection to one process, which is opened on first use and again after it is lost.
/// Clones share it.
#[derive(Clone, Debug)]
pub struct Channel {
    addr: SocketAddr,
    window: u32,
    connection: Arc<smol::lock::Mutex<Connection>>,
}

#[derive(Debug, Default)]
struct Connection {
    sender: Option<Sender>,
    /// When the last attempt to connect failed, and why.
    last_failure: Option<(Instant, Error)>,
}

impl Channel {
    /// Creates a channel to `addr` with this window of a stream, in bytes; it connects on the
    /// first call.
    pub fn new(addr: SocketAddr, window: u32) -> Channel {
        Channel {
            addr,
            window,
            connection: Arc::default(),
        }
    }

    /// Returns the open connection, or opens one.
    ///
    /// Tasks that waited while another failed to connect get its error. If each tried to
    /// connect itself, the last of many would wait for the time-outs of all before it.
    async fn open(&self) -> Result<Sender> {
        let asked_at = Instant::now();
        let mut connection = self.connection.lock().await;
        if let Some(sender) = &connection.sender
            && !sender.is_closed()
        {
            return Ok(sender.clone());
        }
        if let Some((at, error)) = &connection.last_failure
            && *at >= asked_at
        {
            return Err(error.clone());
        }
        match connect(self.addr, self.window).await {
            Ok(sender) => {
                connection.sender = Some(sender.clone());
                Ok(sender)
            }
            Err(error) => {
                connection.last_failure = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }
}

async fn connect(addr: SocketAddr, window: u32) -> Result<Sender> {
    let io = FuturesIo::new(client::connect_tcp(addr).await?);
    let (sender, conn) = http2::Builder::new(rt::Spawner)
        .timer(SmolTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(window)
        .initial_connection_window_size(4 << 20)
        .handshake(io)
        .await
        .map_err(|e| Error::new(Code::RpcFailed, format!("{addr}: {e}")))?;
    rt::spawn(async move {
        let _ = conn.await;
    })
    .detach();
    Ok(sender)
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = BoxError;
    type Future =
        Pin<Box<dyn Future<Output = std::result::Result<Response<Incoming>, BoxError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<std::result::Result<(), BoxError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        let channel = self.clone();
        Box::pin(async move {
            let mut sender = channel.open().await.map_err(|e| unsent_status(&e))?;
            Ok(sender
                .send_request(with_authority(request, channel.addr))
                .await?)
        })
    }
}

/// Key of the metadata that marks a status made by this process because there was no
/// connection to send the call on.
const UNSENT: &str = "unsent";

/// Returns the status of a call for which there was no connection.
fn unsent_status(error: &Error) -> tonic::Status {
    let mut status = to_status(error);
    status
        .metadata_mut()
        .insert(UNSENT, tonic::metadata::MetadataValue::from_static("1"));
    status
}

/// Adds the scheme and the authority, which HTTP/2 requires and generated clients leave
/// out, to the URI of a request.
fn with_authority(request: Request<Body>, addr: SocketAddr) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path().to_string();
    let uri = format!("http://{addr}{path}");
    if let Ok(uri) = uri.parse() {
        parts.uri = uri;
    }
    Request::from_parts(parts, body)
}

/// Channels to other processes, by address. Clones share them.
#[derive(Clone, Debug)]
pub struct Channels {
    by_addr: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
    /// Window of a stream, in bytes.
    window: u32,
}

impl Default for Channels {
    fn default() -> Channels {
        Channels::with_window(WINDOW)
    }
}

impl Channels {
    /// Creates channels on which at most `window` bytes of a stream arrive unread.
    pub fn with_window(window: u32) -> Channels {
        Channels {
            by_addr: Arc::default(),
            window,
        }
    }

    /// Returns the channel to `addr`, and creates it on first use.
    pub fn get(&self, addr: SocketAddr) -> Channel {
        let mut channels = self.by_addr.lock().unwrap_or_else(|e| e.into_inner());
        channels
            .entry(addr)
            .or_insert_with(|| Channel::new(addr, self.window))
            .clone()
    }

    /// Returns a client of the agent at `addr`.
    pub fn agent(&self, addr: SocketAddr) -> AgentClient<Channel> {
        AgentClient::new(self.get(addr)).max_decoding_message_size(MAX_MESSAGE)
    }

    /// Returns a client of the peer at `addr`.
    pub fn peer(&self, addr: SocketAddr) -> PeerClient<Channel> {
        PeerClient::new(self.get(addr)).max_decoding_message_size(MAX_MESSAGE)
    }

    /// Drops the channels for whose address `keep` returns false.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        let mut channels = self.by_addr.lock().unwrap_or_else(|e| e.into_inner());
        channels.retain(|addr, _| keep(*addr));
    }
}

/// Answers one HTTP/2 request with `service`, a generated tonic service.
pub async fn answer<S>(mut service: S, request: Request<Incoming>) -> Response<BoxBody>
where
    S: Service<Request<Body>, Response = Response<Body>, Error = std::convert::Infallible>,
{
    // Messages are read whole before a service gets them, so their memory is reserved here.
    let (mut parts, incoming) = request.into_parts();
    let hold = parts.extensions.remove::<Hold>();
    let body = match hold {
        Some(hold) => {
            let limits = ReadLimits {
                length: MAX_MESSAGE + MESSAGE_HEAD,
                copies: COPIES,
            };
            match body::read_request_reserved(incoming, limits, &hold).await {
                Ok(bytes) => Body::new(Full::new(bytes)),
                Err(error) => {
                    let status: Response<Body> = to_status(&error).into_http();
                    return status.map(|body| body.map_err(BoxError::from).boxed_unsync());
                }
            }
        }
        None => Body::new(incoming),
    };
    match service.call(Request::from_parts(parts, body)).await {
        Ok(response) => response.map(|body| body.map_err(BoxError::from).boxed_unsync()),
        Err(never) => match never {},
    }
}

/// Makes a remote call and waits for its reply for at most `limit`.
///
/// Fails with [`Code::RpcFailed`] after that time.
pub async fn call<T>(
    limit: Duration,
    future: impl Future<Output = std::result::Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T> {
    let reply = async {
        let reply = future.await.map_err(|s| from_status(&s))?;
        Ok(reply.into_inner())
    };
    client::timeout(limit, Code::RpcFailed, reply).await
}

/// Returns the error of a failed call.
///
/// It is unknown whether the call was run, unless there was no connection to send it
/// on.
pub fn from_status(status: &tonic::Status) -> Error {
    let number = status
        .metadata()
        .get("code")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let run = match status.metadata().contains_key(UNSENT) {
        true => Run::NotRun,
        false => Run::Unknown,
    };
    match number.and_then(Code::from_number) {
        Some(code) => Error::new(code, status.message()).with_run(run),
        None => Error::new(Code::RpcFailed, status.to_string()).with_run(Run::Unknown),
    }
}

/// Returns the status that carries an error to another process.
pub fn to_status(error: &Error) -> tonic::Status {
    let mut status = tonic::Status::unavailable(error.detail.clone());
    if let Ok(value) = error.code.number().to_string().parse() {
        status.metadata_mut().insert("code", value);
    }
    status
}
