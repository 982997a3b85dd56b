//! Message bodies: boxed, whole, streamed from a channel, read with a bound.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use smol::channel::Receiver;
use smol::stream::Stream;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;

/// Error type of bodies.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A body of any kind.
pub type BoxBody = UnsyncBoxBody<Bytes, BoxError>;

/// A body that is held whole.
pub fn full(bytes: impl Into<Bytes>) -> BoxBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Body fed from a channel: ends cleanly when the sender sends `Ok(None)`.
///
/// A channel that closes without the end mark aborts the body, so that a
/// lost task is never seen as a whole answer.
struct Channel {
    receiver: Pin<Box<Receiver<Result<Option<Bytes>>>>>,
    done: bool,
}

impl Body for Channel {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BoxError>>> {
        if self.done {
            return Poll::Ready(None);
        }
        let item = match self.receiver.as_mut().poll_next(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(item) => item,
        };
        match item {
            Some(Ok(Some(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Ok(None)) => {
                self.done = true;
                Poll::Ready(None)
            }
            Some(Err(error)) => {
                self.done = true;
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                self.done = true;
                Poll::Ready(Some(Err("sender is gone".into())))
            }
        }
    }
}

/// A body fed from a channel; `Ok(None)` is its clean end.
pub fn channel(receiver: Receiver<Result<Option<Bytes>>>) -> BoxBody {
    Channel {
        receiver: Box::pin(receiver),
        done: false,
    }
    .boxed_unsync()
}

/// Most frames of an answer's body that is read whole. Each costs some
/// microseconds of processor time, however short it is.
const MAX_FRAMES: usize = 64 << 10;

/// Reads and drops what follows, up to `limit` bytes.
///
/// A connection that is closed while its sender still writes is reset, and the
/// sender then never sees the answer.
async fn discard<B>(body: &mut B, limit: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut count = 0;
    while count < limit {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        count += frame.data_ref().map_or(0, Bytes::len);
    }
}

/// Reads the body of a request whole, up to `limit` bytes.
pub async fn read_request<B>(mut body: B, limit: usize) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let held = collect(&mut body, limit, usize::MAX, &mut |_| true).await;
    if matches!(&held, Err(error) if error.code == Code::BodyTooLarge) {
        discard(&mut body, limit).await;
    }
    held
}

/// Reads the body of an answer whole, up to `limit` bytes.
///
/// A longer one is given up at once, as its sender may never end.
pub async fn read<B>(mut body: B, limit: usize) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    check_length(&body, limit)?;
    collect(&mut body, limit, MAX_FRAMES, &mut |_| true).await
}

/// Memory for bodies that are held whole, shared by all of them.
#[derive(Debug)]
pub struct MemoryBudget {
    left: AtomicUsize,
}

impl MemoryBudget {
    /// Memory for `bytes` bytes.
    pub fn new(bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            left: AtomicUsize::new(bytes),
        })
    }
}

/// What one body takes of the room; given back when dropped.
struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// True when the share could be raised to `bytes`.
    fn raise(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let less = |left: usize| left.checked_sub(more);
        let order = Ordering::Relaxed;
        let is_granted = self.budget.left.fetch_update(order, order, less).is_ok();
        if is_granted {
            self.bytes += more;
        }
        is_granted
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// A body with its share of the room.
struct ReservedBody {
    bytes: Bytes,
    _share: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the body of an answer whole, up to `limit` bytes, as far as there is room.
///
/// Small bodies take none, so that a few large ones cannot keep out the others.
pub async fn read_with_budget<B>(
    mut body: B,
    limit: usize,
    budget: &Arc<MemoryBudget>,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    /// Largest body that needs no room, in bytes.
    const SMALL: usize = 64 << 10;
    check_length(&body, limit)?;
    let mut share = Reservation {
        budget: budget.clone(),
        bytes: 0,
    };
    let mut grow = |size: usize| size <= SMALL || share.raise(size);
    let bytes = collect(&mut body, limit, MAX_FRAMES, &mut grow).await?;
    if share.bytes == 0 {
        return Ok(bytes);
    }
    Ok(Bytes::from_owner(ReservedBody {
        bytes,
        _share: share,
    }))
}

/// Refuses a body whose sender states a longer length.
fn check_length(body: &impl Body, limit: usize) -> Result<()> {
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    Ok(())
}

fn too_large(limit: usize) -> Error {
    Error::new(Code::BodyTooLarge, format!("more than {limit} bytes"))
}

/// Reads a body of at most `limit` bytes in `most` frames; `grow` is asked
/// before more memory is taken.
async fn collect<B>(
    body: &mut B,
    limit: usize,
    most: usize,
    grow: &mut (dyn FnMut(usize) -> bool + Send),
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut held = BytesMut::new();
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        frames += 1;
        if frames > most {
            let detail = format!("more than {most} frames");
            return Err(Error::new(Code::BodyTooLarge, detail));
        }
        let frame = frame.map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = held.len() + data.len();
        if length > limit {
            return Err(too_large(limit));
        }
        if length > held.capacity() {
            let size = length.max(2 * held.capacity()).min(limit);
            if !grow(size) {
                let detail = format!("no room for {size} bytes");
                return Err(Error::new(Code::BodyTooLarge, detail));
            }
            held.reserve(size - held.len());
        }
        held.extend_from_slice(&data);
    }
    Ok(held.freeze())
}
