//! Waves, roll-outs and moves over sockets, with requests running.

use jacinthhoist_codec::{StatusView, VmView};
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};

const WAVE: &str = "[waves.autumn]\npools = [\"quotes\", \"spare\"]\nstate = \"running\"\n";

fn wave_done(status: &StatusView) -> bool {
    status
        .waves
        .iter()
        .all(|wave| wave.progress.left == 0 && wave.progress.out == 0)
        && !status.waves.is_empty()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wave_services_every_vm_within_the_budget_and_fails_no_request() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    fleet.list.set_reboot_ms(100);
    fleet.apply(0, WAVE).await.unwrap();
    let mut finished = false;
    let mut least = usize::MAX;
    for order in 0..20_000 {
        let answer = WorkCaller::new(fleet.caller(order))
            .send("quote-run", "a")
            .await
            .unwrap();
        assert_eq!(answer.outcome, "done", "{answer:?}");
        if order % 20 == 0 {
            least = least.min(fleet.pool(0, "quotes").await.unwrap().count.available);
            finished = wave_done(&fleet.get(0, "/v1/status").await.unwrap());
            if finished {
                break;
            }
        }
    }
    assert!(finished, "the wave ends");
    assert!(least >= 2, "the pool keeps `min_available`: {least}");
    assert_eq!(fleet.list.reboots(), 6, "every VM reboots once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_wave_drains_nothing_and_goes_on_when_resumed() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    fleet.list.set_reboot_ms(20);
    fleet
        .apply(0, &WAVE.replace("running", "paused"))
        .await
        .unwrap();
    let waits = |status: &StatusView| {
        status.waves.iter().any(|wave| {
            wave.progress
                .waits_for
                .as_ref()
                .is_some_and(|what| what.contains("operator"))
        })
    };
    fleet
        .wait_for_view(1, "/v1/status", "the wave waits for the operator", waits)
        .await;
    assert_eq!(fleet.list.reboots(), 0);
    fleet.apply(1, WAVE).await.unwrap();
    fleet
        .wait_for_view(0, "/v1/status", "the wave ends", wave_done)
        .await;
    assert_eq!(fleet.list.reboots(), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_raised_base_takes_vms_from_the_spare_pool() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let text = "[pools.quotes]\nbase_vms = 5\nmin_available = 2\nmax_vms = 5\n";
    fleet.apply(0, text).await.unwrap();
    let moved = |views: &Vec<VmView>| {
        let serving = views.iter().filter(|view| view.phase == "serving");
        serving
            .filter(|view| view.pool.as_str() == "quotes")
            .count()
            == 5
    };
    for place in 0..2 {
        fleet
            .wait_for_view(place, "/v1/vms", "a VM has moved", moved)
            .await;
    }
    assert_eq!(fleet.pool(0, "spare").await.unwrap().count.vms, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_waits_for_work_in_flight() {
    let mut plan = FleetPlan::small();
    plan.service_ms = 1_500;
    let fleet = LocalFleet::start(plan).await;
    let callers: Vec<_> = (0..8)
        .map(|place| {
            let caller = WorkCaller::new(fleet.caller(place));
            tokio::spawn(async move {
                caller
                    .send("pour-order", "a")
                    .await
                    .map(|answer| answer.outcome)
            })
        })
        .collect();
    let busy =
        |views: &Vec<jacinthhoist_codec::PoolView>| views.iter().any(|view| view.running > 2);
    fleet
        .wait_for_view(0, "/v1/pools", "requests run", busy)
        .await;
    fleet.apply(0, WAVE).await.unwrap();
    for caller in callers {
        assert_eq!(caller.await.unwrap().unwrap(), "done");
    }
    fleet
        .wait_for_view(0, "/v1/status", "the wave ends", wave_done)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_a_vm_stay_within_its_limit() {
    let mut plan = FleetPlan::small();
    plan.service_ms = 5;
    let fleet = LocalFleet::start(plan).await;
    let mut callers = Vec::new();
    for place in 0..200 {
        let caller = WorkCaller::new(fleet.caller(place));
        callers.push(tokio::spawn(async move {
            caller.send("quote-run", "a").await.is_ok()
        }));
    }
    for caller in callers {
        assert!(caller.await.unwrap());
    }
    let most: u32 = fleet
        .members
        .iter()
        .map(|member| member.most_connections())
        .sum();
    assert!(most <= 64, "{most}");
}
