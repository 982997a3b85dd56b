//! Many users send bodies that the operator's limits allow, at the same time.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::caller::{self, End};
use crate::fleet::{self, Entry, Record};
use crate::pool::{Log, Pool, Spec};
use crate::store::Store;

const SERVICE: &str = "werkbank";
const ZONES: [&str; 3] = ["wien-a", "tirol-a", "salzburg-a"];

/// `limits.memory_mb` of the settings, in kilobytes.
const MEMORY_KB: u64 = 260 << 10;

/// `max_body_bytes` of the configuration.
const MAX_BODY: usize = 4 << 20;

/// Bodies of the usual requests on the sheet, in bytes.
const USUAL_BODY: usize = 600;

/// Callers of one entry that send at the same time: the site has 91 clients, and a burst
/// of 1.7 times as many is 154, half of them at each of two entries.
const CALLERS: usize = 77;
const BURSTS: u32 = 6;
const GAP: Duration = Duration::from_millis(6_000);

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let machines: Vec<_> = (1..=3).map(fleet::machine).collect();
    let ports = fleet::free_ports(&machines);
    let (store, addr) = Store::start(fleet::machine(0));
    store.put("op/config", Some(caller::config(SERVICE)));
    let log: Log = Arc::default();
    let spec = Spec {
        service: SERVICE,
        zones: &ZONES,
        ip: fleet::machine(0),
        deadly: "",
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
    let stop = Arc::new(AtomicBool::new(false));
    let peaks: Arc<Vec<AtomicU64>> = Arc::new((0..3).map(|_| AtomicU64::new(0)).collect());
    let ends: Arc<Vec<AtomicU64>> = Arc::new((0..3).map(|_| AtomicU64::new(0)).collect());
    let machines: Vec<_> = entries
        .iter()
        .enumerate()
        .map(|(index, entry)| {
            let (entry, stop, record) = (entry.clone(), stop.clone(), record.clone());
            let (peaks, ends) = (peaks.clone(), ends.clone());
            thread::spawn(move || {
                keep_to_limit(&entry, &stop, &record, &peaks[index], &ends[index])
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(4_000));
    let length = if trouble { MAX_BODY } else { USUAL_BODY };
    let body = Arc::new(vec![b'p'; length]);
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    for burst in 0..BURSTS {
        record.line(&format!(
            "{CALLERS} callers of each entry send {length} bytes each"
        ));
        let mut callers = Vec::new();
        for (index, entry) in entries.iter().enumerate().take(2) {
            for number in 0..CALLERS {
                let (entry, body) = (entry.clone(), body.clone());
                let (lost, served) = (lost.clone(), served.clone());
                callers.push(thread::spawn(move || {
                    let id = format!("b{index}{burst}{number:03}");
                    let path = format!("/slots/{id}");
                    let end = caller::send(entry.callers, "POST", &path, &id, &body, 1_500);
                    if end.is_success() {
                        served.fetch_add(1, Ordering::Relaxed);
                    } else {
                        lost.lock().unwrap().push(format!("{id} {end:?}"));
                    }
                }));
            }
        }
        for caller in callers {
            let _ = caller.join();
        }
        thread::sleep(GAP);
    }
    stop.store(true, Ordering::Relaxed);
    for machine in machines {
        let _ = machine.join();
    }
    for entry in &entries {
        entry.kill();
    }
    pool.stop();
    let lost = lost.lock().unwrap();
    for line in lost.iter() {
        record.line(&format!("not served: {line}"));
    }
    let closed = lost
        .iter()
        .filter(|l| l.contains(&format!("{:?}", End::Closed)))
        .count();
    let ended: Vec<u64> = ends.iter().map(|e| e.load(Ordering::Relaxed)).collect();
    let peaks: Vec<u64> = peaks
        .iter()
        .map(|p| p.load(Ordering::Relaxed) >> 10)
        .collect();
    record.line(&format!(
        "served {}, not served {}, of these closed without an answer {closed}; peaks {peaks:?} MB; ended {ended:?} times",
        served.load(Ordering::Relaxed),
        lost.len(),
    ));
    if !trouble && served.load(Ordering::Relaxed) == 0 {
        record.line("no request was served");
        return 2;
    }
    // Fault: processes of two machines at least end by themselves three times.
    let is_broken = ended.iter().filter(|count| **count >= 3).count() >= 2;
    record.line(if is_broken { "Fault" } else { "no fault" });
    i32::from(is_broken)
}

/// Does what the platform does with a process: one that exceeds its memory is killed, and
/// one that has ended is started again after a short delay.
fn keep_to_limit(
    entry: &Entry,
    stop: &AtomicBool,
    record: &Record,
    peak: &AtomicU64,
    ends: &AtomicU64,
) {
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
        let used = entry.memory_kb("VmRSS").unwrap_or(0);
        peak.fetch_max(used, Ordering::Relaxed);
        let is_over = used > MEMORY_KB;
        if !is_over && !entry.has_ended() {
            continue;
        }
        if is_over {
            record.line(&format!(
                "{} uses {} MB and is killed",
                entry.name(),
                used >> 10
            ));
        } else {
            record.line(&format!("{} has ended", entry.name()));
        }
        ends.fetch_add(1, Ordering::Relaxed);
        entry.kill();
        thread::sleep(Duration::from_millis(700));
        entry.start();
    }
}
