//! Faults and table changes at random moments.

use crate::bench::tables::platform::REPLICAS;
use crate::bench::tables::sim::Sim;
use crate::bench::tables::texts;
use crate::bench::tables::texts::Shape;
use crate::table::sync::ConfigKey;
use crate::time::Millis;

/// Groups that a partition makes, at most.
const GROUPS: u8 = 3;

/// Longest pause of a process.
const PAUSE: Millis = Millis(20_000);

/// State of a random script.
#[derive(Debug)]
pub struct Script {
    shape: Shape,
    /// Highest revision published.
    pub revision: u64,
    variant: u64,
    /// Half of a pair that is still to be published.
    half: Option<(ConfigKey, String)>,
}

impl Script {
    /// A script for processes of this shape.
    pub fn new(shape: Shape) -> Script {
        Script {
            shape,
            revision: 0,
            variant: 0,
            half: None,
        }
    }

    fn routes(&self) -> String {
        texts::routes(self.shape, self.revision, self.variant)
    }

    fn pools(&self) -> String {
        texts::pools(self.shape, self.revision, self.variant, texts::addr)
    }

    /// Publishes a set of the next revision.
    pub fn publish(&mut self, sim: &mut Sim) {
        self.half = None;
        self.revision += 1;
        self.variant += 1;
        sim.publish(ConfigKey::Routes, &self.routes());
        sim.publish(ConfigKey::Pools, &self.pools());
    }

    /// Publishes the live list of all processes.
    pub fn publish_live(&self, sim: &mut Sim) {
        let text = texts::live(self.shape, |_| false, texts::addr);
        sim.publish(ConfigKey::Live, &text);
    }

    /// One random fault or change.
    pub fn act(&mut self, sim: &mut Sim) {
        match sim.rng.u32(0..24) {
            0..4 => self.publish(sim),
            4 | 5 => self.publish_half(sim),
            6 => self.publish_invalid(sim),
            7 => self.publish_lower(sim),
            8 => self.publish_conflict(sim),
            9 => self.change_live(sim),
            10 => toggle_stale(sim),
            11 => toggle_platform(sim),
            12 => sim.platform.restart(),
            13 | 14 => self.pause(sim),
            15 => self.restart(sim),
            16 => self.restart_zone(sim),
            17 | 18 => self.partition(sim),
            19 | 20 => sim.faults.groups.fill(0),
            21 => sim.faults.loss = sim.rng.f64() * 0.3,
            22 => sim.faults.duplication = sim.rng.f64() * 0.3,
            _ => {
                sim.faults.delay = Millis(sim.rng.u64(0..800));
                sim.faults.corruption = sim.rng.f64() * 0.2;
            }
        }
    }

    /// Publishes one table of the next revision; the other follows with the next half.
    fn publish_half(&mut self, sim: &mut Sim) {
        if let Some((key, text)) = self.half.take() {
            sim.publish(key, &text);
            return;
        }
        self.revision += 1;
        self.variant += 1;
        let (first, second) = (self.routes(), self.pools());
        if sim.rng.bool() {
            sim.publish(ConfigKey::Routes, &first);
            self.half = Some((ConfigKey::Pools, second));
        } else {
            sim.publish(ConfigKey::Pools, &second);
            self.half = Some((ConfigKey::Routes, first));
        }
    }

    fn publish_invalid(&mut self, sim: &mut Sim) {
        self.half = None;
        self.revision += 1;
        let routes = self.routes().replace("pool: pool-0", "pool: absent");
        let broken = ["revision: [", &routes];
        let choice = sim.rng.usize(..broken.len());
        sim.publish(ConfigKey::Routes, broken[choice]);
        sim.publish(ConfigKey::Pools, &self.pools());
    }

    fn publish_lower(&mut self, sim: &mut Sim) {
        self.half = None;
        let lower = self.revision.saturating_sub(sim.rng.u64(1..5));
        sim.publish(ConfigKey::Routes, &texts::routes(self.shape, lower, 0));
        let pools = texts::pools(self.shape, lower, 0, texts::addr);
        sim.publish(ConfigKey::Pools, &pools);
    }

    /// Publishes other content of the present revision at one replica.
    fn publish_conflict(&mut self, sim: &mut Sim) {
        let replica = sim.rng.usize(..REPLICAS);
        let variant = self.variant + 1_000;
        let routes = texts::routes(self.shape, self.revision, variant);
        sim.publish_to(replica, ConfigKey::Routes, &routes);
        sim.publish_to(replica, ConfigKey::Pools, &self.pools());
    }

    fn change_live(&mut self, sim: &mut Sim) {
        let salt = sim.rng.u64(0..4);
        let absent = |node: usize| salt > 0 && (node as u64 + salt).is_multiple_of(salt + 1);
        let text = texts::live(self.shape, absent, texts::addr);
        sim.publish(ConfigKey::Live, &text);
    }

    fn pause(&mut self, sim: &mut Sim) {
        let node = sim.rng.usize(..self.shape.nodes);
        let span = Millis(sim.rng.u64(100..PAUSE.0));
        sim.nodes[node].paused = sim.now.plus(span);
    }

    fn restart(&mut self, sim: &mut Sim) {
        let node = sim.rng.usize(..self.shape.nodes);
        sim.restart(node);
    }

    fn restart_zone(&mut self, sim: &mut Sim) {
        let zone = sim.rng.usize(..self.shape.zones);
        for node in (zone..self.shape.nodes).step_by(self.shape.zones) {
            sim.restart(node);
        }
    }

    /// Cuts the fleet into groups, by zone or at random.
    fn partition(&mut self, sim: &mut Sim) {
        let by_zone = sim.rng.bool();
        for node in 0..self.shape.nodes {
            sim.faults.groups[node] = if by_zone {
                (node % self.shape.zones) as u8 % GROUPS
            } else {
                sim.rng.u8(..GROUPS)
            };
        }
        for cut in &mut sim.faults.cut {
            *cut = sim.rng.bool();
        }
    }
}

fn toggle_stale(sim: &mut Sim) {
    let replica = sim.rng.usize(..REPLICAS);
    let stale = sim.rng.bool();
    sim.set_stale(replica, stale);
}

fn toggle_platform(sim: &mut Sim) {
    sim.platform.down = !sim.platform.down;
    if sim.platform.down {
        sim.platform.drop_waiting();
    }
}

/// Ends all faults but an outage of the platform.
pub fn heal(sim: &mut Sim) {
    let groups = vec![0; sim.nodes.len()];
    sim.faults = crate::bench::tables::network::Faults {
        groups,
        ..Default::default()
    };
    let now = sim.now;
    for node in &mut sim.nodes {
        node.paused = node.paused.min(now);
    }
    for replica in 0..REPLICAS {
        sim.set_stale(replica, false);
    }
}
