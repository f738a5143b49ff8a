//! A queue with a policy whose service takes its time.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::fleet::{Fleet, Record, Result, Setup};

const POOL: &str = "estimating";
/// Queue that the change adds, with a policy, on the service of the pool.
const ADDED: &str = "drafting";
/// Workers of the pool on the users' small installation.
const WORKERS: usize = 9;
const MAX_FDS: u32 = 4_100;
const JOB: &str = "5c0e7a21d94b36f8";
const DECIDE_MS: u64 = 200;
const VALID_MS: u64 = 1_000;
/// Time for which the job is watched. The rule allows 3 s without a run.
const WATCH: Duration = Duration::from_secs(25);

#[derive(Clone, Copy)]
struct Policy {
    each_ms: u64,
}

/// Service at `advice`: one call at a time, answered after `decide_ms` and `each_ms` for each worker named. All workers
/// may run each step, and its tickets are those that the fake workers accept, without an end.
async fn serve(listener: TcpListener, policy: Policy, record: Record) {
    let mut calls = 0;
    while let Ok((stream, _)) = listener.accept().await {
        let begun = Instant::now();
        if let Ok(named) = answer(stream, policy).await {
            calls += 1;
            if calls <= 40 {
                record.write(&format!(
                    "advice: call {calls} names {named} workers, answered after {:?}",
                    begun.elapsed()
                ));
            }
        }
    }
}

async fn answer(mut stream: TcpStream, policy: Policy) -> Result<usize> {
    let (mut bytes, mut part) = (Vec::new(), [0; 4_096]);
    let body: Value = loop {
        let length = stream.read(&mut part).await?;
        if length == 0 {
            return Err("closed".into());
        }
        bytes.extend_from_slice(&part[..length]);
        let text = String::from_utf8_lossy(&bytes);
        let body = text
            .split_once("\r\n\r\n")
            .map(|(_, body)| serde_json::from_str(body));
        if let Some(Ok(body)) = body {
            break body;
        }
    };
    let workers = body["workers"].as_array().cloned().unwrap_or_default();
    sleep(Duration::from_millis(
        DECIDE_MS + policy.each_ms * workers.len() as u64,
    ))
    .await;
    let good: Vec<Value> = workers
        .iter()
        .filter_map(Value::as_str)
        .map(|worker| json!([worker, format!("t-{worker}")]))
        .collect();
    let body = json!({"good": good, "valid_ms": VALID_MS}).to_string();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    Ok(workers.len())
}

/// Adds a queue whose policy service answers for nine workers in 0.74 s, and hands in one job on it.
pub async fn run(mut setup: Setup) -> Result<bool> {
    let each_ms = if setup.trouble { 60 } else { 10 };
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address: SocketAddr = listener.local_addr()?;
    setup.advice = Some(address);
    let fleet = Fleet::open(setup, &[POOL], WORKERS, MAX_FDS).await?;
    let service = tokio::spawn(serve(listener, Policy { each_ms }, fleet.record.clone()));
    for worker in &fleet.platform.workers {
        worker.require_tickets();
    }
    let route = |name: &str| {
        json!({
            "name": name,
            "host": format!("{name}.example"),
            "path_prefix": "/jobs/",
            "kind": "non_idempotent",
            "service": POOL,
            "timeout_ms": 3_000,
            "slo_ms": 600,
            "priority": 0,
            "max_attempts": 2,
            "stretch": 2.0,
        })
    };
    let mut added = route(ADDED);
    added["advice"] = json!({"decide_ms": DECIDE_MS, "each_ms": each_ms, "valid_ms": VALID_MS});
    let services = json!([{"name": POOL, "max_conns": 64, "rejects_overload": true}]);
    let config = json!({"version": 2, "routes": [route(POOL), added], "services": services});
    fleet
        .record
        .write(&format!("the operator writes op/config: {config}"));
    fleet.platform.store.put("keyed.op", "config", &config);
    sleep(Duration::from_secs(3)).await;
    let step = json!({"count": 4, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 500});
    let job = json!({"task_spec": "ms=500", "steps": [step]}).to_string();
    if !fleet.submit(ADDED, JOB, &job).await {
        return Err("the job was not accepted".into());
    }
    let accepted_at = Instant::now();
    let mut state = None;
    while accepted_at.elapsed() < WATCH && state.as_deref() != Some("completed") {
        sleep(Duration::from_millis(1_500)).await;
        state = fleet.state(1, ADDED, JOB).await;
    }
    let runs = fleet.record_runs(JOB).await.len();
    service.abort();
    let is_broken = state.as_deref() != Some("completed") && runs == 0;
    fleet.record.write(&format!(
        "{:.1} s after it was accepted the job is shown as {state:?}, with {runs} runs, on {WORKERS} empty workers that may all run it: {}",
        accepted_at.elapsed().as_secs_f64(),
        if is_broken { "BROKEN: LOST" } else { "held" }
    ));
    Ok(is_broken)
}
