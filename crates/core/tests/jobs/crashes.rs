//! Workers that end with their runs, and tasks at whose start workers end.

use jacinthhoist_core::job::{JobId, JobState, RenewalReport, StartReply, StepSpec, TaskEnd};

use crate::harness::{
    RunOrder, SchedulerHarness, listed_entry, long_running_step, number_of, step, worker,
};

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
            incarnation: Some(2),
            ..RenewalReport::default()
        };
        harness.report_asked_at(1, report, asked_at);
        harness.settle();
        assert!(harness.starts.is_empty(), "{silent} {same_address} {later}");
    }
}

/// Ends a worker and, some seconds later, lets the next one answer at its address.
pub(crate) fn replace(harness: &mut SchedulerHarness, number: usize, next: usize) {
    crash(harness, number);
    harness.wait(3_000);
    answer_at(harness, number, next);
}

pub(crate) fn crash(harness: &mut SchedulerHarness, number: usize) {
    harness
        .scheduler
        .renewal_failed(&worker(number), harness.now);
    harness.settle();
}

/// Registers worker `next` at the address of worker `number` and lets it report.
pub(crate) fn answer_at(harness: &mut SchedulerHarness, number: usize, next: usize) {
    let previous = harness.scheduler.worker(&worker(number));
    let entry = previous.expect("the worker is known").entry.clone();
    harness
        .scheduler
        .worker_listed(worker(next), entry, harness.now);
    harness.wait(1);
    harness.report(next, RenewalReport::default());
    harness.settle();
}

/// Lets all runs of a worker outlive their start.
pub(crate) fn outlive_starts(harness: &mut SchedulerHarness, number: usize, starts: &[RunOrder]) {
    harness.wait(400);
    harness.report_part(number, starts, 30);
    harness.settle();
}

pub(crate) fn speculative_step(count: u16) -> StepSpec {
    StepSpec {
        speculative: true,
        ..step(count)
    }
}

/// Guards against a task that crashes worker after worker: at most two more starts may follow the
/// third crash, and the crash may come at the start or later.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    // The step, whether the start is answered, and whether the run outlives its start.
    for (fatal_step, answered, lasts) in [
        (step(1), true, false),
        (speculative_step(1), true, false),
        (long_running_step(1, 0), true, false),
        (step(1), true, true),
        (step(1), false, false),
    ] {
        let mut harness = SchedulerHarness::open(8);
        harness.accept(1, vec![fatal_step]);
        let mut crashes = 0;
        while harness.scheduler.state(JobId(1)) != Some(JobState::Failed) {
            harness.settle();
            let starts = if answered {
                harness.confirm()
            } else {
                std::mem::take(&mut harness.starts)
            };
            assert_eq!(starts.len(), 1, "after {crashes} crashes");
            let number = number_of(&starts[0].worker);
            if lasts {
                outlive_starts(&mut harness, number, &starts);
            }
            replace(&mut harness, number, 8 + crashes);
            crashes += 1;
            assert!(crashes <= 5, "the task is started again and again");
        }
        assert!(crashes >= 2, "given up after {crashes} crashes");
    }
}

/// Guards against copies of a speculative task that crash worker after worker while nothing is known of
/// the first ones.
#[test]
fn a_task_waits_while_two_of_its_workers_may_have_crashed() {
    let mut harness = SchedulerHarness::open(8);
    harness.accept(1, vec![speculative_step(1)]);
    let mut numbers = Vec::new();
    for _ in 0..2 {
        harness.settle();
        let start = harness.confirm().remove(0);
        let number = number_of(&start.worker);
        numbers.push(number);
        crash(&mut harness, number);
    }
    harness.settle();
    assert!(harness.starts.is_empty());
    // The workers were only silent: the task starts at once, and nothing is held against it.
    for number in numbers {
        harness.report(number, RenewalReport::default());
    }
    harness.settle();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against an innocent job that is given up with the one that crashed the worker of both.
#[test]
fn jobs_beside_a_fatal_task_are_done() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![step(1)]);
    harness.accept(2, vec![step(3)]);
    let mut next = 4;
    let mut running: Vec<RunOrder> = Vec::new();
    for _ in 0..40 {
        harness.settle();
        running.extend(harness.confirm());
        let fatal = running.iter().position(|start| start.task.job == JobId(1));
        if let Some(at) = fatal {
            let host = running[at].worker.clone();
            running.retain(|start| start.worker != host);
            replace(&mut harness, number_of(&host), next);
            next += 1;
        } else if let Some(start) = running.pop() {
            let number = number_of(&start.worker);
            outlive_starts(&mut harness, number, std::slice::from_ref(&start));
            harness.end(&start, TaskEnd::Done);
        }
    }
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Failed));
    assert_eq!(harness.scheduler.state(JobId(2)), Some(JobState::Completed));
}

/// Guards against crashes that each new owner counts from zero.
#[test]
fn crashes_are_counted_across_owners() {
    let mut harness = SchedulerHarness::open(8);
    let spec = harness.accept(1, vec![step(1)]);
    let mut crashes = 0;
    loop {
        harness.settle();
        let start = harness.confirm().remove(0);
        let number = number_of(&start.worker);
        crash(&mut harness, number);
        crashes += 1;
        let mut next = harness.take_over(&[(JobId(1), spec.clone())], 8);
        for other in (0..8).filter(|other| *other != number) {
            next.report(other, RenewalReport::default());
        }
        next.scheduler.renewal_failed(&worker(number), next.now);
        next.wait(3_000);
        answer_at(&mut next, number, 8 + crashes);
        next.settle();
        if next.scheduler.state(JobId(1)) == Some(JobState::Failed) {
            break;
        }
        assert!(crashes < 5, "the task is started again and again");
        harness = next;
    }
    assert!(crashes >= 2, "given up after {crashes} crashes");
}

/// Guards against a job that is given up since its workers were cut off: they answer again, and their
/// processes have not ended.
#[test]
fn silent_workers_are_not_held_against_a_task() {
    let mut harness = SchedulerHarness::open(3);
    harness.accept(1, vec![speculative_step(1)]);
    for _ in 0..8 {
        harness.settle();
        let start = harness.confirm().remove(0);
        let number = number_of(&start.worker);
        crash(&mut harness, number);
        harness.wait(1_000);
        harness.report(number, RenewalReport::default());
    }
    harness.settle();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a long-running job that is given up since its workers fail now and then.
#[test]
fn crashes_long_after_the_start_are_not_held_against_a_task() {
    let mut harness = SchedulerHarness::open(2);
    harness.accept(1, vec![long_running_step(1, 0)]);
    for next in 2..10 {
        harness.settle();
        let starts = harness.confirm();
        assert_eq!(starts.len(), 1);
        let number = number_of(&starts[0].worker);
        harness.wait(11_000);
        harness.report(number, SchedulerHarness::running(&starts, 100));
        replace(&mut harness, number, next);
    }
}

/// Guards against an innocent job that is given up since its starts went to workers that had ended
/// before: a start without an answer is no evidence that a run crashed its worker.
#[test]
fn starts_without_an_answer_are_not_attributed_to_the_task() {
    let mut harness = SchedulerHarness::open(6);
    harness.accept(1, vec![step(1)]);
    for next in 6..9 {
        harness.settle();
        let start = harness.starts.remove(0);
        let number = number_of(&start.worker);
        crash(&mut harness, number);
        harness.reply(&start, StartReply::Unknown);
        harness.wait(3_000);
        answer_at(&mut harness, number, next);
    }
    harness.settle();
    assert_eq!(harness.starts.len(), 1, "the task is started again");
}

/// Guards against an answer to the start that is lost to the count, as the silence was noticed first.
#[test]
fn a_late_answer_to_the_start_counts() {
    let mut harness = SchedulerHarness::open(6);
    harness.accept(1, vec![speculative_step(1)]);
    for next in 6..8 {
        harness.settle();
        let start = harness.starts.remove(0);
        let number = number_of(&start.worker);
        crash(&mut harness, number);
        harness.reply(&start, StartReply::Started);
        harness.wait(3_000);
        answer_at(&mut harness, number, next);
        harness.settle();
    }
    assert_eq!(harness.scheduler.state(JobId(1)), Some(JobState::Failed));
}

/// Guards against phantom crashes after a change of the owner: a worker whose first renewal failed
/// answers with the start time that it has in the list, and its runs go on.
#[test]
fn a_worker_that_a_new_owner_reaches_late_has_not_crashed() {
    let mut harness = SchedulerHarness::open(1);
    let spec = harness.accept(1, vec![step(1)]);
    harness.settle();
    let starts = harness.confirm();
    outlive_starts(&mut harness, 0, &starts);
    let mut next = harness.take_over(&[(JobId(1), spec)], 1);
    crash(&mut next, 0);
    assert!(!next.stored[&JobId(1)].crashes.is_empty());
    next.report(0, SchedulerHarness::running(&starts, 40));
    next.settle();
    assert!(next.stored[&JobId(1)].crashes.is_empty());
}

/// Guards against crashes that are lost with an owner: the next one finds the worker of a recorded run
/// neither in the list nor at its address.
#[test]
fn a_crash_is_confirmed_although_the_next_owner_never_saw_the_worker() {
    let mut harness = SchedulerHarness::open(1);
    let spec = harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    let entry = listed_entry(0);
    crash(&mut harness, 0);
    let mut next = harness.take_over(&[(JobId(1), spec)], 0);
    next.scheduler.worker_listed(worker(9), entry, next.now);
    next.wait(1);
    next.report(9, RenewalReport::default());
    next.settle();
    let history = next.stored[&JobId(1)].crashes.get(&start.task);
    assert_eq!(history.expect("the loss is stored").crashes(), 1);
}

/// Guards against crashes that are never counted, as the worker had been dropped when the next one
/// answered at its address.
#[test]
fn a_crash_is_confirmed_after_its_worker_was_dropped() {
    let mut harness = SchedulerHarness::open(4);
    harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    let number = number_of(&start.worker);
    let entry = listed_entry(number);
    crash(&mut harness, number);
    harness
        .scheduler
        .worker_unlisted(&worker(number), harness.now);
    harness.wait(7_000);
    harness.settle();
    assert!(harness.scheduler.worker(&worker(number)).is_none());
    harness
        .scheduler
        .worker_listed(worker(9), entry, harness.now);
    harness.wait(1);
    harness.report(9, RenewalReport::default());
    harness.settle();
    let history = harness.stored[&JobId(1)].crashes.get(&start.task);
    assert_eq!(history.expect("the loss is stored").crashes(), 1);
}

/// Guards against an innocent task that is given up since its VM fails again and again: crashes on one
/// VM are not attributed to the task twice.
#[test]
fn crashes_on_one_vm_are_attributed_once() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(1)]);
    for next in 1..4 {
        harness.settle();
        assert_eq!(harness.confirm().len(), 1);
        replace(&mut harness, next - 1, next);
    }
    harness.settle();
    assert_eq!(harness.starts.len(), 1, "the task is started again");
}

/// Guards against crashes that a new owner takes for one event, as it finds all ended workers silent at
/// once.
#[test]
fn workers_that_a_new_owner_finds_silent_did_not_end_together() {
    let mut harness = SchedulerHarness::open(4);
    let spec = harness.accept(1, vec![step(1)]);
    harness.settle();
    let start = harness.confirm().remove(0);
    crash(&mut harness, 0);
    let mut next = harness.take_over(&[(JobId(1), spec)], 4);
    for number in 0..4 {
        next.scheduler.renewal_failed(&worker(number), next.now);
    }
    next.settle();
    answer_at(&mut next, 0, 4);
    let history = next.stored[&JobId(1)].crashes.get(&start.task);
    assert_eq!(history.expect("the loss is stored").crashes(), 1);
}

/// Guards against a job all tasks of which crash their workers, many at once.
#[test]
fn a_job_that_crashes_many_workers_at_once_is_given_up() {
    let mut harness = SchedulerHarness::open(4);
    let spread = StepSpec {
        max_per_worker: 1,
        ..step(4)
    };
    harness.accept(1, vec![spread]);
    let (mut next, mut rounds) = (4, 0);
    while harness.scheduler.state(JobId(1)) != Some(JobState::Failed) {
        harness.settle();
        let starts = harness.confirm();
        let hosts: Vec<usize> = (0..next)
            .filter(|number| starts.iter().any(|start| start.worker == worker(*number)))
            .collect();
        for number in &hosts {
            harness
                .scheduler
                .renewal_failed(&worker(*number), harness.now);
        }
        harness.settle();
        harness.wait(3_000);
        for number in hosts {
            answer_at(&mut harness, number, next);
            next += 1;
        }
        rounds += 1;
        assert!(rounds <= 5, "the job is started again and again");
    }
}

/// Guards against starvation: where all workers are busy, a trial waits until the runs on one of them
/// have outlived their starts, and tasks of other jobs go to the rest.
#[test]
fn a_trial_begins_on_a_busy_worker_once_its_runs_have_outlived_their_starts() {
    let mut harness = SchedulerHarness::open(1);
    harness.accept(1, vec![step(2)]);
    harness.accept(2, vec![step(2)]);
    harness.settle();
    let starts = harness.confirm();
    assert_eq!(starts.len(), 4);
    replace(&mut harness, 0, 1);
    // Both jobs are implicated: the tasks of one start, those of the other wait for them.
    let first = harness.confirm();
    let job = first[0].task.job;
    assert!(first.iter().all(|start| start.task.job == job), "{first:?}");
    assert_eq!(first.len(), 2);
    outlive_starts(&mut harness, 1, &first);
    let second = harness.confirm();
    assert!(second.iter().all(|start| start.task.job != job));
    assert_eq!(second.len(), 2);
}

/// Guards against a pool that stands still: the search for a trial took the workers that had room for a step
/// before it for all there were. The worker that was kept for the trial was not among them, so that it never
/// began, and one worker after the other was kept for it.
#[test]
fn a_trial_begins_on_the_worker_that_is_kept_for_it() {
    let mut harness = SchedulerHarness::open(1);
    let spread = StepSpec {
        max_per_worker: 1,
        ..step(2)
    };
    harness.accept(1, vec![spread]);
    harness.settle();
    let first = harness.confirm();
    assert_eq!(first.len(), 1, "the other task waits for the limit");
    outlive_starts(&mut harness, 0, &first);
    harness.accept(2, vec![step(1)]);
    harness.settle();
    let suspect = harness.confirm().remove(0);
    replace(&mut harness, 0, 1);
    let starting = harness.confirm();
    assert_eq!(starting.len(), 1);
    assert_eq!(starting[0].task.job, JobId(1), "the trial waits for it");
    outlive_starts(&mut harness, 1, &starting);
    let trials = harness.confirm();
    let tasks: Vec<_> = trials.iter().map(|start| start.task).collect();
    assert_eq!(tasks, [suspect.task]);
}
