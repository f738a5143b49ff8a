//! Tests of maintenance waves, VM moves, drains and connection limits while requests are running.

use jacinthhoist_codec::{StatusView, VmView};
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};

const WAVE: &str = "[waves.autumn]\npools = [\"quotes\", \"spare\"]\nstate = \"running\"\n";

fn is_wave_finished(status: &StatusView) -> bool {
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
    let mut is_finished = false;
    let mut min_seen = usize::MAX;
    for index in 0..20_000 {
        let answer = WorkCaller::new(fleet.caller(index))
            .send("quote-run", "a")
            .await
            .unwrap();
        assert_eq!(answer.outcome, "done", "{answer:?}");
        if index % 20 == 0 {
            min_seen = min_seen.min(fleet.pool(0, "quotes").await.unwrap().count.available);
            is_finished = is_wave_finished(&fleet.get(0, "/v1/status").await.unwrap());
            if is_finished {
                break;
            }
        }
    }
    assert!(is_finished, "the wave did not end");
    assert!(
        min_seen >= 2,
        "available VMs fell below `min_available`: {min_seen}"
    );
    assert_eq!(fleet.list.reboots(), 6, "every VM reboots once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_wave_drains_no_vm_and_continues_when_resumed() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    fleet.list.set_reboot_ms(20);
    fleet
        .apply(0, &WAVE.replace("running", "paused"))
        .await
        .unwrap();
    let waits_for_operator = |status: &StatusView| {
        status.waves.iter().any(|wave| {
            wave.progress
                .waits_for
                .as_ref()
                .is_some_and(|condition| condition.contains("operator"))
        })
    };
    fleet
        .wait_for_view(
            1,
            "/v1/status",
            "the wave waits for the operator",
            waits_for_operator,
        )
        .await;
    assert_eq!(fleet.list.reboots(), 0);
    fleet.apply(1, WAVE).await.unwrap();
    fleet
        .wait_for_view(0, "/v1/status", "the wave is finished", is_wave_finished)
        .await;
    assert_eq!(fleet.list.reboots(), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn raising_the_base_size_takes_vms_from_the_spare_pool() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let text = "[pools.quotes]\nbase_vms = 5\nmin_available = 2\nmax_vms = 5\n";
    fleet.apply(0, text).await.unwrap();
    let has_five_vms = |views: &Vec<VmView>| {
        let serving = views.iter().filter(|view| view.phase == "serving");
        serving
            .filter(|view| view.pool.as_str() == "quotes")
            .count()
            == 5
    };
    for member in 0..2 {
        fleet
            .wait_for_view(member, "/v1/vms", "a VM has moved", has_five_vms)
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
        .map(|index| {
            let caller = WorkCaller::new(fleet.caller(index));
            tokio::spawn(async move {
                caller
                    .send("pour-order", "a")
                    .await
                    .map(|answer| answer.outcome)
            })
        })
        .collect();
    let has_running_requests =
        |views: &Vec<jacinthhoist_codec::PoolView>| views.iter().any(|view| view.running > 2);
    fleet
        .wait_for_view(0, "/v1/pools", "requests are running", has_running_requests)
        .await;
    fleet.apply(0, WAVE).await.unwrap();
    for caller in callers {
        assert_eq!(caller.await.unwrap().unwrap(), "done");
    }
    fleet
        .wait_for_view(0, "/v1/status", "the wave is finished", is_wave_finished)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_a_vm_stay_within_its_limit() {
    let mut plan = FleetPlan::small();
    plan.service_ms = 5;
    let fleet = LocalFleet::start(plan).await;
    let mut callers = Vec::new();
    for index in 0..200 {
        let caller = WorkCaller::new(fleet.caller(index));
        callers.push(tokio::spawn(async move {
            caller.send("quote-run", "a").await.is_ok()
        }));
    }
    for caller in callers {
        assert!(caller.await.unwrap());
    }
    let connections: u32 = fleet
        .members
        .iter()
        .map(|member| member.max_connections())
        .sum();
    assert!(connections <= 64, "{connections}");
}
