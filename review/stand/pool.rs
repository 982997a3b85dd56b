//! Runner processes with their registrations: started again some seconds after they
//! end, under a new id, as the platform does.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::fleet::{unix_ms, Record};
use crate::store::Store;

/// Time from the end of a runner to its next start.
pub const DOWN: Duration = Duration::from_millis(2_000);

/// Time without a heartbeat after which the store drops a registration: three intervals.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// One line that a runner has written, with its time in milliseconds.
#[derive(Clone, Debug)]
pub struct Seen {
    pub ms: u64,
    pub text: String,
}

/// What all runners have written.
pub type Log = Arc<Mutex<Vec<Seen>>>;

/// Runners of one service on one address each.
pub struct Pool {
    stop: Arc<AtomicBool>,
    children: Arc<Mutex<Vec<Child>>>,
    keepers: Vec<JoinHandle<()>>,
}

pub struct Spec<'a> {
    pub service: &'a str,
    pub zones: &'a [&'a str],
    pub ip: IpAddr,
    pub deadly: &'a str,
}

impl Pool {
    /// Starts one runner in each of the zones.
    pub fn start(spec: &Spec<'_>, store: &Store, record: &Arc<Record>, log: &Log) -> Pool {
        let stop = Arc::new(AtomicBool::new(false));
        let children = Arc::new(Mutex::new(Vec::new()));
        let mut keepers = Vec::new();
        for (index, zone) in spec.zones.iter().enumerate() {
            let keeper = Keeper {
                service: spec.service.to_string(),
                zone: zone.to_string(),
                ip: spec.ip,
                deadly: spec.deadly.to_string(),
                place: index,
                store: store.clone(),
                record: record.clone(),
                log: log.clone(),
                stop: stop.clone(),
                children: children.clone(),
            };
            keepers.push(thread::spawn(move || keeper.run()));
        }
        Pool {
            stop,
            children,
            keepers,
        }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
        }
        for keeper in self.keepers {
            let _ = keeper.join();
        }
    }
}

struct Keeper {
    service: String,
    zone: String,
    ip: IpAddr,
    deadly: String,
    place: usize,
    store: Store,
    record: Arc<Record>,
    log: Log,
    stop: Arc<AtomicBool>,
    children: Arc<Mutex<Vec<Child>>>,
}

impl Keeper {
    fn run(&self) {
        let mut addr = SocketAddr::new(self.ip, 0);
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("i-{}-{}-{number}", self.service, self.place);
            if let Some(used) = self.one_life(addr, &id) {
                addr = used;
            }
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            self.record.line(&format!("runner {id} has ended"));
            let (store, key) = (self.store.clone(), format!("servers/{id}"));
            thread::spawn(move || {
                thread::sleep(EXPIRY);
                store.put(&key, None);
            });
            thread::sleep(DOWN);
        }
    }

    /// Runs one process until it ends; returns its address.
    fn one_life(&self, addr: SocketAddr, id: &str) -> Option<SocketAddr> {
        let program = std::env::current_exe().ok()?;
        let mut child = Command::new(program)
            .args(["runner", &addr.to_string(), id, &self.deadly])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .ok()?;
        let out = child.stdout.take()?;
        let pid = child.id();
        self.children.lock().unwrap().push(child);
        let mut used = None;
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            let ms = self.record.ms();
            if let Some(text) = line.strip_prefix("up ") {
                used = text.parse().ok();
                self.register(id, text);
            }
            self.record.line(&format!("runner: {line}"));
            self.log.lock().unwrap().push(Seen { ms, text: line });
        }
        let mut children = self.children.lock().unwrap();
        if let Some(index) = children.iter().position(|c| c.id() == pid) {
            let mut child = children.swap_remove(index);
            drop(children);
            let _ = child.kill();
            let _ = child.wait();
        }
        used
    }

    fn register(&self, id: &str, addr: &str) {
        let doc = format!(
            "{{\"service\":\"{}\",\"address\":\"{addr}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{}}}",
            self.service,
            self.zone,
            unix_ms()
        );
        self.store.put(&format!("servers/{id}"), Some(doc));
    }
}
