//! Availability of long-running steps: which orders end a sound run.

use jacinthhoist_core::job::JobId;

use crate::harness::{RunOrder, SchedulerHarness, long_running_step};

/// Starts a service of three tasks, one of which may be missing, on as many workers; returns the starts.
fn start_service(harness: &mut SchedulerHarness) -> Vec<RunOrder> {
    harness.accept(1, vec![long_running_step(3, 1)]);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 3);
    starts
}

/// Guards against sound runs that are stopped as hung, all at once, by an owner that was suspended just
/// after it had started them: it had read no report in the meantime.
#[test]
fn runs_are_not_stopped_as_hung_after_a_suspension_of_the_owner() {
    let mut harness = SchedulerHarness::open(3);
    let starts = start_service(&mut harness);
    harness.wait(4_000);
    harness.step();
    harness.report_all(&starts, 3, 100);
    harness.settle();
    assert_eq!(harness.stops, []);
}

/// Guards against hung runs that are never stopped: their workers report them without progress.
#[test]
fn a_run_that_is_reported_without_progress_is_stopped() {
    let mut harness = SchedulerHarness::open(3);
    let starts = start_service(&mut harness);
    for _ in 0..4 {
        harness.wait(700);
        harness.report_part(0, &starts, 0);
        harness.report_part(1, &starts, 100);
        harness.report_part(2, &starts, 100);
    }
    harness.settle();
    let hung: Vec<RunOrder> = starts[..1].to_vec();
    assert_eq!(harness.stops, hung);
    assert!(harness.scheduler.job(JobId(1)).is_some());
}
