//! Table sync at one process: order of sets, refusals, conflicts, pairs of which
//! only one table is published, start, pauses and deltas.

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

/// One core with a virtual clock and the actions that it has returned.
struct Harness {
    core: Core,
    now: Millis,
    index: u64,
    out: Vec<Action>,
}

impl Harness {
    fn new(seeds: usize) -> Harness {
        Harness::with_mode(seeds, SyncMode::Peers)
    }

    fn with_mode(seeds: usize, sync_mode: SyncMode) -> Harness {
        let settings = Settings {
            addr: texts::addr(0),
            zone: texts::zone(0, 1),
            seeds: (1..=seeds).map(texts::addr).collect(),
            sync_mode,
            parsers: Parsers::default(),
        };
        let core = Core::new(settings, fastrand::Rng::with_seed(3));
        let mut harness = Harness {
            core,
            now: Millis(0),
            index: 0,
            out: Vec::new(),
        };
        harness.advance(0);
        harness
    }

    /// Ticks every 250 ms until `ms` have passed.
    fn advance(&mut self, ms: u64) {
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

    /// Answers a read of `key` with `text` and the next index.
    fn answer_read(&mut self, key: ConfigKey, text: &str) {
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

    /// Answers reads of both tables with those of a revision.
    fn publish(&mut self, revision: u64, variant: u64) {
        self.answer_read(ConfigKey::Routes, &texts::routes(SHAPE, revision, variant));
        let pools = texts::pools(SHAPE, revision, variant, texts::addr);
        self.answer_read(ConfigKey::Pools, &pools);
    }

    fn report_count(&self, code: Code) -> usize {
        let has_code =
            |action: &&Action| matches!(action, Action::Report { code: c, .. } if *c == code);
        self.out.iter().filter(has_code).count()
    }

    fn exchanges(&self) -> Vec<(u64, std::net::SocketAddr)> {
        let exchange = |action: &Action| match action {
            Action::Exchange { call, to } => Some((*call, *to)),
            _ => None,
        };
        self.out.iter().filter_map(exchange).collect()
    }

    fn revision(&self) -> u64 {
        self.core.stamp().revision
    }
}

/// Notice of `core`, as if process `from` had sent it.
fn notice(from: usize, core: &Core) -> Notice {
    Notice {
        from: texts::addr(from).to_string(),
        ..core.notice()
    }
}

// Guards against a set made of tables of two revisions.
#[test]
fn half_published_pair_waits() {
    let mut harness = Harness::new(0);
    harness.publish(1, 0);
    harness.answer_read(ConfigKey::Routes, &texts::routes(SHAPE, 2, 1));
    assert_eq!(harness.revision(), 1);
    assert!(harness.core.dump(harness.now).waiting.is_some());
    harness.answer_read(ConfigKey::Pools, &texts::pools(SHAPE, 2, 1, texts::addr));
    assert_eq!(harness.revision(), 2);
    assert_eq!(harness.core.dump(harness.now).waiting, None);
}

// Guards against a lower revision that comes into force or is not reported.
#[test]
fn lower_revision_is_reported() {
    let mut harness = Harness::new(0);
    harness.publish(5, 0);
    harness.publish(4, 1);
    assert_eq!(harness.revision(), 5);
    assert_eq!(harness.report_count(Code::RevisionLower), 1);
    let lower = harness.core.dump(harness.now).lower.expect("shown");
    assert_eq!(lower.revision, 4);
}

// Guards against processes that choose differently between two sets with the
// same revision.
#[test]
fn conflict_takes_greater_digest() {
    let in_force = |variants: [u64; 2]| {
        let mut harness = Harness::new(0);
        harness.answer_read(ConfigKey::Pools, &texts::pools(SHAPE, 3, 0, texts::addr));
        for variant in variants {
            harness.answer_read(ConfigKey::Routes, &texts::routes(SHAPE, 3, variant));
        }
        let dump = harness.core.dump(harness.now);
        assert!(harness.report_count(Code::RevisionConflict) >= 1);
        let conflict = dump.conflict.expect("shown");
        assert_eq!(conflict.in_force, dump.in_force.digest);
        assert!(conflict.in_force > conflict.other);
        dump.in_force
    };
    assert_eq!(in_force([1, 2]), in_force([2, 1]));
}

// Guards against an invalid set that replaces a valid one or is refused without a
// reason.
#[test]
fn invalid_set_is_refused() {
    let mut harness = Harness::new(0);
    harness.publish(1, 0);
    let routes = texts::routes(SHAPE, 2, 0).replace("pool: pool-1", "pool: absent");
    harness.answer_read(ConfigKey::Routes, &routes);
    harness.answer_read(ConfigKey::Pools, &texts::pools(SHAPE, 2, 0, texts::addr));
    let dump = harness.core.dump(harness.now);
    assert_eq!(dump.in_force.revision, 1);
    assert_eq!(dump.refused.len(), 1);
    assert_eq!(dump.refused[0].code, "E2005");
    harness.publish(3, 1);
    assert_eq!(harness.revision(), 3);
}

// Guards against a process that serves before the peers asked at the start have
// answered.
#[test]
fn start_waits_for_peers() {
    let mut harness = Harness::new(3);
    let asked = harness.exchanges();
    assert_eq!(asked.len(), 3);
    harness.publish(1, 0);
    assert!(!harness.core.is_ready(), "peers have not answered yet");
    let mut peer = Harness::new(0);
    peer.publish(2, 1);
    for (call, to) in asked {
        harness.event(Event::Reply {
            call,
            from: to,
            notice: Some(notice(texts::index(to), &peer.core)),
        });
    }
    assert!(!harness.core.is_ready(), "a greater set is being fetched");
    let fetch = harness.out.iter().find_map(|action| match action {
        Action::Fetch { call, to, base, .. } => Some((*call, *to, base.clone())),
        _ => None,
    });
    let (call, from, base) = fetch.expect("a fetch");
    let reply = Some(peer.core.reply(FetchKind::Tables, &base));
    harness.event(Event::Fetched {
        call,
        from,
        kind: FetchKind::Tables,
        base,
        reply,
    });
    assert!(harness.core.is_ready());
    assert_eq!(harness.revision(), 2);
    assert_eq!(
        harness.core.dump(harness.now).source,
        Some(Source::Platform)
    );
}

// Guards against a process without tables that waits for dead peers for ever, or
// that reads a failing platform too often.
#[test]
fn empty_process_backs_off() {
    let mut harness = Harness::new(2);
    let mut reads = 0;
    for _ in 0..600 {
        harness.advance(1_000);
        let failed: Vec<(u64, ConfigKey)> = harness
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
            harness.event(Event::Read { call, key, reading });
        }
    }
    assert!((20..200).contains(&reads), "{reads} reads in 10 min");
    harness.publish(1, 0);
    assert!(harness.core.is_ready());
}

// Guards against decisions based on tables from before a pause.
#[test]
fn tables_are_stale_after_pause() {
    let mut harness = Harness::new(1);
    harness.publish(1, 0);
    harness.advance(5_000);
    assert!(!harness.core.is_stale(harness.now));
    harness.now = harness.now.plus(Millis(2_500));
    assert!(harness.core.is_stale(harness.now), "before the first tick");
    harness.out.clear();
    harness.advance(0);
    assert!(
        harness.core.is_stale(harness.now),
        "until a peer has answered"
    );
    let (call, from) = harness.exchanges()[0];
    let mut newer = Harness::new(0);
    newer.publish(2, 1);
    harness.event(Event::Reply {
        call,
        from,
        notice: Some(notice(1, &newer.core)),
    });
    assert!(
        harness.core.is_stale(harness.now),
        "until the newer set is in force"
    );
    harness.publish(2, 1);
    assert!(!harness.core.is_stale(harness.now));
    assert_eq!(harness.core.counters().jumps, 1);
}

// Guards against texts that do not match their stamp, and against a process that
// does not fetch again after them.
#[test]
fn wrong_digest_is_fetched_whole() {
    let mut harness = Harness::new(1);
    harness.publish(1, 0);
    let mut peer = Harness::new(0);
    peer.publish(1, 0);
    peer.publish(2, 1);
    harness.out.clear();
    harness.event(Event::Notice(notice(1, &peer.core)));
    for (round, whole) in [(0, false), (1, true)] {
        let (call, base) = harness
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
        harness.event(Event::Fetched {
            call,
            from: texts::addr(1),
            kind: FetchKind::Tables,
            base,
            reply: Some(Arc::new(reply)),
        });
    }
    assert_eq!(harness.revision(), 2);
    assert_eq!(harness.report_count(Code::ProtocolInvalid), 1);
}

// Guards against a live list that cannot go back to an older state, or that a
// replica of the platform that is behind undoes.
#[test]
fn live_list_may_go_back() {
    let mut harness = Harness::new(0);
    let all = texts::live(SHAPE, |_| false, texts::addr);
    let fewer = texts::live(SHAPE, |node| node == 3, texts::addr);
    harness.index = 50;
    harness.answer_read(ConfigKey::Live, &all);
    assert_eq!(harness.core.live().vms.len(), 6);
    harness.index = 7;
    harness.answer_read(ConfigKey::Live, &fewer);
    assert_eq!(harness.core.live().vms.len(), 5);
    assert!(harness.core.notice().live_index > 51, "peers will fetch it");
}

/// Guards against waiting for a change that has been made already: a service that restarts, or
/// comes back from an older copy, gives out the same indexes again.
#[test]
fn lost_query_is_followed_by_a_full_read() {
    let mut harness = Harness::with_mode(0, SyncMode::Poll);
    let mut answered = 0;
    let mut lost = 0;
    for _ in 0..80 {
        for action in std::mem::take(&mut harness.out) {
            let Action::Read {
                call,
                key,
                index,
                wait,
            } = action
            else {
                continue;
            };
            if lost == 1 && key == ConfigKey::Routes {
                assert_eq!((index, wait), (0, Millis(0)));
                return;
            }
            // The first query that waits for a change of the routes is lost.
            let is_lost = key == ConfigKey::Routes && index > 0;
            lost += usize::from(is_lost);
            answered += usize::from(!is_lost);
            let text = match key {
                ConfigKey::Pools => texts::pools(SHAPE, 1, 0, texts::addr),
                _ => texts::routes(SHAPE, 1, 0),
            };
            let reading = (!is_lost).then(|| Reading {
                index: 40,
                text: text.as_str().into(),
            });
            harness.event(Event::Read { call, key, reading });
        }
        harness.advance(250);
    }
    panic!("{answered} reads, {lost} lost, and no other of the routes");
}
