//! Byte stream that refuses to write a request whose expiry has passed.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use arc_swap::ArcSwapOption;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::clock::SendExpiry;

/// Expiry of the request that is being written to a stream; none for a request that does not expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamExpiry(Arc<ArcSwapOption<SendExpiry>>);

impl StreamExpiry {
    /// Sets the expiry of the next request.
    pub(crate) fn set(&self, expiry: Option<SendExpiry>) {
        self.0.store(expiry.map(Arc::new));
    }

    fn has_passed(&self) -> bool {
        let expiry = self.0.load();
        expiry.as_ref().is_some_and(|expiry| expiry.has_passed())
    }
}

/// Stream whose writes fail once the expiry of the request has passed.
#[derive(Debug)]
pub(crate) struct ExpiringStream<S> {
    stream: S,
    expiry: StreamExpiry,
}

impl<S> ExpiringStream<S> {
    pub(crate) fn new(stream: S, expiry: StreamExpiry) -> Self {
        Self { stream, expiry }
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
        if self.expiry.has_passed() {
            return Poll::Ready(Err(expired()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.expiry.has_passed() {
            return Poll::Ready(Err(expired()));
        }
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
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
