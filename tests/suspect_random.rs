//! Random runs of entries and agents that count crashes and send each other the counts.

use chervilquay::gate::Suspects;
use chervilquay::gate::suspect;
use chervilquay::gate::suspect::CrashReport;
use chervilquay::prelude::*;

const SEEDS: u64 = 200;
const STEPS: u64 = 3_000;
const AGENTS: usize = 6;
const ENTRIES: usize = 3;
const MAX_RUNNING: usize = 8;
/// Number of harmless requests: few, so that the same ones run at several crashes.
const HARMLESS: u32 = 12;
/// Requests that crash their upstream; the second one is sent in the second half of a run.
const CRASHING: [u32; 2] = [98, 99];

/// A rule that a run leaves out, to show that the test notices.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// An upstream runs at most one suspect at a time.
    OneSuspect,
    /// One attempt of each fingerprint reports a crash.
    OneReport,
    /// A success clears the fingerprint.
    Clear,
}

/// Requests that run at an agent, with their entries and numbers of attempts.
type Running = Vec<(u32, usize, u64)>;

struct World {
    rng: fastrand::Rng,
    now: Millis,
    /// Suspects as each process knows them: agents first, then entries.
    tables: Vec<Suspects>,
    running: Vec<Running>,
    /// Counts sent so far, with the entry that sent them.
    messages: Vec<(usize, Vec<CrashReport>)>,
    attempts: u64,
    crashes: Vec<Millis>,
    /// Number of harmless requests that were blocked.
    wrongly_blocked: u32,
    left_out: Option<Rule>,
}

fn fingerprint(request: u32) -> [u8; 32] {
    suspect::fingerprint("org", "POST", "/v1/completions", &request.to_be_bytes())
}

impl World {
    fn new(seed: u64, left_out: Option<Rule>) -> World {
        World {
            rng: fastrand::Rng::with_seed(seed),
            now: Millis(1_000_000),
            tables: (0..AGENTS + ENTRIES).map(|_| Suspects::default()).collect(),
            running: vec![Vec::new(); AGENTS],
            messages: Vec::new(),
            attempts: 0,
            crashes: Vec::new(),
            wrongly_blocked: 0,
            left_out,
        }
    }

    fn run(mut self) -> World {
        for step in 0..STEPS {
            self.now = self.now.plus(Millis(20));
            let agent = self.rng.usize(..AGENTS);
            self.send_request(agent, step);
            if self.rng.u32(0..3) == 0 {
                self.finish(agent);
            }
            // Counts reach all processes within 200 ms; some messages arrive again later.
            if step % 10 == 0 {
                self.send_counts();
            }
        }
        self
    }

    /// One caller sends a crashing request every 2 s; others send harmless ones.
    fn send_request(&mut self, agent: usize, step: u64) {
        let entry = AGENTS + self.rng.usize(..ENTRIES);
        let is_crashing = step % 100 == 99;
        let request = match is_crashing {
            true => CRASHING[usize::from(step > STEPS / 2)],
            false => self.rng.u32(0..HARMLESS),
        };
        if self.tables[entry].is_blocked(self.now, &fingerprint(request)) {
            self.wrongly_blocked += u32::from(!is_crashing);
            return;
        }
        let is_full = self.running[agent].len() >= MAX_RUNNING && !is_crashing;
        if is_full || !self.may_run(agent, request) {
            return;
        }
        self.attempts += 1;
        self.running[agent].push((request, entry, self.attempts));
        if is_crashing {
            self.crash(agent);
        }
    }

    /// True unless another suspect runs at the agent.
    fn may_run(&self, agent: usize, request: u32) -> bool {
        let table = &self.tables[agent];
        let is_suspect = |r: u32| table.is_suspect(self.now, &fingerprint(r));
        self.left_out == Some(Rule::OneSuspect)
            || !is_suspect(request)
            || !self.running[agent].iter().any(|r| is_suspect(r.0))
    }

    /// Crashes the upstream of an agent with all requests that run there.
    fn crash(&mut self, agent: usize) {
        self.crashes.push(self.now);
        let running = std::mem::take(&mut self.running[agent]);
        let fingerprints: Vec<_> = running.iter().map(|r| fingerprint(r.0)).collect();
        let reporters = suspect::reporters(&fingerprints).into_iter();
        for ((request, entry, attempt), reports) in running.into_iter().zip(reporters) {
            if !reports && self.left_out != Some(Rule::OneReport) {
                continue;
            }
            // A repeated report of one attempt must not count again.
            for _ in 0..2 {
                self.tables[entry].record_crash(self.now, fingerprint(request), attempt);
            }
        }
    }

    /// Ends a random request at an agent with success.
    fn finish(&mut self, agent: usize) {
        if self.running[agent].is_empty() {
            return;
        }
        let at = self.rng.usize(..self.running[agent].len());
        let (request, entry, _) = self.running[agent].swap_remove(at);
        if self.left_out == Some(Rule::Clear) {
            return;
        }
        self.tables[entry].record_success(self.now, &fingerprint(request));
        self.tables[agent].record_success(self.now, &fingerprint(request));
    }

    /// Sends the counts of every entry to all processes, and an old message again.
    fn send_counts(&mut self) {
        for from in AGENTS..AGENTS + ENTRIES {
            self.messages
                .push((from, self.tables[from].export(self.now)));
            let old = self.rng.usize(..self.messages.len());
            for index in [self.messages.len() - 1, old] {
                let (from, reports) = self.messages[index].clone();
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
// requests that only ran at the same time.
#[test]
fn only_the_cause_is_blocked() {
    for seed in 0..SEEDS {
        let world = World::new(seed, None).run();
        let crashes = world.crashes.len();
        assert_eq!((crashes, world.wrongly_blocked), (4, 0), "seed {seed}");
    }
}

// Guards against rules that the other test does not check: without any of them, harmless
// requests must be blocked.
#[test]
fn missing_rules_are_found() {
    for rule in [Rule::OneSuspect, Rule::OneReport, Rule::Clear] {
        let wrongly_blocked = |seed| World::new(seed, Some(rule)).run().wrongly_blocked > 0;
        assert!(
            (0..SEEDS).any(wrongly_blocked),
            "{rule:?} is not needed by any seed"
        );
    }
}
