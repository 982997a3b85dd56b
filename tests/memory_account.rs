//! The account of what callers make a process hold, without a network.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use chervilquay::arena::Key;
use chervilquay::net::memory::Account;
use chervilquay::net::memory::CONNECTION;
use chervilquay::net::memory::Class;
use chervilquay::net::memory::Holder;
use chervilquay::net::memory::SMALL;
use chervilquay::net::memory::Size;
use chervilquay::net::memory::Use;
use chervilquay::net::memory::Verdict;
use chervilquay::time::Millis;

/// Largest body that the limits allow.
const BODY: usize = 4 << 20;

fn source(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn open(account: &mut Account, now: u64, from: u8) -> Key<Holder> {
    let opened = account.connect(Millis(now), Class::Callers, source(from));
    opened.expect("a connection")
}

fn body(account: &mut Account, now: u64, from: u8) -> Key<Holder> {
    let connection = open(account, now, from);
    account.set_use(Millis(now), connection, Use::Running);
    account.begin(Millis(now), connection, Use::Body)
}

/// Guards against a limit that a single client within the limits meets, on any machine.
#[test]
fn single_body_fits() {
    for memory_mb in [24, 112, 260, 512] {
        let mut account = Account::new(Size::of_machine(memory_mb, 1_024));
        let key = body(&mut account, 0, 1);
        assert_eq!(account.reserve(Millis(0), key, BODY), Verdict::Granted);
    }
}

/// Guards against large bodies that keep out ordinary callers, or those of other sources.
#[test]
fn crowd_leaves_room() {
    let mut account = Account::new(Size::of_machine(112, 1_024));
    let mut crowd = |from| {
        let mut granted = 0;
        for _ in 0..40 {
            let key = body(&mut account, 0, from);
            granted += usize::from(account.reserve(Millis(0), key, BODY) == Verdict::Granted);
        }
        granted
    };
    assert_eq!((crowd(1), crowd(2)), (7, 2));
    let small = body(&mut account, 0, 1);
    assert_eq!(account.reserve(Millis(0), small, SMALL), Verdict::Granted);
}

/// Guards against closing a caller that sends while another has stopped, and against closing
/// one that has just begun.
#[test]
fn least_progress_is_closed() {
    let mut account = Account::new(Size::of_machine(24, 1_024));
    let bytes = 2 << 20;
    let (stopped, sends) = (body(&mut account, 0, 1), body(&mut account, 0, 1));
    for key in [stopped, sends] {
        assert_eq!(account.reserve(Millis(0), key, bytes), Verdict::Granted);
        account.record_progress(Millis(0), key, 1 << 20);
    }
    let waits = body(&mut account, 500, 1);
    assert_eq!(account.reserve(Millis(500), waits, bytes), Verdict::Wait);
    account.record_progress(Millis(1_000), sends, 10_000);
    let verdict = account.reserve(Millis(1_100), waits, bytes);
    assert_eq!(verdict, Verdict::Close(stopped));
    // Its memory is on its way, so nobody else is closed.
    assert_eq!(account.reserve(Millis(9_000), waits, bytes), Verdict::Wait);
    account.remove(stopped);
    assert_eq!(
        account.reserve(Millis(9_000), waits, bytes),
        Verdict::Granted
    );
}

/// Guards against an answer that is not read and stays: its connection is closed.
#[test]
fn unread_answer_is_closed() {
    let mut account = Account::new(Size::of_machine(24, 1_024));
    let reader = open(&mut account, 0, 1);
    let answer = account.begin(Millis(0), reader, Use::Answer);
    assert_eq!(account.reserve(Millis(0), answer, BODY), Verdict::Granted);
    let waits = body(&mut account, 2_000, 1);
    let verdict = account.reserve(Millis(2_000), waits, BODY);
    assert_eq!(verdict, Verdict::Close(reader));
}

/// Guards against refusing a new connection while others are idle, and against closing one
/// with a request in progress.
#[test]
fn oldest_idle_connection_is_closed() {
    let mut account = Account::new(Size::of_machine(112, 300));
    let most = account.size().callers;
    let all: Vec<_> = (0..most)
        .map(|n| open(&mut account, n as u64, n as u8))
        .collect();
    account.set_use(Millis(100), all[0], Use::Running);
    let closed = account.connect(Millis(200), Class::Callers, source(200));
    assert_eq!(closed, Err(Verdict::Close(all[1])));
    for key in &all {
        account.set_use(Millis(300), *key, Use::Running);
    }
    let full = account.connect(Millis(400), Class::Callers, source(200));
    assert_eq!(full, Err(Verdict::Wait));
    assert!(
        account
            .connect(Millis(400), Class::Internal, source(200))
            .is_ok()
    );
}

/// Body of the crowd: its holder, its connection, its length, the bytes received, and true when
/// it stops short of its end.
type Member = (Key<Holder>, Key<Holder>, usize, usize, bool);

/// Guards against sums that exceed the bound or drift, and against a crowd under which nobody
/// gets on: bodies stop anywhere, and what waits must be served in the end.
#[test]
fn random_crowd() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let size = Size::of_machine(random.usize(24..130), random.usize(300..600));
        let mut account = Account::new(size);
        let mut connections: Vec<Key<Holder>> = Vec::new();
        let mut bodies: Vec<Member> = Vec::new();
        let mut closing: Vec<Key<Holder>> = Vec::new();
        let mut served = 0;
        for step in 0..6_000_u64 {
            let now = Millis(step * 10);
            if random.u8(..3) == 0 {
                match account.connect(now, Class::Callers, source(random.u8(1..6))) {
                    Ok(key) => {
                        account.set_use(now, key, Use::Running);
                        connections.push(key);
                        let held = account.begin(now, key, Use::Body);
                        let length = match random.bool() {
                            true => random.usize(1..SMALL),
                            false => random.usize(1..BODY),
                        };
                        bodies.push((held, key, length, 0, random.u8(..4) > 0));
                    }
                    Err(Verdict::Close(key)) => closing.push(key),
                    Err(_) => {}
                }
            }
            for (held, _, length, received, stops) in &mut bodies {
                match account.reserve(now, *held, *length) {
                    Verdict::Granted => {
                        let end = *length - usize::from(*stops);
                        let piece = (end - *received).min(64 << 10);
                        *received += piece;
                        account.record_progress(now, *held, piece);
                    }
                    Verdict::Close(key) => closing.push(key),
                    Verdict::Wait => {}
                }
            }
            // Owners close a little later, and with a connection all that belongs to it.
            if step % 3 == 0 {
                for key in closing.drain(..) {
                    bodies.retain(|b| {
                        b.0 != key && b.1 != key || {
                            account.remove(b.0);
                            false
                        }
                    });
                    account.remove(key);
                }
            }
            // Those that stop short go after ten seconds.
            let ended: Vec<_> = bodies
                .extract_if(.., |b| b.3 == b.2 || random.u16(..1_000) == 0)
                .collect();
            for (held, connection, length, received, _) in ended {
                served += usize::from(length == received && length > SMALL);
                account.remove(held);
                account.remove(connection);
                connections.retain(|c| *c != connection);
            }
            connections.retain(|c| account.held(*c) > 0);
            assert!(account.bytes() <= size.bytes, "seed {seed}, step {step}");
            let sum: usize = bodies.iter().map(|b| account.held(b.0)).sum();
            let sum = sum + connections.len() * CONNECTION;
            assert!(account.bytes() >= sum.min(1), "seed {seed}, step {step}");
        }
        // On the smallest machine one source has room for one or two large bodies. One that stops
        // keeps its room for a second at least, and three of four do.
        assert!(served >= 10, "seed {seed}: {served} large bodies served");
        for (held, connection, ..) in bodies {
            account.remove(held);
            account.remove(connection);
        }
        for key in connections {
            account.remove(key);
        }
        assert_eq!(account.bytes(), 0, "seed {seed}: sums drift");
        assert_eq!(account.connections(Class::Callers), 0, "seed {seed}");
    }
}
