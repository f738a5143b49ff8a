//! Long work under leases: checkpointed by a drain, stopped with its caller, lapsed with its holder.

use jacinthhoist_codec::StatusView;
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};

fn plan() -> FleetPlan {
    let mut plan = FleetPlan::small();
    let once = "pool = \"quotes\"\nrepeatable = true\ndeadline_ms = 30000\n";
    let long = "pool = \"quotes\"\nrepeatable = true\ndeadline_ms = 60000\ncheckpoint = true\n";
    assert!(plan.catalogue.contains(once));
    plan.catalogue = plan.catalogue.replace(once, long);
    plan.limits.lease_ms = 1_500;
    plan
}

/// Waits until an upstream runs the work. A member counts a request as running as soon as it has
/// a slot, when the request may not have reached the upstream yet.
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

fn lease_sum(fleet: &LocalFleet, count: impl Fn(&jacinthhoist_fakes::LeaseEnds) -> u64) -> u64 {
    fleet
        .upstreams
        .values()
        .map(|upstream| count(&upstream.lease_ends()))
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_checkpoints_long_work_and_it_goes_on_elsewhere() {
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
        .wait_for_view(0, "/v1/status", "the wave ends", done)
        .await;
    assert_eq!(work.await.unwrap().unwrap(), "ran: mould 7");
    assert!(
        lease_sum(&fleet, |ends| ends.checkpointed) >= 1,
        "its VM was drained while it ran"
    );
    assert_eq!(lease_sum(&fleet, |ends| ends.lapsed), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lease_is_renewed_beyond_its_span() {
    let fleet = LocalFleet::start(plan()).await;
    let caller = WorkCaller::new(fleet.caller(0)).service_ms(4_000);
    assert_eq!(
        caller.send("mould-cure", "a").await.unwrap().outcome,
        "done"
    );
    assert_eq!(lease_sum(&fleet, |ends| ends.lapsed + ends.stopped), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_stops_its_work() {
    let fleet = LocalFleet::start(plan()).await;
    let caller = WorkCaller::new(fleet.caller(0)).service_ms(60_000);
    let work = tokio::spawn(async move { caller.send("mould-cure", "a").await.is_ok() });
    until_running(&fleet).await;
    work.abort();
    fleet
        .wait_until("the work is stopped", |fleet| {
            lease_sum(fleet, |ends| ends.stopped) == 1
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
            lease_sum(fleet, |ends| ends.lapsed) == 1
        })
        .await;
    assert!(
        fleet
            .upstreams
            .values()
            .all(|upstream| upstream.running() == 0)
    );
}
