//! The agent's queue, in which requests wait for a slot at the upstream.

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

/// Interval at which waiting requests are expired and free slots are given out, among them
/// those that make up for short requests that run longer than expected.
const TICK: Duration = Duration::from_millis(10);

/// Shortest time after which a caller may retry when the queue refused its request.
const BUSY_RETRY: Millis = Millis(500);

/// Priorities of requests at the engine; lower runs first.
const PRIORITY_SHORT: i32 = 0;
const PRIORITY_LONG: i32 = 1;

/// Number of a waiting request.
type WaiterId = u64;

/// A waiting request: its number and the channel on which it gets a slot or an error.
type Waiter = (WaiterId, Sender<Result<Key<Running>>>);

#[derive(Debug)]
struct State {
    queue: sched::Queue<Waiter>,
    costs: Estimator,
    seen: SeenAttempts,
    next_id: WaiterId,
}

/// Queue in front of the upstream; clones share it.
#[derive(Clone, Debug)]
pub struct Queue {
    state: Arc<Mutex<State>>,
    start: Instant,
}

/// What the queue needs to know about a request.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// Kind of request under which its service time is learned and predicted.
    pub kind: Kind,
    /// Organisation of the caller.
    pub org: String,
    /// Weight of the organisation in fair sharing.
    pub weight: u32,
    /// Time until the request's deadline.
    pub remaining: Millis,
}

impl QueueRequest {
    /// Reads what the queue needs from `request`.
    pub fn new(request: &proto::ServeRequest, weight: u32) -> QueueRequest {
        let class = match request.class.as_str() {
            "short" => Class::Short,
            "long" => Class::Long,
            _ => Class::Auto,
        };
        let path = request.path.split('?').next().unwrap_or_default();
        let route = util::stable_hash([path]);
        QueueRequest {
            kind: Kind::new(class, route, request.body.len()),
            org: request.organisation.clone(),
            weight,
            remaining: Millis(request.remaining_ms),
        }
    }
}

/// A slot at the upstream that a request has been given; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    queue: Queue,
    key: Key<Running>,
    kind: Kind,
    /// Priority of the request at the engine.
    pub priority: i32,
    service_time: Option<Millis>,
}

impl Slot {
    /// Frees the slot of a request that was answered completely, learns from its service
    /// time and returns that time.
    pub fn complete(&mut self) -> Millis {
        let took = self.queue.finish(self.key, Some(self.kind));
        self.service_time = took;
        took.unwrap_or_default()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.service_time.is_none() {
            self.queue.finish(self.key, None);
        }
    }
}

/// A waiting request; dropping it removes the request from the queue.
struct Waiting<'a> {
    queue: &'a Queue,
    id: WaiterId,
    receiver: channel::Receiver<Result<Key<Running>>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let id = self.id;
        self.queue.lock().queue.remove(|(other, _)| *other == id);
        // A slot that was given but not received yet is freed.
        if let Ok(Ok(key)) = self.receiver.try_recv() {
            self.queue.finish(key, None);
        }
    }
}

impl Queue {
    /// Creates an empty queue with the bounds in `settings`.
    pub fn new(settings: &AgentSettings) -> Queue {
        Queue::with_settings(Settings::new(
            settings.max_running.max(1),
            settings.max_queued,
        ))
    }

    /// Creates an empty queue with these scheduler settings.
    pub fn with_settings(settings: Settings) -> Queue {
        let state = State {
            queue: sched::Queue::new(settings),
            costs: Estimator::default(),
            seen: SeenAttempts::default(),
            next_id: 0,
        };
        Queue {
            state: Arc::new(Mutex::new(state)),
            start: Instant::now(),
        }
    }

    /// Records an attempt; false when it was seen before and must not run again.
    pub fn record_attempt(&self, request: &str, attempt: u32) -> bool {
        self.lock().seen.record(request, attempt)
    }

    /// Waits for a slot at the upstream; an error means that the request was not run.
    pub async fn acquire(&self, request: QueueRequest) -> Result<Slot> {
        let (sender, receiver) = channel::bounded(1);
        let kind = request.kind;
        let (id, short) = self.push(request, sender);
        let waiting = Waiting {
            queue: self,
            id,
            receiver,
        };
        let granted = waiting.receiver.recv().await;
        let key =
            granted.map_err(|_| Error::new(Code::Internal, "the queue has been dropped"))??;
        Ok(Slot {
            queue: self.clone(),
            key,
            kind,
            priority: if short { PRIORITY_SHORT } else { PRIORITY_LONG },
            service_time: None,
        })
    }

    /// Queues a request; true in the result when it counts as short.
    fn push(
        &self,
        request: QueueRequest,
        sender: Sender<Result<Key<Running>>>,
    ) -> (WaiterId, bool) {
        let now = self.now();
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        let short = state.costs.is_short(request.kind);
        let job = Job {
            cost: state.costs.expect(request.kind),
            short,
            org: request.org,
            weight: request.weight,
            deadline: now.plus(request.remaining),
            value: (id, sender),
        };
        match state.queue.push(now, job) {
            Push::Queued => {}
            Push::Evicted(job) | Push::Refused(job) => refuse(&job, &state.queue.load(now)),
        }
        state.grant_slots(now);
        (id, short)
    }

    /// Frees a slot and returns the service time; learns from it when `kind` is given.
    fn finish(&self, key: Key<Running>, kind: Option<Kind>) -> Option<Millis> {
        let now = self.now();
        let mut state = self.lock();
        let took = state.queue.done(now, key);
        if let (Some(kind), Some(took)) = (kind, took) {
            state.costs.learn(kind, took.0 as f64);
        }
        state.grant_slots(now);
        took
    }

    /// Refuses requests that have waited too long and gives out slots, until the task is dropped.
    pub async fn run(self) {
        loop {
            smol::Timer::after(TICK).await;
            let now = self.now();
            let mut state = self.lock();
            let load = state.queue.load(now);
            for job in state.queue.expire(now) {
                refuse(&job, &load);
            }
            state.grant_slots(now);
        }
    }

    /// Returns the load that is reported to entries.
    pub fn load(&self) -> proto::Load {
        let load = self.lock().queue.load(self.now());
        proto::Load {
            running: load.running as u32,
            queued: load.queued as u32,
            wait_ms: load.wait.0,
            age_ms: 0,
        }
    }

    /// Returns the load as JSON, for operators.
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
    /// Gives slots to waiting requests while there are any free.
    fn grant_slots(&mut self, now: Millis) {
        while let Some((key, job)) = self.queue.pop(now) {
            if job.value.1.try_send(Ok(key)).is_err() {
                // The request was cancelled while it waited.
                self.queue.done(now, key);
            }
        }
    }
}

/// Refuses a waiting request, which was not run.
fn refuse(job: &Job<Waiter>, load: &sched::Load) {
    let retry = load.wait.max(BUSY_RETRY);
    let detail = format!("{} running, {} waiting", load.running, load.queued);
    let error = Error::new(Code::UpstreamBusy, detail).with_retry(retry);
    let _ = job.value.1.try_send(Err(error));
}
