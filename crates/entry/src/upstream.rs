//! Lock-free connection pools to upstreams, one for each VM, and request exchange on a connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use crossbeam_queue::ArrayQueue;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1::SendRequest};
use jacinthhoist_core::{ClockTime, LoadGate};
use tokio::time::timeout;

use crate::pipe::thread_index;

/// Idle connections to one VM, and the limit on all connections to it.
pub(crate) struct ConnectionPool {
    /// One queue for each request thread, so that a connection tends to stay on its thread.
    idle: Vec<ArrayQueue<UpstreamConnection>>,
    open: Arc<LoadGate>,
    limit: u32,
}

/// Connection that carries one request at a time.
pub(crate) struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    answered_at: ClockTime,
    _permit: ConnectionPermit,
}

/// Permit that counts against the VM's connection limit until it is dropped.
struct ConnectionPermit(Arc<LoadGate>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// Result of sending a request on a connection.
pub(crate) enum ExchangeResult {
    /// The head of the response was received.
    Answered(Response<Incoming>, UpstreamConnection),
    /// The connection closed before any of the request was handed to it.
    NotSent,
    /// The connection closed after the request was handed to it.
    Lost,
    /// No response was received in time.
    TimedOut,
}

impl ConnectionPool {
    /// Creates an empty pool of at most `limit` connections, for this many request threads.
    pub(crate) fn open(limit: u32, threads: usize) -> Self {
        let queue = || ArrayQueue::new(limit.max(1) as usize);
        let idle = (0..threads.max(1)).map(|_| queue()).collect();
        Self {
            idle,
            open: Arc::new(LoadGate::default()),
            limit,
        }
    }

    /// Removes an idle connection, preferably one of this request thread.
    fn pop_idle(&self) -> Option<UpstreamConnection> {
        let threads = self.idle.len();
        let own_index = thread_index();
        (0..threads).find_map(|step| self.idle[(own_index + step) % threads].pop())
    }

    /// Returns an idle connection that had a response since `fresh_since`, or opens a new one.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        fresh_since: Option<ClockTime>,
        now: ClockTime,
        limit: Duration,
    ) -> Option<UpstreamConnection> {
        while let Some(mut connection) = self.pop_idle() {
            let fresh = fresh_since.is_none_or(|since| connection.answered_at >= since);
            if fresh && connection.is_ready().await {
                return Some(connection);
            }
        }
        if !self.open.try_acquire(self.limit) {
            return None;
        }
        let permit = ConnectionPermit(self.open.clone());
        let sender = timeout(limit, jacinthhoist_net::connect(address))
            .await
            .ok()?
            .ok()?;
        Some(UpstreamConnection {
            sender,
            answered_at: now,
            _permit: permit,
        })
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn put_back(&self, mut connection: UpstreamConnection, now: ClockTime) {
        connection.answered_at = now;
        // If the queue is full, the connection closes, which releases its permit.
        let _ = self.idle[thread_index() % self.idle.len()].push(connection);
    }

    /// Returns the number of open connections, including idle ones.
    pub(crate) fn count(&self) -> u32 {
        self.open.held()
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        while self.pop_idle().is_some() {}
    }
}

impl UpstreamConnection {
    async fn is_ready(&mut self) -> bool {
        !self.sender.is_closed() && self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> ExchangeResult {
        match timeout(limit, self.sender.try_send_request(request)).await {
            Err(_) => ExchangeResult::TimedOut,
            Ok(Ok(response)) => ExchangeResult::Answered(response, self),
            Ok(Err(error)) if error.message().is_some() => ExchangeResult::NotSent,
            Ok(Err(_)) => ExchangeResult::Lost,
        }
    }
}
