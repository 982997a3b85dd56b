//! Load orders to the engine: one at a time, with a fencing number, and confirmed
//! by reading the engine's state afterwards.

use indexmap::IndexMap;

use crate::common;
use crate::rollout::manifest::Digest;
use crate::rollout::turn;
use crate::rollout::turn::PoolView;
use crate::rollout::turn::Turn;
use crate::time::Millis;

/// Interval at which the engine's state is read while it is unknown or changing.
const READ_INTERVAL: Millis = Millis(200);

/// Time after which an unanswered read is given up and another one starts.
const READ_TIMEOUT: Millis = Millis(2_000);

/// Time after a change of the wanted version before an agent leaves service to load it.
///
/// By then, agents that left service under the previous table are no longer
/// counted as serving.
const SETTLE_TIME: Millis = turn::MAX_VIEW_AGE;

/// Time without an outcome of an order after which the engine's state is read instead.
const ORDER_TIMEOUT: Millis = Millis(120_000);

common! { key
/// State of the engine, as it reports it.
pub struct EngineState {
    /// Version loaded; none when the engine is empty.
    pub loaded: Option<Digest>,
    /// True while it loads a version.
    pub loading: bool,
    /// Highest fencing number of the orders that it has received.
    pub fence: u64,
}
}

common! { key
/// Answer of the engine to a load order.
pub enum Outcome {
    /// The engine reports success.
    Done,
    /// The engine reports that it could not load.
    Failed,
    /// The engine refused the order, because it has seen a higher fencing number.
    Refused,
    /// Whether the order was carried out is not known.
    Unknown,
}
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The tables name this version, or none; the number is their revision, which
    /// is the fencing number of orders.
    Target(Option<Digest>, u64),
    /// Versions of which all chunks are held and verified.
    Complete(Vec<Digest>),
    /// State of the engine, as answer to the read with this number.
    EngineState(u64, EngineState),
    /// The engine's state could not be read, or one of its answers came from other
    /// weights than expected.
    EngineUnknown,
    /// The load order has ended.
    Ordered(Outcome),
    /// Number of requests that run at the engine.
    Running(usize),
    /// State of the pool, according to the reports of its agents.
    Pool(PoolView),
}

common! { key
/// Output of the state machine, for the caller to carry out.
pub enum Action {
    /// Read the engine's state; the number goes into [`Event::EngineState`].
    Read(u64),
    /// Order the engine to load this version, with this fencing number.
    Load(Digest, u64),
    /// Admit no more requests.
    Close,
    /// Admit requests for this version, which the engine reports as loaded.
    Open(Digest),
}
}

common! { key
/// What this agent knows of its engine.
enum State {
    /// Nothing is known; no request is admitted.
    Unknown,
    /// The engine has reported this version; requests for it are admitted. None when
    /// it is empty.
    Confirmed(Option<Digest>),
    /// Running requests end before the engine, which has the first version, is ordered
    /// to load the second.
    Draining(Digest, Digest),
    /// The order to load this version is outstanding since this time.
    Ordered(Digest, Millis),
    /// The order to load this version has ended; the engine's state is read to learn
    /// its effect.
    Confirming(Digest),
}
}

/// State machine that orders the engine of one agent to load versions.
///
/// # Invariants
///
/// At most one order is outstanding, and no request runs meanwhile. Orders are
/// given only for complete versions, and their fencing numbers never go down.
#[derive(Debug)]
pub struct Loader {
    name: String,
    state: State,
    target: Option<Digest>,
    changed_at: Millis,
    fence: u64,
    complete: Vec<Digest>,
    running: usize,
    pool: PoolView,
    previous: Option<Digest>,
    failures: IndexMap<Digest, u32>,
    read_at: Millis,
    read_id: u64,
    read_pending: bool,
    admitted: Option<Digest>,
}

impl Loader {
    /// Creates a loader for the agent `name` that knows nothing of its engine yet.
    pub fn new(name: impl Into<String>) -> Loader {
        Loader {
            name: name.into(),
            state: State::Unknown,
            target: None,
            changed_at: Millis(0),
            fence: 0,
            complete: Vec::new(),
            running: 0,
            pool: PoolView::default(),
            previous: None,
            failures: IndexMap::new(),
            read_at: Millis(0),
            read_id: 0,
            read_pending: false,
            admitted: None,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Target(target, fence) => self.on_target(now, target, fence),
            Event::Complete(complete) => self.complete = complete,
            Event::EngineState(id, engine) => self.on_engine(id, engine),
            Event::EngineUnknown => self.on_engine_unknown(),
            Event::Ordered(outcome) => self.on_ordered(outcome),
            Event::Running(running) => self.running = running,
            Event::Pool(pool) => self.pool = pool,
        }
        self.advance(now, out);
    }

    /// Continues what depends on time; to be called regularly.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let State::Ordered(version, since) = self.state
            && now.since(since) > ORDER_TIMEOUT
        {
            self.state = State::Confirming(version);
        }
        self.advance(now, out);
    }

    /// Version for which requests are admitted; none while the gate is closed.
    pub fn serving(&self) -> Option<Digest> {
        self.admitted
    }

    /// Number of failed loads of the wanted version at this engine.
    pub fn failures(&self) -> u32 {
        let count = |digest| self.failures.get(&digest).copied();
        self.target.and_then(count).unwrap_or(0)
    }

    /// True when the wanted version has failed to load too often, here or in the pool,
    /// to be tried again.
    pub fn is_held_back(&self) -> bool {
        self.failures() >= turn::MAX_FAILURES || self.pool.failures() >= turn::MAX_FAILURES
    }

    /// True while an order is outstanding.
    pub fn has_order(&self) -> bool {
        matches!(self.state, State::Ordered(..))
    }

    /// Takes over the wanted version.
    ///
    /// Revisions of tables never go down, so a lower one comes from an old message.
    fn on_target(&mut self, now: Millis, target: Option<Digest>, fence: u64) {
        if fence < self.fence {
            return;
        }
        if target != self.target {
            self.changed_at = now;
        }
        self.target = target;
        self.fence = fence;
    }

    /// Takes over the engine's report, which also tells the effect of the last order.
    ///
    /// Only the answer to the last read counts: an earlier one may describe the
    /// state before an order.
    fn on_engine(&mut self, id: u64, engine: EngineState) {
        if id != self.read_id || !self.read_pending {
            return;
        }
        self.read_pending = false;
        if engine.loading {
            return;
        }
        if let State::Confirming(version) = self.state
            && engine.loaded != Some(version)
        {
            *self.failures.entry(version).or_default() += 1;
        }
        if engine.fence > self.fence {
            // Someone with newer tables has given an order, so the wanted version is outdated.
            self.fence = engine.fence;
            self.target = None;
        }
        self.state = State::Confirmed(engine.loaded);
    }

    /// Stops admission until the engine's state has been read again.
    fn on_engine_unknown(&mut self) {
        self.read_pending = false;
        match self.state {
            State::Confirmed(_) | State::Draining(..) => self.state = State::Unknown,
            State::Unknown | State::Ordered(..) | State::Confirming(_) => {}
        }
    }

    /// Notes the end of an order; a failed load is counted once the engine's state
    /// confirms it.
    fn on_ordered(&mut self, outcome: Outcome) {
        let State::Ordered(version, _) = self.state else {
            return;
        };
        if outcome == Outcome::Refused {
            // Nothing was loaded, so this does not count as a failed load.
            self.state = State::Unknown;
            return;
        }
        self.state = State::Confirming(version);
    }

    /// Appends the actions that the current state calls for.
    fn advance(&mut self, now: Millis, out: &mut Vec<Action>) {
        match self.state {
            State::Unknown | State::Confirming(_) => self.request_read(now, out),
            State::Confirmed(loaded) => self.decide(now, loaded, out),
            State::Draining(old, new) => self.drain(now, old, new, out),
            State::Ordered(..) => {}
        }
        self.update_admission(out);
    }

    /// Asks for the engine's state, unless a read is outstanding or was made just now.
    fn request_read(&mut self, now: Millis, out: &mut Vec<Action>) {
        let interval = if self.read_pending {
            READ_TIMEOUT
        } else {
            READ_INTERVAL
        };
        if self.read_id == 0 || now.since(self.read_at) >= interval {
            self.read_at = now;
            self.read_pending = true;
            self.read_id += 1;
            out.push(Action::Read(self.read_id));
        }
    }

    /// Starts the change to another version, if there is one to load now.
    ///
    /// An empty engine loads at once; one that serves waits for its turn in the pool.
    fn decide(&mut self, now: Millis, loaded: Option<Digest>, out: &mut Vec<Action>) {
        let Some(next) = self.next_version(loaded) else {
            return;
        };
        match loaded {
            None => self.order_load(now, next, out),
            Some(old) => {
                let is_settled = now.since(self.changed_at) >= SETTLE_TIME;
                let is_current = self.pool.revision == self.fence;
                let turn = turn::may_leave(now, &self.name, next, &self.pool);
                if is_settled && is_current && turn == Turn::Granted {
                    self.state = State::Draining(old, next);
                    self.drain(now, old, next, out);
                }
            }
        }
    }

    /// The version to load now; none when the engine keeps what it has.
    fn next_version(&self, loaded: Option<Digest>) -> Option<Digest> {
        let target = self.target?;
        if loaded == Some(target) {
            return None;
        }
        if !self.is_held_back() {
            return self.complete.contains(&target).then_some(target);
        }
        // An engine that is empty after a failed load gets its previous version back.
        let old = self.previous.filter(|d| self.complete.contains(d));
        old.filter(|_| loaded.is_none())
    }

    /// Orders the load once no request runs any more.
    fn drain(&mut self, now: Millis, old: Digest, new: Digest, out: &mut Vec<Action>) {
        if self.next_version(Some(old)) != Some(new) {
            // The tables have changed again, or the version is no longer complete.
            self.state = State::Confirmed(Some(old));
            return;
        }
        // Admission stops first, so that no request starts after the count was zero.
        if self.admitted.is_none() && self.running == 0 {
            self.previous = Some(old);
            self.order_load(now, new, out);
        }
    }

    /// Orders the engine to load `version`, unless requests run or are still admitted.
    fn order_load(&mut self, now: Millis, version: Digest, out: &mut Vec<Action>) {
        assert!(
            self.complete.contains(&version),
            "order for an incomplete version"
        );
        assert!(!self.has_order(), "second order outstanding");
        if self.running > 0 || self.admitted.is_some() {
            return;
        }
        self.state = State::Ordered(version, now);
        self.read_pending = false;
        self.read_at = Millis(0);
        out.push(Action::Load(version, self.fence));
    }

    /// Starts or stops admission when the state has changed.
    fn update_admission(&mut self, out: &mut Vec<Action>) {
        let open = match self.state {
            State::Confirmed(loaded) => loaded,
            _ => None,
        };
        if open == self.admitted {
            return;
        }
        self.admitted = open;
        out.push(match open {
            Some(version) => Action::Open(version),
            None => Action::Close,
        });
    }
}
