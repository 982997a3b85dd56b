//! Loopback proxy that delays, resets, silences or cuts connections one way.

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

/// Interval at which a held connection looks whether its fault has ended.
const POLL: Duration = Duration::from_millis(20);

common! { key
/// What a link does with bytes.
pub enum Fault {
    /// Passes them on.
    None,
    /// Passes them on after a time, in milliseconds.
    Delay(u64),
    /// Resets connections.
    Reset,
    /// Passes nothing on, in both directions.
    Silence,
    /// Passes requests on, and no answers.
    OneWay,
}
}

/// A link to one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: SocketAddr,
    fault: Arc<Mutex<Fault>>,
}

/// Address that a listener is bound to.
pub fn local(listener: &Async<TcpListener>) -> Result<SocketAddr> {
    let addr = listener.get_ref().local_addr();
    addr.map_err(|e| Error::new(Code::ListenFailed, e.to_string()))
}

impl Proxy {
    /// Starts a link on a port of `ip`.
    pub fn start(ip: IpAddr, target: SocketAddr) -> Result<Proxy> {
        let listener = server::bind(SocketAddr::new(ip, 0))?;
        let proxy = Proxy {
            addr: local(&listener)?,
            fault: Arc::new(Mutex::new(Fault::None)),
        };
        let held = proxy.clone();
        rt::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    smol::Timer::after(POLL).await;
                    continue;
                };
                rt::spawn(held.clone().connection(stream, target)).detach();
            }
        })
        .detach();
        Ok(proxy)
    }

    /// Where to connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what the link does from now on, also to open connections.
    pub fn set(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    fn fault(&self) -> Fault {
        *lock(&self.fault)
    }

    async fn connection(self, near: Async<TcpStream>, target: SocketAddr) {
        if self.fault() == Fault::Reset {
            return;
        }
        let Ok(far) = client::connect_tcp(target).await else {
            return;
        };
        let (near, far) = (Arc::new(near), Arc::new(far));
        let there = self.pass(near.clone(), far.clone(), false);
        let back = self.pass(far, near, true);
        let reset = async {
            while self.fault() != Fault::Reset {
                smol::Timer::after(POLL).await;
            }
        };
        // Either direction's end closes both, as a reset would.
        there.or(back).or(reset).await;
    }

    async fn pass(&self, from: Arc<Async<TcpStream>>, to: Arc<Async<TcpStream>>, is_answer: bool) {
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
                smol::Timer::after(POLL).await;
            }
            if writer.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}
