//! A registration from another writer, which lacks fields, beside those of two sound runners.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::world;
use crate::world::Entry;
use crate::world::Record;
use crate::world::Run;
use crate::world::Store;

/// Clients, and bookings that each sends one after the other.
const CLIENTS: usize = 6;
const BOOKINGS: usize = 20;

/// Time that a client waits, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Time from the write of the registration to the first booking.
const SETTLE: Duration = Duration::from_secs(4);

/// What a client got.
struct Answer {
    id: String,
    status: u16,
    has_seal: bool,
    body: String,
}

impl Answer {
    /// Returns true for a success that is not the whole answer of a runner to this request.
    fn is_foreign(&self) -> bool {
        let is_success = (200..300).contains(&self.status);
        is_success && !(self.has_seal && self.body == booked(&self.id))
    }
}

fn booked(id: &str) -> String {
    format!("booked {id}")
}

/// Plays the case. Returns true when the rule was broken.
pub fn play(record: &Record, trouble: bool) -> Run<bool> {
    let ran: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let (store, store_addr) = Store::start(world::address(2))?;
    store.put("op/config", world::config());
    for n in 0..2 {
        let (ran, record) = (ran.clone(), record.clone());
        let addr = world::serve(world::address(10 + n), move |stream| {
            let _ = run_bookings(stream, &ran, &record);
        })?;
        store.put(&format!("servers/i-{n}"), world::registration(addr));
    }
    let held = record.clone();
    let page = world::serve(world::address(20), move |stream| {
        let _ = serve_page(stream, &held);
    })?;
    let mut entry = Entry::start(world::address(1), store_addr)?;
    thread::sleep(SETTLE);
    if trouble {
        let doc = registration(page);
        store.put("servers/page-17", doc.clone());
        record.say(format!("another writer has written servers/page-17: {doc}"));
    }
    thread::sleep(SETTLE);
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (front, record) = (entry.front, record.clone());
        clients.push(thread::spawn(move || {
            let book = |number| {
                let id = format!("booking-{client}-{number}");
                let answer = book(front, &id);
                let text = match &answer {
                    Ok(a) => format!("{} {:?}, seal: {}", a.status, a.body, a.has_seal),
                    Err(error) => error.to_string(),
                };
                record.note(format!("client: {id}: {text}"));
                thread::sleep(Duration::from_millis(50));
                answer.ok()
            };
            (0..BOOKINGS).filter_map(book).collect::<Vec<Answer>>()
        }));
    }
    let mut answers = Vec::new();
    for client in clients {
        answers.extend(client.join().map_err(|_| "a client has failed")?);
    }
    let ran = ran.lock().unwrap_or_else(|e| e.into_inner());
    let successes = answers.iter().filter(|a| (200..300).contains(&a.status));
    let foreign: Vec<&Answer> = answers.iter().filter(|a| a.is_foreign()).collect();
    let unrun = foreign.iter().filter(|a| !ran.contains(&a.id)).count();
    record.say(format!(
        "{} bookings were sent, {} were answered, {} with success; runners ran {}",
        CLIENTS * BOOKINGS,
        answers.len(),
        successes.count(),
        ran.len()
    ));
    record.say(format!(
        "{} successes were no runner's answer, and {unrun} of these bookings never ran",
        foreign.len()
    ));
    if !entry.is_running() {
        return Err("the entry has ended".into());
    }
    if answers.is_empty() || ran.is_empty() {
        return Err("no booking was answered".into());
    }
    Ok(!foreign.is_empty())
}

/// Returns the registration of the other writer: it has no `version`, `cold_left_ms` and `seq`.
fn registration(addr: SocketAddr) -> String {
    format!(
        "{{\"service\":\"desk\",\"address\":\"{addr}\",\"zone\":\"zone-a\",\"slots\":16,\"state\":\"ready\"}}"
    )
}

/// Sends a booking, which may run once only, on a new connection and reads its answer.
fn book(front: SocketAddr, id: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let head = world::request_head("POST", "/booking/1", id, DEADLINE_MS);
    stream.write_all(format!("{head}Content-Length: 2\r\n\r\nhi").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    let head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let body = http::read_body(&mut reader, &head)?;
    Ok(Answer {
        id: id.to_string(),
        status: head.status(),
        has_seal: head.header("x-response-seal").is_some(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// A runner, which takes 20 ms for a booking.
fn run_bookings(
    stream: TcpStream,
    ran: &Mutex<BTreeSet<String>>,
    record: &Record,
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_body(&mut reader, &head)?;
        let id = head.header("x-request-id").unwrap_or_default();
        record.note(format!("runner: {id} runs"));
        let mut held = ran.lock().unwrap_or_else(|e| e.into_inner());
        held.insert(id.to_string());
        drop(held);
        thread::sleep(Duration::from_millis(20));
        let headers = format!("X-Request-Id: {id}\r\nX-Response-Seal: seal\r\n");
        world::respond(&mut writer, 200, &headers, booked(id).as_bytes())?;
    }
    Ok(())
}

/// A web server that is no runner: it answers everything with a page.
fn serve_page(stream: TcpStream, record: &Record) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_body(&mut reader, &head)?;
        let id = head.header("x-request-id").unwrap_or_default();
        record.note(format!("web server: got {id}"));
        world::respond(
            &mut writer,
            200,
            "Content-Type: text/html\r\n",
            b"<p>It works</p>",
        )?;
    }
    Ok(())
}
