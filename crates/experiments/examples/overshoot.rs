//! How far the slots of a VM are overshot, at rest and while members' views of each other differ.

use std::time::Duration;

use jacinthhoist_experiments::{FigureTable, FleetPlan, LoadPlan, LocalFleet, run_load};
use serde::Serialize;
use tokio::time::sleep;

const SERVICE_MS: u64 = 50;
const RATE: f64 = 2_400.0;
const PHASE: Duration = Duration::from_secs(4);
const SLOTS: u32 = 8;
const CATALOGUE: &str = include_str!("flood/classed.toml");

/// The most that ran at once on any VM of eight slots.
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
            rate: RATE,
            span: 3 * PHASE,
            service_ms: SERVICE_MS,
            members: fleet.callers()[1..].to_vec(),
            seed: 8,
            keyed: false,
        }));
        sleep(PHASE).await;
        table.row(&format!("loans of {loan_ms} ms, flood"), &figures(&fleet));
        fleet.kill_member(0).await;
        sleep(PHASE).await;
        table.row(
            &format!("loans of {loan_ms} ms, one killed"),
            &figures(&fleet),
        );
        fleet.add_member().await;
        sleep(PHASE).await;
        table.row(
            &format!("loans of {loan_ms} ms, one joined"),
            &figures(&fleet),
        );
        load.await.expect("the load ends");
    }
}

fn figures(fleet: &LocalFleet) -> OvershootFigures {
    let most: Vec<u32> = fleet
        .upstreams
        .values()
        .map(|upstream| upstream.take_peak_running())
        .collect();
    let most_running = most.iter().copied().max().unwrap_or(0);
    OvershootFigures {
        most_running,
        over_slots: most_running.saturating_sub(SLOTS),
        vms_over: most.iter().filter(|running| **running > SLOTS).count(),
    }
}
