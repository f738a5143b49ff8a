//! Request threads, each of which serves a share of the callers' connections.
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

/// Interval at which a stopping request thread checks if requests without a caller have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

thread_local! {
    static THREAD_INDEX: Cell<usize> = const { Cell::new(0) };
}

/// Returns the index of the current request thread, or 0 on other threads.
pub(crate) fn thread_index() -> usize {
    THREAD_INDEX.get()
}

/// Running request threads; dropping them aborts the connections that they serve.
pub(super) struct RequestThreads {
    threads: Vec<ThreadHandle>,
    next_index: usize,
    graceful: Arc<AtomicBool>,
}

struct ThreadHandle {
    streams: mpsc::UnboundedSender<std::net::TcpStream>,
    ended: oneshot::Receiver<()>,
}

impl RequestThreads {
    /// Starts the configured number of threads; `serve` serves one connection.
    pub(super) fn spawn<F, Fut>(context: &Arc<MemberContext>, serve: F) -> Result<Self>
    where
        F: Fn(TcpStream) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let graceful = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for index in 0..context.settings.limits.request_threads() {
            let (streams, received) = mpsc::unbounded_channel();
            let (alive, ended) = oneshot::channel();
            let request_thread = RequestThread {
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
                    THREAD_INDEX.set(index);
                    runtime.block_on(request_thread.run(serve));
                });
            thread.context(RuntimeSnafu)?;
            threads.push(ThreadHandle { streams, ended });
        }
        Ok(Self {
            threads,
            next_index: 0,
            graceful,
        })
    }

    /// Assigns a connection to the next thread in round-robin order.
    pub(super) fn assign(&mut self, stream: TcpStream) {
        self.next_index = (self.next_index + 1) % self.threads.len();
        if let Ok(stream) = stream.into_std() {
            // Cannot fail: a thread ends only after its sender is dropped.
            let _ = self.threads[self.next_index].streams.send(stream);
        }
    }

    /// Waits until all connections and all requests without a caller have ended, then ends the
    /// threads.
    pub(super) async fn end(self) {
        self.graceful.store(true, Ordering::SeqCst);
        for thread in self.threads {
            drop(thread.streams);
            // The thread signals its end by dropping the sender.
            let _ = thread.ended.await;
        }
    }
}

struct RequestThread {
    context: Arc<MemberContext>,
    received: mpsc::UnboundedReceiver<std::net::TcpStream>,
    graceful: Arc<AtomicBool>,
    _alive: oneshot::Sender<()>,
}

impl RequestThread {
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
