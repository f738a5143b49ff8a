//! Fake of a worker, which runs tasks under leases, reports the runs that have ended and registers
//! in the store.
//!
//! The payload of a task sets its behaviour: `ms=N` runs for N milliseconds, `fail` fails at once,
//! `lasts` runs until it is stopped and `crash=N` crashes the worker after N milliseconds. `gang=N,ms=M` runs for M milliseconds together with the
//! other tasks of its step, once N of them are present. Any other payload runs for 30 ms. `needs=LABEL,` before
//! any of them names the label that the task requires, for the record of its run.

mod history;
mod incarnation;

pub use self::history::RunRecord;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::json;
use tokio::{
    sync::{Mutex, Notify, mpsc, oneshot, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};

use self::incarnation::{TaskCounts, WorkerIncarnation, WorkerOrder};
use super::{KeyedLog, gang::GangTable, loopback, policy, store::WORKERS_TOPIC};
use crate::http::{self, FakeServer, ResponseBody};

/// Longest lease that a worker grants unless [`PoolWorker::set_longest_lease`] sets another one.
pub(super) const DEFAULT_LONGEST_LEASE: Duration = Duration::from_millis(3_000);
/// Interval between attempts to listen again on the address of an earlier process.
const BIND_INTERVAL: Duration = Duration::from_millis(5);
/// Delay of starts under [`WorkerFault::Late`].
const LATE_START_DELAY: Duration = Duration::from_millis(1_200);
/// Time from a crash to the start of the next process.
const CRASH_RESTART_DELAY: Duration = Duration::from_millis(400);

/// Fault of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// No fault.
    #[default]
    None,
    /// Answers no request; its tasks go on.
    Silent,
    /// Fails every task that it starts.
    FailAll,
    /// Carries out starts but does not answer them.
    LoseReplies,
    /// Carries out starts late and does not answer them.
    Late,
    /// Rejects starts with status 503.
    Refuse,
    /// Reports its runs under names that are not those of tasks.
    GarbledReports,
}

/// Handle of a running worker.
pub struct PoolWorker {
    id: String,
    address: SocketAddr,
    incarnation: Arc<Mutex<WorkerIncarnation>>,
    counts: Arc<Mutex<TaskCounts>>,
    fault: watch::Sender<WorkerFault>,
    tickets_required: watch::Sender<bool>,
    state: watch::Sender<&'static str>,
    registers_at_start: watch::Sender<bool>,
    /// Bytes that replace the entry.
    raw_entry: watch::Sender<Option<Vec<u8>>>,
    views: watch::Sender<Vec<WorkerView>>,
    process_ends: mpsc::UnboundedSender<ProcessEnd>,
    server_task: JoinHandle<()>,
    heartbeat_task: JoinHandle<()>,
}

impl Drop for PoolWorker {
    fn drop(&mut self) {
        self.server_task.abort();
        self.heartbeat_task.abort();
    }
}

impl PoolWorker {
    /// Starts a worker of a pool, which renews its entry in a store at every heartbeat.
    ///
    /// # Errors
    ///
    /// No loopback address can be bound.
    pub async fn spawn(
        id: &str,
        pool: &str,
        store: KeyedLog,
        gangs: GangTable,
        heartbeat: Duration,
    ) -> std::io::Result<Self> {
        let first = WorkerIncarnation::new(1, DEFAULT_LONGEST_LEASE, gangs);
        let incarnation = Arc::new(Mutex::new(first));
        let counts = Arc::new(Mutex::new(TaskCounts::default()));
        let (fault, fault_receiver) = watch::channel(WorkerFault::None);
        let (tickets_required, ticket_switch) = watch::channel(false);
        let (state, state_receiver) = watch::channel("ready");
        let (registers_at_start, register_switch) = watch::channel(false);
        let process_started = Arc::new(Notify::new());
        let (raw_entry, raw_receiver) = watch::channel(None::<Vec<u8>>);
        let (process_ends, process_end_requests) = mpsc::unbounded_channel();
        let (views, view_receiver) = watch::channel(Vec::<WorkerView>::new());
        let context = RequestContext {
            incarnation: incarnation.clone(),
            counts: counts.clone(),
            fault: fault_receiver,
            target: id.into(),
            requires_ticket: ticket_switch,
            process_ends: process_ends.clone(),
            process_started: process_started.clone(),
        };
        let server = context.clone().listen(loopback()).await?;
        let address = server.address;
        let (key, pool) = (id.to_owned(), pool.to_owned());
        let server_task = tokio::spawn(context.restart_processes(server, process_end_requests));
        let registered = incarnation.clone();
        let heartbeat_task = tokio::spawn(async move {
            let mut seq = 0u64;
            loop {
                seq += 1;
                let state = *state_receiver.borrow();
                let (number, label, crashed) = {
                    let incarnation = registered.lock().await;
                    (incarnation.number, incarnation.label(), incarnation.crashed)
                };
                if crashed {
                    next_beat(heartbeat, &process_started, &register_switch).await;
                    continue;
                }
                let mut entry = json!({"service": pool, "address": address.to_string(), "zone": "dc-1",
                    "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "born": number,
                    "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0},
                    "labels": [label, "r-1"], "seq": seq});
                let raw = raw_receiver.borrow().clone();
                let mut put = |topic: &str, address: SocketAddr| {
                    entry["address"] = json!(address.to_string());
                    let bytes = raw.clone();
                    let bytes = bytes.unwrap_or_else(|| entry.to_string().into_bytes());
                    store.put_bytes(topic, &key, &bytes);
                };
                put(WORKERS_TOPIC, address);
                for view in view_receiver.borrow().iter() {
                    put(&view.topic, view.address);
                }
                next_beat(heartbeat, &process_started, &register_switch).await;
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            incarnation,
            counts,
            fault,
            tickets_required,
            state,
            registers_at_start,
            raw_entry,
            views,
            process_ends,
            server_task,
            heartbeat_task,
        })
    }

    /// Id of the worker.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Address under which the worker registers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.fault.send_replace(fault);
    }

    /// From now on rejects starts without the policy service's ticket.
    pub fn require_tickets(&self) {
        self.tickets_required.send_replace(true);
    }

    /// Registers as draining from now on.
    pub fn drain(&self) {
        self.state.send_replace("draining");
    }

    /// From now on registers at the start of each process, not only at the next heartbeat.
    pub fn register_at_start(&self) {
        self.registers_at_start.send_replace(true);
    }

    /// Sets the labels that the processes of the worker have by turns, beside that of its rack.
    pub async fn set_labels(&self, labels: &'static [&'static str]) {
        self.incarnation.lock().await.labels = labels;
    }

    /// Registers with these bytes in place of its entry from now on; `None` for the entry again.
    pub fn replace_entry(&self, bytes: Option<&[u8]>) {
        self.raw_entry.send_replace(bytes.map(<[u8]>::to_vec));
    }

    /// Registers in one more topic, with the address at which the readers of that topic reach it.
    pub fn register_in(&self, topic: &str, address: SocketAddr) {
        let topic = topic.to_owned();
        self.views
            .send_modify(|views| views.push(WorkerView { topic, address }));
    }

    /// Sets the longest lease that the worker grants from now on.
    pub async fn set_longest_lease(&self, longest: Duration) {
        self.incarnation.lock().await.longest_lease = longest;
    }

    /// Ends the process with its runs and its connections, and starts the next one after `down`,
    /// under the same id and at the same address. Returns once that one listens.
    pub async fn restart_process(&self, down: Duration) {
        let (done, restarted) = oneshot::channel();
        let end = ProcessEnd::Restart { down, done };
        // Fails if the worker is being dropped.
        if self.process_ends.send(end).is_ok() {
            let _ = restarted.await;
        }
    }

    /// Restarts under the same id, without its runs and their history. The connections stay open, as
    /// those of a process that hands them over.
    pub async fn restart(&self) {
        let (mut incarnation, mut counts) =
            (self.incarnation.lock().await, self.counts.lock().await);
        incarnation.finish_due(&mut counts);
        counts.history.end_all("crashed");
        *incarnation = incarnation.next();
    }

    /// All runs on this worker, in the order of their starts.
    pub async fn history(&self) -> Vec<RunRecord> {
        let (mut incarnation, mut counts) =
            (self.incarnation.lock().await, self.counts.lock().await);
        incarnation.finish_due(&mut counts);
        counts.history.records()
    }

    /// Number of starts of each task on this worker.
    pub async fn starts(&self) -> BTreeMap<String, u32> {
        self.counts.lock().await.starts.clone()
    }

    /// Number of runs of each task that ended as done on this worker.
    pub async fn done(&self) -> BTreeMap<String, u32> {
        let (mut incarnation, mut counts) =
            (self.incarnation.lock().await, self.counts.lock().await);
        incarnation.finish_due(&mut counts);
        counts.done.clone()
    }

    /// Names of the tasks that are running on this worker.
    pub async fn running(&self) -> Vec<String> {
        let (mut incarnation, mut counts) =
            (self.incarnation.lock().await, self.counts.lock().await);
        incarnation.finish_due(&mut counts);
        incarnation.runs.keys().cloned().collect()
    }
}

/// State of the worker that its requests are served with.
#[derive(Clone)]
struct RequestContext {
    incarnation: Arc<Mutex<WorkerIncarnation>>,
    counts: Arc<Mutex<TaskCounts>>,
    fault: watch::Receiver<WorkerFault>,
    target: Arc<str>,
    requires_ticket: watch::Receiver<bool>,
    process_ends: mpsc::UnboundedSender<ProcessEnd>,
    process_started: Arc<Notify>,
}

/// Waits for the next heartbeat, or for the start of a process if that one registers at its start.
async fn next_beat(
    heartbeat: Duration,
    process_started: &Notify,
    registers_at_start: &watch::Receiver<bool>,
) {
    let start = async {
        process_started.notified().await;
        if !*registers_at_start.borrow() {
            std::future::pending::<()>().await;
        }
    };
    // Elapses at the heartbeat.
    let _ = timeout(heartbeat, start).await;
}

/// Topic in which a worker registers besides that of all workers, and its address there.
struct WorkerView {
    topic: String,
    address: SocketAddr,
}

/// Why a process of a worker ends.
enum ProcessEnd {
    /// A task crashes it.
    Crash {
        /// Number of the worker's incarnation.
        incarnation: u64,
        task: String,
    },
    /// It is to be restarted.
    Restart {
        /// Time until the next process listens.
        down: Duration,
        done: oneshot::Sender<()>,
    },
}

impl RequestContext {
    async fn listen(self, address: SocketAddr) -> std::io::Result<FakeServer> {
        http::spawn(address, move |_, request| serve(self.clone(), request)).await
    }

    /// Ends the process at each crash or restart, with its connections, and starts the next one on
    /// the same address.
    async fn restart_processes(
        self,
        mut server: FakeServer,
        mut ends: mpsc::UnboundedReceiver<ProcessEnd>,
    ) {
        while let Some(end) = ends.recv().await {
            let (down, done) = match end {
                ProcessEnd::Crash { incarnation, task } => {
                    let current = self.incarnation.lock().await;
                    if current.number != incarnation || !current.runs.contains_key(&task) {
                        continue;
                    }
                    (CRASH_RESTART_DELAY, None)
                }
                ProcessEnd::Restart { down, done } => (down, Some(done)),
            };
            let next = {
                let mut incarnation = self.incarnation.lock().await;
                let mut counts = self.counts.lock().await;
                incarnation.finish_due(&mut counts);
                counts.history.end_all("crashed");
                let next = incarnation.next();
                let ended = incarnation.with_number(incarnation.number);
                *incarnation = ended;
                incarnation.crashed = true;
                next
            };
            let address = server.address;
            server.close().await;
            sleep(down).await;
            {
                // Its clock begins now.
                let mut incarnation = self.incarnation.lock().await;
                *incarnation = next.with_number(next.number);
            }
            server = loop {
                match self.clone().listen(address).await {
                    Ok(server) => break server,
                    // The former listener may not be closed yet.
                    Err(_) => sleep(BIND_INTERVAL).await,
                }
            };
            self.process_started.notify_one();
            if let Some(done) = done {
                // The caller may not wait for it.
                let _ = done.send(());
            }
        }
    }

    /// Carries out a start order, and the crash that the task causes.
    async fn start(&self, order: &WorkerOrder, fails: bool) -> Response<ResponseBody> {
        let (mut incarnation, mut counts) =
            (self.incarnation.lock().await, self.counts.lock().await);
        // The process has ended, and its connections are about to be closed.
        if incarnation.crashed {
            drop((incarnation, counts));
            return std::future::pending().await;
        }
        // A lease that has lapsed is not extended by the order.
        incarnation.finish_due(&mut counts);
        let started = incarnation.start(order, fails, &mut counts);
        if let Ok(Some(after)) = started {
            let crash = ProcessEnd::Crash {
                incarnation: incarnation.number,
                task: order.task.clone(),
            };
            let process_ends = self.process_ends.clone();
            tokio::spawn(async move {
                sleep(after).await;
                // The worker may have been dropped.
                let _ = process_ends.send(crash);
            });
        }
        order_response(&incarnation, started.map(|_| ()))
    }
}

async fn serve(context: RequestContext, request: Request<Incoming>) -> Response<ResponseBody> {
    let fault = *context.fault.borrow();
    let target = &context.target;
    if fault == WorkerFault::Silent {
        return std::future::pending().await;
    }
    let named = request.headers().get("target-instance");
    if named.is_some_and(|named| named.as_bytes() != target.as_bytes()) {
        return http::status(StatusCode::MISDIRECTED_REQUEST);
    }
    let path = request.uri().path().to_owned();
    let Ok(body) = request.into_body().collect().await else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let Ok(order) = serde_json::from_slice::<WorkerOrder>(&body.to_bytes()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    let ticket = context
        .requires_ticket
        .borrow()
        .then(|| policy::ticket(target));
    context.incarnation.lock().await.ticket = ticket;
    match path.as_str() {
        "/v1/run-start" => start(context, fault, order).await,
        "/v1/run-stop" => {
            let RequestContext {
                incarnation,
                counts,
                ..
            } = context;
            let (mut incarnation, mut counts) = (incarnation.lock().await, counts.lock().await);
            if incarnation.crashed {
                drop((incarnation, counts));
                return std::future::pending().await;
            }
            // A run that has ended by itself is no longer there to be stopped.
            incarnation.finish_due(&mut counts);
            let stopped = incarnation.stop(&order, &mut counts);
            order_response(&incarnation, stopped)
        }
        "/v1/hold" => hold(context.incarnation, context.counts, fault, order).await,
        _ => http::status(StatusCode::NOT_FOUND),
    }
}

async fn start(
    context: RequestContext,
    fault: WorkerFault,
    order: WorkerOrder,
) -> Response<ResponseBody> {
    if fault == WorkerFault::Refuse {
        return http::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let fails = fault == WorkerFault::FailAll;
    if fault == WorkerFault::Late {
        tokio::spawn(async move {
            sleep(LATE_START_DELAY).await;
            // The outcome is not reported: the request is never answered.
            let _ = context.start(&order, fails).await;
        });
        return std::future::pending().await;
    }
    let response = context.start(&order, fails).await;
    if fault == WorkerFault::LoseReplies {
        return std::future::pending().await;
    }
    response
}

fn order_response(
    incarnation: &WorkerIncarnation,
    outcome: Result<(), &'static str>,
) -> Response<ResponseBody> {
    match outcome {
        Ok(()) => {
            http::json(&json!({"clock_ms": incarnation.clock_ms(), "born": incarnation.number}))
        }
        Err(reason) => {
            let mut response =
                http::json(&json!({"clock_ms": incarnation.clock_ms(), "reason": reason}));
            *response.status_mut() = StatusCode::CONFLICT;
            response
        }
    }
}

async fn hold(
    incarnation: Arc<Mutex<WorkerIncarnation>>,
    counts: Arc<Mutex<TaskCounts>>,
    fault: WorkerFault,
    order: WorkerOrder,
) -> Response<ResponseBody> {
    let wait_until = Instant::now() + Duration::from_millis(order.wait_ms.min(2_000));
    let mut deadline = order.deadline_at_ms;
    loop {
        {
            let (mut incarnation, mut counts) = (incarnation.lock().await, counts.lock().await);
            if incarnation.crashed {
                drop((incarnation, counts));
                return std::future::pending().await;
            }
            if let Err(reason) = incarnation.check_token(&order) {
                return order_response(&incarnation, Err(reason));
            }
            incarnation.finish_due(&mut counts);
            // A renewal extends the lease once, when it arrives.
            incarnation.extend(deadline.take());
            incarnation.acknowledge(order.ack_cursor, &mut counts);
            if !incarnation.ended_rows.is_empty() || Instant::now() >= wait_until {
                let garbled = fault == WorkerFault::GarbledReports;
                return http::json(&incarnation.report(garbled));
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}
