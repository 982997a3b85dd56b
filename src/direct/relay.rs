//! Passes the events of a stream on, and goes on elsewhere when it breaks.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use slog::info;
use smol::future::FutureExt;

use crate::direct::entry::Entry;
use crate::direct::job::Job;
use crate::direct::journal::Kind;
use crate::direct::send;
use crate::direct::send::Brought;
use crate::direct::send::Content;
use crate::direct::send::Source;
use crate::direct::send::Tried;
use crate::net::body::BoxBody;
use crate::net::body::BoxError;
use crate::prelude::*;
use crate::route::place::Outcome;
use crate::table::routing::Repeat;

/// Silence after which a stream goes on elsewhere. A pass that reads the
/// longest prompts of several requests stays below it.
const STALL: Duration = Duration::from_millis(900);

/// Time without a new event after which a stream goes on elsewhere, though
/// bytes come. Callers give a stream up after two seconds.
const NO_EVENT: Millis = Millis(2_000);

/// Bytes of events that the caller has already, in a row, after which a stream
/// goes on elsewhere.
const MAX_REPEATED: usize = 1 << 20;

/// Body of an answer that is a stream of events.
///
/// The body owns the stream from the upstream: when the caller leaves, the
/// body is dropped, and with it the connection to the upstream.
pub fn body(entry: Arc<Entry>, job: Job, tried: Tried, source: Source) -> BoxBody {
    let stream = async_stream::stream! {
        let began = entry.node.now();
        let mut relay = Relay { entry, job, tried, last: None, began, passed: began, pause: Millis(0), waiting: None, repeated: 0, over: false };
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
            match relay.read(&mut source).await {
                Ok(true) => {}
                Ok(false) => {
                    relay.ended(source);
                    return;
                }
                Err(error) => match relay.resume(source, error).await {
                    Ok(next) => source = next,
                    Err(error) => {
                        relay.failed(&error);
                        yield Err(BoxError::from(error));
                        return;
                    }
                },
            }
        }
    };
    StreamBody::new(stream).boxed_unsync()
}

struct Relay {
    entry: Arc<Entry>,
    job: Job,
    tried: Tried,
    last: Option<u64>,
    /// When the first event was passed on.
    began: Millis,
    /// When the last event was passed on.
    passed: Millis,
    /// Longest pause between two events.
    pause: Millis,
    /// Since when a new event is read for.
    waiting: Option<Millis>,
    /// Bytes of events that the caller has already, since the last new one.
    repeated: usize,
    /// True once the stream has ended, whole or not.
    over: bool,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.over {
            self.entry.left(&self.job, self.last);
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

    /// Reads more events; false at the end of the stream.
    async fn read(&mut self, source: &mut Source) -> Result<bool> {
        let lost = |detail: String| Error::new(Code::UpstreamLost, detail).with_run(Run::Partial);
        let now = self.entry.node.now();
        let left = self.job.deadline.since(now).duration();
        let waited = now.since(*self.waiting.get_or_insert(now));
        let limit = STALL.min(NO_EVENT.since(waited).duration());
        if self.repeated > MAX_REPEATED {
            return Err(lost("no new event, but old ones".to_string()));
        }
        if source.framer.is_over() {
            return Err(lost("event is too long".to_string()));
        }
        let late = async {
            smol::Timer::after(left.min(limit)).await;
            None
        };
        let reading = async { Some(source.body.frame().await) };
        // Where bytes are always ready, the time must still run out.
        let frame = if left.min(limit).is_zero() {
            None
        } else {
            reading.or(late).await
        };
        match frame {
            None if left <= limit => Err(Error::new(
                Code::DeadlineExceeded,
                "stream is cut at its deadline",
            )),
            None => Err(lost("no event for too long".to_string())),
            Some(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    source.framer.push(data);
                    while let Some(event) = source.framer.next_event() {
                        source.events.push(event);
                    }
                }
                Ok(true)
            }
            Some(Some(Err(error))) => Err(lost(error.to_string())),
            Some(None) if source.framer.rest() > 0 => Err(lost("ended in an event".to_string())),
            Some(None) => Ok(false),
        }
    }

    /// Goes on at another upstream after the last event that the caller has.
    async fn resume(&mut self, source: Source, error: Error) -> Result<Source> {
        let target = source.target;
        let mut flight = source.flight;
        let is_over = error.code == Code::DeadlineExceeded;
        flight.outcome(if is_over {
            Outcome::Dropped
        } else {
            Outcome::Failed
        });
        drop(flight);
        if is_over || self.job.route.repeat != Repeat::Resume {
            return Err(error.with_run(Run::Partial));
        }
        self.entry.lost(&self.job, target);
        self.tried.targets.push(target);
        self.tried.runs += 1;
        if self.tried.runs >= self.job.route.attempts.max(1) {
            return Err(error.with_run(Run::Partial));
        }
        let last = self.last.or(self.job.call.last_event);
        loop {
            let (target, first) = send::choose(&self.entry, &self.job, &mut self.tried)?;
            let now = self.entry.node.now();
            if self.entry.node.journal().admits(now, Kind::Repeated) {
                info!(self.entry.node.journal().log(), "retry: stream goes on elsewhere";
                    "request" => &self.job.call.id, "after" => last,
                    "from" => &source.upstream, "to" => self.entry.upstream(target),
                    "reason" => &error.detail);
            }
            let (entry, job) = (&self.entry, &self.job);
            match send::attempt(entry, job, &mut self.tried, target, first, last).await {
                Brought::Answer(answer) => match answer.content {
                    Content::Stream(next) => {
                        self.reset_wait();
                        return Ok(*next);
                    }
                    Content::Whole(_) => return Err(error.with_run(Run::Partial)),
                },
                Brought::Failure(_) | Brought::Open(_) => {
                    self.tried.runs += 1;
                    if self.tried.runs >= job.route.attempts.max(1) {
                        return Err(error.with_run(Run::Partial));
                    }
                }
                Brought::NotRun { .. } | Brought::Unsent(_) => {}
            }
            self.tried.targets.push(target);
        }
    }

    fn ended(&mut self, mut source: Source) {
        self.over = true;
        source.flight.outcome(Outcome::Done);
        if let Some((client, kept)) = source.kept.take() {
            client.give_back(kept);
        }
        let first = self.began.since(self.job.arrived);
        self.entry
            .streamed(&self.job, &self.tried, first, self.pause);
    }

    fn failed(&mut self, error: &Error) {
        self.over = true;
        self.entry.failed(&self.job, &self.tried, error);
    }
}
