//! Drives one request: carries frames into its state and actions out of it.

use std::collections::VecDeque;

use smol::Task;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::arena::Key;
use crate::entry::Entry;
use crate::entry::attempt::Job;
use crate::entry::pools::PoolState;
use crate::log::Component;
use crate::net::rpc;
use crate::net::rt;
use crate::prelude::*;
use crate::proto;
use crate::proto::frame::Kind as FrameKind;
use crate::route::RequestState;
use crate::route::RequestTraits;
use crate::route::Upstream;
use crate::route::action::Action;
use crate::route::action::AnswerPart;
use crate::route::action::Plan;
use crate::route::upstream::LoadReport;
use crate::table::doc::Repeat;

/// Frames of an attempt that wait here before its stream is held back.
const FRAME_BUFFER: usize = 32;

type BodySender = Sender<Result<Option<Bytes>>>;

/// What the caller gets next.
#[derive(Debug)]
pub enum Step {
    /// Status and headers.
    Head(proto::Head),
    /// Part of the body.
    Data(Bytes),
    /// End of the whole answer.
    End,
    /// The request failed.
    Fail(Error),
}

#[derive(Debug)]
enum Event {
    Frame(u32, proto::Frame),
    Failed(u32, Error),
}

/// One request in progress; dropping it cancels its attempts.
#[derive(Debug)]
pub struct Request {
    entry: Entry,
    job: Arc<Job>,
    ask: RequestTraits,
    flight: RequestState<proto::Head>,
    steps: VecDeque<Step>,
    events: Receiver<Event>,
    sender: Sender<Event>,
    /// Attempts in progress by number; dropping a task closes its stream,
    /// which cancels the work at the agent.
    tasks: IndexMap<u32, Task<()>>,
    caller: Option<BodySender>,
    /// Kept between steps: a new timer for each frame costs a wake-up of the
    /// reactor.
    timer: Option<(Millis, smol::Timer)>,
}

impl Request {
    /// Starts the first attempt.
    pub fn start(entry: Entry, job: Job, ask: RequestTraits) -> Result<Request> {
        let (sender, events) = channel::bounded(FRAME_BUFFER);
        let plan = Plan {
            ask: ask.clone(),
            deadline: job.deadline,
        };
        let mut run = Request {
            flight: RequestState::new(plan),
            entry,
            job: Arc::new(job),
            ask,
            steps: VecDeque::new(),
            events,
            sender,
            tasks: IndexMap::new(),
            caller: None,
            timer: None,
        };
        run.drive(|flight, now, pool, out| flight.start(now, &mut pool.router, out));
        Ok(run)
    }

    /// Notices from now on when the reader of `sender` goes.
    pub fn watch(&mut self, sender: BodySender) {
        self.caller = Some(sender);
    }

    /// Waits for what the caller gets next; after the end it never completes.
    pub async fn step(&mut self) -> Step {
        loop {
            if let Some(step) = self.steps.pop_front() {
                return step;
            }
            if let Ok(event) = self.events.try_recv() {
                self.on_event(event);
                continue;
            }
            let mut timer = self.take_timer();
            let event = async { self.events.recv().await.ok().map(Wake::Event) };
            let late = async {
                (&mut timer.1).await;
                Some(Wake::Timer)
            };
            let caller = self.caller.clone();
            let gone = async move {
                match caller {
                    Some(sender) => sender.closed().await,
                    None => std::future::pending().await,
                }
                Some(Wake::Gone)
            };
            match event.or(late).or(gone).await {
                Some(Wake::Event(event)) => {
                    self.timer = Some(timer);
                    self.on_event(event);
                }
                Some(Wake::Timer) | None => {
                    self.drive(|flight, now, pool, out| flight.tick(now, &mut pool.router, out));
                }
                Some(Wake::Gone) => {
                    self.drive(|flight, now, pool, out| flight.cancel(now, &mut pool.router, out));
                }
            }
        }
    }

    /// The timer for the next wake-up, the one held if its time is still right.
    fn take_timer(&mut self) -> (Millis, smol::Timer) {
        let at = self.flight.wake();
        match self.timer.take() {
            Some(held) if held.0 == at => held,
            _ => {
                let wait = at.since(self.entry.node.clock.now());
                (at, smol::Timer::after(wait.duration()))
            }
        }
    }

    /// Gives a part to the caller, at most until the deadline; true when it has gone.
    pub async fn give(&mut self, sender: &BodySender, item: Result<Option<Bytes>>) -> bool {
        let item = match sender.try_send(item) {
            Ok(()) => return false,
            Err(full) => full.into_inner(),
        };
        let wait = self.job.deadline.since(self.entry.node.clock.now());
        let given = async { sender.send(item).await.is_err() };
        let late = async {
            smol::Timer::after(wait.duration()).await;
            true
        };
        given.or(late).await
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Failed(attempt, error) => self.fail(attempt, error),
            Event::Frame(attempt, frame) => self.on_frame(attempt, frame),
        }
    }

    fn on_frame(&mut self, attempt: u32, frame: proto::Frame) {
        if frame.request != self.job.id || frame.attempt != attempt {
            return self.fail(attempt, invalid("frame of another answer"));
        }
        let mut ran = None;
        let piece = match frame.kind {
            Some(FrameKind::Head(head)) => {
                self.report(attempt, &head);
                AnswerPart::Head(head)
            }
            Some(FrameKind::Data(data)) => AnswerPart::Data(data.into()),
            Some(FrameKind::Done(done)) => {
                ran = Some(done.run_ms);
                AnswerPart::Done(done.length)
            }
            Some(FrameKind::Fail(fail)) => {
                let error = failed(&self.entry, &self.job, attempt, &fail);
                return self.fail(attempt, error);
            }
            None => return self.fail(attempt, invalid("frame without content")),
        };
        let kind = self.job.kind();
        let cost = self.ask.cost;
        let is_done = ran.is_some();
        self.drive(|flight, now, pool, out| {
            let was_finished = flight.is_finished();
            flight.on_frame(now, (attempt, frame.seq), piece, &mut pool.router, out);
            if let Some(ran) = ran
                && flight.is_finished()
                && !was_finished
            {
                pool.costs.learn(kind, ran as f64);
                pool.gate.on_done(cost);
            }
        });
        if is_done && self.flight.is_finished() {
            let node = &self.entry.node;
            node.suspects
                .record_success(node.clock.now(), &self.job.print);
        }
    }

    fn fail(&mut self, attempt: u32, error: Error) {
        slog::debug!(self.entry.node.logger(Component::Route), "attempt failed"; "error" => %error);
        self.tasks.swap_remove(&attempt);
        self.drive(|flight, now, pool, out| {
            if error.code == Code::UpstreamBusy {
                pool.gate.on_busy();
            }
            flight.on_fail(now, attempt, error, &mut pool.router, out);
        });
    }

    /// Takes over the load that came with a head.
    fn report(&self, attempt: u32, head: &proto::Head) {
        let Some(load) = &head.load else {
            return;
        };
        let Some(upstream) = self.flight.upstream(attempt) else {
            return;
        };
        let report = LoadReport {
            running: load.running,
            queued: load.queued,
            taken: Millis(self.entry.node.clock.now().0.saturating_sub(load.age_ms)),
        };
        self.entry.pools.with(&self.job.route.pool, |pool| {
            pool.router.chooser.report(upstream, report);
        });
    }

    /// Runs one event through the state and carries out what it asks for.
    fn drive(
        &mut self,
        work: impl FnOnce(
            &mut RequestState<proto::Head>,
            Millis,
            &mut PoolState,
            &mut Vec<Action<proto::Head>>,
        ),
    ) {
        if self.flight.is_finished() {
            return;
        }
        let now = self.entry.node.clock.now();
        let mut out = Vec::new();
        let flight = &mut self.flight;
        let known = self.entry.pools.with(&self.job.route.pool, |pool| {
            work(flight, now, pool, &mut out);
        });
        if known.is_none() {
            // The tables have dropped the pool, and its state with it.
            let error = Error::new(Code::NoUpstream, "pool is gone").with_run(Run::Unknown);
            self.steps.push_back(Step::Fail(error));
        }
        for action in out {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action<proto::Head>) {
        match action {
            Action::Send {
                attempt,
                upstream,
                remaining,
            } => self.send(attempt, upstream, remaining),
            Action::Cancel { attempt, .. } => {
                self.tasks.swap_remove(&attempt);
            }
            Action::Head(head) => self.steps.push_back(Step::Head(head)),
            Action::Data(bytes) => self.steps.push_back(Step::Data(bytes)),
            Action::End => self.steps.push_back(Step::End),
            Action::Fail(error) => self.steps.push_back(Step::Fail(error)),
        }
    }

    fn send(&mut self, attempt: u32, upstream: Key<Upstream>, remaining: Millis) {
        let entry = self.entry.clone();
        let job = self.job.clone();
        let sender = self.sender.clone();
        let task = rt::spawn(async move {
            if let Err(error) = carry(&entry, &job, (attempt, upstream), remaining, &sender).await {
                let _ = sender.send(Event::Failed(attempt, error)).await;
            }
        });
        self.tasks.insert(attempt, task);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        // Cancelled callers must not leave calls counted as in progress.
        self.drive(|flight, now, pool, out| flight.cancel(now, &mut pool.router, out));
    }
}

enum Wake {
    Event(Event),
    Timer,
    Gone,
}

/// Sends one attempt and passes its frames on until the stream ends.
async fn carry(
    entry: &Entry,
    job: &Job,
    (attempt, upstream): (u32, Key<Upstream>),
    remaining: Millis,
    sender: &Sender<Event>,
) -> Result<()> {
    let message = message(entry, job, attempt, remaining)?;
    let addr = entry
        .pools
        .with(&job.route.pool, |pool| pool.addr(upstream));
    let Some(addr) = addr.flatten() else {
        return Err(Error::new(Code::NoUpstream, "upstream is gone"));
    };
    let mut client = entry.node.channels.agent(addr);
    let reply = client.serve(message).await;
    let mut frames = reply.map_err(|s| unsent(&s))?.into_inner();
    loop {
        match frames.message().await {
            Ok(Some(frame)) => {
                let is_last = matches!(frame.kind, Some(FrameKind::Done(_) | FrameKind::Fail(_)));
                let _ = sender.send(Event::Frame(attempt, frame)).await;
                if is_last {
                    return Ok(());
                }
            }
            Ok(None) => {
                let error = Error::new(Code::UpstreamLost, "answer ended without its last frame");
                return Err(error.with_run(Run::Unknown));
            }
            Err(status) => return Err(rpc::from_status(&status)),
        }
    }
}

/// The error of a call that brought no answer; one that could not connect was not run.
fn unsent(status: &tonic::Status) -> Error {
    let source = std::error::Error::source(status);
    match source.and_then(|s| s.downcast_ref::<Error>()) {
        Some(error) => error.clone(),
        None => rpc::from_status(status),
    }
}

/// The message of one attempt, from the tables in force.
pub fn message(
    entry: &Entry,
    job: &Job,
    attempt: u32,
    remaining: Millis,
) -> Result<proto::ServeRequest> {
    let Some(set) = entry.node.in_force.get() else {
        return Err(Error::new(Code::TablesMissing, "no tables"));
    };
    let Some(pool) = set.pools.pools.get(&job.route.pool) else {
        return Err(Error::new(Code::NoUpstream, job.route.pool.clone()));
    };
    Ok(proto::ServeRequest {
        request: job.id.clone(),
        attempt,
        pool: job.route.pool.clone(),
        model: pool.model.clone(),
        digest: pool.digest.clone(),
        revision: set.stamp.revision,
        organisation: job.organisation.clone(),
        class: job.route.class.as_str().to_string(),
        remaining_ms: remaining.0,
        repeatable: job.route.repeat == Repeat::Safe,
        method: job.method.clone(),
        path: job.path.clone(),
        headers: job.headers.clone(),
        body: job.body.to_vec(),
        ..proto::ServeRequest::default()
    })
}

fn invalid(detail: &str) -> Error {
    Error::new(Code::ProtocolInvalid, detail).with_run(Run::Unknown)
}

/// The error that an agent reports; counts a crash of its engine.
pub fn failed(entry: &Entry, job: &Job, attempt: u32, fail: &proto::Fail) -> Error {
    if fail.crashed {
        let now = entry.node.clock.now();
        entry
            .node
            .suspects
            .record_crash(now, job.print, &job.id, attempt);
    }
    failure(fail)
}

fn failure(fail: &proto::Fail) -> Error {
    let code = Code::from_number(fail.code).unwrap_or(Code::ProtocolInvalid);
    let run = match fail.run() {
        proto::Run::NotRun => Run::NotRun,
        proto::Run::Partial => Run::Partial,
        proto::Run::Unknown => Run::Unknown,
    };
    let error = Error::new(code, fail.detail.clone()).with_run(run);
    match fail.retry_after_ms {
        0 => error,
        after => error.with_retry(Millis(after)),
    }
}
