//! Limits on what a connection of an HTTP client reads.

use std::io;
use std::io::IoSlice;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use smol::Async;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;

/// Largest head of an answer, in bytes, with all interim answers before it.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Number of bytes read without a wait after which the task yields to others.
///
/// hyper parses interim answers and chunk sizes until it has to wait for bytes, so a
/// peer that always has some ready would otherwise occupy the thread.
const YIELD_AFTER: usize = 256 << 10;

/// Value of `left` while no head is read, which is not decreased.
const UNLIMITED: usize = usize::MAX;

/// Limit on the bytes that a connection reads before the end of an answer's head.
#[derive(Debug)]
pub struct HeadLimit {
    /// Bytes that may still be read.
    left: AtomicUsize,
}

impl Default for HeadLimit {
    fn default() -> HeadLimit {
        HeadLimit {
            left: AtomicUsize::new(UNLIMITED),
        }
    }
}

impl HeadLimit {
    /// Applies the limit from now on, to the head of the next answer.
    pub fn begin_head(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit, as the head has been read.
    pub fn end_head(&self) {
        self.left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts `count` bytes that have been read.
    fn record(&self, count: usize) {
        let subtract = |left: usize| (left != UNLIMITED).then(|| left.saturating_sub(count));
        // An error means that there is no limit at present.
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }

    /// Returns true when the limit has been reached.
    fn is_reached(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }
}

/// Socket that reads within the limits of this module.
#[derive(Debug)]
pub struct LimitedStream {
    stream: Async<TcpStream>,
    limit: Arc<HeadLimit>,
    /// Bytes read since the reader last waited or yielded.
    since_wait: usize,
}

impl LimitedStream {
    /// Creates a socket that reads from `stream` within `limit`.
    pub fn new(stream: Async<TcpStream>, limit: Arc<HeadLimit>) -> LimitedStream {
        LimitedStream {
            stream,
            limit,
            since_wait: 0,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.limit.is_reached() {
            let text = format!("more than {MAX_HEAD_BYTES} bytes before the end of a head");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        if self.since_wait >= YIELD_AFTER {
            self.since_wait = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(count)) => {
                self.since_wait += count;
                self.limit.record(*count);
            }
            _ => self.since_wait = 0,
        }
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
