//! Engine time on paper: what a generation costs a runner that batches continuously.
//!
//! The figures are those that the operator publishes for a pool. A runner
//! works in passes: each reads some prompt tokens of new requests and then
//! takes a number of token steps for all requests that are writing.

use crate::prelude::*;

/// Prompt and answer of a request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Size {
    /// Tokens to read.
    pub prompt: f64,
    /// Tokens to write.
    pub output: f64,
}

common! { value
/// A model that the engine can hold.
pub struct Model {
    /// Its name.
    pub name: String,
    /// Time of a load.
    pub load: Millis,
}
}

common! { value
/// Figures of a pool's engines.
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
    /// Time for a million pairs of a token and an earlier one, in milliseconds.
    pub pairs_ms: f64,
    /// Token steps of a pass.
    pub stride: f64,
    /// Mean request.
    pub usual: Size,
    /// Parts that a whole model has.
    pub layers: u32,
    /// Pieces of a version's weights.
    pub pieces: u32,
    /// Length of a piece, in bytes.
    pub piece_bytes: usize,
    /// Models of the pool.
    pub models: Vec<Model>,
    /// One-way delays between availability zones, in milliseconds.
    pub delays: Vec<(String, String, f64)>,
}
}

impl Size {
    /// Weight by which the users count a size; at least 1.
    pub fn weight(&self) -> f64 {
        /// Weight of an output token against a prompt token.
        const OUTPUT: f64 = 10.0;
        (self.prompt + OUTPUT * self.output).max(1.0)
    }
}

impl Engine {
    /// Time for reading a prompt.
    pub fn read_ms(&self, prompt: f64) -> f64 {
        let pairs = prompt * prompt / 2.0 / 1e6;
        prompt / self.read_rate.max(1e-3) + self.pairs_ms * pairs
    }

    /// Time of one token step with `batch` requests of the usual size.
    pub fn step_time(&self, batch: f64) -> f64 {
        let context = batch * (self.usual.prompt + self.usual.output / 2.0) / 1_000.0;
        self.step_ms + self.request_ms * batch + self.context_ms * context
    }

    /// Time of the token steps of one pass with `batch` requests.
    pub fn pass_time(&self, batch: f64) -> f64 {
        self.stride * self.step_time(batch)
    }

    /// Time of the whole runner that a request takes in a full batch.
    pub fn cost(&self, size: Size) -> f64 {
        let batch = f64::from(self.slots.max(1));
        self.read_ms(size.prompt) + size.output * self.step_time(batch) / batch
    }

    /// Mean interval at which a full runner ends a request.
    pub fn completion_interval(&self) -> f64 {
        self.cost(self.usual).max(1.0)
    }

    /// Worth of a request for the engine time that it takes, relative to the
    /// usual one.
    ///
    /// A generation is worth a fixed part and a part that grows with its size,
    /// so the smallest are worth most for their time.
    pub fn value_density(&self, size: Size) -> f64 {
        /// Part of the worth that does not depend on the size.
        const FIXED: f64 = 0.3;
        let worth = FIXED + (1.0 - FIXED) * size.weight() / self.usual.weight();
        let cost = self.cost(size).max(1.0) / self.cost(self.usual).max(1.0);
        worth / cost
    }
}
