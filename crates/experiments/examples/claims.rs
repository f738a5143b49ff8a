//! Measures the cost of claims at several rates of keyed requests: log appends a second and added
//! latency.

use std::time::Duration;

use jacinthhoist_experiments::{FigureTable, FleetPlan, LoadPlan, LocalFleet, percent, run_load};
use serde::Serialize;

const LOAD_DURATION: Duration = Duration::from_secs(5);
const SERVICE_MS: u64 = 20;
const CATALOGUE: &str = include_str!("flood/classed.toml");

/// Log use and added latency of keyed requests.
#[derive(Serialize)]
struct ClaimFigures {
    appends_per_sec: f64,
    done_percent: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    log_bytes_per_request: f64,
}

#[tokio::main]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    for rate_per_sec in [10.0, 100.0, 1_000.0] {
        let mut plan = FleetPlan::deployment(CATALOGUE, 3);
        plan.workers = 10;
        plan.catalogue = plan
            .catalogue
            .replace("repeatable = true", "repeatable = false");
        let fleet = LocalFleet::start(plan).await;
        let load = |keyed: bool| LoadPlan {
            work: "urgent".to_owned(),
            rate_per_sec,
            duration: LOAD_DURATION,
            service_ms: SERVICE_MS,
            members: fleet.callers(),
            seed: 6,
            keyed,
        };
        let plain = run_load(load(false)).await;
        let appends_before = fleet.log.appends();
        let bytes_before: usize = fleet.log.texts().await.iter().map(String::len).sum();
        let keyed = run_load(load(true)).await;
        let bytes_after: usize = fleet.log.texts().await.iter().map(String::len).sum();
        let figures = ClaimFigures {
            appends_per_sec: (fleet.log.appends() - appends_before) as f64
                / LOAD_DURATION.as_secs_f64(),
            done_percent: percent(keyed.done as f64, keyed.sent as f64),
            added_p50_ms: keyed.p50_ms - plain.p50_ms,
            added_p99_ms: keyed.p99_ms - plain.p99_ms,
            log_bytes_per_request: (bytes_after - bytes_before) as f64 / keyed.sent as f64,
        };
        table.row(&format!("{rate_per_sec} keyed requests a second"), &figures);
    }
}
