//! Order of sets, refusals, conflicts and half-published pairs at one process.

use chervilquay::bench::tables::texts;
use chervilquay::bench::tables::texts::Shape;
use chervilquay::prelude::*;
use chervilquay::proto::Notice;
use chervilquay::table::Stamp;
use chervilquay::table::sync::Action;
use chervilquay::table::sync::ConfigKey;
use chervilquay::table::sync::Core;
use chervilquay::table::sync::Event;
use chervilquay::table::sync::FetchKind;
use chervilquay::table::sync::Parsers;
use chervilquay::table::sync::Reading;
use chervilquay::table::sync::Settings;
use chervilquay::table::sync::Source;
use chervilquay::table::sync::SyncMode;

const SHAPE: Shape = Shape {
    nodes: 6,
    zones: 1,
    routes: 4,
    pools: 2,
};

/// One core with the time and what it wants done.
struct Rig {
    core: Core,
    now: Millis,
    index: u64,
    out: Vec<Action>,
}

impl Rig {
    fn new(seeds: usize) -> Rig {
        let settings = Settings {
            addr: texts::addr(0),
            zone: texts::zone(0, 1),
            seeds: (1..=seeds).map(texts::addr).collect(),
            sync_mode: SyncMode::Peers,
            parsers: Parsers::default(),
        };
        let core = Core::new(settings, fastrand::Rng::with_seed(3));
        let mut rig = Rig {
            core,
            now: Millis(0),
            index: 0,
            out: Vec::new(),
        };
        rig.wait(0);
        rig
    }

    fn wait(&mut self, ms: u64) {
        let end = self.now.plus(Millis(ms));
        loop {
            self.core.tick(self.now, &mut self.out);
            if self.now >= end {
                break;
            }
            self.now = self.now.plus(Millis(250)).min(end);
        }
    }

    fn event(&mut self, event: Event) {
        self.core.on_event(self.now, event, &mut self.out);
    }

    fn read(&mut self, key: ConfigKey, text: &str) {
        self.index += 1;
        let reading = Reading {
            index: self.index,
            text: text.into(),
        };
        self.event(Event::Read {
            call: 0,
            key,
            reading: Some(reading),
        });
    }

    fn publish(&mut self, revision: u64, variant: u64) {
        self.read(ConfigKey::Routes, &texts::routes(SHAPE, revision, variant));
        let pools = texts::pools(SHAPE, revision, variant, texts::addr);
        self.read(ConfigKey::Pools, &pools);
    }

    fn reports(&self, code: Code) -> usize {
        let same =
            |action: &&Action| matches!(action, Action::Report { code: c, .. } if *c == code);
        self.out.iter().filter(same).count()
    }

    fn exchanges(&self) -> Vec<(u64, std::net::SocketAddr)> {
        let call = |action: &Action| match action {
            Action::Exchange { call, to } => Some((*call, *to)),
            _ => None,
        };
        self.out.iter().filter_map(call).collect()
    }

    fn revision(&self) -> u64 {
        self.core.stamp().revision
    }
}

fn notice(from: usize, core: &Core) -> Notice {
    Notice {
        from: texts::addr(from).to_string(),
        ..core.notice()
    }
}

// Guards against a set made of tables of two revisions.
#[test]
fn half_pair_waits() {
    let mut rig = Rig::new(0);
    rig.publish(1, 0);
    rig.read(ConfigKey::Routes, &texts::routes(SHAPE, 2, 1));
    assert_eq!(rig.revision(), 1);
    assert!(rig.core.dump(rig.now).waiting.is_some());
    rig.read(ConfigKey::Pools, &texts::pools(SHAPE, 2, 1, texts::addr));
    assert_eq!(rig.revision(), 2);
    assert_eq!(rig.core.dump(rig.now).waiting, None);
}

// Guards against a lower revision that comes into force or is passed over in silence.
#[test]
fn lower_is_reported() {
    let mut rig = Rig::new(0);
    rig.publish(5, 0);
    rig.publish(4, 1);
    assert_eq!(rig.revision(), 5);
    assert_eq!(rig.reports(Code::RevisionLower), 1);
    let lower = rig.core.dump(rig.now).lower.expect("shown");
    assert_eq!(lower.revision, 4);
}

// Guards against processes that differ about two contents of one revision.
#[test]
fn conflict_takes_greater_digest() {
    let in_force = |variants: [u64; 2]| {
        let mut rig = Rig::new(0);
        rig.read(ConfigKey::Pools, &texts::pools(SHAPE, 3, 0, texts::addr));
        for variant in variants {
            rig.read(ConfigKey::Routes, &texts::routes(SHAPE, 3, variant));
        }
        let dump = rig.core.dump(rig.now);
        assert!(rig.reports(Code::RevisionConflict) >= 1);
        let conflict = dump.conflict.expect("shown");
        assert_eq!(conflict.in_force, dump.in_force.digest);
        assert!(conflict.in_force > conflict.other);
        dump.in_force
    };
    assert_eq!(in_force([1, 2]), in_force([2, 1]));
}

// Guards against an invalid set that replaces a good one or is refused without a reason.
#[test]
fn invalid_is_refused() {
    let mut rig = Rig::new(0);
    rig.publish(1, 0);
    let routes = texts::routes(SHAPE, 2, 0).replace("pool: pool-1", "pool: absent");
    rig.read(ConfigKey::Routes, &routes);
    rig.read(ConfigKey::Pools, &texts::pools(SHAPE, 2, 0, texts::addr));
    let dump = rig.core.dump(rig.now);
    assert_eq!(dump.in_force.revision, 1);
    assert_eq!(dump.refused.len(), 1);
    assert_eq!(dump.refused[0].code, "E2005");
    rig.publish(3, 1);
    assert_eq!(rig.revision(), 3);
}

// Guards against a process that serves before the peers it asked have answered.
#[test]
fn start_asks_peers() {
    let mut rig = Rig::new(3);
    let asked = rig.exchanges();
    assert_eq!(asked.len(), 3);
    rig.publish(1, 0);
    assert!(!rig.core.is_ready(), "peers have not answered yet");
    let mut peer = Rig::new(0);
    peer.publish(2, 1);
    for (call, to) in asked {
        rig.event(Event::Reply {
            call,
            from: to,
            notice: Some(notice(texts::index(to), &peer.core)),
        });
    }
    assert!(!rig.core.is_ready(), "a greater set is being fetched");
    let fetch = rig.out.iter().find_map(|action| match action {
        Action::Fetch { call, to, base, .. } => Some((*call, *to, base.clone())),
        _ => None,
    });
    let (call, from, base) = fetch.expect("a fetch");
    let reply = Some(peer.core.reply(FetchKind::Tables, &base));
    rig.event(Event::Fetched {
        call,
        from,
        kind: FetchKind::Tables,
        base,
        reply,
    });
    assert!(rig.core.is_ready());
    assert_eq!(rig.revision(), 2);
    assert_eq!(rig.core.dump(rig.now).source, Some(Source::Platform));
}

// Guards against a process that waits for dead peers or a dead platform for ever, or hammers it.
#[test]
fn empty_backs_off() {
    let mut rig = Rig::new(2);
    let mut reads = 0;
    for _ in 0..600 {
        rig.wait(1_000);
        let failed: Vec<(u64, ConfigKey)> = rig
            .out
            .drain(..)
            .filter_map(|action| match action {
                Action::Read { call, key, .. } => Some((call, key)),
                _ => None,
            })
            .collect();
        reads += failed.len();
        for (call, key) in failed {
            let reading = None;
            rig.event(Event::Read { call, key, reading });
        }
    }
    assert!((20..200).contains(&reads), "{reads} reads in 10 min");
    rig.publish(1, 0);
    assert!(rig.core.is_ready());
}

// Guards against decisions from views that are older than a pause.
#[test]
fn pause_makes_stale() {
    let mut rig = Rig::new(1);
    rig.publish(1, 0);
    rig.wait(5_000);
    assert!(!rig.core.is_stale(rig.now));
    rig.now = rig.now.plus(Millis(2_500));
    assert!(rig.core.is_stale(rig.now), "before the first tick");
    rig.out.clear();
    rig.wait(0);
    assert!(rig.core.is_stale(rig.now), "until a peer has answered");
    let (call, from) = rig.exchanges()[0];
    let mut newer = Rig::new(0);
    newer.publish(2, 1);
    rig.event(Event::Reply {
        call,
        from,
        notice: Some(notice(1, &newer.core)),
    });
    assert!(rig.core.is_stale(rig.now), "until the newer set is held");
    rig.publish(2, 1);
    assert!(!rig.core.is_stale(rig.now));
    assert_eq!(rig.core.counters().jumps, 1);
}

// Guards against content that does not match its stamp, and against giving up after it.
#[test]
fn wrong_digest_is_fetched_whole() {
    let mut rig = Rig::new(1);
    rig.publish(1, 0);
    let mut peer = Rig::new(0);
    peer.publish(1, 0);
    peer.publish(2, 1);
    rig.out.clear();
    rig.event(Event::Notice(notice(1, &peer.core)));
    for (round, whole) in [(0, false), (1, true)] {
        let (call, base) = rig
            .out
            .iter()
            .rev()
            .find_map(|action| match action {
                Action::Fetch {
                    call,
                    kind: FetchKind::Tables,
                    base,
                    ..
                } => Some((*call, base.clone())),
                _ => None,
            })
            .expect("a fetch");
        assert_eq!(base == Stamp::default(), whole);
        let mut reply = (*peer.core.reply(FetchKind::Tables, &base)).clone();
        assert_eq!(reply.delta.is_empty(), whole);
        if round == 0 {
            reply.delta[0].text.push(' ');
        }
        rig.event(Event::Fetched {
            call,
            from: texts::addr(1),
            kind: FetchKind::Tables,
            base,
            reply: Some(Arc::new(reply)),
        });
    }
    assert_eq!(rig.revision(), 2);
    assert_eq!(rig.reports(Code::ProtocolInvalid), 1);
}

// Guards against a live list that cannot go back, or that a stale replica undoes.
#[test]
fn live_goes_back() {
    let mut rig = Rig::new(0);
    let all = texts::live(SHAPE, |_| false, texts::addr);
    let fewer = texts::live(SHAPE, |node| node == 3, texts::addr);
    rig.index = 50;
    rig.read(ConfigKey::Live, &all);
    assert_eq!(rig.core.live().vms.len(), 6);
    rig.index = 7;
    rig.read(ConfigKey::Live, &fewer);
    assert_eq!(rig.core.live().vms.len(), 5);
    assert!(rig.core.notice().live_index > 51, "it spreads");
}
