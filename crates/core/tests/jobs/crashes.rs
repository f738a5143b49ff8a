//! Workers that end with their runs, and tasks at whose start workers end.

use jacinthhoist_core::job::RenewalReport;

use crate::harness::{SchedulerHarness, listed_entry, step, worker};

/// Guards against runs that wait for the lease of a worker whose process has ended: the next worker
/// on its VM answers at the same address seconds before the lease expires.
#[test]
fn runs_are_released_when_a_later_worker_answers_at_the_address() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    harness.scheduler.renewal_failed(&worker(0), harness.now);
    harness.wait(1_000);
    let next = worker(1);
    let entry = listed_entry(0);
    harness
        .scheduler
        .worker_listed(next.clone(), entry, harness.now);
    harness.settle();
    assert!(
        harness.starts.is_empty(),
        "the next worker has not answered"
    );
    harness.report(1, RenewalReport::default());
    harness.settle();
    let again = harness.confirm().remove(0);
    assert_eq!((again.worker, again.run), (next, start.run + 1));
}

/// Guards against the release of runs in progress: a worker that answers was not replaced, whatever
/// the list says, and one that is silent was not replaced by a worker elsewhere or by an earlier
/// answer.
#[test]
fn runs_are_not_released_without_a_later_answer_at_the_address() {
    // Whether the first worker is silent, whether the other has its address, and whether the other's
    // report was requested after the silence.
    for (silent, same_address, later) in [
        (false, true, true),
        (true, false, true),
        (true, true, false),
    ] {
        let mut harness = SchedulerHarness::open(1);
        harness.accept(1, vec![step(1)]);
        harness.settle();
        harness.confirm();
        let entry = listed_entry(if same_address { 0 } else { 1 });
        harness
            .scheduler
            .worker_listed(worker(1), entry, harness.now);
        let asked_at = harness.now;
        harness.wait(100);
        if silent {
            harness.scheduler.renewal_failed(&worker(0), harness.now);
        }
        let asked_at = if later { harness.now } else { asked_at };
        harness.wait(100);
        let report = RenewalReport {
            clock: harness.now.as_millis(),
            incarnation: Some(2),
            ..RenewalReport::default()
        };
        harness
            .scheduler
            .report(&worker(1), report, asked_at, harness.now);
        harness.settle();
        assert!(harness.starts.is_empty(), "{silent} {same_address} {later}");
    }
}
