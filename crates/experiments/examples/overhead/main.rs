//! Measures the entry against direct calls: requests a second, added latency and scaling with
//! threads.
//!
//! The caller and the upstream do minimal work and share two threads of their own, which leaves six
//! of eight cores to the entry.

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use jacinthhoist_codec::VmView;
use jacinthhoist_experiments::{
    FigureTable, FleetPlan, LocalFleet, RawCaller, processor_time, ratio, spawn_raw_upstream,
};
use jacinthhoist_fakes::VmEntry;
use serde::Serialize;
use tokio::{sync::mpsc, time::Instant};

const LOOP_DURATION: Duration = Duration::from_secs(3);
const CALLER_COUNT: usize = 96;
const VM_COUNT: usize = 16;
const CATALOGUE: &str = include_str!("../flood/classed.toml");
const MAX_RECORDED_US: u64 = 60_000_000;

/// Results of a closed loop of callers.
#[derive(Clone, Copy, Debug, Serialize)]
struct LoopFigures {
    requests_per_sec: f64,
    cores_used: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Results of the entry, compared with direct calls and with an entry of one thread.
#[derive(Serialize)]
struct OverheadFigures {
    requests_per_sec: f64,
    cores_used: f64,
    requests_per_core_sec: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    times_one_thread: f64,
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    let mut one_thread = 0.0;
    for threads in [1, 2, 4, 8] {
        let mut upstreams = Vec::new();
        for _ in 0..VM_COUNT {
            upstreams.push(spawn_raw_upstream().await.expect("the upstream starts"));
        }
        let fleet = start_fleet(threads, &upstreams).await;
        let direct = run_loop(&upstreams).await;
        let entry = run_loop(&[fleet.caller(0)]).await;
        if threads == 1 {
            table.row("direct call", &direct);
            one_thread = entry.requests_per_sec;
        }
        // Assumes that caller and upstream use as much processor time per request as in direct
        // calls.
        let load_cores = direct.cores_used * ratio(entry.requests_per_sec, direct.requests_per_sec);
        let entry_cores = (entry.cores_used - load_cores).max(0.01);
        let figures = OverheadFigures {
            requests_per_sec: entry.requests_per_sec,
            cores_used: entry_cores,
            requests_per_core_sec: entry.requests_per_sec / entry_cores,
            added_p50_ms: entry.p50_ms - direct.p50_ms,
            added_p99_ms: entry.p99_ms - direct.p99_ms,
            times_one_thread: ratio(entry.requests_per_sec, one_thread),
        };
        table.row(&format!("entry, {threads} threads"), &figures);
    }
}

async fn start_fleet(threads: usize, upstreams: &[SocketAddr]) -> LocalFleet {
    let mut plan = FleetPlan::deployment(CATALOGUE, 1);
    plan.members = 1;
    plan.workers = 0;
    plan.threads = threads;
    plan.catalogue = plan.catalogue.replace("base_vms = 10", "base_vms = 16");
    let fleet = LocalFleet::start(plan).await;
    for (number, address) in upstreams.iter().enumerate() {
        fleet
            .list
            .add(VmEntry::worker(
                &format!("raw{number}"),
                *address,
                "dc-1",
                "rack-1",
            ))
            .await;
    }
    let serving = |views: &Vec<VmView>| {
        views.iter().filter(|view| view.phase == "serving").count() == VM_COUNT
    };
    fleet
        .wait_for_view(0, "/v1/vms", "the VMs serve", serving)
        .await;
    fleet
}

/// Runs callers that each send the next request when the previous one is answered.
async fn run_loop(addresses: &[SocketAddr]) -> LoopFigures {
    let (histogram_sender, mut histogram_receiver) = mpsc::unbounded_channel();
    let deadline = Instant::now() + LOOP_DURATION;
    let cpu_before = processor_time();
    for number in 0..CALLER_COUNT {
        let (address, histogram_sender) = (
            addresses[number % addresses.len()],
            histogram_sender.clone(),
        );
        tokio::spawn(async move {
            let mut latencies = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3)
                .expect("the bounds are valid");
            let mut caller = RawCaller::connect(address, "urgent")
                .await
                .expect("the address accepts connections");
            while Instant::now() < deadline {
                let sent = Instant::now();
                let success = caller.send().await.expect("the connection stays open");
                if success {
                    latencies.saturating_record(sent.elapsed().as_micros() as u64);
                }
            }
            // Cannot fail: the receiver outlives all senders.
            let _ = histogram_sender.send(latencies);
        });
    }
    drop(histogram_sender);
    let mut latencies_total =
        Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3).expect("the bounds are valid");
    while let Some(latencies) = histogram_receiver.recv().await {
        latencies_total
            .add(latencies)
            .expect("the bounds are equal");
    }
    LoopFigures {
        requests_per_sec: latencies_total.len() as f64 / LOOP_DURATION.as_secs_f64(),
        cores_used: (processor_time() - cpu_before).as_secs_f64() / LOOP_DURATION.as_secs_f64(),
        p50_ms: latencies_total.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_ms: latencies_total.value_at_quantile(0.99) as f64 / 1_000.0,
    }
}
