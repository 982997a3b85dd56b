//! Socket of a server's connection, which reads within the account of the process.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::net::Shutdown;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use smol::Async;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;

use crate::net::memory::CONNECTION;
use crate::net::memory::Use;
use crate::net::reserve::Hold;

/// Most bytes of one read. The HTTP library doubles its buffer after a read that fills it,
/// which begins with 8 KB.
const MAX_READ: usize = (8 << 10) - 1;

/// Bytes read without a wait after which the task yields to others.
const YIELD_AFTER: usize = 128 << 10;

/// Bytes of a head for which the memory of a connection suffices.
const FREE_HEAD: usize = 8 << 10;

/// Time after which a read that found no memory is tried again.
const RETRY: Duration = Duration::from_millis(20);

/// Most bytes that are read and dropped after the last answer, and the time for that. Closing
/// a connection while the peer still writes resets it, and the peer then may not see the answer.
const MAX_DISCARD: usize = 256 << 10;
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Value of `unparsed` while a request is in progress.
const RUNNING: usize = usize::MAX;

/// What a connection reads at present; clones share it.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Bytes read since the end of the last request, or [`RUNNING`].
    unparsed: Arc<AtomicUsize>,
    hold: Hold,
}

impl Phase {
    /// Creates the phase of a connection that waits for its first request.
    pub fn new(hold: Hold) -> Phase {
        Phase {
            unparsed: Arc::default(),
            hold,
        }
    }

    /// Notes that the head of a request has been read.
    pub fn begin_request(&self) {
        self.unparsed.store(RUNNING, Ordering::Relaxed);
        self.hold.set_use(Use::Running);
    }

    /// Notes that a request has been answered.
    pub fn end_request(&self) {
        self.unparsed.store(0, Ordering::Relaxed);
        self.hold.set_use(Use::Idle);
        self.hold.lower(CONNECTION);
    }

    /// Reserves memory for a read of at most [`MAX_READ`] bytes; false when there is none.
    fn reserve(&self) -> bool {
        let unparsed = self.unparsed.load(Ordering::Relaxed);
        // The buffer of the library grows to twice what it holds.
        unparsed == RUNNING
            || unparsed < FREE_HEAD
            || self.hold.try_raise(CONNECTION + 2 * (unparsed + MAX_READ))
    }

    fn record_read(&self, count: usize) {
        let add = |unparsed: usize| (unparsed != RUNNING).then(|| unparsed + count);
        let order = Ordering::Relaxed;
        if self.unparsed.fetch_update(order, order, add) == Ok(0) {
            self.hold.set_use(Use::Head);
        }
    }
}

/// Socket that reads within the account.
#[derive(Debug)]
pub struct HeldStream {
    stream: Async<TcpStream>,
    /// Phase of an HTTP/1.1 connection; none for HTTP/2, whose windows limit what it reads.
    phase: Option<Phase>,
    hold: Hold,
    since_wait: usize,
    retry: Option<smol::Timer>,
    /// Bytes dropped after the last answer, and the time for that.
    discarded: usize,
    discard_time: Option<smol::Timer>,
}

impl HeldStream {
    /// Creates a socket that reads from `stream`.
    pub fn new(stream: Async<TcpStream>, hold: Hold, phase: Option<Phase>) -> HeldStream {
        HeldStream {
            stream,
            phase,
            hold,
            since_wait: 0,
            retry: None,
            discarded: 0,
            discard_time: None,
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = written {
            self.hold.record_progress(*count);
        }
    }
}

impl AsyncRead for HeldStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.since_wait >= YIELD_AFTER {
            this.since_wait = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut length = buf.len();
        if let Some(phase) = &this.phase {
            length = length.min(MAX_READ);
            while !phase.reserve() {
                let timer = this.retry.get_or_insert_with(|| smol::Timer::after(RETRY));
                if Pin::new(timer).poll(cx).is_pending() {
                    return Poll::Pending;
                }
                this.retry = None;
            }
        }
        let read = Pin::new(&mut this.stream).poll_read(cx, &mut buf[..length]);
        match &read {
            Poll::Ready(Ok(count)) => {
                this.since_wait += count;
                this.hold.record_progress(*count);
                if let Some(phase) = &this.phase {
                    phase.record_read(*count);
                }
            }
            _ => this.since_wait = 0,
        }
        read
    }
}

impl AsyncWrite for HeldStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.discard_time.is_none() {
            this.discard_time = Some(smol::Timer::after(DISCARD_TIME));
            this.stream.get_ref().shutdown(Shutdown::Write)?;
        }
        let mut buf = [0; 4 << 10];
        while this.discarded < MAX_DISCARD {
            let is_over = this
                .discard_time
                .as_mut()
                .is_none_or(|timer| Pin::new(timer).poll(cx).is_ready());
            if is_over {
                break;
            }
            match Pin::new(&mut this.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(count)) if count > 0 => this.discarded += count,
                Poll::Ready(_) => break,
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(()))
    }
}
