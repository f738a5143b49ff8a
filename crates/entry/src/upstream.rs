//! Connections to upstreams: a lock-free stack for each VM, and one exchange on a connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use crossbeam_queue::ArrayQueue;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1::SendRequest};
use jacinthhoist_core::{ClockTime, LoadGate};
use tokio::time::timeout;

use crate::pipe::worker_index;

/// The idle connections of one VM, and a bound on all of them.
pub(crate) struct ConnectionStack {
    /// One stack for each worker, so that a connection tends to stay on its thread.
    idle: Vec<ArrayQueue<UpstreamConnection>>,
    open: Arc<LoadGate>,
    limit: u32,
}

/// A connection that carries one request at a time.
pub(crate) struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    answered_at: ClockTime,
    _open: OpenConnection,
}

/// Counts against the VM's connections while it lives.
struct OpenConnection(Arc<LoadGate>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// How a request fared on a connection.
pub(crate) enum Exchange {
    /// The head of the answer has come.
    Answered(Response<Incoming>, UpstreamConnection),
    /// Nothing was handed to the connection.
    NotSent,
    /// The connection ended after the request was handed to it.
    Lost,
    /// No answer came in time.
    Silent,
}

impl ConnectionStack {
    /// No connection yet, at most `limit` at a time, for this many workers.
    pub(crate) fn open(limit: u32, workers: usize) -> Self {
        let stack = || ArrayQueue::new(limit.max(1) as usize);
        let idle = (0..workers.max(1)).map(|_| stack()).collect();
        Self {
            idle,
            open: Arc::new(LoadGate::default()),
            limit,
        }
    }

    /// An idle connection, this worker's own first.
    fn pop(&self) -> Option<UpstreamConnection> {
        let workers = self.idle.len();
        let own = worker_index();
        (0..workers).find_map(|step| self.idle[(own + step) % workers].pop())
    }

    /// An idle connection that answered since `fresh_since`, or a new one.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        fresh_since: Option<ClockTime>,
        now: ClockTime,
        limit: Duration,
    ) -> Option<UpstreamConnection> {
        while let Some(mut connection) = self.pop() {
            let fresh = fresh_since.is_none_or(|since| connection.answered_at >= since);
            if fresh && connection.is_ready().await {
                return Some(connection);
            }
        }
        if !self.open.try_acquire(self.limit) {
            return None;
        }
        let open = OpenConnection(self.open.clone());
        let sender = timeout(limit, jacinthhoist_net::connect(address))
            .await
            .ok()?
            .ok()?;
        Some(UpstreamConnection {
            sender,
            answered_at: now,
            _open: open,
        })
    }

    /// Takes a connection back whose answer was read whole.
    pub(crate) fn give_back(&self, mut connection: UpstreamConnection, now: ClockTime) {
        connection.answered_at = now;
        // A full stack closes the connection, which frees its place under the bound.
        let _ = self.idle[worker_index() % self.idle.len()].push(connection);
    }

    /// Connections open now, idle ones included.
    pub(crate) fn count(&self) -> u32 {
        self.open.held()
    }

    /// Closes the idle connections.
    pub(crate) fn clear(&self) {
        while self.pop().is_some() {}
    }
}

impl UpstreamConnection {
    async fn is_ready(&mut self) -> bool {
        !self.sender.is_closed() && self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Exchange {
        match timeout(limit, self.sender.try_send_request(request)).await {
            Err(_) => Exchange::Silent,
            Ok(Ok(response)) => Exchange::Answered(response, self),
            Ok(Err(error)) if error.message().is_some() => Exchange::NotSent,
            Ok(Err(_)) => Exchange::Lost,
        }
    }
}
