//! The agent's queue: requests wait here for room at the upstream.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use smol::channel;
use smol::channel::Sender;

use crate::config::AgentSettings;
use crate::prelude::*;
use crate::proto;
use crate::route::cost::Estimator;
use crate::route::cost::Kind;
use crate::sched;
use crate::sched::Job;
use crate::sched::Push;
use crate::sched::Running;
use crate::sched::SeenAttempts;
use crate::sched::Settings;
use crate::table::doc::Class;
use crate::util;

/// Interval at which waiting requests are checked and room of overrunning
/// short work is made up for.
const TICK: Duration = Duration::from_millis(10);

/// When a caller may come back after a refusal for want of room, at least.
const BUSY_RETRY: Millis = Millis(500);

/// Priorities in orders to the engine; lower runs first.
const PRIORITY_SHORT: i32 = 0;
const PRIORITY_LONG: i32 = 1;

/// Names a waiting request.
type Ticket = u64;

/// A waiting request: its number and the channel on which its turn is told.
type Waiter = (Ticket, Sender<Result<Key<Running>>>);

#[derive(Debug)]
struct State {
    queue: sched::Queue<Waiter>,
    costs: Estimator,
    recent: SeenAttempts,
    next: Ticket,
}

/// Queue in front of the upstream; clones share it.
#[derive(Clone, Debug)]
pub struct Queue {
    state: Arc<Mutex<State>>,
    start: Instant,
}

/// What the queue needs to know about a request.
#[derive(Clone, Debug)]
pub struct Entrant {
    /// Expected-cost kind.
    pub kind: Kind,
    /// Organisation.
    pub org: String,
    /// Weight of its share.
    pub weight: u32,
    /// Time until the caller gives up.
    pub remaining: Millis,
}

impl Entrant {
    /// What the queue needs of `request`.
    pub fn new(request: &proto::ServeRequest, weight: u32) -> Entrant {
        let class = match request.class.as_str() {
            "short" => Class::Short,
            "long" => Class::Long,
            _ => Class::Auto,
        };
        let path = request.path.split('?').next().unwrap_or_default();
        let route = util::stable_hash([path]);
        Entrant {
            kind: Kind::new(class, route, request.body.len()),
            org: request.organisation.clone(),
            weight,
            remaining: Millis(request.remaining_ms),
        }
    }
}

/// A request in progress at the upstream; dropping it makes room.
#[derive(Debug)]
pub struct Turn {
    queue: Queue,
    key: Key<Running>,
    kind: Kind,
    /// Priority in the order to the engine.
    pub priority: i32,
    learned: Option<Millis>,
}

impl Turn {
    /// Counts the request as answered whole and gives its service time.
    pub fn done(&mut self) -> Millis {
        let took = self.queue.finish(self.key, Some(self.kind));
        self.learned = took;
        took.unwrap_or_default()
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.learned.is_none() {
            self.queue.finish(self.key, None);
        }
    }
}

/// Takes a request out of the queue when its task is cancelled while it waits.
struct Place<'a> {
    queue: &'a Queue,
    ticket: Ticket,
    receiver: channel::Receiver<Result<Key<Running>>>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.queue.lock().queue.remove(|(held, _)| *held == ticket);
        // The turn may have been told already.
        if let Ok(Ok(key)) = self.receiver.try_recv() {
            self.queue.finish(key, None);
        }
    }
}

impl Queue {
    /// An empty queue with the bounds in `settings`.
    pub fn new(settings: &AgentSettings) -> Queue {
        Queue::with_settings(Settings::new(
            settings.max_running.max(1),
            settings.max_queued,
        ))
    }

    /// An empty queue.
    pub fn with_settings(settings: Settings) -> Queue {
        let state = State {
            queue: sched::Queue::new(settings),
            costs: Estimator::default(),
            recent: SeenAttempts::default(),
            next: 0,
        };
        Queue {
            state: Arc::new(Mutex::new(state)),
            start: Instant::now(),
        }
    }

    /// Notes an attempt; false when it was seen before and must not run again.
    pub fn note(&self, request: &str, attempt: u32) -> bool {
        self.lock().recent.note(request, attempt)
    }

    /// Waits for a turn; an error means that the request was not run.
    pub async fn enter(&self, entrant: Entrant) -> Result<Turn> {
        let (sender, receiver) = channel::bounded(1);
        let kind = entrant.kind;
        let (ticket, short) = self.push(entrant, sender);
        let place = Place {
            queue: self,
            ticket,
            receiver,
        };
        let told = place.receiver.recv().await;
        let key = told.map_err(|_| Error::new(Code::Internal, "queue is gone"))??;
        Ok(Turn {
            queue: self.clone(),
            key,
            kind,
            priority: if short { PRIORITY_SHORT } else { PRIORITY_LONG },
            learned: None,
        })
    }

    fn push(&self, entrant: Entrant, sender: Sender<Result<Key<Running>>>) -> (Ticket, bool) {
        let now = self.now();
        let mut state = self.lock();
        let ticket = state.next;
        state.next += 1;
        let short = state.costs.is_short(entrant.kind);
        let job = Job {
            cost: state.costs.expect(entrant.kind),
            short,
            org: entrant.org,
            weight: entrant.weight,
            deadline: now.plus(entrant.remaining),
            value: (ticket, sender),
        };
        match state.queue.push(now, job) {
            Push::Queued => {}
            Push::Evicted(job) | Push::Refused(job) => refuse(&job, &state.queue.load(now)),
        }
        state.start(now);
        (ticket, short)
    }

    fn finish(&self, key: Key<Running>, kind: Option<Kind>) -> Option<Millis> {
        let now = self.now();
        let mut state = self.lock();
        let took = state.queue.done(now, key);
        if let (Some(kind), Some(took)) = (kind, took) {
            state.costs.learn(kind, took.0 as f64);
        }
        state.start(now);
        took
    }

    /// Refuses requests that waited too long, for as long as the agent runs.
    pub async fn run(self) {
        loop {
            smol::Timer::after(TICK).await;
            let now = self.now();
            let mut state = self.lock();
            let load = state.queue.load(now);
            for job in state.queue.expire(now) {
                refuse(&job, &load);
            }
            state.start(now);
        }
    }

    /// Load for reports to entries.
    pub fn load(&self) -> proto::Load {
        let load = self.lock().queue.load(self.now());
        proto::Load {
            running: load.running as u32,
            queued: load.queued as u32,
            wait_ms: load.wait.0,
            age_ms: 0,
        }
    }

    /// Counts, for operators.
    pub fn dump(&self) -> Value {
        let load = self.lock().queue.load(self.now());
        json!({ "running": load.running, "queued": load.queued, "wait_ms": load.wait.0 })
    }

    fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    /// Starts what there is room for.
    fn start(&mut self, now: Millis) {
        while let Some((key, job)) = self.queue.pop(now) {
            if job.value.1.try_send(Ok(key)).is_err() {
                // The request was cancelled between its push and its turn.
                self.queue.done(now, key);
            }
        }
    }
}

/// Tells a waiting request that it was refused before the run.
fn refuse(job: &Job<Waiter>, load: &sched::Load) {
    let retry = load.wait.max(BUSY_RETRY);
    let detail = format!("{} running, {} waiting", load.running, load.queued);
    let error = Error::new(Code::UpstreamBusy, detail).with_retry(retry);
    let _ = job.value.1.try_send(Err(error));
}
