//! Bodies of HTTP messages: held whole, streamed from a channel, or read up to a limit.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use smol::channel::Receiver;
use smol::future::FutureExt;
use smol::stream::Stream;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::net::memory::SMALL;
use crate::net::memory::Use;
use crate::net::reserve::Hold;

/// Error of reading a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of any type.
pub type BoxBody = UnsyncBoxBody<Bytes, BoxError>;

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> BoxBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Body whose frames come from a channel; `Ok(None)` ends it.
///
/// A channel that closes without `Ok(None)` aborts the body, so that the receiver of
/// the message does not take it for complete when the sending task has been lost.
struct Channel {
    receiver: Pin<Box<Receiver<Result<Option<Bytes>>>>>,
    has_ended: bool,
}

impl Body for Channel {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BoxError>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let item = match self.receiver.as_mut().poll_next(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(item) => item,
        };
        match item {
            Some(Ok(Some(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Ok(None)) => {
                self.has_ended = true;
                Poll::Ready(None)
            }
            Some(Err(error)) => {
                self.has_ended = true;
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                self.has_ended = true;
                Poll::Ready(Some(Err("sender of the body ended early".into())))
            }
        }
    }
}

/// Returns a body whose frames come from a channel; `Ok(None)` ends it, and an error or
/// a closed channel aborts it.
pub fn channel(receiver: Receiver<Result<Option<Bytes>>>) -> BoxBody {
    Channel {
        receiver: Box::pin(receiver),
        has_ended: false,
    }
    .boxed_unsync()
}

/// Maximum number of frames of an answer that is read whole. Each frame takes some
/// microseconds of processor time, however short it is.
const MAX_FRAMES: usize = 64 << 10;

/// Reads the rest of a body and drops it, up to `limit` bytes.
///
/// Closing a connection while the peer still writes resets it, and the peer then
/// never sees the answer.
async fn discard<B>(body: &mut B, limit: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut length = 0;
    while length < limit {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        length += frame.data_ref().map_or(0, Bytes::len);
    }
}

/// Reads a whole request body.
///
/// Fails with [`Code::BodyTooLarge`] when it is longer than `limit` bytes. Up to as many
/// further bytes are read and dropped then, so that the caller sees the answer.
pub async fn read_request<B>(mut body: B, limit: usize) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let bytes = collect(&mut body, limit, usize::MAX, &mut |_| true).await;
    if matches!(&bytes, Err(error) if error.code == Code::BodyTooLarge) {
        discard(&mut body, limit).await;
    }
    bytes
}

/// Reads a whole answer body.
///
/// Fails with [`Code::BodyTooLarge`] at once when it is longer than `limit` bytes or has
/// too many frames, as its sender may never end it.
pub async fn read<B>(mut body: B, limit: usize) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    check_length(&body, limit)?;
    collect(&mut body, limit, MAX_FRAMES, &mut |_| true).await
}

/// Body that fails when none of its bytes arrive for some time.
///
/// Unlike a time limit on the whole body, this does not end a large one that arrives all the
/// time.
pub struct SteadyBody<B> {
    body: B,
    stall: Duration,
    timer: smol::Timer,
    on_data: Box<dyn FnMut() + Send>,
}

impl<B> SteadyBody<B> {
    /// Wraps a body, which fails once nothing has arrived for `stall`. Calls `on_data` for
    /// each part that arrives.
    pub fn new(body: B, stall: Duration, on_data: impl FnMut() + Send + 'static) -> SteadyBody<B> {
        SteadyBody {
            body,
            stall,
            timer: smol::Timer::after(stall),
            on_data: Box::new(on_data),
        }
    }
}

impl<B> Body for SteadyBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        if let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) {
            this.timer.set_after(this.stall);
            (this.on_data)();
            let frame = frame.map(|f| f.map_err(|e| BoxError::from(e.to_string())));
            return Poll::Ready(frame);
        }
        match Pin::new(&mut this.timer).poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(_) => {
                let detail = format!("nothing more within {} ms", this.stall.as_millis());
                Poll::Ready(Some(Err(detail.into())))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body with its reservation, which lives as long as any slice of the body.
struct ReservedBody {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a whole answer body, and reserves its memory with the connection of the caller that it
/// is for, for as long as it is in a buffer.
///
/// Fails as [`read`] does, and also when there is no memory for it. Small bodies need no
/// reservation, so that a few large ones cannot keep out the others.
pub async fn read_reserved<B>(mut body: B, limit: usize, caller: &Hold) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    check_length(&body, limit)?;
    let hold = caller.begin(Use::Answer);
    let mut reserve = |size: usize| size <= SMALL || hold.try_raise(size);
    let bytes = collect(&mut body, limit, MAX_FRAMES, &mut reserve).await?;
    if bytes.len() <= SMALL {
        return Ok(bytes);
    }
    // The blocks that were joined are freed.
    hold.lower(bytes.len());
    Ok(Bytes::from_owner(ReservedBody { bytes, _hold: hold }))
}

/// How a request body is read.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Longest body, in bytes.
    pub length: usize,
    /// Copies of the body that the process holds at a time.
    pub copies: usize,
}

/// Time that a body waits for memory before it is refused.
const MEMORY_PATIENCE: Duration = Duration::from_millis(1_500);

/// Time without any byte after which a body is given up. Callers send a body at once.
const BODY_STALL: Duration = Duration::from_secs(10);

/// Frames of a request body beyond which they must have [`MIN_FRAME`] bytes on average: each
/// takes some microseconds of processor time.
const FREE_FRAMES: usize = 4_096;

/// Least mean length of the frames of a long body, in bytes.
const MIN_FRAME: usize = 64;

/// Reads a whole request body, and reserves its memory with its connection for as long as any
/// of it is held.
///
/// The memory is reserved before it is read into: all of a body whose length is stated, and
/// the limit for another one that turns out to be large. Fails with [`Code::BodyTooLarge`] once
/// a body is known to be longer than the limit, with [`Code::Overloaded`] when there is no
/// memory for it, and with [`Code::HeaderTooSlow`] when it makes no progress, or less than all
/// others while they wait.
pub async fn read_request_reserved<B>(
    mut body: B,
    limits: ReadLimits,
    connection: &Hold,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    check_length(&body, limits.length)?;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let stated = body.size_hint().exact().map(|length| length as usize);
    let most = connection.size().source_large();
    let reserved = |length: usize| (length * limits.copies).min(most.max(length));
    let hold = connection.begin(Use::Body);
    let mut capacity = stated.unwrap_or(SMALL).min(limits.length);
    hold.raise(reserved(capacity), MEMORY_PATIENCE).await?;
    let mut bytes = BytesMut::with_capacity(stated.unwrap_or(0));
    let mut frames = 0;
    while let Some(frame) = next_frame(&mut body, &hold).await? {
        frames += 1;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limits.length {
            return Err(too_large(limits.length));
        }
        if frames > FREE_FRAMES + length / MIN_FRAME {
            let detail = format!("{frames} chunks for {length} bytes");
            return Err(Error::new(Code::BodyTooLarge, detail));
        }
        if length > capacity {
            capacity = limits.length.min(most / limits.copies.max(1)).max(length);
            hold.raise(reserved(capacity), MEMORY_PATIENCE).await?;
            bytes.reserve(capacity - bytes.len());
        }
        hold.record_progress(data.len());
        bytes.extend_from_slice(&data);
    }
    if bytes.is_empty() {
        return Ok(Bytes::new());
    }
    hold.set_use(Use::Running);
    if bytes.len() < capacity / 2 {
        // The buffer is far larger than what it holds.
        bytes = BytesMut::from(&bytes[..]);
        hold.lower(reserved(bytes.len()));
    }
    let bytes = bytes.freeze();
    Ok(Bytes::from_owner(ReservedBody { bytes, _hold: hold }))
}

/// Returns the next frame of a request body; fails when none comes in time, or when the body
/// must make room for others.
async fn next_frame<B>(body: &mut B, hold: &Hold) -> Result<Option<Frame<Bytes>>>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let slow = |detail: &str| Error::new(Code::HeaderTooSlow, detail);
    let read = async {
        let frame = body.frame().await.transpose();
        frame.map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))
    };
    let closed = async {
        hold.until_closing().await;
        Err(slow("less progress than others that wait for memory"))
    };
    let stalled = async {
        smol::Timer::after(BODY_STALL).await;
        Err(slow("nothing more of the body came"))
    };
    closed.or(read).or(stalled).await
}

/// Fails for a body whose stated length exceeds `limit`.
fn check_length(body: &impl Body, limit: usize) -> Result<()> {
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    Ok(())
}

fn too_large(limit: usize) -> Error {
    Error::new(Code::BodyTooLarge, format!("more than {limit} bytes"))
}

/// Reads a body of at most `limit` bytes and `max_frames` frames.
///
/// The bytes are held in blocks of one size until the body has ended: a buffer that grows is
/// copied each time, and the freed ones of many bodies do not fit each other's next size.
/// Calls `reserve` with the new size of all blocks before one is added, and with that of the
/// blocks and the whole body before they are joined; false refuses the body.
async fn collect<B>(
    body: &mut B,
    limit: usize,
    max_frames: usize,
    reserve: &mut (dyn FnMut(usize) -> bool + Send),
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut blocks = Blocks::default();
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        frames += 1;
        if frames > max_frames {
            let detail = format!("more than {max_frames} frames");
            return Err(Error::new(Code::BodyTooLarge, detail));
        }
        let frame = frame.map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if blocks.length + data.len() > limit {
            return Err(too_large(limit));
        }
        blocks.push(&data, reserve)?;
    }
    blocks.join(reserve)
}

/// Bytes of a body that is being read, in blocks.
#[derive(Default)]
struct Blocks {
    blocks: Vec<BytesMut>,
    /// Bytes in all blocks.
    length: usize,
    /// Capacity of all blocks.
    capacity: usize,
}

impl Blocks {
    /// Capacity of a block, in bytes.
    const SIZE: usize = 64 << 10;

    /// Appends bytes.
    fn push(&mut self, mut bytes: &[u8], reserve: &mut dyn FnMut(usize) -> bool) -> Result<()> {
        while !bytes.is_empty() {
            let room = self.capacity - self.length;
            if room == 0 {
                // Most bodies are one short frame.
                let size = match self.capacity {
                    0 => bytes.len().min(Blocks::SIZE),
                    _ => Blocks::SIZE,
                };
                self.reserve(self.capacity + size, reserve)?;
                self.capacity += size;
                self.blocks.push(BytesMut::with_capacity(size));
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            if let Some(last) = self.blocks.last_mut() {
                last.extend_from_slice(now);
            }
            self.length += now.len();
            bytes = later;
        }
        Ok(())
    }

    /// Returns all bytes in one piece.
    fn join(mut self, reserve: &mut dyn FnMut(usize) -> bool) -> Result<Bytes> {
        if self.blocks.len() <= 1 {
            return Ok(self.blocks.pop().unwrap_or_default().freeze());
        }
        self.reserve(self.capacity + self.length, reserve)?;
        let mut whole = BytesMut::with_capacity(self.length);
        for block in self.blocks {
            whole.extend_from_slice(&block);
        }
        Ok(whole.freeze())
    }

    fn reserve(&self, size: usize, reserve: &mut dyn FnMut(usize) -> bool) -> Result<()> {
        if reserve(size) {
            return Ok(());
        }
        let detail = format!("no memory left for {size} bytes");
        Err(Error::new(Code::BodyTooLarge, detail))
    }
}
