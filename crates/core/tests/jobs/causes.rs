//! Crashes of workers that tasks did not cause.

use jacinthhoist_core::job::{JobId, JobState};

use crate::{
    crashes::{outlive_starts, replace},
    harness::{SchedulerHarness, long_running_step, number_of},
};

/// Guards against a long-running job that is given up since its workers crash again and again, each
/// time under a run that had outlived its start.
#[test]
fn a_long_running_task_is_not_given_up_for_crashes_after_its_starts() {
    let mut harness = SchedulerHarness::open(8);
    harness.accept(1, vec![long_running_step(1, 0)]);
    for next in 8..16 {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 1, "after {} crashes", next - 8);
        let number = number_of(&starts[0].worker);
        outlive_starts(&mut harness, number, &starts);
        replace(&mut harness, number, next);
    }
    assert_ne!(harness.scheduler.state(JobId(1)), Some(JobState::Failed));
}
