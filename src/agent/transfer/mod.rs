//! Transfer of weights: carries out the pulls of the planner and answers those of other
//! agents.

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

/// Interval at which the planner and the uploads check their time-outs.
const TICK: Duration = Duration::from_millis(50);

/// Settings of a [`Transfer`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Limits and times of the planner.
    pub plan: plan::Settings,
    /// Memory for staged chunks, in bytes.
    pub staging_bytes: u64,
    /// Most chunks that are sent at once.
    pub upload_slots: usize,
    /// Most pulls of other agents that may wait here.
    pub max_waiting: usize,
    /// Most bytes of a chunk in one message.
    pub part_bytes: usize,
    /// Address of the origin of weights.
    pub origin: SocketAddr,
    /// Rate limits of the links; none by default.
    pub links: Links,
}

impl Settings {
    /// Returns the default settings for this staging memory and origin.
    pub fn new(staging_bytes: u64, origin: SocketAddr) -> Settings {
        Settings {
            plan: plan::Settings::default(),
            staging_bytes,
            upload_slots: 2,
            max_waiting: 64,
            part_bytes: 256 << 10,
            origin,
            links: Links::default(),
        }
    }
}

/// Reply to a waiting pull of another agent.
enum Reply {
    Send(Digest, Bytes),
    Unavailable,
}

struct State {
    planner: Planner,
    uploads: Uploads,
    /// Where the replies to waiting pulls go, by their numbers in `uploads`.
    waiters: HashMap<u64, smol::channel::Sender<Reply>>,
    /// Tasks of the own pulls, by their numbers in `planner`; dropping one cancels it.
    pulls: HashMap<u64, Task>,
    model: String,
    /// Why the wanted version cannot be fetched.
    refused: Option<Error>,
}

struct Shared {
    state: Mutex<State>,
    settings: Settings,
    origin: Client,
    channels: Channels,
    clock: Clock,
    /// Notified when the wanted version has become complete or was refused.
    changed: event_listener::Event,
}

/// The weights that an agent holds and their transfer; clones share them.
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
    /// Creates a transfer for the member `me` that fetches nothing yet.
    ///
    /// `seed` makes the random choices of the planner repeatable.
    pub fn new(me: Member, settings: Settings, channels: Channels, seed: u64) -> Transfer {
        let plan = settings.plan.clone();
        let state = State {
            planner: Planner::new(me, plan, settings.staging_bytes, seed),
            uploads: Uploads::new(settings.upload_slots, settings.max_waiting),
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

    /// Checks time-outs regularly, until the task is dropped.
    pub async fn run(self) {
        loop {
            smol::Timer::after(TICK).await;
            self.tick();
        }
    }

    /// Sets the version to fetch, or none, by the digest of its manifest.
    pub fn set_target(&self, model: &str, target: Option<Digest>) {
        let mut state = self.lock();
        state.model = model.to_string();
        if state.planner.target() != target {
            state.refused = None;
        }
        self.handle_event(&mut state, Event::Target(target));
    }

    /// Replaces the live members of the pool, without this one.
    pub fn set_members(&self, members: Vec<Member>) {
        let mut state = self.lock();
        self.handle_event(&mut state, Event::Members(members));
    }

    /// The chunk or manifest with this digest; none when it is not held.
    pub fn get(&self, digest: Digest) -> Option<Bytes> {
        self.lock().planner.store().get(digest).cloned()
    }

    /// The wanted version, once all of it is held and verified.
    pub fn ready(&self) -> Option<Digest> {
        self.lock().planner.ready()
    }

    /// True when all of this version is held and verified.
    pub fn is_complete(&self, version: Digest) -> bool {
        self.lock().planner.is_complete(version)
    }

    /// Why the wanted version cannot be fetched; none while it can.
    pub fn refused(&self) -> Option<Error> {
        self.lock().refused.clone()
    }

    /// Number of chunks of the wanted version that are held, and of all its chunks.
    pub fn counts(&self) -> (usize, usize) {
        self.lock().planner.counts()
    }

    /// Bytes of chunks and manifests that are held in staging memory.
    pub fn staged(&self) -> u64 {
        self.lock().planner.store().used()
    }

    /// Counters of the planner since the start.
    pub fn stats(&self) -> Stats {
        self.lock().planner.stats().clone()
    }

    /// Listens for the time at which a version has become complete or was refused.
    pub fn listen(&self) -> EventListener {
        self.shared.changed.listen()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Checks time-outs and carries out what follows.
    fn tick(&self) {
        let now = self.shared.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let (mut actions, mut answers) = (Vec::new(), Vec::new());
        state.planner.tick(now, &mut actions);
        state.uploads.tick(now, state.planner.store(), &mut answers);
        self.carry_out(state, actions);
        state.send_replies(answers);
    }

    /// Passes an event on to the planner and carries out what follows.
    fn handle_event(&self, state: &mut State, event: Event) {
        let now = self.shared.clock.now();
        let (mut actions, mut answers) = (Vec::new(), Vec::new());
        state.planner.on_event(now, event, &mut actions);
        state.uploads.dispatch(state.planner.store(), &mut answers);
        self.carry_out(state, actions);
        state.send_replies(answers);
    }

    /// Carries out actions of the planner.
    ///
    /// The state is locked meanwhile, so that a pull is never cancelled before its task is
    /// registered.
    fn carry_out(&self, state: &mut State, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Pull(pull) => self.start_pull(state, pull),
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

    /// Starts the task of a pull, which passes its result on to the planner.
    fn start_pull(&self, state: &mut State, pull: NewPull) {
        let id = pull.id;
        let source = match pull.source {
            Source::Origin => pull::PullSource::Origin {
                model: state.model.clone(),
                is_manifest: state.planner.manifest().is_none(),
            },
            Source::Peer(key) => {
                let Some(member) = state.planner.peer(key) else {
                    return;
                };
                let is_outside = member.region != state.planner.me().region;
                pull::PullSource::Peer(member.rpc, is_outside)
            }
        };
        let transfer = self.clone();
        let task = link::spawn(async move {
            let event = match pull::run(&transfer, &pull, source).await {
                Ok(blob) => Event::Arrived(pull.id, blob),
                Err(error) if error.code == Code::ChunkMissing => Event::Unavailable(pull.id),
                Err(_) => Event::Failed(pull.id),
            };
            let mut state = transfer.lock();
            if let Some(task) = state.pulls.remove(&pull.id) {
                task.detach();
            }
            transfer.handle_event(&mut state, event);
        });
        state.pulls.insert(id, task);
    }

    /// Passes on that the first bytes of a pull have arrived, and of which chunk.
    fn on_first_bytes(&self, id: u64, digest: Digest) {
        let mut state = self.lock();
        self.handle_event(&mut state, Event::FirstBytes(id, digest));
    }

    /// Passes on that bytes of a pull have arrived.
    fn on_progress(&self, id: u64) {
        let now = self.shared.clock.now();
        self.lock().planner.record_progress(now, id);
    }
}

impl State {
    /// Sends answers to the pulls of other agents that wait for them.
    fn send_replies(&mut self, answers: Vec<Answer>) {
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
