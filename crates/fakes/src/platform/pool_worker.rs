//! A worker: runs tasks under leases, lists what has ended, registers in the store.
//!
//! What a task does is in its payload: `ms=N` takes N milliseconds, `fail` fails at once, `lasts`
//! runs until it is stopped. Anything else takes a moment.

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

use super::{KeyedLog, loopback, policy};
use crate::http::{self, FakeBody, FakeServer};

/// What a task takes whose payload does not say.
const USUAL: Duration = Duration::from_millis(30);
/// The longest lease.
const HOLD_MAX_MS: u64 = 3_000;
/// Orders that are carried out late wait this long.
const LATE: Duration = Duration::from_millis(1_200);
/// The most ends of one answer.
const MAX_ENDED: usize = 500;

/// How a worker misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// It does not.
    #[default]
    None,
    /// It answers nothing and runs on.
    Silent,
    /// It fails all that it starts.
    FailAll,
    /// It carries starts out and does not answer them.
    LoseReplies,
    /// It carries starts out late and does not answer them.
    Late,
    /// It refuses starts.
    Refuse,
}

#[derive(Debug, Deserialize)]
struct Order {
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

/// A run at work.
#[derive(Debug)]
struct Run {
    run: u64,
    began: Instant,
    /// None for one that lasts.
    takes: Option<Duration>,
    fails: bool,
}

/// One life of a worker.
#[derive(Debug)]
struct Life {
    began: Instant,
    born: u64,
    token: u64,
    deadline: Option<u64>,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that has ended or been stopped here.
    over: BTreeMap<String, u64>,
    ended: Vec<Value>,
    ends: u64,
    /// The ticket that a start must carry, where one is asked for.
    ticket: Option<String>,
}

/// What a worker has run, as an outside observer counts it.
#[derive(Debug, Default)]
struct Tally {
    /// Starts of each task.
    starts: BTreeMap<String, u32>,
    /// Ends as done of each task.
    done: BTreeMap<String, u32>,
}

/// A running worker.
pub struct PoolWorker {
    id: String,
    life: Arc<Mutex<Life>>,
    tally: Arc<Mutex<Tally>>,
    fault: watch::Sender<WorkerFault>,
    tickets: watch::Sender<bool>,
    state: watch::Sender<&'static str>,
    _server: FakeServer,
    beats: JoinHandle<()>,
}

impl Drop for PoolWorker {
    fn drop(&mut self) {
        self.beats.abort();
    }
}

impl Life {
    fn begin(born: u64) -> Self {
        Self {
            began: Instant::now(),
            born,
            token: 0,
            deadline: None,
            runs: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            ticket: None,
        }
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline: Option<u64>) {
        let longest = self.clock() + HOLD_MAX_MS;
        let wanted = deadline.map(|at| at.min(longest));
        self.deadline = self.deadline.max(wanted);
    }

    /// Ends what is done, and everything once the lease has lapsed.
    fn settle(&mut self, tally: &mut Tally) {
        let now = self.clock();
        let lapsed = self.deadline.is_some_and(|deadline| now > deadline);
        let over = |run: &Run| run.takes.is_some_and(|takes| run.began.elapsed() >= takes);
        let names: Vec<String> = self.runs.keys().cloned().collect();
        for name in names {
            let run = &self.runs[&name];
            let how = match (over(run), run.fails, lapsed) {
                (true, true, _) => "failed",
                (true, false, _) => "done",
                (false, _, true) => "lapsed",
                _ => continue,
            };
            if how == "done" {
                *tally.done.entry(name.clone()).or_default() += 1;
            }
            self.end(&name, how);
        }
    }

    fn end(&mut self, name: &str, how: &str) {
        let Some(run) = self.runs.remove(name) else {
            return;
        };
        self.ends += 1;
        self.over.insert(name.to_owned(), run.run);
        self.ended.push(json!([self.ends, name, run.run, how, ""]));
    }

    fn start(&mut self, order: &Order, fails: bool, tally: &mut Tally) -> Result<(), &'static str> {
        self.check_token(order)?;
        self.extend(order.deadline_at_ms);
        let here = self.runs.get(&order.task).map(|run| run.run);
        if here == Some(order.run) {
            return Ok(());
        }
        let over = self.over.get(&order.task).copied().unwrap_or(0);
        if order.run <= over {
            return Err("old");
        }
        if order
            .deadline_at_ms
            .is_some_and(|deadline| deadline < self.clock())
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
        let takes = match order.task_spec.as_str() {
            "lasts" => None,
            "fail" => Some(Duration::ZERO),
            text => {
                let millis = text
                    .strip_prefix("ms=")
                    .and_then(|number| number.parse().ok());
                Some(millis.map_or(USUAL, Duration::from_millis))
            }
        };
        let run = Run {
            run: order.run,
            began: Instant::now(),
            takes,
            fails: fails || order.task_spec == "fail",
        };
        *tally.starts.entry(order.task.clone()).or_default() += 1;
        self.runs.insert(order.task.clone(), run);
        Ok(())
    }

    fn stop(&mut self, order: &Order) -> Result<(), &'static str> {
        self.check_token(order)?;
        let over = self.over.entry(order.task.clone()).or_default();
        *over = order.run.max(*over);
        if self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.run <= order.run)
        {
            self.end(&order.task, "stopped");
        }
        Ok(())
    }

    fn check_token(&mut self, order: &Order) -> Result<(), &'static str> {
        if order.fencing_token < self.token {
            return Err("fence");
        }
        self.token = order.fencing_token;
        Ok(())
    }

    fn report(&self) -> Value {
        let running = self.runs.iter().map(|(name, run)| {
            let percent = match run.takes {
                None => 100,
                Some(takes) => {
                    (100 * run.began.elapsed().as_millis() / takes.as_millis().max(1)).min(99)
                }
            };
            json!([name, run.run, "", percent as u64, 0])
        });
        let running: Vec<Value> = running.collect();
        let ended = &self.ended[..self.ended.len().min(MAX_ENDED)];
        json!({"clock_ms": self.clock(), "born": self.born, "running": running, "ended": ended})
    }
}

impl PoolWorker {
    /// Starts a worker of a pool that registers in a store.
    ///
    /// # Errors
    ///
    /// No address is free.
    pub async fn spawn(
        id: &str,
        pool: &str,
        store: KeyedLog,
        heartbeat: Duration,
    ) -> std::io::Result<Self> {
        let life = Arc::new(Mutex::new(Life::begin(1)));
        let tally = Arc::new(Mutex::new(Tally::default()));
        let (fault, faults) = watch::channel(WorkerFault::None);
        let (tickets, asks) = watch::channel(false);
        let (state, states) = watch::channel("ready");
        let (served, counted, target) = (life.clone(), tally.clone(), id.to_owned());
        let server = http::spawn(loopback(), move |_, request| {
            let fault = *faults.borrow();
            let side = WorkerSide {
                life: served.clone(),
                tally: counted.clone(),
                fault,
                target: target.clone(),
                ticketed: *asks.borrow(),
            };
            serve(side, request)
        });
        let server = server.await?;
        let (own, address, pool) = (id.to_owned(), server.address, pool.to_owned());
        let beating = life.clone();
        let beats = tokio::spawn(async move {
            let mut seq = 0u64;
            loop {
                seq += 1;
                let state = *states.borrow();
                let born = beating.lock().await.born;
                let entry = json!({"service": pool, "address": address.to_string(), "zone": "dc-1",
                    "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "born": born,
                    "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0},
                    "labels": ["a", "r-1"], "seq": seq});
                store.put("keyed.servers", &own, &entry);
                sleep(heartbeat).await;
            }
        });
        Ok(Self {
            id: id.to_owned(),
            life,
            tally,
            fault,
            tickets,
            state,
            _server: server,
            beats,
        })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Misbehaves from now on.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.fault.send_replace(fault);
    }

    /// Starts only what carries the policy service's ticket from now on.
    pub fn require_tickets(&self) {
        self.tickets.send_replace(true);
    }

    /// Says that it drains.
    pub fn drain(&self) {
        self.state.send_replace("draining");
    }

    /// Starts anew under the same id: runs nothing and knows nothing.
    pub async fn restart(&self) {
        let mut life = self.life.lock().await;
        *life = Life::begin(life.born + 1);
    }

    /// How often each task was started here.
    pub async fn starts(&self) -> BTreeMap<String, u32> {
        self.tally.lock().await.starts.clone()
    }

    /// How often each task ended as done here.
    pub async fn done(&self) -> BTreeMap<String, u32> {
        let (mut life, mut tally) = (self.life.lock().await, self.tally.lock().await);
        life.settle(&mut tally);
        tally.done.clone()
    }

    /// The tasks that run here now.
    pub async fn running(&self) -> Vec<String> {
        let (mut life, mut tally) = (self.life.lock().await, self.tally.lock().await);
        life.settle(&mut tally);
        life.runs.keys().cloned().collect()
    }
}

/// What a request meets.
struct WorkerSide {
    life: Arc<Mutex<Life>>,
    tally: Arc<Mutex<Tally>>,
    fault: WorkerFault,
    target: String,
    ticketed: bool,
}

async fn serve(side: WorkerSide, request: Request<Incoming>) -> Response<FakeBody> {
    let WorkerSide {
        life,
        tally,
        fault,
        target,
        ticketed,
    } = side;
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
    let Ok(order) = serde_json::from_slice::<Order>(&body.to_bytes()) else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    life.lock().await.ticket = ticketed.then(|| policy::ticket(&target));
    match path.as_str() {
        "/v1/run-start" => start(life, tally, fault, order).await,
        "/v1/run-stop" => {
            let mut life = life.lock().await;
            let stopped = life.stop(&order);
            verdict(&life, stopped)
        }
        "/v1/hold" => hold(life, tally, order).await,
        _ => http::status(StatusCode::NOT_FOUND),
    }
}

async fn start(
    life: Arc<Mutex<Life>>,
    tally: Arc<Mutex<Tally>>,
    fault: WorkerFault,
    order: Order,
) -> Response<FakeBody> {
    if fault == WorkerFault::Refuse {
        return http::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let fails = fault == WorkerFault::FailAll;
    if fault == WorkerFault::Late {
        tokio::spawn(async move {
            sleep(LATE).await;
            let (mut life, mut tally) = (life.lock().await, tally.lock().await);
            // Nobody hears how it ended.
            let _ = life.start(&order, fails, &mut tally);
        });
        return std::future::pending().await;
    }
    let response = {
        let (mut life, mut tally) = (life.lock().await, tally.lock().await);
        let started = life.start(&order, fails, &mut tally);
        verdict(&life, started)
    };
    if fault == WorkerFault::LoseReplies {
        return std::future::pending().await;
    }
    response
}

fn verdict(life: &Life, outcome: Result<(), &'static str>) -> Response<FakeBody> {
    match outcome {
        Ok(()) => http::json(&json!({"clock_ms": life.clock(), "born": life.born})),
        Err(reason) => {
            let mut response = http::json(&json!({"clock_ms": life.clock(), "reason": reason}));
            *response.status_mut() = StatusCode::CONFLICT;
            response
        }
    }
}

async fn hold(
    life: Arc<Mutex<Life>>,
    tally: Arc<Mutex<Tally>>,
    order: Order,
) -> Response<FakeBody> {
    let until = Instant::now() + Duration::from_millis(order.wait_ms.min(2_000));
    loop {
        {
            let (mut life, mut tally) = (life.lock().await, tally.lock().await);
            if let Err(reason) = life.check_token(&order) {
                return verdict(&life, Err(reason));
            }
            life.settle(&mut tally);
            life.extend(order.deadline_at_ms);
            let acked = order.ack_cursor;
            life.ended
                .retain(|row| row[0].as_u64().is_some_and(|number| number > acked));
            if !life.ended.is_empty() || Instant::now() >= until {
                return http::json(&life.report());
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}
