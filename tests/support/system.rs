//! Work directory, processes and HTTP client for tests that run the real binaries.
#![allow(
    dead_code,
    clippy::allow_attributes,
    clippy::unwrap_used,
    reason = "each test file uses a part of the helper, and a failed step ends the test"
)]

use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;

/// Longest wait for a condition, so that a test fails instead of hanging; not a bound on speed.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A temporary directory that is removed when dropped.
pub struct WorkDir {
    path: PathBuf,
}

impl WorkDir {
    pub fn new(name: &str) -> WorkDir {
        let unique = format!("chervilquay-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).unwrap();
        WorkDir { path }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// A child process, which is killed when dropped.
pub struct Process {
    child: Child,
    /// Lines that a stand-in printed until it listened.
    pub lines: Vec<String>,
}

impl Process {
    pub fn start(binary: &str, args: &[&str]) -> Process {
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Process {
            child,
            lines: Vec::new(),
        }
    }

    /// Starts a stand-in on a free port, waits until it listens and returns its address.
    pub fn standin(args: &[&str]) -> (Process, SocketAddr) {
        let process = Process::listening(args, "127.0.0.1:0");
        let last = process.lines.last().map(String::as_str).unwrap_or_default();
        let addr = last.strip_prefix("listening ").unwrap().parse().unwrap();
        (process, addr)
    }

    /// Starts a stand-in on an address that is free, such as that of one that was killed.
    pub fn standin_at(addr: SocketAddr, args: &[&str]) -> Process {
        Process::listening(args, &addr.to_string())
    }

    /// Starts a stand-in that listens on `listen`, and reads its output until it does.
    fn listening(args: &[&str], listen: &str) -> Process {
        let mut all_args = vec!["standin"];
        all_args.extend(args);
        all_args.extend(["--listen", listen]);
        let mut process = Process::start(env!("CARGO_BIN_EXE_chervilquay"), &all_args);
        let stdout = process.child.stdout.take().unwrap();
        for line in BufReader::new(stdout).lines() {
            let line = line.unwrap();
            let is_ready = line.starts_with("listening");
            process.lines.push(line);
            if is_ready {
                break;
            }
        }
        process
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`. After `STOP`, no thread of the process
    /// runs when this returns.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
        if name == "STOP" {
            until("all threads are stopped", || self.is_stopped());
        }
    }

    /// True when every thread of the process is stopped: some still run for a while after
    /// `kill` has returned.
    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let mut states = tasks.map(|task| {
            let stat = std::fs::read_to_string(task.unwrap().path().join("stat"));
            let stat = stat.unwrap_or_default();
            // The name of the thread may hold any character.
            stat.rsplit(") ").next().map(|rest| rest.starts_with('T'))
        });
        states.all(|is_stopped| is_stopped == Some(true))
    }

    /// True when the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended; true when its exit status is 0.
    pub fn wait(&mut self) -> bool {
        let begin = std::time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(
                begin.elapsed() < WAIT_TIMEOUT,
                "process does not end in time"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Number of ports that one test process chooses from.
///
/// They lie below the system's range for outgoing connections, which could otherwise take a
/// port between its choice and the start of its server. Test processes that run at the same
/// time use different blocks, unless their process ids are equal modulo [`PORT_BLOCKS`].
const PORT_BLOCK_LEN: u16 = 500;

/// Number of blocks of ports, from port 12000 up.
const PORT_BLOCKS: u32 = 40;

/// Returns a free loopback address, each only once in this process.
pub fn free_addr() -> SocketAddr {
    static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let block = (std::process::id() % PORT_BLOCKS) as u16;
        let first = 12_000 + block * PORT_BLOCK_LEN;
        let port = fastrand::u16(first..first + PORT_BLOCK_LEN);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        let is_free = TcpListener::bind(addr).is_ok();
        if is_free && TAKEN.lock().unwrap().insert(port) {
            return addr;
        }
    }
}

/// Sends a request on a new connection and returns status, head and body of the answer.
pub fn http(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<(u16, String, String)> {
    let mut stream = send_request(addr, method, path, headers, body)?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text)?;
    Ok(split_answer(&String::from_utf8_lossy(&text)))
}

/// Sends a request on a new connection and returns the connection, with the answer unread.
pub fn send_request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    Ok(stream)
}

/// Splits an answer into status, head in lower case and body; the sizes of chunks stay in the
/// body.
pub fn split_answer(text: &str) -> (u16, String, String) {
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let status = head
        .split_whitespace()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    (status, head.to_ascii_lowercase(), body.to_string())
}

/// Waits until `check` returns true; panics with `what` after [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut check: impl FnMut() -> bool) {
    let begin = std::time::Instant::now();
    while !check() {
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "did not happen in time: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A whole system of separate processes: two zones with an entry and two agents each.
pub struct System {
    pub dir: WorkDir,
    pub platform: Process,
    pub platform_addr: SocketAddr,
    pub origin: Process,
    pub origin_addr: SocketAddr,
    /// Manifest digests of the versions at the origin.
    pub versions: Vec<String>,
    pub agents: Vec<AgentVm>,
    pub entries: Vec<EntryVm>,
    /// Revision of the tables that were published last.
    pub revision: u64,
    /// Further lines of `node` in all settings files.
    pub node_lines: String,
}

/// An agent with the engine stand-in behind it.
pub struct AgentVm {
    pub name: String,
    pub zone: String,
    pub pool: String,
    pub rpc: SocketAddr,
    pub admin: SocketAddr,
    pub engine: Process,
    pub engine_addr: SocketAddr,
    pub process: Process,
    /// Settings file of the agent.
    pub settings: PathBuf,
}

/// An entry.
pub struct EntryVm {
    pub http: SocketAddr,
    pub admin: SocketAddr,
    pub process: Process,
}

impl System {
    /// Starts two entries, two agents of `assistant` and two of `booking`.
    pub fn start(name: &str) -> System {
        System::start_with(name, "2000")
    }

    /// Starts the same system with another time for each token, in microseconds.
    pub fn start_with(name: &str, token_us: &str) -> System {
        System::start_on(name, token_us, "")
    }

    /// Starts the same system with further lines of `node` in all settings files.
    pub fn start_on(name: &str, token_us: &str, node_lines: &str) -> System {
        let dir = WorkDir::new(name);
        let (platform, platform_addr) = Process::standin(&["platform"]);
        let (origin, origin_addr) = Process::standin(&["origin", "--seed", "1", "--seed", "2"]);
        let versions = origin
            .lines
            .iter()
            .filter_map(|l| l.strip_prefix("version "))
            .filter_map(|l| l.split_whitespace().nth(1))
            .map(str::to_string)
            .collect();
        let mut system = System {
            dir,
            platform,
            platform_addr,
            origin,
            origin_addr,
            versions,
            agents: Vec::new(),
            entries: Vec::new(),
            revision: 0,
            node_lines: node_lines.to_string(),
        };
        for (index, pool) in ["assistant", "assistant", "booking", "booking"]
            .iter()
            .enumerate()
        {
            let agent = system.agent(index, pool, token_us);
            system.agents.push(agent);
        }
        for index in 0..2 {
            let entry = system.entry(index);
            system.entries.push(entry);
        }
        system.publish(0, &[]);
        system
    }

    /// The part of a settings file that entries and agents have in common.
    fn node(&self, name: &str, zone: &str, rpc: SocketAddr, admin: SocketAddr) -> String {
        let platform = self.platform_addr;
        format!(
            "node:\n  name: {name}\n  zone: {zone}\n  region: r1\n  rpc: {rpc}\n  \
             admin: {admin}\n  platform: [\"{platform}\"]\n{}",
            self.node_lines
        )
    }

    /// Starts an engine stand-in and an agent of `pool` in front of it.
    fn agent(&self, index: usize, pool: &str, token_us: &str) -> AgentVm {
        let name = format!("vm-{}", index + 1);
        let zone = format!("z{}", index % 2 + 1);
        let (engine, engine_addr) = Process::standin(&["engine", "--token-us", token_us]);
        let (process, settings, rpc, admin) = start_on_free_ports(|| {
            let (rpc, admin) = (free_addr(), free_addr());
            let text = format!(
                "{}upstream: {engine_addr}\norigin: {}\nstaging_mb: 64\n",
                self.node(&name, &zone, rpc, admin),
                self.origin_addr
            );
            let settings = self.dir.write(&format!("{name}.yaml"), &text);
            (start_agent(&settings), settings, rpc, admin)
        });
        AgentVm {
            name,
            zone,
            pool: pool.to_string(),
            rpc,
            admin,
            engine,
            engine_addr,
            process,
            settings,
        }
    }

    /// Starts an entry.
    fn entry(&self, index: usize) -> EntryVm {
        let zone = format!("z{}", index + 1);
        let name = format!("entry-{}", index + 1);
        let (process, _, http, admin) = start_on_free_ports(|| {
            let (http, rpc, admin) = (free_addr(), free_addr(), free_addr());
            let text = format!("{}http: {http}\n", self.node(&name, &zone, rpc, admin));
            let settings = self.dir.write(&format!("{name}.yaml"), &text);
            let path = settings.to_string_lossy().into_owned();
            let binary = env!("CARGO_BIN_EXE_chervilquay-entry");
            let process = Process::start(binary, &["--settings", &path]);
            (process, settings, http, admin)
        });
        EntryVm {
            http,
            admin,
            process,
        }
    }

    /// Publishes both tables under the next revision: the version with index `version`, and the
    /// agents in `drained` marked to drain.
    pub fn publish(&mut self, version: usize, drained: &[&str]) {
        self.revision += 1;
        let revision = self.revision;
        let routes = format!(
            "revision: {revision}\nroutes:\n  \
             assistant: {{path: /v1/completions, pool: assistant, repeat: safe}}\n  \
             booking: {{path: /book, pool: booking, class: short, repeat: never, deadline_ms: 5000}}\n"
        );
        let mut pools = format!("revision: {revision}\npools:\n");
        let digest = &self.versions[version];
        pools.push_str(&format!(
            "  assistant:\n    model: assistant\n    digest: {digest}\n    upstreams:\n"
        ));
        pools.push_str(&self.upstreams("assistant", drained));
        pools.push_str("  booking:\n    kind: service\n    upstreams:\n");
        pools.push_str(&self.upstreams("booking", drained));
        self.put("routes", &routes);
        self.put("pools", &pools);
    }

    /// Lists the upstreams of a pool in YAML.
    fn upstreams(&self, pool: &str, drained: &[&str]) -> String {
        let vms = self.agents.iter().filter(|vm| vm.pool == pool);
        vms.map(|vm| {
            let drain = drained.contains(&vm.name.as_str());
            format!(
                "      {}: {{rpc: \"{}\", zone: {}, drain: {drain}}}\n",
                vm.name, vm.rpc, vm.zone
            )
        })
        .collect()
    }

    /// Publishes the tables again with this drain time for the pool `assistant`.
    pub fn set_drain_time(&mut self, seconds: u64) {
        let old = format!("revision: {}\n", self.revision);
        self.revision += 1;
        let new = format!("revision: {}\n", self.revision);
        for key in ["routes", "pools"] {
            let path = format!("/v1/kv/{key}?raw");
            let (_, _, text) = http(self.platform_addr, "GET", &path, &[], "").unwrap();
            let pool = format!("  assistant:\n    drain_s: {seconds}\n");
            let text = text.replace(&old, &new).replace("  assistant:\n", &pool);
            self.put(key, &text);
        }
        self.until_serving();
    }

    /// Publishes the value of one key at the platform.
    pub fn put(&self, key: &str, text: &str) {
        let path = format!("/v1/kv/{key}");
        let (status, _, _) = http(self.platform_addr, "PUT", &path, &[], text).unwrap();
        assert_eq!(status, 200);
    }

    /// Waits until every entry and agent has the last revision in force and every agent serves
    /// the version of its pool.
    pub fn until_serving(&self) {
        let revision = self.revision;
        for entry in &self.entries {
            until("entry has the revision in force", || {
                dump(entry.admin)["tables"]["revision"] == revision
            });
        }
        for agent in &self.agents {
            until("agent serves the version of its pool", || {
                let dump = dump(agent.admin);
                dump["tables"]["revision"] == revision && dump["loaded"] == dump["duty"]["digest"]
            });
        }
    }
}

/// Process of a daemon, its settings file, one of its addresses and its admin address.
type StartedDaemon = (Process, PathBuf, SocketAddr, SocketAddr);

/// Starts a daemon, and starts it again on other ports when one of the ports was taken.
fn start_on_free_ports(start: impl Fn() -> StartedDaemon) -> StartedDaemon {
    loop {
        let mut daemon = start();
        until("daemon answers or ends", || {
            daemon.0.has_ended() || !dump(daemon.3).is_null()
        });
        // The answer may come from another daemon on a taken port; then this one ends soon.
        std::thread::sleep(Duration::from_millis(20));
        if !daemon.0.has_ended() {
            return daemon;
        }
    }
}

/// Starts the agent daemon on a settings file.
pub fn start_agent(settings: &Path) -> Process {
    let path = settings.to_string_lossy().into_owned();
    Process::start(
        env!("CARGO_BIN_EXE_chervilquay-agent"),
        &["--settings", &path],
    )
}

/// Reads the state dump of a process; null when it does not answer.
pub fn dump(admin: SocketAddr) -> serde_json::Value {
    let Ok((_, _, body)) = http(admin, "GET", "/dump", &[], "") else {
        return serde_json::Value::Null;
    };
    serde_json::from_str(&body).unwrap_or_default()
}
