//! Runs and reports that come late: what the owner concludes from them, and where it sends orders.

use jacinthhoist_core::job::JobId;

use crate::harness::{RunOrder, SchedulerHarness, key, spec, step, worker};

/// Guards against a panic on the first report to a new owner: it names a step that the job lacks.
#[test]
fn the_first_report_may_name_a_step_that_the_job_does_not_have() {
    let mut harness = SchedulerHarness::open(1);
    let spec = spec(vec![step(1)], harness.now);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let mut next = harness.take_over(&[(JobId(1), spec)], 1);
    let odd = RunOrder {
        worker: worker(0),
        task: key(1, 7, 0),
        run: 1,
    };
    next.report_part(0, std::slice::from_ref(&odd), 30);
    next.settle();
    assert_eq!(next.stops, [odd]);
}
