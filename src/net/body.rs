//! Message bodies: boxed, whole, streamed from a channel, read with a bound.

use std::pin::Pin;
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

/// Reads a body whole, up to `limit` bytes.
pub async fn read<B>(mut body: B, limit: usize) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Error::new(Code::RequestMalformed, e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if held.len() + data.len() > limit {
            discard(&mut body, limit).await;
            let detail = format!("more than {limit} bytes");
            return Err(Error::new(Code::BodyTooLarge, detail));
        }
        held.extend_from_slice(&data);
    }
    Ok(held.freeze())
}
