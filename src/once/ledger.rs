//! The ledger: what became of each non-repeatable call of one agent incarnation.

use std::collections::VecDeque;

use crate::once::Ticket;
use crate::prelude::*;

common! { key
/// Bounds of a ledger.
pub struct Limits {
    /// Greatest age of a ticket at its first use.
    pub ttl: Millis,
    /// Greatest time by which an entry's clock may be ahead of the agent's.
    pub skew: Millis,
    /// Records held at once; further keys are answered `unknown`.
    pub max_records: usize,
    /// Bytes of recorded answers; the oldest answers are dropped first.
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
    /// Time for which records are kept.
    pub const fn retention(&self) -> Millis {
        Millis(2 * self.ttl.0 + self.skew.0)
    }
}

common! { value
/// A recorded answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whole body.
    pub body: Bytes,
}
}

impl Answer {
    /// Bytes that the answer takes up in the ledger.
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
    /// Recorded, not dispatched yet.
    Waiting,
    /// Dispatched once.
    Running,
    /// Ended; the answer is none when it was too large to keep.
    Done(Option<Arc<Answer>>),
    /// Dispatched, but how it ended is not known.
    Lost,
    /// Not dispatched and never will be.
    Revoked,
}
}

common! { value
/// What the ledger says about a key that is presented for running.
pub enum Claim {
    /// The key was recorded as waiting by this call; the caller dispatches or bars it.
    Run,
    /// The key is known and has this state.
    Known(State),
    /// Whether the call ran is not known; the code says why.
    Unknown(Code),
    /// The key belongs to a request with another fingerprint.
    Mismatch,
}
}

/// Identity of a key within one incarnation.
type Id = (Millis, u128);

#[derive(Clone, Debug)]
struct Record {
    state: State,
    /// None when the key was barred before any request carried it.
    print: Option<Fingerprint>,
}

/// Records of one agent incarnation.
///
/// # Invariants
///
/// - Each key passes from waiting to running at most once.
/// - A barred key stays barred until its age is above the ttl.
/// - Its time does not go backwards.
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
    bytes: usize,
    now: Millis,
}

impl Ledger {
    /// An empty ledger of one incarnation of an agent.
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

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of recorded answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// State of a key, without recording anything.
    pub fn peek(&self, ticket: &Ticket) -> Option<&State> {
        if !self.owns(ticket) {
            return None;
        }
        Some(&self.records.get(&id(ticket))?.state)
    }

    /// Claims a key for running: records it as waiting unless it is known.
    ///
    /// Of all calls with one key, exactly one returns [`Claim::Run`].
    pub fn claim(&mut self, now: Millis, ticket: &Ticket, print: Fingerprint) -> Claim {
        self.tick(now);
        if let Some(known) = self.known(ticket, Some(print)) {
            return known;
        }
        if let Some(code) = self.refusal(ticket) {
            return Claim::Unknown(code);
        }
        self.insert(id(ticket), State::Waiting, Some(print));
        Claim::Run
    }

    /// Bars a key unless it was dispatched, and returns its state.
    ///
    /// [`State::Barred`] is the only state for which "not run" may be said.
    pub fn revoke(&mut self, now: Millis, ticket: &Ticket, print: Option<Fingerprint>) -> Claim {
        self.tick(now);
        match self.known(ticket, print) {
            Some(Claim::Known(State::Waiting)) => {
                self.set(ticket, State::Revoked);
                return Claim::Known(State::Revoked);
            }
            Some(known) => return known,
            None => {}
        }
        if let Some(code) = self.refusal(ticket) {
            return Claim::Unknown(code);
        }
        self.insert(id(ticket), State::Revoked, print);
        Claim::Known(State::Revoked)
    }

    /// Marks a waiting key as dispatched; false when it was barred meanwhile.
    ///
    /// # Panics
    ///
    /// When the key was dispatched before: the second run of a booking must not start.
    pub fn dispatch(&mut self, ticket: &Ticket) -> bool {
        match self.peek(ticket) {
            Some(State::Waiting) => {
                self.set(ticket, State::Running);
                true
            }
            Some(State::Revoked) => false,
            state => panic!("key dispatched in state {state:?}"),
        }
    }

    /// Records the answer of a running key; one that is too large is not kept.
    pub fn finish(&mut self, ticket: &Ticket, answer: Arc<Answer>) {
        assert_eq!(self.peek(ticket), Some(&State::Running), "finish");
        let size = answer.size();
        if size > self.limits.max_answer.min(self.limits.max_bytes) {
            self.set(ticket, State::Done(None));
            return;
        }
        self.make_room(size);
        self.set(ticket, State::Done(Some(answer)));
        self.answers.push_back(id(ticket));
        self.bytes += size;
        assert!(
            self.bytes <= self.limits.max_bytes,
            "answers over their bound"
        );
    }

    /// Bars a running key whose request was never written to the upstream.
    pub fn withdraw(&mut self, ticket: &Ticket) {
        assert_eq!(self.peek(ticket), Some(&State::Running), "withdraw");
        self.set(ticket, State::Revoked);
    }

    /// Records that the outcome of a running key is not known and never will be.
    pub fn lose(&mut self, ticket: &Ticket) {
        assert_eq!(self.peek(ticket), Some(&State::Running), "lose");
        self.set(ticket, State::Lost);
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: Millis) {
        // Callers read the clock before they lock the ledger, so a later one may come first.
        self.now = self.now.max(now);
        let now = self.now;
        while let Some(&(due, id)) = self.expiry.front() {
            if due > now {
                break;
            }
            self.expiry.pop_front();
            self.expire(id);
        }
    }

    fn owns(&self, ticket: &Ticket) -> bool {
        ticket.agent == self.agent && ticket.incarnation == self.incarnation
    }

    fn known(&self, ticket: &Ticket, print: Option<Fingerprint>) -> Option<Claim> {
        if !self.owns(ticket) {
            return None;
        }
        let record = self.records.get(&id(ticket))?;
        let other = matches!((record.print, print), (Some(held), Some(new)) if held != new);
        Some(if other {
            Claim::Mismatch
        } else {
            Claim::Known(record.state.clone())
        })
    }

    /// Why a key without a record must not be recorded now.
    fn refusal(&self, ticket: &Ticket) -> Option<Code> {
        if !self.owns(ticket) || self.is_old(ticket.minted) {
            return Some(Code::TicketExpired);
        }
        let early = ticket.minted > self.now.plus(self.limits.skew);
        if early || self.records.len() >= self.limits.max_records {
            return Some(Code::OutcomeUnknown);
        }
        None
    }

    fn is_old(&self, minted: Millis) -> bool {
        self.now.since(minted) > self.limits.ttl
    }

    fn insert(&mut self, id: Id, state: State, print: Option<Fingerprint>) {
        let due = self.now.plus(self.limits.retention());
        self.expiry.push_back((due, id));
        let held = self.records.insert(id, Record { state, print });
        assert!(held.is_none(), "key recorded twice");
        assert!(
            self.records.len() <= self.limits.max_records,
            "ledger too long"
        );
    }

    fn set(&mut self, ticket: &Ticket, state: State) {
        if let Some(record) = self.records.get_mut(&id(ticket)) {
            record.state = state;
        }
    }

    /// Running keys outlive their expiry, since their outcome is still to be recorded.
    fn expire(&mut self, id: Id) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        if matches!(record.state, State::Waiting | State::Running) {
            let due = self.now.plus(self.limits.retention());
            self.expiry.push_back((due, id));
            return;
        }
        assert!(
            self.is_old(id.0),
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

    fn make_room(&mut self, size: usize) {
        while self.bytes + size > self.limits.max_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                break;
            };
            self.drop_answer(oldest);
        }
    }

    /// Drops a recorded answer; the key stays known as done.
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
