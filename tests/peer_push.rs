//! Changes of the store that reach a zone's processes in datagrams: four real entry processes
//! with a stand-in for the store.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use support::prepared;
use support::prepared::Entry;
use support::prepared::Store;
use support::prepared::send;

/// Value of a counter, over all its tags.
fn counter(entry: &Entry, name: &str) -> f64 {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let answer = send(entry.internal, text).expect("the metrics").text();
    let lines = answer.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Guards against a zone in which all entries fetch each change from its two readers, on a
/// connection each.
#[test]
fn changes_come_with_the_news() {
    const CHANGES: u64 = 20;
    let ips: Vec<Ipv4Addr> = (1..=4)
        .map(|last| Ipv4Addr::new(127, 0, 24, last))
        .collect();
    let seeds: Vec<SocketAddr> = ips
        .iter()
        .map(|ip| SocketAddr::from((*ip, 18_000)))
        .collect();
    let (store, addr) = Store::start(Ipv4Addr::new(127, 0, 24, 100));
    store.put("op/config", &prepared::config(1));
    let start = |ip: &Ipv4Addr| Entry::start_with(*ip, &seeds, addr, "");
    let entries: Vec<Entry> = ips.iter().map(start).collect();
    entries.iter().for_each(Entry::until_ready);
    // Two entries read the store once all know each other.
    let reads = |entry: &Entry| counter(entry, "chervilquay_store_total");
    prepared::until(|| {
        let before: Vec<f64> = entries.iter().map(reads).collect();
        std::thread::sleep(std::time::Duration::from_secs(2));
        let still = entries.iter().zip(&before);
        still
            .filter(|(entry, before)| reads(entry) > **before)
            .count()
            == 2
    });
    let sum = |name| {
        entries
            .iter()
            .map(|entry| counter(entry, name))
            .sum::<f64>()
    };
    let fetched = sum("chervilquay_peer_fetched");
    for change in 2..2 + CHANGES {
        store.put("op/config", &prepared::config(change));
        prepared::until(|| entries.iter().all(|entry| entry.version() == change));
    }
    let pushed = sum("chervilquay_peer_pushed");
    let fetched = sum("chervilquay_peer_fetched") - fetched;
    // Each change reaches two entries; a datagram may get lost beside load.
    assert!(
        pushed >= CHANGES as f64 && fetched <= CHANGES as f64 / 2.0,
        "{pushed} pushed, {fetched} fetched"
    );
}
