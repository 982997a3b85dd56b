//! Tonic services and clients over hyper's HTTP/2.

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
use crate::net::body::BoxBody;
use crate::net::body::BoxError;
use crate::net::client;
use crate::net::rt;
use crate::proto::agent_client::AgentClient;
use crate::proto::peer_client::PeerClient;

/// Largest message between own processes, in bytes.
pub const MAX_MESSAGE: usize = 4 << 20;

/// Interval of HTTP/2 pings on a connection with streams.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a pong after which a connection is given up.
const PING_TIMEOUT: Duration = Duration::from_secs(4);

type Sender = http2::SendRequest<Body>;

/// A connection to one process, opened on first use and again after a loss.
#[derive(Clone, Debug)]
pub struct Channel {
    addr: SocketAddr,
    link: Arc<smol::lock::Mutex<Link>>,
}

#[derive(Debug, Default)]
struct Link {
    sender: Option<Sender>,
    /// When the last attempt to connect failed, and why.
    failed: Option<(Instant, Error)>,
}

impl Channel {
    /// A channel to `addr`; nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Channel {
        Channel {
            addr,
            link: Arc::default(),
        }
    }

    /// The connection in use, or a new one.
    ///
    /// Callers that waited for an attempt which failed share its error: with an
    /// attempt each, the last of many would wait for all time-outs before its own.
    async fn ready(&self) -> Result<Sender> {
        let begin = Instant::now();
        let mut link = self.link.lock().await;
        if let Some(sender) = &link.sender
            && !sender.is_closed()
        {
            return Ok(sender.clone());
        }
        if let Some((at, error)) = &link.failed
            && *at >= begin
        {
            return Err(error.clone());
        }
        match connect(self.addr).await {
            Ok(sender) => {
                link.sender = Some(sender.clone());
                Ok(sender)
            }
            Err(error) => {
                link.failed = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<Sender> {
    let io = FuturesIo::new(client::connect_tcp(addr).await?);
    let (sender, conn) = http2::Builder::new(rt::Spawner)
        .timer(SmolTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(1 << 20)
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
            let mut sender = channel.ready().await.map_err(|e| unsent(&e))?;
            Ok(sender.send_request(absolute(request, channel.addr)).await?)
        })
    }
}

/// Metadata of a status that was made here because nothing could be sent.
const UNSENT: &str = "unsent";

/// The status of a call for which there was no connection.
fn unsent(error: &Error) -> tonic::Status {
    let mut status = to_status(error);
    status
        .metadata_mut()
        .insert(UNSENT, tonic::metadata::MetadataValue::from_static("1"));
    status
}

/// HTTP/2 requests need a scheme and an authority, which generated clients leave out.
fn absolute(request: Request<Body>, addr: SocketAddr) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path().to_string();
    let uri = format!("http://{addr}{path}");
    if let Ok(uri) = uri.parse() {
        parts.uri = uri;
    }
    Request::from_parts(parts, body)
}

/// Channels to other processes, by address.
#[derive(Clone, Debug, Default)]
pub struct Channels {
    held: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl Channels {
    /// The channel to `addr`.
    pub fn get(&self, addr: SocketAddr) -> Channel {
        let mut held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.entry(addr)
            .or_insert_with(|| Channel::new(addr))
            .clone()
    }

    /// A client of the agent at `addr`.
    pub fn agent(&self, addr: SocketAddr) -> AgentClient<Channel> {
        AgentClient::new(self.get(addr)).max_decoding_message_size(MAX_MESSAGE)
    }

    /// A client of the peer at `addr`.
    pub fn peer(&self, addr: SocketAddr) -> PeerClient<Channel> {
        PeerClient::new(self.get(addr)).max_decoding_message_size(MAX_MESSAGE)
    }

    /// Drops channels whose address is not in `keep`.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        let mut held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.retain(|addr, _| keep(*addr));
    }
}

/// Answers one HTTP/2 request with a generated tonic service.
pub async fn answer<S>(mut service: S, request: Request<Incoming>) -> Response<BoxBody>
where
    S: Service<Request<Body>, Response = Response<Body>, Error = std::convert::Infallible>,
{
    let request = request.map(Body::new);
    match service.call(request).await {
        Ok(response) => response.map(|body| body.map_err(BoxError::from).boxed_unsync()),
        Err(never) => match never {},
    }
}

/// Waits at most `limit` for the reply of a call.
pub async fn call<T>(
    limit: Duration,
    call: impl Future<Output = std::result::Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T> {
    let reply = async {
        let reply = call.await.map_err(|s| from_status(&s))?;
        Ok(reply.into_inner())
    };
    client::timeout(limit, Code::RpcFailed, reply).await
}

/// The library's error for a failed call.
///
/// Whether the call ran is not known, unless there was no connection to send it on.
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

/// The status that carries an error to another process.
pub fn to_status(error: &Error) -> tonic::Status {
    let mut status = tonic::Status::unavailable(error.detail.clone());
    if let Ok(value) = error.code.number().to_string().parse() {
        status.metadata_mut().insert("code", value);
    }
    status
}
