//! Measures the time of a maintenance wave against the lower bound that follows from the pools'
//! maintenance limits.

use std::time::Duration;

use jacinthhoist_codec::StatusView;
use jacinthhoist_experiments::{FigureTable, FleetPlan, LocalFleet, ratio};
use serde::Serialize;
use tokio::time::Instant;

const REBOOT_TIME: Duration = Duration::from_secs(4);
const POOL_VMS: usize = 10;
const MAX_UNAVAILABLE_VMS: usize = 2;

/// Time and log use of a wave.
#[derive(Serialize)]
struct RolloutFigures {
    vms: usize,
    pools: usize,
    secs: f64,
    bound_secs: f64,
    times_bound: f64,
    appends_per_vm: f64,
}

#[tokio::main]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    for pools in [5, 10, 20, 40] {
        table.row(&format!("wave over {pools} pools"), &wave(pools).await);
    }
}

async fn wave(pools: usize) -> RolloutFigures {
    let mut catalogue = "[owners.o]\n[policy]\nmaintenance_days = 0\n".to_owned();
    let names: Vec<String> = (0..pools).map(|pool| format!("p{pool}")).collect();
    for name in &names {
        catalogue += &format!(
            "[pools.{name}]\nbase_vms = {POOL_VMS}\nmin_available = 7\nmax_unavailable = {MAX_UNAVAILABLE_VMS}\n"
        );
    }
    let vms = pools * POOL_VMS;
    let mut plan = FleetPlan::deployment(&catalogue, 2);
    plan.workers = vms;
    plan.limits.vm_list_ms = 250;
    plan.limits.plan_ms = 50;
    let fleet = LocalFleet::start(plan).await;
    fleet.list.set_reboot_ms(REBOOT_TIME.as_millis() as u64);
    let appends = fleet.log.appends();
    let started = Instant::now();
    let wave = format!("[waves.w]\npools = {names:?}\nstate = \"running\"\n");
    fleet.apply(0, &wave).await.expect("the wave is applied");
    let done = |status: &StatusView| {
        !status.waves.is_empty()
            && status
                .waves
                .iter()
                .all(|wave| wave.progress.left == 0 && wave.progress.out == 0)
    };
    fleet
        .wait_for_view(0, "/v1/status", "the wave ends", done)
        .await;
    fleet.wait_until_settled().await;
    let secs = started.elapsed().as_secs_f64();
    let rounds = POOL_VMS.div_ceil(MAX_UNAVAILABLE_VMS) as f64;
    let bound_secs = rounds * REBOOT_TIME.as_secs_f64();
    RolloutFigures {
        vms,
        pools,
        secs,
        bound_secs,
        times_bound: ratio(secs, bound_secs),
        appends_per_vm: ratio((fleet.log.appends() - appends) as f64, vms as f64),
    }
}
