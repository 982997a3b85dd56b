//! Configurations with many routes come in quick succession while the zone in which
//! the store stands has lost its machines.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::caller::{self, End, HOST, KEY};
use crate::fleet::{self, Entry, Record};
use crate::link;
use crate::pool::{Log, Pool, Spec};
use crate::store::Store;

const OLD: &str = "werkbank";
const NEW: &str = "werkbank-neu";
const ZONES: [&str; 3] = ["wien-a", "tirol-a", "salzburg-a"];

/// Key that the last configuration no longer has.
const DROPPED: &str = "k9dropped1x";

/// Link between two regions, 28 Mbit/s each way, in bytes a second.
const REGION_RATE: f64 = 28e6 / 8.0;

/// Routes that `big_config` adds, and the changes of a `config_storm`.
const ROUTES: u32 = 1_600;
const CHANGES: u32 = 25;
const GAP: Duration = Duration::from_millis(80);

/// Bound of the rule, from the settings.
const CONFIG_APPLY_MS: u64 = 3_000;

/// Returns a configuration. The route `/move/` belongs to `service`, and `DROPPED` is a key
/// unless `is_last`.
fn config(version: u32, service: &str, is_last: bool) -> String {
    let mut routes = vec![format!(
        "{{\"name\":\"r-move\",\"host\":\"{HOST}\",\"prefix\":\"/move/\",\"kind\":\"non_idempotent\",\
         \"timeout_ms\":800,\"slo_ms\":300,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":1,\
         \"public\":false}}"
    )];
    for index in 0..ROUTES {
        let mark = index.wrapping_mul(0x9e37_79b9);
        routes.push(format!(
            "{{\"name\":\"r-{mark:08x}\",\"host\":\"h{mark:08x}.example\",\"prefix\":\"/x{index}/y{mark:x}/\",\
             \"kind\":\"streaming\",\"timeout_ms\":{},\"slo_ms\":400,\"priority\":1,\"service\":\"{OLD}\",\
             \"max_attempts\":2,\"public\":false,\"affinity\":true,\"resumable\":true,\"gap_target_ms\":400}}",
            6_000 + version
        ));
    }
    let services: Vec<String> = [OLD, NEW]
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":100,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let keys = if is_last {
        format!("\"{KEY}\"")
    } else {
        format!("\"{KEY}\",\"{DROPPED}\"")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[{keys}],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let zones = [ZONES[0], ZONES[1], ZONES[1], ZONES[2], ZONES[2]];
    let machines: Vec<_> = (1..=5).map(fleet::machine).collect();
    let ports = fleet::free_ports(&machines);
    let (store, near) = Store::start(fleet::machine(0));
    let links = [
        near,
        link::start(fleet::machine(0), near, REGION_RATE),
        link::start(fleet::machine(0), near, REGION_RATE),
    ];
    let first = config(10, OLD, false);
    record.line(&format!("a configuration has {} bytes", first.len()));
    store.put("op/config", Some(first));
    let log: Log = Arc::default();
    let pools: Vec<Pool> = [OLD, NEW]
        .iter()
        .map(|service| {
            let spec = Spec {
                service,
                zones: &ZONES,
                ip: fleet::machine(0),
                deadly: "",
            };
            Pool::start(&spec, &store, record, &log)
        })
        .collect();
    let entries: Vec<Entry> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let link = links[ZONES.iter().position(|z| z == zone).unwrap_or(0)];
            Entry::new(dir, index as u8 + 1, zone, &machines, ports, link, true)
        })
        .collect();
    let is_up = entries.iter().all(|e| e.start())
        && entries
            .iter()
            .all(|e| e.until_ready(Duration::from_secs(15)));
    if !is_up {
        record.line("an entry did not start");
        pools.into_iter().for_each(Pool::stop);
        return 2;
    }
    thread::sleep(Duration::from_millis(4_000));
    if trouble {
        record.line("the machines of wien-a lose power");
        entries[0].kill();
    }
    // The other machines are in touch, and the loss has been noticed.
    thread::sleep(Duration::from_millis(8_000));
    for change in 1..=CHANGES {
        let is_last = change == CHANGES;
        let service = if is_last { NEW } else { OLD };
        store.put("op/config", Some(config(10 + 3 * change, service, is_last)));
        record.line(&format!("version {} is acknowledged", 10 + 3 * change));
        if !is_last {
            thread::sleep(GAP);
        }
    }
    let acknowledged = record.ms();
    let mut late = [Vec::new(), Vec::new()];
    let mut number = 0;
    while record.ms() < acknowledged + 26_000 {
        for entry in &entries[1..] {
            for (index, key) in [KEY, DROPPED].iter().enumerate() {
                number += 1;
                let id = format!("m{number:05}");
                let sent = record.ms();
                let end = caller::send_as(
                    entry.callers,
                    "POST",
                    "/move/x",
                    &id,
                    b"deposit",
                    1_500,
                    key,
                );
                record.line(&format!(
                    "caller: POST /move/x {id} with {key} to {}, {} ms after: {end:?}",
                    entry.name(),
                    sent - acknowledged
                ));
                if sent > acknowledged + CONFIG_APPLY_MS && matches!(end, End::Status(..)) {
                    late[index].push((sent - acknowledged, id, entry.name().to_string()));
                }
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    let ended = entries[1..].iter().filter(|e| e.has_ended()).count();
    for entry in &entries {
        entry.kill();
    }
    pools.into_iter().for_each(Pool::stop);
    if ended > 0 {
        record.line(&format!("{ended} entries have ended"));
    }
    // CONFIG: run by the old service, or run with a dropped key.
    let log = log.lock().unwrap();
    let ran = |id: &str, service: &str| {
        let from = format!("run i-{service}-");
        log.iter().any(|seen| {
            let mut words = seen.text.split(' ');
            seen.text.starts_with(&from)
                && seen.text[from.len()..].starts_with(|c: char| c.is_ascii_digit())
                && words.nth(2) == Some(id)
        })
    };
    let by_old: Vec<_> = late[0].iter().filter(|(_, id, _)| ran(id, OLD)).collect();
    let by_key: Vec<_> = late[1]
        .iter()
        .filter(|(_, id, _)| ran(id, OLD) || ran(id, NEW))
        .collect();
    let last = by_old.iter().chain(&by_key).map(|(at, _, _)| *at).max();
    record.line(&format!(
        "sent later than {CONFIG_APPLY_MS} ms after the acknowledgement: {} of {} run by the old service, \
         {} of {} run with the dropped key, the last {last:?} ms after it",
        by_old.len(),
        late[0].len(),
        by_key.len(),
        late[1].len()
    ));
    if late[0].is_empty() || ended > 0 {
        return 2;
    }
    let is_broken = !by_old.is_empty() || !by_key.is_empty();
    record.line(if is_broken {
        "CONFIG is broken"
    } else {
        "CONFIG holds"
    });
    i32::from(is_broken)
}
