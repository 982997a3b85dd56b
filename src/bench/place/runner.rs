//! Emulated model runner: passes, batch, queue, pace and loads on a virtual clock.

use std::collections::VecDeque;

use crate::route::engine::Engine;
use crate::route::engine::Size;

/// Output tokens in one event.
const EVENT_TOKENS: f64 = 5.0;

/// Requests that wait at most; more are refused before they run.
const MAX_QUEUED: usize = 32;

/// One request at a runner.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the request.
    pub id: usize,
    /// Its prompt and its real output.
    pub size: Size,
    /// Rank in the queue; 0 is the most urgent.
    pub urgency: u8,
}

#[derive(Clone, Debug)]
struct Active {
    job: Job,
    is_read: bool,
    left: f64,
}

/// What a runner did at the end of a pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Made {
    /// An event of this request.
    Event(usize),
    /// The last event of this request.
    Last(usize),
}

/// One emulated runner.
#[derive(Clone, Debug)]
pub struct Runner {
    engine: Engine,
    queue: VecDeque<Job>,
    batch: Vec<Active>,
    /// End of the pass in progress, with the requests that were in it.
    pass: Option<f64>,
    /// Time that work takes, relative to the usual.
    pub pace: f64,
    /// Start of a load in progress or wanted; it takes no new work.
    pub loading: Option<f64>,
    /// True while it is down.
    pub down: bool,
    load_ms: f64,
}

impl Runner {
    /// A runner with nothing to do.
    pub fn new(engine: &Engine) -> Runner {
        let load = engine.models.first().map_or(300.0, |m| m.load.0 as f64);
        Runner {
            engine: engine.clone(),
            queue: VecDeque::new(),
            batch: Vec::new(),
            pass: None,
            pace: 1.0,
            loading: None,
            down: false,
            load_ms: load,
        }
    }

    /// Requests that run or wait.
    pub fn calls(&self) -> usize {
        self.queue.len() + self.batch.len()
    }

    /// Takes a request; false when it is refused before it runs.
    pub fn take(&mut self, now: f64, job: Job) -> bool {
        if self.down || self.loading.is_some() || self.queue.len() >= MAX_QUEUED {
            return false;
        }
        let place = self.queue.iter().position(|j| j.urgency > job.urgency);
        match place {
            Some(place) => self.queue.insert(place, job),
            None => self.queue.push_back(job),
        }
        if self.pass.is_none() {
            self.begin(now);
        }
        true
    }

    /// Drops everything that runs or waits, and names it.
    pub fn crash(&mut self) -> Vec<usize> {
        self.pass = None;
        let waiting = self.queue.drain(..).map(|j| j.id);
        let mut lost: Vec<usize> = waiting.collect();
        lost.extend(self.batch.drain(..).map(|a| a.job.id));
        lost
    }

    /// Time of the next end of a pass.
    pub fn next(&self) -> Option<f64> {
        self.pass
    }

    /// Ends the pass that is due and begins the next one.
    pub fn end_pass(&mut self, now: f64) -> Vec<Made> {
        let mut made = Vec::new();
        let tokens = self.engine.stride.max(EVENT_TOKENS);
        for active in &mut self.batch {
            active.is_read = true;
            active.left -= tokens;
            let id = active.job.id;
            made.push(if active.left <= 0.0 {
                Made::Last(id)
            } else {
                Made::Event(id)
            });
        }
        self.batch.retain(|a| a.left > 0.0);
        self.pass = None;
        self.begin(now);
        made
    }

    /// Advances a load; true when it has ended.
    pub fn tick(&mut self, now: f64) -> bool {
        let Some(start) = self.loading else {
            return false;
        };
        if self.calls() > 0 {
            self.loading = Some(now);
            return false;
        }
        if now >= start + self.load_ms {
            self.loading = None;
            return true;
        }
        false
    }

    fn begin(&mut self, now: f64) {
        while self.batch.len() < self.engine.slots as usize {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            let left = job.size.output.max(EVENT_TOKENS);
            self.batch.push(Active {
                job,
                is_read: false,
                left,
            });
        }
        if self.batch.is_empty() {
            return;
        }
        let unread = self.batch.iter().filter(|a| !a.is_read);
        let read: f64 = unread.map(|a| self.engine.read_ms(a.job.size.prompt)).sum();
        let span = read + self.engine.pass_time(self.batch.len() as f64);
        self.pass = Some(now + span * self.pace);
    }
}
