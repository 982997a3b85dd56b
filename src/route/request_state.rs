//! One request at the entry: its attempts, and exactly one whole answer.

use crate::arena::Key;
use crate::error::Code;
use crate::error::Error;
use crate::error::Run;
use crate::retry;
use crate::retry::Backoff;
use crate::route::action::Action;
use crate::route::action::AnswerPart;
use crate::route::action::Plan;
use crate::route::reorder::Reorder;
use crate::route::router::Router;
use crate::route::upstream::Call;
use crate::route::upstream::Outcome;
use crate::route::upstream::Upstream;
use crate::time::Millis;

/// Retry-After when nothing better is known.
const RETRY_AFTER: Millis = Millis(1_000);

/// Time for which an upstream that refused is avoided, if it gave none.
const CLOSED: Millis = Millis(250);

#[derive(Clone, Debug)]
struct Attempt<H> {
    upstream: Key<Upstream>,
    /// None once it has ended.
    call: Option<Key<Call>>,
    reorder: Reorder<AnswerPart<H>>,
    /// Held until the first part of the body: engines answer with a head at
    /// once, so the head says nothing about how soon the answer comes.
    head: Option<H>,
    last: Option<Millis>,
}

/// State of one request.
///
/// # Invariants
///
/// Pieces of one attempt only reach the caller; [`Action::End`] or
/// [`Action::Fail`] comes once and last; `End` comes only after a `Done` piece
/// whose length equals the bytes given out.
#[derive(Clone, Debug)]
pub struct RequestState<H> {
    plan: Plan,
    attempts: Vec<Attempt<H>>,
    winner: Option<usize>,
    given: u64,
    headed: bool,
    finished: bool,
    hedge: Option<Millis>,
    again: Option<Millis>,
    backoff: Backoff,
    /// The error reported if no further attempt succeeds.
    error: Option<Error>,
    /// True once any attempt may have run.
    ran: bool,
}

impl<H> RequestState<H> {
    /// A request that was not yet sent.
    pub fn new(plan: Plan) -> RequestState<H> {
        RequestState {
            plan,
            attempts: Vec::new(),
            winner: None,
            given: 0,
            headed: false,
            finished: false,
            hedge: None,
            again: None,
            backoff: Backoff::default(),
            error: None,
            ran: false,
        }
    }

    /// True after the last action.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Attempts so far.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Number of the attempt whose answer the caller gets.
    pub fn winner(&self) -> Option<u32> {
        self.winner.map(|index| index as u32 + 1)
    }

    /// Where an attempt runs, while it does.
    pub fn upstream(&self, attempt: u32) -> Option<Key<Upstream>> {
        let index = self.open(attempt)?;
        Some(self.attempts[index].upstream)
    }

    /// Time of the next call of [`RequestState::tick`].
    pub fn next_tick(&self) -> Millis {
        let times = [Some(self.plan.deadline), self.hedge, self.again];
        let earliest = times.into_iter().flatten().min();
        earliest.unwrap_or(self.plan.deadline)
    }

    /// Sends the first attempt.
    pub fn start(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        assert!(self.attempts.is_empty(), "a request starts once");
        router.on_request();
        if now >= self.plan.deadline {
            return self.fail(now, late(), router, out);
        }
        if !self.send(now, router, out) {
            self.fail(now, none_open(now, router), router, out);
        }
    }

    /// Takes one frame of an attempt.
    pub fn on_frame(
        &mut self,
        now: Millis,
        (attempt, seq): (u32, u64),
        piece: AnswerPart<H>,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let Some(index) = self.open(attempt) else {
            return;
        };
        if self.attempts[index].reorder.push(seq, piece).is_err() {
            return self.refuse(now, attempt, "frame is ahead of the window", router, out);
        }
        while !self.finished {
            let Some(piece) = self.attempts[index].reorder.pop() else {
                break;
            };
            self.deliver(now, index, piece, router, out);
        }
    }

    /// Takes the failure of an attempt.
    pub fn on_fail(
        &mut self,
        now: Millis,
        attempt: u32,
        error: Error,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let Some(index) = self.open(attempt) else {
            return;
        };
        let outcome = match (error.run, error.code) {
            (Run::NotRun, Code::UpstreamBusy) => Outcome::Busy,
            (Run::NotRun, _) => match error.retry {
                Some(after) => Outcome::Refused(now.plus(after)),
                None => Outcome::Avoided(now.plus(CLOSED)),
            },
            _ => Outcome::Failed,
        };
        self.close(now, index, outcome, router);
        self.ran |= error.run != Run::NotRun;
        if self.winner == Some(index) {
            let run = if self.headed { Run::Partial } else { error.run };
            return self.fail(now, error.with_run(run), router, out);
        }
        let repeat = retry::may_repeat(error.run, self.plan.traits.repeatable);
        self.note(error);
        if self.attempts.iter().any(|a| a.call.is_some()) {
            return;
        }
        let room = repeat && self.attempts.len() < retry::MAX_ATTEMPTS;
        if !room || !router.retries.spend() {
            return self.give_up(now, router, out);
        }
        let at = now.plus(self.backoff.next(&mut router.rng));
        if at >= self.plan.deadline {
            router.retries.refund();
            return self.give_up(now, router, out);
        }
        (self.hedge, self.again) = (None, Some(at));
    }

    /// The caller has gone: cancels all attempts.
    pub fn cancel(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        if !self.finished {
            let error = Error::new(Code::Cancelled, "caller has gone");
            self.fail(now, error, router, out);
        }
    }

    /// Checks the deadline and sends what is due.
    pub fn tick(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        if self.finished {
            return;
        }
        if now >= self.plan.deadline {
            let run = if self.ran || self.sent() {
                Run::Unknown
            } else {
                Run::NotRun
            };
            return self.fail(now, late().with_run(run), router, out);
        }
        if self.again.is_some_and(|at| at <= now) {
            self.again = None;
            if !self.send(now, router, out) {
                router.retries.refund();
                self.give_up(now, router, out);
            }
            return;
        }
        if self.hedge.is_some_and(|at| at <= now) {
            self.hedge = None;
            self.try_hedge(now, router, out);
        }
    }

    fn try_hedge(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        assert!(
            self.plan.traits.repeatable,
            "only repeatable calls are hedged"
        );
        if self.winner.is_some() || self.attempts.len() >= retry::MAX_ATTEMPTS {
            return;
        }
        if router.hedges.spend() && !self.send(now, router, out) {
            router.hedges.refund();
        }
    }

    /// Sends another attempt; false when no upstream is open.
    fn send(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) -> bool {
        assert!(!self.finished && self.winner.is_none());
        let alone = !self.ran && !self.sent();
        assert!(
            self.plan.traits.repeatable || alone,
            "a call that may not be repeated may have run"
        );
        let used: Vec<_> = self.attempts.iter().map(|a| a.upstream).collect();
        let traits = &self.plan.traits;
        let Some(upstream) = router.chooser.pick(now, traits, &used) else {
            return false;
        };
        let call = router.chooser.on_sent(now, upstream, traits);
        self.attempts.push(Attempt {
            upstream,
            call,
            reorder: Reorder::default(),
            head: None,
            last: None,
        });
        let first = self.attempts.len() == 1;
        if first && traits.repeatable {
            self.hedge = Some(now.plus(router.hedge_delay(traits)));
        }
        out.push(Action::Send {
            attempt: self.attempts.len() as u32,
            upstream,
            remaining: self.plan.deadline.since(now),
        });
        true
    }

    fn deliver(
        &mut self,
        now: Millis,
        index: usize,
        piece: AnswerPart<H>,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let number = index as u32 + 1;
        let attempt = &mut self.attempts[index];
        let is_headed = attempt.head.is_some() || self.winner == Some(index);
        match piece {
            AnswerPart::Head(_) if is_headed => {
                self.refuse(now, number, "second head", router, out)
            }
            AnswerPart::Head(head) => attempt.head = Some(head),
            _ if !is_headed => self.refuse(now, number, "no head", router, out),
            AnswerPart::Data(bytes) => {
                self.win(now, index, router, out);
                self.observe(now, index, router);
                self.given += bytes.len() as u64;
                out.push(Action::Data(bytes));
            }
            AnswerPart::Done(length) if length == self.given => {
                self.win(now, index, router, out);
                self.close(now, index, Outcome::Done, router);
                self.finish(now, Action::End, router, out);
            }
            AnswerPart::Done(_) => self.refuse(now, number, "end at another length", router, out),
        }
    }

    /// Ends an attempt that broke the protocol; it may still run there.
    fn refuse(
        &mut self,
        now: Millis,
        attempt: u32,
        what: &str,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let upstream = self.attempts[attempt as usize - 1].upstream;
        out.push(Action::Cancel { attempt, upstream });
        let error = Error::new(Code::ProtocolInvalid, what).with_run(Run::Unknown);
        self.on_fail(now, attempt, error, router, out);
    }

    /// Makes one attempt the answer, gives out its head and cancels the others.
    fn win(&mut self, now: Millis, index: usize, router: &mut Router, out: &mut Vec<Action<H>>) {
        if self.winner.is_some() {
            assert_eq!(self.winner, Some(index), "answers are never mixed");
            return;
        }
        self.winner = Some(index);
        (self.hedge, self.again) = (None, None);
        if let Some(call) = self.attempts[index].call {
            router.on_begun(now, call, self.plan.traits.short);
        }
        if let Some(head) = self.attempts[index].head.take() {
            self.headed = true;
            out.push(Action::Head(head));
        }
        assert!(self.headed, "an answer starts with its head");
        for other in 0..self.attempts.len() {
            if other != index {
                self.drop_attempt(now, other, router, out);
            }
        }
    }

    fn observe(&mut self, now: Millis, index: usize, router: &mut Router) {
        let attempt = &mut self.attempts[index];
        if let (Some(last), Some(call)) = (attempt.last, attempt.call) {
            router.chooser.on_gap(call, now.since(last).0 as f64);
        }
        attempt.last = Some(now);
    }

    /// Index of an attempt that has not ended.
    fn open(&self, attempt: u32) -> Option<usize> {
        let index = (attempt as usize).checked_sub(1)?;
        let held = self.attempts.get(index)?;
        (!self.finished && held.call.is_some()).then_some(index)
    }

    fn sent(&self) -> bool {
        self.attempts.iter().any(|a| a.call.is_some())
    }

    fn close(&mut self, now: Millis, index: usize, outcome: Outcome, router: &mut Router) {
        if let Some(call) = self.attempts[index].call.take() {
            router.on_ended(now, call, outcome);
        }
    }

    fn drop_attempt(
        &mut self,
        now: Millis,
        index: usize,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        if self.attempts[index].call.is_some() {
            self.close(now, index, Outcome::Cancelled, router);
            out.push(Action::Cancel {
                attempt: index as u32 + 1,
                upstream: self.attempts[index].upstream,
            });
        }
    }

    /// Keeps the error that says most: one after a run goes before a refusal.
    fn note(&mut self, error: Error) {
        let held_run = self.error.as_ref().is_some_and(|e| e.run != Run::NotRun);
        if !held_run {
            self.error = Some(error);
        }
    }

    fn give_up(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        let mut error = self.error.take().unwrap_or_else(|| none_open(now, router));
        if self.ran && error.run == Run::NotRun {
            error.run = Run::Unknown;
        }
        self.fail(now, error, router, out);
    }

    fn fail(
        &mut self,
        now: Millis,
        mut error: Error,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let open = self.sent();
        if self.headed {
            error.run = Run::Partial;
        } else if open || self.ran {
            error.run = Run::Unknown;
        }
        error.retry.get_or_insert(RETRY_AFTER);
        self.finish(now, Action::Fail(error), router, out);
    }

    fn finish(
        &mut self,
        now: Millis,
        last: Action<H>,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        assert!(!self.finished, "a request ends once");
        for index in 0..self.attempts.len() {
            self.drop_attempt(now, index, router, out);
        }
        self.finished = true;
        (self.hedge, self.again) = (None, None);
        out.push(last);
    }
}

fn late() -> Error {
    Error::new(Code::DeadlineExceeded, "deadline has passed")
}

fn none_open(now: Millis, router: &Router) -> Error {
    let error = Error::new(Code::NoUpstream, "no upstream takes work");
    match router.chooser.reopens(now) {
        Some(at) if at > now => error.with_retry(at.since(now)),
        _ => error,
    }
}
