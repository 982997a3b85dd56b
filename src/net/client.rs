//! HTTP/1.1 client with kept connections to one address.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smol::Async;
use smol::future::FutureExt;
use smol_hyper::rt::FuturesIo;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::error::Run;
use crate::net::body::BoxBody;
use crate::net::rt;

/// Idle connections kept to one address.
const MAX_IDLE: usize = 32;

/// Time for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

type Sender = http1::SendRequest<BoxBody>;

/// A client of one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    idle: Mutex<Vec<Sender>>,
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
        Client {
            addr,
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
        let mut sender = self.connection().await?;
        match sender.send_request(request).await {
            Ok(response) => Ok(Answer { response, sender }),
            Err(error) => {
                let detail = format!("{}: {error}", self.addr);
                Err(Error::new(Code::EngineUnavailable, detail).with_run(Run::Unknown))
            }
        }
    }

    /// Splits an answer so that the body can be read before the connection is kept.
    pub fn split(answer: Answer) -> (Response<Incoming>, Kept) {
        (answer.response, Kept(answer.sender))
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn give_back(&self, kept: Kept) {
        self.put(kept.0);
    }

    fn put(&self, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }

    async fn connection(&self) -> Result<Sender> {
        while let Some(mut sender) = self.take() {
            // A kept connection that the server has closed fails here, before anything is sent.
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(self.addr).await
    }

    fn take(&self) -> Option<Sender> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner()).pop()
    }
}

/// A connection waiting to be kept.
#[derive(Debug)]
pub struct Kept(Sender);

async fn connect(addr: SocketAddr) -> Result<Sender> {
    let stream = tcp(addr).await?;
    let io = FuturesIo::new(stream);
    let (sender, conn) = http1::handshake(io)
        .await
        .map_err(|e| Error::new(Code::EngineUnavailable, format!("{addr}: {e}")))?;
    rt::spawn(async move {
        let _ = conn.await;
    })
    .detach();
    Ok(sender)
}

/// Connects within [`CONNECT_TIMEOUT`].
pub async fn tcp(addr: SocketAddr) -> Result<Async<TcpStream>> {
    let open = async { Async::<TcpStream>::connect(addr).await };
    let late = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = open
        .or(late)
        .await
        .map_err(|e| Error::new(Code::EngineUnavailable, format!("{addr}: {e}")))?;
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
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
