//! The ledger: records the state of each call that one incarnation of an agent must run
//! at most once.

use std::collections::VecDeque;

use crate::once::Ticket;
use crate::prelude::*;

common! { key
/// Bounds of a ledger.
pub struct Limits {
    /// Longest age of a ticket at its first use.
    pub ttl: Millis,
    /// Longest time by which an entry's clock may be ahead of the agent's clock.
    pub skew: Millis,
    /// Most records held at once; further keys are answered with `unknown`.
    pub max_records: usize,
    /// Most bytes of recorded answers; the oldest answers are dropped first.
    pub max_bytes: usize,
    /// Largest answer that is recorded, in bytes.
    pub max_answer: usize,
}
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            ttl: Millis(15 * 60_000),
            skew: Millis(30_000),
            // About 17 bookings a second for the 30 minutes that a record is kept.
            max_records: 32_768,
            max_bytes: 8 << 20,
            max_answer: 256 << 10,
        }
    }
}

impl Limits {
    /// Returns the time for which records are kept.
    pub const fn retention(&self) -> Millis {
        Millis(2 * self.ttl.0 + self.skew.0)
    }
}

common! { value
/// A recorded answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Bytes,
}
}

impl Answer {
    /// Returns the bytes that count towards the bounds of the ledger.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Fingerprint of a request: SHA-256 over organisation, method, path and body.
pub type Fingerprint = [u8; 32];

common! { value
/// State of a key.
pub enum State {
    /// The key is recorded and its call was not dispatched yet.
    Waiting,
    /// The call was dispatched.
    Running,
    /// The call has ended; the answer is none when it was too large or was dropped.
    Done(Option<Arc<Answer>>),
    /// The call was dispatched, but its outcome is not known and never will be.
    Lost,
    /// The call was not dispatched and never will be.
    Barred,
}
}

common! { value
/// Result of claiming or barring a key.
pub enum Claim {
    /// The key was recorded as waiting just now. The caller must dispatch or bar it.
    Run,
    /// The key is recorded with this state.
    Known(State),
    /// It is not known whether the call ran; the code says why.
    Unknown(Code),
    /// The key is recorded for a request with another fingerprint.
    Mismatch,
}
}

/// Identifies a key within one incarnation: the ticket's time and its nonce.
type Id = (Millis, u128);

#[derive(Clone, Debug)]
struct Record {
    state: State,
    /// None when the key was barred before a request with it arrived.
    fingerprint: Option<Fingerprint>,
}

/// Records of one agent incarnation.
///
/// # Invariants
///
/// - Each key changes from waiting to running at most once.
/// - A barred key stays barred until its age is above `ttl`.
/// - The time of the ledger does not go backwards.
#[derive(Debug)]
pub struct Ledger {
    agent: String,
    incarnation: u64,
    limits: Limits,
    records: IndexMap<Id, Record>,
    /// Keys in order of their expiry.
    expiry: VecDeque<(Millis, Id)>,
    /// Keys with a recorded answer, oldest first.
    answers: VecDeque<Id>,
    /// Bytes of recorded answers.
    bytes: usize,
    /// Latest time at which the ledger was used.
    now: Millis,
}

impl Ledger {
    /// Creates an empty ledger for one incarnation of an agent.
    pub fn new(agent: &str, incarnation: u64, limits: Limits) -> Ledger {
        Ledger {
            agent: agent.to_string(),
            incarnation,
            limits,
            records: IndexMap::new(),
            expiry: VecDeque::new(),
            answers: VecDeque::new(),
            bytes: 0,
            now: Millis(0),
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true when there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of recorded answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the state of a key without recording anything; none when it has no record.
    pub fn peek(&self, ticket: &Ticket) -> Option<&State> {
        if !self.owns(ticket) {
            return None;
        }
        Some(&self.records.get(&id(ticket))?.state)
    }

    /// Claims a key in order to run its call: records it as waiting, unless it is known.
    ///
    /// Of all calls of this function with one key, at most one returns [`Claim::Run`].
    pub fn claim(&mut self, now: Millis, ticket: &Ticket, fingerprint: Fingerprint) -> Claim {
        self.tick(now);
        if let Some(known) = self.known(ticket, Some(fingerprint)) {
            return known;
        }
        if let Some(code) = self.reject_reason(ticket) {
            return Claim::Unknown(code);
        }
        self.insert(id(ticket), State::Waiting, Some(fingerprint));
        Claim::Run
    }

    /// Bars a key, so that its call never runs, unless the call was dispatched. Returns
    /// the state of the key.
    ///
    /// [`State::Barred`] is the only state for which a call may be reported as not run.
    pub fn bar(&mut self, now: Millis, ticket: &Ticket, fingerprint: Option<Fingerprint>) -> Claim {
        self.tick(now);
        match self.known(ticket, fingerprint) {
            Some(Claim::Known(State::Waiting)) => {
                self.set_state(ticket, State::Barred);
                return Claim::Known(State::Barred);
            }
            Some(known) => return known,
            None => {}
        }
        if let Some(code) = self.reject_reason(ticket) {
            return Claim::Unknown(code);
        }
        self.insert(id(ticket), State::Barred, fingerprint);
        Claim::Known(State::Barred)
    }

    /// Marks a waiting key as running; returns false when it was barred meanwhile.
    ///
    /// # Panics
    ///
    /// When the key is in another state: the call of a ticket must not run twice.
    pub fn dispatch(&mut self, ticket: &Ticket) -> bool {
        match self.peek(ticket) {
            Some(State::Waiting) => {
                self.set_state(ticket, State::Running);
                true
            }
            Some(State::Barred) => false,
            state => panic!("key dispatched in state {state:?}"),
        }
    }

    /// Records the answer of a running key. An answer that is too large is not kept.
    ///
    /// # Panics
    ///
    /// When the key is not running.
    pub fn finish(&mut self, ticket: &Ticket, answer: Arc<Answer>) {
        assert_eq!(self.peek(ticket), Some(&State::Running), "finish");
        let size = answer.size();
        if size > self.limits.max_answer.min(self.limits.max_bytes) {
            self.set_state(ticket, State::Done(None));
            return;
        }
        self.make_room(size);
        self.set_state(ticket, State::Done(Some(answer)));
        self.answers.push_back(id(ticket));
        self.bytes += size;
        assert!(
            self.bytes <= self.limits.max_bytes,
            "answers over their bound"
        );
    }

    /// Bars a running key whose request was never written to the upstream.
    ///
    /// # Panics
    ///
    /// When the key is not running.
    pub fn withdraw(&mut self, ticket: &Ticket) {
        assert_eq!(self.peek(ticket), Some(&State::Running), "withdraw");
        self.set_state(ticket, State::Barred);
    }

    /// Records that the outcome of a running key is not known and never will be.
    ///
    /// # Panics
    ///
    /// When the key is not running.
    pub fn lose(&mut self, ticket: &Ticket) {
        assert_eq!(self.peek(ticket), Some(&State::Running), "lose");
        self.set_state(ticket, State::Lost);
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: Millis) {
        // Callers read the clock before they lock the ledger, so calls may arrive out of
        // order.
        self.now = self.now.max(now);
        let now = self.now;
        while let Some(&(expires_at, id)) = self.expiry.front() {
            if expires_at > now {
                break;
            }
            self.expiry.pop_front();
            self.expire(id);
        }
    }

    /// Returns true when the ticket names this agent and incarnation.
    fn owns(&self, ticket: &Ticket) -> bool {
        ticket.agent == self.agent && ticket.incarnation == self.incarnation
    }

    /// Returns the state of a recorded key, or that its fingerprint differs.
    fn known(&self, ticket: &Ticket, fingerprint: Option<Fingerprint>) -> Option<Claim> {
        if !self.owns(ticket) {
            return None;
        }
        let record = self.records.get(&id(ticket))?;
        let differs = matches!((record.fingerprint, fingerprint), (Some(previous), Some(new)) if previous != new);
        Some(if differs {
            Claim::Mismatch
        } else {
            Claim::Known(record.state.clone())
        })
    }

    /// Returns why a key without a record must not be recorded now.
    fn reject_reason(&self, ticket: &Ticket) -> Option<Code> {
        if !self.owns(ticket) || self.is_expired(ticket.minted) {
            return Some(Code::TicketExpired);
        }
        let too_early = ticket.minted > self.now.plus(self.limits.skew);
        if too_early || self.records.len() >= self.limits.max_records {
            return Some(Code::OutcomeUnknown);
        }
        None
    }

    fn is_expired(&self, minted: Millis) -> bool {
        self.now.since(minted) > self.limits.ttl
    }

    fn insert(&mut self, id: Id, state: State, fingerprint: Option<Fingerprint>) {
        let expires_at = self.now.plus(self.limits.retention());
        self.expiry.push_back((expires_at, id));
        let previous = self.records.insert(id, Record { state, fingerprint });
        assert!(previous.is_none(), "key recorded twice");
        assert!(
            self.records.len() <= self.limits.max_records,
            "ledger too long"
        );
    }

    fn set_state(&mut self, ticket: &Ticket, state: State) {
        if let Some(record) = self.records.get_mut(&id(ticket)) {
            record.state = state;
        }
    }

    /// Removes an expired record. Waiting and running keys are kept for another period,
    /// since their outcome is still to be recorded.
    fn expire(&mut self, id: Id) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        if matches!(record.state, State::Waiting | State::Running) {
            let expires_at = self.now.plus(self.limits.retention());
            self.expiry.push_back((expires_at, id));
            return;
        }
        assert!(
            self.is_expired(id.0),
            "record removed while its key could be used"
        );
        self.drop_answer(id);
        self.records.swap_remove(&id);
        while let Some(oldest) = self.answers.front()
            && !self.records.contains_key(oldest)
        {
            self.answers.pop_front();
        }
    }

    /// Drops the oldest answers until one of `size` bytes can be recorded.
    fn make_room(&mut self, size: usize) {
        while self.bytes + size > self.limits.max_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                break;
            };
            self.drop_answer(oldest);
        }
    }

    /// Drops a recorded answer; the key stays recorded as done.
    fn drop_answer(&mut self, id: Id) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if let State::Done(answer) = &mut record.state
            && let Some(answer) = answer.take()
        {
            self.bytes -= answer.size();
        }
    }
}

fn id(ticket: &Ticket) -> Id {
    (ticket.minted, ticket.nonce)
}
