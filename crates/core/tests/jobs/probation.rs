//! Workers on which a task has failed.

use jacinthhoist_core::job::{EndedRun, JobId, RenewalReport, StartReply, StepSpec, TaskEnd};

use super::harness::{RunOrder, SchedulerHarness, long_running_step, step, worker};

/// Two workers with two long-running tasks each, of a step that allows no more on one worker. One task
/// of worker 0 fails.
fn with_failed_long_running_task() -> (SchedulerHarness, RunOrder) {
    let mut harness = SchedulerHarness::open(2);
    let spread = StepSpec {
        max_per_worker: 2,
        ..long_running_step(4, 0)
    };
    harness.accept(1, vec![spread]);
    harness.settle();
    let starts = harness.confirm();
    harness.report_all(&starts, 2, 100);
    let mut others: Vec<_> = starts
        .into_iter()
        .filter(|start| start.worker == worker(0))
        .collect();
    let failed = others.remove(0);
    let ended = EndedRun {
        number: 1,
        task: failed.task,
        run: failed.run,
        end: TaskEnd::Failed,
        checkpoint: None,
    };
    let report = RenewalReport {
        ended: vec![ended],
        ..SchedulerHarness::running(&others, 100)
    };
    harness.report(0, report);
    harness.settle();
    (harness, failed)
}

/// Regression test (LOST): a long-running task did not run for 11 s, as the only worker with a place for
/// it took no tasks after its failure while the others, which never end, ran there.
#[test]
fn a_failed_long_running_task_restarts_beside_others() {
    let (mut harness, failed) = with_failed_long_running_task();
    let restarts = harness.confirm();
    assert_eq!(restarts.len(), 1);
    assert_eq!(restarts[0].task, failed.task);
    assert_eq!(restarts[0].worker, worker(0));
}

/// Guards the trial of a worker with a single task: long-running tasks beside it are no trial, and tasks
/// that end are not placed in numbers before one has succeeded.
#[test]
fn a_worker_with_a_failure_gets_one_finite_task_until_it_succeeds() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![long_running_step(1, 0)]);
    harness.accept(2, vec![step(1)]);
    harness.settle();
    let starts = harness.confirm();
    let finite = starts.iter().find(|start| start.task.job.0 == 2);
    harness.end(finite.expect("both jobs start"), TaskEnd::Failed);
    for id in 3..=6 {
        harness.accept(id, vec![step(1)]);
    }
    harness.settle();
    let trial = harness.confirm();
    assert_eq!(trial.len(), 1);
    harness.end(&trial[0], TaskEnd::Done);
    harness.settle();
    // The reports of the ends do not list the long-running task, so it starts again too.
    let finite = harness.confirm().into_iter();
    assert_eq!(finite.filter(|start| start.task.job.0 != 1).count(), 4);
}

/// One worker with a finite task that goes on, and another one that has failed beside it. Returns the run
/// that goes on.
fn with_failure_beside_a_long_task() -> (SchedulerHarness, RunOrder) {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    harness.accept(2, vec![step(1)]);
    harness.settle();
    let starts = harness.confirm();
    let (long, failed) = (starts[0].clone(), starts[1].clone());
    assert_eq!((long.task.job, failed.task.job), (JobId(1), JobId(2)));
    let running = std::slice::from_ref(&long);
    report_end(&mut harness, running, &failed, 1, TaskEnd::Failed);
    (harness, long)
}

/// Reports the end of a run beside others.
fn report_end(
    harness: &mut SchedulerHarness,
    others: &[RunOrder],
    ended: &RunOrder,
    number: u64,
    end: TaskEnd,
) {
    let ended = EndedRun {
        number,
        task: ended.task,
        run: ended.run,
        end,
        checkpoint: None,
    };
    let report = RenewalReport {
        ended: vec![ended],
        ..SchedulerHarness::running(others, 10)
    };
    harness.report(0, report);
    harness.settle();
}

/// Regression test (LOST): a worker took no task after a failure for as long as the tasks ran that had begun
/// before it, so that one job which always fails closed a pool with nearly all of its CPU free.
#[test]
fn a_worker_with_a_failure_is_tried_beside_tasks_that_began_before_it() {
    let (mut harness, long) = with_failure_beside_a_long_task();
    for id in 3..=6 {
        harness.accept(id, vec![step(1)]);
    }
    harness.settle();
    let trial = harness.confirm();
    assert_eq!(trial.len(), 1, "one trial at a time");
    report_end(&mut harness, &[long], &trial[0], 2, TaskEnd::Done);
    assert_eq!(harness.confirm().len(), 4);
}

/// Regression test (LOST): the same with a trial that is a long task itself, which holds up a further one for
/// a short time only.
#[test]
fn a_long_trial_holds_up_no_further_one() {
    let (mut harness, long) = with_failure_beside_a_long_task();
    let first = harness.confirm();
    assert_eq!(first.len(), 1);
    harness.accept(3, vec![step(1)]);
    let running = [long, first[0].clone()];
    for percent in 10..14 {
        harness.wait(600);
        harness.report(0, SchedulerHarness::running(&running, percent));
        harness.settle();
    }
    let second = harness.confirm();
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].task.job, JobId(3));
}

/// Guards against a gang that waits for good, and with it all jobs behind a worker that is reserved for it: each
/// worker had failed a task and took one member as its trial, so that larger gangs found no room.
#[test]
fn a_gang_that_is_larger_than_its_pool_starts_on_workers_that_have_failed() {
    let mut owner = SchedulerHarness::open(2);
    let spread = StepSpec {
        max_per_worker: 1,
        ..step(2)
    };
    owner.accept(1, vec![spread]);
    owner.settle();
    for start in std::mem::take(&mut owner.starts) {
        owner.reply(&start, StartReply::Unhealthy);
    }
    owner.scheduler.cancel(JobId(1), None);
    let gang = StepSpec {
        gang: true,
        ..step(3)
    };
    owner.accept(2, vec![gang]);
    owner.settle();
    assert_eq!(owner.starts.len(), 3);
}
