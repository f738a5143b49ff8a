//! What control costs a member, how soon a change is in force, how soon a cold member is ready.

use std::time::Duration;

use hdrhistogram::Histogram;
use jacinthhoist_codec::{ChangeVerdict, InForceView};
use jacinthhoist_experiments::{
    FigureTable, FleetPlan, LocalFleet, percent, processor_time, resident_bytes,
};
use serde::Serialize;
use tokio::time::{Instant, interval, sleep};

const MEMBERS: usize = 6;
const WATCH: Duration = Duration::from_secs(8);
/// Pools at each size.
const SIZES: [[usize; 2]; 4] = [[50, 6], [200, 14], [600, 30], [1_200, 53]];
/// Changes a day in letter size, and how many times as many are sent here.
const CHANGES_A_DAY: f64 = 2_000.0;
const HASTE: f64 = 100.0;
const IN_FORCE_CHANGES: usize = 60;

/// Control of one member, as its part of this process.
#[derive(Serialize)]
struct ControlFigures {
    vms: usize,
    core_percent: f64,
    log_bytes_per_sec: f64,
    list_bytes_per_sec: f64,
    peer_bytes_per_sec: f64,
    resident_mb_per_member: f64,
}

/// Times in milliseconds.
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
    for [vms, pools] in SIZES {
        let before = resident_bytes();
        let mut fleet = open(vms, pools).await;
        table.row("idle", &watch(&fleet, vms, before, 0.0).await);
        table.row(
            "changes at 100 times",
            &watch(&fleet, vms, before, HASTE).await,
        );
        table.row("times", &times(&mut fleet, vms).await);
    }
}

async fn open(vms: usize, pools: usize) -> LocalFleet {
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

async fn watch(fleet: &LocalFleet, vms: usize, before: u64, haste: f64) -> ControlFigures {
    sleep(Duration::from_secs(2)).await;
    let (log, list, peer) = (
        fleet.log.read_bytes(),
        fleet.list.sent_bytes(),
        peer_bytes(fleet).await,
    );
    let cpu = processor_time();
    let started = Instant::now();
    if haste > 0.0 {
        let pause = Duration::from_secs_f64(86_400.0 / CHANGES_A_DAY / haste);
        let mut ticks = interval(pause);
        let mut weight = 1;
        while started.elapsed() < WATCH {
            ticks.tick().await;
            weight += 1;
            // A change that is refused or unknown still costs what it costs.
            let _ = fleet
                .apply(
                    weight,
                    &format!("[owners.o]\nweight = {}\n", weight % 900 + 1),
                )
                .await;
        }
    } else {
        sleep(WATCH).await;
    }
    let secs = started.elapsed().as_secs_f64();
    let each = |bytes: u64| bytes as f64 / secs / MEMBERS as f64;
    let cpu_secs = (processor_time() - cpu).as_secs_f64();
    ControlFigures {
        vms,
        core_percent: percent(cpu_secs, secs) / MEMBERS as f64,
        log_bytes_per_sec: each(fleet.log.read_bytes() - log),
        list_bytes_per_sec: each(fleet.list.sent_bytes() - list),
        peer_bytes_per_sec: each(peer_bytes(fleet).await - peer),
        resident_mb_per_member: resident_bytes().saturating_sub(before) as f64
            / 1e6
            / MEMBERS as f64,
    }
}

/// Bytes that all members have sent to peers, from their metrics.
async fn peer_bytes(fleet: &LocalFleet) -> u64 {
    let text = fleet.metrics(0).await.expect("the metrics are read");
    let lines = text
        .lines()
        .filter(|line| line.starts_with("jacinthhoist_peer_bytes_total"));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

async fn times(fleet: &mut LocalFleet, vms: usize) -> TimeFigures {
    let mut waits = Histogram::<u64>::new_with_bounds(1, 60_000, 3).expect("the bounds are good");
    for number in 0..IN_FORCE_CHANGES {
        let started = Instant::now();
        let text = format!("[owners.o]\nweight = {}\n", number + 1);
        let answer = fleet.apply(number, &text).await.expect("a member answers");
        assert_eq!(answer.verdict, ChangeVerdict::Accepted);
        let path = format!(
            "/v1/in-force?offset={}",
            answer.offset.expect("it is accepted")
        );
        fleet
            .wait_for_view(number, &path, "in force", |view: &InForceView| {
                view.everywhere
            })
            .await;
        waits.saturating_record(started.elapsed().as_millis() as u64);
    }
    let started = Instant::now();
    let place = fleet.add_member().await;
    fleet
        .wait_until("the cold member is ready", |fleet| {
            fleet.members[place].waits_for().is_none()
        })
        .await;
    TimeFigures {
        vms,
        in_force_p50_ms: waits.value_at_quantile(0.5) as f64,
        in_force_p99_ms: waits.value_at_quantile(0.99) as f64,
        cold_start_ms: started.elapsed().as_secs_f64() * 1_000.0,
    }
}
