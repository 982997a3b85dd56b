//! A store that comes back from an older copy: it has lost what it had acknowledged since
//! then, and gives out revisions again.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use support::prepared::Entry;
use support::prepared::Store;
use support::prepared::config;
use support::prepared::until;

/// Guards against changes that are taken for old ones, as the restored store gives them
/// revisions that it had given out before.
#[test]
fn changes_after_restore_are_in_force() {
    let ip = Ipv4Addr::new(127, 0, 0, 103);
    let (store, addr) = Store::start(ip);
    store.put("op/config", &config(1));
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    let copy = store.copy();
    for number in 2..12 {
        store.put("op/config", &config(number));
    }
    until(|| entry.version() == 11);
    store.restore(copy);
    store.put("op/config", &config(12));
    until(|| entry.version() == 12);
    store.put("op/config", &config(13));
    until(|| entry.version() == 13);
}

/// Guards against the same where the store has been restored twice and given out more
/// revisions than before, so that no call shows that the history is gone.
#[test]
fn second_restore_is_noticed() {
    let ip = Ipv4Addr::new(127, 0, 0, 104);
    let (store, addr) = Store::start(ip);
    store.put("op/config", &config(1));
    let entry = Entry::start(ip, addr);
    entry.until_ready();
    let copy = store.copy();
    store.put("op/config", &config(2));
    until(|| entry.version() == 2);
    for first in [3, 10] {
        store.restore(copy.clone());
        store.put("op/config", &config(first));
        for other in 0..first {
            store.put(&format!("other/{other}"), &serde_json::json!({}));
        }
        until(|| entry.version() == first);
    }
}

/// Guards against a configuration from before the restore that comes back in force at some
/// of the entries, or at one that starts after it.
#[test]
fn entries_agree_after_restore() {
    let ips = [5, 6, 7].map(|last| Ipv4Addr::new(127, 0, 26, last));
    let seeds: Vec<SocketAddr> = ips.iter().map(|ip| (*ip, 18_000).into()).collect();
    let (store, addr) = Store::start(ips[0]);
    store.put("op/config", &config(1));
    let start = |index: usize| Entry::start_with(ips[index], &seeds, addr, "");
    let mut entries = vec![start(0), start(1)];
    entries.iter().for_each(Entry::until_ready);
    let copy = store.copy();
    for number in 2..8 {
        store.put("op/config", &config(number));
    }
    until(|| entries.iter().all(|entry| entry.version() == 7));
    store.restore(copy);
    // What the operator wrote is written again.
    store.put("op/config", &config(7));
    entries.push(start(2));
    store.put("op/config", &config(8));
    until(|| entries.iter().all(|entry| entry.version() == 8));
    store.put("op/config", &config(9));
    until(|| entries.iter().all(|entry| entry.version() == 9));
}
