//! A request that crashes each runner that begins to run it comes again.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::caller;
use crate::fleet::{self, Entry, Record};
use crate::pool::{Log, Pool, Spec};
use crate::store::Store;

const SERVICE: &str = "werkbank";
const ZONES: [&str; 3] = ["wien-a", "tirol-a", "salzburg-a"];

/// Bounds of the rule, from the settings.
const CONTACT_MS: u64 = 3_000;
const MOST_RETRIES: usize = 3;

/// Time between two requests that crash runners, and their number.
const GAP: Duration = Duration::from_millis(5_000);
const ROUNDS: u32 = 14;

/// The request that crashes runners: its method, path and deadline.
pub struct Deadly {
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
}

/// A lookup at a plain service, lost before any answer.
pub const LOOKUP: Deadly = Deadly {
    method: "GET",
    path: "/stock/deadly",
    deadline_ms: 1_500,
};

/// A stream that is lost after an event.
pub const STREAM: Deadly = Deadly {
    method: "POST",
    path: "/plan/deadly",
    deadline_ms: 6_000,
};

pub fn run(dir: &Path, record: &Arc<Record>, request: &Deadly, trouble: bool) -> i32 {
    let machines: Vec<_> = (1..=3).map(fleet::machine).collect();
    let ports = fleet::free_ports(&machines);
    let (store, addr) = Store::start(fleet::machine(0));
    let config = match request.method {
        "POST" => caller::config_with_streams(SERVICE),
        _ => caller::config(SERVICE),
    };
    store.put("op/config", Some(config));
    let log: Log = Arc::default();
    let deadly = if trouble { "deadly" } else { "" };
    let spec = Spec {
        service: SERVICE,
        zones: &ZONES,
        ip: fleet::machine(0),
        deadly,
    };
    let pool = Pool::start(&spec, &store, record, &log);
    let entries: Vec<Arc<Entry>> = (1..=3_u8)
        .map(|n| {
            let zone = ZONES[usize::from(n) - 1];
            Arc::new(Entry::new(dir, n, zone, &machines, ports, addr, false))
        })
        .collect();
    let is_up = entries.iter().all(|e| e.start())
        && entries
            .iter()
            .all(|e| e.until_ready(Duration::from_secs(10)));
    if !is_up {
        record.line("an entry did not start");
        pool.stop();
        return 2;
    }
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    record.line("entries are ready and in touch");
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let callers: Vec<_> = entries
        .iter()
        .enumerate()
        .map(|(index, entry)| {
            let (entry, stop, record) = (entry.clone(), stop.clone(), record.clone());
            let counts = counts.clone();
            thread::spawn(move || usual_callers(index, &entry, &stop, &record, &counts))
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    for round in 0..ROUNDS {
        // The caller repeats a failed request once, as on the sheet.
        for attempt in 0..2 {
            let entry = &entries[((round + attempt) % 3) as usize];
            let id = format!("dead{round:03}{attempt}");
            record.line(&format!(
                "caller: {} {} {id} to {}",
                request.method,
                request.path,
                entry.name()
            ));
            let end = caller::send(
                entry.callers,
                request.method,
                request.path,
                &id,
                b"",
                request.deadline_ms,
            );
            record.line(&format!("caller: {id} {end:?}"));
            if matches!(end, caller::End::Status(200 | 422 | 400..=404, _)) {
                break;
            }
        }
        thread::sleep(GAP);
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let ended = entries.iter().filter(|e| e.has_ended()).count();
    for entry in &entries {
        entry.kill();
    }
    pool.stop();
    let counts = counts.each_ref().map(|c| c.load(Ordering::Relaxed));
    record.line(&format!(
        "usual requests: {} sent, {} answered with success; entries that ended: {ended}",
        counts[0], counts[1]
    ));
    judge(record, &log, trouble)
}

/// Callers of the usual kinds: lookups and bookings at the rates of the sheet.
fn usual_callers(
    index: usize,
    entry: &Entry,
    stop: &AtomicBool,
    record: &Record,
    counts: &[AtomicU64; 2],
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("u{index}{number:05}");
        let (method, path) = match number % 3 {
            0 => ("GET", format!("/stock/{}", number % 50)),
            _ => ("POST", format!("/slots/{number}")),
        };
        let body: &[u8] = if method == "POST" { &[b'b'; 600] } else { b"" };
        let end = caller::send(entry.callers, method, &path, &id, body, 1_500);
        counts[0].fetch_add(1, Ordering::Relaxed);
        if end.is_success() {
            counts[1].fetch_add(1, Ordering::Relaxed);
        } else {
            record.line(&format!("caller: {method} {path} {id} {end:?}"));
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// BUDGET: at most three retries of the request reach runners, sent later than
/// `contact_ms` after it has crashed the third. A retry is an arrival of one attempt
/// of the caller beyond its first.
fn judge(record: &Record, log: &Log, trouble: bool) -> i32 {
    let log = log.lock().unwrap();
    let mut crashes = Vec::new();
    let mut arrivals: HashMap<String, usize> = HashMap::new();
    let (mut retries, mut all) = (Vec::new(), 0);
    let mut runs = 0;
    for seen in log.iter() {
        let words: Vec<&str> = seen.text.split(' ').collect();
        match words[..] {
            ["run", _, id, path, _] if path.contains("deadly") => {
                runs += 1;
                let earlier = arrivals.entry(id.to_string()).or_default();
                *earlier += 1;
                let is_late = crashes.get(2).is_some_and(|at| seen.ms > at + CONTACT_MS);
                if is_late {
                    all += 1;
                }
                if is_late && *earlier > 1 {
                    retries.push((seen.ms, id.to_string()));
                }
            }
            ["crash", ..] => crashes.push(seen.ms),
            _ => {}
        }
    }
    record.line(&format!(
        "crashes: {} (third at {:?} ms); later than {CONTACT_MS} ms after the third: {all} arrivals, of them {} retries: {retries:?}",
        crashes.len(),
        crashes.get(2),
        retries.len()
    ));
    if runs == 0 || (trouble && crashes.len() < 3) {
        record.line("the request did not reach the runners as meant");
        return 2;
    }
    let is_broken = retries.len() > MOST_RETRIES;
    record.line(if is_broken {
        "BUDGET is broken"
    } else {
        "BUDGET holds"
    });
    i32::from(is_broken)
}
