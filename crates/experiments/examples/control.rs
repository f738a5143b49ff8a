//! Measures a member's cost of control, the time until a change is in force and the start time of a
//! new member.

use std::time::Duration;

use hdrhistogram::Histogram;
use jacinthhoist_codec::{ChangeVerdict, InForceView};
use jacinthhoist_experiments::{
    FigureTable, FleetPlan, LocalFleet, percent, processor_time, resident_bytes,
};
use serde::Serialize;
use tokio::time::{Instant, interval, sleep};

const MEMBER_COUNT: usize = 6;
const MEASUREMENT_DURATION: Duration = Duration::from_secs(8);
/// Numbers of VMs and pools at each size.
const SIZES_VMS_POOLS: [[usize; 2]; 4] = [[50, 6], [200, 14], [600, 30], [1_200, 53]];
/// Catalogue changes a day in a deployment of the largest size.
const CHANGES_PER_DAY: f64 = 2_000.0;
/// Factor by which this experiment sends changes faster.
const CHANGE_SPEEDUP: f64 = 100.0;
const IN_FORCE_CHANGES: usize = 60;

/// Cost of control of one member: the cost of this process divided by the number of members.
#[derive(Serialize)]
struct ControlFigures {
    vms: usize,
    core_percent: f64,
    log_bytes_per_sec: f64,
    list_bytes_per_sec: f64,
    peer_bytes_per_sec: f64,
    resident_mb_per_member: f64,
}

/// Times until a change is in force and until a new member is ready, in milliseconds.
#[derive(Serialize)]
struct TimeFigures {
    vms: usize,
    in_force_p50_ms: f64,
    in_force_p99_ms: f64,
    cold_start_ms: f64,
}

#[tokio::main]
async fn main() {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let table = FigureTable::from_args();
    for [vms, pools] in SIZES_VMS_POOLS {
        let resident_before = resident_bytes();
        let mut fleet = start_fleet(vms, pools).await;
        table.row(
            "idle",
            &measure_control(&fleet, vms, resident_before, 0.0).await,
        );
        table.row(
            "changes at 100 times",
            &measure_control(&fleet, vms, resident_before, CHANGE_SPEEDUP).await,
        );
        table.row("times", &measure_times(&mut fleet, vms).await);
    }
}

async fn start_fleet(vms: usize, pools: usize) -> LocalFleet {
    let share = vms.div_ceil(pools);
    let mut catalogue = "[owners.o]\n[pools.spare]\nspare = true\nmin_available = 0\nbase_vms = 0\nmax_vms = 10000\n".to_owned();
    for pool in 0..pools {
        let base = share.min(vms - (pool * share).min(vms));
        catalogue += &format!("[pools.p{pool}]\nbase_vms = {base}\nmin_available = 0\n");
        catalogue += &format!(
            "[works.k{pool}]\nowner = \"o\"\nclass = \"urgent\"\npool = \"p{pool}\"\nrepeatable = true\n"
        );
    }
    let mut plan = FleetPlan::deployment(&catalogue, 5);
    plan.workers = vms;
    plan.limits.plan_ms = 250;
    LocalFleet::start(plan).await
}

async fn measure_control(
    fleet: &LocalFleet,
    vms: usize,
    resident_before: u64,
    change_speedup: f64,
) -> ControlFigures {
    sleep(Duration::from_secs(2)).await;
    let (log_before, list_before, peer_before) = (
        fleet.log.read_bytes(),
        fleet.list.sent_bytes(),
        peer_bytes(fleet).await,
    );
    let cpu_before = processor_time();
    let started = Instant::now();
    if change_speedup > 0.0 {
        let pause = Duration::from_secs_f64(86_400.0 / CHANGES_PER_DAY / change_speedup);
        let mut ticks = interval(pause);
        let mut weight = 1;
        while started.elapsed() < MEASUREMENT_DURATION {
            ticks.tick().await;
            weight += 1;
            // A rejected change or one with an unknown outcome counts too: its cost is the same.
            let _ = fleet
                .apply(
                    weight,
                    &format!("[owners.o]\nweight = {}\n", weight % 900 + 1),
                )
                .await;
        }
    } else {
        sleep(MEASUREMENT_DURATION).await;
    }
    let secs = started.elapsed().as_secs_f64();
    let per_member = |bytes: u64| bytes as f64 / secs / MEMBER_COUNT as f64;
    let cpu_secs = (processor_time() - cpu_before).as_secs_f64();
    ControlFigures {
        vms,
        core_percent: percent(cpu_secs, secs) / MEMBER_COUNT as f64,
        log_bytes_per_sec: per_member(fleet.log.read_bytes() - log_before),
        list_bytes_per_sec: per_member(fleet.list.sent_bytes() - list_before),
        peer_bytes_per_sec: per_member(peer_bytes(fleet).await - peer_before),
        resident_mb_per_member: resident_bytes().saturating_sub(resident_before) as f64
            / 1e6
            / MEMBER_COUNT as f64,
    }
}

/// Bytes that all members have sent to peers, from the metrics of this process.
async fn peer_bytes(fleet: &LocalFleet) -> u64 {
    let text = fleet.metrics(0).await.expect("the metrics are readable");
    let lines = text
        .lines()
        .filter(|line| line.starts_with("jacinthhoist_peer_bytes_total"));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

async fn measure_times(fleet: &mut LocalFleet, vms: usize) -> TimeFigures {
    let mut in_force_times =
        Histogram::<u64>::new_with_bounds(1, 60_000, 3).expect("the bounds are valid");
    for number in 0..IN_FORCE_CHANGES {
        let started = Instant::now();
        let text = format!("[owners.o]\nweight = {}\n", number + 1);
        let response = fleet
            .apply(number, &text)
            .await
            .expect("the member responds");
        assert_eq!(response.verdict, ChangeVerdict::Accepted);
        let path = format!(
            "/v1/in-force?offset={}",
            response.offset.expect("the change is accepted")
        );
        fleet
            .wait_for_view(number, &path, "in force", |view: &InForceView| {
                view.everywhere
            })
            .await;
        in_force_times.saturating_record(started.elapsed().as_millis() as u64);
    }
    let started = Instant::now();
    let index = fleet.add_member().await;
    fleet
        .wait_until("the cold member is ready", |fleet| {
            fleet.members[index].waits_for().is_none()
        })
        .await;
    TimeFigures {
        vms,
        in_force_p50_ms: in_force_times.value_at_quantile(0.5) as f64,
        in_force_p99_ms: in_force_times.value_at_quantile(0.99) as f64,
        cold_start_ms: started.elapsed().as_secs_f64() * 1_000.0,
    }
}
