//! Keyed requests that may run once only, under lost answers, outages and killed members.

use jacinthhoist_experiments::{CallerResponse, FleetPlan, LocalFleet, WorkCaller};
use jacinthhoist_fakes::UpstreamFault;

async fn send(fleet: &LocalFleet, place: usize, key: &str, body: &str) -> CallerResponse {
    let caller = WorkCaller::new(fleet.caller(place)).key(key).order(key);
    caller.send("pour-order", body).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_first_answer_at_any_member() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let first = send(&fleet, 0, "k", "one frame").await;
    for place in [0, 1, 1, 0] {
        let repeat = send(&fleet, place, "k", "one frame").await;
        assert_eq!(
            (&repeat.outcome, repeat.text()),
            (&first.outcome, first.text())
        );
    }
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_two_members_at_once_runs_once() {
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
async fn a_key_with_another_body_is_refused() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    send(&fleet, 0, "k", "one frame").await;
    let other = send(&fleet, 1, "k", "two frames").await;
    assert_eq!((other.status, other.reason.as_str()), (422, "key_reused"));
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answers_double_nothing() {
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
async fn while_the_log_is_down_a_keyed_request_does_not_run() {
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
    assert_eq!(unkeyed.outcome, "done", "work without a key needs no log");
    assert!(!fleet.runs().await.contains_key("k"));
    fleet.log.set_down(false);
    let claims =
        |status: &jacinthhoist_codec::StatusView| status.log_age_ms.is_some_and(|age| age < 400);
    fleet
        .wait_for_view(0, "/v1/status", "the log is read again", claims)
        .await;
    let mut answer = send(&fleet, 0, "k", "a").await;
    while answer.outcome == "not-run" {
        answer = send(&fleet, 0, "k", "a").await;
    }
    assert_eq!(answer.outcome, "done");
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_member_was_killed_is_unknown_and_never_runs_again() {
    let mut plan = FleetPlan::small();
    plan.members = 3;
    plan.service_ms = 60_000;
    let mut fleet = LocalFleet::start(plan).await;
    let caller = WorkCaller::new(fleet.caller(0)).key("k").order("k");
    let first = tokio::spawn(async move { caller.send("pour-order", "a").await.is_ok() });
    let claimed = |status: &jacinthhoist_codec::StatusView| status.claims == 1;
    fleet
        .wait_for_view(1, "/v1/status", "the claim is seen", claimed)
        .await;
    let running =
        |views: &Vec<jacinthhoist_codec::PoolView>| views.iter().any(|view| view.running == 1);
    fleet
        .wait_for_view(0, "/v1/pools", "the request runs", running)
        .await;
    fleet.kill_member(0).await;
    assert!(!first.await.unwrap());
    let two_left = |status: &jacinthhoist_codec::StatusView| status.members == 2;
    fleet
        .wait_for_view(0, "/v1/status", "the killed member is evicted", two_left)
        .await;
    for place in 0..2 {
        let repeat = send(&fleet, place, "k", "a").await;
        assert_eq!(
            (repeat.outcome.as_str(), repeat.reason.as_str()),
            ("unknown", "holder_gone")
        );
    }
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_went_away_finds_its_answer() {
    let mut plan = FleetPlan::small();
    plan.service_ms = 300;
    let fleet = LocalFleet::start(plan).await;
    let caller = WorkCaller::new(fleet.caller(0)).key("k").order("k");
    let first = tokio::spawn(async move { caller.send("pour-order", "a").await.is_ok() });
    let claimed = |status: &jacinthhoist_codec::StatusView| status.claims == 1;
    fleet
        .wait_for_view(0, "/v1/status", "the claim is seen", claimed)
        .await;
    first.abort();
    let repeat = send(&fleet, 1, "k", "a").await;
    assert_eq!(
        (repeat.outcome.as_str(), repeat.text().as_str()),
        ("done", "ran: a")
    );
    assert_eq!(fleet.runs().await["k"], 1);
}

/// A member that ends while it relays an answer once overflowed a stack: reading the rest of an answer
/// that a repeat may ask for was begun anew by each attempt that the ending runtime dropped. Shown once
/// by the history test, beside a hunt.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_may_be_killed_while_it_relays_an_answer_that_is_kept() {
    let mut fleet = LocalFleet::start(FleetPlan::small()).await;
    for upstream in fleet.upstreams.values() {
        upstream.set_fault(UpstreamFault::Stall).await;
    }
    let caller = WorkCaller::new(fleet.caller(0)).key("k").order("k");
    let first = tokio::spawn(async move { caller.send("pour-order", "a").await.is_ok() });
    wait_run(&fleet, "k").await;
    // The caller goes away: the rest of the answer is read for a repeat until the member ends.
    first.abort();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    fleet.kill_member(0).await;
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
}

/// Waits until an order has run; its answer is on its way then.
async fn wait_run(fleet: &LocalFleet, order: &str) {
    while !fleet.runs().await.contains_key(order) {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
}
