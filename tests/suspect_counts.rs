//! Suspects: two crashes block a request, a success clears it, and no crash counts twice.

use chervilquay::gate::Suspects;
use chervilquay::gate::suspect;
use chervilquay::gate::suspect::EXPIRY;
use chervilquay::gate::suspect::MAX_ENTRIES;
use chervilquay::prelude::*;

const T0: Millis = Millis(5_000_000);

fn fingerprint(n: u32) -> [u8; 32] {
    suspect::fingerprint("org", "POST", "/v1", &n.to_be_bytes())
}

fn send_counts(now: Millis, from: (&Suspects, u64), to: &mut Suspects) {
    for report in from.0.export(now) {
        to.merge(now, from.1, report);
    }
}

// Guards against equal fingerprints of requests whose fields differ but are the same
// text when joined.
#[test]
fn fields_stay_apart() {
    let left = suspect::fingerprint("ab", "c", "d", b"e");
    assert_ne!(left, suspect::fingerprint("a", "bc", "d", b"e"));
    assert_ne!(left, suspect::fingerprint("ab", "c", "", b"de"));
}

// Guards against a request that crashes upstreams and is never blocked, and against one
// that is blocked forever.
#[test]
fn two_crashes_block() {
    let mut suspects = Suspects::default();
    suspects.record_crash(T0, fingerprint(1), 1);
    suspects.record_crash(T0, fingerprint(1), 1);
    assert!(suspects.is_suspect(T0, &fingerprint(1)));
    assert!(!suspects.is_blocked(T0, &fingerprint(1)));
    suspects.record_crash(T0, fingerprint(1), 2);
    assert!(suspects.is_blocked(T0, &fingerprint(1)));
    assert_eq!(suspects.remaining(T0, &fingerprint(1)), EXPIRY);
    let end = T0.plus(EXPIRY);
    assert!(suspects.is_blocked(Millis(end.0 - 1), &fingerprint(1)));
    assert!(!suspects.is_blocked(end, &fingerprint(1)));
    suspects.record_crash(end, fingerprint(1), 3);
    assert!(!suspects.is_blocked(end, &fingerprint(1)));
}

// Guards against requests that are blocked for the crashes of others: a success clears
// them here and at peers, and an old message does not bring the count back.
#[test]
fn success_clears() {
    let (mut a, mut b) = (Suspects::default(), Suspects::default());
    a.record_crash(T0, fingerprint(1), 1);
    let old = a.export(T0);
    send_counts(T0, (&a, 1), &mut b);
    assert!(b.is_suspect(T0, &fingerprint(1)));
    b.record_crash(T0, fingerprint(1), 2);
    assert!(b.is_blocked(T0, &fingerprint(1)));
    let later = T0.plus(Millis(10));
    a.record_success(later, &fingerprint(1));
    assert!(!a.is_suspect(later, &fingerprint(1)));
    send_counts(later, (&a, 1), &mut b);
    assert!(!b.is_suspect(later, &fingerprint(1)));
    b.merge(later, 1, old[0]);
    assert!(!b.is_suspect(later, &fingerprint(1)));
    send_counts(later, (&b, 2), &mut a);
    // The success at `a` came after the crash that `b` reports.
    b.record_crash(later, fingerprint(1), 3);
    assert!(!b.is_blocked(later, &fingerprint(1)));
}

// Guards against a crash that is counted twice because messages are repeated, reordered
// or passed on in a circle.
#[test]
fn merges_are_idempotent() {
    let mut tables = [const { None::<Suspects> }; 3].map(|_| Suspects::default());
    let mut rng = fastrand::Rng::with_seed(4);
    tables[0].record_crash(T0, fingerprint(1), 1);
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
        assert!(tables.iter().all(|t| !t.is_blocked(T0, &fingerprint(1))));
    }
    tables[2].record_crash(T0, fingerprint(1), 2);
    for to in 0..2 {
        let reports = tables[2].export(T0);
        reports.iter().for_each(|r| tables[to].merge(T0, 2, *r));
        assert!(tables[to].is_blocked(T0, &fingerprint(1)));
    }
}

// Guards against unlimited growth, and against harmless entries that displace a blocked
// one.
#[test]
fn entries_are_bounded() {
    let mut suspects = Suspects::default();
    suspects.record_crash(T0, fingerprint(0), 1);
    suspects.record_crash(T0, fingerprint(0), 2);
    for n in 1..3_000 {
        suspects.record_crash(T0.plus(Millis(n)), fingerprint(n as u32), 1);
        assert!(suspects.len() <= MAX_ENTRIES);
    }
    let now = T0.plus(Millis(3_000));
    assert!(suspects.is_blocked(now, &fingerprint(0)));
    suspects.tick(now.plus(EXPIRY));
    assert!(suspects.is_empty());
}
