//! Passes the events of a stream on, and goes on elsewhere when it breaks or
//! stays silent.

use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use slog::info;
use smol::future::FutureExt;

use crate::direct::decision_log::Kind;
use crate::direct::entry::Entry;
use crate::direct::inbound::InboundRequest;
use crate::direct::send;
use crate::direct::send::Brought;
use crate::direct::send::Content;
use crate::direct::send::Source;
use crate::direct::send::Tried;
use crate::net::body::BoxBody;
use crate::net::body::BoxError;
use crate::prelude::*;
use crate::route::placement::Outcome;
use crate::route::placement::Target;
use crate::route::silence::Silence;
use crate::route::silence::Step;
use crate::table::routing::Repeat;

/// Time in which bytes that bring no new event end a stream: an upstream sends
/// its events whole, so what comes slowly is none.
const NO_EVENT: Millis = Millis(2_000);

/// Bytes of events that the caller has already, in a row, that end a stream.
const MAX_REPEATED: usize = 1 << 20;

/// Body of an answer that is a stream of events.
///
/// The body owns the stream from the upstream: when the caller leaves, the
/// body is dropped, and with it the connection to the upstream.
pub fn body(
    entry: Arc<Entry>,
    inbound: InboundRequest,
    mut tried: Tried,
    source: Source,
) -> BoxBody {
    tried.targets.push(source.target);
    let stream = async_stream::stream! {
        let began = entry.node.now();
        let mut relay = Relay { entry, inbound, tried, last: None, began, passed: began, pause: Millis(0), waiting: None, repeated: 0, over: false };
        let mut source = source;
        loop {
            for event in std::mem::take(&mut source.events) {
                match relay.check(&event) {
                    Ok(true) => yield Ok(Frame::data(event.bytes)),
                    Ok(false) => {}
                    Err(error) => {
                        relay.failed(&error);
                        yield Err(BoxError::from(error));
                        return;
                    }
                }
            }
            match relay.next(source).await {
                Ok(Next::More(next)) => source = next,
                Ok(Next::Ended(source)) => {
                    relay.ended(source);
                    return;
                }
                Err(error) => {
                    relay.failed(&error);
                    yield Err(BoxError::from(error));
                    return;
                }
            }
        }
    };
    StreamBody::new(stream).boxed_unsync()
}

/// How a stream goes on.
enum Next {
    /// More was read, of this source.
    More(Source),
    /// This source has ended whole.
    Ended(Source),
}

impl Next {
    fn new(more: bool, source: Source) -> Next {
        if more {
            Next::More(source)
        } else {
            Next::Ended(source)
        }
    }
}

/// What came of asking another upstream beside a silent one.
enum Beside {
    /// The stream goes on.
    Next(Next),
    /// The other brought nothing; the first is still silent.
    Silent(Source),
}

struct Relay {
    entry: Arc<Entry>,
    inbound: InboundRequest,
    tried: Tried,
    last: Option<u64>,
    /// When the first event was passed on.
    began: Millis,
    /// When the last event was passed on.
    passed: Millis,
    /// Longest pause between two events.
    pause: Millis,
    /// When the first bytes came after the last new event.
    waiting: Option<Millis>,
    /// Bytes of events that the caller has already, since the last new one.
    repeated: usize,
    /// True once the stream has ended, whole or not.
    over: bool,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.over {
            self.entry.left(&self.inbound, self.last);
        }
    }
}

impl Relay {
    /// True when the event is the next one; false when the caller has it already.
    fn check(&mut self, event: &crate::net::events::Event) -> Result<bool> {
        let now = self.entry.node.now();
        if let (Some(id), Some(last)) = (event.id, self.last)
            && id <= last
        {
            self.repeated += event.bytes.len();
            return Ok(false);
        }
        self.pause = self.pause.max(now.since(self.passed));
        self.passed = now;
        self.reset_wait();
        let Some(id) = event.id else {
            return Ok(true);
        };
        if let Some(last) = self.last
            && id != last + 1
        {
            let detail = format!("event {id} after {last}");
            return Err(Error::new(Code::UpstreamLost, detail).with_run(Run::Partial));
        }
        self.last = Some(id);
        Ok(true)
    }

    /// Starts to wait for a new event anew.
    fn reset_wait(&mut self) {
        self.waiting = None;
        self.repeated = 0;
    }

    /// Time for which bytes without a new event are still read; none without such bytes.
    fn event_left(&self, now: Millis) -> Option<Millis> {
        if self.repeated > MAX_REPEATED {
            return Some(Millis(0));
        }
        self.waiting.map(|at| at.plus(NO_EVENT).since(now))
    }

    /// Reads on, here or elsewhere.
    ///
    /// A source that breaks off is left at once. A silent one may still work,
    /// so it stays open until another upstream has brought an event: while no
    /// other has a place, and when the other refuses or fails, nothing is lost.
    async fn next(&mut self, mut source: Source) -> Result<Next> {
        let mut silence = Silence {
            heard: self.entry.node.now(),
            sought: None,
            deadline: self.inbound.deadline,
        };
        loop {
            let movable = self.inbound.route.repeat == Repeat::Resume
                && self.tried.runs + 1 < self.inbound.route.max_attempts;
            let now = self.entry.node.now();
            let event_left = self.event_left(now);
            match silence.step(now, movable) {
                Step::Cut => {
                    let error = Error::new(Code::DeadlineExceeded, "stream is cut at its deadline");
                    return Err(error.with_run(Run::Partial));
                }
                _ if event_left == Some(Millis(0)) => {
                    let error = Error::new(Code::UpstreamLost, "bytes without a new event");
                    return self.replace(source, error).await;
                }
                Step::Read(span) => {
                    let span = event_left.map_or(span, |left| left.min(span));
                    let own = async { Some(read(&mut source).await) };
                    let silent = async {
                        smol::Timer::after(span.duration()).await;
                        None
                    };
                    match own.or(silent).await {
                        Some(Ok(more)) => {
                            self.waiting.get_or_insert(self.entry.node.now());
                            return Ok(Next::new(more, source));
                        }
                        Some(Err(error)) => return self.replace(source, error).await,
                        None => {}
                    }
                }
                Step::Seek => {
                    if let Ok((target, first)) =
                        send::choose(&self.entry, &self.inbound, &mut self.tried)
                    {
                        match self.beside(source, target, first).await? {
                            Beside::Next(next) => return Ok(next),
                            Beside::Silent(held) => source = held,
                        }
                    }
                    silence.sought = Some(self.entry.node.now());
                }
            }
        }
    }

    /// Leaves a source that has broken off, and goes on elsewhere.
    async fn replace(&mut self, source: Source, error: Error) -> Result<Next> {
        let from = broke(&self.entry, &self.inbound, source);
        self.tried.runs += 1;
        self.resume(&from, error).await.map(Next::More)
    }

    /// Asks another upstream while the silent source is still read; the first
    /// that brings an event goes on, and the other is closed.
    async fn beside(
        &mut self,
        mut source: Source,
        target: Key<Target>,
        first: f64,
    ) -> Result<Beside> {
        let last = self.last.or(self.inbound.call.last_event);
        self.tried.targets.push(target);
        // Both may run from here on, and one of them goes on.
        self.tried.runs += 1;
        let (brought, held) = {
            let (entry, inbound) = (&self.entry, &self.inbound);
            let other = send::attempt(entry, inbound, &mut self.tried, target, first, last);
            let mut other = std::pin::pin!(other);
            // A part of an event is no sign that the rest will come.
            let own = async {
                loop {
                    let read = read(&mut source).await;
                    if !matches!(read, Ok(true)) || !source.events.is_empty() {
                        return Err(read);
                    }
                }
            };
            let next = async { Ok(other.as_mut().await) };
            match own.or(next).await {
                Ok(brought) => (brought, Ok(source)),
                Err(Ok(more)) => return Ok(Beside::Next(Next::new(more, source))),
                Err(Err(error)) => {
                    let from = broke(entry, inbound, source);
                    (other.await, Err((from, error)))
                }
            }
        };
        let ran = match brought {
            Brought::Answer(answer) => match answer.content {
                Content::Stream(next) => {
                    match held {
                        Ok(mut source) => {
                            source.flight.outcome(Outcome::Failed);
                            self.moved(&source.upstream, target, "silent");
                        }
                        Err((from, error)) => self.moved(&from, target, &error.detail),
                    }
                    self.reset_wait();
                    return Ok(Beside::Next(Next::More(*next)));
                }
                Content::Whole(_) => true,
            },
            Brought::Failure(_) | Brought::Open(_) => true,
            Brought::NotRun { .. } | Brought::Unsent(_) => false,
        };
        match held {
            Ok(source) => {
                self.tried.runs -= u32::from(!ran);
                Ok(Beside::Silent(source))
            }
            Err((from, error)) => {
                self.tried.runs += u32::from(ran);
                let next = self.resume(&from, error).await?;
                Ok(Beside::Next(Next::More(next)))
            }
        }
    }

    /// Goes on at another upstream after the last event that the caller has;
    /// `from` has broken off.
    async fn resume(&mut self, from: &str, error: Error) -> Result<Source> {
        if self.inbound.route.repeat != Repeat::Resume
            || self.tried.runs >= self.inbound.route.max_attempts.max(1)
        {
            return Err(error.with_run(Run::Partial));
        }
        let last = self.last.or(self.inbound.call.last_event);
        loop {
            let (target, first) = send::choose(&self.entry, &self.inbound, &mut self.tried)?;
            self.moved(from, target, &error.detail);
            let (entry, inbound) = (&self.entry, &self.inbound);
            match send::attempt(entry, inbound, &mut self.tried, target, first, last).await {
                Brought::Answer(answer) => match answer.content {
                    Content::Stream(next) => {
                        self.tried.targets.push(target);
                        self.reset_wait();
                        return Ok(*next);
                    }
                    Content::Whole(_) => return Err(error.with_run(Run::Partial)),
                },
                Brought::Failure(_) | Brought::Open(_) => {
                    self.tried.runs += 1;
                    if self.tried.runs >= inbound.route.max_attempts.max(1) {
                        return Err(error.with_run(Run::Partial));
                    }
                }
                Brought::NotRun { .. } | Brought::Unsent(_) => {}
            }
            self.tried.targets.push(target);
        }
    }

    fn moved(&self, from: &str, target: Key<Target>, reason: &str) {
        let now = self.entry.node.now();
        if !self.entry.node.log().admits(now, Kind::Repeated) {
            return;
        }
        info!(self.entry.node.log().logger(), "retry: stream goes on elsewhere";
            "request" => &self.inbound.call.id, "after" => self.last.or(self.inbound.call.last_event),
            "from" => from, "to" => self.entry.upstream(target), "reason" => reason);
    }

    fn ended(&mut self, mut source: Source) {
        self.over = true;
        source.flight.outcome(Outcome::Done);
        if let Some((client, kept)) = source.kept.take() {
            client.give_back(kept);
        }
        let first = self.began.since(self.inbound.arrived);
        self.entry
            .streamed(&self.inbound, &self.tried, first, self.pause);
    }

    fn failed(&mut self, error: &Error) {
        self.over = true;
        self.entry.failed(&self.inbound, &self.tried, error);
    }
}

/// Reads more events; false at the end of the stream.
async fn read(source: &mut Source) -> Result<bool> {
    let lost = |detail: String| Error::new(Code::UpstreamLost, detail).with_run(Run::Partial);
    if source.framer.is_over() {
        return Err(lost("event is too long".to_string()));
    }
    match source.body.frame().await {
        Some(Ok(frame)) => {
            if let Some(data) = frame.data_ref() {
                source.framer.push(data);
                while let Some(event) = source.framer.next_event() {
                    source.events.push(event);
                }
            }
            Ok(true)
        }
        Some(Err(error)) => Err(lost(error.to_string())),
        None if source.framer.rest() > 0 => Err(lost("ended in an event".to_string())),
        None => Ok(false),
    }
}

/// Closes a source that broke off; gives the name of its upstream.
///
/// A lost connection may be a crash, which silence is not.
fn broke(entry: &Entry, inbound: &InboundRequest, source: Source) -> String {
    let Source {
        mut flight,
        target,
        upstream,
        ..
    } = source;
    flight.outcome(Outcome::Failed);
    drop(flight);
    if inbound.route.repeat == Repeat::Resume {
        entry.lost(inbound, target);
    }
    upstream
}
