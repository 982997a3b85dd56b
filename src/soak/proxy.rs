//! TCP proxy on loopback that can delay, reset or block the connections
//! through it, in both directions or only for answers.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;

use smol::Async;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;

use crate::net::client;
use crate::net::rt;
use crate::net::server;
use crate::prelude::*;
use crate::util::lock;

/// Interval at which a blocked connection checks whether its fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

common! { key
/// What a proxy does with the bytes of its connections.
pub enum Fault {
    /// Forwards them.
    None,
    /// Forwards each read after this delay, in milliseconds.
    Delay(u64),
    /// Closes open connections and each new one.
    Reset,
    /// Forwards nothing in either direction; connections stay open.
    Silence,
    /// Forwards requests but no answers.
    OneWay,
}
}

/// A proxy to one address; clones share its fault.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: SocketAddr,
    fault: Arc<Mutex<Fault>>,
}

/// Returns the address that a listener is bound to.
pub fn local_addr(listener: &Async<TcpListener>) -> Result<SocketAddr> {
    let addr = listener.get_ref().local_addr();
    addr.map_err(|e| Error::new(Code::ListenFailed, e.to_string()))
}

impl Proxy {
    /// Starts a proxy to `target` on a free port of `ip`; it runs until the process ends.
    pub fn start(ip: IpAddr, target: SocketAddr) -> Result<Proxy> {
        let listener = server::bind(SocketAddr::new(ip, 0))?;
        let proxy = Proxy {
            addr: local_addr(&listener)?,
            fault: Arc::new(Mutex::new(Fault::None)),
        };
        let served = proxy.clone();
        rt::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    smol::Timer::after(POLL_INTERVAL).await;
                    continue;
                };
                rt::spawn(served.clone().forward_connection(stream, target)).detach();
            }
        })
        .detach();
        Ok(proxy)
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault from now on, also for open connections.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    fn fault(&self) -> Fault {
        *lock(&self.fault)
    }

    /// Forwards one connection until either side closes it or the fault is a reset.
    async fn forward_connection(self, client_stream: Async<TcpStream>, target: SocketAddr) {
        if self.fault() == Fault::Reset {
            return;
        }
        let Ok(target_stream) = client::connect_tcp(target).await else {
            return;
        };
        let (near, far) = (Arc::new(client_stream), Arc::new(target_stream));
        let requests = self.forward(near.clone(), far.clone(), false);
        let answers = self.forward(far, near, true);
        let reset = async {
            while self.fault() != Fault::Reset {
                smol::Timer::after(POLL_INTERVAL).await;
            }
        };
        // The end of either direction closes both, as after a reset.
        requests.or(answers).or(reset).await;
    }

    /// Copies bytes from `from` to `to` as the current fault permits.
    async fn forward(
        &self,
        from: Arc<Async<TcpStream>>,
        to: Arc<Async<TcpStream>>,
        is_answer: bool,
    ) {
        let (mut reader, mut writer) = (&*from, &*to);
        let mut buffer = vec![0; 16 << 10];
        loop {
            let Ok(count) = reader.read(&mut buffer).await else {
                return;
            };
            if count == 0 {
                return;
            }
            loop {
                match self.fault() {
                    Fault::Silence => {}
                    Fault::OneWay if is_answer => {}
                    Fault::Delay(ms) => {
                        smol::Timer::after(Duration::from_millis(ms)).await;
                        break;
                    }
                    _ => break,
                }
                smol::Timer::after(POLL_INTERVAL).await;
            }
            if writer.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}
