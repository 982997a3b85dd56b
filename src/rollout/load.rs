//! Orders to the engine: one at a time, fenced, settled by reading its state.

use indexmap::IndexMap;

use crate::common;
use crate::rollout::manifest::Digest;
use crate::rollout::turn;
use crate::rollout::turn::PoolView;
use crate::rollout::turn::Turn;
use crate::time::Millis;

/// Interval at which the state of an engine that loads or fails is read.
const READ_INTERVAL: Millis = Millis(200);

/// Time after which an unanswered read is void and another one starts.
const READ_TIMEOUT: Millis = Millis(2_000);

/// Time after a change of version before an agent leaves service for it.
///
/// Agents that left under the table before are no longer seen as serving by then.
const SETTLE_TIME: Millis = turn::MAX_VIEW_AGE;

/// Time without an outcome after which the engine's state is read all the same.
const ORDER_TIMEOUT: Millis = Millis(120_000);

common! { key
/// State that the engine reports.
pub struct Engine {
    /// Version loaded, if any.
    pub loaded: Option<Digest>,
    /// True while it loads.
    pub loading: bool,
    /// Highest fence that it has seen.
    pub fence: u64,
}
}

common! { key
/// Answer to an order.
pub enum Outcome {
    /// The engine reports success.
    Done,
    /// The engine reports that it could not load.
    Failed,
    /// The engine refused the fence.
    Refused,
    /// Whether the order was carried out is not known.
    Unknown,
}
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// The table names this version under this fence, or none.
    Want(Option<Digest>, u64),
    /// Versions whose chunks are all held and verified.
    Whole(Vec<Digest>),
    /// The engine's state was read, by the read of this number.
    Engine(u64, Engine),
    /// The engine's state could not be read, or an answer came from other weights.
    Doubt,
    /// An order was answered.
    Ordered(Outcome),
    /// Requests that run at the engine.
    Running(usize),
    /// The pool as seen through reports of its agents.
    Pool(PoolView),
}

common! { key
/// What is to be done outside.
pub enum Action {
    /// Read the engine's state; the number goes into the answer.
    Read(u64),
    /// Order the engine to load this version under this fence.
    Load(Digest, u64),
    /// Admit no request.
    Close,
    /// Admit requests for this version, which the engine has confirmed.
    Open(Digest),
}
}

common! { key
/// Where the engine stands, as far as this agent knows.
enum State {
    /// Not known; nothing is admitted.
    Unknown,
    /// Confirmed by the engine; requests are admitted when it is some version.
    Settled(Option<Digest>),
    /// Leaving service to load another version; the engine still has the first.
    Draining(Digest, Digest),
    /// An order is outstanding.
    Ordered(Digest, Millis),
    /// An order was answered; its effect is being read.
    Settling(Digest),
}
}

/// Order state machine of one agent.
///
/// # Invariants
///
/// At most one order is outstanding, no request runs while it is, it names a
/// version that is whole, and fences never go down.
#[derive(Debug)]
pub struct Loader {
    me: String,
    state: State,
    want: Option<Digest>,
    changed: Millis,
    fence: u64,
    whole: Vec<Digest>,
    running: usize,
    pool: PoolView,
    previous: Option<Digest>,
    failures: IndexMap<Digest, u32>,
    read: Millis,
    reads: u64,
    reading: bool,
    open: Option<Digest>,
}

impl Loader {
    /// A loader that knows nothing of its engine yet.
    pub fn new(me: impl Into<String>) -> Loader {
        Loader {
            me: me.into(),
            state: State::Unknown,
            want: None,
            changed: Millis(0),
            fence: 0,
            whole: Vec::new(),
            running: 0,
            pool: PoolView::default(),
            previous: None,
            failures: IndexMap::new(),
            read: Millis(0),
            reads: 0,
            reading: false,
            open: None,
        }
    }

    /// Takes in what happened and appends what is to be done.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Want(want, fence) => self.on_want(now, want, fence),
            Event::Whole(whole) => self.whole = whole,
            Event::Engine(read, engine) => self.on_engine(read, engine),
            Event::Doubt => self.on_doubt(),
            Event::Ordered(outcome) => self.on_ordered(outcome),
            Event::Running(running) => self.running = running,
            Event::Pool(pool) => self.pool = pool,
        }
        self.step(now, out);
    }

    /// Continues what waits for time to pass.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let State::Ordered(version, since) = self.state
            && now.since(since) > ORDER_TIMEOUT
        {
            self.state = State::Settling(version);
        }
        self.step(now, out);
    }

    /// Version for which requests are admitted.
    pub fn serving(&self) -> Option<Digest> {
        self.open
    }

    /// Failed loads of the wanted version here.
    pub fn failures(&self) -> u32 {
        let count = |digest| self.failures.get(&digest).copied();
        self.want.and_then(count).unwrap_or(0)
    }

    /// True when the wanted version is held back because it fails to load.
    pub fn is_held(&self) -> bool {
        self.failures() >= turn::MAX_FAILURES || self.pool.failures() >= turn::MAX_FAILURES
    }

    /// True while an order is outstanding.
    pub fn is_ordered(&self) -> bool {
        matches!(self.state, State::Ordered(..))
    }

    /// Tables never go back, so a lower fence comes from an old message.
    fn on_want(&mut self, now: Millis, want: Option<Digest>, fence: u64) {
        if fence < self.fence {
            return;
        }
        if want != self.want {
            self.changed = now;
        }
        self.want = want;
        self.fence = fence;
    }

    /// The engine's own word settles what an order did.
    ///
    /// An answer to an older read may describe the time before an order.
    fn on_engine(&mut self, read: u64, engine: Engine) {
        if read != self.reads || !self.reading {
            return;
        }
        self.reading = false;
        if engine.loading {
            return;
        }
        if let State::Settling(version) = self.state
            && engine.loaded != Some(version)
        {
            *self.failures.entry(version).or_default() += 1;
        }
        if engine.fence > self.fence {
            // Another order with a later table was given; this table is old.
            self.fence = engine.fence;
            self.want = None;
        }
        self.state = State::Settled(engine.loaded);
    }

    fn on_doubt(&mut self) {
        self.reading = false;
        match self.state {
            State::Settled(_) | State::Draining(..) => self.state = State::Unknown,
            State::Unknown | State::Ordered(..) | State::Settling(_) => {}
        }
    }

    /// An order that failed counts when the engine's state confirms it.
    fn on_ordered(&mut self, outcome: Outcome) {
        let State::Ordered(version, _) = self.state else {
            return;
        };
        if outcome == Outcome::Refused {
            // Nothing was loaded, so this is no failure of the version.
            self.state = State::Unknown;
            return;
        }
        self.state = State::Settling(version);
    }

    fn step(&mut self, now: Millis, out: &mut Vec<Action>) {
        match self.state {
            State::Unknown | State::Settling(_) => self.read(now, out),
            State::Settled(loaded) => self.decide(now, loaded, out),
            State::Draining(old, new) => self.drain(now, old, new, out),
            State::Ordered(..) => {}
        }
        self.gate(out);
    }

    fn read(&mut self, now: Millis, out: &mut Vec<Action>) {
        let interval = if self.reading {
            READ_TIMEOUT
        } else {
            READ_INTERVAL
        };
        if self.reads == 0 || now.since(self.read) >= interval {
            self.read = now;
            self.reading = true;
            self.reads += 1;
            out.push(Action::Read(self.reads));
        }
    }

    /// With a settled engine: stay, leave service to load, or load at once when empty.
    fn decide(&mut self, now: Millis, loaded: Option<Digest>, out: &mut Vec<Action>) {
        let Some(next) = self.next(loaded) else {
            return;
        };
        match loaded {
            None => self.order(now, next, out),
            Some(old) => {
                let settled = now.since(self.changed) >= SETTLE_TIME;
                let same = self.pool.revision == self.fence;
                let turn = turn::may_leave(now, &self.me, next, &self.pool);
                if settled && same && turn == Turn::Granted {
                    self.state = State::Draining(old, next);
                    self.drain(now, old, next, out);
                }
            }
        }
    }

    /// The version to load now, if any.
    fn next(&self, loaded: Option<Digest>) -> Option<Digest> {
        let want = self.want?;
        if loaded == Some(want) {
            return None;
        }
        if !self.is_held() {
            return self.whole.contains(&want).then_some(want);
        }
        // An engine that lost its version in a failed load gets the old one back.
        let old = self.previous.filter(|d| self.whole.contains(d));
        old.filter(|_| loaded.is_none())
    }

    fn drain(&mut self, now: Millis, old: Digest, new: Digest, out: &mut Vec<Action>) {
        if self.next(Some(old)) != Some(new) {
            // The table changed again, or the version no longer is whole.
            self.state = State::Settled(Some(old));
            return;
        }
        // The gate closes first, so that nothing is admitted after the count was zero.
        if self.open.is_none() && self.running == 0 {
            self.previous = Some(old);
            self.order(now, new, out);
        }
    }

    fn order(&mut self, now: Millis, version: Digest, out: &mut Vec<Action>) {
        assert!(self.whole.contains(&version), "order for a partial version");
        assert!(!self.is_ordered(), "second order outstanding");
        if self.running > 0 || self.open.is_some() {
            return;
        }
        self.state = State::Ordered(version, now);
        self.reading = false;
        self.read = Millis(0);
        out.push(Action::Load(version, self.fence));
    }

    /// Opens or closes the gate when the state has changed.
    fn gate(&mut self, out: &mut Vec<Action>) {
        let open = match self.state {
            State::Settled(loaded) => loaded,
            _ => None,
        };
        if open == self.open {
            return;
        }
        self.open = open;
        out.push(match open {
            Some(version) => Action::Open(version),
            None => Action::Close,
        });
    }
}
