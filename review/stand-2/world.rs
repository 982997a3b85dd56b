//! What surrounds an entry: the platform's store, runners, the entry's process, and the record.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;

/// Result with any error; an error means that the case could not run.
pub type Run<T> = Result<T, Box<dyn std::error::Error>>;

/// What was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record in the folder of the case.
    pub fn create(folder: &Path) -> Run<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    /// Writes a line, also to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }

    /// Writes a line.
    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }
}

#[derive(Default)]
struct Items {
    revision: u64,
    by_key: BTreeMap<String, (u64, String)>,
}

/// The platform's store: listings and watches.
#[derive(Clone, Default)]
pub struct Store {
    items: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port of `ip`.
    pub fn start(ip: Ipv4Addr) -> Run<(Store, SocketAddr)> {
        let store = Store::default();
        let held = store.clone();
        let addr = serve(ip, move |stream| {
            let _ = held.answer(stream);
        })?;
        Ok((store, addr))
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: String) {
        let mut items = self.items.0.lock().unwrap_or_else(|e| e.into_inner());
        items.revision += 1;
        let revision = items.revision;
        items.by_key.insert(key.to_string(), (revision, value));
        self.items.1.notify_all();
    }

    fn answer(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = if head.line.contains("/api/kv-watch") {
                self.watch(&head)
            } else {
                let (items, revision) = self.after(0);
                format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}")
            };
            respond(
                &mut writer,
                200,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )?;
        }
        Ok(())
    }

    /// Waits for a change after the revision in the query and returns what has changed.
    fn watch(&self, head: &Head) -> String {
        let number = |name| -> u64 {
            let value = head.parameter(name);
            value.and_then(|v| v.parse().ok()).unwrap_or(0)
        };
        let after = number("after");
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let (items, changed) = &*self.items;
        let mut held = items.lock().unwrap_or_else(|e| e.into_inner());
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if held.revision > after || left.is_zero() {
                break;
            }
            let waited = changed.wait_timeout(held, left);
            held = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        drop(held);
        let (events, revision) = self.after(after);
        format!("{{\"events\":[{events}],\"store_revision\":{revision}}}")
    }

    /// Returns the items after a revision as JSON, in their order, and the newest revision.
    fn after(&self, revision: u64) -> (String, u64) {
        let items = self.items.0.lock().unwrap_or_else(|e| e.into_inner());
        let newer = items.by_key.iter().filter(|(_, (rev, _))| *rev > revision);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, (rev, _))| *rev);
        let docs = newer.iter().map(|(key, (rev, value))| {
            let value = base64(value.as_bytes());
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{rev},\"lease\":0}}"
            )
        });
        (docs.collect::<Vec<_>>().join(","), items.revision)
    }
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                let digit = (word >> (18 - 6 * index)) as usize & 63;
                text.push(DIGITS[digit] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Writes a whole response; `headers` are lines with their ends.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Accepts connections on a free port of `ip`, each in a thread of its own.
pub fn serve(ip: Ipv4Addr, handle: impl Fn(TcpStream) + Clone + Send + 'static) -> Run<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    Ok(addr)
}

/// Returns the registration of a runner that is ready.
pub fn registration(addr: SocketAddr) -> String {
    format!(
        "{{\"service\":\"desk\",\"address\":\"{addr}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}}"
    )
}

/// Returns the configuration, with one route of each kind that the cases use.
pub fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":6000,\"slo_ms\":500,\"priority\":1,\"service\":\"desk\",\
             \"max_attempts\":{attempts},\"public\":false,\"resumable\":false,\"gap_target_ms\":400}}"
        )
    };
    let routes = [
        route("lookup", "idempotent", 2),
        route("booking", "non_idempotent", 1),
        route("reply", "streaming", 1),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_conns\":4000}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"owner\",\"api_keys\":[\"key\"]}}]}}",
        routes.join(",")
    )
}

/// Returns the head of a client's request up to the headers of its body.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nX-Credential: key\r\n"
    )
}

/// An entry, started by the command of the deploy file; it is killed when dropped.
pub struct Entry {
    child: Child,
    folder: PathBuf,
    settings: PathBuf,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address for the readiness check.
    pub ready: SocketAddr,
}

/// Settings of the machine, as those of a `front` machine of a small deployment.
const MACHINE: &str = "role=entry\nmachine_class=front\nserves=front,control\nzone=zone-a\nregion=region-a\n\
    zones.zone-a=region-a\nbootstrap=true\ncounts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\n\
    limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
    discovery=platform\nentry=virtual_ip\nbeat_ms=1200\ntolerate.machines=1\ntolerate.zones=1\n\
    tolerate.regions=0\nbounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
    bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.retry_ratio=0.2\n\
    bounds.retry_window_s=10\nbounds.retry_slack=102\nbounds.recovery_s=12\nbounds.version_ms=8000\n";

impl Entry {
    /// Starts an entry on free ports of `ip` and waits until it says that it is ready.
    pub fn start(ip: Ipv4Addr, store: SocketAddr) -> Run<Entry> {
        let ports = free_ports(ip)?;
        let name = format!("chervilquay-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let settings = folder.join("settings.conf");
        let [front, ready, control] = [0, 1, 2].map(|n| SocketAddr::from((ip, ports + n)));
        let (first, last) = (ports + 4, ports + 19);
        let text = format!(
            "node_name=front-1\nip={ip}\nlisten.front={front}\nlisten.ready={ready}\n\
             listen.control={control}\ninternal_ports={first},{last}\nseeds={control}\n{MACHINE}\
             platform.address={store}\nplatform.form=read\nplatform.reads_per_s=2000\n"
        );
        std::fs::write(&settings, text)?;
        let command = entry_command()?;
        let mut words = command.split(' ');
        let program = words.next().ok_or("empty command")?;
        let child = Command::new(program)
            .args(words)
            .env("CHERVILQUAY_CONFIG", &settings)
            .stdout(File::create(folder.join("entry.log"))?)
            .stderr(Stdio::null())
            .spawn()?;
        let mut entry = Entry {
            child,
            folder,
            settings,
            front,
            ready,
        };
        let start = Instant::now();
        while entry.readiness() != 200 {
            if start.elapsed() > Duration::from_secs(20) || !entry.is_running() {
                return Err("the entry does not become ready".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(entry)
    }

    /// Returns the status of the readiness check; 0 without an answer within a second.
    pub fn readiness(&self) -> u16 {
        let ask = || -> std::io::Result<u16> {
            let limit = Duration::from_secs(1);
            let mut stream = TcpStream::connect_timeout(&self.ready, limit)?;
            stream.set_read_timeout(Some(limit))?;
            stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")?;
            let head = http::read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |h| h.status()))
        };
        ask().unwrap_or(0)
    }

    /// Changes the settings file, by a field that is not known, and sends SIGHUP.
    pub fn change_settings(&self) -> Run<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text + "platform.history_s=20\n")?;
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-HUP", &id]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err("the signal could not be sent".into())
        }
    }

    /// Returns true while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the command of the role that serves clients, from the deploy file.
fn entry_command() -> Run<String> {
    let text = std::fs::read_to_string("deploy/system.toml")?;
    let roles = text.split("[roles.").skip(1);
    let mut entries = roles.filter(|role| role.contains("\"front\"") && role.contains("run ="));
    let role = entries.next().ok_or("no role serves clients")?;
    let line = role.lines().find(|l| l.starts_with("run ="));
    let command = line.and_then(|l| l.split('"').nth(1));
    Ok(command.ok_or("the role has no command")?.to_string())
}

/// Returns the first of twenty ports of `ip` that are free for TCP and UDP.
fn free_ports(ip: Ipv4Addr) -> Run<u16> {
    let seed = std::process::id() as u16 % 400;
    for step in 0..100 {
        let first = 20_000 + (seed + step * 7) % 400 * 25;
        let is_free = |port: u16| {
            TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
        };
        if (first..first + 20).all(is_free) {
            return Ok(first);
        }
    }
    Err("no free ports".into())
}

/// Returns a loopback address for this run: `last` tells its uses apart.
pub fn address(last: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 100 + (id >> 8) as u8 % 100, id as u8, last)
}
