//! What processes of a large fleet tell each other, and how long one that is silent
//! counts as running.

use std::net::IpAddr;

use chervilquay::member::peers::Peer;
use chervilquay::member::peers::Peers;
use chervilquay::member::peers::Role;
use chervilquay::member::schedule;
use chervilquay::member::schedule::Changes;
use chervilquay::member::schedule::Kind;
use chervilquay::member::schedule::Schedule;
use chervilquay::member::schedule::Sender;
use chervilquay::table::replica::Position;
use chervilquay::time::Millis;

const ZONES: usize = 5;
const TICK_MS: u64 = 20;
const RUN_MS: u64 = 30_000;

/// A process by its number: every other one is an entry, and the zones take turns.
fn peer(index: usize) -> Peer {
    Peer {
        name: format!("p{index}"),
        role: role(index),
        ip: IpAddr::from([10, 0, (index / 250) as u8, (index % 250) as u8]),
        zone: format!("z{}", index / 2 % ZONES),
        started: 1,
        position: Position::default(),
        is_reader: false,
        last_heard: Millis(0),
        interval: Millis(0),
    }
}

fn role(index: usize) -> Role {
    if index.is_multiple_of(2) {
        Role::Entry
    } else {
        Role::Agent
    }
}

/// The processes that process `own` of a fleet knows.
fn others(own: usize, count: usize) -> Peers {
    let mut peers = Peers::default();
    for index in (0..count).filter(|index| *index != own) {
        peers.update(peer(index));
    }
    peers
}

fn sender(own: &Peer) -> Sender<'_> {
    Sender {
        name: &own.name,
        zone: &own.zone,
        ip: own.ip,
        role: own.role,
    }
}

/// Datagrams that process `own` of a fleet sends a second to each kind of receiver,
/// while its figures change all the time.
fn rates(own: usize, count: usize) -> Vec<(Kind, f64)> {
    let peers = others(own, count);
    let own = peer(own);
    let changes = Changes {
        figures: true,
        revision: false,
        urgent: false,
    };
    let mut schedule = Schedule::default();
    let kinds = [Kind::Near, Kind::Zone, Kind::Far, Kind::Brief];
    let mut sent = kinds.map(|kind| (kind, 0.0));
    for tick in 0..RUN_MS / TICK_MS {
        let now = Millis(100_000 + tick * TICK_MS);
        for target in schedule.due(now, &sender(&own), &peers, &[], changes) {
            for (kind, count) in &mut sent {
                *count += if *kind == target.kind { 1.0 } else { 0.0 };
            }
        }
    }
    let seconds = RUN_MS as f64 / 1_000.0;
    sent.into_iter().map(|(k, n)| (k, n / seconds)).collect()
}

fn total(own: usize, count: usize) -> f64 {
    rates(own, count).iter().map(|(_, rate)| rate).sum()
}

/// Guards against processes that each tell all others that they run. The users' bound is
/// twice the datagrams at 300 machines of those at 30.
#[test]
fn datagrams_are_bounded_in_a_large_fleet() {
    for own in [0, 1] {
        let (small, large) = (total(own, 30), total(own, 300));
        assert!(large <= 2.0 * small, "{own}: {large:.0} against {small:.0}");
    }
}

/// Guards against a change that takes until the next datagram of one certain process: of
/// those that know it, one tells each other process within a fraction of a second.
#[test]
fn news_reaches_other_zones_soon() {
    let far = |own| {
        let rates = rates(own, 300);
        let far = rates
            .iter()
            .filter(|(kind, _)| matches!(kind, Kind::Far | Kind::Brief));
        far.map(|(_, rate)| rate).sum::<f64>()
    };
    // All processes tell as many others as tell them.
    let received = (far(0) + far(1)) / 2.0;
    assert!(received >= 20.0, "{received:.1} a second");
}

/// Guards against a runner of another zone that no entry, or every entry, hears of.
#[test]
fn a_few_entries_of_each_zone_hear_of_a_runner() {
    let count = 200;
    let mut heard = vec![0; count];
    for own in (1..count).step_by(2) {
        let readers = others(own, count).remote_readers(&peer(own).name, &peer(own).zone);
        assert_eq!(readers.len(), 4 * (ZONES - 1), "readers of {own}");
        for index in (0..count).step_by(2) {
            heard[index] += usize::from(readers.contains(&peer(index).ip));
        }
    }
    let least = heard.iter().step_by(2).min();
    assert!(least.is_some_and(|least| *least >= 4), "{heard:?}");
}

/// Guards against reports that all move when one entry goes.
#[test]
fn readers_move_only_with_the_entry_that_goes() {
    let own = peer(1);
    let mut peers = others(1, 200);
    let before = peers.remote_readers(&own.name, &own.zone);
    let gone = before[0];
    let now = Millis(3_000);
    for index in 2..200 {
        let mut other = peer(index);
        other.last_heard = if other.ip == gone { Millis(0) } else { now };
        peers.update(other);
    }
    peers.tick(now);
    let after = peers.remote_readers(&own.name, &own.zone);
    let kept = before.iter().filter(|ip| after.contains(*ip)).count();
    assert_eq!(kept, before.len() - 1);
    assert_eq!(after.len(), before.len());
}

/// Guards against a process that is given up because it reports less often in a large
/// fleet, and one that is kept for ever.
#[test]
fn expiry_follows_the_stated_interval() {
    let mut peers = Peers::default();
    let slow = Peer {
        interval: Millis(4_000),
        ..peer(0)
    };
    peers.update(slow);
    peers.update(peer(1));
    let names = |peers: &Peers| peers.iter().map(|p| p.name.clone()).collect::<Vec<_>>();
    peers.tick(Millis(2_999));
    assert_eq!(names(&peers), ["p0", "p1"]);
    peers.tick(Millis(8_500));
    assert_eq!(names(&peers), ["p0"], "two datagrams may get lost");
    peers.tick(Millis(14_000));
    assert_eq!(names(&peers), [""; 0]);
}

/// Guards against a process that starts again and waits seconds to be told anything.
#[test]
fn new_start_is_told_at_once() {
    let peers = others(0, 300);
    let own = peer(0);
    let quiet = Changes {
        figures: false,
        revision: false,
        urgent: false,
    };
    let mut schedule = Schedule::default();
    let now = Millis(100_000);
    let first = schedule.due(now, &sender(&own), &peers, &[], quiet);
    assert_eq!(first.len(), 299, "every process is told once");
    let restarted = peer(299).ip;
    schedule.forget(restarted);
    let next = schedule.due(now.plus(Millis(20)), &sender(&own), &peers, &[], quiet);
    let told: Vec<IpAddr> = next.iter().map(|target| target.ip).collect();
    assert_eq!(told, [restarted]);
    assert!(schedule::far_interval(&peers, &own.zone) > Millis(900));
}
