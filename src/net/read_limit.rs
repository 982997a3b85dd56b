//! Bounds on what a connection of a client reads.

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

/// Most bytes before the end of an answer's head, interim answers included.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that are read before other tasks get their turn.
///
/// hyper parses interim answers and the sizes of chunks until it has to wait
/// for bytes; a peer that always has some would keep the thread.
const MAX_STRETCH: usize = 256 << 10;

/// Stands for a connection that reads no head.
const FREE: usize = usize::MAX;

/// Bytes that may still come before the end of a head.
#[derive(Debug)]
pub struct HeadLimit {
    left: AtomicUsize,
}

impl Default for HeadLimit {
    fn default() -> HeadLimit {
        HeadLimit {
            left: AtomicUsize::new(FREE),
        }
    }
}

impl HeadLimit {
    /// Starts to count for the head of an answer.
    pub fn begin(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Notes the end of the head.
    pub fn end(&self) {
        self.left.store(FREE, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    fn take(&self, count: usize) {
        let less = |left: usize| (left != FREE).then(|| left.saturating_sub(count));
        // An error means that nothing is counted.
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
    }

    fn is_spent(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }
}

/// A socket whose reads are counted.
#[derive(Debug)]
pub struct LimitedStream {
    stream: Async<TcpStream>,
    limit: Arc<HeadLimit>,
    /// Bytes read since the reader last had to wait.
    stretch: usize,
}

impl LimitedStream {
    /// Counts the reads of `stream` with `limit`.
    pub fn new(stream: Async<TcpStream>, limit: Arc<HeadLimit>) -> LimitedStream {
        LimitedStream {
            stream,
            limit,
            stretch: 0,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.limit.is_spent() {
            let text = format!("more than {MAX_HEAD_BYTES} bytes before the end of a head");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        if self.stretch >= MAX_STRETCH {
            self.stretch = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(count)) => {
                self.stretch += count;
                self.limit.take(*count);
            }
            _ => self.stretch = 0,
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
