//! What other work keeps while one class floods a pool that all three share.
//!
//! Variants: the product; one queue without classes; no loans of slots between members.

use std::time::Duration;

use jacinthhoist_experiments::{
    FigureTable, FleetPlan, LoadPlan, LoadSummary, LocalFleet, percent, ratio, run_load,
};
use serde::Serialize;

const SERVICE_MS: u64 = 50;
const SLOTS: f64 = 80.0;
const CALM: Duration = Duration::from_secs(4);
const WARM: Duration = Duration::from_secs(1);
const FLOOD: Duration = Duration::from_secs(6);
const QUIET: Duration = Duration::from_secs(2);
/// The flooded class takes this part of the pool at its mean, and five times as much in a flood.
const MEAN_PART: f64 = 0.4;
/// Each other class offers this part: its floor.
const FLOOR_PART: f64 = 0.1;
const SURGE: f64 = 5.0;
const QUIET_PART: f64 = 0.05;
const CLASSES: [&str; 3] = ["urgent", "standard", "slow"];
/// Work of another owner in the urgent class.
const OTHER_URGENT: &str = "other-urgent";
const OTHER_PART: f64 = 0.05;

const CLASSED: &str = include_str!("classed.toml");

/// What one class kept in a flood.
#[derive(Serialize)]
struct KeptFigures {
    done_of_sent_percent: f64,
    wait_p50_ms: f64,
    calm_p99_ms: f64,
    wait_p99_ms: f64,
    wait_p99_ratio: f64,
    other: u64,
    broken: u64,
    reasons: String,
}

fn classless() -> String {
    CLASSED
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
    let only: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"))
        .collect();
    for flooded in CLASSES {
        for variant in ["product", "one queue", "no loans"] {
            if !only.is_empty() && !only.iter().any(|name| name == variant || name == flooded) {
                continue;
            }
            run_variant(&table, variant, flooded).await;
        }
    }
}

async fn run_variant(table: &FigureTable, variant: &str, flooded: &str) {
    let text = if variant == "one queue" {
        classless()
    } else {
        CLASSED.to_owned()
    };
    let mut plan = FleetPlan::deployment(&text, 3);
    plan.workers = 10;
    if variant == "no loans" {
        plan.limits.loan_ms = 0;
    }
    let fleet = LocalFleet::start(plan).await;
    let _ = phase(&fleet, flooded, 1.0, WARM, 4).await;
    let calm = phase(&fleet, flooded, 1.0, CALM, 1).await;
    let flood = phase(&fleet, flooded, SURGE, FLOOD, 2).await;
    let _ = phase(&fleet, flooded, QUIET_PART, QUIET, 3).await;
    for (calm, flood) in calm.iter().zip(&flood) {
        let figures = KeptFigures {
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

/// Offers all three classes at once, the flooded one at a multiple of its mean.
async fn phase(
    fleet: &LocalFleet,
    flooded: &str,
    times: f64,
    span: Duration,
    seed: u64,
) -> Vec<LoadSummary> {
    let capacity = SLOTS * 1_000.0 / SERVICE_MS as f64;
    let works = CLASSES.iter().chain([&OTHER_URGENT]);
    let loads = works.enumerate().map(|(index, class)| {
        let part = match *class {
            OTHER_URGENT => OTHER_PART,
            class if class == flooded => MEAN_PART * times,
            _ => FLOOR_PART,
        };
        run_load(LoadPlan {
            work: (*class).to_owned(),
            rate: capacity * part,
            span,
            service_ms: SERVICE_MS,
            members: fleet.callers(),
            seed: seed * 10 + index as u64,
            keyed: false,
        })
    });
    futures::future::join_all(loads).await
}
