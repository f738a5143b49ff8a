//! Worker threads, each of which serves a share of the callers' connections.
//!
//! A request and its upstream connection usually stay on one thread, so that a request rarely wakes
//! another thread. The threads share only snapshots and atomics.

use std::{
    cell::Cell,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use snafu::ResultExt;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::interval,
};

use crate::{
    context::MemberContext,
    error::{Result, RuntimeSnafu},
    routes::RouteBuilder,
};

/// Interval at which a stopping worker checks if requests without a caller have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

thread_local! {
    static WORKER_INDEX: Cell<usize> = const { Cell::new(0) };
}

/// Returns the index of the worker that runs on this thread, or 0 on other threads.
pub(crate) fn worker_index() -> usize {
    WORKER_INDEX.get()
}

/// Running workers; dropping them aborts the connections that they serve.
pub(super) struct RequestWorkers {
    workers: Vec<WorkerHandle>,
    next_index: usize,
    graceful: Arc<AtomicBool>,
}

struct WorkerHandle {
    streams: mpsc::UnboundedSender<std::net::TcpStream>,
    ended: oneshot::Receiver<()>,
}

impl RequestWorkers {
    /// Starts the configured number of workers; `serve` serves one connection.
    pub(super) fn spawn<F, Fut>(context: &Arc<MemberContext>, serve: F) -> Result<Self>
    where
        F: Fn(TcpStream) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let graceful = Arc::new(AtomicBool::new(false));
        let mut workers = Vec::new();
        for index in 0..context.settings.limits.worker_threads() {
            let (streams, received) = mpsc::unbounded_channel();
            let (alive, ended) = oneshot::channel();
            let worker = RequestWorker {
                context: context.clone(),
                received,
                graceful: graceful.clone(),
                _alive: alive,
            };
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = runtime.context(RuntimeSnafu)?;
            let serve = serve.clone();
            let thread = thread::Builder::new()
                .name(format!("request-{index}"))
                .spawn(move || {
                    WORKER_INDEX.set(index);
                    runtime.block_on(worker.run(serve));
                });
            thread.context(RuntimeSnafu)?;
            workers.push(WorkerHandle { streams, ended });
        }
        Ok(Self {
            workers,
            next_index: 0,
            graceful,
        })
    }

    /// Assigns a connection to the next worker in round-robin order.
    pub(super) fn assign(&mut self, stream: TcpStream) {
        self.next_index = (self.next_index + 1) % self.workers.len();
        if let Ok(stream) = stream.into_std() {
            // Cannot fail: a worker ends only after its sender is dropped.
            let _ = self.workers[self.next_index].streams.send(stream);
        }
    }

    /// Waits until all connections and all requests without a caller have ended, then ends the
    /// workers.
    pub(super) async fn end(self) {
        self.graceful.store(true, Ordering::SeqCst);
        for worker in self.workers {
            drop(worker.streams);
            // The worker signals its end by dropping the sender.
            let _ = worker.ended.await;
        }
    }
}

struct RequestWorker {
    context: Arc<MemberContext>,
    received: mpsc::UnboundedReceiver<std::net::TcpStream>,
    graceful: Arc<AtomicBool>,
    _alive: oneshot::Sender<()>,
}

impl RequestWorker {
    async fn run<F, Fut>(mut self, serve: F)
    where
        F: Fn(TcpStream) -> Fut,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let (open, mut closed) = mpsc::channel::<()>(1);
        while let Some(stream) = self.received.recv().await {
            let Ok(stream) = TcpStream::from_std(stream) else {
                continue;
            };
            let (connection, open) = (serve(stream), open.clone());
            tokio::spawn(async move {
                connection.await;
                drop(open);
            });
        }
        if !self.graceful.load(Ordering::SeqCst) {
            return;
        }
        drop(open);
        closed.recv().await;
        let mut idle_check = interval(IDLE_CHECK_INTERVAL);
        while !RouteBuilder::is_idle(&self.context.routes.load()) {
            idle_check.tick().await;
        }
    }
}
