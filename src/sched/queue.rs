//! Queue in front of one upstream.

use crate::arena::Arena;
use crate::arena::Key;
use crate::common;
use crate::sched::share::Shares;
use crate::time::Millis;

/// Milliseconds of waiting that offset one millisecond of expected cost.
///
/// Work of cost `c` is overtaken only by work that arrives within `AGEING * c`
/// after it, so nothing starves. At 4, long work of 200 ms yields to short
/// work for 0.8 s.
const AGEING: f64 = 4.0;

/// Short work that has run this many times its expected cost counts as long.
const OVERRUN: f64 = 3.0;

/// Share of the remaining time that a request may wait. It is refused after
/// that, while the caller still has time to go elsewhere.
const PATIENCE: u64 = 4;

common! { key
/// Bounds of a queue.
pub struct Settings {
    /// Requests in progress at the upstream.
    pub max_running: usize,
    /// Of these, slots that long work may not take.
    pub reserved: usize,
    /// Short requests started beyond `max_running` while long work holds
    /// slots; the engine runs them first by priority.
    pub surge: usize,
    /// Requests waiting.
    pub max_queued: usize,
    /// Expected time in which the queue is worked off, at most.
    pub max_wait: Millis,
    /// True for order of arrival without classes and shares: the baseline of
    /// benchmarks.
    pub fifo: bool,
}
}

impl Settings {
    /// Bounds for an upstream that runs `max_running` requests side by side.
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

    /// Order of arrival, refusing the newest when full.
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
/// A request that waits or is to wait.
pub struct Job<T> {
    /// Organisation that sent it.
    pub org: String,
    /// Weight of its fair share.
    pub weight: u32,
    /// Expected service time, in milliseconds.
    pub cost: f64,
    /// True for short work.
    pub short: bool,
    /// Time at which the caller gives up.
    pub deadline: Millis,
    /// What to run.
    pub value: T,
}
}

#[derive(Clone, Debug)]
struct Waiting<T> {
    job: Job<T>,
    since: Millis,
    give_up: Millis,
    order: f64,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Running {
    org: String,
    cost: f64,
    short: bool,
    since: Millis,
}

impl Running {
    /// True for work that takes room of long work, by class or by its age.
    fn is_long(&self, now: Millis) -> bool {
        let elapsed = now.since(self.since).0 as f64;
        !self.short || elapsed > OVERRUN * self.cost.max(1.0)
    }
}

common! { value
/// What became of a pushed job.
pub enum Push<T> {
    /// It waits.
    Queued,
    /// It waits, and another one was refused in its place.
    Evicted(Job<T>),
    /// It was refused.
    Refused(Job<T>),
}
}

common! { value
/// Load of the upstream.
pub struct Load {
    /// Requests in progress.
    pub running: usize,
    /// Requests waiting.
    pub queued: usize,
    /// Expected wait of a new short request.
    pub wait: Millis,
}
}

/// Requests waiting for one upstream and those it runs.
///
/// # Invariants
///
/// At most `max_running + surge` requests run, and at most `max_queued` wait.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    waiting: Vec<Waiting<T>>,
    running: Arena<Running>,
    shares: Shares,
}

impl<T> Queue<T> {
    /// An empty queue.
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

    /// Adds a job; when the queue is full, one of the organisation that is
    /// furthest over its share is refused, its most expensive first.
    pub fn push(&mut self, now: Millis, job: Job<T>) -> Push<T> {
        self.shares.enter(&job.org, job.weight);
        let (patience, ageing) = match self.settings.fifo {
            true => (1, 0.0),
            false => (PATIENCE, AGEING),
        };
        let patience = Millis(job.deadline.since(now).0 / patience);
        let order = now.0 as f64 + ageing * job.cost;
        self.waiting.push(Waiting {
            since: now,
            give_up: now.plus(patience),
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

    /// Starts the next request, if there is room for it.
    pub fn pop(&mut self, now: Millis) -> Option<(Key<Running>, Job<T>)> {
        let (short, long) = self.room(now);
        let next = self.next(short, long)?;
        let job = self.waiting.remove(next).job;
        self.shares.serve(&job.org);
        self.shares.charge(&job.org, job.cost);
        let key = self.running.insert(Running {
            org: job.org.clone(),
            cost: job.cost,
            short: job.short,
            since: now,
        });
        let bound = self.settings.max_running + self.settings.surge;
        assert!(self.running.len() <= bound, "too much work in flight");
        Some((key, job))
    }

    /// Counts the end of a request; the result is its service time.
    pub fn done(&mut self, now: Millis, key: Key<Running>) -> Option<Millis> {
        let running = self.running.remove(key)?;
        let took = now.since(running.since);
        self.shares
            .charge(&running.org, took.0 as f64 - running.cost);
        Some(took)
    }

    /// Removes the waiting requests that match, for instance cancelled ones.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Vec<Job<T>> {
        self.take(|waiting| matches(&waiting.job.value))
    }

    /// Removes the requests whose time to be given up has come.
    pub fn expire(&mut self, now: Millis) -> Vec<Job<T>> {
        self.take(|waiting| waiting.give_up <= now)
    }

    /// The load now.
    pub fn load(&self, now: Millis) -> Load {
        Load {
            running: self.running.len(),
            queued: self.waiting.len(),
            wait: Millis(self.wait(now) as u64),
        }
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Longest time that a request has waited so far.
    pub fn oldest(&self, now: Millis) -> Millis {
        let ages = self.waiting.iter().map(|w| now.since(w.since));
        ages.max().unwrap_or_default()
    }

    fn take(&mut self, matches: impl Fn(&Waiting<T>) -> bool) -> Vec<Job<T>> {
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

    /// Whether a short and a long request may start.
    ///
    /// Short work is bounded by the slots alone, as if long work were not
    /// there: the engine lets it pass by its priority. The total is bounded.
    fn room(&self, now: Millis) -> (bool, bool) {
        let total = self.running.len();
        let long = self.running.iter().filter(|(_, r)| r.is_long(now)).count();
        let max = self.settings.max_running;
        let is_short = total - long < max && total < max + self.settings.surge;
        let is_long = total < max && long < max - self.settings.reserved;
        (is_short, is_long)
    }

    /// The class whose first request is due earlier, in it the organisation
    /// that had the least service, and of that its first request.
    fn next(&self, short: bool, long: bool) -> Option<usize> {
        let eligible = |w: &&Waiting<T>| if w.job.short { short } else { long };
        let orders = self.waiting.iter().filter(eligible);
        if self.settings.fifo {
            return (short && !self.waiting.is_empty()).then_some(0);
        }
        let first = orders.min_by(|a, b| a.order.total_cmp(&b.order))?;
        let class = first.job.short;
        let mut best: Option<(f64, f64, usize)> = None;
        for (index, waiting) in self.waiting.iter().enumerate() {
            if waiting.job.short != class {
                continue;
            }
            let rank = (self.shares.time(&waiting.job.org), waiting.order, index);
            if best.is_none_or(|held| (rank.0, rank.1) < (held.0, held.1)) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, index)| index)
    }

    fn is_full(&self) -> bool {
        let owed: f64 = self.waiting.iter().map(|w| w.job.cost).sum();
        let wait = owed / self.settings.max_running.max(1) as f64;
        self.waiting.len() > self.settings.max_queued || wait > self.settings.max_wait.0 as f64
    }

    /// Index of the request that is refused when the queue is full.
    fn victim(&self) -> usize {
        if self.settings.fifo {
            return self.waiting.len() - 1;
        }
        let mut owed: indexmap::IndexMap<&str, f64> = indexmap::IndexMap::new();
        for waiting in &self.waiting {
            let org = waiting.job.org.as_str();
            *owed.entry(org).or_default() += waiting.job.cost / self.shares.weight(org);
        }
        let most = owed.iter().max_by(|a, b| a.1.total_cmp(b.1));
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

    /// Expected wait of a new short request, in milliseconds.
    fn wait(&self, now: Millis) -> f64 {
        if self.room(now).0 && self.waiting.iter().all(|w| !w.job.short) {
            return 0.0;
        }
        let short = self.waiting.iter().filter(|w| w.job.short);
        let queued: f64 = short.map(|w| w.job.cost).sum();
        let running = self.running.iter().filter(|(_, r)| !r.is_long(now));
        let costs: Vec<f64> = running.map(|(_, r)| r.cost).collect();
        // A slot comes free after about the mean cost divided by the slots in turn.
        let width = costs.len().max(self.settings.reserved).max(1) as f64;
        let mean = costs.iter().sum::<f64>() / costs.len().max(1) as f64;
        (queued + mean) / width
    }
}
