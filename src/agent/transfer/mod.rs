//! Carries the planner's pulls out and answers those of other agents.

pub mod link;
mod pull;
mod push;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use event_listener::EventListener;

use crate::agent::transfer::link::Links;
use crate::agent::transfer::link::Task;
use crate::net::client::Client;
use crate::net::rpc::Channels;
use crate::prelude::*;
use crate::rollout::Digest;
use crate::rollout::Planner;
use crate::rollout::plan;
use crate::rollout::plan::Action;
use crate::rollout::plan::Event;
use crate::rollout::plan::Member;
use crate::rollout::plan::NewPull;
use crate::rollout::plan::Source;
use crate::rollout::plan::Stats;
use crate::rollout::upload::Answer;
use crate::rollout::upload::Uploads;

pub use crate::agent::transfer::push::PartStream;

/// Interval at which time-outs are checked.
const TICK: Duration = Duration::from_millis(50);

/// Settings of a transfer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Bounds and times of the planner.
    pub plan: plan::Settings,
    /// Memory for staged chunks, in bytes.
    pub staging: u64,
    /// Chunks sent at once.
    pub slots: usize,
    /// Pulls of others that may wait here.
    pub waiting: usize,
    /// Bytes of a chunk in one message.
    pub part_bytes: usize,
    /// Origin of weights.
    pub origin: SocketAddr,
    /// Budgets of the links.
    pub links: Links,
}

impl Settings {
    /// Settings for this staging memory and origin.
    pub fn new(staging: u64, origin: SocketAddr) -> Settings {
        Settings {
            plan: plan::Settings::default(),
            staging,
            slots: 2,
            waiting: 64,
            part_bytes: 256 << 10,
            origin,
            links: Links::default(),
        }
    }
}

/// What a waiting pull of another agent gets.
enum Reply {
    Send(Digest, Bytes),
    Unavailable,
}

struct State {
    planner: Planner,
    uploads: Uploads,
    waiters: HashMap<u64, smol::channel::Sender<Reply>>,
    pulls: HashMap<u64, Task>,
    model: String,
    refused: Option<Error>,
}

struct Shared {
    state: Mutex<State>,
    settings: Settings,
    origin: Client,
    channels: Channels,
    clock: Clock,
    changed: event_listener::Event,
}

/// Transfer of weights of one agent; clones share it.
#[derive(Clone)]
pub struct Transfer {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Transfer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Transfer").finish_non_exhaustive()
    }
}

impl Transfer {
    /// A transfer for the member `me` that has no target yet.
    pub fn new(me: Member, settings: Settings, channels: Channels, seed: u64) -> Transfer {
        let plan = settings.plan.clone();
        let state = State {
            planner: Planner::new(me, plan, settings.staging, seed),
            uploads: Uploads::new(settings.slots, settings.waiting),
            waiters: HashMap::new(),
            pulls: HashMap::new(),
            model: String::new(),
            refused: None,
        };
        Transfer {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                origin: Client::new(settings.origin),
                settings,
                channels,
                clock: Clock::new(),
                changed: event_listener::Event::new(),
            }),
        }
    }

    /// Checks time-outs until the task is dropped.
    pub async fn run(self) {
        loop {
            smol::Timer::after(TICK).await;
            self.tick();
        }
    }

    /// Names the version to fetch, or none.
    pub fn set_target(&self, model: &str, target: Option<Digest>) {
        let mut state = self.lock();
        state.model = model.to_string();
        if state.planner.target() != target {
            state.refused = None;
        }
        self.event(&mut state, Event::Target(target));
    }

    /// Replaces the live members of the pool, without this one.
    pub fn set_members(&self, members: Vec<Member>) {
        let mut state = self.lock();
        self.event(&mut state, Event::Members(members));
    }

    /// The held content of this digest.
    pub fn get(&self, digest: Digest) -> Option<Bytes> {
        self.lock().planner.store().get(digest).cloned()
    }

    /// The wanted version, when all of it is held and verified.
    pub fn ready(&self) -> Option<Digest> {
        self.lock().planner.ready()
    }

    /// True when all of this version is held and verified.
    pub fn is_complete(&self, version: Digest) -> bool {
        self.lock().planner.is_complete(version)
    }

    /// Why the wanted version cannot be fetched.
    pub fn refused(&self) -> Option<Error> {
        self.lock().refused.clone()
    }

    /// Chunks held and chunks in all of the wanted version.
    pub fn counts(&self) -> (usize, usize) {
        self.lock().planner.counts()
    }

    /// Bytes in staging.
    pub fn staged(&self) -> u64 {
        self.lock().planner.store().used()
    }

    /// Counters since start.
    pub fn stats(&self) -> Stats {
        self.lock().planner.stats().clone()
    }

    /// Resolves when a version became whole or was refused.
    pub fn listen(&self) -> EventListener {
        self.shared.changed.listen()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn tick(&self) {
        let now = self.shared.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let (mut actions, mut answers) = (Vec::new(), Vec::new());
        state.planner.tick(now, &mut actions);
        state.uploads.tick(now, state.planner.store(), &mut answers);
        self.act(state, actions);
        state.answer(answers);
    }

    fn event(&self, state: &mut State, event: Event) {
        let now = self.shared.clock.now();
        let (mut actions, mut answers) = (Vec::new(), Vec::new());
        state.planner.on_event(now, event, &mut actions);
        state.uploads.dispatch(state.planner.store(), &mut answers);
        self.act(state, actions);
        state.answer(answers);
    }

    /// Carries actions out while the state is locked, so that a cancel never
    /// overtakes the start of its pull.
    fn act(&self, state: &mut State, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Pull(order) => self.start(state, order),
                Action::Cancel(id) => drop(state.pulls.remove(&id)),
                Action::Ready(_) => {
                    state.uploads.forget_evicted(state.planner.store());
                    self.shared.changed.notify(usize::MAX);
                }
                Action::Refused(_, error) => {
                    state.refused = Some(error);
                    self.shared.changed.notify(usize::MAX);
                }
            }
        }
    }

    fn start(&self, state: &mut State, order: NewPull) {
        let id = order.id;
        let from = match order.source {
            Source::Origin => pull::From::Origin {
                model: state.model.clone(),
                is_manifest: state.planner.manifest().is_none(),
            },
            Source::Peer(key) => {
                let Some(member) = state.planner.peer(key) else {
                    return;
                };
                let outside = member.region != state.planner.me().region;
                pull::From::Peer(member.rpc, outside)
            }
        };
        let transfer = self.clone();
        let task = link::spawn(async move {
            let event = match pull::run(&transfer, &order, from).await {
                Ok(whole) => Event::Arrived(order.id, whole),
                Err(error) if error.code == Code::ChunkMissing => Event::Unavailable(order.id),
                Err(_) => Event::Failed(order.id),
            };
            let mut state = transfer.lock();
            if let Some(task) = state.pulls.remove(&order.id) {
                task.detach();
            }
            transfer.event(&mut state, event);
        });
        state.pulls.insert(id, task);
    }

    /// Notes which chunk the source of a pull sends.
    fn on_first_bytes(&self, id: u64, digest: Digest) {
        let mut state = self.lock();
        self.event(&mut state, Event::FirstBytes(id, digest));
    }

    /// Notes that bytes of a pull arrived.
    fn on_progress(&self, id: u64) {
        let now = self.shared.clock.now();
        self.lock().planner.record_progress(now, id);
    }
}

impl State {
    fn answer(&mut self, answers: Vec<Answer>) {
        for answer in answers {
            let (id, reply) = match answer {
                Answer::Unavailable(id) => (id, Reply::Unavailable),
                Answer::Send(id, digest) => {
                    let bytes = self.planner.store().get(digest).cloned();
                    (id, Reply::Send(digest, bytes.unwrap_or_default()))
                }
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.try_send(reply);
            }
        }
    }
}
