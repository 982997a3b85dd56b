//! The configuration service in memory: blocking queries, replicas, a call limit.

use crate::table::sync::ConfigKey;
use crate::table::sync::Reading;
use crate::time::Millis;

/// Replicas; a process asks the one of its number.
pub const REPLICAS: usize = 2;

/// Calls that the service answers in a second, over all readers.
pub const CALLS_S: u64 = 2_000;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// The process.
    pub node: usize,
    /// Its life, so that an answer for a former one is dropped.
    pub life: u64,
    /// Number of its action.
    pub call: u64,
    /// The key.
    pub key: ConfigKey,
    /// The answer waits for an index above this one.
    pub index: u64,
    /// When it is answered anyhow.
    pub until: Millis,
}

/// One replica's view.
#[derive(Clone, Debug)]
struct Replica {
    values: [Option<Reading>; 3],
    /// A stale replica takes no writes.
    stale: bool,
}

/// The service.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Newest values, which stale replicas take when they recover.
    latest: [Option<Reading>; 3],
    replicas: [Replica; REPLICAS],
    waiting: Vec<Query>,
    index: u64,
    /// True while no call is answered.
    pub down: bool,
    /// Time at which the next call can be served, in microseconds.
    free_us: u64,
    /// Calls since the start.
    pub calls: u64,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform {
            latest: [None, None, None],
            replicas: [0, 1].map(|_| Replica {
                values: [None, None, None],
                stale: false,
            }),
            waiting: Vec::new(),
            index: 0,
            down: false,
            free_us: 0,
            calls: 0,
        }
    }
}

impl Platform {
    /// Writes a value; returns the queries that are to be answered now.
    pub fn publish(&mut self, key: ConfigKey, text: &str) -> Vec<Query> {
        self.index += 1;
        let reading = Reading {
            index: self.index,
            text: text.into(),
        };
        self.latest[key as usize] = Some(reading.clone());
        for replica in self.replicas.iter_mut().filter(|r| !r.stale) {
            replica.values[key as usize] = Some(reading.clone());
        }
        self.take_ready()
    }

    /// Writes a value to one replica only, as a faulty service does.
    pub fn publish_to(&mut self, replica: usize, key: ConfigKey, text: &str) -> Vec<Query> {
        self.index += 1;
        self.replicas[replica].values[key as usize] = Some(Reading {
            index: self.index,
            text: text.into(),
        });
        self.take_ready()
    }

    /// Stops or resumes the flow of writes to a replica.
    pub fn set_stale(&mut self, replica: usize, stale: bool) -> Vec<Query> {
        self.replicas[replica].stale = stale;
        if !stale {
            self.replicas[replica].values = self.latest.clone();
        }
        self.take_ready()
    }

    /// Restarts the service: indexes begin anew and all waiting queries are lost.
    pub fn restart(&mut self) {
        self.index = 0;
        for reading in self.latest.iter_mut().flatten() {
            self.index += 1;
            reading.index = self.index;
        }
        for replica in &mut self.replicas {
            replica.values = self.latest.clone();
        }
        self.waiting.clear();
    }

    /// Drops the waiting queries, as an outage does.
    pub fn drop_waiting(&mut self) {
        self.waiting.clear();
    }

    /// The value that a query sees now.
    pub fn value(&self, query: &Query) -> Option<Reading> {
        self.replicas[query.node % REPLICAS].values[query.key as usize].clone()
    }

    /// Takes a call: true when it is to be answered at once, otherwise it waits.
    pub fn call(&mut self, query: Query, now: Millis) -> bool {
        self.calls += 1;
        let ready = self.is_ready(&query) || query.until <= now;
        if !ready {
            self.waiting.push(query);
        }
        ready
    }

    /// Takes the queries whose wait is over.
    pub fn expire(&mut self, now: Millis) -> Vec<Query> {
        self.take(|_, query| query.until <= now)
    }

    /// When the service gets to one more call, at its rate limit.
    pub fn serve_at(&mut self, now: Millis) -> Millis {
        let start = self.free_us.max(now.0 * 1_000);
        self.free_us = start + 1_000_000 / CALLS_S;
        Millis(start / 1_000)
    }

    fn is_ready(&self, query: &Query) -> bool {
        // An index above the service's own is from before a restart.
        let reading = self.value(query);
        reading.is_some_and(|r| query.index == 0 || r.index != query.index)
    }

    fn take_ready(&mut self) -> Vec<Query> {
        self.take(|platform, query| platform.is_ready(query))
    }

    fn take(&mut self, ready: impl Fn(&Platform, &Query) -> bool) -> Vec<Query> {
        let waiting = std::mem::take(&mut self.waiting);
        let (now, later) = waiting.into_iter().partition(|query| ready(self, query));
        self.waiting = later;
        now
    }
}
