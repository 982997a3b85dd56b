//! Checks promises from what callers and upstreams see. Pure: no I/O, no clock.

use crate::prelude::*;

/// Time without disturbance after which a process is bound by time limits.
const CONTACT: Millis = Millis(3_000);

/// Time after which a leaving upstream gets no more requests.
const DRAIN: Millis = Millis(2_000);

/// Time after which a configuration is in force.
const APPLY: Millis = Millis(2_000);

/// Time after which a process that showed a configuration keeps to it.
const BACK: Millis = Millis(250);

/// Time after SIGTERM in which requests that a process takes are still answered.
const TAKEN: Millis = Millis(3_000);

/// Time beyond its deadline by which a caller has an answer.
const LATE: Millis = Millis(1_500);

/// Broken promises that are kept.
const MAX_BROKEN: usize = 40;

/// Name under which the store's disturbances are noted.
pub const STORE: &str = "store";

common! { value
/// A request that an upstream began to run.
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Pool of the upstream.
    pub pool: &'static str,
    /// Id of the upstream.
    pub upstream: String,
}
}

common! { value
/// What a caller got.
pub enum Got {
    /// A whole answer of its own.
    Whole,
    /// A failure with this status.
    Failure(u16),
    /// An answer that looks whole and is not its own, or not all of it.
    Wrong(String),
    /// A closed connection, or a stream that visibly broke off.
    Closed,
    /// Nothing was sent.
    Unsent,
    /// Nothing until after its deadline.
    Nothing,
}
}

#[derive(Clone, Debug)]
struct Seen {
    entry: String,
    path: String,
    sent: Millis,
    runs: u32,
    refused: bool,
}

/// Disturbances of one process, link or store.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    active: u32,
    last: Option<Millis>,
}

/// Newest configuration that a process has shown.
#[derive(Clone, Copy, Debug)]
struct Shown {
    index: usize,
    at: Millis,
}

/// What was seen so far.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    seen: IndexMap<String, Seen>,
    leaving: IndexMap<String, Millis>,
    /// When each configuration was acknowledged, and its pool for `/moves/`.
    configs: Vec<(Millis, &'static str)>,
    states: IndexMap<String, State>,
    shown: IndexMap<String, Shown>,
    stops: IndexMap<String, Millis>,
    whole: usize,
    broken: Vec<String>,
}

impl Judge {
    /// Notes a configuration that the store acknowledged.
    pub fn configured(&mut self, now: Millis, pool: &'static str) {
        self.configs.push((now, pool));
    }

    /// Notes an upstream whose leaving the store acknowledged.
    pub fn leaving(&mut self, now: Millis, upstream: &str) {
        self.leaving.insert(upstream.to_string(), now);
    }

    /// Notes a disturbance of a moment.
    pub fn disturbed(&mut self, now: Millis, name: &str) {
        self.state(name).last = Some(now);
    }

    /// Notes the start of a disturbance.
    pub fn disturb(&mut self, name: &str) {
        self.state(name).active += 1;
    }

    /// Notes the end of a disturbance.
    pub fn calmed(&mut self, now: Millis, name: &str) {
        let state = self.state(name);
        state.active = state.active.saturating_sub(1);
        state.last = Some(now);
    }

    /// Notes a SIGTERM.
    pub fn stopped(&mut self, now: Millis, entry: &str) {
        self.stops.insert(entry.to_string(), now);
    }

    /// Notes a new start of an entry, which has shown nothing yet.
    pub fn started(&mut self, entry: &str) {
        self.shown.swap_remove(entry);
        self.stops.swap_remove(entry);
    }

    /// Notes a process that did not start.
    pub fn unready(&mut self, now: Millis, name: &str, what: &str) {
        let what = format!("{name} did not start: {what}");
        self.fail(now, "-", &what);
    }

    /// Notes a request that a caller sends.
    pub fn sent(&mut self, now: Millis, entry: &str, id: &str, path: &str) {
        let seen = Seen {
            entry: entry.to_string(),
            path: path.to_string(),
            sent: now,
            runs: 0,
            refused: false,
        };
        self.seen.insert(id.to_string(), seen);
    }

    /// Notes a request that an upstream begins to run.
    pub fn ran(&mut self, now: Millis, run: Run) {
        let Some(seen) = self.seen.get_mut(&run.id) else {
            let what = format!("{} ran {} that nobody sent", run.upstream, run.path);
            self.fail(now, &run.id, &what);
            return;
        };
        seen.runs += 1;
        let seen = seen.clone();
        if seen.path != run.path {
            let what = format!("path {} arrived as {}", seen.path, run.path);
            self.fail(now, &run.id, &what);
        }
        if is_once(&seen.path) && seen.runs > 1 {
            self.fail(now, &run.id, "ran twice");
        }
        if is_once(&seen.path) && seen.refused {
            self.fail(
                now,
                &run.id,
                "ran after its caller was told that it never will",
            );
        }
        let bound = self.is_calm(now, &seen.entry) && self.is_calm(now, STORE);
        let left = self.leaving.get(&run.upstream).copied();
        let is_late = left.is_some_and(|at| now > at.plus(DRAIN));
        if bound && is_late && self.is_calm(now, &run.upstream) {
            let what = format!(
                "reached {} after its drain, from {}",
                run.upstream, seen.entry
            );
            self.fail(now, &run.id, &what);
        }
        if seen.path.starts_with("/moves/") {
            self.check_config(now, bound, &seen, &run);
        }
    }

    fn check_config(&mut self, now: Millis, bound: bool, seen: &Seen, run: &Run) {
        let matching = |index: &usize| self.configs[*index].1 == run.pool;
        let allowed = |index: &usize| {
            let next = self.configs.get(index + 1);
            next.is_none_or(|(at, _)| at.plus(APPLY) > seen.sent)
        };
        let mut all = 0..self.configs.len();
        let oldest = all.clone().filter(matching).find(allowed);
        let newest = all.rfind(matching);
        if bound && oldest.is_none() {
            let what = format!(
                "{} used pool {} of an old configuration",
                seen.entry, run.pool
            );
            self.fail(now, &run.id, &what);
        }
        let shown = self.shown.get(&seen.entry).copied();
        if let Some(shown) = shown {
            let is_behind = newest.is_none_or(|newest| newest < shown.index);
            if is_behind && seen.sent > shown.at.plus(BACK) {
                let what = format!("{} went back to an older configuration", seen.entry);
                self.fail(now, &run.id, &what);
            }
        }
        if let Some(index) = oldest
            && shown.is_none_or(|shown| index > shown.index)
        {
            self.shown
                .insert(seen.entry.clone(), Shown { index, at: now });
        }
    }

    /// Notes what a caller got.
    pub fn answered(&mut self, now: Millis, id: &str, got: &Got) {
        let Some(seen) = self.seen.get_mut(id) else {
            return;
        };
        let promises = matches!(got, Got::Failure(408 | 421 | 429 | 503));
        seen.refused |= promises;
        let seen = seen.clone();
        match got {
            Got::Whole => self.whole += 1,
            Got::Wrong(what) => self.fail(now, id, what),
            Got::Failure(_) if promises && is_once(&seen.path) && seen.runs > 0 => {
                self.fail(now, id, "ran, and its caller was told that it never will");
            }
            Got::Failure(_) | Got::Unsent => {}
            Got::Closed => {
                let stop = self.stops.get(&seen.entry).copied();
                let is_taken = stop.is_none_or(|at| seen.sent <= at.plus(TAKEN));
                let is_stream = seen.path.starts_with("/stream/");
                if seen.runs > 0 && is_taken && !is_stream && self.is_calm(now, &seen.entry) {
                    let word = if stop.is_some() {
                        "planned stop"
                    } else {
                        "calm"
                    };
                    let what = format!("{} cut it off in a {word}", seen.entry);
                    self.fail(now, id, &what);
                }
            }
            // A process that was paused counts the caller's time from its wake.
            Got::Nothing => {
                if self.is_calm(seen.sent, &seen.entry) && self.is_calm(now, &seen.entry) {
                    let what = format!("{} gave no answer in time", seen.entry);
                    self.fail(now, id, &what);
                }
            }
        }
    }

    /// Longest time that a caller waits for an answer.
    pub fn patience(deadline: Millis) -> Millis {
        deadline.plus(LATE)
    }

    /// Requests sent, and of these answered whole.
    pub fn counts(&self) -> (usize, usize) {
        (self.seen.len(), self.whole)
    }

    /// Broken promises, the earliest first.
    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    fn state(&mut self, name: &str) -> &mut State {
        self.states.entry(name.to_string()).or_default()
    }

    fn is_calm(&self, now: Millis, name: &str) -> bool {
        self.states.get(name).is_none_or(|state| {
            let is_over = state.last.is_none_or(|at| now.since(at) >= CONTACT);
            state.active == 0 && is_over
        })
    }

    fn fail(&mut self, now: Millis, id: &str, what: &str) {
        if self.broken.len() < MAX_BROKEN {
            self.broken.push(format!("{} request {id}: {what}", now.0));
        }
    }
}

fn is_once(path: &str) -> bool {
    path.starts_with("/once/")
}
