//! The project's own entries as separate processes, and what a small deployment
//! around them looks like.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Record of what was sent, answered and run, with times since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt");
        Record {
            start: Instant::now(),
            file: Mutex::new(file),
        }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>7} ms  {text}", self.ms());
    }
}

/// Address of the machine `number` of this run, on the loopback network.
pub fn machine(number: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(
        127,
        110 + (pid % 100) as u8,
        (pid / 100 % 250) as u8,
        number + 1,
    ))
}

/// Ports that are free on all of these machines: callers, readiness, control, and
/// the first of the internal range.
pub fn free_ports(machines: &[IpAddr]) -> (u16, u16, u16, u16) {
    let is_free = |port: u16| {
        machines.iter().all(|ip| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        })
    };
    let seed = std::process::id() as u16 % 400;
    for step in 0..60_u16 {
        let base = 20_000 + 20 * ((seed + step * 7) % 400);
        if (base..base + 20).all(is_free) {
            return (base + 17, base + 18, base + 19, base);
        }
    }
    panic!("no free ports");
}

/// One machine that runs the project's entry.
pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    run: Vec<String>,
    child: Mutex<Option<Child>>,
}

/// Command of a role in the deploy file.
fn command(role: &str) -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let part = text
        .split(&format!("[roles.{role}]"))
        .nth(1)
        .expect("the role");
    let line = part
        .lines()
        .find_map(|l| l.strip_prefix("run = "))
        .expect("its command");
    line.trim_matches('"')
        .split(' ')
        .map(str::to_string)
        .collect()
}

impl Entry {
    /// Writes the settings of an entry in `zone` as the platform does, with the bounds of
    /// the small or of the grown site.
    pub fn new(
        dir: &Path,
        number: u8,
        zone: &str,
        machines: &[IpAddr],
        ports: (u16, u16, u16, u16),
        store: SocketAddr,
        is_grown: bool,
    ) -> Entry {
        let ip = machine(number);
        let (front, ready, control, internal) = ports;
        let seeds: Vec<String> = machines
            .iter()
            .take(3)
            .map(|m| format!("{m}:{control}"))
            .collect();
        let name = format!("front-{zone}-{number}");
        let text = format!(
            "node_name={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\n\
             zone={zone}\nregion=wien\nzones.{zone}=wien\nlisten.front={ip}:{front}\n\
             listen.ready={ip}:{ready}\nlisten.control={ip}:{control}\n\
             internal_ports={internal},{}\nseeds={}\nbootstrap=true\ncounts_as_loss=false\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\n\
             beat_ms=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks\n\
             tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\nbounds.seed_lag_s=3\n\
             bounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.back_ms=250\nbounds.max_stretch_ms=5000\n\
             bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.retry_ratio=0.2\n\
             bounds.retry_window_s=10\nbounds.retry_slack=102\nbounds.recovery_s=12\n\
             bounds.pass_ms=120\nbounds.retry_after_s=0\nbounds.version_ms=8000\n\
             bounds.version_all_ms=0\nplatform.address={store}\nplatform.form=read\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n",
            internal + 15,
            seeds.join(",")
        );
        // Bounds of the grown site.
        let grown = [
            ("contact_ms=3000", "contact_ms=4000"),
            ("bounds.ack_ms=4000", "bounds.ack_ms=6000"),
            ("catch_up_s=4", "catch_up_s=6"),
            ("drain_ms=2000", "drain_ms=3000"),
            ("config_apply_ms=2000", "config_apply_ms=3000"),
            ("max_stretch_ms=5000", "max_stretch_ms=6000"),
            ("retry_slack=102", "retry_slack=222"),
            ("recovery_s=12", "recovery_s=15"),
            ("pass_ms=120", "pass_ms=200"),
            ("version_ms=8000", "version_ms=9700"),
            ("link_mbps=1000.0", "link_mbps=200.0"),
            ("reads_per_s=2000", "reads_per_s=6000"),
        ];
        let text = match is_grown {
            true => grown
                .iter()
                .fold(text, |text, (from, to)| text.replace(from, to)),
            false => text,
        };
        let settings = dir.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("the settings file");
        Entry {
            callers: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            log: dir.join(format!("{name}.log")),
            name,
            settings,
            run: command("entry"),
            child: Mutex::default(),
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts the process; its log goes to a file.
    pub fn start(&self) -> bool {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CHERVILQUAY_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let is_started = child.is_ok();
        *self.child.lock().unwrap() = child.ok();
        is_started
    }

    /// Waits until it says that it is ready.
    pub fn until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let asked = || {
            let mut stream =
                std::net::TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))
                    .ok()?;
            stream
                .set_read_timeout(Some(Duration::from_millis(500)))
                .ok()?;
            stream.write_all(text.as_bytes()).ok()?;
            http::read(&mut std::io::BufReader::new(stream)).ok()
        };
        asked().is_some_and(|answer| answer.status() == 200)
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Returns a field of the process's status, in kilobytes.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = text.lines().find_map(|l| l.strip_prefix(field))?;
        line.trim_start_matches(':')
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .ok()
    }

    /// Returns true once the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
