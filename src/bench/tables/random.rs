//! Long randomised runs with checks.

use crate::bench::tables::script;
use crate::bench::tables::script::Script;
use crate::bench::tables::sim::Sim;
use crate::bench::tables::texts::Shape;
use crate::prelude::Arc;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::sync::Parsers;
use crate::table::sync::SyncMode;
use crate::time::Millis;

/// Time in which an accepted set reaches all processes from peers alone once faults end.
///
/// Messages of a pause arrive late, exchanges with dead peers time out after
/// 1 s, and a few rounds of 2 s remain for the last process.
pub const PEERS_BOUND: Millis = Millis(10_000);

/// Time in which a set published after an outage of the platform reaches all.
///
/// Readers back off for up to 10 s and a suspected reader is replaced within 13 s.
pub const PLATFORM_BOUND: Millis = Millis(20_000);

/// Longest time between two random acts, from busy to calm runs.
///
/// Calm runs are long enough for blocking queries and suspicion to time out.
const ACT_MS: [u64; 3] = [600, 2_000, 8_000];

/// Processes that the harness breaks, to show that the checks find them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// A process takes a lower revision.
    AcceptLower,
    /// Processes hold other texts than the stamp says.
    SkipDigest,
    /// One process hears nothing after the faults have ended.
    Deaf,
}

/// One randomised run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of all choices.
    pub seed: u64,
    /// Steps under faults, at least.
    pub steps: u64,
    /// Processes.
    pub nodes: usize,
    /// What the harness breaks.
    pub sabotage: Option<Sabotage>,
}

impl Options {
    /// The run of `seed` with the usual size.
    pub fn new(seed: u64) -> Options {
        Options {
            seed,
            steps: 30_000,
            nodes: 9 + (seed % 8) as usize,
            sabotage: None,
        }
    }
}

/// What a run has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Steps that cores took.
    pub steps: u64,
    /// Highest revision published.
    pub revision: u64,
    /// Time until all held the greatest accepted set, without the platform.
    pub peers_ms: u64,
    /// Time until all held a set published after an outage.
    pub platform_ms: u64,
    /// Sets that came as deltas.
    pub deltas: u64,
    /// Sets that came whole.
    pub wholes: u64,
    /// Lower revisions that were ignored.
    pub lower: u64,
    /// Pauses that processes noticed.
    pub jumps: u64,
}

/// Runs one seed.
///
/// # Panics
///
/// When a process lowers its stamp, two processes hold different content for
/// one stamp, or an accepted set does not reach all within its bound.
pub fn run(options: Options) -> Summary {
    let shape = Shape {
        nodes: options.nodes,
        zones: 3,
        routes: 6,
        pools: 3,
    };
    let stagger = Millis(2_000);
    let mut sim = Sim::new(options.nodes, 3, SyncMode::Peers, stagger, options.seed);
    if options.sabotage == Some(Sabotage::SkipDigest) {
        sim.set_parsers(lying_parsers());
    }
    let mut script = Script::new(shape);
    script.publish(&mut sim);
    script.publish_live(&mut sim);
    let act = ACT_MS[(options.seed % 3) as usize];
    while sim.steps < options.steps {
        let pause = Millis(sim.rng.u64(0..act));
        sim.run_until(sim.now.plus(pause));
        script.act(&mut sim);
        if options.sabotage == Some(Sabotage::AcceptLower) {
            lower_one(&mut sim);
        }
    }
    let deaf = options.sabotage == Some(Sabotage::Deaf);
    finish(sim, script, deaf)
}

/// Ends the faults and checks the bounds, first without the platform.
fn finish(mut sim: Sim, mut script: Script, deaf: bool) -> Summary {
    sim.platform.down = true;
    sim.platform.drop_waiting();
    script::heal(&mut sim);
    if deaf {
        sim.faults.groups[0] = 1;
        sim.faults.cut[1] = true;
    }
    let held = sim.nodes.iter().map(|node| node.core.stamp());
    let greatest = held.max().unwrap_or_default();
    let peers_ms = await_stamp(&mut sim, &greatest, PEERS_BOUND);
    sim.run_until(sim.now.plus(Millis(30_000)));
    sim.platform.down = false;
    script.publish_live(&mut sim);
    script.publish(&mut sim);
    let published = Stamp {
        revision: script.revision,
        digest: String::new(),
    };
    let platform_ms = await_stamp(&mut sim, &published, PLATFORM_BOUND);
    check_ready(&sim);
    summary(&sim, script.revision, peers_ms, platform_ms)
}

/// Runs until all processes hold `stamp` or a greater one.
fn await_stamp(sim: &mut Sim, stamp: &Stamp, bound: Millis) -> u64 {
    let start = sim.now;
    loop {
        let behind = sim.nodes.iter().position(|n| n.core.stamp() < *stamp);
        let Some(node) = behind else {
            return sim.now.since(start).0;
        };
        assert!(
            sim.now.since(start) <= bound,
            "process {node} does not hold {stamp:?} within {} ms but {:?}",
            bound.0,
            sim.nodes[node].core.stamp()
        );
        sim.run_until(sim.now.plus(Millis(50)));
    }
}

fn check_ready(sim: &Sim) {
    for (index, node) in sim.nodes.iter().enumerate() {
        assert!(
            node.core.is_ready(),
            "process {index} holds tables but does not serve"
        );
        assert!(
            !node.core.is_stale(sim.now),
            "views of process {index} stay stale"
        );
    }
}

fn summary(sim: &Sim, revision: u64, peers_ms: u64, platform_ms: u64) -> Summary {
    let mut summary = Summary {
        steps: sim.steps,
        revision,
        peers_ms,
        platform_ms,
        ..Summary::default()
    };
    for node in &sim.nodes {
        let counters = node.core.counters();
        summary.deltas += counters.deltas;
        summary.wholes += counters.wholes;
        summary.lower += counters.lower;
        summary.jumps += counters.jumps;
    }
    summary
}

/// Gives a process an older set without a restart.
fn lower_one(sim: &mut Sim) {
    let sets: Vec<Arc<TableSet>> = sim
        .nodes
        .iter()
        .filter_map(|n| n.core.set().cloned())
        .collect();
    let Some(lowest) = sets.iter().min_by(|a, b| a.stamp.cmp(&b.stamp)) else {
        return;
    };
    let above = sim.nodes.iter().position(|n| n.core.stamp() > lowest.stamp);
    if let Some(node) = above {
        let (now, life) = (sim.now, sim.nodes[node].life);
        sim.ledger.observe(now, node, life, Some(lowest));
    }
}

/// Parsers that take the revision for the whole identity.
fn lying_parsers() -> Parsers {
    let parsers = Parsers::default();
    let parse = parsers.set.clone();
    Parsers {
        set: Arc::new(move |routes, pools| {
            let mut set = (*parse(routes, pools)?).clone();
            set.stamp.digest = "sha256:0".to_string();
            Ok(Arc::new(set))
        }),
        ..parsers
    }
}
