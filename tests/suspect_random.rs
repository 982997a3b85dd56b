//! Seeded runs of the suspects tables of entries and agents that exchange counts.

use chervilquay::gate::Suspects;
use chervilquay::gate::suspect;
use chervilquay::gate::suspect::CrashReport;
use chervilquay::prelude::*;

const SEEDS: u64 = 200;
const STEPS: u64 = 3_000;
const AGENTS: usize = 6;
const ENTRIES: usize = 3;
const MAX_RUNNING: usize = 8;
/// Harmless requests; few, so that the same ones run at several crashes.
const HARMLESS: u32 = 12;
/// Crashing requests; the second one starts in the second half of a run.
const CRASHING: [u32; 2] = [98, 99];

/// A rule that a run leaves out, to show that the checks find its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// Suspects run one at a time at an upstream.
    Alone,
    /// One attempt of each fingerprint reports a crash.
    OneReport,
    /// A success clears the fingerprint.
    Clear,
}

type Running = Vec<(u32, usize, u64)>;

struct World {
    rng: fastrand::Rng,
    now: Millis,
    /// Agents first, then entries.
    tables: Vec<Suspects>,
    running: Vec<Running>,
    notices: Vec<(usize, Vec<CrashReport>)>,
    attempts: u64,
    crashes: Vec<Millis>,
    blamed: u32,
    off: Option<Rule>,
}

fn print(request: u32) -> [u8; 32] {
    suspect::fingerprint("org", "POST", "/v1/completions", &request.to_be_bytes())
}

impl World {
    fn new(seed: u64, off: Option<Rule>) -> World {
        World {
            rng: fastrand::Rng::with_seed(seed),
            now: Millis(1_000_000),
            tables: (0..AGENTS + ENTRIES).map(|_| Suspects::default()).collect(),
            running: vec![Vec::new(); AGENTS],
            notices: Vec::new(),
            attempts: 0,
            crashes: Vec::new(),
            blamed: 0,
            off,
        }
    }

    fn run(mut self) -> World {
        for step in 0..STEPS {
            self.now = self.now.plus(Millis(20));
            let agent = self.rng.usize(..AGENTS);
            self.send(agent, step);
            if self.rng.u32(0..3) == 0 {
                self.finish(agent);
            }
            // Each notice goes to all within 200 ms, some twice and some late again.
            if step % 10 == 0 {
                self.exchange();
            }
        }
        self
    }

    /// One caller sends a crashing request every 2 s; others send harmless ones.
    fn send(&mut self, agent: usize, step: u64) {
        let entry = AGENTS + self.rng.usize(..ENTRIES);
        let crashing = step % 100 == 99;
        let request = match crashing {
            true => CRASHING[usize::from(step > STEPS / 2)],
            false => self.rng.u32(0..HARMLESS),
        };
        if self.tables[entry].is_blocked(self.now, &print(request)) {
            self.blamed += u32::from(!crashing);
            return;
        }
        let full = self.running[agent].len() >= MAX_RUNNING && !crashing;
        if full || !self.may_run(agent, request) {
            return;
        }
        self.attempts += 1;
        self.running[agent].push((request, entry, self.attempts));
        if crashing {
            self.crash(agent);
        }
    }

    fn may_run(&self, agent: usize, request: u32) -> bool {
        let table = &self.tables[agent];
        let suspect = |r: u32| table.is_suspect(self.now, &print(r));
        self.off == Some(Rule::Alone)
            || !suspect(request)
            || !self.running[agent].iter().any(|r| suspect(r.0))
    }

    fn crash(&mut self, agent: usize) {
        self.crashes.push(self.now);
        let running = std::mem::take(&mut self.running[agent]);
        let prints: Vec<_> = running.iter().map(|r| print(r.0)).collect();
        let reporters = suspect::reporters(&prints).into_iter();
        for ((request, entry, attempt), reports) in running.into_iter().zip(reporters) {
            if !reports && self.off != Some(Rule::OneReport) {
                continue;
            }
            // A repeated report of one attempt must not count again.
            for _ in 0..2 {
                self.tables[entry].record_crash(self.now, print(request), attempt);
            }
        }
    }

    fn finish(&mut self, agent: usize) {
        if self.running[agent].is_empty() {
            return;
        }
        let at = self.rng.usize(..self.running[agent].len());
        let (request, entry, _) = self.running[agent].swap_remove(at);
        if self.off == Some(Rule::Clear) {
            return;
        }
        self.tables[entry].record_success(self.now, &print(request));
        self.tables[agent].record_success(self.now, &print(request));
    }

    fn exchange(&mut self) {
        for from in AGENTS..AGENTS + ENTRIES {
            self.notices
                .push((from, self.tables[from].export(self.now)));
            let old = self.rng.usize(..self.notices.len());
            for index in [self.notices.len() - 1, old] {
                let (from, reports) = self.notices[index].clone();
                for to in (0..AGENTS + ENTRIES).filter(|to| *to != from) {
                    for report in &reports {
                        self.tables[to].merge(self.now, from as u64, *report);
                    }
                }
            }
        }
    }
}

// Guards against a request that goes on crashing upstreams, and against blocking
// requests that only ran beside it.
#[test]
fn only_the_cause_is_blocked() {
    for seed in 0..SEEDS {
        let world = World::new(seed, None).run();
        let crashes = world.crashes.len();
        assert_eq!((crashes, world.blamed), (4, 0), "seed {seed}");
    }
}

// Guards against checks that cannot fail: each rule that is left out must be found.
#[test]
fn missing_rules_are_found() {
    for rule in [Rule::Alone, Rule::OneReport, Rule::Clear] {
        let blamed = |seed| World::new(seed, Some(rule)).run().blamed > 0;
        assert!((0..SEEDS).any(blamed), "{rule:?} is not needed by any seed");
    }
}
