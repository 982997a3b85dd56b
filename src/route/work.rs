//! Work that is left at an upstream: prompts to read, output to write, and the memory that the
//! requests there will need.
//!
//! It is made for requests that cost very different amounts: two upstreams with the same
//! number of calls may be far apart in when their next slot becomes free. Each call knows what
//! its output is expected to be and what has been written of it. Sums for each upstream are
//! changed when a call is sent, brings an event or ends; no prediction looks at single calls.

use crate::prelude::*;
use crate::route::engine::Engine;
use crate::route::engine::Size;
use crate::route::estimate::Forecast;

/// Number of token steps for which the calls that end are counted. Within the objective of a
/// generation, 400 ms, a full batch takes about that many.
pub const HORIZON: f64 = 32.0;

/// Calls at one upstream, and what is left of their work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls in progress.
    pub calls: u32,
    /// Those of them without a first event.
    pub waiting: u32,
    /// Time for reading the prompts of calls without a first event, in milliseconds.
    pub unread_ms: f64,
    /// Output still expected of calls with a first event, in tokens.
    pub left: f64,
    /// Output expected of calls without a first event, in tokens.
    pub fresh: f64,
    /// Expected number of calls that end within the next [`HORIZON`] steps.
    pub soon: f64,
    /// Memory that the calls may need at their ends, in tokens.
    pub memory: f64,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: &Load) {
        self.calls += other.calls;
        self.waiting += other.waiting;
        self.unread_ms += other.unread_ms;
        self.left += other.left;
        self.fresh += other.fresh;
        self.soon += other.soon;
        self.memory += other.memory;
    }

    /// Subtracts the load of a call that is part of this one.
    pub fn subtract(&mut self, part: &Load) {
        self.calls = self.calls.saturating_sub(part.calls);
        self.waiting = self.waiting.saturating_sub(part.waiting);
        if self.calls == 0 {
            // Rounding errors do not add up.
            *self = Load::default();
            return;
        }
        let less = |value: f64, part: f64| (value - part).max(0.0);
        self.unread_ms = less(self.unread_ms, part.unread_ms);
        self.left = less(self.left, part.left);
        self.fresh = less(self.fresh, part.fresh);
        self.soon = less(self.soon, part.soon);
        self.memory = less(self.memory, part.memory);
    }

    /// Returns the load of `count` calls of which only the time for unread prompts is known.
    pub fn usual(engine: &Engine, count: u32, unread_ms: f64) -> Load {
        let Size { prompt, output } = engine.usual;
        let waiting = (unread_ms / engine.read_ms(prompt).max(1e-3)).round();
        let waiting = (waiting as u32).min(count);
        let running = f64::from(count - waiting);
        Load {
            calls: count,
            waiting,
            unread_ms,
            left: running * output,
            fresh: f64::from(waiting) * output,
            soon: running * (HORIZON / output.max(1.0)).min(1.0),
            memory: f64::from(count) * (prompt + output),
        }
    }

    /// Returns this load when it states what is left, or else that of as many usual calls:
    /// earlier releases state only calls and unread prompts.
    pub fn or_usual(self, engine: Option<&Engine>) -> Load {
        match engine {
            Some(engine) if self.calls > 0 && self.memory <= 0.0 => {
                Load::usual(engine, self.calls, self.unread_ms)
            }
            _ => self,
        }
    }

    /// Returns the load as it is expected to be `steps` token steps later: what is left has
    /// become less, if the calls have not ended.
    pub fn after(mut self, steps: f64) -> Load {
        let running = f64::from(self.calls.saturating_sub(self.waiting));
        self.left = (self.left - running * steps).max(0.0);
        self
    }

    /// Returns the expected number of calls that end within `steps` token steps.
    pub fn ends(&self, steps: f64) -> f64 {
        (self.soon * steps / HORIZON).min(f64::from(self.calls))
    }

    /// Returns the tokens in memory now.
    pub fn context(&self) -> f64 {
        (self.memory - self.left - self.fresh).max(0.0)
    }

    /// Returns the number of token steps until `count` of the calls in `slots` slots have
    /// ended. `added` calls of the usual output have been added, and `ended` calls have ended.
    pub fn steps_until(&self, count: f64, slots: f64, added: f64, ended: f64, usual: f64) -> f64 {
        let usual = usual.max(1.0);
        let waiting = f64::from(self.waiting) + added;
        let running = (f64::from(self.calls) + added - ended - waiting).clamp(0.0, slots);
        let fresh = if waiting > 0.0 {
            (self.fresh + added * usual) / waiting
        } else {
            usual
        };
        // Slots that others than the running calls take are taken by waiting ones.
        let left = self.left + (slots - running) * fresh;
        let interval = left / slots / slots;
        // A slot whose call has ended since the report is taken by another one.
        let soon = self.soon + ended * HORIZON / usual;
        if count <= soon {
            count * HORIZON / soon
        } else {
            HORIZON * (soon / (soon + 1.0)) + (count - soon) * interval
        }
    }
}

/// One call, and what is left of its work.
#[derive(Clone, Debug)]
pub struct Job {
    forecast: Forecast,
    prompt: f64,
    read_ms: f64,
    written: f64,
    /// True once the first event has come.
    pub begun: bool,
}

impl Job {
    /// Returns a call that is sent to an upstream with this engine.
    pub fn new(engine: Option<&Engine>, size: Size) -> Job {
        Job {
            forecast: Forecast::around(size.output),
            prompt: size.prompt,
            read_ms: engine.map_or(0.0, |e| e.read_ms(size.prompt)),
            written: 0.0,
            begun: false,
        }
    }

    /// Sets the forecast of its output, of which `written` tokens were made elsewhere.
    pub fn expect(&mut self, forecast: Forecast, written: f64) {
        self.forecast = forecast;
        self.written = written;
    }

    /// Records `tokens` tokens of output.
    pub fn on_output(&mut self, tokens: f64) {
        self.written += tokens;
    }

    /// Returns its part of the load of its upstream.
    pub fn load(&self) -> Load {
        let left = self.forecast.left(self.written);
        let memory = self.prompt + self.forecast.upper(self.written);
        if self.begun {
            return Load {
                calls: 1,
                left,
                soon: self.forecast.ends_within(self.written, HORIZON),
                memory,
                ..Load::default()
            };
        }
        Load {
            calls: 1,
            waiting: 1,
            unread_ms: self.read_ms,
            fresh: left,
            memory,
            ..Load::default()
        }
    }
}

/// Memory of an upstream, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Memory {
    /// What it has; none when that is not known.
    pub capacity: Option<f64>,
    /// What its requests hold, as its agent last reported, and when.
    pub used: Option<(f64, Millis)>,
}

impl Memory {
    /// Age at which a report is ignored.
    const EXPIRY: Millis = Millis(1_500);

    /// Returns true unless the calls of `load`, and one more of this size, may need more than
    /// there is.
    ///
    /// The report counts too, as it has the calls of entries that do not report here.
    pub fn fits(&self, now: Millis, load: &Load, size: Size, usual: Size) -> bool {
        let Some(capacity) = self.capacity else {
            return true;
        };
        let fresh = self.used.filter(|(_, at)| now.since(*at) < Memory::EXPIRY);
        let reported = fresh.map_or(0.0, |(used, _)| {
            used + load.left + load.fresh + f64::from(load.waiting) * usual.prompt
        });
        let own = size.prompt + Forecast::around(size.output).upper(0.0);
        load.memory.max(reported) + own <= capacity
    }
}
