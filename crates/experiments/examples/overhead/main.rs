//! What the entry costs against a direct call: requests a second, added wait, scaling by threads.
//!
//! Caller and upstream are the cheapest there can be and have two threads of their own; of eight
//! cores that leaves six to the entry.

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use jacinthhoist_codec::VmView;
use jacinthhoist_experiments::{
    FigureTable, FleetPlan, LocalFleet, RawCaller, processor_time, ratio, spawn_raw_upstream,
};
use jacinthhoist_fakes::VmEntry;
use serde::Serialize;
use tokio::{sync::mpsc, time::Instant};

const SPAN: Duration = Duration::from_secs(3);
const CALLERS: usize = 96;
const VMS: usize = 16;
const CATALOGUE: &str = include_str!("../flood/classed.toml");
const LONGEST_US: u64 = 60_000_000;

/// A closed loop of callers.
#[derive(Clone, Copy, Debug, Serialize)]
struct LoopFigures {
    requests_per_sec: f64,
    cores_used: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// The entry against the direct call, and against one thread.
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
        for _ in 0..VMS {
            upstreams.push(spawn_raw_upstream().await.expect("an upstream starts"));
        }
        let fleet = open(threads, &upstreams).await;
        let direct = run_loop(&upstreams).await;
        let entry = run_loop(&[fleet.caller(0)]).await;
        if threads == 1 {
            table.row("direct call", &direct);
            one_thread = entry.requests_per_sec;
        }
        // The load's own cost for each request is that of a direct call.
        let load_cores = direct.cores_used * ratio(entry.requests_per_sec, direct.requests_per_sec);
        let own_cores = (entry.cores_used - load_cores).max(0.01);
        let figures = OverheadFigures {
            requests_per_sec: entry.requests_per_sec,
            cores_used: own_cores,
            requests_per_core_sec: entry.requests_per_sec / own_cores,
            added_p50_ms: entry.p50_ms - direct.p50_ms,
            added_p99_ms: entry.p99_ms - direct.p99_ms,
            times_one_thread: ratio(entry.requests_per_sec, one_thread),
        };
        table.row(&format!("entry, {threads} threads"), &figures);
    }
}

async fn open(threads: usize, upstreams: &[SocketAddr]) -> LocalFleet {
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
    let serving =
        |views: &Vec<VmView>| views.iter().filter(|view| view.phase == "serving").count() == VMS;
    fleet
        .wait_for_view(0, "/v1/vms", "the VMs serve", serving)
        .await;
    fleet
}

/// Callers that each send the next request when the last is answered.
async fn run_loop(addresses: &[SocketAddr]) -> LoopFigures {
    let (samples, mut gathered) = mpsc::unbounded_channel();
    let until = Instant::now() + SPAN;
    let cpu = processor_time();
    for number in 0..CALLERS {
        let (address, samples) = (addresses[number % addresses.len()], samples.clone());
        tokio::spawn(async move {
            let mut waits =
                Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are good");
            let mut caller = RawCaller::connect(address, "urgent")
                .await
                .expect("the address answers");
            while Instant::now() < until {
                let sent = Instant::now();
                let success = caller.send().await.expect("the connection stays");
                if success {
                    waits.saturating_record(sent.elapsed().as_micros() as u64);
                }
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
    LoopFigures {
        requests_per_sec: all.len() as f64 / SPAN.as_secs_f64(),
        cores_used: (processor_time() - cpu).as_secs_f64() / SPAN.as_secs_f64(),
        p50_ms: all.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_ms: all.value_at_quantile(0.99) as f64 / 1_000.0,
    }
}
