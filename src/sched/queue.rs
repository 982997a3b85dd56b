//! The queue of an agent in front of its upstream.

use crate::arena::Arena;
use crate::arena::Key;
use crate::common;
use crate::sched::share::Shares;
use crate::time::Millis;

/// Milliseconds of waiting that offset one millisecond of expected cost.
///
/// A request of cost `c` is overtaken only by requests that arrive within
/// `AGEING * c` after it, so none starves. At 4, a long request of 200 ms yields to
/// short requests for 0.8 s.
const AGEING: f64 = 4.0;

/// A short request that has run for this many times its expected cost counts as long.
const OVERRUN_RATIO: f64 = 3.0;

/// A request may wait for its remaining time divided by this. It is refused after
/// that, while there is still time to send it to another upstream.
const WAIT_DIVISOR: u64 = 4;

common! { key
/// Bounds of a queue.
pub struct Settings {
    /// Most requests in progress at the upstream, except for `surge`.
    pub max_running: usize,
    /// Slots of `max_running` that long requests may not take.
    pub reserved: usize,
    /// Most short requests that may run beyond `max_running` while long requests
    /// hold slots. The engine runs them first by their priority.
    pub surge: usize,
    /// Most requests that wait.
    pub max_queued: usize,
    /// Longest expected time in which the waiting requests are all started.
    pub max_wait: Millis,
    /// True to run requests in order of arrival, without classes and fair shares. This
    /// is the baseline of benchmarks.
    pub fifo: bool,
}
}

impl Settings {
    /// Returns the bounds for an upstream that runs `max_running` requests at once.
    pub fn new(max_running: usize, max_queued: usize) -> Settings {
        Settings {
            max_running,
            reserved: max_running / 4,
            surge: max_running / 2,
            max_queued,
            max_wait: Millis(1_000),
            fifo: false,
        }
    }

    /// Returns the bounds of a queue that runs requests in order of arrival and
    /// refuses the newest when it is full.
    pub fn fifo(max_running: usize, max_queued: usize) -> Settings {
        Settings {
            max_running,
            reserved: 0,
            surge: 0,
            max_queued,
            max_wait: Millis(u64::MAX),
            fifo: true,
        }
    }
}

common! { value
/// A request for the queue.
pub struct Job<T> {
    /// Organisation that sent it.
    pub org: String,
    /// Weight of the organisation's fair share.
    pub weight: u32,
    /// Expected service time, in milliseconds.
    pub cost: f64,
    /// True for a short request.
    pub short: bool,
    /// Time at which the caller gives up.
    pub deadline: Millis,
    /// The request itself; the queue does not look at it.
    pub value: T,
}
}

#[derive(Clone, Debug)]
struct WaitingJob<T> {
    job: Job<T>,
    queued_at: Millis,
    /// When it is refused if it still waits.
    expires_at: Millis,
    /// Time of arrival plus the weighted cost; lower is started first.
    order: f64,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Running {
    org: String,
    cost: f64,
    short: bool,
    started_at: Millis,
}

impl Running {
    /// Returns true when it counts as long, by its class or because it has run for
    /// too long.
    fn is_long(&self, now: Millis) -> bool {
        let elapsed = now.since(self.started_at).0 as f64;
        !self.short || elapsed > OVERRUN_RATIO * self.cost.max(1.0)
    }
}

common! { value
/// Result of adding a job to the queue.
pub enum Push<T> {
    /// The job waits.
    Queued,
    /// The job waits, and this other job was refused instead.
    Evicted(Job<T>),
    /// The job was refused.
    Refused(Job<T>),
}
}

common! { value
/// Load of the upstream and its queue.
pub struct Load {
    /// Requests in progress.
    pub running: usize,
    /// Requests waiting.
    pub queued: usize,
    /// Expected wait of a new short request.
    pub wait: Millis,
}
}

/// Requests that wait for one upstream, and requests that it runs.
///
/// # Invariants
///
/// At most `max_running + surge` requests run, and at most `max_queued` wait.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    waiting: Vec<WaitingJob<T>>,
    running: Arena<Running>,
    shares: Shares,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    ///
    /// # Panics
    ///
    /// When `max_running` is 0 or `reserved` is not below it.
    pub fn new(settings: Settings) -> Queue<T> {
        assert!(settings.max_running > 0, "an upstream runs something");
        assert!(settings.reserved < settings.max_running);
        Queue {
            settings,
            waiting: Vec::new(),
            running: Arena::default(),
            shares: Shares::default(),
        }
    }

    /// Adds a job. When the queue is full, the most expensive job of the organisation
    /// that is furthest over its share is refused.
    pub fn push(&mut self, now: Millis, job: Job<T>) -> Push<T> {
        self.shares.register(&job.org, job.weight);
        let (divisor, ageing) = match self.settings.fifo {
            true => (1, 0.0),
            false => (WAIT_DIVISOR, AGEING),
        };
        let max_wait_time = Millis(job.deadline.since(now).0 / divisor);
        let order = now.0 as f64 + ageing * job.cost;
        self.waiting.push(WaitingJob {
            queued_at: now,
            expires_at: now.plus(max_wait_time),
            order,
            job,
        });
        if !self.is_full() {
            return Push::Queued;
        }
        let newest = self.waiting.len() - 1;
        let victim = self.victim();
        let removed = self.waiting.remove(victim).job;
        assert!(self.waiting.len() <= self.settings.max_queued);
        if victim == newest {
            Push::Refused(removed)
        } else {
            Push::Evicted(removed)
        }
    }

    /// Starts the next request, if there is a free slot for it.
    pub fn pop(&mut self, now: Millis) -> Option<(Key<Running>, Job<T>)> {
        let (short, long) = self.may_start(now);
        let next_index = self.next_index(short, long)?;
        let job = self.waiting.remove(next_index).job;
        self.shares.on_start(&job.org);
        self.shares.charge(&job.org, job.cost);
        let key = self.running.insert(Running {
            org: job.org.clone(),
            cost: job.cost,
            short: job.short,
            started_at: now,
        });
        let bound = self.settings.max_running + self.settings.surge;
        assert!(self.running.len() <= bound, "too much work in flight");
        Some((key, job))
    }

    /// Counts the end of a request and returns its service time.
    pub fn done(&mut self, now: Millis, key: Key<Running>) -> Option<Millis> {
        let running = self.running.remove(key)?;
        let took = now.since(running.started_at);
        self.shares
            .charge(&running.org, took.0 as f64 - running.cost);
        Some(took)
    }

    /// Removes and returns the waiting requests that match, for instance cancelled ones.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Vec<Job<T>> {
        self.remove_where(|waiting| matches(&waiting.job.value))
    }

    /// Removes and returns the requests that have waited for too long.
    pub fn expire(&mut self, now: Millis) -> Vec<Job<T>> {
        self.remove_where(|waiting| waiting.expires_at <= now)
    }

    /// Returns the load now.
    pub fn load(&self, now: Millis) -> Load {
        Load {
            running: self.running.len(),
            queued: self.waiting.len(),
            wait: Millis(self.expected_wait(now) as u64),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true when no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the longest time that a waiting request has waited so far.
    pub fn oldest(&self, now: Millis) -> Millis {
        let ages = self.waiting.iter().map(|w| now.since(w.queued_at));
        ages.max().unwrap_or_default()
    }

    fn remove_where(&mut self, matches: impl Fn(&WaitingJob<T>) -> bool) -> Vec<Job<T>> {
        let mut taken = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            if matches(&self.waiting[index]) {
                taken.push(self.waiting.remove(index).job);
            } else {
                index += 1;
            }
        }
        taken
    }

    /// Returns whether a short and whether a long request may start.
    ///
    /// Short requests may use all slots, as if no long requests were running, because
    /// the engine runs them first by their priority. The total is bounded by `surge`.
    fn may_start(&self, now: Millis) -> (bool, bool) {
        let total = self.running.len();
        let long = self.running.iter().filter(|(_, r)| r.is_long(now)).count();
        let max = self.settings.max_running;
        let short_may = total - long < max && total < max + self.settings.surge;
        let long_may = total < max && long < max - self.settings.reserved;
        (short_may, long_may)
    }

    /// Returns the index of the next request to start.
    ///
    /// It belongs to the class of the request that comes first by `order`. Within the
    /// class it is the first request of the organisation that had the least service.
    fn next_index(&self, short: bool, long: bool) -> Option<usize> {
        let eligible = |w: &&WaitingJob<T>| if w.job.short { short } else { long };
        let orders = self.waiting.iter().filter(eligible);
        if self.settings.fifo {
            return (short && !self.waiting.is_empty()).then_some(0);
        }
        let first = orders.min_by(|a, b| a.order.total_cmp(&b.order))?;
        let is_short = first.job.short;
        let mut best: Option<(f64, f64, usize)> = None;
        for (index, waiting) in self.waiting.iter().enumerate() {
            if waiting.job.short != is_short {
                continue;
            }
            let rank = (
                self.shares.virtual_time(&waiting.job.org),
                waiting.order,
                index,
            );
            if best.is_none_or(|held| (rank.0, rank.1) < (held.0, held.1)) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, index)| index)
    }

    /// Returns true when too many requests wait, or when they would wait for too long.
    fn is_full(&self) -> bool {
        let queued_cost: f64 = self.waiting.iter().map(|w| w.job.cost).sum();
        let wait = queued_cost / self.settings.max_running.max(1) as f64;
        self.waiting.len() > self.settings.max_queued || wait > self.settings.max_wait.0 as f64
    }

    /// Returns the index of the request that is refused when the queue is full.
    fn victim(&self) -> usize {
        if self.settings.fifo {
            return self.waiting.len() - 1;
        }
        let mut cost_by_org: indexmap::IndexMap<&str, f64> = indexmap::IndexMap::new();
        for waiting in &self.waiting {
            let org = waiting.job.org.as_str();
            *cost_by_org.entry(org).or_default() += waiting.job.cost / self.shares.weight(org);
        }
        let most = cost_by_org.iter().max_by(|a, b| a.1.total_cmp(b.1));
        let org = most.map_or("", |(org, _)| *org);
        let mut found = self.waiting.len() - 1;
        let mut cost = -1.0;
        for (index, waiting) in self.waiting.iter().enumerate() {
            if waiting.job.org == org && waiting.job.cost >= cost {
                (found, cost) = (index, waiting.job.cost);
            }
        }
        found
    }

    /// Returns the expected wait of a new short request, in milliseconds.
    fn expected_wait(&self, now: Millis) -> f64 {
        if self.may_start(now).0 && self.waiting.iter().all(|w| !w.job.short) {
            return 0.0;
        }
        let short = self.waiting.iter().filter(|w| w.job.short);
        let queued: f64 = short.map(|w| w.job.cost).sum();
        let running = self.running.iter().filter(|(_, r)| !r.is_long(now));
        let costs: Vec<f64> = running.map(|(_, r)| r.cost).collect();
        // A slot becomes free about every mean cost divided by the number of slots.
        let slots = costs.len().max(self.settings.reserved).max(1) as f64;
        let mean = costs.iter().sum::<f64>() / costs.len().max(1) as f64;
        (queued + mean) / slots
    }
}
