//! Measures the attempts per request while some workers of a pool fail every run.

use std::time::Duration;

use jacinthhoist_experiments::{
    FigureTable, FleetPlan, LoadPlan, LocalFleet, percent, ratio, run_load,
};
use jacinthhoist_fakes::UpstreamFault;
use serde::Serialize;

const LOAD_DURATION: Duration = Duration::from_secs(5);
const SERVICE_MS: u64 = 20;
const REQUESTS_PER_SEC: f64 = 600.0;
const CATALOGUE: &str = include_str!("flood/classed.toml");

/// Attempts and outcomes of requests.
#[derive(Serialize)]
struct RetryFigures {
    failing: usize,
    attempts_per_request: f64,
    done_percent: f64,
    other_percent: f64,
    p99_ms: f64,
}

#[tokio::main]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    for failing in [0, 1, 5, 10] {
        let mut plan = FleetPlan::deployment(CATALOGUE, 3);
        plan.workers = 10;
        plan.catalogue = plan
            .catalogue
            .replace("min_available = 7", "min_available = 3");
        let fleet = LocalFleet::start(plan).await;
        for upstream in fleet.upstreams.values().take(failing) {
            upstream.set_fault(UpstreamFault::FailAll).await;
        }
        let load = run_load(LoadPlan {
            work: "urgent".to_owned(),
            rate_per_sec: REQUESTS_PER_SEC,
            duration: LOAD_DURATION,
            service_ms: SERVICE_MS,
            members: fleet.callers(),
            seed: 5,
            keyed: false,
        })
        .await;
        let attempts: u64 = fleet
            .upstreams
            .values()
            .map(|upstream| upstream.run_count())
            .sum();
        let sent = load.sent as f64;
        let figures = RetryFigures {
            failing,
            attempts_per_request: ratio(attempts as f64, sent),
            done_percent: percent(load.done as f64, sent),
            other_percent: percent(load.other as f64, sent),
            p99_ms: load.p99_ms,
        };
        table.row(&format!("{failing} of 10 workers fail"), &figures);
    }
}
