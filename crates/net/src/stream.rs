//! Byte stream that refuses to write a request whose expiry has passed, and tells how far a request has got.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use arc_swap::ArcSwapOption;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
};

use crate::clock::SendExpiry;

/// The task of the connection has not got to the request.
const QUEUED: u8 = 0;
/// The stream was asked to write the request and has taken no byte so far.
const OFFERED: u8 = 1;
/// At least one byte has been written.
const WRITTEN: u8 = 2;
/// The expiry had passed before the first byte was written.
const REFUSED: u8 = 3;

#[derive(Debug, Default)]
struct WriteState {
    /// None for a request that does not expire.
    expiry: ArcSwapOption<SendExpiry>,
    progress: AtomicU8,
    offered: Notify,
}

/// How far the request has got that is being written to a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestWrite(Arc<WriteState>);

impl RequestWrite {
    /// Begins with the next request.
    pub(crate) fn begin(&self, expiry: Option<SendExpiry>) {
        self.0.expiry.store(expiry.map(Arc::new));
        self.0.progress.store(QUEUED, Ordering::Release);
    }

    /// Waits until the stream has been asked to write the request. Until then only this process holds it up.
    pub(crate) async fn offered(&self) {
        while self.0.progress.load(Ordering::Acquire) == QUEUED {
            self.0.offered.notified().await;
        }
    }

    /// Returns whether the request expired before its first byte was written.
    pub(crate) fn is_refused(&self) -> bool {
        self.0.progress.load(Ordering::Acquire) == REFUSED
    }

    /// Returns whether the rest of the request may be written.
    fn offer(&self) -> bool {
        let expiry = self.0.expiry.load();
        let has_passed = expiry.as_ref().is_some_and(|expiry| expiry.has_passed());
        let (from, to) = match (self.0.progress.load(Ordering::Acquire), has_passed) {
            (QUEUED, false) => (QUEUED, OFFERED),
            (from @ (QUEUED | OFFERED), true) => (from, REFUSED),
            _ => return !has_passed,
        };
        self.advance(from, to);
        !has_passed
    }

    fn record_written(&self, bytes: usize) {
        if bytes > 0 {
            self.advance(OFFERED, WRITTEN);
        }
    }

    /// Only the task of the connection advances a request, so that nothing is lost if it is not in `from`.
    fn advance(&self, from: u8, to: u8) {
        let (progress, order) = (&self.0.progress, Ordering::AcqRel);
        let advanced = progress.compare_exchange(from, to, order, Ordering::Acquire);
        if advanced.is_ok() && from == QUEUED {
            self.0.offered.notify_one();
        }
    }
}

/// Stream whose writes fail once the expiry of the request has passed.
#[derive(Debug)]
pub(crate) struct ExpiringStream<S> {
    stream: S,
    write: RequestWrite,
}

impl<S> ExpiringStream<S> {
    pub(crate) fn new(stream: S, write: RequestWrite) -> Self {
        Self { stream, write }
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.write.record_written(*bytes);
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ExpiringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ExpiringStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.write.offer() {
            return Poll::Ready(Err(expired()));
        }
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.write.offer() {
            return Poll::Ready(Err(expired()));
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

fn expired() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the request expired")
}
