//! A crowd whose request bodies stop one byte short of their end, and ordinary clients beside it.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::source;
use crate::world;
use crate::world::Entry;
use crate::world::Record;
use crate::world::Run;
use crate::world::Store;

/// Connections of the crowd.
const CROWD: usize = 1_500;

/// Length of each of its bodies, in bytes; the configuration allows 4,194,304.
const BODY: usize = 2_000;

/// Addresses that it comes from, and the pause before a member connects again.
const SOURCES: usize = 8;
const RETURN_PAUSE: Duration = Duration::from_millis(250);

/// Time of the crowd.
const CROWD_TIME: Duration = Duration::from_secs(24);

/// Time before and after it.
const CALM_TIME: Duration = Duration::from_secs(4);

/// `contact_ms`, and the number of clients, of the rule.
const CONTACT: Duration = Duration::from_millis(3_000);
const CLIENTS: usize = 7;

/// Ordinary clients, the pause between two attempts of one, and the time that each waits.
const ORDINARY: usize = 8;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_millis(1_500);

/// One attempt of an ordinary client, always on a new connection.
struct Attempt {
    client: usize,
    began: Instant,
    /// Status of the answer; 0 when there was none.
    status: u16,
}

#[derive(Default)]
struct Counts {
    opened: AtomicUsize,
    closed: AtomicUsize,
}

/// Plays the case. Returns true when the rule was broken.
pub fn play(record: &Record, trouble: bool) -> Run<bool> {
    let (store, store_addr) = Store::start(world::address(2))?;
    store.put("op/config", world::config());
    for n in 0..3 {
        let addr = world::serve(world::address(10 + n), |stream| {
            let _ = answer(stream);
        })?;
        store.put(&format!("servers/i-{n}"), world::registration(addr));
    }
    let mut entry = Entry::start(world::address(1), store_addr)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let mut ordinary = Vec::new();
    for client in 0..ORDINARY {
        let (front, record) = (entry.front, record.clone());
        let (is_over, attempts) = (is_over.clone(), attempts.clone());
        ordinary.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                let began = Instant::now();
                let id = format!("ordinary-{client}-{number}");
                let source = world::address(150 + client as u8);
                let result = ask(source, front, &id);
                record.note(format!("client {client} request {id}: {result:?}"));
                let status = result.unwrap_or(0);
                let attempt = Attempt {
                    client,
                    began,
                    status,
                };
                attempts
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .push(attempt);
                number += 1;
                thread::sleep(ATTEMPT_PAUSE.saturating_sub(began.elapsed()));
            }
        }));
    }
    let readiness: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let watch = |span: Duration, entry: &mut Entry| -> Run<()> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let status = entry.readiness();
            record.note(format!("readiness: {status}"));
            let mut held = readiness.lock().unwrap_or_else(|e| e.into_inner());
            held.push((Instant::now(), status));
            drop(held);
            if !entry.is_running() {
                return Err("the entry has ended".into());
            }
            thread::sleep(Duration::from_millis(500));
        }
        Ok(())
    };
    watch(CALM_TIME, &mut entry)?;
    let counts = Arc::<Counts>::default();
    let crowd_over = Arc::new(AtomicBool::new(false));
    record.say(format!(
        "a crowd opens {CROWD} connections from {SOURCES} addresses; their bodies of {BODY} bytes {}",
        if trouble { "stop one byte short" } else { "are sent whole" }
    ));
    let crowd_start = Instant::now();
    for member in 0..CROWD {
        let (front, counts, crowd_over) = (entry.front, counts.clone(), crowd_over.clone());
        let spawned = thread::Builder::new()
            .stack_size(128 << 10)
            .spawn(move || be_member(front, member, trouble, &counts, &crowd_over));
        spawned?;
        if member % 100 == 99 {
            thread::sleep(Duration::from_millis(50));
        }
    }
    watch(CROWD_TIME.saturating_sub(crowd_start.elapsed()), &mut entry)?;
    let crowd_end = Instant::now();
    crowd_over.store(true, Ordering::Relaxed);
    record.say(format!(
        "the crowd ends; {} connections were opened, {} were closed by the entry",
        counts.opened.load(Ordering::Relaxed),
        counts.closed.load(Ordering::Relaxed)
    ));
    if counts.opened.load(Ordering::Relaxed) < CROWD {
        return Err("the crowd could not connect".into());
    }
    thread::sleep(Duration::from_secs(1));
    watch(CALM_TIME, &mut entry)?;
    is_over.store(true, Ordering::Relaxed);
    for client in ordinary {
        let _ = client.join();
    }
    let attempts = attempts.lock().unwrap_or_else(|e| e.into_inner());
    let readiness = readiness.lock().unwrap_or_else(|e| e.into_inner());
    for (name, from, to) in [
        ("before the crowd", None, Some(crowd_start)),
        ("beside the crowd", Some(crowd_start), Some(crowd_end)),
        ("after the crowd", Some(crowd_end), None),
    ] {
        let is_inside = |a: &&Attempt| {
            from.is_none_or(|from| a.began >= from) && to.is_none_or(|to| a.began < to)
        };
        let inside: Vec<_> = attempts.iter().filter(is_inside).collect();
        let answered = inside.iter().filter(|a| a.status > 0).count();
        record.say(format!(
            "{name}: {} attempts of ordinary clients, {answered} were answered",
            inside.len()
        ));
    }
    let longest = longest_silence(&attempts, &readiness, crowd_start, crowd_end);
    record.say(format!(
        "longest time in which the entry said that it was ready, {CLIENTS} clients or more tried, and no \
         connection was taken: {:.1} s (the rule allows less than {:.1} s)",
        longest.as_secs_f64(),
        CONTACT.as_secs_f64()
    ));
    Ok(longest >= CONTACT)
}

/// Returns the longest span between two answers in which all readiness checks passed and enough
/// clients began an attempt on a new connection.
fn longest_silence(
    attempts: &[Attempt],
    readiness: &[(Instant, u16)],
    start: Instant,
    end: Instant,
) -> Duration {
    let answered = attempts.iter().filter(|a| a.status > 0);
    // An attempt that was answered shows that its connection was taken when it began.
    let mut marks: Vec<Instant> = answered.map(|a| a.began).collect();
    let failed = readiness.iter().filter(|(_, status)| *status != 200);
    marks.extend(failed.map(|(at, _)| *at));
    marks.retain(|at| *at > start && *at < end);
    marks.extend([start, end]);
    marks.sort();
    let spans = marks.windows(2).filter(|pair| {
        let began = attempts
            .iter()
            .filter(|a| a.began > pair[0] && a.began < pair[1]);
        let clients: BTreeSet<usize> = began.map(|a| a.client).collect();
        clients.len() >= CLIENTS
    });
    let spans = spans.map(|pair| pair[1] - pair[0]);
    spans.max().unwrap_or_default()
}

/// Sends an ordinary request on a new connection and returns the status of its answer.
fn ask(source: Ipv4Addr, front: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = source::connect_from(source, front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let head = world::request_head("GET", "/lookup/1", id, PATIENCE.as_millis() as u64);
    stream.write_all(format!("{head}\r\n").as_bytes())?;
    let head = http::read_head(&mut BufReader::new(stream))?;
    head.map(|h| h.status())
        .ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Opens a connection, sends a request and stays connected; begins anew when it is closed.
fn be_member(
    front: SocketAddr,
    member: usize,
    trouble: bool,
    counts: &Counts,
    is_over: &AtomicBool,
) {
    let source = world::address(100 + (member % SOURCES) as u8);
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("crowd-{member}-{number}");
        let _ = stay(source, front, &id, trouble, counts, is_over);
        number += 1;
        thread::sleep(RETURN_PAUSE);
    }
}

fn stay(
    source: Ipv4Addr,
    front: SocketAddr,
    id: &str,
    trouble: bool,
    counts: &Counts,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = source::connect_from(source, front, Duration::from_secs(5))?;
    counts.opened.fetch_add(1, Ordering::Relaxed);
    let head = world::request_head("POST", "/lookup/1", id, 6_000);
    let sent = if trouble { BODY - 1 } else { BODY };
    stream.write_all(format!("{head}Content-Length: {BODY}\r\n\r\n").as_bytes())?;
    stream.write_all(&vec![b'a'; sent])?;
    stream.set_read_timeout(Some(Duration::from_millis(250)))?;
    let mut bytes = [0; 4_096];
    while !is_over.load(Ordering::Relaxed) {
        match stream.read(&mut bytes) {
            Ok(0) => break,
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    if !is_over.load(Ordering::Relaxed) {
        counts.closed.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}

/// A runner that answers each request at once.
fn answer(stream: TcpStream) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_body(&mut reader, &head)?;
        let id = head.header("x-request-id").unwrap_or_default();
        let headers = format!("X-Request-Id: {id}\r\nX-Response-Seal: seal\r\n");
        world::respond(&mut writer, 200, &headers, b"whole")?;
    }
    Ok(())
}
