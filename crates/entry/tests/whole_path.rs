//! End-to-end tests over real sockets: requests, refusals and catalogue changes.

use expect_test::expect;
use jacinthhoist_codec::{ChangeVerdict, InForceView};
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

#[tokio::test(flavor = "multi_thread")]
async fn every_member_relays_complete_responses_of_each_class() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let body = "x".repeat(300_000);
    for member in 0..2 {
        for work in ["quote-run", "pour-order", "mould-cure"] {
            let answer = WorkCaller::new(fleet.caller(member))
                .send(work, &body)
                .await
                .unwrap();
            assert_eq!(
                (answer.status, answer.outcome.as_str()),
                (200, "done"),
                "{work}"
            );
            assert_eq!(answer.text(), format!("ran: {body}"), "{work}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_include_reason_and_remedy() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let caller = || WorkCaller::new(fleet.caller(0));
    let large = "x".repeat(1_048_577);
    let cases = [
        (caller(), "no-such-work", "a", 404, "unknown_work"),
        (caller(), "quote-run", large.as_str(), 413, "body_too_large"),
        (
            caller().key(&"k".repeat(257)),
            "pour-order",
            "a",
            400,
            "malformed",
        ),
    ];
    for (caller, work, body, status, reason) in cases {
        let answer = caller.send(work, body).await.unwrap();
        assert_eq!((answer.status, answer.reason.as_str()), (status, reason));
        assert_eq!(answer.outcome, "not-run");
        assert!(answer.text().contains("\"remedy\":\""), "{}", answer.text());
    }
    assert!(fleet.runs().await.is_empty());
}

/// Guards against a refusal before the end of the body: the connection was closed while the caller
/// still wrote, and the caller got a broken pipe instead of the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_is_still_sending_gets_the_refusal() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let half = vec![b'x'; 600_000];
    for (work, status) in [("quote-run", "413"), ("no-such-work", "404")] {
        let mut stream = TcpStream::connect(fleet.caller(0)).await.unwrap();
        let head = format!(
            "POST /works/{work}/run HTTP/1.1\r\nhost: caller\r\ncontent-length: {}\r\n\r\n",
            2 * half.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&half).await.unwrap();
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        stream.write_all(&half).await.unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer);
        assert_eq!(answer, format!("HTTP/1.1 {status}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_does_not_stop_a_member() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let addresses = fleet.members[0].addresses();
    for address in [addresses.caller, addresses.peer, addresses.admin] {
        for input in [
            "\0\0\0\0\r\n\r\n",
            "GET / HTTP/9.9\r\n\r\n",
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        ] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(input.as_bytes()).await.unwrap();
            stream.shutdown().await.unwrap();
            // The response does not matter, but the member must close the connection.
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
    }
    let answer = WorkCaller::new(addresses.caller)
        .send("quote-run", "a")
        .await
        .unwrap();
    assert_eq!(answer.outcome, "done");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_applies_at_every_member_and_one_of_two_concurrent_edits_is_refused() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let change = |queued: u32| {
        format!(
            "[works.late-work]\nowner = \"depot\"\nclass = \"slow\"\npool = \"quotes\"\nrepeatable = true\nmax_queued = {queued}\n"
        )
    };
    let first = fleet.apply(0, &change(5)).await.unwrap();
    assert_eq!(first.verdict, ChangeVerdict::Accepted);
    let path = format!("/v1/in-force?offset={}", first.offset.unwrap());
    fleet
        .wait_for_view(1, &path, "the change is in force", |view: &InForceView| {
            view.everywhere
        })
        .await;
    for member in 0..2 {
        let answer = WorkCaller::new(fleet.caller(member))
            .send("late-work", "a")
            .await
            .unwrap();
        assert_eq!(answer.outcome, "done");
    }
    let (one, two) = (change(6), change(7));
    let (one, two) = tokio::join!(fleet.apply(0, &one), fleet.apply(1, &two));
    let verdicts = [one.unwrap(), two.unwrap()];
    let accepted = verdicts
        .iter()
        .filter(|answer| answer.verdict == ChangeVerdict::Accepted);
    assert_eq!(accepted.count(), 1, "{verdicts:?}");
    let refused = verdicts
        .iter()
        .find(|answer| answer.verdict == ChangeVerdict::Refused)
        .unwrap();
    assert!(
        refused
            .message
            .as_ref()
            .unwrap()
            .contains("read the catalogue again"),
        "{refused:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_change_is_rejected_and_leaves_the_catalogue_unchanged() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let cases = [
        (
            "[works.a]\nowner = \"nobody\"\nclass = \"slow\"\npool = \"quotes\"\nrepeatable = true\n",
            expect![
                "works.a: field `owner` names `nobody`, which is not in the catalogue: add the owner, or name another"
            ],
        ),
        (
            "[pools.quotes]\nbase_vms = 4\nmin_available = 9\n",
            expect!["pools.quotes: field `min_available` is 9: write a value from 0 to 4"],
        ),
        (
            "remove = [\"pools.quotes\"]\n",
            expect![
                "works.mould-cure: field `pool` names `quotes`, which is not in the catalogue: add the pool, or name another"
            ],
        ),
    ];
    for (text, expected) in cases {
        let answer = fleet.apply(0, text).await.unwrap();
        assert_eq!(answer.verdict, ChangeVerdict::Refused);
        expected.assert_eq(&answer.message.unwrap());
    }
    let answer = WorkCaller::new(fleet.caller(1))
        .send("quote-run", "a")
        .await
        .unwrap();
    assert_eq!(answer.outcome, "done");
}
