//! Stand-in for the platform's store: one revision over all keys, listings and
//! calls that wait for changes.

use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Default)]
struct State {
    revision: u64,
    /// Every write in order: key, revision, value; no value for a removal.
    log: Vec<(String, u64, Option<String>)>,
    /// When each write was made.
    times: Vec<Instant>,
}

/// Time for which changes can be read, as `platform.history_s` says.
const HISTORY: Duration = Duration::from_secs(20);

impl State {
    /// Returns true when changes after `after` are no longer available.
    fn is_compacted(&self, after: u64) -> bool {
        let next = self
            .log
            .iter()
            .position(|(_, revision, _)| *revision > after);
        next.is_some_and(|index| self.times[index].elapsed() > HISTORY)
    }
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start(ip: IpAddr) -> (Store, SocketAddr) {
        let store = Store::default();
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let addr = listener.local_addr().expect("an address");
        let held = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let held = held.clone();
                thread::spawn(move || held.serve(stream));
            }
        });
        (store, addr)
    }

    /// Writes a value, or removes the key; returns when the change is acknowledged.
    pub fn put(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.log.push((key.to_string(), revision, value));
        state.times.push(Instant::now());
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(request) = http::read(&mut reader) {
            let path = request.path().to_string();
            let field = |name: &str| {
                let query = path.split_once('?').map_or("", |(_, q)| q);
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(n, _)| *n == name)
                    .map(|(_, v)| v.to_string())
                    .unwrap_or_default()
            };
            let body = if path.starts_with("/api/kv-watch") {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait: u64 = field("wait_ms").parse().unwrap_or(0);
                if self.state.0.lock().unwrap().is_compacted(after) {
                    let _ = http::answer(&stream, 410, &[], b"");
                    continue;
                }
                self.events(after, Duration::from_millis(wait))
            } else if path.starts_with("/api/kv-range") {
                self.items(&field("prefix"), &field("after"))
            } else {
                let _ = http::answer(&stream, 404, &[], b"");
                continue;
            };
            let kind = [("Content-Type", "application/json")];
            if http::answer(&stream, 200, &kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn events(&self, after: u64, wait: Duration) -> String {
        let (state, changed) = &*self.state;
        let end = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        while state.revision <= after {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let newer = state
            .log
            .iter()
            .filter(|(_, revision, _)| *revision > after);
        let events: Vec<String> = newer.map(|(k, r, v)| item(k, *r, v.as_deref())).collect();
        format!(
            "{{\"events\":[{}],\"store_revision\":{}}}",
            events.join(","),
            state.revision
        )
    }

    fn items(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let mut live: std::collections::BTreeMap<&str, (u64, &str)> = Default::default();
        for (key, revision, value) in &state.log {
            match value {
                Some(value) => live.insert(key, (*revision, value)),
                None => live.remove(key.as_str()),
            };
        }
        let listed = live
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && **k > after);
        let items: Vec<String> = listed.map(|(k, (r, v))| item(k, *r, Some(v))).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"removed\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= part.len() {
                let digit = word >> (18 - 6 * index) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
