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
pub const MAX_HEAD: usize = 64 << 10;

/// Bytes that are read before other tasks get their turn.
///
/// hyper parses interim answers and the sizes of chunks until it has to wait
/// for bytes; a peer that always has some would keep the thread.
const MAX_STRETCH: usize = 256 << 10;

/// Stands for a connection that reads no head.
const FREE: usize = usize::MAX;

/// Bytes that may still come before the end of a head.
#[derive(Debug)]
pub struct Meter {
    left: AtomicUsize,
}

impl Default for Meter {
    fn default() -> Meter {
        Meter {
            left: AtomicUsize::new(FREE),
        }
    }
}

impl Meter {
    /// Starts to count for the head of an answer.
    pub fn begin(&self) {
        self.left.store(MAX_HEAD, Ordering::Relaxed);
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
pub struct Metered {
    stream: Async<TcpStream>,
    meter: Arc<Meter>,
    /// Bytes read since the reader last had to wait.
    stretch: usize,
}

impl Metered {
    /// Counts the reads of `stream` with `meter`.
    pub fn new(stream: Async<TcpStream>, meter: Arc<Meter>) -> Metered {
        Metered {
            stream,
            meter,
            stretch: 0,
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.meter.is_spent() {
            let text = format!("more than {MAX_HEAD} bytes before the end of a head");
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
                self.meter.take(*count);
            }
            _ => self.stretch = 0,
        }
        read
    }
}

impl AsyncWrite for Metered {
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
