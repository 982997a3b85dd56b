//! The decision core under a virtual clock, at the size to design for.

use std::time::Instant;

use crate::bench::tables::network::Faults;
use crate::bench::tables::report::Row;
use crate::bench::tables::report::Times;
use crate::bench::tables::sim::Sim;
use crate::bench::tables::texts;
use crate::bench::tables::texts::Shape;
use crate::table::sync::ConfigKey;
use crate::table::sync::SyncMode;
use crate::table::sync::TICK;
use crate::time::Millis;

/// Routes in the tables of a run.
const ROUTES: usize = 60;

/// Pools in the tables of a run.
const POOLS: usize = 20;

/// Time in which all processes start.
const STAGGER: Millis = Millis(1_000);

/// Longest time for a start.
const START: Millis = Millis(120_000);

/// Time without changes over which idle figures are taken.
const IDLE: Millis = Millis(120_000);

/// Changes at the design rate.
const CHANGES: u64 = 16;

/// Interval of changes: 5,600 a day.
const CHANGE_INTERVAL: Millis = Millis(15_400);

/// Changes of the live list during these: one every 200 s or so, 400 a day.
const LIVE_EVERY: u64 = 13;

/// Changes of the burst, one every 200 ms.
const BURST: u64 = 50;

/// Interval of changes in the burst.
const BURST_INTERVAL: Millis = Millis(200);

/// Time after the last change in which stragglers are awaited.
const SETTLE: Millis = Millis(60_000);

/// Length of the partition.
const PARTITION: Millis = Millis(3_600_000);

/// Changes on one side during the partition.
const PARTITION_CHANGES: u64 = 200;

/// Interval of ticks during the partition, to shorten the run; no figure is taken then.
const SLOW_TICK: Millis = Millis(1_000);

/// Time between the publication of the two tables of a set.
const HALF: Millis = Millis(20);

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Processes.
    pub nodes: usize,
    /// Availability zones.
    pub zones: usize,
    /// Seed of all choices.
    pub seed: u64,
    /// Share of messages lost.
    pub loss: f64,
    /// Whether to run the partition in place of changes and burst.
    pub partition: bool,
    /// Policy.
    pub sync_mode: SyncMode,
}

/// A run in progress.
struct Run {
    sim: Sim,
    shape: Shape,
    revision: u64,
}

/// Measures one policy.
pub fn run(options: Options) -> Row {
    let shape = Shape {
        nodes: options.nodes,
        zones: options.zones,
        routes: ROUTES,
        pools: POOLS.min(options.nodes),
    };
    let seed = options.seed;
    let mut sim = Sim::new(
        options.nodes,
        options.zones,
        options.sync_mode,
        STAGGER,
        seed,
    );
    sim.faults.loss = options.loss;
    let mut run = Run {
        sim,
        shape,
        revision: 0,
    };
    let mut row = Row {
        mode: "virtual".to_string(),
        policy: policy_name(options.sync_mode).to_string(),
        nodes: options.nodes,
        zones: options.zones,
        seed,
        loss: options.loss,
        ..Row::default()
    };
    run.start(&mut row);
    run.idle(&mut row);
    if options.partition {
        run.partition(&mut row, options.loss);
    } else {
        run.changes(&mut row);
        run.burst(&mut row);
    }
    row
}

/// Name of a policy in reports.
pub fn policy_name(sync_mode: SyncMode) -> &'static str {
    match sync_mode {
        SyncMode::Peers => "peers",
        SyncMode::Poll => "poll",
    }
}

impl Run {
    /// Publishes the next set, the second table a little after the first.
    fn publish(&mut self) -> Millis {
        self.revision += 1;
        let revision = self.revision;
        // Most changes concern a route; one in ten gives a pool another version.
        let version = revision / 10;
        let routes = texts::routes(self.shape, revision, revision);
        let pools = texts::pools(self.shape, revision, version, texts::addr);
        self.sim.publish(ConfigKey::Routes, &routes);
        self.sim.run_until(self.sim.now.plus(HALF));
        self.sim.ledger.measure(revision);
        self.sim.publish(ConfigKey::Pools, &pools);
        self.sim.now
    }

    fn publish_live(&mut self, absent: usize) {
        let text = texts::live(self.shape, |node| node == absent, texts::addr);
        self.sim.publish(ConfigKey::Live, &text);
    }

    /// Runs for `span` and returns the calls of the busiest second.
    fn busiest(&mut self, span: Millis) -> u64 {
        let end = self.sim.now.plus(span);
        let mut most = 0;
        while self.sim.now < end {
            let before = self.sim.platform.calls;
            let next = self.sim.now.plus(Millis(1_000)).min(end);
            self.sim.run_until(next);
            most = most.max(self.sim.platform.calls - before);
        }
        most
    }

    fn start(&mut self, row: &mut Row) {
        self.publish();
        self.publish_live(usize::MAX);
        let set = texts::routes(self.shape, 1, 1).len();
        row.tables_bytes = set + texts::pools(self.shape, 1, 0, texts::addr).len();
        while self.sim.now < START {
            let calls = self.busiest(Millis(1_000)) as f64;
            row.start_calls_s = row.start_calls_s.max(calls);
            if self.sim.nodes.iter().all(|node| node.core.is_ready()) {
                break;
            }
        }
        row.start_s = self.sim.now.0 as f64 / 1_000.0;
        self.sim.run_until(self.sim.now.plus(SETTLE));
    }

    fn idle(&mut self, row: &mut Row) {
        let calls = self.sim.platform.calls;
        let bytes = self.bytes();
        self.sim.run_until(self.sim.now.plus(IDLE));
        let seconds = IDLE.0 as f64 / 1_000.0;
        row.platform_calls_s = (self.sim.platform.calls - calls) as f64 / seconds;
        row.node_idle_bytes_s = (self.bytes() - bytes) as f64 / seconds / row.nodes as f64;
    }

    fn bytes(&self) -> u64 {
        self.sim.nodes.iter().map(|node| node.bytes).sum()
    }

    /// Changes at the design rate.
    fn changes(&mut self, row: &mut Row) {
        let before: Vec<u64> = self.sim.nodes.iter().map(|node| node.bytes).collect();
        let began = self.sim.now;
        let cpu = Instant::now();
        let mut published = Vec::new();
        for change in 0..CHANGES {
            if change % LIVE_EVERY == 1 {
                self.publish_live(change as usize);
            }
            published.push((self.revision + 1, self.publish()));
            self.sim.run_until(self.sim.now.plus(CHANGE_INTERVAL));
        }
        let busy = cpu.elapsed().as_secs_f64();
        let seconds = self.sim.now.since(began).0 as f64 / 1_000.0;
        row.node_cpu_percent = 100.0 * busy / seconds / row.nodes as f64;
        let spent = self.sim.nodes.iter().zip(&before);
        let spent: Vec<u64> = spent.map(|(node, before)| node.bytes - before).collect();
        row.node_bytes_s = spent.iter().sum::<u64>() as f64 / seconds / row.nodes as f64;
        row.node_bytes_max_s = spent.iter().max().map_or(0.0, |b| *b as f64 / seconds);
        self.sim.run_until(self.sim.now.plus(SETTLE));
        let mut times = self.times(&published);
        (row.in_force_p50_s, row.in_force_max_s) = times.summary();
        row.missing = times.missing;
    }

    fn burst(&mut self, row: &mut Row) {
        let mut calls: Vec<u64> = Vec::new();
        for _ in 0..BURST {
            let before = self.sim.platform.calls;
            self.publish();
            let rest = BURST_INTERVAL.since(HALF);
            self.sim.run_until(self.sim.now.plus(rest));
            calls.push(self.sim.platform.calls - before);
        }
        let steps = (1_000 / BURST_INTERVAL.0) as usize;
        let busiest = calls.windows(steps).map(|w| w.iter().sum::<u64>()).max();
        row.platform_burst_calls_s = busiest.unwrap_or(0) as f64;
        let last = (self.revision, self.sim.now);
        self.sim.run_until(self.sim.now.plus(SETTLE));
        row.missing += self.times(&[last]).missing;
    }

    /// Cuts half of the zones off from the others and from the platform.
    fn partition(&mut self, row: &mut Row, loss: f64) {
        let half = self.shape.zones.div_ceil(2);
        let zones = self.shape.zones;
        for (node, group) in self.sim.faults.groups.iter_mut().enumerate() {
            *group = u8::from(node % zones >= half);
        }
        self.sim.faults.cut[1] = true;
        let interval = Millis(PARTITION.0 / PARTITION_CHANGES).since(HALF);
        self.sim.tick = SLOW_TICK;
        for _ in 0..PARTITION_CHANGES {
            self.publish();
            self.sim.run_until(self.sim.now.plus(interval));
        }
        self.sim.tick = TICK;
        self.sim.run_until(self.sim.now.plus(SLOW_TICK));
        let groups = vec![0; self.shape.nodes];
        self.sim.faults = Faults {
            loss,
            groups,
            ..Faults::default()
        };
        let healed = self.sim.now;
        self.sim.run_until(healed.plus(SETTLE));
        let mut times = self.times(&[(self.revision, healed)]);
        let (median, greatest) = times.summary();
        row.heal_p50_s = Some(median);
        row.heal_max_s = Some(greatest);
        row.partition_changes = Some(PARTITION_CHANGES);
        row.missing += times.missing;
    }

    /// Times from publication until each process held the revision.
    fn times(&self, published: &[(u64, Millis)]) -> Times {
        let mut times = Times::default();
        for (revision, at) in published {
            for moved in self.sim.ledger.moves(*revision) {
                match moved {
                    Some(moved) => times.values.push(moved.since(*at).0),
                    None => times.missing += 1,
                }
            }
        }
        times
    }
}
