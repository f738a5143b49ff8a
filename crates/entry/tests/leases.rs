//! Long-running work under leases: checkpointed when its VM drains, stopped when its caller
//! disconnects, and ended by the upstream when its holder is killed.

use jacinthhoist_codec::StatusView;
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};

fn plan() -> FleetPlan {
    let mut plan = FleetPlan::small();
    let short = "pool = \"quotes\"\nrepeatable = true\ndeadline_ms = 30000\n";
    let long = "pool = \"quotes\"\nrepeatable = true\ndeadline_ms = 60000\ncheckpoint = true\n";
    assert!(plan.catalogue.contains(short));
    plan.catalogue = plan.catalogue.replace(short, long);
    plan.limits.lease_ms = 1_500;
    plan
}

/// Waits until an upstream runs the work. The count of the member does not suffice: it includes a
/// request as soon as it has a slot, when the upstream may not have received it yet.
async fn until_running(fleet: &LocalFleet) {
    fleet
        .wait_until("an upstream runs the work", |fleet| {
            fleet
                .upstreams
                .values()
                .any(|upstream| upstream.running() > 0)
        })
        .await;
}

fn total_lease_ends(
    fleet: &LocalFleet,
    count: impl Fn(&jacinthhoist_fakes::LeaseEnds) -> u64,
) -> u64 {
    fleet
        .upstreams
        .values()
        .map(|upstream| count(&upstream.lease_ends()))
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_checkpoints_work_and_it_resumes_on_another_vm() {
    let fleet = LocalFleet::start(plan()).await;
    fleet.list.set_reboot_ms(50);
    let caller = WorkCaller::new(fleet.caller(0)).service_ms(6_000);
    let work = tokio::spawn(async move {
        caller
            .send("mould-cure", "mould 7")
            .await
            .map(|answer| answer.text())
    });
    until_running(&fleet).await;
    fleet
        .apply(0, "[waves.w]\npools = [\"quotes\"]\nstate = \"running\"\n")
        .await
        .unwrap();
    let done = |status: &StatusView| {
        status
            .waves
            .iter()
            .any(|wave| wave.progress.left + wave.progress.out == 0)
    };
    fleet
        .wait_for_view(0, "/v1/status", "the wave is complete", done)
        .await;
    assert_eq!(work.await.unwrap().unwrap(), "ran: mould 7");
    assert!(
        total_lease_ends(&fleet, |ends| ends.checkpointed) >= 1,
        "the VM was drained while the work ran"
    );
    assert_eq!(total_lease_ends(&fleet, |ends| ends.lapsed), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lease_is_renewed_beyond_its_first_term() {
    let fleet = LocalFleet::start(plan()).await;
    let caller = WorkCaller::new(fleet.caller(0)).service_ms(4_000);
    let answer = caller.send("mould-cure", "a").await.unwrap();
    assert_eq!(answer.outcome, "done", "{answer:?}");
    assert_eq!(
        total_lease_ends(&fleet, |ends| ends.lapsed + ends.stopped),
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn work_stops_when_its_caller_disconnects() {
    let fleet = LocalFleet::start(plan()).await;
    let caller = WorkCaller::new(fleet.caller(0)).service_ms(60_000);
    let work = tokio::spawn(async move { caller.send("mould-cure", "a").await.is_ok() });
    until_running(&fleet).await;
    work.abort();
    fleet
        .wait_until("the work is stopped", |fleet| {
            total_lease_ends(fleet, |ends| ends.stopped) == 1
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_whose_holder_is_gone_ends_at_the_lapse() {
    let mut fleet = LocalFleet::start(plan()).await;
    let caller = WorkCaller::new(fleet.caller(0)).service_ms(60_000);
    let work = tokio::spawn(async move { caller.send("mould-cure", "a").await.is_ok() });
    until_running(&fleet).await;
    fleet.kill_member(0).await;
    assert!(!work.await.unwrap());
    fleet
        .wait_until("the lease lapses", |fleet| {
            total_lease_ends(fleet, |ends| ends.lapsed) == 1
        })
        .await;
    assert!(
        fleet
            .upstreams
            .values()
            .all(|upstream| upstream.running() == 0)
    );
}
