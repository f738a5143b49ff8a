//! A sound job whose worker crashes several times while it runs there.

use std::time::{Duration, Instant};

use jacinthhoist_fakes::PoolWorker;
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::{Fleet, Result, Setup};

const POOL: &str = "estimating";
/// Workers of the pool on the users' small installation.
const WORKERS: usize = 9;
/// `max_fds` of the users' small installations.
const MAX_FDS: u32 = 4_100;
const JOB: &str = "5c0e7a21d94b36f8";
/// Time for which a worker is down after a crash.
const DOWN: Duration = Duration::from_millis(1_500);

/// Four crashes, each some seconds after the task has started.
pub async fn late(setup: Setup) -> Result<bool> {
    run(setup, 4, Duration::from_millis(2_500), 12_000).await
}

/// Two crashes, each shortly after the task has started.
pub async fn early(setup: Setup) -> Result<bool> {
    run(setup, 2, Duration::from_millis(80), 4_000).await
}

async fn run(setup: Setup, crashes: usize, age: Duration, work_ms: u64) -> Result<bool> {
    let fleet = Fleet::open(setup, &[POOL], WORKERS, MAX_FDS).await?;
    let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 100, "estimate_ms": work_ms});
    let job = json!({"task_spec": format!("ms={work_ms}"), "steps": [step]}).to_string();
    let accepted = fleet.call(0, "POST", POOL, JOB, &job).await;
    if accepted.map(|(status, _)| status) != Some(200) {
        return Err("the job was not accepted".into());
    }
    let until = Instant::now() + Duration::from_secs(75);
    let mut crashed = 0;
    let mut state = None;
    while Instant::now() < until {
        if fleet.trouble && crashed < crashes {
            if let Some(number) = fleet.worker_of(JOB).await {
                sleep(age).await;
                let worker: &PoolWorker = &fleet.platform.workers[number];
                let id = worker.id().to_owned();
                worker.restart_process(DOWN).await;
                crashed += 1;
                fleet.record.write(&format!("worker {id} has crashed and is back after {DOWN:?} as a new boot"));
            }
            sleep(Duration::from_millis(5)).await;
            continue;
        }
        state = fleet.state(1, POOL, JOB).await;
        if matches!(state.as_deref(), Some("completed" | "failed" | "cancelled")) {
            break;
        }
        sleep(Duration::from_millis(1_000)).await;
    }
    let ends = fleet.record_runs(JOB).await;
    let failed_ends = ends.iter().filter(|end| **end == "failed").count();
    let state = state.ok_or("the state of the job is not known")?;
    let broken = state == "failed" && failed_ends == 0;
    fleet.record.write(&format!(
        "the job is shown as `{state}`; {crashed} crashes of a worker; {failed_ends} ends `failed`: {}",
        if broken { "BROKEN: LOST" } else { "held" }
    ));
    Ok(broken)
}
