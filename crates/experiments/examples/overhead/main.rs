//! What the entry costs against a direct call: requests a second, added wait, scaling by threads.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hdrhistogram::Histogram;
use jacinthhoist_experiments::{FigureTable, FleetPlan, LocalFleet, WorkCaller, ratio};
use serde::Serialize;
use tokio::{sync::mpsc, time::Instant};

const SPAN: Duration = Duration::from_secs(3);
const CALLERS: usize = 48;
const CATALOGUE: &str = include_str!("../flood/classed.toml");
const LONGEST_US: u64 = 60_000_000;

/// A closed loop of callers.
#[derive(Clone, Copy, Debug, Serialize)]
struct LoopFigures {
    requests_per_sec: f64,
    cpu_secs_per_1000: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// The entry against the direct call, and against one thread.
#[derive(Serialize)]
struct OverheadFigures {
    requests_per_sec: f64,
    cpu_secs_per_1000: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    of_direct: f64,
    times_one_thread: f64,
}

#[tokio::main(worker_threads = 4)]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    let mut one_thread = 0.0;
    for threads in [1, 2, 4, 8] {
        let mut plan = FleetPlan::deployment(CATALOGUE, 1);
        plan.members = 1;
        plan.workers = 16;
        plan.service_ms = 0;
        plan.threads = threads;
        plan.catalogue = plan.catalogue.replace("base_vms = 10", "base_vms = 16");
        let fleet = LocalFleet::open(plan).await;
        let upstreams: Vec<SocketAddr> = fleet.upstreams.values().map(|vm| vm.address()).collect();
        let direct = run_loop(&upstreams).await;
        let entry = run_loop(&[fleet.caller(0)]).await;
        if threads == 1 {
            table.row("direct call", &direct);
            one_thread = entry.requests_per_sec;
        }
        let figures = OverheadFigures {
            requests_per_sec: entry.requests_per_sec,
            cpu_secs_per_1000: entry.cpu_secs_per_1000,
            added_p50_ms: entry.p50_ms - direct.p50_ms,
            added_p99_ms: entry.p99_ms - direct.p99_ms,
            of_direct: ratio(entry.requests_per_sec, direct.requests_per_sec),
            times_one_thread: ratio(entry.requests_per_sec, one_thread),
        };
        table.row(&format!("entry, {threads} threads"), &figures);
    }
}

/// Callers that each send the next request when the last is answered.
async fn run_loop(addresses: &[SocketAddr]) -> LoopFigures {
    let done = Arc::new(AtomicU64::new(0));
    let (samples, mut gathered) = mpsc::unbounded_channel();
    let until = Instant::now() + SPAN;
    let cpu = cpu_secs();
    for number in 0..CALLERS {
        let caller = WorkCaller::new(addresses[number % addresses.len()]).service_ms(0);
        let (done, samples) = (done.clone(), samples.clone());
        tokio::spawn(async move {
            let mut waits =
                Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are good");
            let mut connection = caller.connect().await.expect("the address answers");
            while Instant::now() < until {
                let sent = Instant::now();
                if caller
                    .send_on(&mut connection, "urgent", "x")
                    .await
                    .is_err()
                {
                    connection = caller.connect().await.expect("the address answers");
                    continue;
                }
                done.fetch_add(1, Ordering::Relaxed);
                waits.saturating_record(sent.elapsed().as_micros() as u64);
            }
            // The gatherer outlives every sender.
            let _ = samples.send(waits);
        });
    }
    drop(samples);
    let mut all = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are good");
    while let Some(waits) = gathered.recv().await {
        all.add(waits).expect("the bounds are the same");
    }
    let done = done.load(Ordering::Relaxed) as f64;
    LoopFigures {
        requests_per_sec: done / SPAN.as_secs_f64(),
        cpu_secs_per_1000: (cpu_secs() - cpu) * 1_000.0 / done,
        p50_ms: all.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_ms: all.value_at_quantile(0.99) as f64 / 1_000.0,
    }
}

/// Processor time of this process in seconds, from the system's own count.
fn cpu_secs() -> f64 {
    jacinthhoist_experiments::processor_time().as_secs_f64()
}
