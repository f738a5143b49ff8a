//! Measures each queue of a deployment, and the other queues, while it surges to five times its
//! mean load and then falls to a twentieth.

use std::time::Duration;

use jacinthhoist_experiments::{
    FigureTable, FleetPlan, LoadPlan, LoadSummary, LocalFleet, percent, ratio, run_load,
};
use serde::Serialize;

const SERVICE_MS: u64 = 100;
const CALM_DURATION: Duration = Duration::from_secs(2);
const SURGE_DURATION: Duration = Duration::from_secs(4);
const FALL_DURATION: Duration = Duration::from_secs(1);
/// Number of slots of a pool of nine VMs.
const POOL_SLOTS: f64 = 72.0;
const MEAN_LOAD_SHARE: f64 = 0.35;
const SURGE_FACTOR: f64 = 5.0;
const FALL_FACTOR: f64 = 0.05;

/// Deployment with the work that each of its pools is loaded with.
struct LoadedDeployment {
    name: &'static str,
    catalogue: &'static str,
    data_centres: usize,
    works: [&'static str; 5],
}

const DEPLOYMENTS: [LoadedDeployment; 2] = [
    LoadedDeployment {
        name: "ballycorrig",
        catalogue: include_str!("../../../examples/ballycorrig/catalogue.toml"),
        data_centres: 3,
        works: [
            "pattern-check",
            "quote-run",
            "pour-order",
            "mould-cure",
            "bill-parish",
        ],
    },
    LoadedDeployment {
        name: "fotoproef",
        catalogue: include_str!("../../../examples/fotoproef/catalogue.toml"),
        data_centres: 4,
        works: [
            "open-gallery",
            "mark-favourite",
            "upload-shoot",
            "watermark",
            "album-layout",
        ],
    },
];

/// Results of the surging queue and the worst results of any other queue.
#[derive(Serialize)]
struct SurgeFigures {
    pool_use_percent: f64,
    surge_done_of_sent_percent: f64,
    others_done_of_sent_percent: f64,
    others_p99_ratio: f64,
    untrue: u64,
    reasons: String,
}

#[tokio::main]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    for deployment in &DEPLOYMENTS {
        let plan = FleetPlan::deployment(deployment.catalogue, deployment.data_centres);
        let fleet = LocalFleet::start(plan).await;
        for surging in deployment.works {
            run_surge(&table, &fleet, deployment, surging).await;
        }
    }
}

async fn run_surge(
    table: &FigureTable,
    fleet: &LocalFleet,
    deployment: &LoadedDeployment,
    surging: &str,
) {
    let calm = run_phase(fleet, deployment, surging, 1.0, CALM_DURATION).await;
    let surge = run_phase(fleet, deployment, surging, SURGE_FACTOR, SURGE_DURATION).await;
    let _ = run_phase(fleet, deployment, surging, FALL_FACTOR, FALL_DURATION).await;
    let capacity = POOL_SLOTS * 1_000.0 / SERVICE_MS as f64;
    let surging_load = surge.iter().find(|load| load.work == surging);
    let others = || {
        surge
            .iter()
            .zip(&calm)
            .filter(|(load, _)| load.work != surging)
    };
    let done_percents = others().map(|(load, _)| percent(load.done as f64, load.sent as f64));
    let p99_ratios = others().map(|(load, calm)| ratio(load.p99_ms, calm.p99_ms));
    let figures = SurgeFigures {
        pool_use_percent: surging_load.map_or(0.0, |load| percent(load.goodput, capacity)),
        surge_done_of_sent_percent: surging_load
            .map_or(0.0, |load| percent(load.done as f64, load.sent as f64)),
        others_done_of_sent_percent: done_percents.fold(f64::INFINITY, f64::min),
        others_p99_ratio: p99_ratios.fold(0.0, f64::max),
        untrue: surge.iter().map(|load| load.other + load.broken).sum(),
        reasons: surging_load.map_or(String::new(), |load| format!("{:?}", load.reasons)),
    };
    table.row(&format!("{}: {surging} surges", deployment.name), &figures);
}

async fn run_phase(
    fleet: &LocalFleet,
    deployment: &LoadedDeployment,
    surging: &str,
    factor: f64,
    duration: Duration,
) -> Vec<LoadSummary> {
    let capacity = POOL_SLOTS * 1_000.0 / SERVICE_MS as f64;
    let loads = deployment.works.iter().enumerate().map(|(index, work)| {
        let factor = if *work == surging { factor } else { 1.0 };
        run_load(LoadPlan {
            work: (*work).to_owned(),
            rate_per_sec: capacity * MEAN_LOAD_SHARE * factor,
            duration,
            service_ms: SERVICE_MS,
            members: fleet.callers(),
            seed: 100 + index as u64,
            keyed: false,
        })
    });
    futures::future::join_all(loads).await
}
