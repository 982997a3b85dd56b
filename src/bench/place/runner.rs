//! Emulated model runner on a virtual clock.
//!
//! It runs a batch of requests in passes: a pass reads the prompts that are new in the batch
//! and makes one event of output for each request. Others wait in a queue.

use std::collections::VecDeque;

use crate::route::engine::Engine;
use crate::route::engine::Size;

/// Least number of output tokens in one event.
const EVENT_TOKENS: f64 = 5.0;

/// Most requests that wait; more are refused before they run.
const MAX_QUEUED: usize = 32;

/// One request at a runner.
#[derive(Clone, Debug)]
pub struct RunnerRequest {
    /// Number of the request.
    pub id: usize,
    /// Its prompt and its real output, in tokens.
    pub size: Size,
    /// Rank in the queue; 0 is the most urgent.
    pub urgency: u8,
}

/// A request in the batch.
#[derive(Clone, Debug)]
struct BatchEntry {
    request: RunnerRequest,
    /// True once its prompt has been read.
    is_read: bool,
    /// Output tokens still to be made.
    tokens_left: f64,
}

/// An event of an answer, made at the end of a pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerEvent {
    /// An event of the request with this number; more follow.
    Event(usize),
    /// The last event of the request with this number.
    Last(usize),
}

/// One emulated runner.
#[derive(Clone, Debug)]
pub struct Runner {
    engine: Engine,
    queue: VecDeque<RunnerRequest>,
    batch: Vec<BatchEntry>,
    /// Time at which the pass in progress ends; `None` when idle.
    pass_end: Option<f64>,
    /// Time that a pass takes, relative to the usual one; 2 is half as fast.
    pub pace: f64,
    /// Start of a load, in progress or waiting for requests to end; meanwhile new requests are
    /// refused.
    pub loading: Option<f64>,
    /// True while it is down and refuses all requests.
    pub down: bool,
    load_ms: f64,
}

impl Runner {
    /// Creates an idle runner.
    pub fn new(engine: &Engine) -> Runner {
        let load_ms = engine.models.first().map_or(300.0, |m| m.load.0 as f64);
        Runner {
            engine: engine.clone(),
            queue: VecDeque::new(),
            batch: Vec::new(),
            pass_end: None,
            pace: 1.0,
            loading: None,
            down: false,
            load_ms,
        }
    }

    /// Number of requests that run or wait.
    pub fn calls(&self) -> usize {
        self.queue.len() + self.batch.len()
    }

    /// Queues a request by its urgency; returns false when it is refused before it runs.
    pub fn accept(&mut self, now: f64, request: RunnerRequest) -> bool {
        if self.down || self.loading.is_some() || self.queue.len() >= MAX_QUEUED {
            return false;
        }
        let position = self.queue.iter().position(|r| r.urgency > request.urgency);
        match position {
            Some(position) => self.queue.insert(position, request),
            None => self.queue.push_back(request),
        }
        if self.pass_end.is_none() {
            self.start_pass(now);
        }
        true
    }

    /// Drops all requests that run or wait and returns their numbers.
    pub fn crash(&mut self) -> Vec<usize> {
        self.pass_end = None;
        let waiting = self.queue.drain(..).map(|r| r.id);
        let mut lost: Vec<usize> = waiting.collect();
        lost.extend(self.batch.drain(..).map(|e| e.request.id));
        lost
    }

    /// Time at which the pass in progress ends; `None` when idle.
    pub fn pass_end(&self) -> Option<f64> {
        self.pass_end
    }

    /// Ends the pass in progress, starts the next one and returns the events made.
    pub fn end_pass(&mut self, now: f64) -> Vec<AnswerEvent> {
        let mut events = Vec::new();
        let tokens = self.engine.stride.max(EVENT_TOKENS);
        for entry in &mut self.batch {
            entry.is_read = true;
            entry.tokens_left -= tokens;
            let id = entry.request.id;
            events.push(if entry.tokens_left <= 0.0 {
                AnswerEvent::Last(id)
            } else {
                AnswerEvent::Event(id)
            });
        }
        self.batch.retain(|e| e.tokens_left > 0.0);
        self.pass_end = None;
        self.start_pass(now);
        events
    }

    /// Advances a load, which starts once all requests have ended; returns true when it ends.
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

    /// Fills the batch from the queue and starts a pass, unless there is nothing to run.
    fn start_pass(&mut self, now: f64) {
        while self.batch.len() < self.engine.slots as usize {
            let Some(request) = self.queue.pop_front() else {
                break;
            };
            let tokens_left = request.size.output.max(EVENT_TOKENS);
            self.batch.push(BatchEntry {
                request,
                is_read: false,
                tokens_left,
            });
        }
        if self.batch.is_empty() {
            return;
        }
        let unread = self.batch.iter().filter(|e| !e.is_read);
        let read_ms: f64 = unread
            .map(|e| self.engine.read_ms(e.request.size.prompt))
            .sum();
        let pass_ms = read_ms + self.engine.pass_time(self.batch.len() as f64);
        self.pass_end = Some(now + pass_ms * self.pace);
    }
}
