//! Life cycle of a request: outcomes reported for each way in which it can end.

use std::sync::Arc;

use jacinthhoist_core::{
    Admitted, ClockTime, Outcome, OwnerName, PoolName, RefusalReason, Request, RetryReason,
    WorkClass, WorkEntry, WorkName,
};

fn admitted(repeatable: bool) -> Request<Admitted> {
    let entry = WorkEntry {
        owner: OwnerName::new("o"),
        class: WorkClass::Urgent,
        pool: PoolName::new("p"),
        repeatable,
        max_queued: 1,
        max_running: 1,
        deadline_ms: 100,
        max_body_bytes: 0,
        max_attempts: 3,
        checkpoint: false,
    };
    let received = Request::receive(1, ClockTime::ZERO);
    received
        .classify(WorkName::new("w"), Arc::new(entry))
        .admit()
}

#[test]
fn failed_attempt_reports_the_known_outcome() {
    use Outcome::{Failed, NotRun, Unknown};
    let cases = [
        (RetryReason::ConnectFailed, true, NotRun),
        (RetryReason::UpstreamRefused, true, NotRun),
        (RetryReason::ConnectionLost, true, NotRun),
        (RetryReason::ConnectionLost, false, Unknown),
        (RetryReason::AnswerTimeout, false, Unknown),
        (RetryReason::AnswerCrossed, false, Unknown),
        (RetryReason::UpstreamFailed, false, Failed),
    ];
    for (reason, not_run, expected) in cases {
        let attempted = admitted(false)
            .enqueue()
            .place(0)
            .dispatch()
            .fail_attempt(reason, not_run);
        assert_eq!(attempted.may_retry(ClockTime::ZERO), not_run, "{reason:?}");
        assert_eq!(attempted.give_up().phase.outcome, expected, "{reason:?}");
    }
}

#[test]
fn refusal_after_a_possible_run_reports_unknown() {
    let attempted = admitted(true)
        .enqueue()
        .place(0)
        .dispatch()
        .fail_attempt(RetryReason::AnswerTimeout, false);
    let queued = attempted.retry(ClockTime::ZERO).unwrap().enqueue();
    let answered = queued.refuse(RefusalReason::DeadlinePassed);
    assert_eq!(answered.phase.outcome, Outcome::Unknown);
    let attempted = admitted(true)
        .enqueue()
        .place(0)
        .dispatch()
        .fail_attempt(RetryReason::AnswerTimeout, false);
    let placed = attempted.retry(ClockTime::ZERO).unwrap().enqueue().place(1);
    let answered = placed.fail_unsent(RetryReason::ConnectFailed).give_up();
    assert_eq!(answered.phase.outcome, Outcome::Unknown);
}

#[test]
fn attempts_stop_at_the_maximum_and_the_deadline() {
    let mut request = admitted(true);
    for vm in 0..2 {
        let attempted = request
            .enqueue()
            .place(vm)
            .dispatch()
            .fail_attempt(RetryReason::ConnectionLost, false);
        assert!(
            !attempted.may_retry(ClockTime::from_millis(100)),
            "the deadline has passed"
        );
        request = attempted.retry(ClockTime::from_millis(99)).unwrap();
    }
    let last = request
        .enqueue()
        .place(2)
        .dispatch()
        .fail_attempt(RetryReason::ConnectionLost, false);
    assert!(last.retry(ClockTime::ZERO).is_err());
}
