//! Cost model of an engine: the time that a generation takes on a runner with
//! continuous batching.
//!
//! The figures are those that the operator publishes for a pool. A runner works in
//! passes. In each pass it reads prompt tokens of new requests (prefill) and then
//! takes a number of token steps for all requests that generate output (decode).

use crate::prelude::*;

/// Length of the prompt and the answer of a request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Size {
    /// Tokens of the prompt, which the engine reads.
    pub prompt: f64,
    /// Tokens of the answer, which the engine generates.
    pub output: f64,
}

common! { value
/// A model that the engine can hold.
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Time that loading a version takes.
    pub load: Millis,
}
}

common! { value
/// Cost figures of the engines of a pool.
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Time of a token step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// Time that a thousand tokens of context add to a step, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_rate: f64,
    /// Time for a million pairs of a prompt token and an earlier token, in
    /// milliseconds; the quadratic part of reading a prompt.
    pub pairs_ms: f64,
    /// Token steps in one pass.
    pub stride: f64,
    /// Mean size of a request to the pool.
    pub usual: Size,
    /// Layers of a complete model.
    pub layers: u32,
    /// Pieces into which the weights of a version are divided.
    pub pieces: u32,
    /// Length of a piece, in bytes.
    pub piece_bytes: usize,
    /// Models that the pool serves.
    pub models: Vec<Model>,
    /// One-way network delays between two availability zones, in milliseconds.
    pub delays: Vec<(String, String, f64)>,
}
}

impl Size {
    /// Returns the weight of a request of this size, as the users count it; at
    /// least 1.
    pub fn weight(&self) -> f64 {
        /// Weight of an output token, relative to a prompt token.
        const OUTPUT: f64 = 10.0;
        (self.prompt + OUTPUT * self.output).max(1.0)
    }
}

impl Engine {
    /// Returns the number of tokens in the first `events` events of an answer; these are all
    /// of it when it is whole. An event holds the tokens of one pass, and the last one those
    /// that are left.
    pub fn tokens(&self, events: u64, is_whole: bool) -> f64 {
        let tokens = events as f64 * self.stride;
        if is_whole && events > 0 {
            tokens - (self.stride - 1.0) / 2.0
        } else {
            tokens
        }
    }

    /// Returns the time for reading a prompt of this many tokens, in milliseconds.
    pub fn read_ms(&self, prompt: f64) -> f64 {
        let pairs = prompt * prompt / 2.0 / 1e6;
        prompt / self.read_rate.max(1e-3) + self.pairs_ms * pairs
    }

    /// Returns the time of one token step with `batch` requests of the usual size,
    /// in milliseconds.
    pub fn step_time(&self, batch: f64) -> f64 {
        let context = batch * (self.usual.prompt + self.usual.output / 2.0) / 1_000.0;
        self.step_ms + self.request_ms * batch + self.context_ms * context
    }

    /// Returns the time of one token step with `batch` requests and `context` tokens in memory,
    /// in milliseconds.
    pub fn step_with(&self, batch: f64, context: f64) -> f64 {
        self.step_ms + self.request_ms * batch + self.context_ms * context / 1_000.0
    }

    /// Returns the time of the token steps of one pass with `batch` requests, in
    /// milliseconds.
    pub fn pass_time(&self, batch: f64) -> f64 {
        self.stride * self.step_time(batch)
    }

    /// Returns the time of the whole runner that a request uses up in a full batch,
    /// in milliseconds.
    pub fn cost(&self, size: Size) -> f64 {
        let batch = f64::from(self.slots.max(1));
        self.read_ms(size.prompt) + size.output * self.step_time(batch) / batch
    }

    /// Returns the time from the start of a usual request to its last event on a runner
    /// with a full batch, in milliseconds.
    pub fn service_time(&self) -> f64 {
        let batch = f64::from(self.slots.max(1));
        self.read_ms(self.usual.prompt) + self.usual.output * self.step_time(batch)
    }

    /// Returns the mean interval at which a full runner completes a request, in
    /// milliseconds; at least 1.
    pub fn completion_interval(&self) -> f64 {
        self.cost(self.usual).max(1.0)
    }

    /// Returns the value of a request divided by the engine time that it takes,
    /// relative to the usual request.
    ///
    /// The value of a generation has a fixed part and a part that grows with its
    /// size, so the smallest requests have the highest value for their time.
    pub fn value_density(&self, size: Size) -> f64 {
        /// Part of the value that does not depend on the size.
        const FIXED_VALUE: f64 = 0.3;
        let value = FIXED_VALUE + (1.0 - FIXED_VALUE) * size.weight() / self.usual.weight();
        let cost = self.cost(size).max(1.0) / self.cost(self.usual).max(1.0);
        value / cost
    }
}
