//! Suspects: two crashes block, a success clears, no crash counts twice.

use chervilquay::gate::Suspects;
use chervilquay::gate::suspect;
use chervilquay::gate::suspect::EXPIRY;
use chervilquay::gate::suspect::MAX_ENTRIES;
use chervilquay::prelude::*;

const T0: Millis = Millis(5_000_000);

fn print(n: u32) -> [u8; 32] {
    suspect::fingerprint("org", "POST", "/v1", &n.to_be_bytes())
}

fn exchange(now: Millis, from: (&Suspects, u64), to: &mut Suspects) {
    for report in from.0.export(now) {
        to.merge(now, from.1, report);
    }
}

// Guards against parts of a request that could be moved from one field to the next.
#[test]
fn fields_stay_apart() {
    let left = suspect::fingerprint("ab", "c", "d", b"e");
    assert_ne!(left, suspect::fingerprint("a", "bc", "d", b"e"));
    assert_ne!(left, suspect::fingerprint("ab", "c", "", b"de"));
}

// Guards against a crashing request that is never blocked, or blocked for good.
#[test]
fn two_crashes_block() {
    let mut table = Suspects::default();
    table.record_crash(T0, print(1), 1);
    table.record_crash(T0, print(1), 1);
    assert!(table.is_suspect(T0, &print(1)));
    assert!(!table.is_blocked(T0, &print(1)));
    table.record_crash(T0, print(1), 2);
    assert!(table.is_blocked(T0, &print(1)));
    assert_eq!(table.remaining(T0, &print(1)), EXPIRY);
    let end = T0.plus(EXPIRY);
    assert!(table.is_blocked(Millis(end.0 - 1), &print(1)));
    assert!(!table.is_blocked(end, &print(1)));
    table.record_crash(end, print(1), 3);
    assert!(!table.is_blocked(end, &print(1)));
}

// Guards against requests that are blamed for crashes of others: a success
// clears them here and at peers, and an old notice does not bring the count back.
#[test]
fn success_clears() {
    let (mut a, mut b) = (Suspects::default(), Suspects::default());
    a.record_crash(T0, print(1), 1);
    let old = a.export(T0);
    exchange(T0, (&a, 1), &mut b);
    assert!(b.is_suspect(T0, &print(1)));
    b.record_crash(T0, print(1), 2);
    assert!(b.is_blocked(T0, &print(1)));
    let later = T0.plus(Millis(10));
    a.record_success(later, &print(1));
    assert!(!a.is_suspect(later, &print(1)));
    exchange(later, (&a, 1), &mut b);
    assert!(!b.is_suspect(later, &print(1)));
    b.merge(later, 1, old[0]);
    assert!(!b.is_suspect(later, &print(1)));
    exchange(later, (&b, 2), &mut a);
    // The success was at a, after the crash that b reports.
    b.record_crash(later, print(1), 3);
    assert!(!b.is_blocked(later, &print(1)));
}

// Guards against one crash that is counted twice because notices are repeated,
// reordered or passed around a ring.
#[test]
fn merges_are_idempotent() {
    let mut tables = [const { None::<Suspects> }; 3].map(|_| Suspects::default());
    let mut rng = fastrand::Rng::with_seed(4);
    tables[0].record_crash(T0, print(1), 1);
    let mut sent = vec![(0, tables[0].export(T0))];
    for _ in 0..500 {
        let from = rng.usize(..3);
        sent.push((from, tables[from].export(T0)));
        let (from, reports) = &sent[rng.usize(..sent.len())];
        let to = rng.usize(..3);
        if to == *from {
            continue;
        }
        for report in reports {
            tables[to].merge(T0, *from as u64, *report);
        }
        assert!(tables.iter().all(|t| !t.is_blocked(T0, &print(1))));
    }
    tables[2].record_crash(T0, print(1), 2);
    for to in 0..2 {
        let reports = tables[2].export(T0);
        reports.iter().for_each(|r| tables[to].merge(T0, 2, *r));
        assert!(tables[to].is_blocked(T0, &print(1)));
    }
}

// Guards against a table that grows without bound, and against many harmless
// entries that push out a blocked one.
#[test]
fn entries_are_bounded() {
    let mut table = Suspects::default();
    table.record_crash(T0, print(0), 1);
    table.record_crash(T0, print(0), 2);
    for n in 1..3_000 {
        table.record_crash(T0.plus(Millis(n)), print(n as u32), 1);
        assert!(table.len() <= MAX_ENTRIES);
    }
    let now = T0.plus(Millis(3_000));
    assert!(table.is_blocked(now, &print(0)));
    table.tick(now.plus(EXPIRY));
    assert!(table.is_empty());
}
