//! Fake of a worker, which runs tasks under leases, reports the runs that have ended and registers
//! in the store.
//!
//! The payload of a task sets its behaviour: `ms=N` runs for N milliseconds, `fail` fails at once
//! and `lasts` runs until it is stopped. `gang=N,ms=M` runs for M milliseconds together with the
//! other tasks of its step, once N of them are present. Any other payload runs for 30 ms.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::{Mutex, watch},
    task::JoinHandle,
    time::sleep,
};

use super::{
    KeyedLog,
    gang::{GangMember, GangTable},
    loopback, policy,
};
use crate::http::{self, FakeServer, ResponseBody};

/// Duration of a task whose payload sets none.
const DEFAULT_TASK_TIME: Duration = Duration::from_millis(30);
/// Longest lease that a worker grants.
const MAX_LEASE_MS: u64 = 3_000;
/// Delay of starts under [`WorkerFault::Late`].
const LATE_START_DELAY: Duration = Duration::from_millis(1_200);
/// Maximum number of ended runs in one report.
const MAX_ENDED_ROWS: usize = 500;

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

#[derive(Debug, Deserialize)]
struct WorkerOrder {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u64,
    #[serde(default)]
    task_spec: String,
    deadline_at_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    ack_cursor: u64,
    #[serde(default)]
    wait_ms: u64,
    #[serde(default)]
    ticket: String,
}

/// Task run in progress.
#[derive(Debug)]
struct ActiveRun {
    number: u64,
    started_at: Instant,
    /// `None` for a task that runs until it is stopped.
    duration: Option<Duration>,
    gang: Option<GangMember>,
    fails: bool,
}

impl ActiveRun {
    /// Returns the end that the run has reached by itself.
    fn outcome(&self) -> Option<&'static str> {
        let duration = self.duration?;
        match &self.gang {
            Some(gang) => gang.outcome(duration),
            None if self.started_at.elapsed() < duration => None,
            None if self.fails => Some("failed"),
            None => Some("done"),
        }
    }
}

/// Parses the payload of a gang task: the number of its tasks, and what each of them does.
fn split_gang(payload: &str) -> (Option<usize>, &str) {
    let parts = payload
        .strip_prefix("gang=")
        .and_then(|rest| rest.split_once(','));
    let size = parts.and_then(|(size, _)| size.parse().ok());
    match parts {
        Some((_, rest)) if size.is_some() => (size, rest),
        _ => (None, payload),
    }
}

/// State of a worker between two restarts.
#[derive(Debug)]
struct WorkerIncarnation {
    started_at: Instant,
    number: u64,
    newest_token: u64,
    deadline: Option<u64>,
    runs: BTreeMap<String, ActiveRun>,
    /// Highest run number of each task that has ended or been stopped on this worker.
    finished_runs: BTreeMap<String, u64>,
    ended_rows: Vec<Value>,
    end_count: u64,
    /// Ticket that starts must carry, if tickets are required.
    ticket: Option<String>,
    gangs: GangTable,
}

/// Counts of task runs, which outlive a restart of the worker.
#[derive(Debug, Default)]
struct TaskCounts {
    /// Number of starts by task.
    starts: BTreeMap<String, u32>,
    /// Number of runs that ended as done, by task.
    done: BTreeMap<String, u32>,
}

/// Handle of a running worker.
pub struct PoolWorker {
    id: String,
    incarnation: Arc<Mutex<WorkerIncarnation>>,
    counts: Arc<Mutex<TaskCounts>>,
    fault: watch::Sender<WorkerFault>,
    tickets_required: watch::Sender<bool>,
    state: watch::Sender<&'static str>,
    /// Bytes that replace the entry.
    raw_entry: watch::Sender<Option<Vec<u8>>>,
    _server: FakeServer,
    heartbeat_task: JoinHandle<()>,
}

impl Drop for PoolWorker {
    fn drop(&mut self) {
        self.heartbeat_task.abort();
    }
}

impl WorkerIncarnation {
    fn new(number: u64, gangs: GangTable) -> Self {
        Self {
            started_at: Instant::now(),
            number,
            newest_token: 0,
            deadline: None,
            runs: BTreeMap::new(),
            finished_runs: BTreeMap::new(),
            ended_rows: Vec::new(),
            end_count: 0,
            ticket: None,
            gangs,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline: Option<u64>) {
        let latest_ms = self.clock_ms() + MAX_LEASE_MS;
        let requested = deadline.map(|at| at.min(latest_ms));
        self.deadline = self.deadline.max(requested);
    }

    /// Ends the runs that are finished, and all runs once the lease has lapsed.
    fn finish_due(&mut self, counts: &mut TaskCounts) {
        let now = self.clock_ms();
        let lapsed = self.deadline.is_some_and(|deadline| now > deadline);
        let names: Vec<String> = self.runs.keys().cloned().collect();
        for name in names {
            let outcome = match self.runs[&name].outcome() {
                Some(outcome) => outcome,
                None if lapsed => "lapsed",
                None => continue,
            };
            if outcome == "done" {
                *counts.done.entry(name.clone()).or_default() += 1;
            }
            self.end(&name, outcome);
        }
    }

    fn end(&mut self, name: &str, outcome: &str) {
        let Some(run) = self.runs.remove(name) else {
            return;
        };
        if let Some(gang) = &run.gang {
            gang.leave();
        }
        self.end_count += 1;
        self.finished_runs.insert(name.to_owned(), run.number);
        self.ended_rows
            .push(json!([self.end_count, name, run.number, outcome, ""]));
    }

    fn start(
        &mut self,
        order: &WorkerOrder,
        fails: bool,
        counts: &mut TaskCounts,
    ) -> Result<(), &'static str> {
        self.check_token(order)?;
        self.extend(order.deadline_at_ms);
        let active_number = self.runs.get(&order.task).map(|run| run.number);
        if active_number == Some(order.run) {
            return Ok(());
        }
        let finished_run = self.finished_runs.get(&order.task).copied().unwrap_or(0);
        if order.run <= finished_run {
            return Err("old");
        }
        if order
            .deadline_at_ms
            .is_some_and(|deadline| deadline < self.clock_ms())
        {
            return Err("late");
        }
        if self
            .ticket
            .as_ref()
            .is_some_and(|ticket| *ticket != order.ticket)
        {
            return Err("ticket");
        }
        let (gang_size, payload) = split_gang(&order.task_spec);
        let duration = match payload {
            "lasts" => None,
            "fail" => Some(Duration::ZERO),
            text => {
                let millis = text
                    .strip_prefix("ms=")
                    .and_then(|number| number.parse().ok());
                Some(millis.map_or(DEFAULT_TASK_TIME, Duration::from_millis))
            }
        };
        let run = ActiveRun {
            number: order.run,
            started_at: Instant::now(),
            duration,
            gang: gang_size.map(|size| self.gangs.join(&order.task, order.run, size)),
            fails: fails || order.task_spec == "fail",
        };
        *counts.starts.entry(order.task.clone()).or_default() += 1;
        self.runs.insert(order.task.clone(), run);
        Ok(())
    }

    fn stop(&mut self, order: &WorkerOrder) -> Result<(), &'static str> {
        self.check_token(order)?;
        let finished_run = self.finished_runs.entry(order.task.clone()).or_default();
        *finished_run = order.run.max(*finished_run);
        if self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.number <= order.run)
        {
            self.end(&order.task, "stopped");
        }
        Ok(())
    }

    fn check_token(&mut self, order: &WorkerOrder) -> Result<(), &'static str> {
        if order.fencing_token < self.newest_token {
            return Err("fence");
        }
        self.newest_token = order.fencing_token;
        Ok(())
    }

    fn report(&self, garbled: bool) -> Value {
        let running = self.runs.iter().map(|(name, run)| {
            let percent = match run.duration {
                None => 100,
                Some(duration) => (100 * run.started_at.elapsed().as_millis()
                    / duration.as_millis().max(1))
                .min(99),
            };
            let name = if garbled { "7.x" } else { name };
            json!([name, run.number, "", percent as u64, 0])
        });
        let running: Vec<Value> = running.collect();
        let ended = &self.ended_rows[..self.ended_rows.len().min(MAX_ENDED_ROWS)];
        json!({"clock_ms": self.clock_ms(), "born": self.number, "running": running, "ended": ended})
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
        let incarnation = Arc::new(Mutex::new(WorkerIncarnation::new(1, gangs)));
        let counts = Arc::new(Mutex::new(TaskCounts::default()));
        let (fault, fault_receiver) = watch::channel(WorkerFault::None);
        let (tickets_required, ticket_switch) = watch::channel(false);
        let (state, state_receiver) = watch::channel("ready");
        let (raw_entry, raw_receiver) = watch::channel(None::<Vec<u8>>);
        let (shared, shared_counts, target) = (incarnation.clone(), counts.clone(), id.to_owned());
        let server = http::spawn(loopback(), move |_, request| {
            let fault = *fault_receiver.borrow();
            let context = RequestContext {
                incarnation: shared.clone(),
                counts: shared_counts.clone(),
                fault,
                target: target.clone(),
                requires_ticket: *ticket_switch.borrow(),
            };
            serve(context, request)
        });
        let server = server.await?;
        let (key, address, pool) = (id.to_owned(), server.address, pool.to_owned());
        let registered = incarnation.clone();
        let heartbeat_task = tokio::spawn(async move {
            let mut seq = 0u64;
            loop {
                seq += 1;
                let state = *state_receiver.borrow();
                let number = registered.lock().await.number;
                let entry = json!({"service": pool, "address": address.to_string(), "zone": "dc-1",
                    "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "born": number,
                    "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0},
                    "labels": ["a", "r-1"], "seq": seq});
                let bytes = raw_receiver.borrow().clone();
                let bytes = bytes.unwrap_or_else(|| entry.to_string().into_bytes());
                store.put_bytes("keyed.servers", &key, &bytes);
                sleep(heartbeat).await;
            }
        });
        Ok(Self {
            id: id.to_owned(),
            incarnation,
            counts,
            fault,
            tickets_required,
            state,
            raw_entry,
            _server: server,
            heartbeat_task,
        })
    }

    /// Id of the worker.
    pub fn id(&self) -> &str {
        &self.id
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

    /// Registers with these bytes in place of its entry from now on; `None` for the entry again.
    pub fn replace_entry(&self, bytes: Option<&[u8]>) {
        self.raw_entry.send_replace(bytes.map(<[u8]>::to_vec));
    }

    /// Restarts under the same id, without its runs and their history.
    pub async fn restart(&self) {
        let mut incarnation = self.incarnation.lock().await;
        let gangs = incarnation.gangs.clone();
        *incarnation = WorkerIncarnation::new(incarnation.number + 1, gangs);
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

/// State of the worker that a request is served with.
struct RequestContext {
    incarnation: Arc<Mutex<WorkerIncarnation>>,
    counts: Arc<Mutex<TaskCounts>>,
    fault: WorkerFault,
    target: String,
    requires_ticket: bool,
}

async fn serve(context: RequestContext, request: Request<Incoming>) -> Response<ResponseBody> {
    let RequestContext {
        incarnation,
        counts,
        fault,
        target,
        requires_ticket,
    } = context;
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
    incarnation.lock().await.ticket = requires_ticket.then(|| policy::ticket(&target));
    match path.as_str() {
        "/v1/run-start" => start(incarnation, counts, fault, order).await,
        "/v1/run-stop" => {
            let (mut incarnation, mut counts) = (incarnation.lock().await, counts.lock().await);
            // A run that has ended by itself is no longer there to be stopped.
            incarnation.finish_due(&mut counts);
            let stopped = incarnation.stop(&order);
            order_response(&incarnation, stopped)
        }
        "/v1/hold" => hold(incarnation, counts, fault, order).await,
        _ => http::status(StatusCode::NOT_FOUND),
    }
}

async fn start(
    incarnation: Arc<Mutex<WorkerIncarnation>>,
    counts: Arc<Mutex<TaskCounts>>,
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
            let (mut incarnation, mut counts) = (incarnation.lock().await, counts.lock().await);
            // The outcome is not reported: the request is never answered.
            let _ = incarnation.start(&order, fails, &mut counts);
        });
        return std::future::pending().await;
    }
    let response = {
        let (mut incarnation, mut counts) = (incarnation.lock().await, counts.lock().await);
        let started = incarnation.start(&order, fails, &mut counts);
        order_response(&incarnation, started)
    };
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
    loop {
        {
            let (mut incarnation, mut counts) = (incarnation.lock().await, counts.lock().await);
            if let Err(reason) = incarnation.check_token(&order) {
                return order_response(&incarnation, Err(reason));
            }
            incarnation.finish_due(&mut counts);
            incarnation.extend(order.deadline_at_ms);
            let ack_cursor = order.ack_cursor;
            incarnation
                .ended_rows
                .retain(|row| row[0].as_u64().is_some_and(|end| end > ack_cursor));
            if !incarnation.ended_rows.is_empty() || Instant::now() >= wait_until {
                let garbled = fault == WorkerFault::GarbledReports;
                return http::json(&incarnation.report(garbled));
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}
