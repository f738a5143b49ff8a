//! Idempotency keys of work that may run only once: lost responses, outages and killed members.

use jacinthhoist_experiments::{CallerResponse, FleetPlan, LocalFleet, WorkCaller};
use jacinthhoist_fakes::UpstreamFault;

async fn send(fleet: &LocalFleet, member: usize, key: &str, body: &str) -> CallerResponse {
    let caller = WorkCaller::new(fleet.caller(member)).key(key).order(key);
    caller.send("pour-order", body).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_first_response_from_any_member() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let first = send(&fleet, 0, "k", "one frame").await;
    for member in [0, 1, 1, 0] {
        let repeat = send(&fleet, member, "k", "one frame").await;
        assert_eq!(
            (&repeat.outcome, repeat.text()),
            (&first.outcome, first.text())
        );
    }
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    for round in 0..20 {
        let key = format!("k{round}");
        let (one, two) = tokio::join!(send(&fleet, 0, &key, "a"), send(&fleet, 1, &key, "a"));
        assert_eq!(
            (one.outcome.as_str(), two.outcome.as_str()),
            ("done", "done"),
            "{one:?} {two:?}"
        );
        assert_eq!(fleet.runs().await[&key], 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_with_another_body_is_refused() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    send(&fleet, 0, "k", "one frame").await;
    let other = send(&fleet, 1, "k", "two frames").await;
    assert_eq!((other.status, other.reason.as_str()), (422, "key_reused"));
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_once_if_append_responses_are_lost() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    fleet.log.lose_replies(6);
    for round in 0..4 {
        let key = format!("k{round}");
        let answer = send(&fleet, round % 2, &key, "a").await;
        assert_eq!(answer.outcome, "done");
        assert_eq!(fleet.runs().await[&key], 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_does_not_run_while_the_log_is_unreachable() {
    let mut plan = FleetPlan::small();
    plan.catalogue = plan
        .catalogue
        .replace("deadline_ms = 10000", "deadline_ms = 400");
    let fleet = LocalFleet::start(plan).await;
    fleet.log.set_down(true);
    let refused = send(&fleet, 0, "k", "a").await;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not-run", "claim_unreachable")
    );
    let unkeyed = WorkCaller::new(fleet.caller(0))
        .send("pour-order", "a")
        .await
        .unwrap();
    assert_eq!(
        unkeyed.outcome, "done",
        "a request without a key does not need the log"
    );
    assert!(!fleet.runs().await.contains_key("k"));
    fleet.log.set_down(false);
    let log_is_read =
        |status: &jacinthhoist_codec::StatusView| status.log_age_ms.is_some_and(|age| age < 400);
    fleet
        .wait_for_view(0, "/v1/status", "the log is being read again", log_is_read)
        .await;
    let mut answer = send(&fleet, 0, "k", "a").await;
    while answer.outcome == "not-run" {
        answer = send(&fleet, 0, "k", "a").await;
    }
    assert_eq!(answer.outcome, "done");
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_claimed_by_a_killed_member_is_unknown_and_not_rerun() {
    let mut plan = FleetPlan::small();
    plan.members = 3;
    plan.service_ms = 60_000;
    let mut fleet = LocalFleet::start(plan).await;
    let caller = WorkCaller::new(fleet.caller(0)).key("k").order("k");
    let first = tokio::spawn(async move { caller.send("pour-order", "a").await.is_ok() });
    let claimed = |status: &jacinthhoist_codec::StatusView| status.claims == 1;
    fleet
        .wait_for_view(1, "/v1/status", "the claim is visible", claimed)
        .await;
    // The member counts a request as running before an upstream has received it.
    fleet
        .wait_until("an upstream runs the request", |fleet| {
            fleet
                .upstreams
                .values()
                .any(|upstream| upstream.running() == 1)
        })
        .await;
    fleet.kill_member(0).await;
    assert!(!first.await.unwrap());
    let has_two_members = |status: &jacinthhoist_codec::StatusView| status.members == 2;
    fleet
        .wait_for_view(
            0,
            "/v1/status",
            "the killed member has been evicted",
            has_two_members,
        )
        .await;
    for member in 0..2 {
        let repeat = send(&fleet, member, "k", "a").await;
        assert_eq!(
            (repeat.outcome.as_str(), repeat.reason.as_str()),
            ("unknown", "holder_gone")
        );
    }
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_response_after_the_caller_disconnected() {
    let mut plan = FleetPlan::small();
    plan.service_ms = 300;
    let fleet = LocalFleet::start(plan).await;
    let caller = WorkCaller::new(fleet.caller(0)).key("k").order("k");
    let first = tokio::spawn(async move { caller.send("pour-order", "a").await.is_ok() });
    let claimed = |status: &jacinthhoist_codec::StatusView| status.claims == 1;
    fleet
        .wait_for_view(0, "/v1/status", "the claim is visible", claimed)
        .await;
    first.abort();
    let repeat = send(&fleet, 1, "k", "a").await;
    assert_eq!(
        (repeat.outcome.as_str(), repeat.text().as_str()),
        ("done", "ran: a")
    );
    assert_eq!(fleet.runs().await["k"], 1);
}

/// Guards against a stack overflow when a member is killed while it reads the rest of a response
/// for a later repeat: the runtime that shut down dropped the reading task, and each drop spawned
/// another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_can_be_killed_while_it_reads_a_response_for_a_repeat() {
    let mut fleet = LocalFleet::start(FleetPlan::small()).await;
    for upstream in fleet.upstreams.values() {
        upstream.set_fault(UpstreamFault::Stall).await;
    }
    let caller = WorkCaller::new(fleet.caller(0)).key("k").order("k");
    let first = tokio::spawn(async move { caller.send("pour-order", "a").await.is_ok() });
    wait_until_run(&fleet, "k").await;
    // After the caller disconnects, the member reads the rest of the response for a repeat.
    first.abort();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    fleet.kill_member(0).await;
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
}

/// Waits until an order has run and its response is being sent.
async fn wait_until_run(fleet: &LocalFleet, order: &str) {
    while !fleet.runs().await.contains_key(order) {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
}
