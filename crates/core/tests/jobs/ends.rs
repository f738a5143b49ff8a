//! Tests of the ends that workers list.

use crate::harness::{RunOrder, SchedulerHarness, key, step};
use jacinthhoist_core::job::{AnyTask, EndedRun, RenewalReport, TaskEnd};

fn done(start: &RunOrder, number: u64) -> EndedRun {
    EndedRun {
        number,
        task: start.task,
        run: start.run,
        end: TaskEnd::Done,
        checkpoint: None,
    }
}

/// Creates an owner with one worker that runs two tasks.
fn open() -> (SchedulerHarness, Vec<RunOrder>) {
    let mut owner = SchedulerHarness::open(1);
    owner.accept(1, vec![step(2)]);
    owner.settle();
    let starts = owner.confirm();
    owner.report_all(&starts, 1, 10);
    (owner, starts)
}

/// Guards against tasks that run again after they were done: a run that a worker had not named counted
/// as gone, although the worker lists its ends in parts (review/3).
#[test]
fn a_run_that_a_cut_list_does_not_name_is_kept() {
    let (mut owner, starts) = open();
    let cut = RenewalReport {
        ended: vec![done(&starts[0], 1)],
        has_more_ends: true,
        ..RenewalReport::default()
    };
    owner.report(0, cut.clone());
    // Also if another process answers, which may have run any of them.
    let incarnation = Some(2);
    owner.report(0, RenewalReport { incarnation, ..cut });
    owner.settle();
    assert_eq!(owner.starts.len(), 0);
    assert!(matches!(owner.task(starts[1].task), AnyTask::Running(_)));
    let whole = RenewalReport {
        incarnation,
        ended: vec![done(&starts[1], 2)],
        ..RenewalReport::default()
    };
    owner.report(0, whole);
    owner.settle();
    assert_eq!(owner.starts.len(), 0);
    assert!(owner.scheduler.job(key(1, 0, 0).job).is_none());
}

/// Guards against an end that is lost: the ends of a report were read in the order of its list, and one with
/// a lower number than the one before it counted as known.
#[test]
fn ends_are_applied_whatever_their_order() {
    let (mut owner, starts) = open();
    let report = RenewalReport {
        ended: vec![done(&starts[0], 2), done(&starts[1], 1)],
        ..RenewalReport::default()
    };
    owner.report(0, report);
    owner.settle();
    assert_eq!(owner.starts.len(), 0);
    assert!(owner.scheduler.job(key(1, 0, 0).job).is_none());
}
