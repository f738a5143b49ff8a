//! Workers: threads that each serve their share of callers' connections from accept to answer.
//!
//! A request and the upstream connection that carries it stay on one thread, so the usual request
//! wakes no other. What threads share are the snapshots and the atomics.

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

/// How often a worker that ends looks whether work without a caller has ended too.
const RECHECK: Duration = Duration::from_millis(20);

thread_local! {
    static WORKER: Cell<usize> = const { Cell::new(0) };
}

/// The number of the worker that runs on this thread; zero on other threads.
pub(crate) fn worker_index() -> usize {
    WORKER.get()
}

/// Running workers; dropping them cuts what they serve.
pub(super) struct RequestWorkers {
    workers: Vec<WorkerHandle>,
    next: usize,
    graceful: Arc<AtomicBool>,
}

struct WorkerHandle {
    streams: mpsc::UnboundedSender<std::net::TcpStream>,
    ended: oneshot::Receiver<()>,
}

impl RequestWorkers {
    /// Starts as many workers as the settings ask for; `serve` serves one connection.
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
                    WORKER.set(index);
                    runtime.block_on(worker.run(serve));
                });
            thread.context(RuntimeSnafu)?;
            workers.push(WorkerHandle { streams, ended });
        }
        Ok(Self {
            workers,
            next: 0,
            graceful,
        })
    }

    /// Hands a connection to the next worker in turn.
    pub(super) fn hand(&mut self, stream: TcpStream) {
        self.next = (self.next + 1) % self.workers.len();
        if let Ok(stream) = stream.into_std() {
            // A worker ends only after its sender is gone.
            let _ = self.workers[self.next].streams.send(stream);
        }
    }

    /// Ends the workers once every connection has ended, and all work without a caller.
    pub(super) async fn end(self) {
        self.graceful.store(true, Ordering::SeqCst);
        for worker in self.workers {
            drop(worker.streams);
            // The worker tells its end by dropping the other side.
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
        let mut recheck = interval(RECHECK);
        while !RouteBuilder::is_idle(&self.context.routes.load()) {
            recheck.tick().await;
        }
    }
}
