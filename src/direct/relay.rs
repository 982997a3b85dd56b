//! Passes the events of a stream on to its caller, and resumes the stream at
//! another upstream when the first breaks off or stays silent.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use slog::info;
use smol::future::FutureExt;

use crate::direct::decision_log::Kind;
use crate::direct::entry::Entry;
use crate::direct::forecasts;
use crate::direct::inbound::InboundRequest;
use crate::direct::send;
use crate::direct::send::AnswerContent;
use crate::direct::send::Attempts;
use crate::direct::send::EventStream;
use crate::direct::send::SendOutcome;
use crate::net::body::BoxBody;
use crate::net::body::BoxError;
use crate::prelude::*;
use crate::route::recovery::Outcome;
use crate::route::silence::Silence;
use crate::route::silence::Step;
use crate::route::target::Target;
use crate::table::routing::Repeat;

/// Time for which an upstream may send bytes without completing a new event
/// before it is given up: upstreams send whole events at once.
const NO_EVENT_TIMEOUT: Millis = Millis(2_000);

/// Bytes of events that the caller already has, without a new one between them,
/// after which an upstream is given up.
const MAX_REPEATED_BYTES: usize = 1 << 20;

/// Time in which events are written to the caller before its connection is cut: the HTTP
/// library drops what it still holds when a body fails.
const FLUSH_TIME: Duration = Duration::from_millis(2);

/// Returns the response body that passes on a stream of events.
///
/// The body owns the stream from the upstream: when the caller disconnects, the
/// body is dropped, and with it the connection to the upstream.
pub fn body(
    entry: Arc<Entry>,
    inbound: InboundRequest,
    mut attempts: Attempts,
    stream: EventStream,
) -> BoxBody {
    attempts.targets.push(stream.target);
    let frames = async_stream::stream! {
        let first_at = entry.node.now();
        let mut relay = Relay { entry, inbound, attempts, last_event: None, events: 0, first_at, last_at: first_at, longest_pause: Millis(0), bytes_since: None, repeated_bytes: 0, is_over: false };
        let mut stream = stream;
        loop {
            for event in std::mem::take(&mut stream.events) {
                match relay.check_event(&event) {
                    Ok(true) => {
                        stream.call.record_event();
                        yield Ok(Frame::data(event.bytes))
                    }
                    Ok(false) => {}
                    Err(error) => {
                        relay.fail(&error);
                        smol::Timer::after(FLUSH_TIME).await;
                        yield Err(BoxError::from(error));
                        return;
                    }
                }
            }
            match relay.read_on(stream).await {
                Ok(ReadOutcome::More(next)) => stream = next,
                Ok(ReadOutcome::Ended(stream)) => {
                    relay.finish(stream);
                    return;
                }
                Err(error) => {
                    relay.fail(&error);
                    yield Err(BoxError::from(error));
                    return;
                }
            }
        }
    };
    StreamBody::new(frames).boxed_unsync()
}

/// Result of reading on.
enum ReadOutcome {
    /// Bytes were read from this stream; it may hold new events.
    More(EventStream),
    /// This stream has ended after a whole event.
    Ended(EventStream),
}

impl ReadOutcome {
    fn new(more: bool, stream: EventStream) -> ReadOutcome {
        if more {
            ReadOutcome::More(stream)
        } else {
            ReadOutcome::Ended(stream)
        }
    }
}

/// Result of asking a second upstream while the first is silent.
enum HedgeOutcome {
    /// One of the two goes on.
    Continue(ReadOutcome),
    /// The second brought nothing, and the first is still silent.
    StillSilent(EventStream),
}

/// One caller's stream, across the upstreams that it is read from.
struct Relay {
    entry: Arc<Entry>,
    inbound: InboundRequest,
    attempts: Attempts,
    /// Id of the last event that was passed on.
    last_event: Option<u64>,
    /// Events that were passed on.
    events: u64,
    /// When the first event was passed on.
    first_at: Millis,
    /// When the last new event was passed on.
    last_at: Millis,
    /// Longest time between two events.
    longest_pause: Millis,
    /// When the first bytes after the last new event arrived; none before that.
    bytes_since: Option<Millis>,
    /// Bytes of events that the caller already has, since the last new one.
    repeated_bytes: usize,
    /// True once the end of the stream has been recorded.
    is_over: bool,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            forecasts::learn_stream(&self.entry, &self.inbound, self.events, false);
            self.entry.record_disconnect(&self.inbound, self.last_event);
        }
    }
}

impl Relay {
    /// Returns true for the next event, which is to be passed on, and false for one
    /// that the caller already has; fails when an event is missing between, or when
    /// bytes follow that are no event of the stream, such as an error or a second answer.
    fn check_event(&mut self, event: &crate::net::events::Event) -> Result<bool> {
        let now = self.entry.node.now();
        if let (Some(id), Some(last)) = (event.id, self.last_event)
            && id <= last
        {
            self.repeated_bytes += event.bytes.len();
            return Ok(false);
        }
        if event.id.is_none() && self.last_event.is_some() && !event.is_comment() {
            let error = Error::new(Code::UpstreamLost, "bytes without an id after events");
            return Err(error.with_run(Run::Partial));
        }
        self.longest_pause = self.longest_pause.max(now.since(self.last_at));
        self.last_at = now;
        self.reset_event_limits();
        self.events += u64::from(!event.is_comment());
        let Some(id) = event.id else {
            return Ok(true);
        };
        if let Some(last) = self.last_event
            && id != last + 1
        {
            let detail = format!("event {id} after {last}");
            return Err(Error::new(Code::UpstreamLost, detail).with_run(Run::Partial));
        }
        self.last_event = Some(id);
        Ok(true)
    }

    /// Resets the limits on bytes without a new event.
    fn reset_event_limits(&mut self) {
        self.bytes_since = None;
        self.repeated_bytes = 0;
    }

    /// Returns for how long to read on without a new event; none while no bytes
    /// have come since the last one.
    fn event_time_left(&self, now: Millis) -> Option<Millis> {
        if self.repeated_bytes > MAX_REPEATED_BYTES {
            return Some(Millis(0));
        }
        self.bytes_since
            .map(|at| at.plus(NO_EVENT_TIMEOUT).since(now))
    }

    /// Reads on, from this stream or from another upstream.
    ///
    /// A stream that breaks off is replaced at once. A silent one may still go on,
    /// so it stays open until another upstream has sent an event: nothing is lost
    /// while no other has room, or when the other refuses or fails.
    async fn read_on(&mut self, mut stream: EventStream) -> Result<ReadOutcome> {
        let mut silence = Silence {
            last_read: self.entry.node.now(),
            last_search: None,
            deadline: self.entry.answer_by(&self.inbound),
        };
        loop {
            let can_move = self.inbound.route.repeat == Repeat::Resume
                && self.attempts.runs + 1 < self.inbound.route.max_attempts;
            let now = self.entry.node.now();
            let event_time_left = self.event_time_left(now);
            match silence.step(now, can_move) {
                Step::Abort => {
                    let error = Error::new(Code::DeadlineExceeded, "stream is cut at its deadline");
                    return Err(error.with_run(Run::Partial));
                }
                _ if event_time_left == Some(Millis(0)) => {
                    let error = Error::new(Code::UpstreamLost, "bytes without a new event");
                    return self.replace_broken(stream, error).await;
                }
                Step::Read(span) => {
                    let span = event_time_left.map_or(span, |left| left.min(span));
                    let reading = async { Some(read_events(&mut stream).await) };
                    let timeout = async {
                        smol::Timer::after(span.duration()).await;
                        None
                    };
                    match reading.or(timeout).await {
                        Some(Ok(more)) => {
                            self.bytes_since.get_or_insert(self.entry.node.now());
                            return Ok(ReadOutcome::new(more, stream));
                        }
                        Some(Err(error)) => return self.replace_broken(stream, error).await,
                        None => {}
                    }
                }
                Step::Search => {
                    if let Ok((target, predicted)) =
                        send::choose(&self.entry, &self.inbound, &mut self.attempts)
                    {
                        match self.hedge(stream, target, predicted).await? {
                            HedgeOutcome::Continue(next) => return Ok(next),
                            HedgeOutcome::StillSilent(held) => stream = held,
                        }
                    }
                    silence.last_search = Some(self.entry.node.now());
                }
            }
        }
    }

    /// Closes a stream that has broken off with `error`, and resumes it at another
    /// upstream.
    async fn replace_broken(&mut self, stream: EventStream, error: Error) -> Result<ReadOutcome> {
        let from = close_broken(&self.entry, &self.inbound, stream);
        self.attempts.runs += 1;
        self.resume(&from, error).await.map(ReadOutcome::More)
    }

    /// Sends the request to a second upstream while the silent stream is still
    /// read. The first of the two that brings an event goes on, and the other is
    /// closed.
    async fn hedge(
        &mut self,
        mut stream: EventStream,
        target: Key<Target>,
        predicted: f64,
    ) -> Result<HedgeOutcome> {
        let resume_after = self.last_event.or(self.inbound.call.last_event);
        self.attempts.targets.push(target);
        // Both may run the request from here on: one of them counts as a run that is
        // over, the other goes on.
        self.attempts.runs += 1;
        let (outcome, held) = {
            let (entry, inbound) = (&self.entry, &self.inbound);
            let other = send::attempt(
                entry,
                inbound,
                &mut self.attempts,
                target,
                predicted,
                resume_after,
            );
            let mut other = std::pin::pin!(other);
            // Bytes without a whole event do not show that the stream goes on.
            let reading = async {
                loop {
                    let outcome = read_events(&mut stream).await;
                    if !matches!(outcome, Ok(true)) || !stream.events.is_empty() {
                        return Err(outcome);
                    }
                }
            };
            let next = async { Ok(other.as_mut().await) };
            match reading.or(next).await {
                Ok(outcome) => (outcome, Ok(stream)),
                Err(Ok(more)) => return Ok(HedgeOutcome::Continue(ReadOutcome::new(more, stream))),
                Err(Err(error)) => {
                    let from = close_broken(entry, inbound, stream);
                    (other.await, Err((from, error)))
                }
            }
        };
        let ran = match outcome {
            SendOutcome::Answer(answer) => match answer.content {
                AnswerContent::Stream(next) => {
                    match held {
                        Ok(mut stream) => {
                            stream.call.set_outcome(Outcome::Failed);
                            self.log_move(&stream.upstream, target, "silent");
                        }
                        Err((from, error)) => self.log_move(&from, target, &error.detail),
                    }
                    self.reset_event_limits();
                    return Ok(HedgeOutcome::Continue(ReadOutcome::More(*next)));
                }
                AnswerContent::Whole(_) => true,
            },
            SendOutcome::Failure(_) | SendOutcome::Unknown(_) => true,
            SendOutcome::NotRun { .. } | SendOutcome::Unsent(_) => false,
        };
        match held {
            Ok(stream) => {
                self.attempts.runs -= u32::from(!ran);
                Ok(HedgeOutcome::StillSilent(stream))
            }
            Err((from, error)) => {
                self.attempts.runs += u32::from(ran);
                let next = self.resume(&from, error).await?;
                Ok(HedgeOutcome::Continue(ReadOutcome::More(next)))
            }
        }
    }

    /// Resumes the stream at another upstream, after the last event that the caller
    /// has. `from` is the upstream that broke off with `error`; that error is
    /// returned when no further attempt is allowed.
    async fn resume(&mut self, from: &str, error: Error) -> Result<EventStream> {
        if self.inbound.route.repeat != Repeat::Resume
            || self.attempts.runs >= self.inbound.route.max_attempts.max(1)
        {
            return Err(error.with_run(Run::Partial));
        }
        let resume_after = self.last_event.or(self.inbound.call.last_event);
        loop {
            let (target, predicted) = send::choose(&self.entry, &self.inbound, &mut self.attempts)?;
            self.log_move(from, target, &error.detail);
            let (entry, inbound) = (&self.entry, &self.inbound);
            match send::attempt(
                entry,
                inbound,
                &mut self.attempts,
                target,
                predicted,
                resume_after,
            )
            .await
            {
                SendOutcome::Answer(answer) => match answer.content {
                    AnswerContent::Stream(next) => {
                        self.attempts.targets.push(target);
                        self.reset_event_limits();
                        return Ok(*next);
                    }
                    AnswerContent::Whole(_) => return Err(error.with_run(Run::Partial)),
                },
                SendOutcome::Failure(_) | SendOutcome::Unknown(_) => {
                    self.attempts.runs += 1;
                    if self.attempts.runs >= inbound.route.max_attempts.max(1) {
                        return Err(error.with_run(Run::Partial));
                    }
                }
                SendOutcome::NotRun { .. } | SendOutcome::Unsent(_) => {}
            }
            self.attempts.targets.push(target);
        }
    }

    /// Logs that the stream goes on at another upstream.
    fn log_move(&self, from: &str, target: Key<Target>, reason: &str) {
        let now = self.entry.node.now();
        if !self.entry.node.log().admits(now, Kind::Repeated) {
            return;
        }
        info!(self.entry.node.log().logger(), "retry: stream goes on elsewhere";
            "request" => &self.inbound.call.id, "after" => self.last_event.or(self.inbound.call.last_event),
            "from" => from, "to" => self.entry.upstream_id(target), "reason" => reason);
    }

    /// Records a stream that has ended whole and keeps its connection.
    fn finish(&mut self, mut stream: EventStream) {
        self.is_over = true;
        stream.call.set_outcome(Outcome::Done);
        if let Some((client, kept)) = stream.connection.take() {
            client.give_back(kept);
        }
        forecasts::learn_stream(&self.entry, &self.inbound, self.events, true);
        let first = self.first_at.since(self.inbound.arrived);
        self.entry
            .record_stream(&self.inbound, &self.attempts, first, self.longest_pause);
    }

    /// Records a stream that ends with an error.
    fn fail(&mut self, error: &Error) {
        self.is_over = true;
        forecasts::learn_stream(&self.entry, &self.inbound, self.events, false);
        self.entry
            .record_failure(&self.inbound, &self.attempts, error);
    }
}

/// Reads from a stream into its pending events; returns false at its end. Fails
/// when it breaks off, ends inside an event, or an event is too long.
async fn read_events(stream: &mut EventStream) -> Result<bool> {
    let lost = |detail: String| Error::new(Code::UpstreamLost, detail).with_run(Run::Partial);
    if stream.framer.is_too_long() {
        return Err(lost("event is too long".to_string()));
    }
    match stream.body.frame().await {
        Some(Ok(frame)) => {
            if let Some(data) = frame.data_ref() {
                stream.framer.push(data);
                while let Some(event) = stream.framer.next_event() {
                    stream.events.push(event);
                }
            }
            Ok(true)
        }
        Some(Err(error)) => Err(lost(error.to_string())),
        None if stream.framer.partial_len() > 0 => {
            Err(lost("stream ended inside an event".to_string()))
        }
        None => Ok(false),
    }
}

/// Closes a stream that broke off and returns the id of its upstream.
///
/// The loss is recorded, as a lost connection may come from a crash of the
/// upstream; silence does not.
fn close_broken(entry: &Entry, inbound: &InboundRequest, stream: EventStream) -> String {
    let EventStream {
        mut call,
        target,
        upstream,
        ..
    } = stream;
    call.set_outcome(Outcome::Failed);
    entry.record_lost(inbound, target, &call);
    drop(call);
    upstream
}
