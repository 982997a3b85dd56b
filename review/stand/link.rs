//! A link of limited bandwidth between two regions: connections to one address that
//! share the rate at which bytes come back.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are passed on at once.
const PART: usize = 8 << 10;

/// Starts a link to `target` and returns the address at which it is reached. `rate` is
/// in bytes a second.
pub fn start(ip: IpAddr, target: SocketAddr, rate: f64) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a port for the link");
    let addr = listener.local_addr().expect("an address");
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                continue;
            };
            let free_at = free_at.clone();
            thread::spawn(move || copy(near_copy, far_copy, |_| {}));
            thread::spawn(move || {
                copy(far, near, |count| {
                    let span = Duration::from_secs_f64(count as f64 / rate);
                    let until = {
                        let mut free_at = free_at.lock().unwrap();
                        *free_at = (*free_at).max(Instant::now()) + span;
                        *free_at
                    };
                    thread::sleep(until.saturating_duration_since(Instant::now()));
                })
            });
        }
    });
    addr
}

fn copy(mut from: TcpStream, mut to: TcpStream, pace: impl Fn(usize)) {
    let mut part = vec![0; PART];
    while let Ok(count) = from.read(&mut part) {
        if count == 0 {
            break;
        }
        pace(count);
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
