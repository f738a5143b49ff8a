//! Measures the other work in a shared pool while one class of work floods it.
//!
//! The variants are the product, a single queue without classes, and members that do not lend slots
//! to each other. Arguments select variants or flooded classes by name.

use std::time::Duration;

use jacinthhoist_experiments::{
    FigureTable, FleetPlan, LoadPlan, LoadSummary, LocalFleet, percent, ratio, run_load,
};
use serde::Serialize;

const SERVICE_MS: u64 = 50;
const POOL_SLOTS: f64 = 80.0;
const CALM_DURATION: Duration = Duration::from_secs(4);
const WARMUP_DURATION: Duration = Duration::from_secs(1);
const FLOOD_DURATION: Duration = Duration::from_secs(6);
const QUIET_DURATION: Duration = Duration::from_secs(2);
/// Mean load of the flooded class as a share of the pool; in a flood it offers five times as much.
const MEAN_LOAD_SHARE: f64 = 0.4;
/// Load of each other class as a share of the pool, equal to its floor.
const FLOOR_LOAD_SHARE: f64 = 0.1;
const FLOOD_FACTOR: f64 = 5.0;
const QUIET_FACTOR: f64 = 0.05;
const CLASSES: [&str; 3] = ["urgent", "standard", "slow"];
/// Work in the urgent class of another owner.
const OTHER_URGENT: &str = "other-urgent";
const OTHER_LOAD_SHARE: f64 = 0.05;

const CATALOGUE: &str = include_str!("classed.toml");

/// Results of one class in a flood.
#[derive(Serialize)]
struct FloodFigures {
    done_of_sent_percent: f64,
    wait_p50_ms: f64,
    calm_p99_ms: f64,
    wait_p99_ms: f64,
    wait_p99_ratio: f64,
    other: u64,
    broken: u64,
    reasons: String,
}

fn single_class_catalogue() -> String {
    CATALOGUE
        .replace("class = \"standard\"", "class = \"urgent\"")
        .replace("class = \"slow\"", "class = \"urgent\"")
        .replace("owner = \"b\"", "owner = \"a\"")
        .replace("owner = \"c\"", "owner = \"a\"")
        .replace("owner = \"d\"", "owner = \"a\"")
        .replace("floor_percent = [10, 10, 10]", "floor_percent = [0, 0, 0]")
}

#[tokio::main]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"))
        .collect();
    for flooded in CLASSES {
        for variant in ["product", "one queue", "no loans"] {
            if !selected.is_empty()
                && !selected
                    .iter()
                    .any(|name| name == variant || name == flooded)
            {
                continue;
            }
            run_variant(&table, variant, flooded).await;
        }
    }
}

async fn run_variant(table: &FigureTable, variant: &str, flooded: &str) {
    let text = if variant == "one queue" {
        single_class_catalogue()
    } else {
        CATALOGUE.to_owned()
    };
    let mut plan = FleetPlan::deployment(&text, 3);
    plan.workers = 10;
    if variant == "no loans" {
        plan.limits.loan_ms = 0;
    }
    let fleet = LocalFleet::start(plan).await;
    let _ = run_phase(&fleet, flooded, 1.0, WARMUP_DURATION, 4).await;
    let calm = run_phase(&fleet, flooded, 1.0, CALM_DURATION, 1).await;
    let flood = run_phase(&fleet, flooded, FLOOD_FACTOR, FLOOD_DURATION, 2).await;
    let _ = run_phase(&fleet, flooded, QUIET_FACTOR, QUIET_DURATION, 3).await;
    for (calm, flood) in calm.iter().zip(&flood) {
        let figures = FloodFigures {
            done_of_sent_percent: percent(flood.done as f64, flood.sent as f64),
            wait_p50_ms: flood.p50_ms,
            calm_p99_ms: calm.p99_ms,
            wait_p99_ms: flood.p99_ms,
            wait_p99_ratio: ratio(flood.p99_ms, calm.p99_ms),
            other: flood.other,
            broken: flood.broken,
            reasons: format!("{:?}", flood.reasons),
        };
        let mark = if flood.work == flooded { "*" } else { "" };
        table.row(
            &format!("{variant}, {flooded} floods: {}{mark}", flood.work),
            &figures,
        );
    }
}

/// Runs the load of all works at once, the flooded class at a multiple of its mean.
async fn run_phase(
    fleet: &LocalFleet,
    flooded: &str,
    factor: f64,
    duration: Duration,
    seed: u64,
) -> Vec<LoadSummary> {
    let capacity = POOL_SLOTS * 1_000.0 / SERVICE_MS as f64;
    let works = CLASSES.iter().chain([&OTHER_URGENT]);
    let loads = works.enumerate().map(|(index, class)| {
        let load_share = match *class {
            OTHER_URGENT => OTHER_LOAD_SHARE,
            class if class == flooded => MEAN_LOAD_SHARE * factor,
            _ => FLOOR_LOAD_SHARE,
        };
        run_load(LoadPlan {
            work: (*class).to_owned(),
            rate_per_sec: capacity * load_share,
            duration,
            service_ms: SERVICE_MS,
            members: fleet.callers(),
            seed: seed * 10 + index as u64,
            keyed: false,
        })
    });
    futures::future::join_all(loads).await
}
