//! State of one request at the entry: its attempts, of which one becomes the answer.

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

/// `Retry-After` of a failure for which no better time is known.
const RETRY_AFTER: Millis = Millis(1_000);

/// Time for which an upstream is avoided after it refused a request without giving
/// a time to come back.
const AVOID_TIME: Millis = Millis(250);

/// One attempt of the request at one upstream.
#[derive(Clone, Debug)]
struct Attempt<H> {
    upstream: Key<Upstream>,
    /// None once the attempt has ended.
    call: Option<Key<Call>>,
    reorder: Reorder<AnswerPart<H>>,
    /// Head of the answer, kept until the first part of the body. Engines send the
    /// head at once, so it does not show how soon the answer comes.
    head: Option<H>,
    /// When the last part of the body arrived.
    last_part: Option<Millis>,
}

/// State of one request.
///
/// # Invariants
///
/// - The caller gets parts of the answer of one attempt only.
/// - Exactly one [`Action::End`] or [`Action::Fail`] is output, as the last action.
/// - `End` is output only after an [`AnswerPart::Done`] whose length equals the
///   bytes of the body that the caller got.
#[derive(Clone, Debug)]
pub struct RequestState<H> {
    plan: Plan,
    attempts: Vec<Attempt<H>>,
    /// Index of the attempt whose answer the caller gets.
    winner: Option<usize>,
    /// Bytes of the body that the caller got.
    body_length: u64,
    /// True once the caller got the head.
    head_sent: bool,
    /// True after the last action.
    finished: bool,
    /// When a hedge is sent.
    hedge_at: Option<Millis>,
    /// When a retry is sent.
    retry_at: Option<Millis>,
    backoff: Backoff,
    /// The error that is reported if no further attempt succeeds.
    error: Option<Error>,
    /// True once an attempt that ended may have run.
    may_have_run: bool,
}

impl<H> RequestState<H> {
    /// Creates the state of a request that was not yet sent.
    pub fn new(plan: Plan) -> RequestState<H> {
        RequestState {
            plan,
            attempts: Vec::new(),
            winner: None,
            body_length: 0,
            head_sent: false,
            finished: false,
            hedge_at: None,
            retry_at: None,
            backoff: Backoff::default(),
            error: None,
            may_have_run: false,
        }
    }

    /// Returns true after the last action.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of the attempt whose answer the caller gets, from 1; none
    /// until the first part of a body has arrived.
    pub fn winner(&self) -> Option<u32> {
        self.winner.map(|index| index as u32 + 1)
    }

    /// Returns the upstream where an attempt runs; none when it has ended.
    pub fn upstream(&self, attempt: u32) -> Option<Key<Upstream>> {
        let index = self.running_index(attempt)?;
        Some(self.attempts[index].upstream)
    }

    /// Returns the time at which [`RequestState::tick`] must be called next.
    pub fn next_tick(&self) -> Millis {
        let times = [Some(self.plan.deadline), self.hedge_at, self.retry_at];
        let earliest = times.into_iter().flatten().min();
        earliest.unwrap_or(self.plan.deadline)
    }

    /// Sends the first attempt.
    pub fn start(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        assert!(self.attempts.is_empty(), "a request starts once");
        router.on_request();
        if now >= self.plan.deadline {
            return self.fail(now, deadline_error(), router, out);
        }
        if !self.send(now, router, out) {
            self.fail(now, no_upstream_error(now, router), router, out);
        }
    }

    /// Processes one frame of an attempt, given as attempt number and sequence number.
    pub fn on_frame(
        &mut self,
        now: Millis,
        (attempt, seq): (u32, u64),
        part: AnswerPart<H>,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let Some(index) = self.running_index(attempt) else {
            return;
        };
        if self.attempts[index].reorder.push(seq, part).is_err() {
            return self.reject(now, attempt, "frame is ahead of the window", router, out);
        }
        while !self.finished {
            let Some(part) = self.attempts[index].reorder.pop() else {
                break;
            };
            self.on_part(now, index, part, router, out);
        }
    }

    /// Processes the failure of an attempt: retries it later or gives up.
    pub fn on_fail(
        &mut self,
        now: Millis,
        attempt: u32,
        error: Error,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let Some(index) = self.running_index(attempt) else {
            return;
        };
        let outcome = match (error.run, error.code) {
            (Run::NotRun, Code::UpstreamBusy) => Outcome::Busy,
            (Run::NotRun, _) => match error.retry {
                Some(after) => Outcome::Refused(now.plus(after)),
                None => Outcome::Avoided(now.plus(AVOID_TIME)),
            },
            _ => Outcome::Failed,
        };
        self.end_attempt(now, index, outcome, router);
        self.may_have_run |= error.run != Run::NotRun;
        if self.winner == Some(index) {
            let run = if self.head_sent {
                Run::Partial
            } else {
                error.run
            };
            return self.fail(now, error.with_run(run), router, out);
        }
        let repeat = retry::may_repeat(error.run, self.plan.traits.repeatable);
        self.keep_error(error);
        if self.attempts.iter().any(|a| a.call.is_some()) {
            return;
        }
        let may_retry = repeat && self.attempts.len() < retry::MAX_ATTEMPTS;
        if !may_retry || !router.retries.spend() {
            return self.give_up(now, router, out);
        }
        let at = now.plus(self.backoff.next(&mut router.rng));
        if at >= self.plan.deadline {
            router.retries.refund();
            return self.give_up(now, router, out);
        }
        (self.hedge_at, self.retry_at) = (None, Some(at));
    }

    /// Cancels all attempts, because the caller has gone.
    pub fn cancel(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        if !self.finished {
            let error = Error::new(Code::Cancelled, "caller has gone");
            self.fail(now, error, router, out);
        }
    }

    /// Checks the deadline, and sends a retry or a hedge that is due.
    pub fn tick(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        if self.finished {
            return;
        }
        if now >= self.plan.deadline {
            let run = if self.may_have_run || self.has_running() {
                Run::Unknown
            } else {
                Run::NotRun
            };
            return self.fail(now, deadline_error().with_run(run), router, out);
        }
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            if !self.send(now, router, out) {
                router.retries.refund();
                self.give_up(now, router, out);
            }
            return;
        }
        if self.hedge_at.is_some_and(|at| at <= now) {
            self.hedge_at = None;
            self.try_hedge(now, router, out);
        }
    }

    /// Sends a hedge if the limits and the budget allow it.
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

    /// Sends another attempt; returns false when no upstream is open.
    fn send(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) -> bool {
        assert!(!self.finished && self.winner.is_none());
        let none_ran = !self.may_have_run && !self.has_running();
        assert!(
            self.plan.traits.repeatable || none_ran,
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
            last_part: None,
        });
        let first = self.attempts.len() == 1;
        if first && traits.repeatable {
            self.hedge_at = Some(now.plus(router.hedge_delay(traits)));
        }
        out.push(Action::Send {
            attempt: self.attempts.len() as u32,
            upstream,
            remaining: self.plan.deadline.since(now),
        });
        true
    }

    /// Processes the next part of an attempt's answer, in order.
    fn on_part(
        &mut self,
        now: Millis,
        index: usize,
        part: AnswerPart<H>,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let number = index as u32 + 1;
        let attempt = &mut self.attempts[index];
        let has_head = attempt.head.is_some() || self.winner == Some(index);
        match part {
            AnswerPart::Head(_) if has_head => self.reject(now, number, "second head", router, out),
            AnswerPart::Head(head) => attempt.head = Some(head),
            _ if !has_head => self.reject(now, number, "no head", router, out),
            AnswerPart::Data(bytes) => {
                self.select_winner(now, index, router, out);
                self.record_gap(now, index, router);
                self.body_length += bytes.len() as u64;
                out.push(Action::Data(bytes));
            }
            AnswerPart::Done(length) if length == self.body_length => {
                self.select_winner(now, index, router, out);
                self.end_attempt(now, index, Outcome::Done, router);
                self.finish(now, Action::End, router, out);
            }
            AnswerPart::Done(_) => self.reject(now, number, "end at another length", router, out),
        }
    }

    /// Cancels an attempt that broke the protocol; whether it ran is not known.
    fn reject(
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

    /// Makes one attempt the answer, outputs its head and cancels the others.
    fn select_winner(
        &mut self,
        now: Millis,
        index: usize,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        if self.winner.is_some() {
            assert_eq!(self.winner, Some(index), "answers are never mixed");
            return;
        }
        self.winner = Some(index);
        (self.hedge_at, self.retry_at) = (None, None);
        if let Some(call) = self.attempts[index].call {
            router.on_begun(now, call, self.plan.traits.short);
        }
        if let Some(head) = self.attempts[index].head.take() {
            self.head_sent = true;
            out.push(Action::Head(head));
        }
        assert!(self.head_sent, "an answer starts with its head");
        for other in 0..self.attempts.len() {
            if other != index {
                self.cancel_attempt(now, other, router, out);
            }
        }
    }

    /// Reports the time since the last part of the body to the chooser.
    fn record_gap(&mut self, now: Millis, index: usize, router: &mut Router) {
        let attempt = &mut self.attempts[index];
        if let (Some(last_part), Some(call)) = (attempt.last_part, attempt.call) {
            router.chooser.on_gap(call, now.since(last_part).0 as f64);
        }
        attempt.last_part = Some(now);
    }

    /// Returns the index of an attempt that has not ended.
    fn running_index(&self, attempt: u32) -> Option<usize> {
        let index = (attempt as usize).checked_sub(1)?;
        let held = self.attempts.get(index)?;
        (!self.finished && held.call.is_some()).then_some(index)
    }

    /// Returns true when an attempt has not ended.
    fn has_running(&self) -> bool {
        self.attempts.iter().any(|a| a.call.is_some())
    }

    /// Ends an attempt and reports its outcome to the router.
    fn end_attempt(&mut self, now: Millis, index: usize, outcome: Outcome, router: &mut Router) {
        if let Some(call) = self.attempts[index].call.take() {
            router.on_ended(now, call, outcome);
        }
    }

    /// Cancels an attempt if it has not ended.
    fn cancel_attempt(
        &mut self,
        now: Millis,
        index: usize,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        if self.attempts[index].call.is_some() {
            self.end_attempt(now, index, Outcome::Cancelled, router);
            out.push(Action::Cancel {
                attempt: index as u32 + 1,
                upstream: self.attempts[index].upstream,
            });
        }
    }

    /// Keeps the error that says most: the first one of an attempt that may have run,
    /// otherwise the latest refusal.
    fn keep_error(&mut self, error: Error) {
        let held_run = self.error.as_ref().is_some_and(|e| e.run != Run::NotRun);
        if !held_run {
            self.error = Some(error);
        }
    }

    /// Fails the request with the error that was kept.
    fn give_up(&mut self, now: Millis, router: &mut Router, out: &mut Vec<Action<H>>) {
        let mut error = self
            .error
            .take()
            .unwrap_or_else(|| no_upstream_error(now, router));
        if self.may_have_run && error.run == Run::NotRun {
            error.run = Run::Unknown;
        }
        self.fail(now, error, router, out);
    }

    /// Fails the request; the error tells whether any attempt may have run.
    fn fail(
        &mut self,
        now: Millis,
        mut error: Error,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        let running = self.has_running();
        if self.head_sent {
            error.run = Run::Partial;
        } else if running || self.may_have_run {
            error.run = Run::Unknown;
        }
        error.retry.get_or_insert(RETRY_AFTER);
        self.finish(now, Action::Fail(error), router, out);
    }

    /// Cancels the attempts that still run and outputs the last action.
    fn finish(
        &mut self,
        now: Millis,
        last: Action<H>,
        router: &mut Router,
        out: &mut Vec<Action<H>>,
    ) {
        assert!(!self.finished, "a request ends once");
        for index in 0..self.attempts.len() {
            self.cancel_attempt(now, index, router, out);
        }
        self.finished = true;
        (self.hedge_at, self.retry_at) = (None, None);
        out.push(last);
    }
}

fn deadline_error() -> Error {
    Error::new(Code::DeadlineExceeded, "deadline has passed")
}

fn no_upstream_error(now: Millis, router: &Router) -> Error {
    let error = Error::new(Code::NoUpstream, "no upstream takes work");
    match router.chooser.reopens(now) {
        Some(at) if at > now => error.with_retry(at.since(now)),
        _ => error,
    }
}
