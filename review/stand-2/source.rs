//! Connections from a chosen loopback address, so that a process sees several sources. The
//! standard library can't bind a socket before it connects.

use std::ffi::c_int;
use std::ffi::c_void;
use std::io::Error;
use std::io::Result;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::time::Duration;

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// `struct timeval` of 64-bit Linux.
#[repr(C)]
struct Time {
    seconds: i64,
    micros: i64,
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn bind(socket: c_int, address: *const Address, length: u32) -> c_int;
    fn connect(socket: c_int, address: *const Address, length: u32) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
}

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOCK_CLOEXEC: c_int = 0o2_000_000;
const SOL_SOCKET: c_int = 1;
const SO_SNDTIMEO: c_int = 21;

fn address(ip: Ipv4Addr, port: u16) -> Address {
    Address {
        family: AF_INET as u16,
        port: port.to_be_bytes(),
        ip: ip.octets(),
        zero: [0; 8],
    }
}

fn check(result: c_int) -> Result<c_int> {
    if result < 0 {
        Err(Error::last_os_error())
    } else {
        Ok(result)
    }
}

/// Connects from `source` to `target` within `limit`.
pub fn connect_from(source: Ipv4Addr, target: SocketAddr, limit: Duration) -> Result<TcpStream> {
    let SocketAddr::V4(target) = target else {
        return Err(std::io::ErrorKind::Unsupported.into());
    };
    let length = size_of::<Address>() as u32;
    let time = Time {
        seconds: limit.as_secs() as i64,
        micros: i64::from(limit.subsec_micros()),
    };
    // SAFETY: the structures have the layout of the C library and live during the calls, and the
    // descriptor is owned by the stream from its creation on.
    unsafe {
        let descriptor = check(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))?;
        let stream = TcpStream::from_raw_fd(descriptor);
        let value = (&raw const time).cast();
        check(setsockopt(
            descriptor,
            SOL_SOCKET,
            SO_SNDTIMEO,
            value,
            size_of::<Time>() as u32,
        ))?;
        check(bind(descriptor, &address(source, 0), length))?;
        check(connect(
            descriptor,
            &address(*target.ip(), target.port()),
            length,
        ))?;
        Ok(stream)
    }
}
