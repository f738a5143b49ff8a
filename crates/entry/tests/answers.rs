//! Responses that are missing, late, truncated or for another request; upstreams that fail, refuse
//! requests or announce their departure.

use jacinthhoist_experiments::{CallerError, CallerResponse, FleetPlan, LocalFleet, WorkCaller};
use jacinthhoist_fakes::UpstreamFault;

/// Opens a fleet in which all upstreams have a fault, injected after connections have been opened.
async fn faulty_fleet(fault: UpstreamFault) -> LocalFleet {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    for order in 0..16 {
        let caller = WorkCaller::new(fleet.caller(0)).order(&format!("warm-{order}"));
        caller.send("quote-run", "warm").await.unwrap();
    }
    for upstream in fleet.upstreams.values() {
        upstream.set_fault(fault).await;
    }
    fleet
}

async fn send(fleet: &LocalFleet, work: &str, order: &str) -> Result<CallerResponse, CallerError> {
    WorkCaller::new(fleet.caller(0))
        .order(order)
        .send(work, "body")
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_work_is_reported_as_failed_and_not_rerun() {
    let fleet = faulty_fleet(UpstreamFault::FailAll).await;
    let once = send(&fleet, "pour-order", "once").await.unwrap();
    assert_eq!(
        (once.outcome.as_str(), once.reason.as_str()),
        ("failed", "")
    );
    assert_eq!(once.status, 500);
    send(&fleet, "quote-run", "again").await.unwrap();
    let runs = fleet.runs().await;
    assert_eq!(
        runs["once"], 1,
        "work that is not repeatable is not retried"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_work_is_reported_as_not_run() {
    let fleet = faulty_fleet(UpstreamFault::Refuse).await;
    for work in ["pour-order", "quote-run"] {
        let answer = send(&fleet, work, work).await.unwrap();
        assert_eq!(
            (answer.outcome.as_str(), answer.status),
            ("not-run", 503),
            "{work}"
        );
        assert!(!fleet.runs().await.contains_key(work));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_is_an_error_for_the_caller() {
    let fleet = faulty_fleet(UpstreamFault::Truncate).await;
    for work in ["pour-order", "quote-run"] {
        let answer = send(&fleet, work, work).await;
        assert!(answer.is_err(), "{work}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_another_request_is_not_relayed() {
    let fleet = faulty_fleet(UpstreamFault::WrongRequestId).await;
    for work in ["pour-order", "quote-run"] {
        let answer = send(&fleet, work, work).await.unwrap();
        assert_eq!(answer.outcome, "unknown", "{work}");
        assert!(!answer.text().contains("ran: "), "{work}");
    }
    assert_eq!(fleet.runs().await["pour-order"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_timeout_uses_a_new_connection() {
    let fleet = faulty_fleet(UpstreamFault::Silent).await;
    let answer = send(&fleet, "quote-run", "again").await.unwrap();
    assert_eq!(answer.outcome, "done");
    assert!(fleet.runs().await["again"] <= 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_timeout_of_non_repeatable_work_has_an_unknown_outcome() {
    let mut plan = FleetPlan::small();
    plan.catalogue = plan
        .catalogue
        .replace("deadline_ms = 10000", "deadline_ms = 700");
    let fleet = LocalFleet::start(plan).await;
    for order in 0..16 {
        send(&fleet, "quote-run", &format!("warm-{order}"))
            .await
            .unwrap();
    }
    for upstream in fleet.upstreams.values() {
        upstream.set_fault(UpstreamFault::Silent).await;
    }
    let answer = send(&fleet, "pour-order", "once").await.unwrap();
    assert_eq!(
        (answer.outcome.as_str(), answer.reason.as_str()),
        ("unknown", "answer_timeout")
    );
    assert_eq!(fleet.runs().await["once"], 1);
    let next = send(&fleet, "pour-order", "next").await.unwrap();
    assert_eq!(
        next.outcome, "done",
        "the unresponsive connections are closed"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_fails_every_request_is_ejected() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let faulty = fleet.upstreams.values().next().unwrap();
    faulty.set_fault(UpstreamFault::FailAll).await;
    for order in 0..60 {
        send(&fleet, "quote-run", &format!("a{order}"))
            .await
            .unwrap();
    }
    let before = faulty.run_count();
    let mut failed = 0;
    for order in 0..40 {
        let answer = send(&fleet, "quote-run", &format!("b{order}"))
            .await
            .unwrap();
        failed += u32::from(answer.outcome != "done");
    }
    assert_eq!(failed, 0);
    assert!(faulty.run_count() - before <= 2, "it gets only probes");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_announces_its_departure_gets_no_new_work() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let leaving = fleet.upstreams.values().next().unwrap();
    leaving.set_leaving(true);
    for order in 0..32 {
        send(&fleet, "quote-run", &format!("a{order}"))
            .await
            .unwrap();
    }
    let before = leaving.run_count();
    for order in 0..64 {
        let answer = send(&fleet, "quote-run", &format!("b{order}"))
            .await
            .unwrap();
        assert_eq!(answer.outcome, "done");
    }
    assert_eq!(leaving.run_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_listed_as_leaving_gets_no_new_work() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    fleet.list.set_state("w0000", "leaving").await;
    let is_leaving = |views: &Vec<jacinthhoist_codec::VmView>| {
        views
            .iter()
            .any(|view| view.sight == jacinthhoist_core::ListedStatus::Leaving)
    };
    for member in 0..2 {
        fleet
            .wait_for_view(member, "/v1/vms", "the VM is listed as leaving", is_leaving)
            .await;
    }
    let before = fleet.upstreams["w0000"].run_count();
    for order in 0..64 {
        let answer = send(&fleet, "quote-run", &format!("{order}"))
            .await
            .unwrap();
        assert_eq!(answer.outcome, "done");
    }
    assert_eq!(fleet.upstreams["w0000"].run_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_callers_free_their_queue_entries_and_slots() {
    let mut plan = FleetPlan::small();
    plan.service_ms = 30_000;
    let fleet = LocalFleet::start(plan).await;
    let caller = WorkCaller::new(fleet.caller(0));
    let requests: Vec<_> = (0..80)
        .map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.send("quote-run", "wave").await.is_ok() })
        })
        .collect();
    let busy =
        |views: &Vec<jacinthhoist_codec::PoolView>| views.iter().any(|view| view.waiting > 30);
    fleet
        .wait_for_view(0, "/v1/pools", "requests are queued", busy)
        .await;
    for request in requests {
        request.abort();
    }
    let idle = |views: &Vec<jacinthhoist_codec::PoolView>| {
        views
            .iter()
            .all(|view| view.waiting == 0 && view.running == 0)
    };
    fleet
        .wait_for_view(
            0,
            "/v1/pools",
            "the queue is empty and all slots are free",
            idle,
        )
        .await;
    let answer = caller
        .service_ms(1)
        .send("quote-run", "next")
        .await
        .unwrap();
    assert_eq!(answer.outcome, "done");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_queue_of_slow_work_does_not_refuse_urgent_work_of_the_same_owner() {
    let mut plan = FleetPlan::small();
    plan.service_ms = 30_000;
    plan.catalogue = plan
        .catalogue
        .replace("[owners.foundry]", "[owners.foundry]\nmax_queued = 20");
    let fleet = LocalFleet::start(plan).await;
    let flood: Vec<_> = (0..120)
        .map(|_| {
            let caller = WorkCaller::new(fleet.caller(0));
            tokio::spawn(async move { caller.send("mould-cure", "flood").await.is_ok() })
        })
        .collect();
    let full =
        |views: &Vec<jacinthhoist_codec::PoolView>| views.iter().any(|view| view.waiting >= 20);
    fleet
        .wait_for_view(0, "/v1/pools", "the owner's queue is full", full)
        .await;
    let slow = WorkCaller::new(fleet.caller(0))
        .send("mould-cure", "more")
        .await
        .unwrap();
    assert_eq!(slow.reason, "owner_queue_full");
    let order = WorkCaller::new(fleet.caller(0))
        .service_ms(1)
        .send("pour-order", "order")
        .await
        .unwrap();
    assert_eq!(order.outcome, "done");
    flood.iter().for_each(|request| request.abort());
}
