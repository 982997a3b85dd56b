//! Runs the attempts of one request: feeds frames of agents into the decision state and
//! carries out the actions that it returns.

use std::collections::VecDeque;

use smol::Task;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::arena::Key;
use crate::entry::Entry;
use crate::entry::forward::CallerRequest;
use crate::entry::pools::PoolState;
use crate::log::Component;
use crate::net::memory::Use;
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

/// Frames of agents that are buffered before their streams are paused.
const FRAME_BUFFER: usize = 32;

/// Channel to the body of the caller's answer; none ends it cleanly, an error breaks it off.
type BodySender = Sender<Result<Option<Bytes>>>;

/// Part of the answer to the caller, in order.
#[derive(Debug)]
pub enum ReplyPart {
    /// Status and headers.
    Head(proto::Head),
    /// Part of the body.
    Data(Bytes),
    /// End of a complete answer.
    End,
    /// The request failed; nothing follows.
    Fail(Error),
}

/// What the task of an attempt reports.
#[derive(Debug)]
enum Event {
    /// A frame of the attempt with this number.
    Frame(u32, proto::Frame),
    /// The attempt with this number ended without its last frame.
    Failed(u32, Error),
}

/// An attempt at an upstream.
#[derive(Debug)]
struct Running {
    upstream: Key<Upstream>,
    /// True once data of the answer has come.
    has_data: bool,
}

/// A request in progress; dropping it cancels its attempts.
#[derive(Debug)]
pub struct RunningRequest {
    entry: Entry,
    request: Arc<CallerRequest>,
    traits: RequestTraits,
    state: RequestState<proto::Head>,
    /// Parts of the answer that the caller has not got yet.
    parts: VecDeque<ReplyPart>,
    /// What the tasks of the attempts report.
    events: Receiver<Event>,
    sender: Sender<Event>,
    /// Attempts in progress by number. Dropping a task closes its stream, which cancels
    /// the attempt at the agent.
    tasks: IndexMap<u32, Task<()>>,
    /// Upstreams of the attempts, by number.
    running: IndexMap<u32, Running>,
    /// Channel to the caller, once the head has been sent; closed when the caller leaves.
    caller: Option<BodySender>,
    /// Timer and its time, kept between calls: setting a new timer for each frame wakes
    /// the reactor each time.
    timer: Option<(Millis, smol::Timer)>,
}

impl RunningRequest {
    /// Starts the first attempt of `request`.
    pub fn start(
        entry: Entry,
        request: CallerRequest,
        traits: RequestTraits,
    ) -> Result<RunningRequest> {
        let (sender, events) = channel::bounded(FRAME_BUFFER);
        let plan = Plan {
            traits: traits.clone(),
            deadline: request.deadline,
        };
        let mut started = RunningRequest {
            state: RequestState::new(plan),
            entry,
            request: Arc::new(request),
            traits,
            parts: VecDeque::new(),
            events,
            sender,
            tasks: IndexMap::new(),
            running: IndexMap::new(),
            caller: None,
            timer: None,
        };
        started.drive(|state, now, pool, out| state.start(now, &mut pool.router, out));
        Ok(started)
    }

    /// Cancels the request when the receiver of `sender` is dropped.
    pub fn watch_caller(&mut self, sender: BodySender) {
        self.caller = Some(sender);
    }

    /// Waits for the next part of the answer; never returns after the last one.
    pub async fn next_part(&mut self) -> ReplyPart {
        loop {
            if let Some(part) = self.parts.pop_front() {
                return part;
            }
            if let Ok(event) = self.events.try_recv() {
                self.on_event(event);
                continue;
            }
            let mut timer = self.next_timer();
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
                Some(Wake::CallerGone)
            };
            match event.or(late).or(gone).await {
                Some(Wake::Event(event)) => {
                    self.timer = Some(timer);
                    self.on_event(event);
                }
                Some(Wake::Timer) | None => {
                    self.drive(|state, now, pool, out| state.tick(now, &mut pool.router, out));
                }
                Some(Wake::CallerGone) => {
                    self.drive(|state, now, pool, out| state.cancel(now, &mut pool.router, out));
                }
            }
        }
    }

    /// Returns the timer for the next wake-up, which is the kept one if its time has not changed.
    fn next_timer(&mut self) -> (Millis, smol::Timer) {
        let at = self.state.next_tick();
        match self.timer.take() {
            Some(held) if held.0 == at => held,
            _ => {
                let wait = at.since(self.entry.node.clock.now());
                (at, smol::Timer::after(wait.duration()))
            }
        }
    }

    /// Sends a part to the caller, waiting at most until the deadline.
    ///
    /// Returns true when the caller has gone or the deadline has passed.
    pub async fn send_part(&mut self, sender: &BodySender, part: Result<Option<Bytes>>) -> bool {
        let part = match sender.try_send(part) {
            Ok(()) => return false,
            Err(full) => full.into_inner(),
        };
        let wait = self.request.deadline.since(self.entry.node.clock.now());
        // A caller that reads too slowly may be closed to make room for others.
        self.request.memory.set_use(Use::Answer);
        let sent = async { sender.send(part).await.is_err() };
        let late = async {
            smol::Timer::after(wait.duration()).await;
            true
        };
        let is_gone = sent.or(late).await;
        self.request.memory.set_use(Use::Running);
        is_gone
    }

    /// Handles a frame or the loss of an attempt.
    fn on_event(&mut self, event: Event) {
        match event {
            Event::Failed(attempt, error) => self.fail(attempt, error),
            Event::Frame(attempt, frame) => self.on_frame(attempt, frame),
        }
    }

    /// Passes a frame to the decision state, and learns from an answer that it completes.
    fn on_frame(&mut self, attempt: u32, frame: proto::Frame) {
        if frame.request != self.request.id || frame.attempt != attempt {
            return self.fail(
                attempt,
                protocol_error("frame of another request or attempt"),
            );
        }
        let mut run_ms = None;
        let part = match frame.kind {
            Some(FrameKind::Head(head)) => {
                self.record_load(attempt, &head);
                AnswerPart::Head(head)
            }
            Some(FrameKind::Data(data)) => {
                self.record_data(attempt);
                AnswerPart::Data(data.into())
            }
            Some(FrameKind::Done(done)) => {
                run_ms = Some(done.run_ms);
                AnswerPart::Done(done.length)
            }
            Some(FrameKind::Fail(fail)) => {
                if fail.crashed {
                    self.record_running_crash(attempt);
                }
                let error = agent_error(&self.entry, &self.request, attempt, &fail);
                return self.fail(attempt, error);
            }
            None => return self.fail(attempt, protocol_error("frame without content")),
        };
        let kind = self.request.kind();
        let cost = self.traits.cost;
        let is_done = run_ms.is_some();
        self.drive(|state, now, pool, out| {
            let was_finished = state.is_finished();
            state.on_frame(now, (attempt, frame.seq), part, &mut pool.router, out);
            if let Some(run_ms) = run_ms
                && state.is_finished()
                && !was_finished
            {
                pool.costs.learn(kind, run_ms as f64);
                pool.overload.on_done(cost);
            }
        });
        if is_done && self.state.is_finished() {
            let node = &self.entry.node;
            let now = node.clock.now();
            node.suspects.record_success(now, &self.request.fingerprint);
            node.suspects.record_finish(now, &self.request.signatures);
        }
    }

    /// Records that the upstream of an attempt has begun the answer.
    fn record_data(&mut self, attempt: u32) {
        let running = self.running.get_mut(&attempt);
        if running.is_some_and(|r| !std::mem::replace(&mut r.has_data, true)) {
            let now = self.entry.node.clock.now();
            let suspects = &self.entry.node.suspects;
            suspects.record_data(now, &self.request.signatures);
        }
    }

    /// Records that the upstream of an attempt has crashed.
    fn record_running_crash(&mut self, attempt: u32) {
        let Some(Running { upstream, has_data }) = self.running.swap_remove(&attempt) else {
            return;
        };
        let pool = &self.request.route.pool;
        let addr = self.entry.pools.with_pool(pool, |pool| pool.addr(upstream));
        let Some(addr) = addr.flatten() else {
            // The tables no longer list it.
            return;
        };
        let (now, addr) = (self.entry.node.clock.now(), addr.to_string());
        let suspects = &self.entry.node.suspects;
        suspects.record_running_crash(now, &addr, &self.request.signatures, has_data);
    }

    /// Passes the failure of an attempt to the decision state.
    fn fail(&mut self, attempt: u32, error: Error) {
        slog::debug!(self.entry.node.logger(Component::Route), "attempt failed"; "error" => %error);
        self.tasks.swap_remove(&attempt);
        self.drive(|state, now, pool, out| {
            if error.code == Code::UpstreamBusy {
                pool.overload.on_busy();
            }
            state.on_fail(now, attempt, error, &mut pool.router, out);
        });
    }

    /// Records the agent's load that came with the head of an answer.
    fn record_load(&self, attempt: u32, head: &proto::Head) {
        let Some(load) = &head.load else {
            return;
        };
        let Some(upstream) = self.state.upstream(attempt) else {
            return;
        };
        let report = LoadReport {
            running: load.running,
            queued: load.queued,
            measured_at: Millis(self.entry.node.clock.now().0.saturating_sub(load.age_ms)),
        };
        self.entry
            .pools
            .with_pool(&self.request.route.pool, |pool| {
                pool.router.chooser.on_report(upstream, report);
            });
    }

    /// Runs `work` on the decision state and the pool, and carries out the resulting actions.
    ///
    /// Does nothing once the request has finished.
    fn drive(
        &mut self,
        work: impl FnOnce(
            &mut RequestState<proto::Head>,
            Millis,
            &mut PoolState,
            &mut Vec<Action<proto::Head>>,
        ),
    ) {
        if self.state.is_finished() {
            return;
        }
        let now = self.entry.node.clock.now();
        let mut out = Vec::new();
        let state = &mut self.state;
        let known = self
            .entry
            .pools
            .with_pool(&self.request.route.pool, |pool| {
                work(state, now, pool, &mut out);
            });
        if known.is_none() {
            // The tables no longer list the pool, so its state was dropped.
            let error = Error::new(Code::NoUpstream, "the tables no longer list the pool")
                .with_run(Run::Unknown);
            self.parts.push_back(ReplyPart::Fail(error));
        }
        for action in out {
            self.carry_out(action);
        }
    }

    /// Carries out one action.
    fn carry_out(&mut self, action: Action<proto::Head>) {
        match action {
            Action::Send {
                attempt,
                upstream,
                remaining,
            } => self.start_attempt(attempt, upstream, remaining),
            Action::Cancel { attempt, .. } => {
                self.tasks.swap_remove(&attempt);
            }
            Action::Head(head) => self.parts.push_back(ReplyPart::Head(head)),
            Action::Data(bytes) => self.parts.push_back(ReplyPart::Data(bytes)),
            Action::End => self.parts.push_back(ReplyPart::End),
            Action::Fail(error) => self.parts.push_back(ReplyPart::Fail(error)),
        }
    }

    /// Starts an attempt at `upstream`.
    fn start_attempt(&mut self, attempt: u32, upstream: Key<Upstream>, remaining: Millis) {
        let entry = self.entry.clone();
        let request = self.request.clone();
        let sender = self.sender.clone();
        let task = rt::spawn(async move {
            if let Err(error) =
                send_attempt(&entry, &request, (attempt, upstream), remaining, &sender).await
            {
                let _ = sender.send(Event::Failed(attempt, error)).await;
            }
        });
        self.tasks.insert(attempt, task);
        let running = Running {
            upstream,
            has_data: false,
        };
        self.running.insert(attempt, running);
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        // Calls of a request that was given up must not stay counted as in progress.
        self.drive(|state, now, pool, out| state.cancel(now, &mut pool.router, out));
    }
}

/// Why a wait for the next part ended.
enum Wake {
    /// An attempt sent a frame or failed.
    Event(Event),
    /// The next wake-up of the decision state is due.
    Timer,
    /// The caller has closed its connection.
    CallerGone,
}

/// Sends one attempt to its agent and forwards the frames of the answer until the last.
async fn send_attempt(
    entry: &Entry,
    request: &CallerRequest,
    (attempt, upstream): (u32, Key<Upstream>),
    remaining: Millis,
    sender: &Sender<Event>,
) -> Result<()> {
    let message = serve_message(entry, request, attempt, remaining)?;
    let addr = entry
        .pools
        .with_pool(&request.route.pool, |pool| pool.addr(upstream));
    let Some(addr) = addr.flatten() else {
        return Err(Error::new(
            Code::NoUpstream,
            "the tables no longer list the upstream",
        ));
    };
    let mut client = entry.node.channels.agent(addr);
    let reply = client.serve(message).await;
    let mut frames = reply.map_err(|s| call_error(&s))?.into_inner();
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

/// The error of a call without an answer.
///
/// A status that was made because there was no connection wraps the error itself, which
/// says that the call was not run.
fn call_error(status: &tonic::Status) -> Error {
    let source = std::error::Error::source(status);
    match source.and_then(|s| s.downcast_ref::<Error>()) {
        Some(error) => error.clone(),
        None => rpc::from_status(status),
    }
}

/// Builds the message of one attempt from the tables in force.
pub fn serve_message(
    entry: &Entry,
    request: &CallerRequest,
    attempt: u32,
    remaining: Millis,
) -> Result<proto::ServeRequest> {
    let Some(set) = entry.node.in_force.get() else {
        return Err(Error::new(Code::TablesMissing, "the entry has no tables"));
    };
    let Some(pool) = set.pools.pools.get(&request.route.pool) else {
        return Err(Error::new(Code::NoUpstream, request.route.pool.clone()));
    };
    Ok(proto::ServeRequest {
        request: request.id.clone(),
        attempt,
        pool: request.route.pool.clone(),
        model: pool.model.clone(),
        digest: pool.digest.clone(),
        revision: set.stamp.revision,
        organisation: request.organisation.clone(),
        class: request.route.class.as_str().to_string(),
        remaining_ms: remaining.0,
        repeatable: request.route.repeat == Repeat::Safe,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.to_vec(),
        ..proto::ServeRequest::default()
    })
}

/// An error for an answer that breaks the protocol; whether the call ran is unknown.
fn protocol_error(detail: &str) -> Error {
    Error::new(Code::ProtocolInvalid, detail).with_run(Run::Unknown)
}

/// Converts the error that an agent reports, and counts a crash that it reports.
pub fn agent_error(
    entry: &Entry,
    request: &CallerRequest,
    attempt: u32,
    fail: &proto::Fail,
) -> Error {
    if fail.crashed {
        let now = entry.node.clock.now();
        entry
            .node
            .suspects
            .record_crash(now, request.fingerprint, &request.id, attempt);
    }
    error_from_proto(fail)
}

fn error_from_proto(fail: &proto::Fail) -> Error {
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
