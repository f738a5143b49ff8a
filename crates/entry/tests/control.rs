//! Tests of the control pipe: outages, lost responses, expired and invalid records, replacement and
//! graceful stop of members.

use jacinthhoist_codec::{CatalogueView, ChangeVerdict, StatusView};
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};

const CHANGE: &str = "[owners.newcomer]\nweight = 3\n";

fn has_newcomer(view: &CatalogueView) -> bool {
    view.entries
        .iter()
        .any(|entry| entry.entry.name.as_str() == "newcomer")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_succeed_while_log_and_vm_list_are_unavailable() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    fleet.log.set_down(true);
    fleet.list.set_down(true);
    for index in 0..40 {
        let answer = WorkCaller::new(fleet.caller(index))
            .send("quote-run", "a")
            .await
            .unwrap();
        assert_eq!(answer.outcome, "done");
    }
    let change = fleet.apply(0, CHANGE).await.unwrap();
    assert_eq!(change.verdict, ChangeVerdict::Unknown);
    fleet.log.set_down(false);
    fleet.list.set_down(false);
    for member in 0..2 {
        fleet
            .wait_for_view(
                member,
                "/v1/catalogue",
                "the change is in the catalogue",
                has_newcomer,
            )
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_append_with_a_lost_response_is_found_by_read_back() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    fleet.log.lose_replies(1);
    let change = fleet.apply(0, CHANGE).await.unwrap();
    assert_eq!(change.verdict, ChangeVerdict::Accepted);
    let texts = fleet.log.texts().await;
    assert_eq!(
        texts
            .iter()
            .filter(|text| text.contains("newcomer"))
            .count(),
        1
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_records_and_unknown_versions_in_the_log_are_skipped() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    for invalid in [
        "",
        "{",
        "null",
        "{\"v\":99}",
        "{\"v\":1,\"record\":{}}",
        "\u{fffd}",
    ] {
        fleet.log.append(invalid).await;
    }
    let change = fleet.apply(1, CHANGE).await.unwrap();
    assert_eq!(change.verdict, ChangeVerdict::Accepted);
    fleet
        .wait_for_view(
            0,
            "/v1/catalogue",
            "the change is in the catalogue",
            has_newcomer,
        )
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_member_starts_from_a_snapshot_after_records_expired() {
    let mut plan = FleetPlan::small();
    plan.limits.snapshot_records = 6;
    let mut fleet = LocalFleet::start(plan).await;
    fleet.apply(0, CHANGE).await.unwrap();
    for weight in 1..20 {
        fleet
            .apply(0, &format!("[owners.depot]\nweight = {weight}\n"))
            .await
            .unwrap();
    }
    let mut has_snapshot = false;
    for _ in 0..600 {
        has_snapshot = fleet
            .log
            .texts()
            .await
            .iter()
            .any(|text| text.contains("\"step\":\"snapshot\""));
        if has_snapshot {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert!(has_snapshot, "no snapshot was appended");
    fleet.log.retain_newest(8).await;
    let texts = fleet.log.texts().await;
    let snapshot_index = texts
        .iter()
        .rposition(|text| text.contains("\"step\":\"snapshot\""))
        .unwrap();
    fleet.log.retain_newest(texts.len() - snapshot_index).await;
    let member = fleet.add_member().await;
    fleet
        .wait_until("the new member is ready", |fleet| {
            fleet.members[member].waits_for().is_none()
        })
        .await;
    fleet
        .wait_for_view(
            member,
            "/v1/catalogue",
            "the change is in the catalogue",
            has_newcomer,
        )
        .await;
    fleet.wait_until_settled().await;
    let answer = WorkCaller::new(fleet.caller(member))
        .send("quote-run", "a")
        .await
        .unwrap();
    assert_eq!(answer.outcome, "done");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_without_log_reports_that_it_is_not_ready() {
    let mut fleet = LocalFleet::start_empty(FleetPlan::small()).await;
    fleet.log.set_down(true);
    fleet.add_member().await;
    let status: StatusView = fleet.get(0, "/v1/status").await.unwrap();
    assert!(!status.ready);
    assert!(status.waits_for.unwrap().contains("the log"));
    let answer = WorkCaller::new(fleet.caller(0))
        .send("quote-run", "a")
        .await
        .unwrap();
    assert_eq!((answer.status, answer.reason.as_str()), (503, "not_ready"));
    fleet.log.set_down(false);
    fleet
        .wait_until("the member is ready", |fleet| {
            fleet.members[0].waits_for().is_none()
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_all_members_at_once_keeps_the_catalogue_and_the_claims() {
    let mut fleet = LocalFleet::start(FleetPlan::small()).await;
    fleet.apply(0, CHANGE).await.unwrap();
    let caller = |fleet: &LocalFleet| WorkCaller::new(fleet.caller(0)).key("k").order("k");
    caller(&fleet).send("pour-order", "a").await.unwrap();
    for _ in 0..2 {
        fleet.kill_member(0).await;
    }
    for _ in 0..2 {
        fleet.add_member().await;
    }
    fleet
        .wait_until("the new members are ready", |fleet| {
            fleet.members.iter().all(|m| m.waits_for().is_none())
        })
        .await;
    fleet
        .wait_for_view(
            0,
            "/v1/catalogue",
            "the change is in the catalogue",
            has_newcomer,
        )
        .await;
    let has_two_members = |status: &StatusView| status.members == 2;
    fleet
        .wait_for_view(
            0,
            "/v1/status",
            "the killed members are evicted",
            has_two_members,
        )
        .await;
    let repeat = caller(&fleet).send("pour-order", "a").await.unwrap();
    assert_ne!(repeat.outcome, "not-run");
    assert_eq!(fleet.runs().await["k"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_interrupts_no_request_and_leaves_the_members() {
    let mut plan = FleetPlan::small();
    plan.service_ms = 400;
    let mut fleet = LocalFleet::start(plan).await;
    let callers: Vec<_> = (0..40)
        .map(|_| {
            let caller = WorkCaller::new(fleet.caller(0));
            tokio::spawn(async move {
                caller
                    .send("quote-run", "a")
                    .await
                    .map(|answer| answer.outcome)
            })
        })
        .collect();
    let has_running_requests =
        |views: &Vec<jacinthhoist_codec::PoolView>| views.iter().any(|view| view.running > 8);
    fleet
        .wait_for_view(0, "/v1/pools", "requests are running", has_running_requests)
        .await;
    let stopping = fleet.members.remove(0);
    assert!(
        stopping.stop().await,
        "requests were still in flight at the end of the stop"
    );
    let mut done = 0;
    for caller in callers {
        match caller.await.unwrap() {
            Ok(outcome) => {
                assert!(outcome == "done" || outcome == "not-run", "{outcome}");
                done += u32::from(outcome == "done");
            }
            Err(error) => panic!("request interrupted: {error}"),
        }
    }
    assert!(done > 8);
    let has_one_member = |status: &StatusView| status.members == 1;
    fleet
        .wait_for_view(0, "/v1/status", "the member has left", has_one_member)
        .await;
}
