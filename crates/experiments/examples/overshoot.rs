//! Measures by how much the concurrent runs on a VM exceed its slots, in steady operation and while
//! the members' views of each other differ.

use std::time::Duration;

use jacinthhoist_experiments::{FigureTable, FleetPlan, LoadPlan, LocalFleet, run_load};
use serde::Serialize;
use tokio::time::sleep;

const SERVICE_MS: u64 = 50;
const REQUESTS_PER_SEC: f64 = 2_400.0;
const PHASE_DURATION: Duration = Duration::from_secs(4);
const SLOTS_PER_VM: u32 = 8;
const CATALOGUE: &str = include_str!("flood/classed.toml");

/// Highest number of concurrent runs on a VM of eight slots.
#[derive(Serialize)]
struct OvershootFigures {
    most_running: u32,
    over_slots: u32,
    vms_over: usize,
}

#[tokio::main]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    for loan_ms in [0, 500] {
        let mut plan = FleetPlan::deployment(CATALOGUE, 3);
        plan.workers = 10;
        plan.limits.loan_ms = loan_ms;
        plan.limits.missing_ms = 1_000;
        let mut fleet = LocalFleet::start(plan).await;
        let load = tokio::spawn(run_load(LoadPlan {
            work: "urgent".to_owned(),
            rate_per_sec: REQUESTS_PER_SEC,
            duration: 3 * PHASE_DURATION,
            service_ms: SERVICE_MS,
            members: fleet.callers()[1..].to_vec(),
            seed: 8,
            keyed: false,
        }));
        sleep(PHASE_DURATION).await;
        table.row(
            &format!("loans of {loan_ms} ms, flood"),
            &read_figures(&fleet),
        );
        fleet.kill_member(0).await;
        sleep(PHASE_DURATION).await;
        table.row(
            &format!("loans of {loan_ms} ms, one killed"),
            &read_figures(&fleet),
        );
        fleet.add_member().await;
        sleep(PHASE_DURATION).await;
        table.row(
            &format!("loans of {loan_ms} ms, one joined"),
            &read_figures(&fleet),
        );
        load.await.expect("the load generator does not panic");
    }
}

fn read_figures(fleet: &LocalFleet) -> OvershootFigures {
    let peaks: Vec<u32> = fleet
        .upstreams
        .values()
        .map(|upstream| upstream.take_peak_running())
        .collect();
    let most_running = peaks.iter().copied().max().unwrap_or(0);
    OvershootFigures {
        most_running,
        over_slots: most_running.saturating_sub(SLOTS_PER_VM),
        vms_over: peaks
            .iter()
            .filter(|running| **running > SLOTS_PER_VM)
            .count(),
    }
}
